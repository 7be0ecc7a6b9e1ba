package core

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

func settings() policy.Settings {
	return policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 4, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
		DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 3},
			{Name: "record", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 2500}},
		Plans: []policy.Plan{{Name: "basic", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}}
}

// fakeNode is a peer that hands its attempts to the test.
type fakeNode struct {
	mu             sync.Mutex
	sent           chan *Attempt
	cancels        chan *Attempt
	mailboxFull    bool
	drained        bool
	closed         bool
	connects       []func(policy.Status) // the core's actor's, as probes
	healthChecks   []func(Result, time.Duration)
	addressChanges [][]address.Addr // changes of its addresses
}

func addrs(texts ...string) []address.Addr {
	list, errs := address.List(texts)
	if len(errs) > 0 {
		panic(errs)
	}
	return list
}

func (f *fakeNode) Send(a *Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mailboxFull {
		f.sent <- a
	}
	return !f.mailboxFull
}
func (f *fakeNode) Cancel(a *Attempt) { f.cancels <- a }
func (f *fakeNode) CheckHealth(told func(Result, time.Duration)) bool {
	f.healthChecks = append(f.healthChecks, told)
	return true
}
func (f *fakeNode) Connect(told func(policy.Status)) bool {
	f.connects = append(f.connects, told)
	return true
}
func (f *fakeNode) Drain(on bool) { f.mu.Lock(); f.drained = on; f.mu.Unlock() }
func (f *fakeNode) SetAddresses(to []address.Addr) {
	f.mu.Lock()
	f.addressChanges = append(f.addressChanges, to)
	f.mu.Unlock()
}
func (f *fakeNode) Close() { f.mu.Lock(); f.closed = true; f.mu.Unlock() }

type fixture struct {
	*Core
	t     *testing.T
	peers sync.Map
}

func nullLog() *logrus.Logger {
	log, _ := logtest.NewNullLogger()
	return log
}

func (r *fixture) newNodeClient(name string, _ []address.Addr) NodeClient {
	f := &fakeNode{sent: make(chan *Attempt, 64), cancels: make(chan *Attempt, 64)}
	r.peers.Store(name, f)
	return f
}

func startCore(t *testing.T, set policy.Settings) *fixture {
	t.Helper()
	r := &fixture{t: t}
	c, err := New(Options{Settings: set, Seed: 7, Log: nullLog(), NewNodeClient: r.newNodeClient})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	t.Cleanup(c.Stop)
	return r
}

func (r *fixture) updateList(kind policy.EventKind, nodes ...Node) {
	r.UpdateList(ListUpdate{Kind: kind, Nodes: nodes})
	r.OpenRequests() // has been taken
}

func (r *fixture) node(name string) *fakeNode {
	f, ok := r.peers.Load(name)
	if !ok {
		r.t.Fatalf("no peer %s", name)
	}
	return f.(*fakeNode)
}

func newNode(name string, shard int, state policy.NodeState) Node {
	return Node{Node: policy.Node{ID: name, Shard: shard, State: state, Weight: 1}, Addresses: addrs("127.0.0.1:1")}
}

// submit submits a request and returns the channel of all its answers.
func (r *fixture) submit(id, class string, patience time.Duration) (*Request, chan Answer) {
	q, got := r.newRequest(id, class, patience)
	r.Submit(q)
	return q, got
}

// newRequest is a request that is not submitted yet.
func (r *fixture) newRequest(id, class string, patience time.Duration) (*Request, chan Answer) {
	got := make(chan Answer, 8)
	q := &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: patience, Answer: func(a Answer) { got <- a }}
	return q, got
}

func expectAnswer(t *testing.T, got chan Answer, want AnswerKind) Answer {
	t.Helper()
	a := <-got
	if a.Kind != want {
		t.Errorf("answer %+v, want kind %d", a, want)
	}
	return a
}

func expectNoAnswer(t *testing.T, r *fixture, got chan Answer) {
	t.Helper()
	r.OpenRequests()
	if len(got) > 0 {
		t.Errorf("a second answer: %+v", <-got)
	}
}

// What a node turns away for what it is, a bad client's request, is not tried again.
func TestInvalidRequestIsNotRetried(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	for _, class := range []string{"read", "record"} {
		_, got := r.submit(class, class, time.Minute)
		(<-r.node("n").sent).Done(Result{Status: policy.Abandoned, InvalidRequest: true})
		if a := expectAnswer(t, got, Failed); a.Cause != CauseInvalidRequest {
			t.Errorf("%s: %+v", class, a)
		}
		expectNoAnswer(t, r, got)
		if len(r.node("n").sent) > 0 {
			t.Errorf("%s: sent again", class)
		}
	}
}

