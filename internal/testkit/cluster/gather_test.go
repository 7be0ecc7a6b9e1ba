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

// gatherFixture is a fleet of three daemons that gather reads from three shards of two nodes each. The nodes of a fourth shard,
// number 3, are not in the endpoint list at first.
type gatherFixture struct {
	*fixture
	nodeRows *node.Rows
}

const rowsPerShard = 400 // 160 KB, more than a daemon buffers of an answer

// newGatherFixture starts the fleet with traffic. completeness is the value complete.need of the class read, and extraSections
// is JSON text, either empty or starting with a comma, that is added to the site section gather.
func newGatherFixture(t *testing.T, completeness, extraSections string, settings map[string]any) *gatherFixture {
	t.Helper()
	g := &gatherFixture{nodeRows: &node.Rows{Seed: 5, RowsPerShard: rowsPerShard, PaddingBytes: 400}}
	opt := Options{Admin: true, Settings: settings, Args: func(f *Fleet, i int) []string {
		file := filepath.Join(f.Dir(i), "site.json")
		rules := fmt.Sprintf(`{"order":[{"key":"k","type":"integer"}],"complete":{"need":%q},"memory":{"bytes":1048576}}`, completeness)
		text := fmt.Sprintf(`{"gather":{"parts_most":8,"share":0.1,"rules":{"classes":{"read":%s}}%s}}`, rules, extraSections)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return []string{"--site", file}
	}}
	for j := range 8 {
		opt.Nodes = append(opt.Nodes, StorageNode{Name: fmt.Sprint("s", j), Shard: j / 2, Rows: g.nodeRows, Unlisted: j >= 6, Workers: 8,
			ServiceTime: func(*fasthttp.Request) time.Duration { return time.Millisecond }})
	}
	g.fixture = newFixture(t, opt)
	g.startTraffic()
	g.waitServed(minServed)
	return g
}

// setRowFault sets a fault of the answers with rows from both nodes of each shard; the empty fault ends it.
func (g *gatherFixture) setRowFault(f node.RowFault, shards ...int) {
	for _, s := range shards {
		g.Node(2 * s).SetRowFault(f)
		g.Node(2*s + 1).SetRowFault(f)
	}
}

// sumCounts returns the sum of a count over both nodes of a shard.
func (g *gatherFixture) sumCounts(shard int, of func(node.RowCounts) int) int {
	return of(g.Node(2*shard).RowCounts("")) + of(g.Node(2*shard+1).RowCounts(""))
}

func delayedCount(c node.RowCounts) int      { return c.Delayed }
func pausedCount(c node.RowCounts) int       { return c.Paused }
func stalledCount(c node.RowCounts) int      { return c.Stalled }
func closedCount(c node.RowCounts) int       { return c.ConnsClosed }
func disconnectedCount(c node.RowCounts) int { return c.Disconnected }

func (g *gatherFixture) waitRowFault(shard int, of func(node.RowCounts) int, minCount int) {
	g.t.Helper()
	g.waitUntil("the fault occurs", func() bool { return g.sumCounts(shard, of) >= minCount })
}

// newGatheredRead returns a gathered read of all shards that is sent now, as a history entry and as request bytes.
func (f *Fleet) newGatheredRead(scheduler int, class, plan string, deadline time.Duration) (historycheck.Request, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSequence++
	m := client.Message{ID: fmt.Sprintf("g%06d", f.lastSequence), Class: class, Plan: plan, Extent: fmt.Sprintf("%016x", f.lastSequence), Volume: fmt.Sprintf("%016x", 99),
		Units: 1, Shard: -1, Hosts: f.opt.Daemons, Deadline: deadline}
	text := bytes.Replace(m.Append(nil), []byte("\r\n\r\n"), []byte("\r\nX-Gather: all\r\n\r\n"), 1)
	now := f.now()
	return historycheck.Request{ID: m.ID, Class: class, Plan: plan, Volume: m.Volume, Units: 1, Scheduler: scheduler, At: now, Deadline: now + deadline}, text
}

