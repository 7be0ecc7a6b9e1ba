package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// How nodes stand comes from the actor; where that has no time, or its calls are too many, nobody waits longer than
// was said.
func TestNodeStatusesTimesOut(t *testing.T) {
	r := startCore(t, settings())
	n := newNode("a", 0, policy.NodeUp)
	n.StartTime = 41
	r.updateList(policy.CachedListLoaded, n, newNode("b", 1, policy.NodeDraining))
	all, ok := r.NodeStatuses(8, time.Minute)
	if !ok || len(all) != 2 || all[0].Node != "a" || all[0].StartTime != 41 || all[0].Window <= 0 || all[1].Window != 0 {
		t.Fatalf("%v %+v", ok, all)
	}
	stuck, free := make(chan struct{}), make(chan struct{})
	r.post(call(func() { close(stuck); <-free }))
	<-stuck
	for range controlSize + 1 { // the last finds no room, and does not wait at all
		if _, ok := r.NodeStatuses(8, time.Millisecond); ok {
			t.Fatal("an actor that stands still has answered")
		}
	}
	if _, ok := r.NodeStatuses(8, time.Hour); ok {
		t.Fatal("it had no room")
	}
	close(free)
	r.OpenRequests()
	if _, ok := r.NodeStatuses(8, time.Minute); !ok {
		t.Error("it does not answer again")
	}
}