func TestSecondResultIsIgnored(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, got := r.submit("a", "read", time.Minute)
	a := <-r.node("n").sent
	a.Done(Result{Status: policy.OK, Payload: "body"})
	a.Done(Result{Status: policy.ConnectionReset}) // guards against a peer that reports twice
	if x := expectAnswer(t, got, Served); x.Payload != "body" {
		t.Errorf("payload %v", x.Payload)
	}
	expectNoAnswer(t, r, got)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A write that may have run is not sent again once its group's memory could have ended, and
// never to another shard; it ends as failed, not as refused, as a refusal invites a repeat.
func TestIdempotentByKeyRetryStaysInItsShard(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	_, got := r.submit("a", "record", time.Minute)
	first := <-r.node("n").sent
	first.Done(Result{Status: policy.ConnectionReset})
	again := <-r.node("n").sent
	again.Done(Result{Status: policy.ConnectionReset})
	third := <-r.node("n").sent
	third.Done(Result{Status: policy.ConnectionReset})
	(<-r.node("n").sent).Done(Result{Status: policy.ConnectionReset})
	expectAnswer(t, got, Failed)
	expectNoAnswer(t, r, got)
	if len(r.node("m").sent) > 0 {
		t.Error("sent to another shard")
	}
}

// A repeat that waits for a connection until its group has forgotten the key does not begin any more: the
// decision to send it came in time, its first byte would not.
func TestIdempotentByKeyRetryStartsWithinDedupWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := settings()
		set.Classes[1].DedupWindow = 1000
		r := startCore(t, set)
		r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		sent := time.Now()
		_, got := r.submit("a", "record", time.Minute)
		first := <-r.node("n").sent
		if !first.StartBy.IsZero() {
			t.Errorf("a first attempt is bound: %v", first.StartBy)
		}
		first.Done(Result{Status: policy.ConnectionReset})
		again := <-r.node("n").sent
		if again.StartBy.Before(sent.Add(time.Second)) || again.StartBy.After(time.Now().Add(time.Second)) {
			t.Fatalf("may begin until %v after the request, want 1 s after the first attempt", again.StartBy.Sub(sent))
		}
		time.Sleep(time.Until(again.StartBy) + time.Millisecond)
		if !again.Abandoned() || again.Claim() {
			t.Error("begins although its window is over")
		}
		again.Done(Result{Status: policy.Abandoned})
		expectAnswer(t, got, Failed)
		expectNoAnswer(t, r, got)
	})
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	q, got := r.submit("a", "read", time.Minute)
	a := <-r.node("n").sent
	r.Cancel(q)
	if b := <-r.node("n").cancels; b != a {
		t.Error("another attempt was cancelled")
	}
	a.Done(Result{Status: policy.Cancelled})
	expectNoAnswer(t, r, got)
}

// An id that is open, or a class or plan that no setting names, gets a plain failure.
func TestDuplicateIDAndUnknownClassFail(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, first := r.submit("a", "read", time.Minute)
	_, got := r.submit("a", "read", time.Minute)
	if x := expectAnswer(t, got, Failed); x.Cause != CauseDuplicateID {
		t.Errorf("cause %q", x.Cause)
	}
	_, got = r.submit("b", "other", time.Minute)
	if x := expectAnswer(t, got, Failed); x.Cause != CauseUnknownClass {
		t.Errorf("cause %q", x.Cause)
	}
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, first, Served)
}

