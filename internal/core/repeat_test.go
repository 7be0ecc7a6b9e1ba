package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// slowStartLimiter is a StartLimiter that lets rejected clients wait for long.
type slowStartLimiter struct{ StartLimiter }

func (slowStartLimiter) Done() bool                                     { return false }
func (slowStartLimiter) Admit(string) (time.Duration, bool)             { return 0, false }
func (slowStartLimiter) RetryAfter(string, time.Duration) time.Duration { return time.Minute }
func (slowStartLimiter) AttemptEnded(string, policy.Status)             {}

// Guards against a Retry-After of a starting process that ends after the deduplication window of a request that may have run.
func TestRetryAfterEndsWithinTheDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts, settings.ClientsKeepKeys = 1, true
	settings.Classes[1].DedupScope = policy.DedupAll
	core := startCore(t, settings)
	core.options.StartLimiter = slowStartLimiter{}
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	for _, x := range []struct {
		status      policy.Status
		waitsAtMost time.Duration
	}{{policy.ConnectionReset, 2500 * time.Millisecond}, {policy.Abandoned, time.Minute}} {
		_, answers := core.submit(string(rune('a'+x.status)), "record")
		attempt := <-core.node("n").sent
		attempt.Claim()
		attempt.Done(Result{Status: x.status})
		if answer := expectAnswer(t, answers, Rejected); answer.RetryAfter > x.waitsAtMost || answer.RetryAfter < x.waitsAtMost/2 {
			t.Errorf("after status %d: Retry-After %v, want up to %v", x.status, answer.RetryAfter, x.waitsAtMost)
		}
	}
}

// Guards against a rejection, at the end of the process, of the repeat of a request that may have run: the next process would run it again.
func TestRepeatIsNotRejectedAtTheEndOutsideItsWindow(t *testing.T) {
	for name, x := range map[string]struct {
		window float64
		want   AnswerKind
	}{"long window": {60e3, Rejected}, "short window": {450, Failed}} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.MaxAttempts, settings.ClientsKeepKeys = 1, true
			settings.Classes[1].DedupScope, settings.Classes[1].DedupWindow = policy.DedupAll, x.window
			core := startCore(t, settings)
			core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
			submit := func(id, key string) chan Answer {
				r, answers := core.newRequest(id, "record", time.Minute)
				r.IdempotencyKey = key
				core.Submit(r)
				return answers
			}
			first := submit("first", "k")
			attempt := <-core.node("n").sent
			attempt.Claim()
			attempt.Done(Result{Status: policy.ConnectionReset})
			<-first
			core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining)) // so that the next ones wait
			waiting, other := submit("waiting", "k"), submit("other", "j")
			core.OpenRequests()
			core.Finish()
			late, otherLate := submit("late", "k"), submit("other late", "i")
			expectAnswer(t, waiting, x.want)
			expectAnswer(t, late, x.want)
			expectAnswer(t, other, Rejected)
			expectAnswer(t, otherLate, Rejected)
		})
	}
}
