package scattergather

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"

	"wheatsaddle/gather"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const (
	shardCount   = 4
	rowsPerShard = 200 // more than a shard's share of the merge's memory
)

// fakeNode is core's client of the only node of a shard. It answers with the shard's rows unless it has a fault.
type fakeNode struct {
	shard              int
	fault              string
	ctx                context.Context
	requests, inFlight atomic.Int32
	mu                 sync.Mutex
	cancels            map[*core.Attempt]context.CancelFunc
}

func (s *fakeNode) Send(a *core.Attempt) bool {
	ctx, cancel := context.WithDeadline(s.ctx, a.Deadline)
	s.mu.Lock()
	s.cancels[a] = cancel
	s.mu.Unlock()
	go func() {
		defer s.Cancel(a)
		if !a.Claim() {
			a.Done(core.Result{Status: policy.Abandoned})
			return
		}
		n := s.requests.Add(1)
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		r := core.Result{Status: policy.OK, Payload: partRows(s.shard, shardCount, rowsPerShard)}
		switch {
		case s.fault == "full":
			r = core.Result{Status: policy.NodeFull}
		case s.fault == "silent":
			<-ctx.Done()
			r = core.Result{Status: policy.Cancelled}
		case s.fault == "reset" || s.fault == "reset once" && n == 1:
			r = core.Result{Status: policy.ConnectionReset}
		case s.fault == "late": // after all others have answered
			time.Sleep(20 * time.Millisecond)
		}
		a.MarkWritten()
		a.Done(r)
	}()
	return true
}

func (s *fakeNode) Cancel(a *core.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[a]; cancel != nil {
		cancel()
		delete(s.cancels, a)
	}
}
func (s *fakeNode) CheckHealth(func(core.Result, time.Duration)) bool { return false }
func (s *fakeNode) Connect(func(policy.Status)) bool                  { return false }
func (s *fakeNode) Drain(bool)                                        {}
func (s *fakeNode) SetAddresses([]address.Addr)                       {}
func (s *fakeNode) Close()                                            {}

// coreFixture is a core with one fake node per shard, and a sender of parts to it.
type coreFixture struct {
	core   *core.Core
	nodes  []*fakeNode
	sender *CoreSender
	parts  []gather.Part
}

