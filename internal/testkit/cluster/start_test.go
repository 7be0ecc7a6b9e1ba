package cluster

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
)

// starting is a world whose daemons have the section start and are not up yet. Nodes 0 and 2, one of each shard, have
// just restarted: the list that is held does not know it.
type starting struct {
	*sharing
	start map[string]any
	mu    sync.Mutex
	execs map[int]time.Duration // of the present life
	up    map[int]time.Duration // it listens
	lives map[int]int           // that came to listen
	calls map[string][]time.Duration
}

// bears is what a node bears that has just restarted: what it can do within 3 s then, at 200 units a second once warm.
var bears = node.Cold{Power: 0.24, Span: 17 * time.Second, Units: 130, Mean: 1, Within: 3 * time.Second, Back: 2 * time.Second}

// starts makes the world: snap is the snapshot that daemon i finds, nil: none; told daemons tell each other.
func starts(t *testing.T, opt Options, start map[string]any, snap func(f *Fleet, i int) []byte, told bool) *starting {
	t.Helper()
	s := &starting{sharing: &sharing{}, execs: map[int]time.Duration{}, up: map[int]time.Duration{}, lives: map[int]int{},
		calls: map[string][]time.Duration{}}
	s.start = over(map[string]any{"list_priced": true}, start)
	opt.Idle = true
	opt.Settings = over(map[string]any{"membership-mode": "ask", "ceilings": map[string]any{"probes": true, "peers": told},
		"rules": map[string]any{"ask-within": 6000}, "extra": map[string]any{"young-limit": bears.Units}}, opt.Settings)
	quick := func(*fasthttp.Request) time.Duration { return 5 * time.Millisecond }
	for j := range 4 {
		opt.Nodes = append(opt.Nodes, Storage{Name: fmt.Sprint("s", j), Shard: j / 2, Workers: 1, Service: quick, Tune: func(o *node.Options) { o.Cold = &bears }})
	}
	opt.List.Heard = func(caller, _ string) {
		s.mu.Lock()
		s.calls[caller] = append(s.calls[caller], s.now())
		s.mu.Unlock()
	}
	opt.Said = func(i int, line []byte) {
		if bytes.Contains(line, []byte("msg=serving")) {
			s.Fleet.mu.Lock()
			s.rises(i)
			s.Fleet.mu.Unlock()
			s.mu.Lock()
			s.up[i] = s.now()
			s.lives[i]++
			s.mu.Unlock()
		}
	}
	opt.Args = func(f *Fleet, i int) []string {
		section := maps.Clone(s.start)
		section["snapshot"] = filepath.Join(f.Dir(i), "learned")
		err := site(f, i, map[string]any{"start": section})
		if text := snap; err == nil && text != nil {
			err = os.WriteFile(filepath.Join(f.Dir(i), "learned"), text(f, i), 0o600)
		}
		if err != nil {
			t.Error(err)
		}
		return []string{"--site", filepath.Join(f.Dir(i), "site.json")}
	}
	if told {
		s.world, s.metrics = shares(t, opt)
	} else {
		s.world = begin(t, opt)
	}
	return s
}

// chill has the nodes restart.
func (s *starting) chill(nodes ...int) {
	s.t.Helper()
	for _, j := range nodes {
		s.Node(j).Chill()
		s.must(s.Replace(j))
	}
}

// launch starts daemons.
func (s *starting) launch(which ...int) {
	s.t.Helper()
	for _, i := range which {
		s.mu.Lock()
		s.execs[i] = s.now()
		s.mu.Unlock()
		s.must(s.Launch(i))
	}
}

func (s *starting) listens(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up[i] > 0
}

// kill kills a daemon; nobody sends to it until it listens again.
func (s *starting) kill(i int) {
	s.t.Helper()
	s.mu.Lock()
	s.up[i] = 0
	s.mu.Unlock()
	s.must(s.Kill(i))
}

// traffic is as of other worlds, to daemons that listen.
func (s *starting) traffic() {
	s.stop = s.Run(s.ctx, Load{Clients: 3, Gap: 30 * time.Millisecond, Ask: usual, Skip: func(i int) bool { return !s.listens(i) }})
}

// heavy is more than the nodes can do.
func (s *starting) heavy() (stop func()) {
	return s.Run(s.ctx, Load{Clients: 12, Gap: 5 * time.Millisecond, Skip: func(i int) bool { return !s.listens(i) },
		Ask: func(i, client, n int) Ask {
			a := usual(i, client, n)
			a.Units = 4
			return a
		}})
}

// each waits until a condition holds of each daemon.
func (s *starting) each(what string, cond func(i int) bool) {
	s.t.Helper()
	for i := range s.opt.Daemons {
		s.until(fmt.Sprint("daemon ", i, ": ", what), func() bool { return cond(i) })
	}
}

