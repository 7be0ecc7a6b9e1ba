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

// blockActor keeps the actor in a call until the return is called; what comes meanwhile waits in its mailbox.
func (r *fixture) blockActor() (release func()) {
	blocked, unblock := make(chan bool), make(chan bool)
	r.post(call(func() { close(blocked); <-unblock }))
	<-blocked
	release = sync.OnceFunc(func() { close(unblock) })
	r.t.Cleanup(release)
	return release
}

// newDisconnectingRequest is a request whose client may go.
func (r *fixture) newDisconnectingRequest(id, class string) (q *Request, got chan Answer, gone *atomic.Bool) {
	got, gone = make(chan Answer, 8), &atomic.Bool{}
	q = &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { got <- a }, ClientDisconnected: gone.Load}
	return q, got, gone
}

// checkTablesEmpty says that nothing of any request is held but guards, whose time is yet to come.
func (r *fixture) checkTablesEmpty() {
	r.t.Helper()
	r.OpenRequests() // what was told before has been taken, and is decided before the next call
	if got := r.TableSizes(); got.Requests != 0 || got.Module != 0 {
		r.t.Errorf("held: %+v", got)
	}
}

// An attempt that waits with its node does not begin once its client has gone, though the core has not heard of that; the
// request ends with it, and nothing of it is sent again.
func TestDisconnectBeforeCancelArrives(t *testing.T) {
	for _, class := range []string{"read", "record"} {
		r := startCore(t, settings())
		r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		q, got, gone := r.newDisconnectingRequest("a", class)
		r.Submit(q)
		first := <-r.node("n").sent
		release := r.blockActor()
		gone.Store(true)
		if first.Claim() {
			t.Fatalf("%s: it begins although its client has gone", class)
		}
		if !first.Abandoned() {
			t.Errorf("%s: it may yet begin", class)
		}
		first.Done(Result{Status: policy.Abandoned})
		release()
		r.OpenRequests() // its end has been taken, and is decided before the departure is told
		r.Cancel(q)
		expectNoAnswer(t, r, got)
		if n := len(r.node("n").sent); n > 0 {
			t.Errorf("%s: sent %d times more", class, n)
		}
		r.checkTablesEmpty()
		if n := r.Counters().inProgress.Load(); n != 0 {
			t.Errorf("%s: %d count as in progress", class, n)
		}
	}
}

// An attempt that began before its client went, and one whose client stays, are not held up.
func TestDisconnectAfterClaim(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	q, got, gone := r.newDisconnectingRequest("a", "read")
	r.Submit(q)
	a := <-r.node("n").sent
	if !a.Claim() {
		t.Fatal("it does not begin")
	}
	gone.Store(true)
	if a.Abandoned() {
		t.Error("an attempt that is out may not begin")
	}
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
	r.checkTablesEmpty()
}

// Hundreds come and go while the core is busy, more than it takes in one turn: in whichever turn each going is taken, none of
// their attempts begins.
func TestBurstOfDisconnects(t *testing.T) {
	const clients = maxBatch
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	release := r.blockActor()
	var all []*Request
	for i := range clients {
		q, _, gone := r.newDisconnectingRequest(fmt.Sprint(i), "read")
		r.Submit(q)
		all = append(all, q)
		gone.Store(true)
	}
	for _, q := range all {
		r.Cancel(q)
	}
	release()
	r.OpenRequests()
	sent := r.node("n").sent
	if len(sent) == 0 {
		t.Fatal("none was sent before its going was taken: the crossing was not reached")
	}
	for len(sent) > 0 {
		if a := <-sent; a.Claim() {
			t.Errorf("%s begins", a.Request.ID)
		} else {
			a.Done(Result{Status: policy.Abandoned})
		}
	}
	r.checkTablesEmpty()
}

// The going that is taken in the turn of its request's coming: nothing is sent, whether the request follows others or not.
func TestArrivalAndCancelInOneIteration(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	release := r.blockActor()
	plain, got, _ := r.newDisconnectingRequest("a", "read")
	follows, then, _ := r.newDisconnectingRequest("b", "read")
	plain.ClientDisconnected, follows.ClientDisconnected = nil, nil
	follows.AvoidNodes = []*AttemptedNodes{{nodes: []string{"n"}}}
	for _, q := range []*Request{plain, follows} {
		r.Submit(q)
		r.Cancel(q)
	}
	release()
	expectNoAnswer(t, r, got)
	expectNoAnswer(t, r, then)
	if n := len(r.node("n").sent) + len(r.node("m").sent); n > 0 {
		t.Errorf("%d were sent", n)
	}
	r.checkTablesEmpty()
}

