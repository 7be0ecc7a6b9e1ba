package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// Requests that are served, rejected, failed, retried, cancelled or of an unknown class are counted exactly.
func TestCountersOfMixedOutcomes(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeDraining))
	f := r.node("n")

	_, served := r.submit("s", "read") // served at the first attempt
	a := <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, served, Served)

	_, retried := r.submit("r", "read") // a reset, then served: two attempts
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.ConnectionReset})
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, retried, Served)

	_, invalid := r.submit("b", "record") // rejected as invalid: failed, one attempt
	a = <-f.sent
	a.MarkWritten()
	a.Done(Result{Status: policy.Abandoned, InvalidRequest: true})
	expectAnswer(t, invalid, Failed)

	q, cancelled := r.submit("g", "read") // the client disconnects: not counted as an answer
	a = <-f.sent
	r.Cancel(q)
	<-f.cancels
	a.Done(Result{Status: policy.Cancelled}) // never written completely: no attempt

	_, open := r.submit("o", "record") // outstanding
	out := <-f.sent
	out.MarkWritten()

	r.Reject(&Request{Request: policy.Request{Class: "read"}, Answer: func(Answer) {}}, time.Millisecond)
	_, unknown := r.submit("u", "other") // unknown class: answered, not counted
	expectAnswer(t, unknown, Failed)
	r.Counters().CountReload(true)
	r.Counters().CountReload(false)
	r.Counters().CountReload(false)
	r.OpenRequests()

	if got, want := r.Counters().Snapshot(), mixedOutcomes(); !sameCounters(got, want) {
		t.Fatalf("figures\n%+v, want\n%+v", got, want)
	}
	out.Done(Result{Status: policy.OK})
	expectAnswer(t, open, Served)
	expectNoAnswer(t, r, cancelled)
	r.OpenRequests()
	if got := r.Counters().Snapshot(); got.InProgress != 0 || got.Served["record"] != 1 {
		t.Fatalf("after the last answer: %+v", got)
	}
}

// mixedOutcomes are the counters of TestCountersOfMixedOutcomes while one request is outstanding.
func mixedOutcomes() CounterSnapshot {
	return CounterSnapshot{Served: map[string]int64{"read": 2, "record": 0}, Rejected: map[string]int64{"read": 1, "record": 0},
		Failed: map[string]int64{"read": 0, "record": 1}, Attempts: map[string]int64{"read": 3, "record": 2},
		InProgress: 1, Nodes: 2, AvoidedNodes: 1, Reloads: 1, ReloadErrors: 2}
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
