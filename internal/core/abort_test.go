package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// Guards against a second run of an aborted write, and against an answer to it before its outcome is known.
func TestAbortAwaitsClaimedAttempt(t *testing.T) {
	for name, x := range map[string]struct {
		result Result
		want   AnswerKind
	}{
		"served":     {Result{Status: policy.OK, Payload: "body"}, Served},
		"reset":      {Result{Status: policy.ConnectionReset}, Failed},
		"node full":  {Result{Status: policy.NodeFull}, Rejected},
		"an error":   {Result{Status: policy.Errored}, Failed},
		"not served": {Result{Status: policy.Abandoned, NotPerformed: true}, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			core := startCore(t, testSettings())
			core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
			request, answers := core.newRequest("a", "record", time.Minute)
			events, answer := make(chan string, 8), request.Answer
			request.Answer = func(a Answer) { answer(a); events <- "answer" }
			request.Ended = func() { events <- "end" }
			core.Submit(request)
			attempt := <-core.node("n").sent
			attempt.Claim()
			core.Abort(request)
			core.Abort(request)
			expectNoAnswer(t, core, answers)
			attempt.Done(x.result)
			expectAnswer(t, answers, x.want)
			expectNoAnswer(t, core, answers)
			if first, second := <-events, <-events; first != "answer" || second != "end" || len(events) > 0 {
				t.Errorf("%s, then %s, then %d calls more; want the answer and the end", first, second, len(events))
			}
			node := core.node("n")
			if sizes := core.TableSizes(); len(node.sent) > 0 || len(node.cancels) > 0 || sizes != (TableSizes{}) {
				t.Errorf("%d attempts and %d cancels after the abort; tables %+v", len(node.sent), len(node.cancels), sizes)
			}
		})
	}
}

// An aborted request that has no claimed attempt is rejected at once, and its attempt cannot be claimed any more.
func TestAbortRejectsWhatHasNotRun(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	request, answers := core.submit("a", "record")
	attempt := <-core.node("n").sent
	core.Abort(request)
	if answer := expectAnswer(t, answers, Rejected); answer.MayHaveRun || answer.Reason != ReasonAborted {
		t.Errorf("answer %+v", answer)
	}
	if attempt.Claim() {
		t.Error("the attempt was claimed after the abort")
	}
	if cancelled := <-core.node("n").cancels; cancelled != attempt {
		t.Error("the attempt was not cancelled")
	}
	attempt.Done(Result{Status: policy.Abandoned})
	core.OpenRequests() // the module has handled the result
	if sizes := core.TableSizes(); sizes != (TableSizes{}) {
		t.Errorf("tables %+v", sizes)
	}
}

// Ended is called once for each request, also for one that gets no answer.
func TestEndedIsCalledOnce(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	ended := make(chan string, 8)
	submit := func(id, class string) *Request {
		request, _ := core.newRequest(id, class, time.Minute)
		request.Ended = func() { ended <- id }
		core.Submit(request)
		return request
	}
	cancelled := submit("cancelled", "record")
	<-core.node("n").sent
	core.Cancel(cancelled)
	submit("unknown class", "none")
	rejected, _ := core.newRequest("rejected", "record", time.Minute)
	rejected.Ended = func() { ended <- "rejected" }
	core.Reject(rejected, 0, ReasonMemory)
	submit("open", "record")
	core.Finish()
	submit("late", "record")
	core.OpenRequests()
	counts := map[string]int{}
	for len(ended) > 0 {
		counts[<-ended]++
	}
	for _, id := range []string{"cancelled", "unknown class", "rejected", "open", "late"} {
		if counts[id] != 1 {
			t.Errorf("%s: ended %d times", id, counts[id])
		}
	}
}
