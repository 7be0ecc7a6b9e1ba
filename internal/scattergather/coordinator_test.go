package scattergather

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/testkit/fake/link"
)

const (
	fixtureParts = 12
	rowsPerPart  = 400 // so that a group has more bytes than a buffer
)

// fakeSender is a Sender that answers with the rows of all parts, except for rejected parts and a diverging part.
type fakeSender struct {
	fixture       *fixture
	rejected      map[string]bool
	divergingPart string // the second half of this part's rows differs
}

func (s *fakeSender) Send(a Attempt, _ time.Time, to *Sink) {
	s.fixture.partRequests.Add(1)
	if s.rejected[a.Part.ID] {
		to.End(nil, &Rejection{time.Hour})
		return
	}
	rows := rowsPerPart
	if a.Rows > 0 {
		rows = min(rows, a.Rows)
	}
	text := partRows(a.Part.Shard, fixtureParts, rows)
	if a.Part.ID == s.divergingPart {
		text = append(partRows(a.Part.Shard, fixtureParts, rowsPerPart/2), partRows(a.Part.Shard+100*fixtureParts*rowsPerPart, fixtureParts, 100)...)
	}
	if rows < rowsPerPart {
		to.End(text, &gather.Limited{})
		return
	}
	to.End(text, nil)
}
func (s *fakeSender) Cancel(Attempt) {}

// fakePeer is a peer that gathers the requested parts with its own fakeSender.
type fakePeer struct {
	*fakeSender
	fixture    *fixture
	rules      Rules
	srv        *httptest.Server
	link       *link.Link
	requests   atomic.Int32
	inFlight   atomic.Int32
	resetAfter int                                      // bytes after which it closes the connection; 0: never
	override   func(http.ResponseWriter, *http.Request) // replaces the gathering
}

func (p *fakePeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.requests.Add(1)
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	if p.override != nil {
		p.override(w, r)
		return
	}
	var parts []gather.Part
	for s := range strings.SplitSeq(r.Header.Get("X-Gather"), ",") {
		n, _ := strconv.Atoi(s)
		parts = append(parts, gather.Part{ID: fmt.Sprint("p", n), Shard: n})
	}
	timeout, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil || r.Header.Get("X-Gather-Partial") != "1" || !strings.HasPrefix(r.Header.Get("X-Request-Id"), "id/g") || r.URL.Path != "/read/x" {
		p.fixture.Errorf("unexpected URL or header of a request to a peer: %v %v", r.URL, r.Header)
	}
	rows, _ := strconv.Atoi(r.Header.Get("X-Gather-Rows"))
	sent := 0
	gatherService.run(r.Context(), p.rules, time.Now(), time.Duration(timeout)*ms, parts, p.fakeSender, Query{Partial: true, Rows: rows}, func(b []byte) error {
		if p.resetAfter > 0 && sent+len(b) > p.resetAfter {
			_, _ = w.Write(b[:p.resetAfter-sent])
			_ = http.NewResponseController(w).Flush()
			sent = p.resetAfter
			return http.ErrAbortHandler
		}
		sent += len(b)
		_, err := w.Write(b)
		_ = http.NewResponseController(w).Flush()
		return err
	})
	if p.resetAfter > 0 && sent == p.resetAfter {
		panic(http.ErrAbortHandler)
	}
}

var gatherService = &Service{MaxPartBytes: 1 << 20}

// fixture is a coordinator and its peers. The coordinator reaches each peer over a link on the loopback interface that injects faults.
type fixture struct {
	*testing.T
	coordinator  *Coordinator
	peers        []*fakePeer
	local        *fakeSender
	rules        Rules
	partRequests atomic.Int32 // requests of parts by all processes
	log          *logtest.Hook
}

