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

// fake is a peer that hands its attempts to the test.
type fake struct {
	mu      sync.Mutex
	sent    chan *Attempt
	cancels chan *Attempt
	full    bool
	drained bool
	closed  bool
	ahead   []func(policy.Status) // the core's actor's, as probes
	probes  []func(Result, time.Duration)
	to      [][]address.Addr // changes of its addresses
}

func addrs(texts ...string) []address.Addr {
	list, errs := address.ParseList(texts)
	if len(errs) > 0 {
		panic(errs)
	}
	return list
}

func (f *fake) Send(a *Attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.full {
		f.sent <- a
	}
	return !f.full
}
func (f *fake) Cancel(a *Attempt) { f.cancels <- a }
func (f *fake) CheckHealth(told func(Result, time.Duration)) bool {
	f.probes = append(f.probes, told)
	return true
}
func (f *fake) Connect(told func(policy.Status)) bool {
	f.ahead = append(f.ahead, told)
	return true
}
func (f *fake) Drain(on bool)                  { f.mu.Lock(); f.drained = on; f.mu.Unlock() }
func (f *fake) SetAddresses(to []address.Addr) { f.mu.Lock(); f.to = append(f.to, to); f.mu.Unlock() }
func (f *fake) Close()                         { f.mu.Lock(); f.closed = true; f.mu.Unlock() }

type rig struct {
	*Core
	t     *testing.T
	peers sync.Map
}

func nullLog() *logrus.Logger {
	log, _ := logtest.NewNullLogger()
	return log
}

func (r *rig) connect(name string, _ []address.Addr) NodeClient {
	f := &fake{sent: make(chan *Attempt, 64), cancels: make(chan *Attempt, 64)}
	r.peers.Store(name, f)
	return f
}

func start(t *testing.T, set policy.Settings) *rig {
	t.Helper()
	r := &rig{t: t}
	c, err := New(Options{Settings: set, Seed: 7, Log: nullLog(), NewNodeClient: r.connect})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	t.Cleanup(c.Stop)
	return r
}

func (r *rig) list(kind policy.EventKind, nodes ...Node) {
	r.UpdateList(ListUpdate{Kind: kind, Nodes: nodes})
	r.OpenRequests() // has been taken
}

func (r *rig) peer(name string) *fake {
	f, ok := r.peers.Load(name)
	if !ok {
		r.t.Fatalf("no peer %s", name)
	}
	return f.(*fake)
}

func node(name string, shard int, state policy.NodeState) Node {
	return Node{Node: policy.Node{ID: name, Shard: shard, State: state, Weight: 1}, Addresses: addrs("127.0.0.1:1")}
}

// ask submits a request and returns the channel of all its answers.
func (r *rig) ask(id, class string, patience time.Duration) (*Request, chan Answer) {
	q, got := r.made(id, class, patience)
	r.Submit(q)
	return q, got
}

// made is a request that is not submitted yet.
func (r *rig) made(id, class string, patience time.Duration) (*Request, chan Answer) {
	got := make(chan Answer, 8)
	q := &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: patience, Answer: func(a Answer) { got <- a }}
	return q, got
}

func one(t *testing.T, got chan Answer, want AnswerKind) Answer {
	t.Helper()
	a := <-got
	if a.Kind != want {
		t.Errorf("answer %+v, want kind %d", a, want)
	}
	return a
}

func none(t *testing.T, r *rig, got chan Answer) {
	t.Helper()
	r.OpenRequests()
	if len(got) > 0 {
		t.Errorf("a second answer: %+v", <-got)
	}
}

// What a node turns away for what it is, a bad client's request, is not tried again.
func TestBadIsFinal(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	for _, class := range []string{"read", "record"} {
		_, got := r.ask(class, class, time.Minute)
		(<-r.peer("n").sent).Done(Result{Status: policy.Abandoned, InvalidRequest: true})
		if a := one(t, got, Failed); a.Cause != CauseInvalidRequest {
			t.Errorf("%s: %+v", class, a)
		}
		none(t, r, got)
		if len(r.peer("n").sent) > 0 {
			t.Errorf("%s: sent again", class)
		}
	}
}

