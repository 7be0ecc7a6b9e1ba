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
	treeParts = 12
	treeRows  = 400 // of a part: a group's bytes are more than a buffer's
)

// store is an asker that has the rows of all parts, but for those it refuses or has otherwise.
type store struct {
	t      *forest
	refuse map[string]bool
	other  string // of this part the last half of the rows is another
}

func (s *store) Ask(a Ask, _ time.Time, to *Sink) {
	s.t.asked.Add(1)
	if s.refuse[a.Part.ID] {
		to.End(nil, &Refusal{time.Hour})
		return
	}
	rows := treeRows
	if a.Rows > 0 {
		rows = min(rows, a.Rows)
	}
	text := body(a.Part.Shard, treeParts, rows)
	if a.Part.ID == s.other {
		text = append(body(a.Part.Shard, treeParts, treeRows/2), body(a.Part.Shard+100*treeParts*treeRows, treeParts, 100)...)
	}
	if rows < treeRows {
		to.End(text, &gather.Limited{})
		return
	}
	to.End(text, nil)
}
func (s *store) Off(Ask) {}

// grove is a peer: it gathers what it is asked for over its own store.
type grove struct {
	*store
	t     *forest
	rules Rules
	srv   *httptest.Server
	link  *link.Link
	asked atomic.Int32
	open  atomic.Int32
	cut   int                                      // bytes after which it drops the connection; 0: never
	is    func(http.ResponseWriter, *http.Request) // in place of gathering
}

func (p *grove) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.asked.Add(1)
	p.open.Add(1)
	defer p.open.Add(-1)
	if p.is != nil {
		p.is(w, r)
		return
	}
	var parts []gather.Part
	for s := range strings.SplitSeq(r.Header.Get("X-Gather"), ",") {
		n, _ := strconv.Atoi(s)
		parts = append(parts, gather.Part{ID: fmt.Sprint("p", n), Shard: n})
	}
	patience, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil || r.Header.Get("X-Gather-Partial") != "1" || !strings.HasPrefix(r.Header.Get("X-Request-Id"), "id/g") || r.URL.Path != "/read/x" {
		p.t.Errorf("a peer is asked %v %v", r.URL, r.Header)
	}
	rows, _ := strconv.Atoi(r.Header.Get("X-Gather-Rows"))
	sent := 0
	gathers.run(r.Context(), p.rules, time.Now(), time.Duration(patience)*ms, parts, p.store, Query{Partial: true, Rows: rows}, func(b []byte) error {
		if p.cut > 0 && sent+len(b) > p.cut {
			_, _ = w.Write(b[:p.cut-sent])
			_ = http.NewResponseController(w).Flush()
			sent = p.cut
			return http.ErrAbortHandler
		}
		sent += len(b)
		_, err := w.Write(b)
		_ = http.NewResponseController(w).Flush()
		return err
	})
	if p.cut > 0 && sent == p.cut {
		panic(http.ErrAbortHandler)
	}
}

var gathers = &Service{PartMost: 1 << 20}

// forest is a root and its peers on the loopback.
type forest struct {
	*testing.T
	tree  *Tree
	peers []*grove
	own   *store
	rules Rules
	asked atomic.Int32 // parts, by any process
	log   *logtest.Hook
}

