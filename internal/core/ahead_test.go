package core

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// begins is a start that notes what it is told.
type begins struct {
	StartLimiter
	over  bool
	ended []policy.Status
}

func (b *begins) Done() bool                             { return b.over }
func (b *begins) AttemptEnded(_ string, s policy.Status) { b.ended = append(b.ended, s) }
func (b *begins) Admit(string) (w time.Duration, r bool) { return }

// Connections ahead and probes go to nodes that may be used, and to no other; that one failed, or found
// the node full, reaches the start for as long as it lasts. That it came up is no service.
func TestAheadAndProbe(t *testing.T) {
	r, b := start(t, settings()), &begins{}
	r.options.StartLimiter = b
	r.list(policy.CachedListLoaded, node("up", 0, policy.NodeUp), node("leaves", 0, policy.NodeDraining), node("out", 0, policy.NodeUp),
		node("gone", 0, policy.NodeUp))
	if _, err := r.Exclude("out"); err != nil {
		t.Fatal(err)
	}
	gone := r.peer("gone")
	r.list(policy.ListReceived, node("up", 0, policy.NodeUp), node("leaves", 0, policy.NodeDraining), node("out", 0, policy.NodeUp))
	for _, id := range []string{"up", "leaves", "out", "gone", "none"} {
		r.Preconnect(id)
		r.CheckHealth(id)
	}
	r.OpenRequests() // all was taken
	for id, p := range map[string]*fake{"leaves": r.peer("leaves"), "out": r.peer("out"), "gone": gone} {
		if len(p.ahead)+len(p.probes) > 0 {
			t.Errorf("%s was connected to %d times and probed %d times", id, len(p.ahead), len(p.probes))
		}
	}
	up := r.peer("up")
	if len(up.ahead) != 1 || len(up.probes) != 1 {
		t.Fatalf("the node was connected to %d times and probed %d times", len(up.ahead), len(up.probes))
	}
	for _, s := range []policy.Status{policy.OK, policy.Abandoned, policy.ConnectFailed} {
		up.ahead[0](s)
		up.probes[0](Result{Status: s}, time.Millisecond)
	}
	up.probes[0](Result{Status: policy.NodeFull}, time.Millisecond)
	b.over = true
	up.ahead[0](policy.ConnectFailed)
	if want := []policy.Status{policy.ConnectFailed, policy.ConnectFailed, policy.NodeFull}; !reflect.DeepEqual(b.ended, want) {
		t.Errorf("told %v, want %v", b.ended, want)
	}
}

// What was learned comes with the nodes used most first; what was used long ago counts for less, and a
// node that left is forgotten.
func TestLearnedInOrderOfUse(t *testing.T) {
	r := start(t, settings())
	r.options.StartLimiter = &begins{over: true}
	ids := []string{"a", "b", "c", "d"}
	var list []Node
	for shard, id := range ids {
		list = append(list, node(id, shard, policy.NodeUp))
	}
	r.list(policy.ListReceived, list...)
	for shard, times := range []int{2, 4, 3, 1} {
		for i := range times {
			id, got := fmt.Sprint(ids[shard], i), make(chan Answer, 8)
			r.Submit(&Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Shard: shard},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { got <- a }})
			(<-r.peer(ids[shard]).sent).Done(Result{Status: policy.OK})
			one(t, got, Served)
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
	r.changeExclusions(func(now float64) ([]string, error) { r.nodeUses["b"] = nodeUse{4, now - 4*useHalf}; return nil, nil })
	if got := order(); got != "cadb" {
		t.Errorf("%s", got)
	}
	r.list(policy.ListReceived, list[:2]...)
	if r.changeExclusions(func(float64) ([]string, error) { return nil, nil }); len(r.nodeUses) != 2 {
		t.Errorf("%d nodes are held", len(r.nodeUses))
	}
}
