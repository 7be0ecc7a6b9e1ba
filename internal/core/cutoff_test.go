package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// longGraceSettings returns settings that permit the use of a draining node for 500 ms. The node's client is closed after
// 700 ms.
func longGraceSettings() policy.Settings {
	settings := testSettings()
	settings.DrainGrace = 1000
	return settings
}

const cutoffAfter = 700 * time.Millisecond

// isDrained reports whether the client of node n is closed to new attempts, after the actor has run the due timers.
func (f *fixture) isDrained() bool {
	f.OpenRequests()
	node := f.node("n")
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.drained
}

// An attempt that waits for a connection while its node drains cannot be claimed after the cutoff, even if the actor is
// stalled and cannot close the node client.
func TestDrainCutoffHoldsWhileActorIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := startCore(t, longGraceSettings())
		core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		_, early := core.submit("early", "read")
		first := <-core.node("n").sent
		_, late := core.submit("late", "read")
		second := <-core.node("n").sent
		core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
		blocked, unblock := make(chan struct{}), make(chan struct{})
		core.post(call(func() { close(blocked); <-unblock }))
		<-blocked
		time.Sleep(cutoffAfter - time.Millisecond)
		if first.Abandoned() || !first.Claim() {
			t.Error("the attempt could not be claimed before the cutoff")
		}
		time.Sleep(2 * time.Millisecond)
		if !second.Abandoned() || second.Claim() {
			t.Error("an attempt at a draining node was claimed after the cutoff")
		}
		if node := core.node("n"); node.drained {
			t.Error("the node client was closed, so the actor was not stalled")
		}
		close(unblock)
		if !core.isDrained() {
			t.Error("the late timer did not close the node client")
		}
		second.Done(Result{Status: policy.Abandoned})
		first.Done(Result{Status: policy.OK})
		expectAnswer(t, early, Served)
		core.Finish()
		expectAnswer(t, late, Failed)
	})
}

// If a node drains, comes up and drains again, only the timer of the last drain closes the node's client. An attempt that
// was dispatched before the drains can be claimed while the node is up.
func TestRepeatedDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step = 100 * time.Millisecond
		core := startCore(t, longGraceSettings())
		up, draining := newNode("n", 0, policy.NodeUp), newNode("n", 0, policy.NodeDraining)
		core.updateList(policy.ListReceived, up)
		core.submit("a", "read")
		waiting := <-core.node("n").sent
		core.updateList(policy.ListChanged, draining)
		time.Sleep(step)
		core.updateList(policy.ListChanged, up)
		time.Sleep(cutoffAfter)
		if core.isDrained() || waiting.Abandoned() {
			t.Error("the timer of the ended drain closed a node that is up")
		}
		core.updateList(policy.ListChanged, draining)
		time.Sleep(step)
		core.updateList(policy.ListChanged, up)
		time.Sleep(step)
		core.updateList(policy.ListChanged, draining)
		core.updateList(policy.ListReceived, draining) // another watch reports the drain again, but the first report counts
		time.Sleep(cutoffAfter - step)
		if core.isDrained() || waiting.Abandoned() {
			t.Error("the timer of the previous drain closed the node")
		}
		time.Sleep(step - time.Millisecond)
		if core.isDrained() || waiting.Abandoned() {
			t.Error("the node was closed before the cutoff of its last drain")
		}
		time.Sleep(2 * time.Millisecond)
		if !core.isDrained() || !waiting.Abandoned() {
			t.Error("the node was not closed at the cutoff of its last drain")
		}
		core.updateList(policy.ListChanged, up)
		if core.isDrained() || waiting.Abandoned() {
			t.Error("the node was not opened again when it came up")
		}
	})
}

