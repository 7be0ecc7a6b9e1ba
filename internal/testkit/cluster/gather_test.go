package cluster

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/historycheck"
)

// gathering is a world of three daemons that gather, and three listed shards of two nodes each; a fourth is not listed.
type gathering struct {
	*world
	rows *node.Rows
}

const rowsEach = 400 // of a shard, 160 KB: longer than a daemon holds of an answer

func gathers(t *testing.T, need, more string, settings map[string]any) *gathering {
	t.Helper()
	g := &gathering{rows: &node.Rows{Seed: 5, Count: rowsEach, Pad: 400}}
	opt := Options{Settings: settings, Args: func(f *Fleet, i int) []string {
		file := filepath.Join(f.Dir(i), "site.json")
		rules := fmt.Sprintf(`{"order":[{"key":"k","type":"integer"}],"complete":{"need":%q},"memory":{"bytes":1048576}}`, need)
		text := fmt.Sprintf(`{"gather":{"parts_most":8,"share":0.1,"rules":{"classes":{"read":%s}}%s}}`, rules, more)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return []string{"--site", file}
	}}
	for j := range 8 {
		opt.Nodes = append(opt.Nodes, Storage{Name: fmt.Sprint("s", j), Shard: j / 2, Rows: g.rows, Unlisted: j >= 6, Workers: 8,
			Service: func(*fasthttp.Request) time.Duration { return time.Millisecond }})
	}
	g.world = begin(t, opt)
	g.traffic()
	g.serves(some)
	return g
}

// fault sets a fault of the rows of shards' nodes.
func (g *gathering) fault(f node.RowFault, shards ...int) {
	for _, s := range shards {
		g.Node(2 * s).SetRows(f)
		g.Node(2*s + 1).SetRows(f)
	}
}

// count adds up a count of a shard's nodes.
func (g *gathering) count(shard int, of func(node.RowCounts) int) int {
	return of(g.Node(2*shard).RowCounts("")) + of(g.Node(2*shard+1).RowCounts(""))
}

func late(c node.RowCounts) int    { return c.Late }
func stopped(c node.RowCounts) int { return c.Stopped }
func never(c node.RowCounts) int   { return c.Never }
func cut(c node.RowCounts) int     { return c.Cut }
func gone(c node.RowCounts) int    { return c.Gone }

func (g *gathering) happens(shard int, of func(node.RowCounts) int, least int) {
	g.t.Helper()
	g.until("the fault happens", func() bool { return g.count(shard, of) >= least })
}

// gathered is a gathered read of all shards as its client sends it, now.
func (f *Fleet) gathered(scheduler int, class, plan string, patience time.Duration) (historycheck.Taken, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	m := client.Message{ID: fmt.Sprintf("g%06d", f.next), Class: class, Plan: plan, Extent: fmt.Sprintf("%016x", f.next), Volume: fmt.Sprintf("%016x", 99),
		Units: 1, Shard: -1, Hosts: f.opt.Daemons, Deadline: patience}
	text := bytes.Replace(m.Append(nil), []byte("\r\n\r\n"), []byte("\r\nX-Gather: all\r\n\r\n"), 1)
	now := f.now()
	return historycheck.Taken{ID: m.ID, Class: class, Plan: plan, Volume: m.Volume, Units: 1, Scheduler: scheduler, At: now, GivesUp: now + patience}, text
}

// heard is what came back on its connection; code 0: no head of an answer.
type heard struct {
	code   int
	head   http.Header
	body   []byte
	result gjson.Result // the trailer's, or the body's
	err    error
}

func hear(nc net.Conn, text []byte) (h heard) {
	if _, h.err = nc.Write(text); h.err != nil {
		return h
	}
	br := bufio.NewReader(nc)
	res, err := http.ReadResponse(br, nil) //nolint:bodyclose // the connection is the caller's to close
	if h.err = err; err != nil {
		return h
	}
	h.code, h.head = res.StatusCode, res.Header
	if h.body, h.err = io.ReadAll(res.Body); h.err == nil && br.Buffered() > 0 {
		h.err = fmt.Errorf("%d bytes after the answer", br.Buffered())
	}
	if h.result = gjson.ParseBytes(h.body); h.code == http.StatusOK {
		h.result = gjson.Parse(res.Trailer.Get("X-Gather-Result"))
	}
	return h
}

