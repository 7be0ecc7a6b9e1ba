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

// hold keeps the actor in a call until the return is called; what comes meanwhile waits in its mailbox.
func (r *rig) hold() (release func()) {
	held, let := make(chan bool), make(chan bool)
	r.post(message{call: func() { close(held); <-let }})
	<-held
	release = sync.OnceFunc(func() { close(let) })
	r.t.Cleanup(release)
	return release
}

// leaver is a request whose client may go.
func (r *rig) leaver(id, class string) (q *Request, got chan Answer, gone *atomic.Bool) {
	got, gone = make(chan Answer, 8), &atomic.Bool{}
	q = &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a Answer) { got <- a }, ClientDisconnected: gone.Load}
	return q, got, gone
}

// empty says that nothing of any request is held but guards, whose time is yet to come.
func (r *rig) empty() {
	r.t.Helper()
	r.OpenRequests() // what was told before has been taken, and is decided before the next call
	if got := r.TableSizes(); got.Requests != 0 || got.Module != 0 {
		r.t.Errorf("held: %+v", got)
	}
}

// An attempt that waits with its node does not begin once its client has gone, though the core has not heard of that; the
// request ends with it, and nothing of it is sent again.
func TestGoneBeforeTheCoreHears(t *testing.T) {
	for _, class := range []string{"read", "record"} {
		r := start(t, settings())
		r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
		q, got, gone := r.leaver("a", class)
		r.Submit(q)
		first := <-r.peer("n").sent
		release := r.hold()
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
		none(t, r, got)
		if n := len(r.peer("n").sent); n > 0 {
			t.Errorf("%s: sent %d times more", class, n)
		}
		r.empty()
		if n := r.Counters().progress.Load(); n != 0 {
			t.Errorf("%s: %d count as in progress", class, n)
		}
	}
}

// An attempt that began before its client went, and one whose client stays, are not held up.
func TestGoneAfterBegin(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	q, got, gone := r.leaver("a", "read")
	r.Submit(q)
	a := <-r.peer("n").sent
	if !a.Claim() {
		t.Fatal("it does not begin")
	}
	gone.Store(true)
	if a.Abandoned() {
		t.Error("an attempt that is out may not begin")
	}
	a.Done(Result{Status: policy.OK})
	one(t, got, Served)
	r.empty()
}

// Hundreds come and go while the core is busy, more than it takes in one turn: in whichever turn each going is taken, none of
// their attempts begins.
func TestBurstOfLeavingClients(t *testing.T) {
	const clients = batchMost
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	release := r.hold()
	var all []*Request
	for i := range clients {
		q, _, gone := r.leaver(fmt.Sprint(i), "read")
		r.Submit(q)
		all = append(all, q)
		gone.Store(true)
	}
	for _, q := range all {
		r.Cancel(q)
	}
	release()
	r.OpenRequests()
	sent := r.peer("n").sent
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
	r.empty()
}

// The going that is taken in the turn of its request's coming: nothing is sent, whether the request follows others or not.
func TestComesAndGoesInOneTurn(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp), node("m", 0, policy.NodeUp))
	release := r.hold()
	plain, got, _ := r.leaver("a", "read")
	follows, then, _ := r.leaver("b", "read")
	plain.ClientDisconnected, follows.ClientDisconnected = nil, nil
	follows.AvoidNodes = []*AttemptedNodes{{nodes: []string{"n"}}}
	for _, q := range []*Request{plain, follows} {
		r.Submit(q)
		r.Cancel(q)
	}
	release()
	none(t, r, got)
	none(t, r, then)
	if n := len(r.peer("n").sent) + len(r.peer("m").sent); n > 0 {
		t.Errorf("%d were sent", n)
	}
	r.empty()
}

// stood is how long a process stands still.
const stood = 300 * time.Millisecond

// After a standstill one turn takes what came meanwhile and the timers that are due: of a request whose client went, or whose
// time ended, nothing is sent, whatever makes room for it in that turn; and to a node that drains nothing is.
func TestNoLateSendAfterAStandstill(t *testing.T) {
	room := func(r *rig) {
		r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{node("n", 0, policy.NodeUp)}})
	}
	for name, x := range map[string]struct {
		meanwhile func(r *rig, q *Request)
		patience  time.Duration
		want      int // sent in the end
		kinds     []AnswerKind
	}{
		"room comes":                  {func(r *rig, q *Request) { room(r) }, time.Minute, 1, nil},
		"gone, then room":             {func(r *rig, q *Request) { r.Cancel(q); room(r) }, time.Minute, 0, nil},
		"room, then gone":             {func(r *rig, q *Request) { room(r); r.Cancel(q) }, time.Minute, 0, nil},
		"out of time, and room":       {func(r *rig, q *Request) { room(r) }, stood - time.Millisecond, 0, []AnswerKind{Rejected, Failed}},
		"long out of time, and room":  {func(r *rig, q *Request) { room(r) }, stood / 2, 0, []AnswerKind{Rejected, Failed}},
		"out of time, gone, and room": {func(r *rig, q *Request) { r.Cancel(q); room(r) }, stood / 2, 0, nil},
		"room, and it drains": {func(r *rig, q *Request) {
			room(r)
			r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{node("n", 0, policy.NodeDraining)}})
		}, time.Minute, 0, nil},
		"room, and it leaves": {func(r *rig, q *Request) { room(r); r.UpdateList(ListUpdate{Kind: policy.ListReceived}) }, time.Minute, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := start(t, settings())
				r.list(policy.CachedListLoaded, node("n", 0, policy.NodeDraining))
				q, got, _ := r.leaver("a", "read")
				q.ClientDisconnected, q.Timeout = nil, x.patience
				r.Submit(q)
				if r.OpenRequests() != 1 {
					t.Fatal("it does not wait: the crossing was not reached")
				}
				release := r.hold()
				time.Sleep(stood)
				x.meanwhile(r, q)
				release()
				r.OpenRequests()
				synctest.Wait()
				sent := r.peer("n").sent
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
func TestDrainUseEndsOverAStandstill(t *testing.T) {
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
				r := start(t, set)
				r.list(policy.ListReceived, node("n", 0, policy.NodeUp))
				r.list(policy.ListChanged, node("n", 0, policy.NodeDraining))
				release := r.hold()
				q, _, _ := r.leaver("a", "read")
				q.ClientDisconnected = nil
				r.Submit(q)
				time.Sleep(time.Duration(x.stands) * time.Millisecond)
				release()
				r.OpenRequests()
				synctest.Wait()
				n := r.peer("n")
				n.mu.Lock()
				defer n.mu.Unlock()
				if len(n.sent) != x.sent || n.drained != x.closed {
					t.Errorf("%d were sent, closed %v", len(n.sent), n.drained)
				}
			})
		})
	}
}