func plant(t *testing.T, peers int, more string) *forest {
	t.Helper()
	f := &forest{T: t}
	f.rules = Rules{Merge: rulesOf(t, 65536, more), Share: 0.2, AtOnce: 4, Safe: true, Again: 1}
	f.own = &store{t: f}
	log, hook := logtest.NewNullLogger()
	f.log = hook
	opt := TreeOptions{Seed: 3, Conns: 4, BytesMost: 1 << 20, IDMost: 128, Log: log, Request: func(_ *core.Request, to *fasthttp.Request) { to.SetRequestURI("/read/x") },
		Rules: TreeRules{LeastParts: 4, GroupMost: 8, FanOut: 4, Copies: 2, Silent: time.Hour, Rest: time.Hour, RestMax: time.Hour}}
	for i := range peers {
		p := &grove{store: &store{t: f}, t: f, rules: f.rules}
		p.srv = httptest.NewServer(p)
		var err error
		if p.link, err = link.New(link.Options{Seed: 5, Network: "tcp", To: strings.TrimPrefix(p.srv.URL, "http://")}); err != nil {
			t.Fatal(err)
		}
		f.peers = append(f.peers, p)
		opt.Peers = append(opt.Peers, Peer{fmt.Sprint("q", i), p.link.Addr()})
	}
	var err error
	if f.tree, err = OpenTree(opt); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.tree.Close()
		for _, p := range f.peers {
			p.link.Close()
			p.srv.CloseClientConnections()
			p.srv.Close()
		}
		await(t, "no goroutine is left", func() bool { return goleak.Find() == nil })
	})
	return f
}

func (f *forest) read(ctx context.Context, patience time.Duration) (rows []string, x Final) {
	f.Helper()
	var mu sync.Mutex
	var text []byte
	all := leaves(treeParts)
	parts, asker := f.tree.Group(Read{Client: client("id", patience), Rules: f.rules, Parts: all, Own: f.own,
		Here: func(ctx context.Context, a Ask, until time.Time, write func([]byte) error) Final {
			of := slices.DeleteFunc(slices.Clone(all), func(p gather.Part) bool { return !slices.Contains(a.Part.Of, p.ID) })
			return gathers.run(ctx, f.rules, time.Now(), time.Until(until), of, f.own, Query{Partial: true, Rows: a.Rows}, write)
		}})
	x = gathers.run(ctx, f.rules, time.Now(), patience, parts, asker, Query{}, func(b []byte) error {
		mu.Lock()
		defer mu.Unlock()
		text = append(text, b...)
		return nil
	})
	if len(text) > 0 {
		rows = strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	}
	await(f.T, "no connection is left", func() bool { return f.tree.Counts().Connected == 0 })
	return rows, x
}

func treeFlat(without ...int) []string { return flatOf(treeParts, treeRows, without) }