func newFixture(t *testing.T, peers int, extra string) *fixture {
	t.Helper()
	f := &fixture{T: t}
	f.rules = Rules{Merge: rulesOf(t, 65536, extra), MergeTimeShare: 0.2, MaxConcurrentParts: 4, Idempotent: true, MaxRetries: 1}
	f.local = &fakeSender{fixture: f}
	log, hook := logtest.NewNullLogger()
	f.log = hook
	opt := CoordinatorOptions{Seed: 3, MaxConnsPerPeer: 4, MaxGroupBytes: 1 << 20, MaxRequestIDBytes: 128, Log: log, EncodeRequest: func(_ *core.Request, to *fasthttp.Request) { to.SetRequestURI("/read/x") },
		Rules: DelegationRules{MinParts: 4, MaxGroupParts: 8, FanOut: 4, MaxPeerAttempts: 2, SilenceTimeout: time.Hour, Backoff: time.Hour, MaxBackoff: time.Hour}}
	for i := range peers {
		p := &fakePeer{fakeSender: &fakeSender{fixture: f}, fixture: f, rules: f.rules}
		p.srv = httptest.NewServer(p)
		var err error
		if p.link, err = link.New(link.Options{Seed: 5, Network: "tcp", To: strings.TrimPrefix(p.srv.URL, "http://")}); err != nil {
			t.Fatal(err)
		}
		f.peers = append(f.peers, p)
		opt.Peers = append(opt.Peers, Peer{fmt.Sprint("q", i), p.link.Addr()})
	}
	var err error
	if f.coordinator, err = NewCoordinator(opt); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.coordinator.Close()
		for _, p := range f.peers {
			p.link.Close()
			p.srv.CloseClientConnections()
			p.srv.Close()
		}
		waitFor(t, "all goroutines end", func() bool { return goleak.Find() == nil })
	})
	return f
}

