package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// The counters are exact for requests that are served, rejected, failed, retried, cancelled or of an unknown class.
func TestCountersOfMixedOutcomes(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeDraining))
	node := core.node("n")

	_, served := core.submit("s", "read") // served at the first attempt
	attempt := <-node.sent
	attempt.MarkWritten()
	attempt.Done(Result{Status: policy.OK})
	expectAnswer(t, served, Served)

	_, retried := core.submit("r", "read") // served after a connection reset, which makes two attempts
	attempt = <-node.sent
	attempt.MarkWritten()
	attempt.Done(Result{Status: policy.ConnectionReset})
	attempt = <-node.sent
	attempt.MarkWritten()
	attempt.Done(Result{Status: policy.OK})
	expectAnswer(t, retried, Served)

	_, invalid := core.submit("b", "record") // rejected by the node as invalid, counted as failed with one attempt
	attempt = <-node.sent
	attempt.MarkWritten()
	attempt.Done(Result{Status: policy.Abandoned, NotPerformed: true})
	expectAnswer(t, invalid, Failed)

	request, cancelled := core.submit("g", "read") // cancelled by the client, so not counted as answered
	attempt = <-node.sent
	core.Cancel(request)
	<-node.cancels
	attempt.Done(Result{Status: policy.Cancelled}) // not completely written, so not counted as an attempt

	_, open := core.submit("o", "record") // outstanding until the end of the test
	outstanding := <-node.sent
	outstanding.MarkWritten()

	core.Reject(&Request{Request: policy.Request{Class: "read"}, Answer: func(Answer) {}}, time.Millisecond, ReasonMemory)
	_, unknown := core.submit("u", "other") // answered but not counted, because the class is unknown
	expectAnswer(t, unknown, Failed)
	core.Counters().CountReload(true)
	core.Counters().CountReload(false)
	core.Counters().CountReload(false)
	core.OpenRequests()

	if got, want := core.Counters().Snapshot(), mixedOutcomes(); !sameCounters(got, want) {
		t.Fatalf("counters\n%+v, want\n%+v", got, want)
	}
	outstanding.Done(Result{Status: policy.OK})
	expectAnswer(t, open, Served)
	expectNoAnswer(t, core, cancelled)
	core.OpenRequests()
	if got := core.Counters().Snapshot(); got.InProgress != 0 || got.Served["record"] != 1 {
		t.Fatalf("counters after the last answer: %+v", got)
	}
}

// mixedOutcomes returns the expected counters of TestCountersOfMixedOutcomes while one request is outstanding.
func mixedOutcomes() CounterSnapshot {
	return CounterSnapshot{Served: map[string]int64{"read": 2, "record": 0}, Rejected: map[string]int64{"read": 1, "record": 0},
		Failed: map[string]int64{"read": 0, "record": 1}, Attempts: map[string]int64{"read": 3, "record": 2},
		InProgress: 1, Nodes: 2, AvoidedNodes: 1, Reloads: 1, ReloadErrors: 2}
}

func sameCounters(a, b CounterSnapshot) bool {
	equal := func(x, y map[string]int64) bool {
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
	return equal(a.Served, b.Served) && equal(a.Rejected, b.Rejected) && equal(a.Failed, b.Failed) && equal(a.Attempts, b.Attempts) &&
		a.InProgress == b.InProgress && a.Nodes == b.Nodes && a.AvoidedNodes == b.AvoidedNodes && a.Reloads == b.Reloads && a.ReloadErrors == b.ReloadErrors
}