// httpResponse is the response to a request. Code 0 means that no response head came.
type httpResponse struct {
	code   int
	header http.Header
	body   []byte
	result gjson.Result // from the trailer, or from the body if the code is not 200
	err    error
}

// exchangeRaw writes the bytes of a request to a connection and reads the response.
func exchangeRaw(nc net.Conn, text []byte) (response httpResponse) {
	if _, response.err = nc.Write(text); response.err != nil {
		return response
	}
	br := bufio.NewReader(nc)
	res, err := http.ReadResponse(br, nil) //nolint:bodyclose // the connection is the caller's to close
	if response.err = err; err != nil {
		return response
	}
	response.code, response.header = res.StatusCode, res.Header
	if response.body, response.err = io.ReadAll(res.Body); response.err == nil && br.Buffered() > 0 {
		response.err = fmt.Errorf("%d unexpected bytes follow the answer", br.Buffered())
	}
	if response.result = gjson.ParseBytes(response.body); response.code == http.StatusOK {
		response.result = gjson.Parse(res.Trailer.Get("X-Gather-Result"))
	}
	return response
}

// gatherAnswer is what a client received for a gathered read.
type gatherAnswer struct {
	id     string
	code   int
	rows   []string
	result gjson.Result
	end    historycheck.OutcomeKind
	header http.Header
}

// gatherRead is a gathered read in progress. disconnect closes its client's connection.
type gatherRead struct {
	disconnect context.CancelFunc
	done       chan gatherAnswer
}

// startRead starts a gathered read of all shards at a daemon.
func (g *gatherFixture) startRead(scheduler int, plan string, deadline time.Duration) *gatherRead {
	g.t.Helper()
	f := g.Fleet
	request, text := f.newGatheredRead(scheduler, "read", plan, deadline)
	id := request.ID
	nc, err := net.Dial("tcp", f.clientLinks[scheduler].Addr())
	g.must(err)
	ctx, disconnect := context.WithCancel(g.ctx)
	context.AfterFunc(ctx, func() { nc.Close() })
	f.mu.Lock()
	f.history.Requests = append(f.history.Requests, request)
	f.mu.Unlock()
	read := &gatherRead{disconnect, make(chan gatherAnswer, 1)}
	go func() {
		answer := gatherAnswer{id: id, end: historycheck.NoResponse}
		defer func() {
			if ctx.Err() != nil {
				answer.end = historycheck.Disconnected
			}
			disconnect()
			f.mu.Lock()
			f.history.Outcomes = append(f.history.Outcomes, historycheck.Outcome{ID: id, At: f.now(), Kind: answer.end})
			f.mu.Unlock()
			read.done <- answer
		}()
		response := exchangeRaw(nc, text)
		if answer.code, answer.header, answer.result = response.code, response.header, response.result; answer.code == 0 {
			return
		}
		if answer.end = historycheck.Complete; response.err != nil {
			answer.end = historycheck.Truncated
		}
		if answer.code == 200 {
			answer.rows = strings.Fields(string(response.body))
		}
	}()
	return read
}

