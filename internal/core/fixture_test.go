package core

import (
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 4, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
		DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 3},
			{Name: "record", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 2500}},
		Plans: []policy.Plan{{Name: "basic", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}}
}

// fakeNode is a NodeClient that hands its attempts to the test.
type fakeNode struct {
	mu             sync.Mutex
	sent           chan *Attempt
	cancels        chan *Attempt
	mailboxFull    bool
	drained        bool
	closed         bool
	connects       []func(policy.Status) // the core's actor's, as probes
	healthChecks   []func(Result, time.Duration)
	addressChanges [][]address.Addr // arguments of SetAddresses
}

func addrs(texts ...string) []address.Addr {
	list, errs := address.ParseList(texts)
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
func (f *fakeNode) CheckHealth(done func(Result, time.Duration)) bool {
	f.healthChecks = append(f.healthChecks, done)
	return true
}
func (f *fakeNode) Connect(done func(policy.Status)) bool {
	f.connects = append(f.connects, done)
	return true
}
func (f *fakeNode) Drain(on bool) { f.mu.Lock(); f.drained = on; f.mu.Unlock() }
func (f *fakeNode) SetAddresses(to []address.Addr) {
	f.mu.Lock()
	f.addressChanges = append(f.addressChanges, to)
	f.mu.Unlock()
}
func (f *fakeNode) Close() { f.mu.Lock(); f.closed = true; f.mu.Unlock() }

// fixture is a core with a fakeNode for each listed node.
type fixture struct {
	*Core
	t       *testing.T
	clients sync.Map
}

func nullLog() *logrus.Logger {
	log, _ := logtest.NewNullLogger()
	return log
}

func (r *fixture) newNodeClient(name string, _ []address.Addr) NodeClient {
	f := &fakeNode{sent: make(chan *Attempt, 64), cancels: make(chan *Attempt, 64)}
	r.clients.Store(name, f)
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
	r.OpenRequests() // the update has been handled
}

func (r *fixture) node(name string) *fakeNode {
	f, ok := r.clients.Load(name)
	if !ok {
		r.t.Fatalf("no node client %s", name)
	}
	return f.(*fakeNode)
}

func newNode(name string, shard int, state policy.NodeState) Node {
	return Node{Node: policy.Node{ID: name, Shard: shard, State: state, Weight: 1}, Addresses: addrs("127.0.0.1:1")}
}

// submit submits a request and returns the channel of its answers.
func (r *fixture) submit(id, class string) (*Request, chan Answer) {
	q, got := r.newRequest(id, class, time.Minute)
	r.Submit(q)
	return q, got
}

// newRequest makes a request without submitting it.
func (r *fixture) newRequest(id, class string, timeout time.Duration) (*Request, chan Answer) {
	got := make(chan Answer, 8)
	q := &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: timeout, Answer: func(a Answer) { got <- a }}
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
