package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/tidwall/gjson"

	"wheatsaddle/gather"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/scattergather"
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

const gatherShards = 4

// gatherHarness is a server, its core with gathered reads, and four shards with one fake node each.
type gatherHarness struct {
	t        *testing.T
	srv      *Server
	svc      *scattergather.Service
	core     *core.Core
	nodes    []*fakenode.Node
	nodeList []core.Node
	rows     *fakenode.Rows
	address  string
	served   chan error
}

func newGatherHarness(t *testing.T, rules string, rows fakenode.Rows) *gatherHarness {
	t.Helper()
	return newGatherHarnessOn(t, dialer(), rules, rows)
}

func newGatherHarnessOn(t *testing.T, d *Dialer, rules string, rows fakenode.Rows) *gatherHarness {
	t.Helper()
	h := &gatherHarness{t: t, rows: &rows, served: make(chan error, 1)}
	settings := testSettings()
	settings.MaxAttempts, settings.DrainGrace = 3, 250
	settings.Plans = append(settings.Plans, policy.Plan{Name: "small", Rate: 10, ReservedRate: 10, Weight: 1, Price: 1, RateLimit: 10, LimitBurst: 8})
	settings.Classes = append(settings.Classes, policy.Class{Name: "once", LatencyObjective: 30e3, Deadline: 60e3, PriorityWeight: 3, Effect: policy.NonIdempotent})
	for i := range gatherShards {
		n := fakenode.New(fakenode.Options{Name: fmt.Sprint("n", i), Shard: i, Rows: h.rows, RecordAttempts: true, Workers: 8})
		a, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		h.nodes = append(h.nodes, n)
		h.nodeList = append(h.nodeList, core.Node{Node: policy.Node{ID: fmt.Sprint("n", i), Shard: i, State: policy.NodeUp, Weight: 1}, Addresses: []address.Addr{a}})
	}
	log, _ := logtest.NewNullLogger()
	var err error
	if h.core, err = core.New(core.Options{Settings: settings, Seed: 1, NewNodeClient: d.Connect, Log: log}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.core.Stop)
	h.core.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: h.nodeList})
	merge, err := gather.ParseRules([]byte(rules))
	if err != nil {
		t.Fatal(err)
	}
	idempotent := scattergather.Rules{Merge: merge, MergeTimeShare: 0.1, MaxConcurrentParts: 3, MaxRetries: 1, Idempotent: true}
	nonIdempotent := idempotent
	nonIdempotent.Idempotent = false
	h.svc = &scattergather.Service{Core: h.core, Classes: map[string]scattergather.Rules{"balance-read": idempotent, "once": nonIdempotent}, Shards: h.core.Shards,
		MaxPartBytes: 8 << 20, MaxParts: 16, ReadLimiter: &scattergather.Limiter{}, Payload: PartPayload, Body: PartBody}
	h.svc.ReadLimiter.SetLimit(2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = ln.Addr().String()
	h.srv = NewServer(h.core, settings, 50, log)
	h.srv.SetScatterGather(h.svc)
	go func() { h.served <- h.srv.Serve(ln, 50) }()
	t.Cleanup(func() { ln.Close() })
	return h
}

var gatherID int

// writeRequest writes a gathered read to a connection. more holds further header lines.
func (h *gatherHarness) writeRequest(nc net.Conn, method, path, plan string, timeout time.Duration, more ...string) (id string) {
	gatherID++
	id = fmt.Sprint("g", gatherID)
	fmt.Fprintf(nc, "%s /%s HTTP/1.1\r\nHost: o\r\nX-Request-Id: %s\r\nTier: %s\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: %d\r\n"+
		"IO-Info: volume=00000003b4d60021,units=2,shard=-1,hosts=1\r\n%s\r\n", method, path, id, plan, timeout.Milliseconds(),
		strings.Join(append(more, ""), "\r\n"))
	return id
}

type gatherResponse struct {
	code   int
	head   http.Header
	rows   []string
	result gjson.Result // from the trailer or the body
	err    error        // error of a truncated body
}

// isMissing reports whether all given shards are listed as missing. On a busy machine others may be missing too.
func (g *gatherResponse) isMissing(shards ...int64) bool {
	for _, s := range shards {
		if !slices.ContainsFunc(g.result.Get("missing").Array(), func(m gjson.Result) bool { return m.Int() == s }) {
			return false
		}
	}
	return true
}