func TestServedOnce(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	_, got := r.ask("a", "read", time.Minute)
	a := <-r.peer("n").sent
	a.Done(Result{Status: policy.OK, Payload: "body"})
	a.Done(Result{Status: policy.ConnectionReset}) // guards against a peer that reports twice
	if x := one(t, got, Served); x.Payload != "body" {
		t.Errorf("payload %v", x.Payload)
	}
	none(t, r, got)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A write that may have run is not sent again once its group's memory could have ended, and
// never to another shard; it ends as failed, not as refused, as a refusal invites a repeat.
func TestKeyedResetStaysInItsGroup(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp), node("m", 1, policy.NodeUp))
	_, got := r.ask("a", "record", time.Minute)
	first := <-r.peer("n").sent
	first.Done(Result{Status: policy.ConnectionReset})
	again := <-r.peer("n").sent
	again.Done(Result{Status: policy.ConnectionReset})
	third := <-r.peer("n").sent
	third.Done(Result{Status: policy.ConnectionReset})
	(<-r.peer("n").sent).Done(Result{Status: policy.ConnectionReset})
	one(t, got, Failed)
	none(t, r, got)
	if len(r.peer("m").sent) > 0 {
		t.Error("sent to another shard")
	}
}

// A repeat that waits for a connection until its group has forgotten the key does not begin any more: the
// decision to send it came in time, its first byte would not.
func TestKeyedRepeatBeginsWithinItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := settings()
		set.Classes[1].DedupWindow = 1000
		r := start(t, set)
		r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
		sent := time.Now()
		_, got := r.ask("a", "record", time.Minute)
		first := <-r.peer("n").sent
		if !first.StartBy.IsZero() {
			t.Errorf("a first attempt is bound: %v", first.StartBy)
		}
		first.Done(Result{Status: policy.ConnectionReset})
		again := <-r.peer("n").sent
		if again.StartBy.Before(sent.Add(time.Second)) || again.StartBy.After(time.Now().Add(time.Second)) {
			t.Fatalf("may begin until %v after the request, want 1 s after the first attempt", again.StartBy.Sub(sent))
		}
		time.Sleep(time.Until(again.StartBy) + time.Millisecond)
		if !again.Abandoned() || again.Claim() {
			t.Error("begins although its window is over")
		}
		again.Done(Result{Status: policy.Abandoned})
		one(t, got, Failed)
		none(t, r, got)
	})
}

func TestDepartedCancels(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	q, got := r.ask("a", "read", time.Minute)
	a := <-r.peer("n").sent
	r.Cancel(q)
	if b := <-r.peer("n").cancels; b != a {
		t.Error("another attempt was cancelled")
	}
	a.Done(Result{Status: policy.Cancelled})
	none(t, r, got)
}

// An id that is open, or a class or plan that no setting names, gets a plain failure.
func TestBadRequests(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	_, first := r.ask("a", "read", time.Minute)
	_, got := r.ask("a", "read", time.Minute)
	if x := one(t, got, Failed); x.Cause != CauseDuplicateID {
		t.Errorf("cause %q", x.Cause)
	}
	_, got = r.ask("b", "other", time.Minute)
	if x := one(t, got, Failed); x.Cause != CauseUnknownClass {
		t.Errorf("cause %q", x.Cause)
	}
	(<-r.peer("n").sent).Done(Result{Status: policy.OK})
	one(t, first, Served)
}

// The guard behind the module: a request that it has forgotten gets its answer all the same.
func TestGuardAnswers(t *testing.T) {
	r := start(t, settings())
	got := make(chan Answer, 2)
	r.post(message{call: func() {
		q := &Request{Request: policy.Request{ID: "lost"}, Answer: func(a Answer) { got <- a }}
		e := &requestState{request: q}
		r.requests["lost"] = e
		r.timers.Push(pendingTimer{at: 0, guarded: e})
	}})
	if a := one(t, got, Failed); a.Cause != CauseDeadlineExceeded {
		t.Errorf("cause %q", a.Cause)
	}
	if r.OpenRequests() != 0 {
		t.Error("still open")
	}
}

// The module's clock is the Unix time of the start moved on by the monotonic clock: a list's
// since_ms stands on it as it is, also that of a node that started before this program.
func TestClock(t *testing.T) {
	r := start(t, settings())
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
func TestFullMailbox(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	f := r.peer("n")
	f.mu.Lock()
	f.full = true
	f.mu.Unlock()
	_, got := r.ask("a", "record", time.Minute)
	r.OpenRequests()
	f.mu.Lock()
	f.full = false
	f.mu.Unlock()
	(<-f.sent).Done(Result{Status: policy.OK})
	one(t, got, Served)
}

// A removal may show only as a missing entry of a snapshot, and binds the peer at once.
func TestMissingEntryDrains(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp), node("m", 1, policy.NodeUp))
	r.list(policy.ListChanged, node("m", 1, policy.NodeDraining))
	if !r.peer("m").drained || r.peer("n").drained || r.peer("m").closed {
		t.Error("a change drained the wrong peer")
	}
	r.list(policy.ListReceived, node("m", 1, policy.NodeUp))
	if !r.peer("n").drained || !r.peer("n").closed || r.peer("m").drained {
		t.Error("a missing entry did not drain its peer")
	}
}

