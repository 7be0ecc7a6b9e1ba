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

// fakeNode is a NodeClient that passes its attempts to the test.
type fakeNode struct {
	mu             sync.Mutex
	sent           chan *Attempt
	cancels        chan *Attempt
	mailboxFull    bool
	drained        bool
	closed         bool
	connects       []func(policy.Status) // like healthChecks, appended in the actor
	healthChecks   []func(Result, time.Duration)
	addressChanges [][]address.Addr // arguments of the calls of SetAddresses
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

func (f *fixture) newNodeClient(name string, _ []address.Addr) NodeClient {
	node := &fakeNode{sent: make(chan *Attempt, 64), cancels: make(chan *Attempt, 64)}
	f.clients.Store(name, node)
	return node
}

func startCore(t *testing.T, settings policy.Settings) *fixture {
	t.Helper()
	core := &fixture{t: t}
	c, err := New(Options{Settings: settings, Seed: 7, Log: nullLog(), NewNodeClient: core.newNodeClient})
	if err != nil {
		t.Fatal(err)
	}
	core.Core = c
	t.Cleanup(c.Stop)
	return core
}

func (f *fixture) updateList(kind policy.EventKind, nodes ...Node) {
	f.UpdateList(ListUpdate{Kind: kind, Nodes: nodes})
	f.OpenRequests() // returns once the update has been handled
}

func (f *fixture) node(name string) *fakeNode {
	node, ok := f.clients.Load(name)
	if !ok {
		f.t.Fatalf("no node client %s", name)
	}
	return node.(*fakeNode)
}

func newNode(name string, shard int, state policy.NodeState) Node {
	return Node{Node: policy.Node{ID: name, Shard: shard, State: state, Weight: 1}, Addresses: addrs("127.0.0.1:1")}
}

// panicModule makes the decision module panic, and returns once it is replaced.
func (f *fixture) panicModule() {
	f.post(call(func() {
		f.scheduler = nil
		f.events = append(f.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	f.OpenRequests() // the module panics in the iteration that handles this call
}

// submit submits a request and returns the channel of its answers.
func (f *fixture) submit(id, class string) (*Request, chan Answer) {
	request, answers := f.newRequest(id, class, time.Minute)
	f.Submit(request)
	return request, answers
}

// newRequest returns a request that is not submitted yet, and the channel of its answers.
func (f *fixture) newRequest(id, class string, timeout time.Duration) (*Request, chan Answer) {
	answers := make(chan Answer, 8)
	request := &Request{Request: policy.Request{ID: id, Class: class, Plan: "basic", Key: "k" + id, Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: timeout, Answer: func(a Answer) { answers <- a }}
	return request, answers
}

func expectAnswer(t *testing.T, answers chan Answer, want AnswerKind) Answer {
	t.Helper()
	answer := <-answers
	if answer.Kind != want {
		t.Errorf("answer %+v, want kind %d", answer, want)
	}
	return answer
}

func expectNoAnswer(t *testing.T, core *fixture, answers chan Answer) {
	t.Helper()
	core.OpenRequests()
	if len(answers) > 0 {
		t.Errorf("unexpected answer: %+v", <-answers)
	}
}