// listedNodes returns how many nodes are in the endpoint list that daemon i has applied. A read of all shards that arrives
// before an entry was applied leaves out a shard that only this entry names.
func (g *gatherFixture) listedNodes(i int) int {
	g.t.Helper()
	response, err := noKeepAliveClient.Get("http://" + g.AdminAddress(i) + "/api/telemetry")
	g.must(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	g.must(err)
	return int(gjson.GetBytes(text, "known_storage_nodes").Int())
}

func (g *gatherFixture) waitAnswer(r *gatherRead) (a gatherAnswer) {
	g.t.Helper()
	select {
	case a = <-r.done:
	case <-g.ctx.Done():
		g.must(errors.New("gathered read has not ended in time"))
	}
	return a
}

// mergedRows returns the rows of the shards in the order of a complete merge.
func (g *gatherFixture) mergedRows(shards ...int) (rows []string) {
	for _, r := range g.nodeRows.Merge(shards, node.MergeOptions{Keep: "all"}) {
		rows = append(rows, string(r))
	}
	return rows
}

// checkRows checks that the rows of a read are the merged rows of all shards except those that its result names as missing, in
// order and without duplicates. Of shards that the result names as cut, any rows may be left out.
func (g *gatherFixture) checkRows(a gatherAnswer, shards ...int) {
	g.t.Helper()
	named := func(key string) (all []int) {
		for _, s := range a.result.Get(key).Array() {
			all = append(all, int(s.Int()))
		}
		return all
	}
	missing, cutShards := named("missing"), named("cut")
	if a.code != 200 || a.end != historycheck.Complete || !a.result.Get("whole").Exists() || a.result.Get("whole").Bool() != (len(missing)+len(cutShards) == 0) {
		g.t.Errorf("%s has no complete answer with a consistent result: code %d, outcome %d, result %s", a.id, a.code, a.end, a.result)
		return
	}
	present := slices.DeleteFunc(slices.Clone(shards), func(s int) bool { return slices.Contains(missing, s) })
	next := 0
	expected := g.mergedRows(present...)
	optional := map[string]bool{} // rows of cut parts, which may be left out
	for _, s := range cutShards {
		for _, r := range g.mergedRows(s) {
			optional[r] = true
		}
	}
	for _, r := range a.rows {
		for next < len(expected) && expected[next] != r && optional[expected[next]] {
			next++
		}
		if next == len(expected) || expected[next] != r {
			g.t.Errorf("%s: row %.40s is unexpected or out of order; result %s", a.id, r, a.result)
			return
		}
		next++
	}
	if slices.ContainsFunc(expected[next:], func(r string) bool { return !optional[r] }) {
		g.t.Errorf("%s: rows are missing after the first %d of %d; result %s", a.id, next, len(expected), a.result)
	}
}

func (g *gatherFixture) checkComplete(a gatherAnswer, shards ...int) {
	g.t.Helper()
	if g.checkRows(a, shards...); !a.result.Get("whole").Bool() {
		g.t.Errorf("%s is not complete: result %s", a.id, a.result)
	}
}

// checkShards checks which shards the result names under a key. shards is a JSON list.
func (g *gatherFixture) checkShards(a gatherAnswer, key, shards string) {
	g.t.Helper()
	if got := a.result.Get(key).Raw; got != shards {
		g.t.Errorf("%s: shards named as %s are %s, expected %s: code %d, result %s", a.id, key, got, shards, a.code, a.result)
	}
}

const longDeadline, shortDeadline = 20 * time.Second, 1500 * time.Millisecond

// Faults of nodes, links, clients, daemons and the list during a gathered read. The rows must be those of a complete merge,
// or the result must name what is missing, and every part must keep the rules of the audit.
func TestGatheredReadFaults(t *testing.T) {
	const bestEffort, all = "best-effort", "all"
	listedShards := []int{0, 1, 2}
	for _, x := range []struct {
		fault, expected             string
		completeness, extraSections string
		settings                    map[string]any
		run                         func(*gatherFixture)
	}{
		{fault: "no fault", expected: "complete merge from each daemon", completeness: all, run: func(g *gatherFixture) {
			for i := range g.opt.Daemons {
				g.checkComplete(g.waitAnswer(g.startRead(i, defaultPlan, longDeadline)), listedShards...)
			}
		}},
		{fault: "a part is late", expected: "complete once it has arrived", completeness: all, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{Delay: time.Hour}, 1)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(1, delayedCount, 1)
			g.setRowFault(node.RowFault{}, 1)
			g.checkComplete(g.waitAnswer(r), listedShards...)
		}},
		{fault: "a part stalls and is hedged", expected: "a hedge beside the silent first attempt; complete, no duplicate rows", completeness: all, extraSections: `,"silent_ms":100`, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, Pause: time.Hour}, 0)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(0, pausedCount, 2)
			g.setRowFault(node.RowFault{}, 0)
			a := g.waitAnswer(r)
			if g.checkComplete(a, listedShards...); g.Node(0).RowCounts(a.id+"/0/2").Requests+g.Node(1).RowCounts(a.id+"/0/2").Requests == 0 {
				t.Error("no hedge was sent")
			}
		}},
		{fault: "a part is cut halfway each time", expected: "retried as often as allowed, then named as cut", completeness: bestEffort, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, CloseConn: true}, 0)
			a := g.waitAnswer(g.startRead(0, defaultPlan, longDeadline))
			g.checkRows(a, listedShards...)
			g.checkShards(a, "cut", "[0]")
			if n := g.sumCounts(0, closedCount); n != 2 {
				t.Errorf("the part was cut %d times, expected 2", n)
			}
		}},
		{fault: "a part is cut halfway once", expected: "the retry continues it; complete", completeness: all, extraSections: `,"again":16`, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{Delay: time.Hour}, 0)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(0, delayedCount, 1)
			g.must(g.StorageLink(0, 0).SetFault(link.Backward, link.Fault{ResetAfter: 80 << 10}))
			g.must(g.StorageLink(0, 1).SetFault(link.Backward, link.Fault{ResetAfter: 80 << 10}))
			g.setRowFault(node.RowFault{}, 0)
			g.waitUntil("an answer is cut", func() bool {
				return g.StorageLink(0, 0).Counts(link.Backward).Reset+g.StorageLink(0, 1).Counts(link.Backward).Reset > 0
			})
			for j := range 2 {
				g.must(g.StorageLink(0, j).SetFault(link.Backward, link.Fault{}))
			}
			g.checkComplete(g.waitAnswer(r), listedShards...)
		}},
		{fault: "a part never arrives", expected: "named as missing within the client's deadline", completeness: bestEffort, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{Delay: time.Hour}, 2)
			a := g.waitAnswer(g.startRead(0, defaultPlan, shortDeadline))
			if g.checkRows(a, listedShards...); g.sumCounts(2, delayedCount) == 0 {
				t.Error("neither node of shard 2 delayed an answer")
			}
			g.checkShards(a, "missing", "[2]")
		}},
		{fault: "all nodes reject, and all parts are required", expected: "rejected at once with Retry-After", completeness: all, run: func(g *gatherFixture) {
			for j := range 6 {
				g.Node(j).Drain(true)
			}
			a := g.waitAnswer(g.startRead(0, defaultPlan, longDeadline))
			if a.code != 503 || a.header.Get("Retry-After") == "" || a.result.Get("code").Str != "scatter-refused" {
				t.Errorf("the read was not rejected as expected: code %d, header %v, body %s", a.code, a.header, a.result)
			}
			for j := range 6 {
				g.Node(j).Drain(false)
			}
		}},
		{fault: "a node is killed during a part", expected: "the part is retried at the shard's other node; complete", completeness: all, extraSections: `,"again":4`, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, Pause: time.Hour}, 1)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(1, pausedCount, 1)
			dead := 2
			if g.Node(3).RowCounts("").Paused > 0 {
				dead = 3
			}
			g.Node(dead).Close()
			g.setRowFault(node.RowFault{}, 1)
			g.checkComplete(g.waitAnswer(r), listedShards...)
		}},
		{fault: "a drain begins during the read", expected: "parts in flight are finished, no new ones go there; complete", completeness: all, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, Pause: time.Hour}, 1)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(1, pausedCount, 1)
			g.must(g.SetNodeStatus(2, "leaving"))
			g.waitServed(minServed)
			g.setRowFault(node.RowFault{}, 1)
			g.checkComplete(g.waitAnswer(r), listedShards...)
			g.checkComplete(g.waitAnswer(g.startRead(1, defaultPlan, longDeadline)), listedShards...)
		}},
		{fault: "the client disconnects during the read", expected: "all parts are cancelled", completeness: all, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, Stall: true}, 0, 1, 2)
			r := g.startRead(0, defaultPlan, longDeadline)
			for _, s := range listedShards {
				g.waitRowFault(s, stalledCount, 1)
			}
			r.disconnect()
			if a := g.waitAnswer(r); a.end != historycheck.Disconnected {
				t.Errorf("the read did not end with the client's disconnect: %+v", a)
			}
			for _, s := range listedShards {
				g.waitRowFault(s, disconnectedCount, 1)
			}
			g.setRowFault(node.RowFault{}, 0, 1, 2)
		}},
		{fault: "SIGTERM during the read", expected: "complete answer, exit 0", completeness: all, run: func(g *gatherFixture) {
			g.setRowFault(node.RowFault{AfterRows: 200, Pause: time.Hour}, 1)
			r := g.startRead(0, defaultPlan, longDeadline)
			g.waitRowFault(1, pausedCount, 1)
			g.must(g.Terminate(0))
			g.waitUntil("the daemon logs that it is stopping", func() bool { return strings.Contains(g.Proc(0).Log(), "stopping") })
			g.setRowFault(node.RowFault{}, 1)
			g.checkComplete(g.waitAnswer(r), listedShards...)
			g.must(g.Proc(0).Wait(g.ctx))
			g.waitServed(minServed, 0)
			g.must(g.Restart(g.ctx, 0))
		}},
		{fault: "the list changes its shards", expected: "the next read is of the shards then listed", completeness: all, run: func(g *gatherFixture) {
			g.checkComplete(g.waitAnswer(g.startRead(0, defaultPlan, longDeadline)), listedShards...)
			g.must(g.SetNodeStatus(6, "active"))
			var a gatherAnswer
			g.waitUntil("the new shard is read", func() bool {
				a = g.waitAnswer(g.startRead(0, defaultPlan, longDeadline))
				return len(a.rows) > 3*rowsPerShard
			})
			g.checkComplete(a, 0, 1, 2, 3)
			g.must(g.SetNodeStatus(0, "left"))
			g.must(g.SetNodeStatus(1, "left"))
			g.waitUntil("the old shard is no longer read", func() bool {
				a = g.waitAnswer(g.startRead(0, defaultPlan, longDeadline))
				return len(a.rows) == 3*rowsPerShard && a.result.Get("whole").Bool()
			})
			g.checkComplete(a, 1, 2, 3)
		}},
		{fault: "a volume exceeds its limit", expected: "every part counts towards the limit; parts over it are named as missing", completeness: bestEffort, run: func(g *gatherFixture) {
			missing := 0
			var reads []*gatherRead
			for n := range 12 { // as many as the daemons gather concurrently
				reads = append(reads, g.startRead(n%g.opt.Daemons, "small", time.Second))
			}
			for _, r := range reads {
				a := g.waitAnswer(r)
				g.checkRows(a, listedShards...)
				missing += len(a.result.Get("missing").Array())
			}
			if missing == 0 {
				t.Error("nothing was missing from 36 concurrent units of a volume with a burst of 10 and 20 units per second")
			}
		}},
		{fault: "the only node of a shard is cold", expected: "no more units than its budget are sent; missing parts are named", completeness: bestEffort, extraSections: `,"reads_at_once":8`,
			settings: map[string]any{"extra": map[string]any{"young-limit": 4}}, run: func(g *gatherFixture) {
				g.setRowFault(node.RowFault{Delay: time.Hour}, 3) // answers of the cold node would raise its budget
				g.must(g.ReplaceNode(6))
				for i := range g.opt.Daemons {
					g.waitUntil(fmt.Sprint("daemon ", i, " has applied the list with node s6"), func() bool { return g.listedNodes(i) == 7 })
				}
				var reads []*gatherRead
				for n := range 8 * g.opt.Daemons { // 24 parts for the cold node, whose budget is 13 units
					reads = append(reads, g.startRead(n%g.opt.Daemons, defaultPlan, shortDeadline))
				}
				for _, r := range reads {
					a := g.waitAnswer(r)
					g.checkRows(a, 0, 1, 2, 3)
					if !strings.Contains(a.result.Get("missing").Raw, "3") {
						t.Errorf("shard 3 is not missing: %s", a.result)
					}
				}
				g.waitRowFault(3, delayedCount, 1)
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			g := newGatherFixture(t, x.completeness, x.extraSections, x.settings)
			x.run(g)
			g.waitServed(minServed)
			g.stopAndAudit()
		})
	}
}
