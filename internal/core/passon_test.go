package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// Guards against an answer by the guard timer while a long response is being passed on at the deadline: a process that was held up may
// fire all its timers at once. A request without such a response gets its final answer at its deadline as before.
func TestGuardWaitsForALongResponse(t *testing.T) {
	for name, x := range map[string]struct {
		begun   bool          // a long response has begun
		after   time.Duration // when it is passed on after the deadline
		want    AnswerKind
		byGuard time.Duration // latest time of the answer after the deadline
	}{
		"no response":          {false, time.Hour, Failed, 2 * guardDelay},
		"passed on late":       {true, passOnGrace / 2, Served, passOnGrace},
		"passed on never":      {true, time.Hour, Failed, passOnGrace + 2*guardDelay},
		"passed on, far later": {true, 2 * passOnGrace, Failed, passOnGrace + 2*guardDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := startCore(t, testSettings())
				core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				const timeout = 600 * time.Millisecond
				request, answers := core.newRequest("r", "read", timeout)
				core.Submit(request)
				attempt := <-core.node("n").sent
				if x.begun {
					attempt.SetMayBePassedOn()
				}
				deadline := time.Now().Add(time.Until(attempt.Deadline))
				go func() {
					time.Sleep(time.Until(deadline) + x.after)
					attempt.Done(Result{Status: policy.OK})
				}()
				expectAnswer(t, answers, x.want)
				if late := time.Since(deadline); late > x.byGuard {
					t.Errorf("answered %v after the deadline", late)
				}
				attempt.Done(Result{Status: policy.TimedOut})
				time.Sleep(2 * time.Hour) // the goroutine above ends
			})
		})
	}
}

// Guards against a cancel for its age of an attempt whose node is giving a response, when core has not been told yet: it is void, and the
// decision module learns that the attempt makes progress.
func TestCancelForAgeIsVoidDuringATransfer(t *testing.T) {
	for _, transferring := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].LatencyObjective = 300
			core := startCore(t, settings)
			core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
			_, answers := core.submit("r", "read")
			attempt := <-core.node("n").sent
			if transferring {
				attempt.RecordPhase(progress.Head, true)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if cancelled := len(core.node("n").cancels) > 0; cancelled == transferring {
				t.Errorf("transferring %v: cancelled %v", transferring, cancelled)
			}
			attempt.Done(Result{Status: policy.OK})
			expectAnswer(t, answers, Served)
		})
	}
}
