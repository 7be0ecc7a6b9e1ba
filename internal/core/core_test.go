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
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	for _, class := range []string{"read", "record"} {
		_, answers := core.submit(class, class)
		(<-core.node("n").sent).Done(Result{Status: policy.Abandoned, NotPerformed: true})
		if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseInvalidRequest {
			t.Errorf("%s: answer %+v, want CauseInvalidRequest", class, answer)
		}
		expectNoAnswer(t, core, answers)
		if len(core.node("n").sent) > 0 {
			t.Errorf("%s: the invalid request was retried", class)
		}
	}
}

func TestSecondResultIsIgnored(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, answers := core.submit("a", "read")
	attempt := <-core.node("n").sent
	attempt.Done(Result{Status: policy.OK, Payload: "body"})
	attempt.Done(Result{Status: policy.ConnectionReset}) // a node client must not report twice
	if answer := expectAnswer(t, answers, Served); answer.Payload != "body" {
		t.Errorf("payload %v, want that of the first result", answer.Payload)
	}
	expectNoAnswer(t, core, answers)
	if n := core.OpenRequests(); n != 0 {
		t.Errorf("%d open requests, want 0", n)
	}
}

// A write that may have been executed is retried only within its deduplication window and only at the same shard. It then
// fails and is not rejected, because a client may repeat a rejected request.
func TestIdempotentByKeyRetryStaysInItsShard(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	_, answers := core.submit("a", "record")
	first := <-core.node("n").sent
	first.Done(Result{Status: policy.ConnectionReset})
	second := <-core.node("n").sent
	second.Done(Result{Status: policy.ConnectionReset})
	third := <-core.node("n").sent
	third.Done(Result{Status: policy.ConnectionReset})
	(<-core.node("n").sent).Done(Result{Status: policy.ConnectionReset})
	expectAnswer(t, answers, Failed)
	expectNoAnswer(t, core, answers)
	if len(core.node("m").sent) > 0 {
		t.Error("retried at another shard")
	}
}

// A retry that waits for a connection until its deduplication window has ended cannot be claimed. It was dispatched in
// time, but its first byte would be written too late.
func TestIdempotentByKeyRetryStartsWithinDedupWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.Classes[1].DedupWindow = 1000
		core := startCore(t, settings)
		core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, answers := core.submit("a", "record")
		first := <-core.node("n").sent
		if !first.StartBy.IsZero() {
			t.Errorf("the first attempt has StartBy %v, want none", first.StartBy)
		}
		first.Done(Result{Status: policy.ConnectionReset})
		retry := <-core.node("n").sent
		if retry.StartBy.Before(sent.Add(time.Second)) || retry.StartBy.After(time.Now().Add(time.Second)) {
			t.Fatalf("StartBy is %v after the request, want 1 s after the first attempt", retry.StartBy.Sub(sent))
		}
		time.Sleep(time.Until(retry.StartBy) + time.Millisecond)
		if !retry.Abandoned() || retry.Claim() {
			t.Error("the retry was claimed after its deduplication window")
		}
		retry.Done(Result{Status: policy.Abandoned})
		expectAnswer(t, answers, Failed)
		expectNoAnswer(t, core, answers)
	})
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	request, answers := core.submit("a", "read")
	attempt := <-core.node("n").sent
	core.Cancel(request)
	if cancelled := <-core.node("n").cancels; cancelled != attempt {
		t.Error("a different attempt was cancelled")
	}
	attempt.Done(Result{Status: policy.Cancelled})
	expectNoAnswer(t, core, answers)
}

// A request with the id of an open request or with an unknown class fails at once.
func TestDuplicateIDAndUnknownClassFail(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, first := core.submit("a", "read")
	_, answers := core.submit("a", "read")
	if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseDuplicateID {
		t.Errorf("cause %q", answer.Cause)
	}
	_, answers = core.submit("b", "other")
	if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseUnknownClass {
		t.Errorf("cause %q", answer.Cause)
	}
	(<-core.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, first, Served)
}

// The guard timer answers a request that the decision module has lost.
func TestGuardTimerAnswersLostRequest(t *testing.T) {
	core := startCore(t, testSettings())
	answers := make(chan Answer, 2)
	core.post(call(func() {
		request := &Request{Request: policy.Request{ID: "lost"}, Answer: func(answer Answer) { answers <- answer }}
		state := &requestState{request: request}
		core.requests["lost"] = state
		core.setGuard(state)
	}))
	if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseDeadlineExceeded {
		t.Errorf("cause %q", answer.Cause)
	}
	if core.OpenRequests() != 0 {
		t.Error("the request is still open")
	}
}

// The decision module's time is the Unix time of the process start plus the monotonic time since, so that start times in
// the endpoint list need no conversion. This includes nodes that started before this process.
func TestModuleTimeFollowsUnixTime(t *testing.T) {
	core := startCore(t, testSettings())
	now := time.Now()
	at := core.moduleTime(now)
	if off := at - float64(now.UnixMilli()); off < -1000 || off > 1000 {
		t.Errorf("module time differs by %v ms from the Unix time", off)
	}
	if back := core.wallTime(at).Sub(now); back > time.Millisecond || back < -time.Millisecond {
		t.Errorf("time differs by %v after conversion to module time and back", back)
	}
}

