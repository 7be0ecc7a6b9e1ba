package core

import (
	"testing"

	"wheatsaddle/policy"
)

// startHedged submits a write whose node pauses in its transfer, and returns the outstanding attempt and its hedge, both claimed.
func startHedged(t *testing.T) (core *fixture, first, hedge *Attempt, answers chan Answer) {
	t.Helper()
	settings := testSettings()
	settings.MayHedge = true
	core = startCore(t, settings)
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, answers = core.submit("a", "record")
	first = <-core.node("n").sent
	first.Claim()
	first.RequestTransferring()
	first.TransferPaused()
	hedge = <-core.node("n").sent
	hedge.Claim()
	return core, first, hedge, answers
}

// Guards against an answer that a write was not performed while another attempt of it is outstanding, which may yet run.
func TestNotPerformedWaitsForOutstandingAttempt(t *testing.T) {
	notPerformed := map[string]Result{
		"with an answer":    {Status: policy.OK, NotPerformed: true, Payload: "not performed"},
		"without an answer": {Status: policy.Abandoned, NotPerformed: true},
	}
	for name, result := range notPerformed {
		t.Run(name, func(t *testing.T) {
			core, first, hedge, answers := startHedged(t)
			hedge.Done(result)
			expectNoAnswer(t, core, answers)
			first.Done(Result{Status: policy.OK, Payload: "served"})
			if answer := expectAnswer(t, answers, Served); answer.Payload != "served" {
				t.Errorf("served with %v", answer.Payload)
			}
		})
		t.Run(name+", then a reset", func(t *testing.T) {
			core, first, hedge, answers := startHedged(t)
			hedge.Done(result)
			first.Done(Result{Status: policy.ConnectionReset})
			retry := <-core.node("n").sent
			retry.Claim()
			retry.Done(result)
			if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseNotServed || !answer.MayHaveRun {
				t.Errorf("answer %+v, want one that the request may have run", answer)
			}
			expectNoAnswer(t, core, answers)
		})
	}
}

// An attempt that is not claimed cannot run any more, so the answer of the other one is passed on.
func TestNotPerformedAbandonsUnclaimedAttempt(t *testing.T) {
	settings := testSettings()
	settings.MayHedge = true
	core := startCore(t, settings)
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, answers := core.submit("a", "record")
	first := <-core.node("n").sent
	first.Claim()
	first.RequestTransferring()
	first.TransferPaused()
	hedge := <-core.node("n").sent
	first.Done(Result{Status: policy.OK, NotPerformed: true, Payload: "not performed"})
	expectAnswer(t, answers, Served)
	if hedge.Claim() {
		t.Error("the hedge was claimed after the answer")
	}
}