// stallDuration is how long a process stands still.
const stallDuration = 300 * time.Millisecond

// After a standstill one turn takes what came meanwhile and the timers that are due: of a request whose client went, or whose
// time ended, nothing is sent, whatever makes room for it in that turn; and to a node that drains nothing is.
func TestNoLateDispatchAfterStall(t *testing.T) {
	room := func(r *fixture) {
		r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeUp)}})
	}
	for name, x := range map[string]struct {
		meanwhile func(r *fixture, q *Request)
		patience  time.Duration
		want      int // sent in the end
		kinds     []AnswerKind
	}{
		"room comes":                  {func(r *fixture, _ *Request) { room(r) }, time.Minute, 1, nil},
		"gone, then room":             {func(r *fixture, q *Request) { r.Cancel(q); room(r) }, time.Minute, 0, nil},
		"room, then gone":             {func(r *fixture, q *Request) { room(r); r.Cancel(q) }, time.Minute, 0, nil},
		"out of time, and room":       {func(r *fixture, _ *Request) { room(r) }, stallDuration - time.Millisecond, 0, []AnswerKind{Rejected, Failed}},
		"long out of time, and room":  {func(r *fixture, _ *Request) { room(r) }, stallDuration / 2, 0, []AnswerKind{Rejected, Failed}},
		"out of time, gone, and room": {func(r *fixture, q *Request) { r.Cancel(q); room(r) }, stallDuration / 2, 0, nil},
		"room, and it drains": {func(r *fixture, q *Request) {
			room(r)
			r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		}, time.Minute, 0, nil},
		"room, and it leaves": {func(r *fixture, q *Request) { room(r); r.UpdateList(ListUpdate{Kind: policy.ListReceived}) }, time.Minute, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startCore(t, settings())
				r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeDraining))
				q, got, _ := r.newDisconnectingRequest("a", "read")
				q.ClientDisconnected, q.Timeout = nil, x.patience
				r.Submit(q)
				if r.OpenRequests() != 1 {
					t.Fatal("it does not wait: the crossing was not reached")
				}
				release := r.blockActor()
				time.Sleep(stallDuration)
				x.meanwhile(r, q)
				release()
				r.OpenRequests()
				synctest.Wait()
				sent := r.node("n").sent
				if len(sent) != x.want {
					t.Errorf("%d were sent, want %d", len(sent), x.want)
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

// A node that a standing watch tells to drain is used for a part of the grace. A process that stands still past that part sends
// nothing to it when it wakes, and past the next its peer is closed in that turn, before anything is sent.
func TestDrainingUseEndsDuringStall(t *testing.T) {
	for name, x := range map[string]struct {
		grace, stands float64 // ms
		sent          int
		closed        bool
	}{
		"within the part":         {60e3, 300, 1, false},
		"past the part":           {2e3, 1200, 0, false},
		"past the peer's closing": {2e3, 1600, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := settings()
				set.DrainGrace = x.grace
				use, later := set.DrainingUseDuration(), set.DrainingUseDuration()+drainGuard*(x.grace-set.DrainingUseDuration())
				if use <= 0 || x.stands < use != (x.sent == 1) || x.stands > later != x.closed {
					t.Fatalf("the node is used for %v ms and closed after %v: the crossing is not reached", use, later)
				}
				r := startCore(t, set)
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				release := r.blockActor()
				q, _, _ := r.newDisconnectingRequest("a", "read")
				q.ClientDisconnected = nil
				r.Submit(q)
				time.Sleep(time.Duration(x.stands) * time.Millisecond)
				release()
				r.OpenRequests()
				synctest.Wait()
				n := r.node("n")
				n.mu.Lock()
				defer n.mu.Unlock()
				if len(n.sent) != x.sent || n.drained != x.closed {
					t.Errorf("%d were sent, closed %v", len(n.sent), n.drained)
				}
			})
		})
	}
}
