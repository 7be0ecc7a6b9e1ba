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

// blockActor blocks the actor until release is called; messages wait in its mailbox meanwhile.
func (r *fixture) blockActor() (release func()) {
	blocked, unblock := make(chan bool), make(chan bool)
	r.post(call(func() { close(blocked); <-unblock }))
	<-blocked
	release = sync.OnceFunc(func() { close(unblock) })
	r.t.Cleanup(release)
	return release
}

// newDisconnectingRequest makes a request whose client can disconnect.
func (r *fixture) newDisconnectingRequest(id, class string) (q *Request, got chan Answer, disconnected *atomic.Bool) {
	got, disconnected = make(chan Answer, 8), &atomic.Bool{}
	q = &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { got <- a }, ClientDisconnected: disconnected.Load}
	return q, got, disconnected
}

// checkTablesEmpty checks that no entries of requests remain, except guard timers, which fire later.
func (r *fixture) checkTablesEmpty() {
	r.t.Helper()
	r.OpenRequests() // the messages before have been handled, and are decided before the next call
	if got := r.TableSizes(); got.Requests != 0 || got.Module != 0 {
		r.t.Errorf("table sizes: %+v", got)
	}
}

// An attempt that waits at its node client cannot be claimed once its client has disconnected, before the core has
// handled the Cancel. The request ends with it, and is not dispatched again.
func TestDisconnectBeforeCancelArrives(t *testing.T) {
	for _, class := range []string{"read", "record"} {
		r := startCore(t, testSettings())
		r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		q, got, disconnected := r.newDisconnectingRequest("a", class)
		r.Submit(q)
		first := <-r.node("n").sent
		release := r.blockActor()
		disconnected.Store(true)
		if first.Claim() {
			t.Fatalf("%s: claimed although its client has disconnected", class)
		}
		if !first.Abandoned() {
			t.Errorf("%s: not abandoned", class)
		}
		first.Done(Result{Status: policy.Abandoned})
		release()
		r.OpenRequests() // its result has been handled, and is decided before the Cancel
		r.Cancel(q)
		expectNoAnswer(t, r, got)
		if n := len(r.node("n").sent); n > 0 {
			t.Errorf("%s: dispatched %d times more", class, n)
		}
		r.checkTablesEmpty()
		if n := r.Counters().inProgress.Load(); n != 0 {
			t.Errorf("%s: %d in progress", class, n)
		}
	}
}

// A disconnect after the claim does not abandon the attempt.
func TestDisconnectAfterClaim(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	q, got, disconnected := r.newDisconnectingRequest("a", "read")
	r.Submit(q)
	a := <-r.node("n").sent
	if !a.Claim() {
		t.Fatal("not claimed")
	}
	disconnected.Store(true)
	if a.Abandoned() {
		t.Error("a claimed attempt is abandoned")
	}
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
	r.checkTablesEmpty()
}

// More clients connect and disconnect while the core is busy than one iteration handles: none of their attempts can be
// claimed, in whichever iteration its Cancel is handled.
func TestBurstOfDisconnects(t *testing.T) {
	const clients = maxBatch
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	release := r.blockActor()
	var all []*Request
	for i := range clients {
		q, _, disconnected := r.newDisconnectingRequest(fmt.Sprint(i), "read")
		r.Submit(q)
		all = append(all, q)
		disconnected.Store(true)
	}
	for _, q := range all {
		r.Cancel(q)
	}
	release()
	r.OpenRequests()
	sent := r.node("n").sent
	if len(sent) == 0 {
		t.Fatal("none was dispatched before its Cancel was handled: the order under test was not reached")
	}
	for len(sent) > 0 {
		if a := <-sent; a.Claim() {
			t.Errorf("%s was claimed", a.Request.ID)
		} else {
			a.Done(Result{Status: policy.Abandoned})
		}
	}
	r.checkTablesEmpty()
}

// A request whose Cancel is handled in the same iteration is not dispatched, with and without nodes to avoid.
func TestArrivalAndCancelInOneIteration(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	release := r.blockActor()
	plain, got, _ := r.newDisconnectingRequest("a", "read")
	avoiding, gotAvoiding, _ := r.newDisconnectingRequest("b", "read")
	plain.ClientDisconnected, avoiding.ClientDisconnected = nil, nil
	avoiding.AvoidNodes = []*AttemptedNodes{{nodes: []string{"n"}}}
	for _, q := range []*Request{plain, avoiding} {
		r.Submit(q)
		r.Cancel(q)
	}
	release()
	expectNoAnswer(t, r, got)
	expectNoAnswer(t, r, gotAvoiding)
	if n := len(r.node("n").sent) + len(r.node("m").sent); n > 0 {
		t.Errorf("%d were dispatched", n)
	}
	r.checkTablesEmpty()
}

