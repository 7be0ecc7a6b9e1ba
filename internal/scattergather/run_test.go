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
	shards = 4
	each   = 200 // rows of a shard: more than its share of the merge's memory
)

// shard is the one node of its shard, as core reaches it: it has its rows and a fault.
type shard struct {
	i           int
	fault       string
	life        context.Context
	asked, open atomic.Int32
	mu          sync.Mutex
	out         map[*core.Attempt]context.CancelFunc
}

func (s *shard) Send(a *core.Attempt) bool {
	ctx, cancel := context.WithDeadline(s.life, a.Deadline)
	s.mu.Lock()
	s.out[a] = cancel
	s.mu.Unlock()
	go func() {
		defer s.Cancel(a)
		if !a.Claim() {
			a.Done(core.Result{Status: policy.Abandoned})
			return
		}
		n := s.asked.Add(1)
		s.open.Add(1)
		defer s.open.Add(-1)
		r := core.Result{Status: policy.OK, Payload: body(s.i, shards, each)}
		switch {
		case s.fault == "full":
			r = core.Result{Status: policy.NodeFull}
		case s.fault == "silent":
			<-ctx.Done()
			r = core.Result{Status: policy.Cancelled}
		case s.fault == "cut" || s.fault == "cut once" && n == 1:
			r = core.Result{Status: policy.ConnectionReset}
		case s.fault == "late": // the others have all answered
			time.Sleep(20 * time.Millisecond)
		}
		a.MarkWritten()
		a.Done(r)
	}()
	return true
}

func (s *shard) Cancel(a *core.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.out[a]; cancel != nil {
		cancel()
		delete(s.out, a)
	}
}
func (s *shard) CheckHealth(func(core.Result, time.Duration)) bool { return false }
func (s *shard) Connect(func(policy.Status)) bool                  { return false }
func (s *shard) Drain(bool)                                        {}
func (s *shard) SetAddresses([]address.Addr)                       {}
func (s *shard) Close()                                            {}

type world struct {
	c      *core.Core
	shards []*shard
	asker  *Core
	parts  []gather.Part
}

func start(t *testing.T, faults [shards]string) *world {
	t.Helper()
	w := &world{}
	var nodes []core.Node
	life, end := context.WithCancel(context.Background())
	for i, f := range faults {
		w.shards = append(w.shards, &shard{i: i, fault: f, life: life, out: map[*core.Attempt]context.CancelFunc{}})
		w.parts = append(w.parts, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
		nodes = append(nodes, core.Node{Node: policy.Node{ID: fmt.Sprint(i), Shard: i, State: policy.NodeUp, Weight: 1}})
	}
	log, _ := logtest.NewNullLogger()
	var err error
	w.c, err = core.New(core.Options{Seed: 7, Log: log,
		NewNodeClient: func(name string, _ []address.Addr) core.NodeClient { return w.shards[name[0]-'0'] },
		Settings: policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 3, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
			DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
			Classes: []policy.Class{{Name: "read", LatencyObjective: 60e3, Deadline: 120e3, PriorityWeight: 3}},
			Plans:   []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	w.c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: nodes})
	w.asker = &Core{Core: w.c, Client: policy.Request{ID: "q", Class: "read", Plan: "basic", Key: "k", Volume: "v", Schedulers: 1},
		Units: func(gather.Part) float64 { return 1 }, Payload: func(*core.Request, Ask) any { return nil },
		Body: func(x any) Body { return Body{Data: x.([]byte)} }}
	t.Cleanup(func() {
		w.c.Stop()
		end()
		await(t, "no goroutine is left", func() bool { return goleak.Find() == nil })
	})
	return w
}

func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// run gathers; patience is long: where shards are silent the parts' time is over once all others have brought what they can.
func (w *world) run(ctx context.Context, t *testing.T, need string, ends bool) (rows []string, f Final) {
	t.Helper()
	const patience = 10 * time.Minute
	g, err := New(Rules{Merge: mergeRules(t, need, ""), Share: 0.2, AtOnce: 2, Safe: true, Again: 1}, patience, w.parts)
	if err != nil {
		t.Fatal(err)
	}
	begin, past := time.Now(), false
	unasked := func(s *shard) bool { return s.fault == "silent" && s.asked.Load() == 0 } // time's leap would call it off before it begins
	now := func() time.Duration {
		past = past || ends && !slices.ContainsFunc(w.shards, unasked) && !slices.ContainsFunc(g.parts, func(p *part) bool {
			held := len(p.live) > 0 && p.live[0].held
			return !p.over && !held && (p.next == 0 || w.shards[p.Shard].fault != "silent")
		})
		if past {
			return patience * 9 / 10
		}
		return time.Since(begin)
	}
	wake := time.NewTimer(0)
	defer wake.Stop()
	var text []byte
	f = run(ctx, g, w.asker, Options{PartMost: 1 << 20, Arrived: begin, Write: func(b []byte) error { text = append(text, b...); return nil }},
		clock{now, wake.C, func(at time.Duration) {
			wait := at - now()
			if ends && !past { // no event tells of an asking that begins
				wait = min(wait, time.Millisecond)
			}
			wake.Reset(wait)
		}})
	if len(text) > 0 {
		rows = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	await(t, "core holds nothing", func() bool { x := w.c.TableSizes(); return x.Requests == 0 })
	return rows, f
}

// flat are the rows of all shards but some, merged.
func flat(without ...int) []string { return flatOf(shards, each, without) }

// Over core: the answer is the flat merge, or says what is missing.
func TestParts(t *testing.T) {
	for name, c := range map[string]struct {
		faults  [shards]string
		need    string
		kind    Kind
		missing []int
	}{
		"whole":           {need: "all"},
		"late":            {[shards]string{0: "late", 3: "late"}, "all", Served, nil},
		"cut once":        {[shards]string{1: "cut once"}, "all", Served, nil},
		"cut":             {[shards]string{2: "cut"}, "best-effort", Served, []int{2}},
		"silent":          {[shards]string{0: "silent"}, "best-effort", Served, []int{0}},
		"refused, silent": {[shards]string{1: "full", 3: "silent"}, "best-effort", Served, []int{1, 3}},
		"all needed":      {[shards]string{0: "silent"}, "all", Short, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, c.faults)
			rows, f := w.run(t.Context(), t, c.need, slices.Contains(c.faults[:], "silent"))
			want := flat(c.missing...)
			if c.kind != Served {
				want = nil
			}
			if f.Kind != c.kind || f.Result.Whole != (len(c.missing) == 0) || !slices.Equal(rows, want) {
				t.Errorf("kind %d, %d rows of %d, %+v", f.Kind, len(rows), len(want), f.Result)
			}
			var named []int
			for _, p := range f.Result.Parts {
				named = append(named, p.Shard)
			}
			if !slices.Equal(named, c.missing) {
				t.Errorf("named %v, missing %v", named, c.missing)
			}
			for i, s := range w.shards {
				if s.asked.Load() == 0 && c.kind == Served {
					t.Errorf("shard %d was not asked", i)
				}
			}
			await(t, "all askings end", func() bool { return !slices.ContainsFunc(w.shards, func(s *shard) bool { return s.open.Load() > 0 }) })
		})
	}
}