// An attempt that the node client does not accept because its mailbox is full was not executed, and is retried.
func TestFullNodeMailboxIsRetried(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	node := core.node("n")
	node.mu.Lock()
	node.mailboxFull = true
	node.mu.Unlock()
	_, answers := core.submit("a", "record")
	core.OpenRequests()
	node.mu.Lock()
	node.mailboxFull = false
	node.mu.Unlock()
	(<-node.sent).Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
}

// The client of a node that is missing from a full list is drained and closed at once.
func TestNodeMissingFromListIsDrained(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	core.updateList(policy.ListChanged, newNode("m", 1, policy.NodeDraining))
	if !core.node("m").drained || core.node("n").drained || core.node("m").closed {
		t.Error("the list change drained the wrong node, or closed a draining one")
	}
	core.updateList(policy.ListReceived, newNode("m", 1, policy.NodeUp))
	if !core.node("n").drained || !core.node("n").closed || core.node("m").drained {
		t.Error("the full list did not drain and close the missing node, or not reopen the node that is up")
	}
}

// A panic of the decision module fails the open requests, and a new module continues with the current list.
func TestPanicReplacesModule(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, answers := core.submit("a", "read")
	<-core.node("n").sent
	core.panicModule()
	expectAnswer(t, answers, Failed)
	_, answers = core.submit("b", "read")
	(<-core.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
}

func TestStopFailsOpenRequests(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: logrus.New(), NewNodeClient: func(string, []address.Addr) NodeClient { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	core := &fixture{Core: c, t: t}
	_, answers := core.submit("a", "read")
	core.OpenRequests()
	c.Stop()
	expectAnswer(t, answers, Failed)
}

// Finish answers each open request exactly once. A request without an attempt is rejected, and one that may have been
// executed fails.
func TestFinishAnswersOpenRequests(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, sentAnswers := core.submit("a", "record")
	attempt := <-core.node("n").sent
	core.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
	request, waitingAnswers := core.submit("b", "read")
	core.Finish()
	expectAnswer(t, sentAnswers, Failed)
	if answer := expectAnswer(t, waitingAnswers, Rejected); answer.RetryAfter <= 0 {
		t.Error("the rejection has no Retry-After")
	}
	attempt.Done(Result{Status: policy.OK})
	core.Cancel(request)
	expectNoAnswer(t, core, sentAnswers)
	expectNoAnswer(t, core, waitingAnswers)
	if n := core.OpenRequests(); n != 0 {
		t.Errorf("%d open requests, want 0", n)
	}
}

// A change of addresses keeps the node's client and its outstanding attempts.
func TestAddressChangeKeepsNodeClient(t *testing.T) {
	core := startCore(t, testSettings())
	node := newNode("a", 0, policy.NodeUp)
	core.updateList(policy.CachedListLoaded, node)
	client := core.node("a")
	_, answers := core.submit("1", "read")
	attempt := <-client.sent
	node.Addresses = addrs("unix:/run/a", "127.0.0.1:1")
	core.updateList(policy.ListReceived, node)
	core.updateList(policy.ListChanged, node) // has no effect, as the addresses are the same
	if core.node("a") != client || client.closed || client.drained || len(client.addressChanges) != 1 || len(client.addressChanges[0]) != 2 {
		t.Fatalf("closed %v, drained %v, addresses %v", client.closed, client.drained, client.addressChanges)
	}
	attempt.Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
}

// The client of a node that an open watch reports as draining accepts attempts for a part of the grace period, and is
// closed to new ones before the grace period ends. An exclusion or a list that may be outdated closes it at once.
func TestDrainClosesNodeWithinGrace(t *testing.T) {
	settings := testSettings()
	settings.DrainGrace = 60e3
	drained := func(core *fixture, name string) bool {
		node := core.node(name)
		node.mu.Lock()
		defer node.mu.Unlock()
		return node.drained
	}
	core := startCore(t, settings)
	core.updateList(policy.CachedListLoaded, newNode("a", 0, policy.NodeUp), newNode("b", 1, policy.NodeUp), newNode("c", 2, policy.NodeUp))
	core.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining)) // the first message after the cached list, which may be outdated
	core.updateList(policy.ListChanged, newNode("b", 1, policy.NodeDraining))
	if !drained(core, "a") || drained(core, "b") {
		t.Errorf("drained: a %v, b %v", drained(core, "a"), drained(core, "b"))
	}
	core.updateList(policy.ListFailed)
	core.updateList(policy.ListChanged, newNode("c", 2, policy.NodeDraining))
	if !drained(core, "c") {
		t.Error("a drain in the first message after a failed watch does not close the node client at once")
	}
	if _, err := core.Exclude("b"); err != nil || !drained(core, "b") {
		t.Errorf("exclude: %v, drained %v", err, drained(core, "b"))
	}
	settings.DrainGrace = 560
	core = startCore(t, settings)
	core.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp))
	core.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining))
	for !drained(core, "a") {
		time.Sleep(time.Millisecond)
	}
}