// missed waits until each daemon's calls of the list have come to nothing so often.
func (s *starting) missed(times int) {
	s.t.Helper()
	s.each("its calls come to nothing", func(i int) bool { return s.ListLink(i).Counts(link.Forward).Conns >= times })
}

// opened is how many connections daemon i has opened to node j.
func (s *starting) opened(i, j int) int { return s.StorageLink(i, j).Counts(link.Forward).Conns }

// fell fails where a node was asked for more than it bears.
func (s *starting) fell() (worst float64) {
	s.t.Helper()
	for j := range 4 {
		falls, most := s.Node(j).Falls()
		if worst = max(worst, most); falls > 0 {
			s.t.Errorf("node %d fell: it got %.2f of what it bears", j, most)
		}
	}
	return worst
}

// learned is a snapshot of all nodes as the daemons hold them, too bold for any that has just restarted.
func learned(f *Fleet, order ...int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Made: time.Now()}
	for _, j := range order {
		s.Nodes = append(s.Nodes, snapshot.NodeState{ID: f.opt.Nodes[j].Name, StartTime: float64(f.since[j]), Window: 64, Latency: 2, BestLatencyPerUnit: 1})
	}
	return s
}

func encoded(s *snapshot.Snapshot) []byte {
	text, err := snapshot.Encode(s)
	if err != nil {
		panic(err) // it is this test's own
	}
	return text
}

// unusable are files that are there and are not taken, by the word of what is wrong with them.
var unusable = []struct {
	why  string
	text func(f *Fleet) []byte
}{
	{"torn", func(f *Fleet) []byte { b := encoded(learned(f, 0, 1, 2, 3)); return b[:len(b)*2/3] }},
	{"foreign", func(*Fleet) []byte { return []byte(`{"version":1,"nodes":[]}`) }},
	{"old", func(f *Fleet) []byte {
		s := learned(f, 0, 1, 2, 3)
		s.Made = s.Made.Add(-time.Hour)
		return encoded(s)
	}},
}