// answer is what a client had of a gathered read.
type answer struct {
	id     string
	code   int
	rows   []string
	result gjson.Result
	end    historycheck.End
	head   http.Header
}

// read is a gathered read under way; leave ends its client.
type read struct {
	leave context.CancelFunc
	done  chan answer
}

// ask begins a gathered read of all shards at a daemon.
func (g *gathering) ask(scheduler int, plan string, patience time.Duration) *read {
	g.t.Helper()
	f := g.Fleet
	taken, text := f.gathered(scheduler, "read", plan, patience)
	id := taken.ID
	nc, err := net.Dial("tcp", f.clients[scheduler].Addr())
	g.must(err)
	ctx, leave := context.WithCancel(g.ctx)
	context.AfterFunc(ctx, func() { nc.Close() })
	f.mu.Lock()
	f.h.Taken = append(f.h.Taken, taken)
	f.mu.Unlock()
	r := &read{leave, make(chan answer, 1)}
	go func() {
		a := answer{id: id, end: historycheck.Unheard}
		defer func() {
			if ctx.Err() != nil {
				a.end = historycheck.Left
			}
			leave()
			f.mu.Lock()
			f.h.Answered = append(f.h.Answered, historycheck.Answered{ID: id, At: f.now(), End: a.end})
			f.mu.Unlock()
			r.done <- a
		}()
		h := hear(nc, text)
		if a.code, a.head, a.result = h.code, h.head, h.result; a.code == 0 {
			return
		}
		if a.end = historycheck.Whole; h.err != nil {
			a.end = historycheck.Cut
		}
		if a.code == 200 {
			a.rows = strings.Fields(string(h.body))
		}
	}()
	return r
}

func (g *gathering) wait(r *read) (a answer) {
	g.t.Helper()
	select {
	case a = <-r.done:
	case <-g.ctx.Done():
		g.must(errors.New("no end of a gathered read"))
	}
	return a
}

func (g *gathering) flat(shards ...int) (rows []string) {
	for _, r := range g.rows.Flat(shards, node.Flat{Keep: "all"}) {
		rows = append(rows, string(r))
	}
	return rows
}

// holds says that a read's rows are the flat merge of all shards but those that its result names, in order and none twice; of
// cut ones there is a beginning.
func (g *gathering) holds(a answer, shards ...int) {
	g.t.Helper()
	named := func(key string) (all []int) {
		for _, s := range a.result.Get(key).Array() {
			all = append(all, int(s.Int()))
		}
		return all
	}
	missing, torn := named("missing"), named("cut")
	if a.code != 200 || a.end != historycheck.Whole || !a.result.Get("whole").Exists() || a.result.Get("whole").Bool() != (len(missing)+len(torn) == 0) {
		g.t.Errorf("%s: code %d, end %d, %s", a.id, a.code, a.end, a.result)
		return
	}
	left := slices.DeleteFunc(slices.Clone(shards), func(s int) bool { return slices.Contains(missing, s) })
	next := 0
	flat := g.flat(left...)
	ends := map[string]bool{} // rows that may be left out: those of cut parts
	for _, s := range torn {
		for _, r := range g.flat(s) {
			ends[r] = true
		}
	}
	for _, r := range a.rows {
		for next < len(flat) && flat[next] != r && ends[flat[next]] {
			next++
		}
		if next == len(flat) || flat[next] != r {
			g.t.Errorf("%s: %.40s is not the next row; %s", a.id, r, a.result)
			return
		}
		next++
	}
	if slices.ContainsFunc(flat[next:], func(r string) bool { return !ends[r] }) {
		g.t.Errorf("%s: %d rows of %d, %s", a.id, next, len(flat), a.result)
	}
}

func (g *gathering) whole(a answer, shards ...int) {
	g.t.Helper()
	if g.holds(a, shards...); !a.result.Get("whole").Bool() {
		g.t.Errorf("%s is not whole: %s", a.id, a.result)
	}
}

func (g *gathering) names(a answer, key, shards string) {
	g.t.Helper()
	if got := a.result.Get(key).Raw; got != shards {
		g.t.Errorf("%s: %s: %s, expected %s: code %d %s", a.id, key, got, shards, a.code, a.result)
	}
}

const long, brief = 20 * time.Second, 1500 * time.Millisecond