// A panic in the module fails what is open, and a new module takes over with the list.
func TestPanicIsSurvived(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	_, got := r.ask("a", "read", time.Minute)
	<-r.peer("n").sent
	r.post(message{call: func() {
		r.scheduler = nil
		r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}})
	one(t, got, Failed)
	_, got = r.ask("b", "read", time.Minute)
	(<-r.peer("n").sent).Done(Result{Status: policy.OK})
	one(t, got, Served)
}

func TestStopFailsWhatIsOpen(t *testing.T) {
	c, err := New(Options{Settings: settings(), Log: logrus.New(), NewNodeClient: func(string, []address.Addr) NodeClient { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Core: c, t: t}
	_, got := r.ask("a", "read", time.Minute)
	r.OpenRequests()
	c.Stop()
	one(t, got, Failed)
}

// Before the program is killed each open request gets its one answer: what was never sent is
// refused, what may have run has failed.
func TestFinish(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	_, sent := r.ask("a", "record", time.Minute)
	a := <-r.peer("n").sent
	r.list(policy.ListChanged, node("n", 0, policy.NodeDraining))
	q, waits := r.ask("b", "read", time.Minute)
	r.Finish()
	one(t, sent, Failed)
	if x := one(t, waits, Rejected); x.RetryAfter <= 0 {
		t.Error("does not say when to come back")
	}
	a.Done(Result{Status: policy.OK})
	r.Cancel(q)
	none(t, r, sent)
	none(t, r, waits)
	if n := r.OpenRequests(); n != 0 {
		t.Errorf("%d open", n)
	}
}

// A change of addresses is news for the peer, not another peer: what is out stays out, and the
// module hears of the same node.
func TestReaddressInPlace(t *testing.T) {
	r := start(t, settings())
	n := node("a", 0, policy.NodeUp)
	r.list(policy.CachedListLoaded, n)
	p := r.peer("a")
	_, got := r.ask("1", "read", time.Minute)
	a := <-p.sent
	n.Addresses = addrs("unix:/run/a", "127.0.0.1:1")
	r.list(policy.ListReceived, n)
	r.list(policy.ListChanged, n) // nothing new
	if r.peer("a") != p || p.closed || p.drained || len(p.to) != 1 || len(p.to[0]) != 2 {
		t.Fatalf("closed %v, drained %v, told %v", p.closed, p.drained, p.to)
	}
	a.Done(Result{Status: policy.OK})
	one(t, got, Served)
}

// A node that a standing watch tells to drain stays open to the module for a part of the grace, and its
// peer is closed to new work before the grace is over. By hand, by a list that may be old, and after
// the module's fault it is closed at once.
func TestDrainBindsWithinTheGrace(t *testing.T) {
	set := settings()
	set.DrainGrace = 60e3
	drained := func(r *rig, name string) bool {
		f := r.peer(name)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.drained
	}
	r := start(t, set)
	r.list(policy.CachedListLoaded, node("a", 0, policy.NodeUp), node("b", 1, policy.NodeUp), node("c", 2, policy.NodeUp))
	r.list(policy.ListChanged, node("a", 0, policy.NodeDraining)) // the first word of the watch
	r.list(policy.ListChanged, node("b", 1, policy.NodeDraining))
	if !drained(r, "a") || drained(r, "b") {
		t.Errorf("drained: a %v, b %v", drained(r, "a"), drained(r, "b"))
	}
	r.list(policy.ListFailed)
	r.list(policy.ListChanged, node("c", 2, policy.NodeDraining))
	if !drained(r, "c") {
		t.Error("the first word after a broken watch is not bound at once")
	}
	if _, err := r.Exclude("b"); err != nil || !drained(r, "b") {
		t.Errorf("by hand: %v, drained %v", err, drained(r, "b"))
	}
	set.DrainGrace = 560
	r = start(t, set)
	r.list(policy.ListReceived, node("a", 0, policy.NodeUp))
	r.list(policy.ListChanged, node("a", 0, policy.NodeDraining))
	for !drained(r, "a") {
		time.Sleep(time.Millisecond)
	}
}