// stallDuration is how long a process is stalled.
const stallDuration = 300 * time.Millisecond

// stallCase is what arrives while a process is stalled, and what must follow.
type stallCase struct {
	meanwhile func(r *fixture, q *Request)
	timeout   time.Duration
	want      int // dispatched attempts
	kinds     []AnswerKind
}

// stallCases are the scenarios of TestNoLateDispatchAfterStall, by name.
func stallCases() map[string]stallCase {
	addCapacity := func(r *fixture) {
		r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeUp)}})
	}
	return map[string]stallCase{
		"capacity arrives":                           {func(r *fixture, _ *Request) { addCapacity(r) }, time.Minute, 1, nil},
		"disconnect, then capacity":                  {func(r *fixture, q *Request) { r.Cancel(q); addCapacity(r) }, time.Minute, 0, nil},
		"capacity, then disconnect":                  {func(r *fixture, q *Request) { addCapacity(r); r.Cancel(q) }, time.Minute, 0, nil},
		"deadline passed, then capacity":             {func(r *fixture, _ *Request) { addCapacity(r) }, stallDuration - time.Millisecond, 0, []AnswerKind{Rejected, Failed}},
		"deadline long passed, then capacity":        {func(r *fixture, _ *Request) { addCapacity(r) }, stallDuration / 2, 0, []AnswerKind{Rejected, Failed}},
		"deadline passed, disconnect, then capacity": {func(r *fixture, q *Request) { r.Cancel(q); addCapacity(r) }, stallDuration / 2, 0, nil},
		"capacity, then the node drains": {func(r *fixture, _ *Request) {
			addCapacity(r)
			r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		}, time.Minute, 0, nil},
		"capacity, then the node is removed": {func(r *fixture, _ *Request) { addCapacity(r); r.UpdateList(ListUpdate{Kind: policy.ListReceived}) }, time.Minute, 0, nil},
	}
}

// After a stall one iteration handles the messages that arrived meanwhile and the timers that are due. A request whose
// client disconnected or whose deadline passed is not dispatched in it, although capacity arrives in the same iteration,
// and nothing is dispatched to a draining node.
func TestNoLateDispatchAfterStall(t *testing.T) {
	for name, x := range stallCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startCore(t, testSettings())
				r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeDraining))
				q, got, _ := r.newDisconnectingRequest("a", "read")
				q.ClientDisconnected, q.Timeout = nil, x.timeout
				r.Submit(q)
				if r.OpenRequests() != 1 {
					t.Fatal("the request does not wait: the order under test was not reached")
				}
				release := r.blockActor()
				time.Sleep(stallDuration)
				x.meanwhile(r, q)
				release()
				r.OpenRequests()
				synctest.Wait()
				sent := r.node("n").sent
				if len(sent) != x.want {
					t.Errorf("%d were dispatched, want %d", len(sent), x.want)
				}
				if len(got) != len(x.kinds[:min(1, len(x.kinds))]) {
					t.Errorf("%d answers", len(got))
				}
				for len(got) > 0 {
					if a := <-got; a.Kind == Served {
						t.Errorf("%+v", a)
					}
				}
				for len(sent) > 0 {
					(<-sent).Done(Result{Status: policy.OK})
				}
				r.Cancel(q)
				r.OpenRequests()
			})
		})
	}
}

// A node that an open watch reports as draining is used for a part of the grace. A process that is stalled past that part
// dispatches nothing to it afterwards. Past the cutoff the node client is closed in the first iteration, before any
// dispatch.
func TestDrainingUseEndsDuringStall(t *testing.T) {
	for name, x := range map[string]struct {
		grace, stall float64 // ms
		sent         int
		closed       bool
	}{
		"within the part": {60e3, 300, 1, false},
		"past the part":   {2e3, 1200, 0, false},
		"past the cutoff": {2e3, 1600, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := testSettings()
				set.DrainGrace = x.grace
				use, later := set.DrainingUseDuration(), set.DrainingUseDuration()+drainCutoffShare*(x.grace-set.DrainingUseDuration())
				if use <= 0 || x.stall < use != (x.sent == 1) || x.stall > later != x.closed {
					t.Fatalf("the node is used for %v ms and closed after %v: the order under test is not reached", use, later)
				}
				r := startCore(t, set)
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				release := r.blockActor()
				q, _, _ := r.newDisconnectingRequest("a", "read")
				q.ClientDisconnected = nil
				r.Submit(q)
				time.Sleep(time.Duration(x.stall) * time.Millisecond)
				release()
				r.OpenRequests()
				synctest.Wait()
				n := r.node("n")
				n.mu.Lock()
				defer n.mu.Unlock()
				if len(n.sent) != x.sent || n.drained != x.closed {
					t.Errorf("%d were dispatched, closed %v", len(n.sent), n.drained)
				}
			})
		})
	}
}