// read gathers all parts, delegated to the peers where the coordinator decides so, and returns the rows and the final answer.
func (f *fixture) read(ctx context.Context, timeout time.Duration) (rows []string, final Final) {
	f.Helper()
	var mu sync.Mutex
	var text []byte
	all := newParts(fixtureParts)
	parts, sender := f.coordinator.Delegate(ReadRequest{Client: newClientRequest("id", timeout), Rules: f.rules, Parts: all, Local: f.local,
		GatherLocally: func(ctx context.Context, a Attempt, until time.Time, write func([]byte) error) Final {
			of := slices.DeleteFunc(slices.Clone(all), func(p gather.Part) bool { return !slices.Contains(a.Part.Of, p.ID) })
			return gatherService.run(ctx, f.rules, time.Now(), time.Until(until), of, f.local, Query{Partial: true, Rows: a.Rows}, write)
		}})
	final = gatherService.run(ctx, f.rules, time.Now(), timeout, parts, sender, Query{}, func(b []byte) error {
		mu.Lock()
		defer mu.Unlock()
		text = append(text, b...)
		return nil
	})
	if len(text) > 0 {
		rows = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	waitFor(f.T, "all connections are closed", func() bool { return f.coordinator.Counts().Connections == 0 })
	return rows, final
}

func fixtureFlatMerge(without ...int) []string {
	return flatMergeOf(fixtureParts, rowsPerPart, without)
}

// For each fault of peers, the rows are those of the flat merge, and the faulty peer backs off.
func TestCoordinatorToleratesPeerFaults(t *testing.T) {
	eachPeer := func(f *fixture, do func(*fakePeer)) {
		for _, p := range f.peers {
			do(p)
		}
	}
	setFault := func(p *fakePeer, x link.Fault) {
		if err := p.link.SetFault(link.Backward, x); err != nil {
			p.fixture.Fatal(err)
		}
	}
	answerWith := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	}
	reject := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1800")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, c := range []struct {
		name       string
		fault      func(*fixture)
		extraRules string
		happened   func(*fixture) bool // reports whether the fault took effect
		backingOff int                 // peers that back off after it
		invalid    int                 // invalid partial results
		local      bool                // this process gathered a group
		missing    []int               // shards that are named as missing
		kind       FinalKind
	}{
		{name: "no fault", happened: func(f *fixture) bool {
			return f.coordinator.Counts().Succeeded == 3 && f.partRequests.Load() == fixtureParts
		}},
		{name: "one peer is known not to be alive", fault: func(f *fixture) {
			f.coordinator.options.AlivePeers = func() []string { return []string{"q0", "q2", "other"} }
		}, happened: func(f *fixture) bool {
			n := f.coordinator.Counts()
			return n.Groups == 2 && n.Rows == 8*rowsPerPart && f.peers[1].requests.Load() == 0 && f.coordinator.PeerStatus()[1].NotAlive
		}},
		{name: "one peer resets the connection", fault: func(f *fixture) { setFault(f.peers[0], link.Fault{ResetAfter: 9000}) }, backingOff: 1,
			happened: func(f *fixture) bool { return f.peers[0].link.Counts(link.Backward).Reset > 0 }},
		{name: "one peer truncates its answer", fault: func(f *fixture) { f.peers[1].resetAfter = 9000 }, backingOff: 1,
			happened: func(f *fixture) bool { return f.peers[1].link.Counts(link.Backward).Bytes > 5000 }},
		{name: "one peer is silent", fault: func(f *fixture) { setFault(f.peers[2], link.Fault{Silent: true}) }, backingOff: 1,
			happened: func(f *fixture) bool { return f.peers[2].link.Counts(link.Backward).Silenced > 0 }},
		{name: "one peer is slow", fault: func(f *fixture) { setFault(f.peers[0], link.Fault{BytesPerSecond: 2000}) }, backingOff: 1,
			happened: func(f *fixture) bool { return f.peers[0].link.Counts(link.Backward).RateLimited > 0 }},
		{name: "two peers are unreachable", fault: func(f *fixture) { f.peers[0].link.Close(); f.peers[1].link.Close() }, backingOff: 2, local: true},
		{name: "all peers are unreachable", fault: func(f *fixture) { eachPeer(f, func(p *fakePeer) { p.link.Close() }) }, backingOff: 3, local: true},
		{name: "all peers are silent", fault: func(f *fixture) { eachPeer(f, func(p *fakePeer) { setFault(p, link.Fault{Silent: true}) }) }, backingOff: 3, local: true},
		{name: "all peers truncate their answers", fault: func(f *fixture) { eachPeer(f, func(p *fakePeer) { p.resetAfter = 9000 }) }, backingOff: 3, local: true},
		{name: "all peers reject", fault: func(f *fixture) { eachPeer(f, func(p *fakePeer) { p.override = reject }) }, backingOff: 3, local: true},
		{name: "one peer answers like a node", fault: func(f *fixture) { f.peers[0].override = answerWith("one thing") }, backingOff: 1, invalid: 1},
		{name: "one peer has other rules", fault: func(f *fixture) { f.peers[2].rules.Merge = checkRules(f, `{"keep":"first"}`) }, backingOff: 1, invalid: 1},
		{name: "one peer loses parts", fault: func(f *fixture) {
			f.peers[1].rejected = map[string]bool{"p1": true, "p5": true, "p9": true, "p4": true, "p7": true, "p10": true}
		},
			backingOff: 1, local: true},
		{name: "a part is rejected by all processes", extraRules: `,"complete":{"need":"best-effort"}`, fault: func(f *fixture) {
			eachPeer(f, func(p *fakePeer) { p.rejected = map[string]bool{"p0": true} })
			f.local.rejected = map[string]bool{"p0": true}
		}, backingOff: 1, local: true, missing: []int{0}},
		{name: "rules with top", extraRules: `,"truncate":{"top":50}`, happened: func(f *fixture) bool { return f.coordinator.Counts().PeerAttempts >= 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 3, c.extraRules)
			if c.fault != nil {
				c.fault(f)
			}
			timeout := 10 * time.Minute // long enough for a loaded machine
			switch {
			case c.name == "one peer is slow":
				timeout = 9 * time.Second // the first attempt's share is a third of four fifths of it
			case strings.HasSuffix(c.name, "silent"):
				f.coordinator.options.Rules.SilenceTimeout = 2 * time.Second
			}
			rows, x := f.read(t.Context(), timeout)
			want := fixtureFlatMerge(c.missing...)
			if strings.Contains(c.extraRules, "top") {
				want = want[:50]
			}
			if x.Kind != c.kind || x.Result.Whole != (c.missing == nil) || !slices.Equal(rows, want) {
				t.Errorf("final answer of kind %d with %d rows, not the flat merge's %d, and the result %+v", x.Kind, len(rows), len(want), x.Result)
			}
			var named []int
			for _, p := range x.Result.Parts {
				named = append(named, p.Shard)
			}
			if !slices.Equal(named, c.missing) {
				t.Errorf("shards named as missing: %v, want %v", named, c.missing)
			}
			if c.happened != nil && !c.happened(f) {
				t.Errorf("the fault had no effect: %+v", f.coordinator.Counts())
			}
			backingOff := 0
			for _, s := range f.coordinator.PeerStatus() {
				if s.BackoffLeft > 0 {
					backingOff++
				}
			}
			failed := 0
			for _, code := range FailureCodes {
				failed += f.coordinator.Failures(code)
			}
			if n := f.coordinator.Counts(); failed != n.Failed+n.Rejected || failed < backingOff || n.Takeovers == 0 != (backingOff == 0) ||
				f.coordinator.Failures((*PeerInvalidResult)(nil).Code()) != c.invalid {
				t.Errorf("%d failures by code do not fit the peers that back off or the counts %+v", failed, n)
			}
			if n := f.coordinator.Counts(); backingOff != c.backingOff || n.InvalidResults != c.invalid || (n.LocalAttempts > 0) != c.local {
				t.Errorf("%d peers back off, want %d, or unexpected counts: %+v; peers %+v", backingOff, c.backingOff, n, f.coordinator.PeerStatus())
			}
			for _, e := range f.log.AllEntries() {
				if e.Data["code"] == nil && e.Data["peer"] == nil {
					t.Errorf("a log line without a code or peer: %v", e.Data)
				}
			}
			waitFor(t, "all requests to peers end", func() bool {
				return !slices.ContainsFunc(f.peers, func(p *fakePeer) bool { return p.inFlight.Load() > 0 })
			})
			requests := map[string]int32{}
			for i, p := range f.peers {
				requests[fmt.Sprint("q", i)] = p.requests.Load()
			}
			status := f.coordinator.PeerStatus()
			if rows, x = f.read(t.Context(), timeout); x.Result.Whole && !slices.Equal(rows, want) { // the next read avoids these peers
				t.Errorf("the rows of the second read are not those of the flat merge: %d rows, %+v", len(rows), x.Result)
			}
			for i, s := range status {
				if s.BackoffLeft > 0 && f.peers[i].requests.Load() != requests[s.Name] {
					t.Errorf("%s backs off, but received a request", s.Name)
				}
			}
		})
	}
}