// Part 2: the start. Each row is a fault while daemons start together, beside cold nodes, and what is expected of
// them; in each the auditor finds nothing, no node falls, and each refusal says when to come again.
func TestStarts(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		opt             Options
		start           map[string]any
		snap            func(f *Fleet, i int) []byte
		ahead           bool // no traffic before the row's end: what is opened is opened ahead of need
		before, run     func(*starting)
	}{
		{fault: "list down at first, a drain meanwhile", expected: "serving and ready from the held list; asked again; told once it is up", opt: Options{Known: true, ListDown: true},
			run: func(s *starting) {
				s.missed(2)
				s.serves(some)
				s.each("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
				s.must(s.Mark(0, "leaving"))
				s.lists(ListWell)
				s.told()
			}},
		{fault: "list down at first, none is held", expected: "all is refused at once with Retry-After; served once it is up", opt: Options{ListDown: true},
			run: func(s *starting) {
				s.missed(2)
				s.each("it refuses", func(i int) bool {
					return slices.ContainsFunc(s.Refusals(), func(r Refusal) bool { return r.Scheduler == i })
				})
				s.until("refusals", func() bool { return len(s.Refusals()) >= 3*some })
				var took []time.Duration
				for _, r := range s.Refusals() {
					took = append(took, r.At-r.Asked)
				}
				slices.Sort(took)
				if mid := took[len(took)/2]; mid > 500*time.Millisecond || s.Served(0)+s.Served(1)+s.Served(2) > 0 {
					s.t.Errorf("half of the refusals took %v and more", mid)
				}
				s.lists(ListWell)
			}},
		{fault: "list of small capacity, six start at once", expected: "first calls spread by name, those turned away rarer and rarer; all hear it", opt: Options{Known: true, Daemons: 6, List: discovery.Options{Capacity: 4, Patience: 200 * time.Millisecond}},
			start: map[string]any{"list_calls_per_second": 8}, run: func(s *starting) {
				s.each("it has heard the list", func(i int) bool { return s.stand(i).Service.Counts().Watches > 0 })
				if s.Calls().Refused == 0 {
					s.t.Error("no call was turned away")
				}
				const spread = 750 * time.Millisecond // six over eight a second
				s.mu.Lock()
				defer s.mu.Unlock()
				for i := range s.opt.Daemons {
					name := fmt.Sprint("n", i)
					at := s.calls[name]
					if slot := coldstart.Slot(spread, "list", name); at[0]-s.execs[i] < slot {
						s.t.Errorf("%s asked %v after its start, its slot is %v", name, at[0]-s.execs[i], slot)
					}
					for k := 1; k < len(at); k++ {
						if least := min(spread<<(k-1), 6*time.Second) / 2; at[k]-at[k-1] < least {
							s.t.Errorf("%s asked again after %v, %v is the least", name, at[k]-at[k-1], least)
						}
					}
				}
			}},
		{fault: "list resets each call at first", expected: "asked again; served meanwhile; told once it speaks", opt: Options{Known: true},
			before: func(s *starting) { s.lists(ListReset) }, run: func(s *starting) {
				s.askedAgain(1)
				s.must(s.Mark(0, "leaving"))
				s.lists(ListWell)
				s.told()
			}},
		{fault: "list cut halfway, then an old one after a new", expected: "asked again after the cut; the old one gives no node back that drains", opt: Options{},
			before: func(s *starting) {
				for i := range s.opt.Daemons {
					s.stand(i).CutHalfway()
				}
			}, run: func(s *starting) {
				s.each("a list is cut", func(i int) bool { return s.stand(i).Service.Counts().Cuts == 1 })
				s.must(s.Mark(0, "leaving"))
				s.told()
				for i := range s.opt.Daemons {
					s.stand(i).OldList(1)
				}
				s.each("an old list comes", func(i int) bool { return s.stand(i).Service.Counts().Olds == 1 })
			}},
		{fault: "half killed while they start, started anew", expected: "the others serve on; all serve; cold nodes bear both lives", opt: Options{Known: true, Daemons: 4, ListDown: true},
			run: func(s *starting) {
				s.each("it listens", s.listens)
				s.missed(1)
				for _, i := range []int{0, 2} {
					s.kill(i)
				}
				s.launch(0, 2)
				s.each("it listens", s.listens)
				s.serves(some)
				s.lists(ListWell)
				s.mu.Lock()
				defer s.mu.Unlock()
				for i := range s.opt.Daemons {
					if want := 2 - i%2; s.lives[i] != want {
						s.t.Errorf("daemon %d: %d lives", i, s.lives[i])
					}
				}
			}},
		{fault: "the cold nodes silent", expected: "the others serve; these once they speak", opt: Options{Known: true}, before: func(s *starting) {
			for i := range s.opt.Daemons {
				for j := 0; j < 4; j += 2 {
					s.must(s.StorageLink(i, j).Set(link.Both, link.Fault{Hold: true, Silent: true}))
				}
			}
		}, run: func(s *starting) {
			s.each("a connect waits", func(i int) bool { return s.StorageLink(i, 0).Waiting()+s.StorageLink(i, 2).Waiting() > 0 })
			s.serves(some)
			for i := range s.opt.Daemons {
				for j := 0; j < 4; j += 2 {
					s.must(s.StorageLink(i, j).Set(link.Both, link.Fault{}))
				}
			}
			s.until("one of them serves", func() bool { return s.Node(0).Counts().Ran+s.Node(2).Counts().Ran > 0 })
		}},
		{fault: "a node takes connections and answers none", expected: "ready, and connections ahead to the others, all the same", opt: Options{Known: true},
			snap: func(f *Fleet, _ int) []byte { return encoded(learned(f, 1, 3)) }, ahead: true, before: func(s *starting) { s.must(s.Break(1, node.Hang)) },
			run: func(s *starting) {
				s.each("it has connections ahead", func(i int) bool { return s.opened(i, 1) > 0 && s.opened(i, 3) > 0 })
				s.each("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
			}},
		{fault: "nodes restarted after the snapshot was made", expected: "connections ahead to the others alone; nothing learned of them is used",
			snap: func(f *Fleet, _ int) []byte { return encoded(learned(f, 0, 2, 1, 3)) }, ahead: true, run: func(s *starting) {
				s.each("it has connections ahead", func(i int) bool { return s.opened(i, 1) > 0 && s.opened(i, 3) > 0 })
				soon := 0 // pairs whose turn came before the last of those that were opened
				for i := range s.opt.Daemons {
					slot := func(j int) time.Duration {
						return coldstart.Slot(time.Second, "connect", fmt.Sprint("n", i), fmt.Sprint("s", j))
					}
					for j := 0; j < 4; j += 2 {
						if slot(j) < max(slot(1), slot(3)) {
							soon++
						}
						if n := s.opened(i, j); n > 0 {
							s.t.Errorf("daemon %d opened %d connections ahead to node %d", i, n, j)
						}
					}
				}
				if soon == 0 {
					s.t.Error("no restarted node's turn had come")
				}
			}},
		{fault: "snapshot torn, foreign, old", expected: "one coded line each; it starts as without", opt: Options{Known: true},
			snap: func(f *Fleet, i int) []byte { return unusable[i].text(f) }, run: func(s *starting) {
				s.serves(some)
				for i := range s.opt.Daemons {
					if n := strings.Count(s.Proc(i).Log(), "code=snapshot-"); n != 1 || !strings.Contains(s.Proc(i).Log(), "code=snapshot-"+unusable[i].why) {
						s.t.Errorf("%s: %d lines with a code", unusable[i].why, n)
					}
				}
			}},
		{fault: "six start at once over cold nodes under load, the list down at first", expected: "no cold node gets more than it bears", opt: Options{Known: true, Daemons: 6, ListDown: true},
			run: func(s *starting) {
				stop := s.heavy()
				s.missed(2)
				s.serves(some)
				s.lists(ListWell)
				s.serves(some)
				stop()
				if worst := s.fell(); worst < 0.3 {
					s.t.Errorf("a cold node got %.2f of what it bears at most: that shows nothing", worst)
				}
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			s := starts(t, x.opt, x.start, x.snap, false)
			s.chill(0, 2)
			if x.before != nil {
				x.before(s)
			}
			s.launch(s.everyone()...)
			if !x.ahead {
				s.traffic()
			}
			x.run(s)
			s.finish()
			t.Log(x.expected)
		})
	}
}

// Part 2: what a peer hands over to daemons that start together without a snapshot, over cold nodes, the list down until
// it has. Each row is what the one peer does that has something; in each the start goes on, and no rule is broken.
func TestStartsFromPeers(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		run             func(*starting, *stranger)
		taken, unusable float64 // of each daemon, at the end
	}{
		{fault: "the peer is silent", expected: "nothing is taken", run: func(s *starting, p *stranger) {
			s.until("all have asked it", func() bool { return p.asked() == s.opt.Daemons })
		}},
		{fault: "the peer is killed before it answers", expected: "nothing is taken", run: func(s *starting, p *stranger) {
			s.until("one has asked it", func() bool { return p.asked() > 0 })
			p.once.Do(func() { _ = p.list.Shutdown() }) // it takes no leave
		}},
		{fault: "the peer hands over nonsense, and what nobody asked for", expected: "dropped and counted", unusable: 2, run: func(s *starting, p *stranger) {
			p.give([]byte("nonsense"))
			for _, n := range s.names() {
				p.tell(n, tagGive, append(make([]byte, 8), encoded(learned(s.Fleet, 0, 1, 2, 3))...))
			}
		}},
		{fault: "the peer lies of cold nodes", expected: "taken; nobody takes a cold node for a warm one", taken: 1, run: func(s *starting, p *stranger) {
			lies := learned(s.Fleet, 0, 2, 1, 3) // of the starts that the list will give
			lies.Nodes = append(lies.Nodes, snapshot.NodeState{ID: "none", Window: 1e9, Latency: -1, BestLatencyPerUnit: -1, FailureRate: -1})
			lies.Classes = []snapshot.ClassState{{Name: "read", Weight: 1e9, Slope: -1e9, Delay: -1}, {Name: "none"}}
			p.give(encoded(lies))
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			s := starts(t, Options{Known: true, ListDown: true}, nil, nil, true)
			s.chill(0, 2)
			s.launch(s.everyone()...)
			s.each("it listens", s.listens)
			p := s.stranger("s", s.everyone()...)
			x.run(s, p)
			s.counts("peers_unusable_snapshots", func(_ int, v float64) bool { return v >= x.unusable })
			s.counts("peers_taken_snapshots", func(_ int, v float64) bool { return v == x.taken })
			stop := s.heavy()
			s.serves(some)
			s.lists(ListWell)
			s.serves(2 * some)
			stop()
			s.finish()
			t.Log(x.expected)
		})
	}
}

