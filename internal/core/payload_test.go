package core

import (
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"wheatsaddle/policy"
)

// fakePayload counts its releases.
type fakePayload struct{ releases atomic.Int32 }

func (p *fakePayload) Release() { p.releases.Add(1) }

// withPayload returns a request with a fakePayload, and the channel of its answers.
func (f *fixture) withPayload(id string, timeout time.Duration) (*Request, *fakePayload, chan Answer) {
	request, answers := f.newRequest(id, "read", timeout)
	payload := &fakePayload{}
	request.Payload = payload
	return request, payload, answers
}

// submitWithPayload submits a request with a fakePayload.
func (f *fixture) submitWithPayload(id string, timeout time.Duration) (*Request, *fakePayload, chan Answer) {
	request, payload, answers := f.withPayload(id, timeout)
	f.Submit(request)
	return request, payload, answers
}

// expectReleases reports an error if the payload was not released the given number of times.
func (f *fixture) expectReleases(payload *fakePayload, want int32, when string) {
	f.t.Helper()
	f.OpenRequests() // returns once all earlier messages are handled
	if got := payload.releases.Load(); got != want {
		f.t.Errorf("%s: released %d times, want %d", when, got, want)
	}
}

// Guards against memory that is in use while its share of a budget is free: the payload of a request is released once, when
// the request has ended and no attempt can use it any more.
func TestPayloadIsReleasedWhenNothingUsesIt(t *testing.T) {
	end := func(status policy.Status) func(*fixture, *Request, *Attempt) {
		return func(_ *fixture, _ *Request, attempt *Attempt) { attempt.Done(Result{Status: status}) }
	}
	for name, x := range map[string]struct {
		beforeEnd func(*fixture, *Request, *Attempt) // what ends the request while its attempt is outstanding; nil: nothing
		end       func(*fixture, *Request, *Attempt)
	}{
		"served": {nil, end(policy.OK)},
		"failed": {nil, func(_ *fixture, _ *Request, a *Attempt) {
			a.Done(Result{Status: policy.Abandoned, NotPerformed: true})
		}},
		"client disconnected":    {func(f *fixture, r *Request, _ *Attempt) { f.Cancel(r) }, end(policy.Cancelled)},
		"overdue":                {func(*fixture, *Request, *Attempt) { time.Sleep(2 * time.Minute) }, end(policy.TimedOut)},
		"process ends":           {func(f *fixture, _ *Request, _ *Attempt) { f.Finish() }, end(policy.OK)},
		"module panics":          {func(f *fixture, _ *Request, _ *Attempt) { f.panicModule() }, end(policy.OK)},
		"served after an answer": {func(f *fixture, r *Request, _ *Attempt) { f.Cancel(r) }, end(policy.OK)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := startCore(t, testSettings())
				core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				request, payload, _ := core.submitWithPayload("r", time.Minute)
				attempt := <-core.node("n").sent
				if x.beforeEnd != nil {
					x.beforeEnd(core, request, attempt)
				}
				core.expectReleases(payload, 0, "attempt outstanding")
				x.end(core, request, attempt)
				core.expectReleases(payload, 1, "attempt ended")
				time.Sleep(2 * time.Minute)
				core.expectReleases(payload, 1, "after the deadline")
			})
		})
	}
}

// A request that core does not admit has its payload released before the answer.
func TestPayloadOfRejectedRequestIsReleased(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
	core.submitWithPayload("open", time.Minute)
	<-core.node("n").sent
	for name, change := range map[string]func(*Request){
		"unknown class":     func(r *Request) { r.Class = "none" },
		"duplicate id":      func(r *Request) { r.ID = "open" },
		"process is ending": func(*Request) { core.Finish() },
	} {
		request, payload, answers := core.withPayload(name, time.Minute)
		change(request)
		released := make(chan int32, 1)
		request.Answer = func(a Answer) { released <- payload.releases.Load(); answers <- a }
		core.Submit(request)
		if got := <-released; got != 1 {
			t.Errorf("%s: released %d times before the answer, want once", name, got)
		}
	}
}

// The payload is released before the answer, so that a client's next request finds the memory free.
func TestPayloadIsReleasedBeforeAnswer(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
	request, payload, answers := core.withPayload("r", time.Minute)
	released := make(chan int32, 1)
	request.Answer = func(a Answer) { released <- payload.releases.Load(); answers <- a }
	core.Submit(request)
	(<-core.node("n").sent).Done(Result{Status: policy.OK})
	if got := <-released; got != 1 {
		t.Errorf("released %d times before the answer, want once", got)
	}
	expectAnswer(t, answers, Served)
}

// submitAndServe has a request served and returns a weak pointer to it.
func (f *fixture) submitAndServe(id string) weak.Pointer[Request] {
	request, answers := f.submit(id, "read")
	(<-f.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(f.t, answers, Served)
	return weak.Make(request)
}

// Guards against a request that stays in memory until its deadline, a minute here, although it was answered: neither a guard
// timer nor a table, a batch or a mailbox may refer to it.
func TestAnsweredRequestIsUnreachable(t *testing.T) {
	const requests, collections = 20, 100
	core := startCore(t, testSettings())
	core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
	var answered []weak.Pointer[Request]
	for i := range requests {
		answered = append(answered, core.submitAndServe(string(rune('a'+i))))
	}
	if sizes := core.TableSizes(); sizes != (TableSizes{}) {
		t.Errorf("%+v after all requests were answered", sizes)
	}
	reachable := 0
	for range collections {
		runtime.GC()
		reachable = 0
		for _, request := range answered {
			if request.Value() != nil {
				reachable++
			}
		}
		if reachable == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d of %d answered requests are still reachable", reachable, requests)
}
