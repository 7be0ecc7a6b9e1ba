package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// longGraceSettings has a node that drains used for 500 ms of the grace; its peer is closed after 700 ms.
func longGraceSettings() policy.Settings {
	set := settings()
	set.DrainGrace = 1000
	return set
}

const cutoffAfter = 700 * time.Millisecond

// isDrained says whether a peer is closed to new work, once the actor has run the timers that are due.
func (r *fixture) isDrained(name string) bool {
	r.OpenRequests()
	f := r.node(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained
}

// An attempt that waits for its connection while its node drains does not begin past the cutoff, also where the
// actor stands still and its timer cannot close the peer; one that comes in time does.
func TestDrainCutoffHoldsWhileActorIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, longGraceSettings())
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		_, early := r.submit("early", "read", time.Minute)
		first := <-r.node("n").sent
		_, late := r.submit("late", "read", time.Minute)
		second := <-r.node("n").sent
		r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
		stuck, free := make(chan struct{}), make(chan struct{})
		r.post(call(func() { close(stuck); <-free }))
		<-stuck
		time.Sleep(cutoffAfter - time.Millisecond)
		if first.Abandoned() || !first.Claim() {
			t.Error("the one that came in time does not begin")
		}
		time.Sleep(2 * time.Millisecond)
		if !second.Abandoned() || second.Claim() {
			t.Error("begins at a draining node past the cutoff")
		}
		if f := r.node("n"); f.drained {
			t.Error("the peer was closed all the same: the actor did not stand still")
		}
		close(free)
		if !r.isDrained("n") {
			t.Error("the late timer does not close the peer")
		}
		second.Done(Result{Status: policy.Abandoned})
		first.Done(Result{Status: policy.OK})
		expectAnswer(t, early, Served)
		r.Finish()
		expectAnswer(t, late, Failed)
	})
}

// A node that drains, returns and drains again: the timer of its first drain neither closes its peer early nor
// after its return, and the second's does. What was sent before goes out while it is up.
func TestRepeatedDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step = 100 * time.Millisecond
		r := startCore(t, longGraceSettings())
		up, drains := newNode("n", 0, policy.NodeUp), newNode("n", 0, policy.NodeDraining)
		r.updateList(policy.ListReceived, up)
		r.submit("a", "read", time.Minute)
		waits := <-r.node("n").sent
		r.updateList(policy.ListChanged, drains)
		time.Sleep(step)
		r.updateList(policy.ListChanged, up)
		time.Sleep(cutoffAfter)
		if r.isDrained("n") || waits.Abandoned() {
			t.Error("closed after its return by the timer of its drain")
		}
		r.updateList(policy.ListChanged, drains)
		time.Sleep(step)
		r.updateList(policy.ListChanged, up)
		time.Sleep(step)
		r.updateList(policy.ListChanged, drains)
		r.updateList(policy.ListReceived, drains) // told again by another watch: the first word counts
		time.Sleep(cutoffAfter - step)
		if r.isDrained("n") || waits.Abandoned() {
			t.Error("closed early, by the timer of the drain before")
		}
		time.Sleep(step - time.Millisecond)
		if r.isDrained("n") || waits.Abandoned() {
			t.Error("closed early")
		}
		time.Sleep(2 * time.Millisecond)
		if !r.isDrained("n") || !waits.Abandoned() {
			t.Error("its second drain does not close it")
		}
		r.updateList(policy.ListChanged, up)
		if r.isDrained("n") || waits.Abandoned() {
			t.Error("not open after its return")
		}
	})
}

// A drain that is heard, and then: out by hand and back, a broken watch, the module's fault. Each closes the peer
// at once or at the cutoff, and none opens it again while the node drains.
func TestDrainingNodeStaysClosed(t *testing.T) {
	for name, then := range map[string]func(r *fixture){
		"out by hand and back": func(r *fixture) { r.Exclude("n"); r.Include("n") },
		"the watch breaks, and another tells it again": func(r *fixture) {
			r.updateList(policy.ListFailed)
			r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
		"another address": func(r *fixture) {
			n := newNode("n", 0, policy.NodeDraining)
			n.Addresses = addrs("127.0.0.1:2")
			r.updateList(policy.ListChanged, n)
		},
		"the module's fault": func(r *fixture) {
			r.post(call(func() {
				r.scheduler = nil
				r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
			}))
			r.OpenRequests() // the step that breaks is this turn's
			r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startCore(t, longGraceSettings())
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				if r.isDrained("n") {
					t.Fatal("closed at once: nothing is tested")
				}
				then(r)
				closed := r.isDrained("n")
				for range 3 * int(cutoffAfter/time.Millisecond) {
					time.Sleep(time.Millisecond)
					if now := r.isDrained("n"); closed && !now {
						t.Fatal("opened again while it drains")
					} else {
						closed = now
					}
				}
				if !closed {
					t.Error("never closed")
				}
			})
		})
	}
}

// The first attempt of a keyed request still waits for its connection when a copy of it goes out: it does not begin
// after the time in which the node would know it for the copy's repeat.
func TestFirstAttemptStartsWithinHedgeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := settings()
		set.MayHedge = true
		r := startCore(t, set)
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, got := r.submit("a", "record", time.Minute)
		first := <-r.node("n").sent
		copied := <-r.node("n").sent // once the node counts as silent
		if copied.Request != first.Request || copied.StartBy.IsZero() {
			t.Fatalf("sent %+v, want a copy that is bound", copied)
		}
		if !copied.Claim() {
			t.Fatal("the copy does not begin")
		}
		time.Sleep(time.Until(sent.Add(2500*time.Millisecond)) - 10*time.Millisecond)
		if first.Abandoned() {
			t.Error("bound before the window's end")
		}
		time.Sleep(11 * time.Millisecond)
		if !first.Abandoned() || first.Claim() {
			t.Error("begins although the node may have forgotten its copy")
		}
		first.Done(Result{Status: policy.Abandoned})
		copied.Done(Result{Status: policy.OK})
		expectAnswer(t, got, Served)
		expectNoAnswer(t, r, got)
	})
}

// A request whose attempt ends in doubt, or is overtaken by time, once its node drains: neither a repeat nor a copy goes
// there.
func TestNoRetryOrHedgeAtDrainingNode(t *testing.T) {
	for name, ended := range map[string]func(first *Attempt){
		"a repeat": func(first *Attempt) { first.Done(Result{Status: policy.ConnectionReset}) },
		"a copy":   func(*Attempt) { time.Sleep(10 * time.Second) }, // silent for long
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := settings()
				set.MayHedge = true
				r := startCore(t, set)
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.submit("a", "record", time.Minute)
				first := <-r.node("n").sent
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				ended(first)
				r.OpenRequests()
				r.OpenRequests() // the step of the end has been taken
				if n := len(r.node("n").sent); n != 0 {
					t.Errorf("%d more were sent", n)
				}
			})
		})
	}
}

// A drain that is heard while more waits for the actor than it takes at once: nothing of that is sent to the node.
func TestDrainIsAppliedBeforeWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, settings())
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		stuck, free := make(chan struct{}), make(chan struct{})
		r.post(call(func() { close(stuck); <-free }))
		<-stuck
		for i := range 2 * maxBatch {
			r.submit(fmt.Sprint("r", i), "read", time.Minute)
		}
		r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		close(free)
		r.OpenRequests()
		r.OpenRequests() // the step of the last batch has been taken
		if !r.isDrained("n") {
			t.Error("the drain was not heard")
		}
		if n := len(r.node("n").sent); n != 0 {
			t.Errorf("%d were sent to it", n)
		}
	})
}
