package core

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// blockActor blocks the actor until release is called. Messages wait in the mailbox meanwhile.
func (f *fixture) blockActor() (release func()) {
	blocked, unblock := make(chan bool), make(chan bool)
	f.post(call(func() { close(blocked); <-unblock }))
	<-blocked
	release = sync.OnceFunc(func() { close(unblock) })
	f.t.Cleanup(release)
	return release
}

// newDisconnectingRequest returns a request, the channel of its answers, and a flag that the test sets to disconnect the
// client.
func (f *fixture) newDisconnectingRequest(id, class string) (request *Request, answers chan Answer, disconnected *atomic.Bool) {
	answers, disconnected = make(chan Answer, 8), &atomic.Bool{}
	request = &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { answers <- a }, ClientDisconnected: disconnected.Load}
	return request, answers, disconnected
}

// checkTablesEmpty checks that no entries for requests remain, except guard timers, which fire later.
func (f *fixture) checkTablesEmpty() {
	f.t.Helper()
	f.OpenRequests() // returns once the earlier messages are handled; their step runs before TableSizes is handled
	if got := f.TableSizes(); got.Requests != 0 || got.Module != 0 {
		f.t.Errorf("table sizes: %+v", got)
	}
}

// An attempt that waits at its node client cannot be claimed once the request's client has disconnected, even before the
// core has handled the Cancel. The request then ends and is not retried.
func TestDisconnectBeforeCancelArrives(t *testing.T) {
	for _, class := range []string{"read", "record"} {
		core := startCore(t, testSettings())
		core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		request, answers, disconnected := core.newDisconnectingRequest("a", class)
		core.Submit(request)
		first := <-core.node("n").sent
		release := core.blockActor()
		disconnected.Store(true)
		if first.Claim() {
			t.Fatalf("%s: the attempt was claimed after its client disconnected", class)
		}
		if !first.Abandoned() {
			t.Errorf("%s: the attempt is not abandoned", class)
		}
		first.Done(Result{Status: policy.Abandoned})
		release()
		core.OpenRequests() // returns once the result is handled; its step runs before the Cancel is handled
		core.Cancel(request)
		expectNoAnswer(t, core, answers)
		if n := len(core.node("n").sent); n > 0 {
			t.Errorf("%s: %d more attempts were dispatched, want 0", class, n)
		}
		core.checkTablesEmpty()
		if n := core.Counters().inProgress.Load(); n != 0 {
			t.Errorf("%s: %d requests in progress, want 0", class, n)
		}
	}
}

// A disconnect after the claim does not abandon the attempt.
func TestDisconnectAfterClaimKeepsAttempt(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	request, answers, disconnected := core.newDisconnectingRequest("a", "read")
	core.Submit(request)
	attempt := <-core.node("n").sent
	if !attempt.Claim() {
		t.Fatal("the attempt could not be claimed")
	}
	disconnected.Store(true)
	if attempt.Abandoned() {
		t.Error("a claimed attempt is abandoned")
	}
	attempt.Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
	core.checkTablesEmpty()
}

// While the core is busy, more clients submit a request and disconnect than one iteration handles. None of their attempts
// can be claimed, regardless of the iteration in which its Cancel is handled.
func TestBurstOfDisconnects(t *testing.T) {
	const clients = maxBatch
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	release := core.blockActor()
	var requests []*Request
	for i := range clients {
		request, _, disconnected := core.newDisconnectingRequest(fmt.Sprint(i), "read")
		core.Submit(request)
		requests = append(requests, request)
		disconnected.Store(true)
	}
	for _, request := range requests {
		core.Cancel(request)
	}
	release()
	core.OpenRequests()
	sent := core.node("n").sent
	if len(sent) == 0 {
		t.Fatal("no attempt was dispatched before its Cancel was handled, so the order under test was not reached")
	}
	for len(sent) > 0 {
		if attempt := <-sent; attempt.Claim() {
			t.Errorf("the attempt of request %s was claimed", attempt.Request.ID)
		} else {
			attempt.Done(Result{Status: policy.Abandoned})
		}
	}
	core.checkTablesEmpty()
}

// A request whose Cancel is handled in the same iteration is not dispatched, with and without nodes to avoid.
func TestArrivalAndCancelInOneIteration(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	release := core.blockActor()
	plain, plainAnswers, _ := core.newDisconnectingRequest("a", "read")
	avoiding, avoidingAnswers, _ := core.newDisconnectingRequest("b", "read")
	plain.ClientDisconnected, avoiding.ClientDisconnected = nil, nil
	avoiding.AvoidNodes = []*AttemptedNodes{{nodes: []string{"n"}}}
	for _, request := range []*Request{plain, avoiding} {
		core.Submit(request)
		core.Cancel(request)
	}
	release()
	expectNoAnswer(t, core, plainAnswers)
	expectNoAnswer(t, core, avoidingAnswers)
	if n := len(core.node("n").sent) + len(core.node("m").sent); n > 0 {
		t.Errorf("%d attempts were dispatched, want 0", n)
	}
	core.checkTablesEmpty()
}

