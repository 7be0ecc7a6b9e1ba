package core

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// recordingLimiter is a StartLimiter that records the statuses passed to AttemptEnded.
type recordingLimiter struct {
	StartLimiter
	done     bool
	statuses []policy.Status
}

func (l *recordingLimiter) Done() bool { return l.done }
func (l *recordingLimiter) AttemptEnded(_ string, status policy.Status) {
	l.statuses = append(l.statuses, status)
}
func (l *recordingLimiter) Admit(string) (w time.Duration, r bool) { return }

// Connections are opened ahead and health checks sent only to nodes that are up and not excluded. A failure or a full node
// is reported to the StartLimiter until it is done. A success is not reported.
func TestPreconnectAndHealthCheckReachOnlyUsableNodes(t *testing.T) {
	core, limiter := startCore(t, testSettings()), &recordingLimiter{}
	core.options.StartLimiter = limiter
	core.updateList(policy.CachedListLoaded, newNode("up", 0, policy.NodeUp), newNode("draining", 0, policy.NodeDraining), newNode("excluded", 0, policy.NodeUp),
		newNode("removed", 0, policy.NodeUp))
	if _, err := core.Exclude("excluded"); err != nil {
		t.Fatal(err)
	}
	removed := core.node("removed")
	core.updateList(policy.ListReceived, newNode("up", 0, policy.NodeUp), newNode("draining", 0, policy.NodeDraining), newNode("excluded", 0, policy.NodeUp))
	for _, id := range []string{"up", "draining", "excluded", "removed", "none"} {
		core.Preconnect(id)
		core.CheckHealth(id)
	}
	core.OpenRequests() // returns once the messages have been handled
	for id, node := range map[string]*fakeNode{"draining": core.node("draining"), "excluded": core.node("excluded"), "removed": removed} {
		if len(node.connects)+len(node.healthChecks) > 0 {
			t.Errorf("%s: %d connects, %d health checks", id, len(node.connects), len(node.healthChecks))
		}
	}
	up := core.node("up")
	if len(up.connects) != 1 || len(up.healthChecks) != 1 {
		t.Fatalf("%d connects, %d health checks, want one each", len(up.connects), len(up.healthChecks))
	}
	for _, status := range []policy.Status{policy.OK, policy.Abandoned, policy.ConnectFailed} {
		up.connects[0](status)
		up.healthChecks[0](Result{Status: status}, time.Millisecond)
	}
	up.healthChecks[0](Result{Status: policy.NodeFull}, time.Millisecond)
	limiter.done = true
	up.connects[0](policy.ConnectFailed)
	if want := []policy.Status{policy.ConnectFailed, policy.ConnectFailed, policy.NodeFull}; !reflect.DeepEqual(limiter.statuses, want) {
		t.Errorf("reported %v, want %v", limiter.statuses, want)
	}
}

// Learned lists the most used nodes first. A use counts less the longer ago it was, and the uses of a removed node are
// dropped.
func TestLearnedIsOrderedByUse(t *testing.T) {
	core := startCore(t, testSettings())
	core.options.StartLimiter = &recordingLimiter{done: true}
	ids := []string{"a", "b", "c", "d"}
	var list []Node
	for shard, id := range ids {
		list = append(list, newNode(id, shard, policy.NodeUp))
	}
	core.updateList(policy.ListReceived, list...)
	for shard, times := range []int{2, 4, 3, 1} {
		for i := range times {
			id, answers := fmt.Sprint(ids[shard], i), make(chan Answer, 8)
			core.Submit(&Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Shard: shard},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { answers <- a }})
			(<-core.node(ids[shard]).sent).Done(Result{Status: policy.OK})
			expectAnswer(t, answers, Served)
		}
	}
	order := func() (got string) {
		learned, _ := core.Learned()
		for _, n := range learned.Nodes {
			got += n.ID
		}
		return got
	}
	if got := order(); got != "bcad" {
		t.Errorf("nodes in the order %s, want bcad", got)
	}
	_, _ = core.changeExclusions(func(now float64) ([]string, error) {
		core.nodeUses["b"] = nodeUse{4, now - 4*useHalfLifeMs}
		return nil, nil
	})
	if got := order(); got != "cadb" {
		t.Errorf("nodes in the order %s after the use of b has decayed, want cadb", got)
	}
	core.updateList(policy.ListReceived, list[:2]...)
	if core.OpenRequests(); len(core.nodeUses) != 2 {
		t.Errorf("uses of %d nodes, want 2", len(core.nodeUses))
	}
}