func newCoreFixture(t *testing.T, faults [shardCount]string) *coreFixture {
	t.Helper()
	fx := &coreFixture{}
	var nodes []core.Node
	ctx, cancel := context.WithCancel(context.Background())
	for i, f := range faults {
		fx.nodes = append(fx.nodes, &fakeNode{shard: i, fault: f, ctx: ctx, cancels: map[*core.Attempt]context.CancelFunc{}})
		fx.parts = append(fx.parts, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
		nodes = append(nodes, core.Node{Node: policy.Node{ID: fmt.Sprint(i), Shard: i, State: policy.NodeUp, Weight: 1}})
	}
	log, _ := logtest.NewNullLogger()
	var err error
	fx.core, err = core.New(core.Options{Seed: 7, Log: log,
		NewNodeClient: func(name string, _ []address.Addr) core.NodeClient { return fx.nodes[name[0]-'0'] },
		Settings: policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 3, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
			DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
			Classes: []policy.Class{{Name: "read", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 3}},
			Plans:   []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	fx.core.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: nodes})
	fx.sender = &CoreSender{Core: fx.core, Client: policy.Request{ID: "q", Class: "read", Plan: "basic", Key: "k", Volume: "v", Schedulers: 1},
		Units: func(gather.Part) float64 { return 1 }, Payload: func(*core.Request, Attempt) any { return nil },
		Body: func(x any) Body { return Body{Data: x.([]byte)} }}
	t.Cleanup(func() {
		fx.core.Stop()
		cancel()
		waitFor(t, "all goroutines end", func() bool { return goleak.Find() == nil })
	})
	return fx
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// run gathers with a long timeout. If endsAtDeadline is set, the clock jumps past the parts' deadline once all parts but the silent
// ones are finished.
func (fx *coreFixture) run(ctx context.Context, t *testing.T, need string, endsAtDeadline bool) (rows []string, f Final) {
	t.Helper()
	const timeout = 10 * time.Minute
	g, err := New(Rules{Merge: mergeRules(t, need, ""), MergeTimeShare: 0.2, MaxConcurrentParts: 2, Idempotent: true, MaxRetries: 1}, timeout, fx.parts)
	if err != nil {
		t.Fatal(err)
	}
	start, pastDeadline := time.Now(), false
	notRequested := func(s *fakeNode) bool { return s.fault == "silent" && s.requests.Load() == 0 } // else the jump of the clock would cancel it before it starts
	now := func() time.Duration {
		pastDeadline = pastDeadline || endsAtDeadline && !slices.ContainsFunc(fx.nodes, notRequested) && !slices.ContainsFunc(g.parts, func(p *partState) bool {
			blocked := len(p.inFlight) > 0 && p.inFlight[0].blocked
			return !p.finished && !blocked && (p.lastNumber == 0 || fx.nodes[p.Shard].fault != "silent")
		})
		if pastDeadline {
			return timeout * 9 / 10
		}
		return time.Since(start)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var text []byte
	f = run(ctx, g, fx.sender, Options{MaxPartBytes: 1 << 20, ReceivedAt: start, Write: func(b []byte) error { text = append(text, b...); return nil }},
		clock{now, timer.C, func(at time.Duration) {
			wait := at - now()
			if endsAtDeadline && !pastDeadline { // the start of an attempt is not an event, so poll
				wait = min(wait, time.Millisecond)
			}
			timer.Reset(wait)
		}})
	if len(text) > 0 {
		rows = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	waitFor(t, "core has no requests", func() bool { x := fx.core.TableSizes(); return x.Requests == 0 })
	return rows, f
}

// flatMerge returns the merged rows of all shards but the given ones.
func flatMerge(without ...int) []string { return flatMergeOf(shardCount, rowsPerShard, without) }

// A read whose attempts go through core to faulty nodes returns the flat merge, or names the missing parts.
func TestResultIsFlatMergeOrNamesMissingParts(t *testing.T) {
	for name, c := range map[string]struct {
		faults  [shardCount]string
		need    string
		kind    FinalKind
		missing []int
	}{
		"no fault":                  {need: "all"},
		"late answers":              {[shardCount]string{0: "late", 3: "late"}, "all", Served, nil},
		"one reset":                 {[shardCount]string{1: "reset once"}, "all", Served, nil},
		"reset at each attempt":     {[shardCount]string{2: "reset"}, "best-effort", Served, []int{2}},
		"silent shard":              {[shardCount]string{0: "silent"}, "best-effort", Served, []int{0}},
		"full shard and silent one": {[shardCount]string{1: "full", 3: "silent"}, "best-effort", Served, []int{1, 3}},
		"silent shard, all needed":  {[shardCount]string{0: "silent"}, "all", EndedEarly, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newCoreFixture(t, c.faults)
			rows, f := fx.run(t.Context(), t, c.need, slices.Contains(c.faults[:], "silent"))
			want := flatMerge(c.missing...)
			if c.kind != Served {
				want = nil
			}
			if f.Kind != c.kind || f.Result.Whole != (len(c.missing) == 0) || !slices.Equal(rows, want) {
				t.Errorf("final answer of kind %d with %d rows, want %d rows of the flat merge: %+v", f.Kind, len(rows), len(want), f.Result)
			}
			var named []int
			for _, p := range f.Result.Parts {
				named = append(named, p.Shard)
			}
			if !slices.Equal(named, c.missing) {
				t.Errorf("shards named as missing: %v, want %v", named, c.missing)
			}
			for i, node := range fx.nodes {
				if node.requests.Load() == 0 && c.kind == Served {
					t.Errorf("shard %d received no request", i)
				}
			}
			waitFor(t, "all attempts end", func() bool {
				return !slices.ContainsFunc(fx.nodes, func(node *fakeNode) bool { return node.inFlight.Load() > 0 })
			})
		})
	}
}

func TestClientDisconnectCancelsAllParts(t *testing.T) {
	fx := newCoreFixture(t, [shardCount]string{"silent", "silent", "silent", "silent"})
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		for fx.nodes[0].inFlight.Load()+fx.nodes[1].inFlight.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		disconnect()
	}()
	rows, f := fx.run(ctx, t, "all", false)
	if f.Kind != ClientDisconnected || len(rows) > 0 {
		t.Errorf("final answer %+v with %d rows, want ClientDisconnected without rows", f, len(rows))
	}
	waitFor(t, "all attempts end", func() bool {
		return !slices.ContainsFunc(fx.nodes, func(node *fakeNode) bool { return node.inFlight.Load() > 0 })
	})
}

// rowSender is a Sender that delivers each part in pieces of one row.
type rowSender struct {
	sent atomic.Int64
	wg   sync.WaitGroup
}

func (s *rowSender) Send(a Attempt, _ time.Time, to *Sink) {
	s.wg.Go(func() {
		for _, row := range strings.SplitAfter(string(partRows(a.Part.Shard, 2, 20000)), "\n") {
			if row != "" && !to.Deliver([]byte(row)) {
				break
			}
			s.sent.Add(int64(len(row)))
		}
		to.End(nil, nil)
	})
}
func (s *rowSender) Cancel(Attempt) {}

// A stalled client stalls the parts. Buffered bytes are limited to the merge's memory, two batches of rows and one piece per part.
func TestBackPressureBoundsBufferedBytes(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), MaxConcurrentParts: 1}, time.Hour, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	var s rowSender
	var maxBuffered, written int64
	stalled := false
	f := Run(t.Context(), g, &s, Options{ReceivedAt: time.Now(), Write: func(b []byte) error {
		if !stalled { // until the parts deliver no more
			stalled = true
			for last := int64(-1); last != s.sent.Load(); time.Sleep(50 * time.Millisecond) {
				last = s.sent.Load()
			}
		}
		maxBuffered = max(maxBuffered, s.sent.Load()-written)
		written += int64(len(b))
		return nil
	}})
	s.wg.Wait()
	if all := s.sent.Load(); f.Kind != Served || !f.Result.Whole || written != all || maxBuffered > 2*maxBatchBytes+4096 {
		t.Errorf("final answer %+v; %d of %d bytes written, at most %d were buffered", f, written, all, maxBuffered)
	}
	if err := goleak.Find(); err != nil {
		t.Error(err)
	}
}
