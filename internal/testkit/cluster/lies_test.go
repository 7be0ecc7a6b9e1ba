package cluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/historycheck"
)

const (
	liars   = 3 // against one honest word, a daemon's own: they are the median of every vote
	lieMS   = 50
	lieList = 1 << 40 // a version of the list that no service has
)

// lie has every peer of each daemon lie, the other daemons being cut off: of each node that it is no longer cold, has all its
// windows open, nothing waits and it serves in so many milliseconds, and that the list is of a far later version.
func (w *sharing) lie(millis float64) {
	w.t.Helper()
	w.links(link.Fault{Cut: true}, pairs...)
	w.happened(func(c link.Counts) int { return c.Cut }, pairs...)
	stop, all := make(chan struct{}), &sync.WaitGroup{}
	for k := range liars {
		name := fmt.Sprint("liar", k)
		s := w.stranger(name, w.everyone()...)
		mine, err := nodestats.New(nodestats.Defaults(), name, 1)
		w.must(err)
		none, err := nodestats.New(nodestats.Defaults(), "none", 1)
		w.must(err)
		tick := time.NewTicker(lieMS * time.Millisecond)
		all.Go(func() {
			defer tick.Stop()
			for {
				now := time.Since(s.start)
				mine.SetListVersion(now, lieList)
				for j, n := range w.opt.Nodes {
					w.mu.Lock()
					since := w.since[j]
					w.mu.Unlock()
					mine.SetNodeHealth(now, n.Name, since, nodestats.Health{Shard: n.Shard, Window: 1000})
					for _, class := range []string{"read", "write"} {
						for range 20 {
							mine.Recorder(now, nodestats.Key{Node: n.Name, StartTime: since, Class: class}).Record(now, 1, millis, nodestats.Served)
						}
					}
				}
				messages, err := mine.Diff(now, none.Digest(0))
				if err != nil {
					w.t.Error(err)
				}
				for _, m := range messages {
					for _, d := range w.names() {
						s.tell(d, tagCells, m)
					}
				}
				select {
				case <-stop:
					return
				case <-tick.C:
				}
			}
		})
	}
	w.t.Cleanup(func() { close(stop); all.Wait() })
	w.arrives()
}

// arrives waits until each daemon holds the lies, of each liar, as they are now.
func (w *sharing) arrives() {
	w.t.Helper()
	var before []float64
	for i := range w.opt.Daemons {
		before = append(before, w.count(i, "observations_messages"))
	}
	w.counts("observations_messages", func(i int, v float64) bool { return v > before[i]+2*liars })
	w.counts("peers_list_newest_version", func(_ int, v float64) bool { return v == lieList })
	for i := range w.opt.Daemons {
		for _, n := range w.opt.Nodes[:2] { // of the shard that estimates are asked for
			w.until("the lies of "+n.Name+" are held", func() bool { return w.estimate(i, n.Name).Get("rests_on.origins").Num >= liars })
		}
	}
}

// came is how much has come to a node.
func (w *sharing) came(j int) int { return w.Node(j).Counts().Requests }

// rests waits until nothing comes to a node any more, and looks that it stays so.
func (w *sharing) rests(j int) {
	w.t.Helper()
	w.until("nothing comes to the node", func() bool {
		base := w.came(j)
		w.serves(some)
		return w.came(j) == base
	})
	base := w.came(j)
	w.arrives()
	w.serves(2 * some)
	if n := w.came(j); n != base {
		w.t.Errorf("%d more came to node %d", n-base, j)
	}
}

// Part 3: nothing that is told breaks a rule of the data path. Every peer of each daemon lies, for as long as a row runs; the
// lies have come, and move the estimate; the auditor holds its rules, in each row the one that is lied about.
func TestEveryPeerLies(t *testing.T) {
	const fast, slow = 0.01, 400.0
	for _, x := range []struct {
		lie, expected string
		millis        float64
		opt           Options
		run           func(*sharing)
	}{
		{lie: "all is idle and fast, while a limited volume asks for more", expected: "it keeps its limit over all daemons", millis: fast, run: func(w *sharing) {
			stop := w.Run(w.ctx, Load{Clients: 2, Gap: 5 * time.Millisecond, Ask: func(_, _, n int) Ask {
				return Ask{Plan: "small", Volume: 9, Shard: n % 2}
			}})
			w.until("the volume has asked for far more than its limit", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				asked := 0
				for _, t := range w.h.Taken {
					if t.Plan == "small" {
						asked++
					}
				}
				return asked > 600
			})
			stop()
		}},
		{lie: "a node that drains is up and idle", expected: "nothing after the grace; the list's later word counts", millis: fast, run: func(w *sharing) {
			w.must(w.Mark(0, "leaving"))
			w.told()
			w.rests(0)
			w.must(w.Mark(0, "active"))
			base := w.came(0)
			w.until("it serves again", func() bool { return w.came(0) > base+some })
		}},
		{lie: "a node that operators exclude is up and idle", expected: "nothing comes to it", millis: fast, run: func(w *sharing) {
			for i := range w.opt.Daemons {
				w.exclude(i, "s2")
			}
			w.rests(2)
		}},
		{lie: "a cold node is warm and fast", expected: "no more than it bears", millis: fast, opt: Options{Settings: map[string]any{
			"extra": map[string]any{"young-limit": 10}}}, run: func(w *sharing) {
			w.must(w.Replace(0))
			w.arrives()
			beside := w.came(1)
			w.until("its shard has served far more than it bears", func() bool { return w.came(1) > beside+400 })
			if len(w.History().Cold) != 1 {
				w.t.Error("no cold start")
			}
		}},
		{lie: "an old list, with a node that has left, is the newest", expected: "each holds its own", millis: fast, run: func(w *sharing) {
			w.must(w.Mark(0, "left"))
			w.until("each is told", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				told := map[int]bool{}
				for _, x := range w.h.Told {
					if x.Node == "s0" && x.Word == historycheck.Gone {
						told[x.Scheduler] = true
					}
				}
				return len(told) == w.opt.Daemons
			})
			w.rests(0)
			for i := range w.opt.Daemons {
				if own := w.count(i, "peers_list_oldest_version"); own >= lieList || own < firstIndex {
					w.t.Errorf("daemon %d holds version %v", i, own)
				}
			}
		}},
		{lie: "all is slow", expected: "the estimate is moved, and no request", millis: slow, run: func(w *sharing) {
			for i := range w.opt.Daemons {
				w.until("the estimate is moved", func() bool { return w.estimate(i, "s1").Get("mean_ms").Num > slow/4 })
			}
			w.serves(some)
		}},
	} {
		t.Run(x.lie, func(t *testing.T) {
			w := &sharing{}
			w.world, w.metrics = shares(t, x.opt)
			w.traffic()
			w.serves(some)
			w.lie(x.millis)
			x.run(w)
			w.arrives()
			w.end()
			t.Log(x.expected)
		})
	}
}

// exclude excludes a node at a daemon's admin endpoint.
func (w *sharing) exclude(i int, node string) {
	w.t.Helper()
	q, err := http.NewRequestWithContext(w.ctx, http.MethodPut, "http://"+w.AdminAddress(i)+"/api/exclude?who="+node, nil)
	w.must(err)
	r, err := once.Do(q)
	w.must(err)
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		w.t.Fatalf("exclude: %d", r.StatusCode)
	}
}