// One that starts anew takes what another has learned, beside one that is stopped while it may be asked.
func TestStartsFromOneOfTwo(t *testing.T) {
	s := starts(t, Options{Known: true}, nil, nil, true)
	s.launch(s.everyone()...)
	s.traffic()
	file := func(i int) string { return filepath.Join(s.Dir(i), "learned") }
	s.each("its start is over", func(i int) bool { _, err := os.Stat(file(i)); return err == nil })
	s.kill(0)
	s.must(os.Remove(file(0)))
	s.must(s.Stop(1))
	s.chill(0, 2)
	s.launch(0)
	s.until("it takes what the other has", func() bool { return s.listens(0) && s.count(0, "peers_taken_snapshots") == 1 })
	if n := s.count(2, "peers_given_snapshots"); n != 1 {
		t.Errorf("%v were given", n)
	}
	s.serves(some, 1)
	s.must(s.Continue(1))
	s.finish()
}

// finish has each daemon serve and be ready, and asks the auditor and the nodes.
func (s *starting) finish() {
	s.t.Helper()
	if s.stop == nil {
		s.traffic()
	}
	s.serves(some)
	s.each("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
	s.end()
	s.fell()
	for _, r := range s.Refusals() {
		if r.RetryAfter <= 0 {
			s.t.Errorf("a refusal without Retry-After: %+v", r)
		}
	}
}

// stand is daemon i's stand-in itself.
func (w *world) stand(i int) *list { return w.List(i).(*list) }