func TestAClientThatLeavesEndsAllParts(t *testing.T) {
	w := start(t, [shards]string{"silent", "silent", "silent", "silent"})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		for w.shards[0].open.Load()+w.shards[1].open.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	rows, f := w.run(ctx, t, "all", false)
	if f.Kind != Left || len(rows) > 0 {
		t.Errorf("%+v, %d rows", f, len(rows))
	}
	await(t, "all askings end", func() bool { return !slices.ContainsFunc(w.shards, func(s *shard) bool { return s.open.Load() > 0 }) })
}

// streams is an asker whose parts come in pieces of one row.
type streams struct {
	sent atomic.Int64
	wg   sync.WaitGroup
}

func (s *streams) Ask(a Ask, _ time.Time, to *Sink) {
	s.wg.Go(func() {
		for _, row := range strings.SplitAfter(string(body(a.Part.Shard, 2, 20000)), "\n") {
			if row != "" && !to.Piece([]byte(row)) {
				break
			}
			s.sent.Add(int64(len(row)))
		}
		to.End(nil, nil)
	})
}
func (s *streams) Off(Ask) {}

// A client that takes nothing holds the parts up: what is held is the merge's memory, two batches of rows and a piece a part.
func TestBackPressure(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), AtOnce: 1}, time.Hour, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	var s streams
	var most, written int64
	stuck := false
	f := Run(t.Context(), g, &s, Options{Arrived: time.Now(), Write: func(b []byte) error {
		if !stuck { // until the parts stand still
			stuck = true
			for was := int64(-1); was != s.sent.Load(); time.Sleep(50 * time.Millisecond) {
				was = s.sent.Load()
			}
		}
		most = max(most, s.sent.Load()-written)
		written += int64(len(b))
		return nil
	}})
	s.wg.Wait()
	if all := s.sent.Load(); f.Kind != Served || !f.Result.Whole || written != all || most > 2*batchMost+4096 {
		t.Errorf("%+v; %d of %d bytes, %d held", f, written, all, most)
	}
	if err := goleak.Find(); err != nil {
		t.Error(err)
	}
}
