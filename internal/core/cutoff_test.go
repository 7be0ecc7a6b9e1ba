package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// longGraceSettings permits the use of a draining node for 500 ms; its client is closed after 700 ms.
func longGraceSettings() policy.Settings {
	set := testSettings()
	set.DrainGrace = 1000
	return set
}

const cutoffAfter = 700 * time.Millisecond

// isDrained reports whether the client of node n is closed to new attempts, after the actor has run the due timers.
func (r *fixture) isDrained() bool {
	r.OpenRequests()
	f := r.node("n")
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained
}

// An attempt that waiting for its connection while its node drains cannot be claimed past the cutoff, also if the actor is
// stalled and its timer cannot close the node client.
func TestDrainCutoffHoldsWhileActorIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, longGraceSettings())
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		_, early := r.submit("early", "read")
		first := <-r.node("n").sent
		_, late := r.submit("late", "read")
		second := <-r.node("n").sent
		r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
		blocked, unblock := make(chan struct{}), make(chan struct{})
		r.post(call(func() { close(blocked); <-unblock }))
		<-blocked
		time.Sleep(cutoffAfter - time.Millisecond)
		if first.Abandoned() || !first.Claim() {
			t.Error("not claimed before the cutoff")
		}
		time.Sleep(2 * time.Millisecond)
		if !second.Abandoned() || second.Claim() {
			t.Error("claimed at a draining node past the cutoff")
		}
		if f := r.node("n"); f.drained {
			t.Error("the node client was closed: the actor was not stalled")
		}
		close(unblock)
		if !r.isDrained() {
			t.Error("the late timer does not close the node client")
		}
		second.Done(Result{Status: policy.Abandoned})
		first.Done(Result{Status: policy.OK})
		expectAnswer(t, early, Served)
		r.Finish()
		expectAnswer(t, late, Failed)
	})
}

// If a node drains, returns and drains again, the timer of its first drain does not close its client, and that of the
// last one does. An attempt from before can be claimed while the node is up.
func TestRepeatedDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step = 100 * time.Millisecond
		r := startCore(t, longGraceSettings())
		up, drains := newNode("n", 0, policy.NodeUp), newNode("n", 0, policy.NodeDraining)
		r.updateList(policy.ListReceived, up)
		r.submit("a", "read")
		waiting := <-r.node("n").sent
		r.updateList(policy.ListChanged, drains)
		time.Sleep(step)
		r.updateList(policy.ListChanged, up)
		time.Sleep(cutoffAfter)
		if r.isDrained() || waiting.Abandoned() {
			t.Error("closed after its return by the timer of its drain")
		}
		r.updateList(policy.ListChanged, drains)
		time.Sleep(step)
		r.updateList(policy.ListChanged, up)
		time.Sleep(step)
		r.updateList(policy.ListChanged, drains)
		r.updateList(policy.ListReceived, drains) // reported again by another watch: the first report counts
		time.Sleep(cutoffAfter - step)
		if r.isDrained() || waiting.Abandoned() {
			t.Error("closed early, by the timer of the drain before")
		}
		time.Sleep(step - time.Millisecond)
		if r.isDrained() || waiting.Abandoned() {
			t.Error("closed early")
		}
		time.Sleep(2 * time.Millisecond)
		if !r.isDrained() || !waiting.Abandoned() {
			t.Error("its second drain does not close it")
		}
		r.updateList(policy.ListChanged, up)
		if r.isDrained() || waiting.Abandoned() {
			t.Error("not open after its return")
		}
	})
}

// A draining node's client is closed at once or at the cutoff, and is not opened again while the node drains: after an
// exclusion and its end, a failed watch, an address change, and a panic of the module.
func TestDrainingNodeStaysClosed(t *testing.T) {
	for name, then := range map[string]func(r *fixture){
		"excluded and included": func(r *fixture) { _, _ = r.Exclude("n"); _, _ = r.Include("n") },
		"the watch fails, and another reports the drain": func(r *fixture) {
			r.updateList(policy.ListFailed)
			r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
		"another address": func(r *fixture) {
			n := newNode("n", 0, policy.NodeDraining)
			n.Addresses = addrs("127.0.0.1:2")
			r.updateList(policy.ListChanged, n)
		},
		"the module panics": func(r *fixture) {
			r.post(call(func() {
				r.scheduler = nil
				r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
			}))
			r.OpenRequests() // the step that panics is that of this iteration
			r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startCore(t, longGraceSettings())
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				if r.isDrained() {
					t.Fatal("closed at once: the case is not reached")
				}
				then(r)
				closed := r.isDrained()
				for range 3 * int(cutoffAfter/time.Millisecond) {
					time.Sleep(time.Millisecond)
					if now := r.isDrained(); closed && !now {
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

// The first attempt of a request that is idempotent by key still waiting for its connection when a hedge is dispatched: it
// cannot be claimed after the time in which the node would deduplicate it.
func TestFirstAttemptStartsWithinHedgeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		set.MayHedge = true
		r := startCore(t, set)
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, got := r.submit("a", "record")
		first := <-r.node("n").sent
		hedge := <-r.node("n").sent // after the hedge delay
		if hedge.Request != first.Request || hedge.StartBy.IsZero() {
			t.Fatalf("dispatched %+v, want a hedge with StartBy", hedge)
		}
		if !hedge.Claim() {
			t.Fatal("the hedge is not claimed")
		}
		time.Sleep(time.Until(sent.Add(2500*time.Millisecond)) - 10*time.Millisecond)
		if first.Abandoned() {
			t.Error("abandoned before the window's end")
		}
		time.Sleep(11 * time.Millisecond)
		if !first.Abandoned() || first.Claim() {
			t.Error("claimed after the deduplication window")
		}
		first.Done(Result{Status: policy.Abandoned})
		hedge.Done(Result{Status: policy.OK})
		expectAnswer(t, got, Served)
		expectNoAnswer(t, r, got)
	})
}

// While its node drains, a request is neither retried nor hedged there.
func TestNoRetryOrHedgeAtDrainingNode(t *testing.T) {
	for name, ended := range map[string]func(first *Attempt){
		"retry": func(first *Attempt) { first.Done(Result{Status: policy.ConnectionReset}) },
		"hedge": func(*Attempt) { time.Sleep(10 * time.Second) }, // past the hedge delay
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := testSettings()
				set.MayHedge = true
				r := startCore(t, set)
				r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				r.submit("a", "record")
				first := <-r.node("n").sent
				r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				ended(first)
				r.OpenRequests()
				r.OpenRequests() // the step with the result has run
				if n := len(r.node("n").sent); n != 0 {
					t.Errorf("%d more were dispatched", n)
				}
			})
		})
	}
}

// A drain that arrives while more requests wait than one iteration handles: none of them is dispatched to the node.
func TestDrainIsAppliedBeforeWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, testSettings())
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		blocked, unblock := make(chan struct{}), make(chan struct{})
		r.post(call(func() { close(blocked); <-unblock }))
		<-blocked
		for i := range 2 * maxBatch {
			r.submit(fmt.Sprint("r", i), "read")
		}
		r.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		close(unblock)
		r.OpenRequests()
		r.OpenRequests() // the step of the last batch has run
		if !r.isDrained() {
			t.Error("the drain was not applied")
		}
		if n := len(r.node("n").sent); n != 0 {
			t.Errorf("%d were dispatched to it", n)
		}
	})
}