func readGatherResponse(t *testing.T, br *bufio.Reader) (g gatherResponse) {
	t.Helper()
	r, err := http.ReadResponse(br, nil) //nolint:bodyclose // the connection is the caller's to close
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r.Body)
	g = gatherResponse{code: r.StatusCode, head: r.Header, err: err}
	if g.code != 200 {
		g.result = gjson.ParseBytes(text)
		return g
	}
	g.rows = strings.Fields(string(text))
	g.result = gjson.Parse(r.Trailer.Get(hdrResult))
	return g
}

func (h *gatherHarness) dial() net.Conn {
	nc, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { nc.Close() })
	return nc
}

func (h *gatherHarness) read(path, plan string, timeout time.Duration, more ...string) gatherResponse {
	h.t.Helper()
	nc := h.dial()
	defer nc.Close()
	h.writeRequest(nc, "GET", path, plan, timeout, more...)
	return readGatherResponse(h.t, bufio.NewReader(nc))
}

func (h *gatherHarness) flatRows(shards ...int) (rows []string) {
	for _, r := range h.rows.Merge(shards, fakenode.MergeOptions{Keep: "all"}) {
		rows = append(rows, string(r))
	}
	return rows
}

// waitForNoReads waits until the core and the service hold no reads.
func (h *gatherHarness) waitForNoReads() {
	h.t.Helper()
	waitFor(h.t, func() bool { x := h.core.TableSizes(); return x.Requests == 0 && h.svc.ReadLimiter.InFlight() == 0 })
}

const (
	completeRules   = `{"order":[{"key":"k","type":"integer"}]}`
	bestEffortRules = `{"order":[{"key":"k","type":"integer"}],"complete":{"need":"best-effort"}}`
	gatherAll       = "X-Gather: all"
)

// The rows of a gathered read equal those of a flat merge, and its result is in the trailer. This holds for long bodies and for
// several requests on one connection. Each part is requested with its shard and id.
func TestGatheredReadMatchesFlatMerge(t *testing.T) {
	h := newGatherHarness(t, completeRules, fakenode.Rows{Seed: 3, RowsPerShard: 3000, SharedKeys: 0.2, SameVersion: 1, PaddingBytes: 60})
	nc := h.dial()
	br := bufio.NewReader(nc)
	for _, c := range []struct {
		gather string
		shards []int
	}{{"all", []int{0, 1, 2, 3}}, {"0, 2-3", []int{0, 2, 3}}, {"1", []int{1}}} {
		id := h.writeRequest(nc, "GET", "balance-read/x", "basic", time.Minute, "X-Gather: "+c.gather)
		g := readGatherResponse(t, br)
		if g.code != 200 || g.err != nil || !slices.Equal(g.rows, h.flatRows(c.shards...)) || g.result.Raw != `{"whole":true}` {
			t.Fatalf("X-Gather %q: status %d, error %v, %d rows, result %s", c.gather, g.code, g.err, len(g.rows), g.result)
		}
		for _, s := range c.shards {
			if n := h.nodes[s].RowCounts(fmt.Sprintf("%s/%d/1", id, s)); n.Requests != 1 || n.Complete != 1 {
				t.Errorf("X-Gather %q: row counts of the node of shard %d are %+v, want one complete request", c.gather, s, n)
			}
		}
	}
	h.waitForNoReads()
	// With gathered reads off, the gather fields are ignored: the request is an ordinary one.
	h.srv.SetScatterGather(nil)
	nc2 := h.dial()
	h.writeRequest(nc2, "GET", "balance-read/x?shard=-1", "basic", time.Minute, gatherAll)
	if g := readGatherResponse(t, bufio.NewReader(nc2)); g.code != 200 || len(g.rows) != 1 || len(g.head["Trailer"]) > 0 {
		t.Errorf("with gathered reads off: %+v", g)
	}
}

func TestGatheredReadPages(t *testing.T) {
	h := newGatherHarness(t, `{"order":[{"key":"k","type":"integer"}],"truncate":{"top":300}}`, fakenode.Rows{Seed: 4, RowsPerShard: 200})
	var rows []string
	more := []string{gatherAll}
	for pages := 0; pages < 4; pages++ {
		g := h.read("balance-read", "basic", time.Minute, more...)
		if rows = append(rows, g.rows...); g.code != 200 || !g.result.Get("whole").Bool() {
			t.Fatalf("read of a page: response %+v", g)
		}
		if g.result.Get("token").Str == "" {
			break
		}
		more = []string{gatherAll, hdrToken + ": " + g.result.Get("token").Str}
	}
	if !slices.Equal(rows, h.flatRows(0, 1, 2, 3)) {
		t.Errorf("the pages together have %d rows, not those of the flat merge", len(rows))
	}
	if g := h.read("balance-read", "basic", time.Minute, gatherAll, hdrToken+": "+"AAAA"); g.code != 400 || g.result.Get("code").Str != "gather-token-bad" || g.result.Get("advice").Str == "" {
		t.Errorf("read with an invalid token: response %+v", g)
	}
	h.waitForNoReads()
}