// Each fault of peers: the rows are the flat merge's, one final answer, and the peer at fault is set aside.
func TestTreeFaults(t *testing.T) {
	all := func(f *forest, do func(*grove)) {
		for _, p := range f.peers {
			do(p)
		}
	}
	set := func(p *grove, x link.Fault) {
		if err := p.link.Set(link.Backward, x); err != nil {
			p.t.Fatal(err)
		}
	}
	junk := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	}
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1800")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, c := range []struct {
		name     string
		fault    func(*forest)
		more     string
		happened func(*forest) bool
		aside    int // peers that rest after it
		nonsense int
		own      bool // the process itself asked for a group
		missing  []int
		kind     Kind
	}{
		{name: "none", happened: func(f *forest) bool { return f.tree.Counts().Good == 3 && f.asked.Load() == treeParts }},
		{name: "one is known to be gone", fault: func(f *forest) {
			f.tree.opt.Alive = func() []string { return []string{"q0", "q2", "other"} }
		}, happened: func(f *forest) bool {
			n := f.tree.Counts()
			return n.Groups == 2 && n.Rows == 8*treeRows && f.peers[1].asked.Load() == 0 && f.tree.Standing()[1].Gone
		}},
		{name: "one killed mid-gather", fault: func(f *forest) { set(f.peers[0], link.Fault{ResetAfter: 9000}) }, aside: 1,
			happened: func(f *forest) bool { return f.peers[0].link.Counts(link.Backward).Reset > 0 }},
		{name: "one's answer is cut", fault: func(f *forest) { f.peers[1].cut = 9000 }, aside: 1,
			happened: func(f *forest) bool { return f.peers[1].link.Counts(link.Backward).Bytes > 5000 }},
		{name: "one silent", fault: func(f *forest) { set(f.peers[2], link.Fault{Silent: true}) }, aside: 1,
			happened: func(f *forest) bool { return f.peers[2].link.Counts(link.Backward).Silenced > 0 }},
		{name: "one slow", fault: func(f *forest) { set(f.peers[0], link.Fault{Trickle: 2000}) }, aside: 1,
			happened: func(f *forest) bool { return f.peers[0].link.Counts(link.Backward).Trickled > 0 }},
		{name: "two gone", fault: func(f *forest) { f.peers[0].link.Close(); f.peers[1].link.Close() }, aside: 2, own: true},
		{name: "all gone", fault: func(f *forest) { all(f, func(p *grove) { p.link.Close() }) }, aside: 3, own: true},
		{name: "all silent", fault: func(f *forest) { all(f, func(p *grove) { set(p, link.Fault{Silent: true}) }) }, aside: 3, own: true},
		{name: "all cut", fault: func(f *forest) { all(f, func(p *grove) { p.cut = 9000 }) }, aside: 3, own: true},
		{name: "all refuse", fault: func(f *forest) { all(f, func(p *grove) { p.is = full }) }, aside: 3, own: true},
		{name: "one answers as a node would", fault: func(f *forest) { f.peers[0].is = junk("one thing") }, aside: 1, nonsense: 1},
		{name: "one has other rules", fault: func(f *forest) { f.peers[2].rules.Merge = checkRules(f, `{"keep":"first"}`) }, aside: 1, nonsense: 1},
		{name: "one lost parts", fault: func(f *forest) {
			f.peers[1].refuse = map[string]bool{"p1": true, "p5": true, "p9": true, "p4": true, "p7": true, "p10": true}
		},
			aside: 1, own: true},
		{name: "a part is refused everywhere", more: `,"complete":{"need":"best-effort"}`, fault: func(f *forest) {
			all(f, func(p *grove) { p.refuse = map[string]bool{"p0": true} })
			f.own.refuse = map[string]bool{"p0": true}
		}, aside: 1, own: true, missing: []int{0}},
		{name: "the top alone", more: `,"truncate":{"top":50}`, happened: func(f *forest) bool { return f.tree.Counts().Asked >= 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := plant(t, 3, c.more)
			if c.fault != nil {
				c.fault(f)
			}
			patience := 10 * time.Minute // nobody is late for the machine's load alone
			switch {
			case c.name == "one slow":
				patience = 9 * time.Second // a third of four fifths of it is the first copy's
			case strings.HasSuffix(c.name, "silent"):
				f.tree.opt.Rules.Silent = 2 * time.Second
			}
			rows, x := f.read(t.Context(), patience)
			want := treeFlat(c.missing...)
			if strings.Contains(c.more, "top") {
				want = want[:50]
			}
			if x.Kind != c.kind || x.Result.Whole != (c.missing == nil) || !slices.Equal(rows, want) {
				t.Errorf("kind %d, %d rows of %d, %+v", x.Kind, len(rows), len(want), x.Result)
			}
			var named []int
			for _, p := range x.Result.Parts {
				named = append(named, p.Shard)
			}
			if !slices.Equal(named, c.missing) {
				t.Errorf("named %v, missing %v", named, c.missing)
			}
			if c.happened != nil && !c.happened(f) {
				t.Errorf("the fault did not happen: %+v", f.tree.Counts())
			}
			aside := 0
			for _, s := range f.tree.Standing() {
				if s.Rests > 0 {
					aside++
				}
			}
			failed := 0
			for _, code := range Codes {
				failed += f.tree.Failures(code)
			}
			if n := f.tree.Counts(); failed != n.Bad+n.Refused || failed < aside || n.TakenOver == 0 != (aside == 0) ||
				f.tree.Failures((*PeerNonsense)(nil).Code()) != c.nonsense {
				t.Errorf("%d failures by code, %+v", failed, n)
			}
			if n := f.tree.Counts(); aside != c.aside || n.Nonsense != c.nonsense || (n.Own > 0) != c.own {
				t.Errorf("%d rest, not %d: %+v %+v", aside, c.aside, n, f.tree.Standing())
			}
			for _, e := range f.log.AllEntries() {
				if e.Data["code"] == nil && e.Data["peer"] == nil {
					t.Errorf("a log line without a code: %v", e.Data)
				}
			}
			await(t, "all peers' gathers end", func() bool { return !slices.ContainsFunc(f.peers, func(p *grove) bool { return p.open.Load() > 0 }) })
			asked := map[string]int32{}
			for i, p := range f.peers {
				asked[fmt.Sprint("q", i)] = p.asked.Load()
			}
			resting := f.tree.Standing()
			if rows, x = f.read(t.Context(), patience); x.Result.Whole && !slices.Equal(rows, want) { // and the next read goes past them
				t.Errorf("again: %d rows, %+v", len(rows), x.Result)
			}
			for i, s := range resting {
				if s.Rests > 0 && f.peers[i].asked.Load() != asked[s.Name] {
					t.Errorf("%s rests and was asked", s.Name)
				}
			}
		})
	}
}

