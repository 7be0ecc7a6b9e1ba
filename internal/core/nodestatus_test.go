package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// NodeStatuses waits for a busy actor at most as long as its timeout, and not at all if the control channel is full.
func TestNodeStatusesTimesOut(t *testing.T) {
	core := startCore(t, testSettings())
	node := newNode("a", 0, policy.NodeUp)
	node.StartTime = 41
	core.updateList(policy.CachedListLoaded, node, newNode("b", 1, policy.NodeDraining))
	statuses, ok := core.NodeStatuses(8, time.Minute)
	if !ok || len(statuses) != 2 || statuses[0].Node != "a" || statuses[0].StartTime != 41 || statuses[0].Window <= 0 || statuses[1].Window != 0 {
		t.Fatalf("ok %v, statuses %+v", ok, statuses)
	}
	blocked, unblock := make(chan struct{}), make(chan struct{})
	core.post(call(func() { close(blocked); <-unblock }))
	<-blocked
	for range controlSize + 1 { // the last call finds the control channel full
		if _, ok := core.NodeStatuses(8, time.Millisecond); ok {
			t.Fatal("a call succeeded although the actor is blocked")
		}
	}
	if _, ok := core.NodeStatuses(8, time.Hour); ok {
		t.Fatal("a call succeeded although the control channel is full")
	}
	close(unblock)
	core.OpenRequests()
	if _, ok := core.NodeStatuses(8, time.Minute); !ok {
		t.Error("no result after the actor was unblocked")
	}
}
