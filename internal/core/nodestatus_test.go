package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// NodeStatuses waits for a busy actor no longer than its timeout, and not at all if too many calls wait.
func TestNodeStatusesTimesOut(t *testing.T) {
	r := startCore(t, testSettings())
	n := newNode("a", 0, policy.NodeUp)
	n.StartTime = 41
	r.updateList(policy.CachedListLoaded, n, newNode("b", 1, policy.NodeDraining))
	all, ok := r.NodeStatuses(8, time.Minute)
	if !ok || len(all) != 2 || all[0].Node != "a" || all[0].StartTime != 41 || all[0].Window <= 0 || all[1].Window != 0 {
		t.Fatalf("%v %+v", ok, all)
	}
	blocked, unblock := make(chan struct{}), make(chan struct{})
	r.post(call(func() { close(blocked); <-unblock }))
	<-blocked
	for range controlSize + 1 { // the last finds the channel full, and does not wait
		if _, ok := r.NodeStatuses(8, time.Millisecond); ok {
			t.Fatal("a blocked actor has answered")
		}
	}
	if _, ok := r.NodeStatuses(8, time.Hour); ok {
		t.Fatal("a call beyond the channel's capacity succeeded")
	}
	close(unblock)
	r.OpenRequests()
	if _, ok := r.NodeStatuses(8, time.Minute); !ok {
		t.Error("no result after the actor was unblocked")
	}
}