// Copies of a group that saw different rows are named in conflict and not passed for whole.
func TestPeersThatSawDifferentCopies(t *testing.T) {
	f := plant(t, 1, `,"complete":{"need":"best-effort"}`)
	f.peers[0].cut = 30000
	f.peers[0].other = "p2"
	rows, x := f.read(t.Context(), 10*time.Minute)
	var named []string
	for _, p := range x.Result.Parts {
		if p.Conflict {
			named = append(named, p.ID)
		}
	}
	if x.Kind != Served || x.Result.Whole || !slices.Contains(named, "p2") || len(named) != 6 {
		t.Errorf("%d rows, kind %d, in conflict %v, %+v", len(rows), x.Kind, named, x.Result.Parts)
	}
	if n := f.tree.Counts(); n.Own != 1 {
		t.Errorf("%+v", n)
	}
}

// All parts refused everywhere is refused to the client as well, with the longest wait.
func TestRefusedOverATree(t *testing.T) {
	f := plant(t, 2, "")
	no := map[string]bool{}
	for _, p := range leaves(treeParts) {
		no[p.ID] = true
	}
	f.own.refuse, f.peers[0].refuse, f.peers[1].refuse = no, no, no
	rows, x := f.read(t.Context(), 10*time.Minute)
	if len(rows) > 0 || x.Kind != Refused || x.RetryAfter != time.Hour {
		t.Errorf("%d rows, %+v", len(rows), x)
	}
}

// A client that leaves, or takes nothing, ends or holds up all peers.
func TestAClientThatLeavesEndsAllPeers(t *testing.T) {
	f := plant(t, 3, "")
	ctx, leave := context.WithCancel(t.Context())
	for _, p := range f.peers {
		if err := p.link.Set(link.Backward, link.Fault{Silent: true}); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for f.tree.Counts().Connected < 3 {
			time.Sleep(ms)
		}
		leave()
	}()
	if rows, x := f.read(ctx, time.Minute); x.Kind != Left || len(rows) > 0 {
		t.Errorf("%+v, %d rows", x, len(rows))
	}
	await(t, "all peers' gathers end", func() bool { return !slices.ContainsFunc(f.peers, func(p *grove) bool { return p.open.Load() > 0 }) })
	for _, s := range f.tree.Standing() {
		if s.Fails > 0 {
			t.Errorf("blamed for a client's going: %+v", s)
		}
	}
}

func TestTreeOptionsAndErrors(t *testing.T) {
	good := TreeOptions{Conns: 1, BytesMost: 1, Peers: []Peer{{"a", "127.0.0.1:1"}}, Rules: treeRules(0)}
	for _, bad := range []func(*TreeOptions){func(o *TreeOptions) { o.Conns = 0 }, func(o *TreeOptions) { o.BytesMost = 0 }, func(o *TreeOptions) { o.Peers = nil }} {
		o := good
		bad(&o)
		if _, err := OpenTree(o); !errors.As(err, new(*RulesBad)) {
			t.Errorf("%+v: %v", o, err)
		}
	}
}