// Merging partial results gives the same rows as merging their parts.
func TestGatheredPartialResultsMerge(t *testing.T) {
	h := newGatherHarness(t, completeRules, fakenode.Rows{Seed: 5, RowsPerShard: 50})
	m, err := gather.New(h.svc.Classes["balance-read"].Merge, []gather.Part{{ID: "a", Of: []string{"0", "3"}}, {ID: "b", Of: []string{"1", "2"}}})
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for part, shards := range map[string]string{"a": "0,3", "b": "1-2"} {
		nc := h.dial()
		h.writeRequest(nc, "GET", "balance-read", "basic", time.Minute, "X-Gather: "+shards, hdrPartial+": 1")
		r, err := http.ReadResponse(bufio.NewReader(nc), nil) //nolint:bodyclose // the connection closes at the end of the test
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(r.Body)
		if err = errors.Join(err, m.Add(part, 1, text), m.End(part, 1, nil)); err != nil || r.Trailer.Get(hdrResult) == "" {
			t.Fatal(err, r.Trailer)
		}
		if nc2 := h.dial(); true { // ten rows, and a result that says that it is limited
			h.writeRequest(nc2, "GET", "balance-read", "basic", time.Minute, "X-Gather: "+shards, hdrPartial+": 1", hdrRows+": 10")
			r, err := http.ReadResponse(bufio.NewReader(nc2), nil) //nolint:bodyclose // the connection closes at the end of the test
			if err != nil {
				t.Fatal(err)
			}
			begin, err := io.ReadAll(r.Body)
			if err != nil || !bytes.HasPrefix(text, begin) || len(begin) == len(text) || !gjson.Get(r.Trailer.Get(hdrResult), "limited").Bool() {
				t.Errorf("limited partial result: %v, %d of %d bytes, %s", err, len(begin), len(text), r.Trailer.Get(hdrResult))
			}
		}
	}
	for row, ok := m.Next(); ok; row, ok = m.Next() {
		rows = append(rows, string(row))
	}
	if !m.Result().Whole || !slices.Equal(rows, h.flatRows(0, 1, 2, 3)) {
		t.Errorf("merged partial results: %d rows, %+v", len(rows), m.Result())
	}
	h.waitForNoReads()
}

// An invalid gathered read fails before the first row, with code and advice, and no node gets a request. Missed deadlines and
// rejections before the first row have their own status.
func TestGatheredReadErrorsBeforeFirstRow(t *testing.T) {
	h := newGatherHarness(t, completeRules, fakenode.Rows{Seed: 6, RowsPerShard: 10})
	for _, c := range []struct {
		what, method, path, plan string
		more                     []string
		status                   int
		errorCode                string
	}{
		{"write request", "PUT", "balance-read", "basic", []string{gatherAll, "Content-Length: 0"}, 400, "scatter-not-read"},
		{"class without rules", "GET", "new-record", "basic", []string{gatherAll, "Idempotency-Key: k"}, 400, "scatter-no-rules"},
		{"shard that is not a number", "GET", "balance-read", "basic", []string{"X-Gather: 0,x"}, 400, "scatter-shards-bad"},
		{"descending range of shards", "GET", "balance-read", "basic", []string{"X-Gather: 3-1"}, 400, "scatter-shards-bad"},
		{"shard that does not exist", "GET", "balance-read", "basic", []string{"X-Gather: 8"}, 400, "scatter-shards-bad"},
		{"shard listed twice", "GET", "balance-read", "basic", []string{"X-Gather: 1,1"}, 400, "gather-parts-bad"},
		{"X-Gather field twice", "GET", "balance-read", "basic", []string{gatherAll, gatherAll}, 400, "scatter-not-read"},
		{"unknown plan", "GET", "balance-read", "other", []string{gatherAll}, 404, "gather-incomplete"},
	} {
		nc := h.dial()
		h.writeRequest(nc, c.method, c.path, c.plan, time.Minute, c.more...)
		g := readGatherResponse(t, bufio.NewReader(nc))
		if g.code != c.status || g.result.Get("code").Str != c.errorCode || g.result.Get("advice").Str == "" {
			t.Errorf("%s: response %+v", c.what, g)
		}
	}
	for _, n := range h.nodes {
		if c := n.Counts(); c.Requests > 0 {
			t.Errorf("a node got a request: %+v", c)
		}
	}
	// One node never responds: the read misses its deadline, and the part is cancelled.
	h.nodes[2].SetRowFault(fakenode.RowFault{Delay: time.Hour})
	if g := h.read("balance-read", "basic", 500*time.Millisecond, gatherAll); g.code != 504 && g.code != 503 || !g.isMissing(2) {
		t.Errorf("read of a node that never responds: response %+v", g)
	}
	h.waitForNoReads()
	// All nodes reject the parts: the read is rejected with Retry-After.
	for _, n := range h.nodes {
		n.Drain(true)
	}
	if g := h.read("balance-read", "basic", time.Minute, gatherAll); g.code != 503 || g.head.Get("Retry-After") == "" || g.result.Get("code").Str != "scatter-refused" ||
		len(g.result.Get("missing").Array()) == 0 {
		t.Errorf("read of draining nodes: response %+v", g)
	}
	h.waitForNoReads()
}