// If copies of a group diverge, its parts are named in conflict and the result is not complete.
func TestDivergingCopiesOfAGroupAreNamedInConflict(t *testing.T) {
	f := newFixture(t, 1, `,"complete":{"need":"best-effort"}`)
	f.peers[0].resetAfter = 30000
	f.peers[0].divergingPart = "p2"
	rows, x := f.read(t.Context(), 10*time.Minute)
	var named []string
	for _, p := range x.Result.Parts {
		if p.Conflict {
			named = append(named, p.ID)
		}
	}
	if x.Kind != Served || x.Result.Whole || !slices.Contains(named, "p2") || len(named) != 6 {
		t.Errorf("%d rows, final kind %d, parts in conflict %v, want the 6 of p2's group: %+v", len(rows), x.Kind, named, x.Result.Parts)
	}
	if n := f.coordinator.Counts(); n.LocalAttempts != 1 {
		t.Errorf("counts %+v, want 1 local attempt", n)
	}
}

// If all processes reject all parts, the read is rejected with the longest Retry-After.
func TestAllPartsRejectedRejectsTheRead(t *testing.T) {
	f := newFixture(t, 2, "")
	allParts := map[string]bool{}
	for _, p := range newParts(fixtureParts) {
		allParts[p.ID] = true
	}
	f.local.rejected, f.peers[0].rejected, f.peers[1].rejected = allParts, allParts, allParts
	rows, x := f.read(t.Context(), 10*time.Minute)
	if len(rows) > 0 || x.Kind != Rejected || x.RetryAfter != time.Hour {
		t.Errorf("%d rows and the final answer %+v, want none and Rejected with a Retry-After of 1 h", len(rows), x)
	}
}

// When the client disconnects, the requests to all peers are cancelled, and no peer is marked as failed.
func TestClientDisconnectCancelsAllPeers(t *testing.T) {
	f := newFixture(t, 3, "")
	ctx, disconnect := context.WithCancel(t.Context())
	for _, p := range f.peers {
		if err := p.link.SetFault(link.Backward, link.Fault{Silent: true}); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for f.coordinator.Counts().Connections < 3 {
			time.Sleep(ms)
		}
		disconnect()
	}()
	if rows, x := f.read(ctx, time.Minute); x.Kind != ClientDisconnected || len(rows) > 0 {
		t.Errorf("final answer %+v with %d rows, want ClientDisconnected without rows", x, len(rows))
	}
	waitFor(t, "all requests to peers end", func() bool {
		return !slices.ContainsFunc(f.peers, func(p *fakePeer) bool { return p.inFlight.Load() > 0 })
	})
	for _, s := range f.coordinator.PeerStatus() {
		if s.Failures > 0 {
			t.Errorf("a peer is marked as failed because the client disconnected: %+v", s)
		}
	}
}

func TestCoordinatorRejectsInvalidOptions(t *testing.T) {
	valid := CoordinatorOptions{MaxConnsPerPeer: 1, MaxGroupBytes: 1, Peers: []Peer{{"a", "127.0.0.1:1"}}, Rules: testDelegationRules(0)}
	for _, invalidate := range []func(*CoordinatorOptions){func(o *CoordinatorOptions) { o.MaxConnsPerPeer = 0 }, func(o *CoordinatorOptions) { o.MaxGroupBytes = 0 }, func(o *CoordinatorOptions) { o.Peers = nil }} {
		o := valid
		invalidate(&o)
		if _, err := NewCoordinator(o); !errors.As(err, new(*InvalidRules)) {
			t.Errorf("options %+v: error %v, want InvalidRules", o, err)
		}
	}
}
