package core

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// recordingLimiter is a StartLimiter that records the ends of attempts.
type recordingLimiter struct {
	StartLimiter
	done  bool
	ended []policy.Status
}

func (b *recordingLimiter) Done() bool                             { return b.done }
func (b *recordingLimiter) AttemptEnded(_ string, s policy.Status) { b.ended = append(b.ended, s) }
func (b *recordingLimiter) Admit(string) (w time.Duration, r bool) { return }

// Preconnects and health checks go only to nodes that are up and not excluded. A failure or a full node is reported to
// the StartLimiter until it is done; a success is not.
func TestPreconnectAndHealthCheck(t *testing.T) {
	r, b := startCore(t, testSettings()), &recordingLimiter{}
	r.options.StartLimiter = b
	r.updateList(policy.CachedListLoaded, newNode("up", 0, policy.NodeUp), newNode("draining", 0, policy.NodeDraining), newNode("excluded", 0, policy.NodeUp),
		newNode("removed", 0, policy.NodeUp))
	if _, err := r.Exclude("excluded"); err != nil {
		t.Fatal(err)
	}
	removed := r.node("removed")
	r.updateList(policy.ListReceived, newNode("up", 0, policy.NodeUp), newNode("draining", 0, policy.NodeDraining), newNode("excluded", 0, policy.NodeUp))
	for _, id := range []string{"up", "draining", "excluded", "removed", "none"} {
		r.Preconnect(id)
		r.CheckHealth(id)
	}
	r.OpenRequests() // the messages have been handled
	for id, p := range map[string]*fakeNode{"draining": r.node("draining"), "excluded": r.node("excluded"), "removed": removed} {
		if len(p.connects)+len(p.healthChecks) > 0 {
			t.Errorf("%s: %d connects, %d health checks", id, len(p.connects), len(p.healthChecks))
		}
	}
	up := r.node("up")
	if len(up.connects) != 1 || len(up.healthChecks) != 1 {
		t.Fatalf("%d connects, %d health checks, want one each", len(up.connects), len(up.healthChecks))
	}
	for _, s := range []policy.Status{policy.OK, policy.Abandoned, policy.ConnectFailed} {
		up.connects[0](s)
		up.healthChecks[0](Result{Status: s}, time.Millisecond)
	}
	up.healthChecks[0](Result{Status: policy.NodeFull}, time.Millisecond)
	b.done = true
	up.connects[0](policy.ConnectFailed)
	if want := []policy.Status{policy.ConnectFailed, policy.ConnectFailed, policy.NodeFull}; !reflect.DeepEqual(b.ended, want) {
		t.Errorf("reported %v, want %v", b.ended, want)
	}
}

// Learned lists the most used nodes first. An earlier use counts for less, and a removed node has none.
func TestLearnedIsOrderedByUse(t *testing.T) {
	r := startCore(t, testSettings())
	r.options.StartLimiter = &recordingLimiter{done: true}
	ids := []string{"a", "b", "c", "d"}
	var list []Node
	for shard, id := range ids {
		list = append(list, newNode(id, shard, policy.NodeUp))
	}
	r.updateList(policy.ListReceived, list...)
	for shard, times := range []int{2, 4, 3, 1} {
		for i := range times {
			id, got := fmt.Sprint(ids[shard], i), make(chan Answer, 8)
			r.Submit(&Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Shard: shard},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { got <- a }})
			(<-r.node(ids[shard]).sent).Done(Result{Status: policy.OK})
			expectAnswer(t, got, Served)
		}
	}
	order := func() (got string) {
		l, _ := r.Learned()
		for _, n := range l.Nodes {
			got += n.ID
		}
		return got
	}
	if got := order(); got != "bcad" {
		t.Errorf("%s", got)
	}
	_, _ = r.changeExclusions(func(now float64) ([]string, error) {
		r.nodeUses["b"] = nodeUse{4, now - 4*useHalfLifeMs}
		return nil, nil
	})
	if got := order(); got != "cadb" {
		t.Errorf("%s", got)
	}
	r.updateList(policy.ListReceived, list[:2]...)
	if r.OpenRequests(); len(r.nodeUses) != 2 {
		t.Errorf("uses of %d nodes, want 2", len(r.nodeUses))
	}
}