// stallDuration is how long a process is stalled.
const stallDuration = 300 * time.Millisecond

// stallCase is what arrives while a process is stalled, and the expected result.
type stallCase struct {
	duringStall    func(f *fixture, request *Request)
	timeout        time.Duration
	wantDispatched int // number of attempts
	wantAnswers    []AnswerKind
}

// stallCases returns the scenarios of TestNoLateDispatchAfterStall by name.
func stallCases() map[string]stallCase {
	addCapacity := func(f *fixture) {
		f.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeUp)}})
	}
	return map[string]stallCase{
		"capacity arrives":                           {func(f *fixture, _ *Request) { addCapacity(f) }, time.Minute, 1, nil},
		"disconnect, then capacity":                  {func(f *fixture, request *Request) { f.Cancel(request); addCapacity(f) }, time.Minute, 0, nil},
		"capacity, then disconnect":                  {func(f *fixture, request *Request) { addCapacity(f); f.Cancel(request) }, time.Minute, 0, nil},
		"deadline passed, then capacity":             {func(f *fixture, _ *Request) { addCapacity(f) }, stallDuration - time.Millisecond, 0, []AnswerKind{Rejected, Failed}},
		"deadline long passed, then capacity":        {func(f *fixture, _ *Request) { addCapacity(f) }, stallDuration / 2, 0, []AnswerKind{Rejected, Failed}},
		"deadline passed, disconnect, then capacity": {func(f *fixture, request *Request) { f.Cancel(request); addCapacity(f) }, stallDuration / 2, 0, nil},
		"capacity, then the node drains": {func(f *fixture, _ *Request) {
			addCapacity(f)
			f.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		}, time.Minute, 0, nil},
		"capacity, then the node is removed": {func(f *fixture, _ *Request) { addCapacity(f); f.UpdateList(ListUpdate{Kind: policy.ListReceived}) }, time.Minute, 0, nil},
	}
}

// After a stall, one iteration handles the messages that arrived meanwhile and the timers that are due. A request whose
// client disconnected or whose deadline passed is not dispatched in it, even if capacity becomes available in the same
// iteration. Nothing is dispatched to a draining node.
func TestNoLateDispatchAfterStall(t *testing.T) {
	for name, tc := range stallCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := startCore(t, testSettings())
				core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeDraining))
				request, answers, _ := core.newDisconnectingRequest("a", "read")
				request.ClientDisconnected, request.Timeout = nil, tc.timeout
				core.Submit(request)
				if core.OpenRequests() != 1 {
					t.Fatal("the request does not wait, so the order under test was not reached")
				}
				release := core.blockActor()
				time.Sleep(stallDuration)
				tc.duringStall(core, request)
				release()
				core.OpenRequests()
				synctest.Wait()
				dispatched := core.node("n").sent
				if len(dispatched) != tc.wantDispatched {
					t.Errorf("%d attempts were dispatched, want %d", len(dispatched), tc.wantDispatched)
				}
				if len(answers) != len(tc.wantAnswers[:min(1, len(tc.wantAnswers))]) {
					t.Errorf("unexpected number of answers: %d", len(answers))
				}
				for len(answers) > 0 {
					if answer := <-answers; answer.Kind == Served {
						t.Errorf("the request was served: %+v", answer)
					}
				}
				for len(dispatched) > 0 {
					(<-dispatched).Done(Result{Status: policy.OK})
				}
				core.Cancel(request)
				core.OpenRequests()
			})
		})
	}
}

// A node that an open watch reports as draining is used for a part of the grace period. A process that is stalled longer
// than that dispatches nothing to the node afterwards. After a stall past the cutoff, the first iteration closes the node
// client before any dispatch.
func TestDrainingUseEndsDuringStall(t *testing.T) {
	for name, tc := range map[string]struct {
		grace, stall float64 // ms
		sent         int
		closed       bool
	}{
		"within the use":  {60e3, 300, 1, false},
		"past the use":    {2e3, 1200, 0, false},
		"past the cutoff": {2e3, 1600, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := testSettings()
				settings.DrainGrace = tc.grace
				use, later := settings.DrainingUseDuration(), settings.DrainingUseDuration()+drainCutoffShare*(tc.grace-settings.DrainingUseDuration())
				if use <= 0 || tc.stall < use != (tc.sent == 1) || tc.stall > later != tc.closed {
					t.Fatalf("the node is used for %v ms and closed after %v: the order under test was not reached", use, later)
				}
				core := startCore(t, settings)
				core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				release := core.blockActor()
				request, _, _ := core.newDisconnectingRequest("a", "read")
				request.ClientDisconnected = nil
				core.Submit(request)
				time.Sleep(time.Duration(tc.stall) * time.Millisecond)
				release()
				core.OpenRequests()
				synctest.Wait()
				node := core.node("n")
				node.mu.Lock()
				defer node.mu.Unlock()
				if len(node.sent) != tc.sent || node.drained != tc.closed {
					t.Errorf("%d attempts were dispatched, client closed: %v", len(node.sent), node.drained)
				}
			})
		})
	}
}
