package core

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

// A request that the node rejects as invalid is not retried.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	for _, class := range []string{"read", "record"} {
		_, got := r.submit(class, class)
		(<-r.node("n").sent).Done(Result{Status: policy.Abandoned, InvalidRequest: true})
		if a := expectAnswer(t, got, Failed); a.Cause != CauseInvalidRequest {
			t.Errorf("%s: %+v", class, a)
		}
		expectNoAnswer(t, r, got)
		if len(r.node("n").sent) > 0 {
			t.Errorf("%s: dispatched again", class)
		}
	}
}

func TestSecondResultIsIgnored(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, got := r.submit("a", "read")
	a := <-r.node("n").sent
	a.Done(Result{Status: policy.OK, Payload: "body"})
	a.Done(Result{Status: policy.ConnectionReset}) // a node client must not report twice
	if x := expectAnswer(t, got, Served); x.Payload != "body" {
		t.Errorf("payload %v", x.Payload)
	}
	expectNoAnswer(t, r, got)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A write that may have been executed is not retried after its deduplication window, and never at another shard. It ends
// as failed and not as rejected, because a client may repeat a rejected request.
func TestIdempotentByKeyRetryStaysInItsShard(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	_, got := r.submit("a", "record")
	first := <-r.node("n").sent
	first.Done(Result{Status: policy.ConnectionReset})
	second := <-r.node("n").sent
	second.Done(Result{Status: policy.ConnectionReset})
	third := <-r.node("n").sent
	third.Done(Result{Status: policy.ConnectionReset})
	(<-r.node("n").sent).Done(Result{Status: policy.ConnectionReset})
	expectAnswer(t, got, Failed)
	expectNoAnswer(t, r, got)
	if len(r.node("m").sent) > 0 {
		t.Error("sent to another shard")
	}
}

// A retry that waits for a connection past its deduplication window cannot be claimed: it was dispatched in time, but its
// first byte would be late.
func TestIdempotentByKeyRetryStartsWithinDedupWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := testSettings()
		set.Classes[1].DedupWindow = 1000
		r := startCore(t, set)
		r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, got := r.submit("a", "record")
		first := <-r.node("n").sent
		if !first.StartBy.IsZero() {
			t.Errorf("a first attempt has StartBy %v", first.StartBy)
		}
		first.Done(Result{Status: policy.ConnectionReset})
		retry := <-r.node("n").sent
		if retry.StartBy.Before(sent.Add(time.Second)) || retry.StartBy.After(time.Now().Add(time.Second)) {
			t.Fatalf("StartBy is %v after the request, want 1 s after the first attempt", retry.StartBy.Sub(sent))
		}
		time.Sleep(time.Until(retry.StartBy) + time.Millisecond)
		if !retry.Abandoned() || retry.Claim() {
			t.Error("claimed although its window is over")
		}
		retry.Done(Result{Status: policy.Abandoned})
		expectAnswer(t, got, Failed)
		expectNoAnswer(t, r, got)
	})
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	q, got := r.submit("a", "read")
	a := <-r.node("n").sent
	r.Cancel(q)
	if b := <-r.node("n").cancels; b != a {
		t.Error("a different attempt was cancelled")
	}
	a.Done(Result{Status: policy.Cancelled})
	expectNoAnswer(t, r, got)
}

// A request with the id of an open one, or with an unknown class, fails at once.
func TestDuplicateIDAndUnknownClassFail(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, first := r.submit("a", "read")
	_, got := r.submit("a", "read")
	if x := expectAnswer(t, got, Failed); x.Cause != CauseDuplicateID {
		t.Errorf("cause %q", x.Cause)
	}
	_, got = r.submit("b", "other")
	if x := expectAnswer(t, got, Failed); x.Cause != CauseUnknownClass {
		t.Errorf("cause %q", x.Cause)
	}
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, first, Served)
}

// The guard timer answers a request that the module has lost.
func TestGuardTimerAnswersLostRequest(t *testing.T) {
	r := startCore(t, testSettings())
	got := make(chan Answer, 2)
	r.post(call(func() {
		q := &Request{Request: policy.Request{ID: "lost"}, Answer: func(a Answer) { got <- a }}
		e := &requestState{request: q}
		r.requests["lost"] = e
		r.timers.Push(pendingTimer{atMs: 0, guarded: e})
	}))
	if a := expectAnswer(t, got, Failed); a.Cause != CauseDeadlineExceeded {
		t.Errorf("cause %q", a.Cause)
	}
	if r.OpenRequests() != 0 {
		t.Error("still open")
	}
}

