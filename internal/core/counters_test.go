package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// A known mix of outcomes gives exactly its figures: served, refused, failed, retried,
// abandoned, and ones of a class that no setting names.
func TestCountersOfMixedOutcomes(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeDraining))
	f := r.node("n")

	_, served := r.submit("s", "read", time.Minute) // served at the first attempt
	a := <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, served, Served)

	_, again := r.submit("r", "read", time.Minute) // a reset, then served: two tries
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.ConnectionReset})
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, again, Served)

	_, bad := r.submit("b", "record", time.Minute) // the node's 400: failed, one try
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.Abandoned, InvalidRequest: true})
	expectAnswer(t, bad, Failed)

	q, gone := r.submit("g", "read", time.Minute) // the client goes: not counted as an answer
	a = <-f.sent
	r.Cancel(q)
	<-f.cancels
	a.Done(Result{Status: policy.Cancelled}) // never written whole: no try

	_, open := r.submit("o", "record", time.Minute) // still out
	out := <-f.sent
	out.MarkWritten()

	r.Reject(&Request{Request: policy.Request{Class: "read"}, Answer: func(Answer) {}}, time.Millisecond)
	_, unknown := r.submit("u", "other", time.Minute) // no setting names it: answered, not counted
	expectAnswer(t, unknown, Failed)
	r.Counters().CountReload(true)
	r.Counters().CountReload(false)
	r.Counters().CountReload(false)
	r.OpenRequests()

	got := r.Counters().Snapshot()
	want := CounterSnapshot{Served: map[string]int64{"read": 2, "record": 0}, Rejected: map[string]int64{"read": 1, "record": 0},
		Failed: map[string]int64{"read": 0, "record": 1}, Attempts: map[string]int64{"read": 3, "record": 2},
		InProgress: 1, Nodes: 2, AvoidedNodes: 1, Reloads: 1, ReloadErrors: 2}
	if !sameCounters(got, want) {
		t.Fatalf("figures\n%+v, want\n%+v", got, want)
	}
	out.Done(Result{Status: policy.OK})
	expectAnswer(t, open, Served)
	expectNoAnswer(t, r, gone)
	r.OpenRequests()
	if got := r.Counters().Snapshot(); got.InProgress != 0 || got.Served["record"] != 1 {
		t.Fatalf("after the last answer: %+v", got)
	}
}

func sameCounters(a, b CounterSnapshot) bool {
	eq := func(x, y map[string]int64) bool {
		if len(x) != len(y) {
			return false
		}
		for k, v := range x {
			if y[k] != v {
				return false
			}
		}
		return true
	}
	return eq(a.Served, b.Served) && eq(a.Rejected, b.Rejected) && eq(a.Failed, b.Failed) && eq(a.Attempts, b.Attempts) &&
		a.InProgress == b.InProgress && a.Nodes == b.Nodes && a.AvoidedNodes == b.AvoidedNodes && a.Reloads == b.Reloads && a.ReloadErrors == b.ReloadErrors
}