// The client of a draining node is closed at once or at the cutoff, and is not opened again while the node drains. Neither
// the end of an exclusion nor a failed watch, an address change or a panic of the decision module opens it.
func TestDrainingNodeStaysClosed(t *testing.T) {
	for name, action := range map[string]func(core *fixture){
		"excluded and included": func(core *fixture) { _, _ = core.Exclude("n"); _, _ = core.Include("n") },
		"the watch fails, and another reports the drain": func(core *fixture) {
			core.updateList(policy.ListFailed)
			core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
		"another address": func(core *fixture) {
			n := newNode("n", 0, policy.NodeDraining)
			n.Addresses = addrs("127.0.0.1:2")
			core.updateList(policy.ListChanged, n)
		},
		"the decision module panics": func(core *fixture) {
			core.panicModule()
			core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeDraining))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := startCore(t, longGraceSettings())
				core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				if core.isDrained() {
					t.Fatal("the node client was closed at once, so the drain is not tested")
				}
				action(core)
				closed := core.isDrained()
				for range 3 * int(cutoffAfter/time.Millisecond) {
					time.Sleep(time.Millisecond)
					if now := core.isDrained(); closed && !now {
						t.Fatal("the node client was opened again while the node drains")
					} else {
						closed = now
					}
				}
				if !closed {
					t.Error("the node client was not closed")
				}
			})
		})
	}
}

// The first attempt of a request that is idempotent by key may still wait for its connection when a hedge is dispatched. It
// cannot be claimed after the window in which the node would deduplicate it.
func TestFirstAttemptStartsWithinHedgeWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.MayHedge = true
		core := startCore(t, settings)
		core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, answers := core.submit("a", "record")
		first := <-core.node("n").sent
		hedge := <-core.node("n").sent // dispatched after the hedge delay
		if hedge.Request != first.Request || hedge.StartBy.IsZero() {
			t.Fatalf("dispatched %+v, want a hedge with StartBy", hedge)
		}
		if !hedge.Claim() {
			t.Fatal("the hedge could not be claimed")
		}
		time.Sleep(time.Until(sent.Add(2500*time.Millisecond)) - 10*time.Millisecond)
		if first.Abandoned() {
			t.Error("the first attempt was abandoned within the deduplication window")
		}
		time.Sleep(11 * time.Millisecond)
		if !first.Abandoned() || first.Claim() {
			t.Error("the first attempt was claimed after the deduplication window")
		}
		first.Done(Result{Status: policy.Abandoned})
		hedge.Done(Result{Status: policy.OK})
		expectAnswer(t, answers, Served)
		expectNoAnswer(t, core, answers)
	})
}

// A request is neither retried nor hedged at a draining node.
func TestNoRetryOrHedgeAtDrainingNode(t *testing.T) {
	for name, ended := range map[string]func(first *Attempt){
		"retry": func(first *Attempt) { first.Done(Result{Status: policy.ConnectionReset}) },
		"hedge": func(*Attempt) { time.Sleep(10 * time.Second) }, // longer than the hedge delay
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := testSettings()
				settings.MayHedge = true
				core := startCore(t, settings)
				core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
				core.submit("a", "record")
				first := <-core.node("n").sent
				core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
				ended(first)
				core.OpenRequests()
				core.OpenRequests() // returns once the step with the result has run
				if n := len(core.node("n").sent); n != 0 {
					t.Errorf("%d more attempts were dispatched, want 0", n)
				}
			})
		})
	}
}

// If a drain arrives while more requests are queued than one iteration handles, none of them is dispatched to the node.
func TestDrainIsAppliedBeforeWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := startCore(t, testSettings())
		core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		blocked, unblock := make(chan struct{}), make(chan struct{})
		core.post(call(func() { close(blocked); <-unblock }))
		<-blocked
		for i := range 2 * maxBatch {
			core.submit(fmt.Sprint("r", i), "read")
		}
		core.UpdateList(ListUpdate{Kind: policy.ListChanged, Nodes: []Node{newNode("n", 0, policy.NodeDraining)}})
		close(unblock)
		core.OpenRequests()
		core.OpenRequests() // returns once the step of the last batch has run
		if !core.isDrained() {
			t.Error("the drain was not applied")
		}
		if n := len(core.node("n").sent); n != 0 {
			t.Errorf("%d attempts were dispatched to the draining node, want 0", n)
		}
	})
}