// Part 4: gathered reads. Each row is a fault and what is expected of three daemons; the rows are the flat merge's, or the
// result names what is missing, and the auditor's rules hold for every part.
func TestGathers(t *testing.T) {
	const effort, all = "best-effort", "all"
	listed := []int{0, 1, 2}
	for _, x := range []struct {
		fault, expected string
		need, more      string
		set             map[string]any
		run             func(*gathering)
	}{
		{fault: "none", expected: "the flat merge, from each daemon", need: all, run: func(g *gathering) {
			for i := range g.opt.Daemons {
				g.whole(g.wait(g.ask(i, thePlan, long)), listed...)
			}
		}},
		{fault: "a part late", expected: "whole, once it has come", need: all, run: func(g *gathering) {
			g.fault(node.RowFault{Late: time.Hour}, 1)
			r := g.ask(0, thePlan, long)
			g.happens(1, late, 1)
			g.fault(node.RowFault{}, 1)
			g.whole(g.wait(r), listed...)
		}},
		{fault: "a part twice", expected: "a second copy beside the silent first; whole, no row twice", need: all, more: `,"silent_ms":100`, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Stop: time.Hour}, 0)
			r := g.ask(0, thePlan, long)
			g.happens(0, stopped, 2)
			g.fault(node.RowFault{}, 0)
			a := g.wait(r)
			if g.whole(a, listed...); g.Node(0).RowCounts(a.id+"/0/2").Asked+g.Node(1).RowCounts(a.id+"/0/2").Asked == 0 {
				t.Error("no second copy was sent")
			}
		}},
		{fault: "a part cut halfway, each time", expected: "asked again as often as allowed, then named", need: effort, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Cut: true}, 0)
			a := g.wait(g.ask(0, thePlan, long))
			g.holds(a, listed...)
			g.names(a, "cut", "[0]")
			if n := g.count(0, cut); n != 2 {
				t.Errorf("cut %d times", n)
			}
		}},
		{fault: "a part cut halfway, once", expected: "the second asking goes on; whole", need: all, more: `,"again":16`, run: func(g *gathering) {
			g.fault(node.RowFault{Late: time.Hour}, 0)
			r := g.ask(0, thePlan, long)
			g.happens(0, late, 1)
			g.must(g.StorageLink(0, 0).Set(link.Backward, link.Fault{ResetAfter: 80 << 10}))
			g.must(g.StorageLink(0, 1).Set(link.Backward, link.Fault{ResetAfter: 80 << 10}))
			g.fault(node.RowFault{}, 0)
			g.until("an answer is cut", func() bool {
				return g.StorageLink(0, 0).Counts(link.Backward).Reset+g.StorageLink(0, 1).Counts(link.Backward).Reset > 0
			})
			for j := range 2 {
				g.must(g.StorageLink(0, j).Set(link.Backward, link.Fault{}))
			}
			g.whole(g.wait(r), listed...)
		}},
		{fault: "a part never", expected: "named as missing within the client's time", need: effort, run: func(g *gathering) {
			g.fault(node.RowFault{Late: time.Hour}, 2)
			a := g.wait(g.ask(0, thePlan, brief))
			if g.holds(a, listed...); g.count(2, late) == 0 {
				t.Error("nobody was late")
			}
			g.names(a, "missing", "[2]")
		}},
		{fault: "nodes full", expected: "all are needed: refused at once, with a time to come back", need: all, run: func(g *gathering) {
			for j := range 6 {
				g.Node(j).Drain(true)
			}
			a := g.wait(g.ask(0, thePlan, long))
			if a.code != 503 || a.head.Get("Retry-After") == "" || a.result.Get("code").Str != "scatter-refused" {
				t.Errorf("%d %v %s", a.code, a.head, a.result)
			}
			for j := range 6 {
				g.Node(j).Drain(false)
			}
		}},
		{fault: "a node killed mid-part", expected: "the part is asked of the shard's other node; whole", need: all, more: `,"again":4`, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Stop: time.Hour}, 1)
			r := g.ask(0, thePlan, long)
			g.happens(1, stopped, 1)
			dead := 2
			if g.Node(3).RowCounts("").Stopped > 0 {
				dead = 3
			}
			g.Node(dead).Close()
			g.fault(node.RowFault{}, 1)
			g.whole(g.wait(r), listed...)
		}},
		{fault: "a drain begins mid-gather", expected: "what is out is finished, nothing new goes there; whole", need: all, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Stop: time.Hour}, 1)
			r := g.ask(0, thePlan, long)
			g.happens(1, stopped, 1)
			g.must(g.Mark(2, "leaving"))
			g.serves(some)
			g.fault(node.RowFault{}, 1)
			g.whole(g.wait(r), listed...)
			g.whole(g.wait(g.ask(1, thePlan, long)), listed...)
		}},
		{fault: "the client leaves mid-gather", expected: "all parts are ended", need: all, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Never: true}, 0, 1, 2)
			r := g.ask(0, thePlan, long)
			for _, s := range listed {
				g.happens(s, never, 1)
			}
			r.leave()
			if a := g.wait(r); a.end != historycheck.Left {
				t.Errorf("%+v", a)
			}
			for _, s := range listed {
				g.happens(s, gone, 1)
			}
			g.fault(node.RowFault{}, 0, 1, 2)
		}},
		{fault: "SIGTERM mid-gather", expected: "answered whole, exit 0", need: all, run: func(g *gathering) {
			g.fault(node.RowFault{After: 200, Stop: time.Hour}, 1)
			r := g.ask(0, thePlan, long)
			g.happens(1, stopped, 1)
			g.must(g.Term(0))
			g.until("it stops", func() bool { return strings.Contains(g.Proc(0).Log(), "stopping") })
			g.fault(node.RowFault{}, 1)
			g.whole(g.wait(r), listed...)
			g.must(g.Proc(0).End(g.ctx))
			g.serves(some, 0)
			g.must(g.Restart(g.ctx, 0))
		}},
		{fault: "the list changes shards", expected: "the next read is of the shards listed then", need: all, run: func(g *gathering) {
			g.whole(g.wait(g.ask(0, thePlan, long)), listed...)
			g.must(g.Mark(6, "active"))
			var a answer
			g.until("the new shard is read", func() bool {
				a = g.wait(g.ask(0, thePlan, long))
				return len(a.rows) > 3*rowsEach
			})
			g.whole(a, 0, 1, 2, 3)
			g.must(g.Mark(0, "left"))
			g.must(g.Mark(1, "left"))
			g.until("the old shard is not", func() bool {
				a = g.wait(g.ask(0, thePlan, long))
				return len(a.rows) == 3*rowsEach && a.result.Get("whole").Bool()
			})
			g.whole(a, 1, 2, 3)
		}},
		{fault: "a volume over its limit", expected: "every part counts; what is over is named", need: effort, run: func(g *gathering) {
			missing := 0
			var reads []*read
			for n := range 12 { // as many as the daemons gather at once
				reads = append(reads, g.ask(n%g.opt.Daemons, "small", time.Second))
			}
			for _, r := range reads {
				a := g.wait(r)
				g.holds(a, listed...)
				missing += len(a.result.Get("missing").Array())
			}
			if missing == 0 {
				t.Error("36 units at once of a volume that may have 10, and 20 a second, and nothing was missing")
			}
		}},
		{fault: "the only node of a shard is cold", expected: "no more than its budget is asked; what is missing is named", need: effort, more: `,"reads_at_once":8`,
			set: map[string]any{"extra": map[string]any{"young-limit": 4}}, run: func(g *gathering) {
				g.fault(node.RowFault{Late: time.Hour}, 3) // what it answers would allow more
				g.must(g.Replace(6))
				for i := range g.opt.Daemons {
					g.until("it is told", func() bool {
						return slices.ContainsFunc(g.History().Told, func(x historycheck.Told) bool {
							return x.Scheduler == i && x.Node == "s6" && x.Word == historycheck.Active
						})
					})
				}
				var reads []*read
				for n := range 8 * g.opt.Daemons { // 13 units are its budget
					reads = append(reads, g.ask(n%g.opt.Daemons, thePlan, brief))
				}
				for _, r := range reads {
					a := g.wait(r)
					g.holds(a, 0, 1, 2, 3)
					if !strings.Contains(a.result.Get("missing").Raw, "3") {
						t.Errorf("a whole answer: %s", a.result)
					}
				}
				g.happens(3, late, 1)
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			g := gathers(t, x.need, x.more, x.set)
			x.run(g)
			g.serves(some)
			g.end()
		})
	}
}