// The module's time is the Unix time of the start plus the monotonic time since, so that a list's start times need no
// conversion, also those of nodes that started before this process.
func TestModuleTime(t *testing.T) {
	r := startCore(t, testSettings())
	now := time.Now()
	at := r.moduleTime(now)
	if off := at - float64(now.UnixMilli()); off < -1000 || off > 1000 {
		t.Errorf("%v ms off the Unix time", off)
	}
	if back := r.wallTime(at).Sub(now); back > time.Millisecond || back < -time.Millisecond {
		t.Errorf("differs by %v after conversion and back", back)
	}
}

// An attempt that finds a full mailbox was never executed; the module retries it.
func TestFullNodeMailboxIsRetried(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	f := r.node("n")
	f.mu.Lock()
	f.mailboxFull = true
	f.mu.Unlock()
	_, got := r.submit("a", "record")
	r.OpenRequests()
	f.mu.Lock()
	f.mailboxFull = false
	f.mu.Unlock()
	(<-f.sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

// A node that is missing from a full list is drained and closed at once.
func TestNodeMissingFromListIsDrained(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("m", 1, policy.NodeDraining))
	if !r.node("m").drained || r.node("n").drained || r.node("m").closed {
		t.Error("a change drained the wrong node")
	}
	r.updateList(policy.ListReceived, newNode("m", 1, policy.NodeUp))
	if !r.node("n").drained || !r.node("n").closed || r.node("m").drained {
		t.Error("a missing entry did not drain its node")
	}
}

// A panic of the module fails the open requests, and a new module continues with the list.
func TestPanicReplacesModule(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, got := r.submit("a", "read")
	<-r.node("n").sent
	r.post(call(func() {
		r.scheduler = nil
		r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	expectAnswer(t, got, Failed)
	_, got = r.submit("b", "read")
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

func TestStopFailsOpenRequests(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: logrus.New(), NewNodeClient: func(string, []address.Addr) NodeClient { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{Core: c, t: t}
	_, got := r.submit("a", "read")
	r.OpenRequests()
	c.Stop()
	expectAnswer(t, got, Failed)
}

// Finish answers each open request once: one without an attempt is rejected, one that may have been executed fails.
func TestFinish(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, sent := r.submit("a", "record")
	a := <-r.node("n").sent
	r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
	q, waits := r.submit("b", "read")
	r.Finish()
	expectAnswer(t, sent, Failed)
	if x := expectAnswer(t, waits, Rejected); x.RetryAfter <= 0 {
		t.Error("no Retry-After")
	}
	a.Done(Result{Status: policy.OK})
	r.Cancel(q)
	expectNoAnswer(t, r, sent)
	expectNoAnswer(t, r, waits)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A change of addresses keeps the node's client and its outstanding attempts.
func TestAddressChangeKeepsNodeClient(t *testing.T) {
	r := startCore(t, testSettings())
	n := newNode("a", 0, policy.NodeUp)
	r.updateList(policy.CachedListLoaded, n)
	p := r.node("a")
	_, got := r.submit("1", "read")
	a := <-p.sent
	n.Addresses = addrs("unix:/run/a", "127.0.0.1:1")
	r.updateList(policy.ListReceived, n)
	r.updateList(policy.ListChanged, n) // no change
	if r.node("a") != p || p.closed || p.drained || len(p.addressChanges) != 1 || len(p.addressChanges[0]) != 2 {
		t.Fatalf("closed %v, drained %v, addresses %v", p.closed, p.drained, p.addressChanges)
	}
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

// A node that an open watch reports as draining stays open for a part of the grace, and its client is closed to new
// attempts before the grace ends. It is closed at once by an exclusion and by a list that may be old.
func TestDrainClosesNodeWithinGrace(t *testing.T) {
	set := testSettings()
	set.DrainGrace = 60e3
	drained := func(r *fixture, name string) bool {
		f := r.node(name)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.drained
	}
	r := startCore(t, set)
	r.updateList(policy.CachedListLoaded, newNode("a", 0, policy.NodeUp), newNode("b", 1, policy.NodeUp), newNode("c", 2, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining)) // the first message of the watch
	r.updateList(policy.ListChanged, newNode("b", 1, policy.NodeDraining))
	if !drained(r, "a") || drained(r, "b") {
		t.Errorf("drained: a %v, b %v", drained(r, "a"), drained(r, "b"))
	}
	r.updateList(policy.ListFailed)
	r.updateList(policy.ListChanged, newNode("c", 2, policy.NodeDraining))
	if !drained(r, "c") {
		t.Error("the first message after a failed watch does not close the node at once")
	}
	if _, err := r.Exclude("b"); err != nil || !drained(r, "b") {
		t.Errorf("exclude: %v, drained %v", err, drained(r, "b"))
	}
	set.DrainGrace = 560
	r = startCore(t, set)
	r.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining))
	for !drained(r, "a") {
		time.Sleep(time.Millisecond)
	}
}