// A node truncates a part beyond what is buffered of it, so the first rows have been sent: the response ends with a result that
// lists the part as cut.
func TestGatheredReadCutAfterFirstRows(t *testing.T) {
	h := newGatherHarness(t, bestEffortRules, fakenode.Rows{Seed: 7, RowsPerShard: 400, PaddingBytes: 400})
	h.nodes[1].SetRowFault(fakenode.RowFault{AfterRows: 300, CloseConn: true})
	for i, class := range []string{"balance-read", "once"} { // the part is retried for the first class; the second is non-idempotent
		g := h.read(class, "basic", time.Minute, gatherAll)
		if g.code != 200 || g.err != nil || fmt.Sprint(g.result.Get("cut")) != "[1]" || g.result.Get("whole").Bool() || len(g.rows) < 3*400+100 {
			t.Errorf("class %s: status %d, error %v, %d rows, result %s", class, g.code, g.err, len(g.rows), g.result)
		}
		if n := h.nodes[1].RowCounts(""); n.ConnsClosed != 2+i {
			t.Errorf("class %s: the number of connections that the node closed is wrong: %+v", class, n)
		}
	}
	h.waitForNoReads()
}

func TestGatheredReadClientDisconnects(t *testing.T) {
	for what, f := range map[string]fakenode.RowFault{"before the first row": {Delay: time.Hour}, "between rows of long bodies": {AfterRows: 300, Pause: 2 * time.Second}} {
		t.Run(what, func(t *testing.T) {
			h := newGatherHarness(t, bestEffortRules, fakenode.Rows{Seed: 7, RowsPerShard: 400, PaddingBytes: 400})
			for _, n := range h.nodes {
				n.SetRowFault(f)
			}
			sum := func(count func(fakenode.RowCounts) int) (n int) {
				for _, x := range h.nodes {
					n += count(x.RowCounts(""))
				}
				return n
			}
			nc := h.dial()
			h.writeRequest(nc, "GET", "balance-read", "basic", time.Minute, gatherAll)
			// The allowed number of concurrent parts is in flight.
			waitFor(t, func() bool { return sum(func(c fakenode.RowCounts) int { return c.Delayed + c.Paused }) >= 3 })
			nc.Close()
			h.waitForNoReads()
			waitFor(t, func() bool { return sum(func(c fakenode.RowCounts) int { return c.Disconnected }) >= 3 })
		})
	}
}

