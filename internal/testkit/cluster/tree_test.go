package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/historycheck"
)

// grove is a fleet whose last daemon hands parts of gathered reads on to the others, each over a link.
type grove struct {
	*world
	root  int
	links []*link.Link // to peers
	rows  *node.Rows
	reads []historycheck.Taken
	ends  []historycheck.Answered
	who   sharing // where they know who is alive
}

const noPlanOf = "small" // a plan with a limit

// plantGrove starts four daemons over shards of one node each; tree: that of the site, "": nothing is handed on; rules: put over the class
func plantGrove(t *testing.T, shards, rows int, tree, rules string, members ...bool) *grove {
	t.Helper()
	if testing.Short() {
		t.Skip("several processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), rowMost)
	t.Cleanup(cancel)
	g := &grove{root: 3, rows: &node.Rows{Seed: 9, Count: rows, Shared: 0.2, Same: 0.5, Pad: 24}}
	opt := Options{Daemon: daemon, Seed: 7, Daemons: 4, Peers: len(members) > 0, Settings: map[string]any{"ceilings": map[string]any{"peers": true},
		"profiles": append(Defaults(1, 0, 1)["profiles"].([]map[string]any),
			map[string]any{"name": "read-once", "goal-time": 200, "deadline": 1000, "worth": 2., "late-worth": 1., "repeat": "unsafe"})}}
	for j := range shards {
		opt.Nodes = append(opt.Nodes, Storage{Name: fmt.Sprint("s", j), Shard: j, Rows: g.rows})
	}
	opt.Args = func(f *Fleet, i int) []string {
		class := map[string]any{"order": []map[string]any{{"key": "k", "type": "integer"}}, "memory": map[string]any{"bytes": 1 << 20},
			"records": map[string]any{"max_bytes": 4096}}
		if rules != "" {
			if err := json.Unmarshal([]byte(rules), &class); err != nil {
				t.Fatal(err)
			}
		}
		section := map[string]any{"reads_at_once": 2, "parts_most": 24, "share": 0.1, "rules": map[string]any{"classes": map[string]any{"read": class, "read-once": class}}}
		if i == g.root && tree != "" {
			var peers []map[string]any
			for j := range i {
				l, err := link.New(link.Options{Seed: uint64(j), Network: "tcp", To: f.Proc(j).Listen})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(l.Close)
				g.links = append(g.links, l)
				peers = append(peers, map[string]any{"name": fmt.Sprint("n", j), "address": l.Addr()})
			}
			peers = append(peers, map[string]any{"name": fmt.Sprint("n", i), "address": "127.0.0.1:1"}) // itself: passed over
			section["peers"], section["tree"] = peers, json.RawMessage(tree)
		}
		site := map[string]any{}
		if opt.Peers {
			var at string
			site, at = peerSite(t, f, i)
			g.who.metrics = append(g.who.metrics, at)
		}
		site["gather"] = section
		text, err := json.Marshal(site)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(f.Dir(i), "site.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return []string{"--site", file}
	}
	f, err := Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	g.world = &world{Fleet: f, t: t, ctx: ctx}
	g.who.world = g.world
	for i := range opt.Daemons { // the root last: its peers have the list then
		g.must(g.Wait(ctx, fmt.Sprint("daemon ", i, " gathers all"), func() error {
			if r := g.readAt(i, "read", thePlan, 8*time.Second); r.err != nil || !r.result.Get("whole").Bool() || !g.asked(shards) {
				return fmt.Errorf("%w, code %d, %d rows, %s", r.err, r.code, len(r.rows), r.result.Raw)
			}
			return nil
		}))
	}
	return g
}

// gathered is how a gathered read ended for its client.
type gathered struct {
	heard
	rows [][]byte
	took time.Duration
}

// read asks the root for all shards.
func (g *grove) read(class, plan string, patience time.Duration) gathered {
	return g.readAt(g.root, class, plan, patience)
}

func (g *grove) readAt(i int, class, plan string, patience time.Duration) (r gathered) {
	f := g.Fleet
	taken, text := f.gathered(i, class, plan, patience)
	defer func() {
		end := historycheck.Whole
		if r.err != nil {
			end = historycheck.Cut
		}
		g.reads, g.ends = append(g.reads, taken), append(g.ends, historycheck.Answered{ID: taken.ID, At: f.now(), End: end})
		r.took = f.now() - taken.At
	}()
	nc, err := net.Dial("tcp", f.ClientLink(i).Addr())
	if err != nil {
		r.err = err
		return r
	}
	defer nc.Close()
	if r.err = nc.SetDeadline(time.Now().Add(patience + 2*time.Second)); r.err != nil {
		return r
	}
	if r.heard = hear(nc, text); r.code == http.StatusOK {
		r.rows = bytes.Split(bytes.TrimSuffix(r.body, []byte("\n")), []byte("\n"))
	}
	return r
}

// whole holds an answer against the flat merge.
func (g *grove) whole(what string, r gathered, patience time.Duration) {
	g.t.Helper()
	var shards []int
	for j := range g.opt.Nodes {
		shards = append(shards, j)
	}
	// Rows of one key stand in the order of parts' names.
	slices.SortFunc(shards, func(a, b int) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	want := g.rows.Flat(shards, node.Flat{Keep: "all"})
	if r.err != nil || r.code != http.StatusOK || !r.result.Get("whole").Bool() || !slices.EqualFunc(r.rows, want, bytes.Equal) {
		g.t.Errorf("%s: %v, code %d, %d rows of %d, %s", what, r.err, r.code, len(r.rows), len(want), r.result.Raw)
	}
	if r.took > patience {
		g.t.Errorf("%s: %v is over its %v", what, r.took, patience)
	}
}

// asked says whether the last read asked as many shards: a daemon may not know of all yet.
func (g *grove) asked(shards int) bool { return g.parts(true)+g.parts(false) >= shards }

// parts are the ids that nodes were asked under, of the last read; those of groups carry /g.
func (g *grove) parts(groups bool) (n int) {
	last := g.reads[len(g.reads)-1].ID
	for _, s := range g.History().Sent {
		if strings.HasPrefix(s.ID, last+"/") && strings.HasPrefix(s.ID, last+"/g") == groups {
			n++
		}
	}
	return n
}

// finish asks the auditor: each part is a request of its own, which ends with its read; one that a peer asked, which hears
// of the end over the net, with its read's deadline.
func (g *grove) finish() {
	g.t.Helper()
	h := g.History()
	seen := map[string]bool{}
	for _, s := range h.Sent {
		read, part, ok := strings.Cut(s.ID, "/")
		k := slices.IndexFunc(g.reads, func(r historycheck.Taken) bool { return r.ID == read })
		if !ok || k < 0 || seen[s.ID] {
			continue
		}
		seen[s.ID] = true
		t, a := g.reads[k], g.ends[k]
		if strings.HasPrefix(part, "g") {
			a.At = max(a.At, t.GivesUp)
		}
		t.ID, a.ID, a.End, a.Of = s.ID, s.ID, historycheck.Whole, ""
		t.GivesUp = max(t.GivesUp, a.At)
		h.Taken, h.Answered = append(h.Taken, t), append(h.Answered, a)
	}
	h.Taken, h.Answered = append(h.Taken, g.reads...), append(h.Answered, g.ends...)
	for i, v := range historycheck.Check(g.Rules(), h) {
		if i < 5 {
			g.t.Error(v)
		}
	}
	if len(seen) == 0 || g.t.Failed() {
		g.t.Errorf("%d parts asked of nodes\n%s", len(seen), g.Logs())
	}
}

// asks begins a read and returns its end.
func (g *grove) asks(patience time.Duration) <-chan gathered {
	end := make(chan gathered, 1)
	go func() { end <- g.read("read", thePlan, patience) }()
	return end
}

// Part 4, across processes: each row is a fault of peers in the middle of a gathered read of 12 parts over four daemons.
func TestTreeOverPeers(t *testing.T) {
	const shards, rows, patience = 12, 500, 8 * time.Second
	slow := link.Fault{Trickle: 16 << 10} // a group takes some seconds
	begun := func(g *grove, j int) {
		g.until("the peer's answer has begun", func() bool { return g.links[j].Counts(link.Backward).Bytes > 2000 })
	}
	for _, x := range []struct {
		fault, expected string
		patience        time.Duration
		before, amid    func(*grove)
		happened        func(*grove) bool
		aside           []int // peers that the root names
		own             bool  // it asks for a group itself
		either          bool  // or another peer has it
	}{
		{fault: "none", expected: "each peer gathers a group, each part is asked once"},
		{fault: "a peer is killed mid-gather", expected: "another takes its group over", aside: []int{0},
			before: func(g *grove) { g.must(g.links[0].Set(link.Backward, slow)) },
			amid:   func(g *grove) { begun(g, 0); g.must(g.Kill(0)) }},
		{fault: "a peer is silent: SIGSTOP", expected: "another takes its group over", aside: []int{1},
			before: func(g *grove) { g.must(g.Stop(1)) }},
		{fault: "a peer is slow: its link trickles", expected: "another takes its group over", patience: 6 * time.Second, aside: []int{2},
			before:   func(g *grove) { g.must(g.links[2].Set(link.Backward, link.Fault{Trickle: 1000})) },
			happened: func(g *grove) bool { return g.links[2].Counts(link.Backward).Trickled > 0 }},
		{fault: "a peer's answer is cut", expected: "another takes its group over", aside: []int{0},
			before:   func(g *grove) { g.must(g.links[0].Set(link.Backward, link.Fault{ResetAfter: 9000})) },
			happened: func(g *grove) bool { return g.links[0].Counts(link.Backward).Reset > 0 }},
		{fault: "two peers gone", expected: "the third takes over, or the root asks itself", aside: []int{0, 1}, either: true,
			before: func(g *grove) { g.must(g.Kill(0)); g.must(g.Kill(1)) }},
		{fault: "all peers gone", expected: "the root asks for every part itself", aside: []int{0, 1, 2}, own: true,
			before: func(g *grove) { g.must(g.Kill(0)); g.must(g.Kill(1)); g.must(g.Kill(2)) }},
		{fault: "all peers killed mid-gather", expected: "the root asks for every part itself", aside: []int{0, 1, 2}, own: true,
			before: func(g *grove) {
				for _, l := range g.links {
					g.must(l.Set(link.Backward, slow))
				}
			},
			amid: func(g *grove) {
				for j := range g.links {
					begun(g, j)
				}
				for j := range g.links {
					g.must(g.Kill(j))
				}
			}},
		{fault: "a peer does not reach its nodes", expected: "the root asks for that group itself", aside: []int{1}, own: true,
			before: func(g *grove) {
				for j := range shards {
					g.must(g.StorageLink(1, j).Set(link.Forward, link.Fault{ResetAfter: 1}))
				}
			},
			happened: func(g *grove) bool { // at one node, or several
				met := 0
				for j := range shards {
					met += g.StorageLink(1, j).Counts(link.Forward).Reset
				}
				return met > 0
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			t.Parallel()
			treeRow(func() {
				long := patience
				if x.patience > 0 {
					long = x.patience
				}
				g := plantGrove(t, shards, rows, `{"least_parts":4,"silent_ms":400,"rest_ms":60000,"rest_most_ms":60000,"copies":2}`, "")
				if x.before != nil {
					x.before(g)
				}
				end := g.asks(long)
				if x.amid != nil {
					x.amid(g)
				}
				g.whole("the read", <-end, long)
				if x.happened != nil && !x.happened(g) {
					t.Error("the fault did not happen")
				}
				for j := range g.links {
					named := strings.Contains(g.Proc(g.root).Log(), fmt.Sprintf("peer \\\"n%d\\\"", j))
					if named != slices.Contains(x.aside, j) {
						t.Errorf("peer %d named: %v\n%s", j, named, g.Proc(g.root).Log())
					}
				}
				if n := g.parts(true); x.fault == "none" && (n != shards*3/4 || g.parts(false) != shards/4) {
					t.Errorf("%d parts by groups, %d by the root itself", n, g.parts(false))
				}
				if own := g.ownGroups(); !x.either && (own > 0) != x.own {
					t.Errorf("the root gathered %d parts of groups itself", own)
				}
				before := make([]int, len(g.links))
				for j, l := range g.links {
					before[j] = l.Counts(link.Forward).Conns
				}
				g.whole("the next read", g.read("read", thePlan, long), long)
				for _, j := range x.aside {
					if now := g.links[j].Counts(link.Forward).Conns; now != before[j] {
						t.Errorf("peer %d rests, and was asked", j)
					}
				}
				g.finish()
			})
		})
	}
}

// Where the processes know who is alive, one that leaves is left out before anybody has asked it, and one that comes is asked.
func TestTreeOverMembers(t *testing.T) {
	t.Parallel()
	treeRow(func() {
		const patience = 8 * time.Second
		g := plantGrove(t, 12, 50, `{"least_parts":4,"rest_ms":60000,"rest_most_ms":60000}`, "", true)
		members := func(n float64) {
			g.until("members", func() bool { return g.who.count(g.root, "peers_members") == n })
		}
		conns := func() int { return g.links[1].Counts(link.Forward).Conns }
		read := func(groups float64) {
			was := g.who.count(g.root, "gather_tree_groups")
			g.whole("a read", g.read("read", thePlan, patience), patience)
			if n := g.who.count(g.root, "gather_tree_groups") - was; n != groups {
				t.Errorf("%v groups, not %v", n, groups)
			}
		}
		members(4)
		read(3)
		before := conns()
		g.must(g.Term(1))
		g.must(g.Proc(1).End(g.ctx))
		members(3)
		if read(2); conns() != before {
			t.Error("one that left was asked")
		}
		g.must(g.Restart(g.ctx, 1))
		members(4)
		if read(3); conns() == before {
			t.Error("one that is back was not asked")
		}
		if n := g.who.count(g.root, "gather_tree_rows"); n < 3*100 || g.who.count(g.root, `gather_tree_failures{code="scatter-peer-failed"}`) != 0 {
			t.Errorf("%v rows, or a failure\n%s", n, g.Proc(g.root).Log())
		}
		g.finish()
	})
}

func treeRow(run func()) {
	rows <- struct{}{}
	defer func() { <-rows }()
	run()
}

// ownGroups is how many parts of groups the root itself asked nodes for.
func (g *grove) ownGroups() (n int) {
	last := g.reads[len(g.reads)-1].ID
	for j := range g.opt.Nodes {
		conns := map[string]bool{}
		for _, c := range g.StorageLink(g.root, j).Conns() {
			conns[c.Out] = true
		}
		for _, a := range g.Node(j).Attempts() {
			if conns[a.From] && strings.HasPrefix(a.ID, last+"/g") {
				n++
			}
		}
	}
	return n
}

// What is not handed on: a class that is not safe to repeat, a plan with a limit, a read of few parts.
func TestNotHandedOn(t *testing.T) {
	t.Parallel()
	treeRow(func() {
		g := plantGrove(t, 6, 50, `{"least_parts":4}`, "")
		for _, c := range []struct {
			class, plan string
			groups      bool
		}{{"read-once", thePlan, false}, {"read", noPlanOf, false}, {"read", thePlan, true}} {
			g.whole(c.class+" "+c.plan, g.read(c.class, c.plan, 8*time.Second), 8*time.Second)
			if got := g.parts(true); (got > 0) != c.groups || got+g.parts(false) != 6 {
				t.Errorf("%+v: %d parts of groups, %d of its own", c, got, g.parts(false))
			}
		}
		g.finish()
	})
}

var measure = flag.Bool("measure", false, "print what a read of 24 parts costs with and without peers")

// A read of 24 parts over four processes, with and without peers, in one run.
func TestTreeMeasured(t *testing.T) {
	if !*measure {
		t.Skip("-measure is not given")
	}
	const shards, rows, reads = 24, 2000, 21
	for _, kind := range []struct{ name, rules string }{{"all rows", ""}, {"highest of a key", `{"duplicates":{"keep":"highest","version":{"key":"v","type":"integer"}}}`}, {"top 100", `{"truncate":{"top":100}}`}} {
		for _, tree := range []string{"", `{"least_parts":4,"silent_ms":2000}`} {
			t.Run(fmt.Sprint(kind.name, tree != ""), func(t *testing.T) {
				g := plantGrove(t, shards, rows, tree, kind.rules)
				in := func() (n int) {
					for j := range shards {
						n += g.StorageLink(g.root, j).Counts(link.Backward).Bytes
					}
					for _, l := range g.links {
						n += l.Counts(link.Backward).Bytes
					}
					return n
				}
				before, parts := in(), 0
				var took []time.Duration
				for range reads {
					r := g.read("read", thePlan, 20*time.Second)
					if r.err != nil || r.code != http.StatusOK || !r.result.Get("whole").Bool() && r.result.Get("truncated").Str == "" {
						t.Fatalf("%v %d %s", r.err, r.code, r.result.Raw)
					}
					took = append(took, r.took)
					parts = g.parts(false)
				}
				slices.Sort(took)
				bytes := (in() - before) / reads
				g.must(g.Term(g.root))
				g.must(g.Proc(g.root).End(g.ctx))
				t.Logf("| %s | %v | %d | %d KB | %v (%v to %v) | %v |", kind.name, tree != "", parts, bytes>>10, took[reads/2].Round(100*time.Microsecond),
					took[0].Round(100*time.Microsecond), took[reads-1].Round(100*time.Microsecond), g.Proc(g.root).CPU().Round(10*time.Millisecond))
			})
		}
	}
}