// The guard behind the module: a request that it has forgotten gets its answer all the same.
func TestGuardTimerAnswersLostRequest(t *testing.T) {
	r := startCore(t, settings())
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

// The module's clock is the Unix time of the start moved on by the monotonic clock: a list's
// since_ms stands on it as it is, also that of a node that started before this program.
func TestModuleTime(t *testing.T) {
	r := startCore(t, settings())
	now := time.Now()
	at := r.moduleTime(now)
	if off := at - float64(now.UnixMilli()); off < -1000 || off > 1000 {
		t.Errorf("%v ms off the Unix time", off)
	}
	if back := r.wallTime(at).Sub(now); back > time.Millisecond || back < -time.Millisecond {
		t.Errorf("comes back %v off", back)
	}
}

// A full mailbox proves that an attempt never ran; the module hears of it and goes on.
func TestFullNodeMailboxIsRetried(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	f := r.node("n")
	f.mu.Lock()
	f.mailboxFull = true
	f.mu.Unlock()
	_, got := r.submit("a", "record", time.Minute)
	r.OpenRequests()
	f.mu.Lock()
	f.mailboxFull = false
	f.mu.Unlock()
	(<-f.sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

// A removal may show only as a missing entry of a snapshot, and binds the peer at once.
func TestNodeMissingFromListIsDrained(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 1, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("m", 1, policy.NodeDraining))
	if !r.node("m").drained || r.node("n").drained || r.node("m").closed {
		t.Error("a change drained the wrong peer")
	}
	r.updateList(policy.ListReceived, newNode("m", 1, policy.NodeUp))
	if !r.node("n").drained || !r.node("n").closed || r.node("m").drained {
		t.Error("a missing entry did not drain its peer")
	}
}

// A panic in the module fails what is open, and a new module takes over with the list.
func TestPanicReplacesModule(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, got := r.submit("a", "read", time.Minute)
	<-r.node("n").sent
	r.post(call(func() {
		r.scheduler = nil
		r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	expectAnswer(t, got, Failed)
	_, got = r.submit("b", "read", time.Minute)
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

func TestStopFailsOpenRequests(t *testing.T) {
	c, err := New(Options{Settings: settings(), Log: logrus.New(), NewNodeClient: func(string, []address.Addr) NodeClient { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{Core: c, t: t}
	_, got := r.submit("a", "read", time.Minute)
	r.OpenRequests()
	c.Stop()
	expectAnswer(t, got, Failed)
}

// Before the program is killed each open request gets its one answer: what was never sent is
// refused, what may have run has failed.
func TestFinish(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, sent := r.submit("a", "record", time.Minute)
	a := <-r.node("n").sent
	r.updateList(policy.ListChanged, newNode("n", 0, policy.NodeDraining))
	q, waits := r.submit("b", "read", time.Minute)
	r.Finish()
	expectAnswer(t, sent, Failed)
	if x := expectAnswer(t, waits, Rejected); x.RetryAfter <= 0 {
		t.Error("does not say when to come back")
	}
	a.Done(Result{Status: policy.OK})
	r.Cancel(q)
	expectNoAnswer(t, r, sent)
	expectNoAnswer(t, r, waits)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A change of addresses is news for the peer, not another peer: what is out stays out, and the
// module hears of the same node.
func TestAddressChangeKeepsNodeClient(t *testing.T) {
	r := startCore(t, settings())
	n := newNode("a", 0, policy.NodeUp)
	r.updateList(policy.CachedListLoaded, n)
	p := r.node("a")
	_, got := r.submit("1", "read", time.Minute)
	a := <-p.sent
	n.Addresses = addrs("unix:/run/a", "127.0.0.1:1")
	r.updateList(policy.ListReceived, n)
	r.updateList(policy.ListChanged, n) // nothing new
	if r.node("a") != p || p.closed || p.drained || len(p.addressChanges) != 1 || len(p.addressChanges[0]) != 2 {
		t.Fatalf("closed %v, drained %v, told %v", p.closed, p.drained, p.addressChanges)
	}
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}

// A node that a standing watch tells to drain stays open to the module for a part of the grace, and its
// peer is closed to new work before the grace is over. By hand, by a list that may be old, and after
// the module's fault it is closed at once.
func TestDrainClosesNodeWithinGrace(t *testing.T) {
	set := settings()
	set.DrainGrace = 60e3
	drained := func(r *fixture, name string) bool {
		f := r.node(name)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.drained
	}
	r := startCore(t, set)
	r.updateList(policy.CachedListLoaded, newNode("a", 0, policy.NodeUp), newNode("b", 1, policy.NodeUp), newNode("c", 2, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining)) // the first word of the watch
	r.updateList(policy.ListChanged, newNode("b", 1, policy.NodeDraining))
	if !drained(r, "a") || drained(r, "b") {
		t.Errorf("drained: a %v, b %v", drained(r, "a"), drained(r, "b"))
	}
	r.updateList(policy.ListFailed)
	r.updateList(policy.ListChanged, newNode("c", 2, policy.NodeDraining))
	if !drained(r, "c") {
		t.Error("the first word after a broken watch is not bound at once")
	}
	if _, err := r.Exclude("b"); err != nil || !drained(r, "b") {
		t.Errorf("by hand: %v, drained %v", err, drained(r, "b"))
	}
	set.DrainGrace = 560
	r = startCore(t, set)
	r.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp))
	r.updateList(policy.ListChanged, newNode("a", 0, policy.NodeDraining))
	for !drained(r, "a") {
		time.Sleep(time.Millisecond)
	}
}