// A slow client delays only the nodes' responses to its own read. A read above the limit of concurrent reads is rejected at once.
func TestGatheredReadBackPressure(t *testing.T) {
	h := newGatherHarness(t, `{"order":[{"key":"k","type":"integer"}],"records":{"max_bytes":4096},"memory":{"bytes":65536}}`,
		fakenode.Rows{Seed: 8, RowsPerShard: 10000, PaddingBytes: 2000})
	nc := h.dial()
	h.svc.MaxPartBytes = 64 << 20
	br := bufio.NewReader(nc)
	h.writeRequest(nc, "GET", "balance-read", "basic", time.Minute, gatherAll)
	if _, err := br.Peek(1); err != nil {
		t.Fatal(err)
	}
	sent := func() (n int) {
		for _, x := range h.nodes {
			n += x.RowCounts("").Rows
		}
		return n
	}
	for previous := -1; previous != sent(); time.Sleep(100 * time.Millisecond) { // until no more rows are sent
		previous = sent()
	}
	if whole := gatherShards * 10000; sent() > whole*3/4 {
		t.Errorf("%d rows of %d were sent to a client that does not read", sent(), whole)
	}
	h.svc.ReadLimiter.SetLimit(1)
	if g := h.read("balance-read", "basic", time.Minute, "X-Gather: 0"); g.code != 503 || g.head.Get("Retry-After") == "" {
		t.Errorf("read above the limit of concurrent reads: response %+v", g)
	}
	g := readGatherResponse(t, br)
	if g.err != nil || !g.result.Get("whole").Bool() || len(g.rows) != gatherShards*10000 {
		t.Errorf("slow client: %v, %d rows, result %s", g.err, len(g.rows), g.result)
	}
	h.waitForNoReads()
}

// Every part counts against the rate limit of the volume. A shard whose only node is draining or excluded is not read.
func TestGatheredReadObeysLimitsAndExclusions(t *testing.T) {
	h := newGatherHarness(t, bestEffortRules, fakenode.Rows{Seed: 9, RowsPerShard: 10})
	// Each part has 2 units; 10 units per second with a burst of 8 are allowed. The parts of all reads together stay within the
	// limit, and the parts above it are listed as missing.
	missing := 0
	for range 4 {
		g := h.read("balance-read", "small", 300*time.Millisecond, gatherAll)
		missing += len(g.result.Get("missing").Array())
	}
	if missing == 0 {
		t.Error("no part of 32 units within two seconds was missing")
	}
	h.waitForNoReads()
	var sentAt []time.Time
	for _, n := range h.nodes {
		for _, a := range n.Attempts() {
			sentAt = append(sentAt, a.FirstByte)
		}
	}
	slices.SortFunc(sentAt, time.Time.Compare)
	for i := range sentAt {
		for j := i; j < len(sentAt); j++ {
			if sent, allowed := 2*float64(j-i+1), 8+10*sentAt[j].Sub(sentAt[i]).Seconds(); sent > allowed+max(2, 0.1*allowed)+0.5 {
				t.Fatalf("%v units were sent within %v, more than the rate limit allows", sent, sentAt[j].Sub(sentAt[i]))
			}
		}
	}
	requestCount := func(i int) int { return h.nodes[i].Counts().Requests }
	h.nodeList[1].State = policy.NodeDraining
	h.core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: h.nodeList[1:2]})
	if _, err := h.core.Exclude("n2"); err != nil {
		t.Fatal(err)
	}
	before1, before2 := requestCount(1), requestCount(2)
	if g := h.read("balance-read", "basic", time.Minute, gatherAll); g.code != 200 || !slices.Equal(g.rows, h.flatRows(0, 3)) || !g.result.Get("whole").Bool() {
		t.Errorf("read of all shards with two unavailable: response %+v", g)
	}
	if g := h.read("balance-read", "basic", 500*time.Millisecond, "X-Gather: 0-3"); !g.isMissing(1, 2) {
		t.Errorf("read that names the unavailable shards: response %+v", g)
	}
	if requestCount(1) != before1 || requestCount(2) != before2 {
		t.Error("a draining or excluded node got a request")
	}
	h.waitForNoReads()
}

// A server that shuts down completes a gathered read that is in flight.
func TestShutdownAnswersGatheredRead(t *testing.T) {
	h := newGatherHarness(t, completeRules, fakenode.Rows{Seed: 10, RowsPerShard: 300})
	h.nodes[0].SetRowFault(fakenode.RowFault{AfterRows: 100, Stall: true})
	nc := h.dial()
	h.writeRequest(nc, "GET", "balance-read", "basic", time.Minute, gatherAll)
	waitFor(t, func() bool { return h.nodes[0].RowCounts("").Stalled == 1 })
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- h.srv.Shutdown(ctx) }()
	select {
	case err := <-shutdownErr:
		t.Fatalf("shutdown ended with a read in flight: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	h.nodes[0].SetRowFault(fakenode.RowFault{})
	if g := readGatherResponse(t, bufio.NewReader(nc)); g.err != nil || !slices.Equal(g.rows, h.flatRows(0, 1, 2, 3)) || !g.result.Get("whole").Bool() {
		t.Errorf("read in flight at the shutdown: result %+v", g.result)
	}
	if err := errors.Join(<-shutdownErr, <-h.served); err != nil {
		t.Error(err)
	}
}
