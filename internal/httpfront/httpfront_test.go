package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/replay"
	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const validRequest = "PUT /new-record/x?y=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\nTier: basic\r\n" +
	"Cookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: 60000\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\n" +
	"IO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n\r\nhello"

// fakeNode is a fake storage node. It passes each complete request to its script, which responds or breaks the connection.
type fakeNode struct {
	ln       net.Listener
	requests atomic.Int64
	conns    atomic.Int64
	last     atomic.Pointer[fasthttp.Request]
	ended    chan bool // a connection was closed by the script
}

type script func(nc net.Conn) (goOn bool)

func newFakeNode(t *testing.T, do script) *fakeNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &fakeNode{ln: ln, ended: make(chan bool, 64)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					q := &fasthttp.Request{}
					if q.Read(br) != nil {
						return
					}
					s.last.Store(q)
					s.requests.Add(1)
					if !do(nc) {
						nc.Close()
						s.ended <- true
						return
					}
				}
			}()
		}
	}()
	return s
}

func respondWith(text string) script {
	return func(nc net.Conn) bool { _, err := io.WriteString(nc, text); return err == nil }
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nVolume-Load: 85\r\nOther-Hosts: 4\r\n\r\nabc"

// addressesOf returns the address of a listener.
func addressesOf(ln net.Listener) []address.Addr {
	a, err := address.Parse(ln.Addr().String())
	if err != nil {
		panic(err)
	}
	return []address.Addr{a}
}

func dialer() *Dialer {
	return &Dialer{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, MaxConns: 100}
}

// attempt returns an attempt and the channel of its results.
func attempt(t testing.TB, until time.Time) (*core.Attempt, chan core.Result) {
	t.Helper()
	return attemptOf(t, validRequest, until)
}

func attemptOf(t testing.TB, text string, until time.Time) (*core.Attempt, chan core.Result) {
	t.Helper()
	var m fasthttp.Request
	if err := m.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	r, err := decode(&m, &testBounds)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan core.Result, 4)
	return core.NewAttempt(r, until, func(x core.Result) { got <- x }), got
}

var testBounds = bounds{idempotentByKey: map[string]bool{"new-record": true}, maxUnits: 1e6}

func inOneMinute() time.Time { return time.Now().Add(time.Minute) }

func sendOne(t *testing.T, p core.NodeClient) core.Result {
	t.Helper()
	a, got := attempt(t, inOneMinute())
	if !p.Send(a) {
		t.Fatal("attempt was not accepted")
	}
	return <-got
}

func TestNodeOutcomes(t *testing.T) {
	for name, x := range map[string]struct {
		do   script
		want policy.Status
	}{
		"status 200":               {respondWith(okResponse), policy.OK},
		"status 500":               {respondWith("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), policy.Errored},
		"status 503, not run":      {respondWith("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), policy.NodeFull},
		"status 504, not run":      {respondWith("HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), policy.NodeFull},
		"status 400":               {respondWith("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), policy.Abandoned},
		"status 429":               {respondWith("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"), policy.Errored},
		"status 503, may have run": {respondWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), policy.Errored},
		"closed, no response":      {func(net.Conn) bool { return false }, policy.ConnectionReset},
		"truncated response":       {func(nc net.Conn) bool { _, _ = io.WriteString(nc, okResponse[:len(okResponse)-1]); return false }, policy.ConnectionReset},
		"garbage":                  {func(nc net.Conn) bool { _, _ = io.WriteString(nc, "what?\r\n\r\n"); return false }, policy.ConnectionReset},
	} {
		n := newFakeNode(t, x.do)
		p := dialer().Connect("n", addressesOf(n.ln))
		r := sendOne(t, p)
		if r.Status != x.want || n.requests.Load() != 1 {
			t.Errorf("%s: attempt ended with status %d, want %d; %d requests arrived, want 1", name, r.Status, x.want, n.requests.Load())
		}
		if r.Status == policy.OK && (r.PlanUsage != 86 || r.PeerUsage != 4 || string(r.Payload.(*nodeResponse).body) != "abc") {
			t.Errorf("%s: attempt ended as %+v", name, r)
		}
		p.Close()
	}
}

// A chunked response that the node truncates at any point ends the attempt as one that may have run. It is never served as
// a complete response.
func TestTruncatedChunkedResponse(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	complete := head + "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n"
	for cut := len(head); cut <= len(complete); cut++ {
		n := newFakeNode(t, func(nc net.Conn) bool { _, _ = io.WriteString(nc, complete[:cut]); return false })
		p := dialer().Connect("n", addressesOf(n.ln))
		want := policy.ConnectionReset
		if cut == len(complete) {
			want = policy.OK
		}
		r := sendOne(t, p)
		if r.Status != want || r.Status == policy.OK && string(r.Payload.(*nodeResponse).body) != "abcdefg" {
			t.Errorf("response truncated after %q: attempt ended as %+v, want status %d", complete[:cut], r, want)
		}
		p.Close()
	}
}

// A malformed response ends the attempt as one that may have run, even if the connection stays open. A valid response is
// served whatever follows it, and its connection is reused only if nothing does.
func TestMalformedResponses(t *testing.T) {
	edit := func(old, new string) string { return strings.Replace(okResponse, old, new, 1) }
	for _, x := range []struct {
		text   string
		want   policy.Status
		reused bool // the connection serves the next attempt
	}{
		{okResponse, policy.OK, true},
		{strings.NewReplacer("Content-Length: 3", "Transfer-Encoding: chunked", "abc", "3\r\nabc\r\n0\r\n\r\n").Replace(okResponse), policy.OK, true},
		{"HTTP/1.1 100 Continue\r\n\r\n" + "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okResponse, policy.OK, true},
		{okResponse + okResponse, policy.OK, false}, {okResponse + "\x00noise", policy.OK, false},
		{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1) + okResponse, policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length: 9"), policy.ConnectionReset, false}, // the rest never comes
		{okResponse[:60], policy.ConnectionReset, false},                                // the end of the head never comes
		{edit("Content-Length: 3\r\n", ""), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length: 3\r\nContent-Length: 2"), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length: 3\r\nTransfer-Encoding: chunked"), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length: +3"), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length : 3"), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Content-Length: 3221225472"), policy.ConnectionReset, false},
		{edit("Content-Length: 3", "Transfer-Encoding: chunked"), policy.ConnectionReset, false},
		{edit("HTTP/1.1 200 OK", "HTTP/1.1 2x0 OK"), policy.ConnectionReset, false}, {edit("HTTP/1.1", "HTTP/7.1"), policy.ConnectionReset, false},
		{edit("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\n"), policy.ConnectionReset, false}, {"noise" + okResponse, policy.ConnectionReset, false},
		{edit("Volume-Load: 85", "what"), policy.ConnectionReset, false},
		{edit("Volume-Load: 85", "X: "+strings.Repeat("x", 2*readBufferSize)), policy.ConnectionReset, false},
		{edit("200 OK", "101 Switching Protocols"), policy.ConnectionReset, false},
	} {
		n := newFakeNode(t, respondWith(x.text))
		p := dialer().Connect("n", addressesOf(n.ln))
		r := sendOne(t, p)
		if r.Status != x.want || r.Status == policy.OK && string(r.Payload.(*nodeResponse).body) != "abc" {
			t.Errorf("response %.90q: attempt ended as %+v, want status %d", x.text, r, x.want)
		}
		sendOne(t, p)
		if reused := n.conns.Load() == 1; reused != x.reused {
			t.Errorf("response %.90q: %d connections were opened for two attempts; reuse of the first one is wrong", x.text, n.conns.Load())
		}
		p.Close()
	}
}

// A long response is relayed instead of buffered: its first piece comes with the result, the rest is read as the client reads
// it, and the connection is reused after the last byte. A truncated response ends with an error, so that the client
// notices the truncation.
func TestLongResponsesAreRelayed(t *testing.T) {
	const size = 300 << 10
	body := strings.Repeat("0123456789abcdef", size/16)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	for _, x := range []struct {
		text   string
		want   policy.Status
		whole  bool // the relay reads it to its end
		reused bool // its connection carries the next attempt
	}{
		{text, policy.OK, true, true},
		{text[:len(text)-1], policy.OK, false, false},
		{chunked, policy.OK, true, true},
		{chunked[:len(chunked)-5], policy.OK, false, false},
		{strings.Replace(text, "200", "500", 1), policy.Errored, false, false},
	} {
		n := newFakeNode(t, respondWith(x.text))
		p := dialer().Connect("n", addressesOf(n.ln))
		r := sendOne(t, p)
		if r.Status != x.want {
			t.Fatalf("response %.60q: attempt ended with status %d", x.text, r.Status)
		}
		if rep, ok := r.Payload.(*nodeResponse); ok {
			if rep.relay == nil {
				t.Fatalf("response %.60q: buffered instead of relayed", x.text)
			}
			got, err := io.ReadAll(rep.relay)
			_ = rep.relay.Close()
			if whole := err == nil && string(got) == body; whole != x.whole {
				t.Errorf("response %.60q: %d bytes were relayed, error %v", x.text, len(got), err)
			}
			if err != nil && !errors.Is(err, errBodyTruncated) {
				t.Errorf("response %.60q: the relay of a truncated body ends with %v", x.text, err)
			}
		}
		if x.reused {
			sendOne(t, p)
			if n.conns.Load() != 1 {
				t.Errorf("response %.60q: %d connections were opened for two attempts, want one", x.text, n.conns.Load())
			}
		}
		p.Close()
	}
	// Through the server: several relays one after the other, each with a complete and unchanged body.
	f := newFront(t, respondWith(text))
	for range 4 {
		if r := f.send(t, validRequest); r.StatusCode() != 200 || string(r.Body()) != body {
			t.Errorf("response relayed through the server: status %d, body of %d bytes", r.StatusCode(), len(r.Body()))
		}
	}
}

// A malformed load report or usage figure counts as absent, never as zero or as a new report.
func TestMalformedLoadReports(t *testing.T) {
	for _, x := range []struct {
		used, load string
		want       float64
		report     bool
	}{{"85", "util=0.5", 86, true}, {"0", "util=0", 1, true}, {"much", "util=much", 0, false}, {"-3", "util=0.5,queue=-1", 0, false},
		{"NaN", "", 0, false}, {"1e99", "util=1e99", 0, false}, {"", "what", 0, false}, {"8 5", "inflight=3,util=NaN", 0, false}} {
		var m fasthttp.Response
		m.Header.Set("Volume-Load", x.used)
		m.Header.Set("X-Load", x.load)
		if r := decodeResponse(&m, &nodeResponse{}); r.PlanUsage != x.want || (r.Load != nil) != x.report {
			t.Errorf("%+v: decoded as %+v", x, r)
		}
	}
}

// A connection is reused, unless the node has closed it while it was idle. In that case the attempt must not end as
// a connection reset.
func TestStaleConnection(t *testing.T) {
	keepOpen := make(chan bool, 3)
	n := newFakeNode(t, func(nc net.Conn) bool { _, _ = io.WriteString(nc, okResponse); return <-keepOpen })
	p := dialer().Connect("n", addressesOf(n.ln))
	keepOpen <- true
	sendOne(t, p)
	keepOpen <- false
	sendOne(t, p)
	if c := n.conns.Load(); c != 1 {
		t.Errorf("%d connections were opened for two consecutive attempts, want one", c)
	}
	<-n.ended // the node has closed the connection
	keepOpen <- true
	if r := sendOne(t, p); r.Status != policy.OK {
		t.Errorf("attempt after the node closed the idle connection ended with status %d", r.Status)
	}
}

func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if r := sendOne(t, dialer().Connect("n", addressesOf(ln))); r.Status != policy.ConnectFailed {
		t.Errorf("attempt on an address that refuses connections ended with status %d", r.Status)
	}
}

// An attempt that is in the node's mailbox when the node starts to drain is not written.
func TestDrainAppliesToMailbox(t *testing.T) {
	n := newFakeNode(t, respondWith(okResponse))
	p := dialer().Connect("n", addressesOf(n.ln))
	p.Drain(true)
	if r := sendOne(t, p); r.Status != policy.ConnectFailed || n.requests.Load() != 0 {
		t.Errorf("attempt ended with status %d, %d requests reached the draining node", r.Status, n.requests.Load())
	}
	p.Drain(false)
	if r := sendOne(t, p); r.Status != policy.OK {
		t.Errorf("attempt after the drain ended with status %d", r.Status)
	}
}

// A cancelled or timed-out attempt closes its connection, so that a late response cannot arrive on it.
func TestCancelledAttemptClosesConnection(t *testing.T) {
	arrived, closed := make(chan bool, 4), make(chan bool, 4)
	n := newFakeNode(t, func(nc net.Conn) bool {
		arrived <- true
		var b [1]byte
		_, err := nc.Read(b[:])
		closed <- err != nil
		return false
	})
	p := dialer().Connect("n", addressesOf(n.ln))
	a, got := attempt(t, inOneMinute())
	p.Send(a)
	<-arrived
	p.Cancel(a)
	if r := <-got; r.Status != policy.Cancelled || !<-closed {
		t.Errorf("cancelled attempt ended as %+v, or its connection stays open", r)
	}
	a, got = attempt(t, time.Now().Add(200*time.Millisecond))
	p.Send(a)
	if r := <-got; r.Status != policy.TimedOut && r.Status != policy.ConnectFailed {
		t.Errorf("attempt past its deadline ended as %+v", r)
	}
	a, got = attempt(t, time.Now().Add(-time.Second))
	p.Send(a)
	if r := <-got; r.Status != policy.Abandoned {
		t.Errorf("attempt sent after its deadline ended as %+v", r)
	}
}

// At the connection limit an attempt ends as one that has not run, and the busy connection is not affected.
func TestAttemptAtConnectionLimit(t *testing.T) {
	release := make(chan bool)
	n := newFakeNode(t, func(nc net.Conn) bool { <-release; _, _ = io.WriteString(nc, okResponse); return true })
	d := dialer()
	d.MaxConns = 1
	p := d.Connect("n", addressesOf(n.ln))
	a, got := attempt(t, inOneMinute())
	p.Send(a)
	if r := sendOne(t, p); r.Status != policy.ConnectFailed {
		t.Errorf("attempt at the connection limit ended with status %d", r.Status)
	}
	close(release)
	if r := <-got; r.Status != policy.OK {
		t.Errorf("attempt on the busy connection ended with status %d", r.Status)
	}
}

// frontHarness is a server with its core and one fake node.
type frontHarness struct {
	*fakeNode
	srv     *Server
	address string
	served  chan error
	dialer  *Dialer
}

// testSettings returns settings with long times, so that no test passes because a timeout expired.
func testSettings() policy.Settings {
	return policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, Shards: 8, MaxAttempts: 1, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
		Classes: []policy.Class{{Name: "balance-read", LatencyObjective: 30e3, Deadline: 60e3, PriorityWeight: 3},
			{Name: "new-record", LatencyObjective: 30e3, Deadline: 60e3, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 2500}},
		Plans: []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}}}
}

func newFront(t *testing.T, do script) *frontHarness {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFrontOn(t, ln, dialer(), do)
}

// newFrontOn starts a server on a listener. configure changes the server before it accepts connections.
func newFrontOn(t *testing.T, ln net.Listener, d *Dialer, do script, configure ...func(*Server)) *frontHarness {
	n := newFakeNode(t, do)
	settings := testSettings()
	var log *logrus.Logger
	log, _ = logtest.NewNullLogger()
	c, err := core.New(core.Options{Settings: settings, Seed: 1, NewNodeClient: d.Connect, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addressesOf(n.ln)}}})
	t.Cleanup(func() { ln.Close() })
	f := &frontHarness{fakeNode: n, srv: NewServer(c, settings, 50, log), address: ln.Addr().String(), served: make(chan error, 1), dialer: d}
	f.srv.http.ReadTimeout = time.Hour // so that no test passes because a timeout expired
	for _, change := range configure {
		change(f.srv)
	}
	go func() { f.served <- f.srv.Serve(ln, 50) }()
	return f
}

// send writes raw bytes on a new connection and reads one response.
func (f *frontHarness) send(t *testing.T, text string) *fasthttp.Response {
	t.Helper()
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, text)
	r := &fasthttp.Response{}
	if err := r.Read(bufio.NewReader(nc)); err != nil {
		t.Fatalf("request %.80q: no response: %v", text, err)
	}
	return r
}

func TestRequestIsForwardedAndAnswered(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	if r := f.send(t, validRequest); r.StatusCode() != 200 || string(r.Body()) != "abc" {
		t.Errorf("status %d, body %q", r.StatusCode(), r.Body())
	}
	q := f.last.Load()
	for name, want := range map[string]string{"X-Request-Id": "9b1f03aa5c7e2d41", "Idempotency-Key": "k1"} {
		if v := string(q.Header.Peek(name)); v != want {
			t.Errorf("header field %s arrived as %q", name, v)
		}
	}
	if string(q.Header.Method()) != "PUT" || string(q.Header.RequestURI()) != "/new-record/x?y=1" || string(q.Body()) != "hello" {
		t.Errorf("request was forwarded as %s", q)
	}
	if r := f.send(t, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode() != 200 {
		t.Errorf("readiness check: status %d", r.StatusCode())
	}
}

// Invalid requests are rejected, never reach a node and never crash the program.
func TestInvalidRequests(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	edit := func(old, new string) string { return strings.Replace(validRequest, old, new, 1) }
	for _, x := range []struct {
		text string
		code int
	}{
		{edit("X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""), 400},
		{edit("9b1f03aa5c7e2d41", strings.Repeat("9", 200)), 400},
		{edit("Tier: basic\r\n", ""), 400},
		{edit("extent=7f3a9c21e0b4d655", "extent=7f3a"), 400},
		{edit("60000", "soon"), 400}, {edit("60000", "-5"), 400}, {edit("60000", "99999999999"), 400},
		{edit("units=2,", ""), 400}, {edit("units=2", "units=NaN"), 400}, {edit("units=2", "units=0"), 400},
		{edit("shard=0", "shard=-2"), 400}, {edit("shard=0", "shard=8"), 400}, {edit("hosts=3", "hosts=0"), 400}, {edit("hosts=3", "hosts=3,hosts=4"), 400},
		{edit("volume=00000003b4d60021", "volume=xx"), 400},
		{edit("Idempotency-Key: k1\r\n", ""), 400},
		{edit("PUT", "DELETE"), 405},
		{edit("/new-record", "/other"), 404}, {edit("Tier: basic", "Tier: none"), 404},
		{edit("PUT ", "GET "), 400},
		{edit("Content-Length: 5", "Content-Length: 40000000") + strings.Repeat("x", 69995), 413},
		{"nonsense\r\n\r\n", 400},
		// requests that could smuggle in another one, or whose fields are ambiguous
		{edit("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked") + "5\r\nhello\r\n0\r\n\r\n" + validRequest, 400},
		{edit("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"), 400},
		{edit("Content-Length: 5", "Content-Length: 5\r\ncontent-length: 5"), 400},
		{edit("Content-Length: 5", "Content-Length: +5"), 400}, {edit("Content-Length: 5", "Content-Length: -5"), 400},
		{edit("Content-Length: 5", "Content-Length: 5, 5"), 400}, {edit("Content-Length: 5", "Content-Length: 99999999999999999999"), 400},
		{edit("Content-Length: 5", "Content-Length : 5"), 400}, {edit("Content-Length: 5", "Transfer-Encoding: xchunked"), 400},
		{strings.Replace(edit("PUT ", "GET "), "Content-Length: 5", "Transfer-Encoding: chunked", 1) + "0\r\n\r\n", 400},
		{edit("Tier: basic", "Tier: basic\r\ntier: none"), 400}, {edit("X-Request-Id: 9", "X-Request-Id: 8\r\nX-Request-Id: 9"), 400},
		{edit("Tier: basic\r\n", "Tier: basic\n"), 400}, {edit("HTTP/1.1", "HTTP/2.7"), 400},
		{edit("units=2", "units=7"), 400}, {edit("Host: origin.svc", "X-Long: "+strings.Repeat("x", 2*maxHeadSize)), 431},
	} {
		r := f.send(t, x.text)
		if r.StatusCode() != x.code {
			t.Errorf("request %.60q...: status %d, body %q, want status %d", x.text, r.StatusCode(), r.Body(), x.code)
		}
		if r.StatusCode() != 404 && !r.ConnectionClose() {
			t.Errorf("request %.60q...: the connection stays open after the rejection", x.text)
		}
	}
	if n := f.requests.Load(); n != 0 {
		t.Errorf("%d invalid requests reached the node", n)
	}
}

// Clients that send nothing, half a request, or stay connected after one request do not prevent another client from being
// served.
func TestSilentClients(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	for i := range 120 { // the connection cap is 50
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close() //nolint:gocritic // all are closed at the end of the test
		if i%10 == 0 {
			_, _ = io.WriteString(nc, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		}
		if i%40 == 1 {
			_, _ = io.WriteString(nc, validRequest[:60])
		}
	}
	if r := f.send(t, validRequest); r.StatusCode() != 200 {
		t.Errorf("request beside silent clients: status %d", r.StatusCode())
	}
}

// A rejection is a 503 with Retry-After; a failure is neither 429 nor 503.
func TestRejectionAndFailureStatus(t *testing.T) {
	f := newFront(t, respondWith("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	r := f.send(t, validRequest)
	if wait := string(r.Header.Peek("Retry-After")); r.StatusCode() != 503 || !strings.Contains(wait, ".") {
		t.Errorf("request that the node rejected: status %d, Retry-After %q", r.StatusCode(), wait)
	}
	f = newFront(t, func(net.Conn) bool { return false })
	if r := f.send(t, validRequest); r.StatusCode() != 502 {
		t.Errorf("write that may have run: status %d", r.StatusCode())
	}
	f = newFront(t, respondWith("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"))
	if r := f.send(t, validRequest); r.StatusCode() != 400 {
		t.Errorf("request that the node found invalid: status %d", r.StatusCode())
	}
}

// When the client disconnects while the node works on its request, the attempt is cancelled.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	arrived, closed := make(chan bool, 1), make(chan bool, 1)
	f := newFront(t, func(nc net.Conn) bool {
		arrived <- true
		_, err := nc.Read(make([]byte, 1))
		closed <- err != nil
		return false
	})
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, validRequest)
	<-arrived
	nc.Close()
	if !<-closed {
		t.Error("attempt was not cancelled after its client disconnected")
	}
	if nc, err = net.Dial("tcp", f.address); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, validRequest)
	<-arrived
	// More than is read ahead, so that input is unread when the client disconnects.
	_, _ = io.WriteString(nc, strings.Repeat(validRequest, 100))
	nc.Close()
	if !<-closed {
		t.Error("attempt was not cancelled with unread input on the connection")
	}
}

// Pipelined requests are all served: watching for a disconnect consumes none of their bytes.
func TestPipelinedRequests(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for i := range 20 {
		_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1))
	}
	br := bufio.NewReader(nc)
	for i := range 20 {
		r := &fasthttp.Response{}
		if err := r.Read(br); err != nil || r.StatusCode() != 200 {
			t.Fatalf("request %d: %v, status %d", i, err, r.StatusCode())
		}
	}
}

// Shutdown answers the requests in flight before it returns, and forwards none that arrive later. Further pipelined requests
// are not read, and closing the connection with unread input does not lose the response.
func TestShutdownAnswersAcceptedRequests(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	f := newFront(t, func(nc net.Conn) bool { arrived <- true; <-release; return respondWith(okResponse)(nc) })
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, validRequest)
	<-arrived
	for i := range 100 { // more than is read ahead, so that input is unread at the close
		_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1))
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.srv.Shutdown(context.Background()) }()
	t.Log("server stopped accepting:", <-f.served)
	close(release)
	br := bufio.NewReader(nc)
	r := &fasthttp.Response{}
	if err := r.Read(br); err != nil || string(r.Body()) != "abc" || !r.ConnectionClose() {
		t.Errorf("response to the request in flight: error %v, %q", err, r)
	}
	if err := r.Read(br); err == nil {
		t.Errorf("a request that arrived after the shutdown began got a response: %s", r)
	}
	if err := <-shutdownErr; err != nil || f.requests.Load() != 1 {
		t.Errorf("shutdown ended with %v, %d requests reached the node, want 1", err, f.requests.Load())
	}
}

// After ReserveIdleConns a request that would use the last idle connection is rejected, so that clients, which open no new
// connections to a stopping program, find a connection for their next request. Requests in flight are not affected.
func TestReserveIdleConns(t *testing.T) {
	arrived, release := make(chan bool, 2), make(chan bool)
	var f *frontHarness
	f = newFront(t, func(nc net.Conn) bool {
		if f.requests.Load() <= 2 {
			arrived <- true
			<-release
		}
		return respondWith(okResponse)(nc)
	})
	var conns [3]net.Conn
	for i := range conns {
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close() //nolint:gocritic // all are closed at the end of the test
		conns[i] = nc
	}
	for f.srv.ln.Load() == nil || f.srv.ln.Load().OpenCount() < len(conns) {
		runtime.Gosched()
	}
	f.srv.ReserveIdleConns()
	writeRequest := func(i int) {
		_, _ = io.WriteString(conns[i], strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1))
	}
	writeRequest(0)
	<-arrived
	writeRequest(1)
	<-arrived
	writeRequest(2)
	read := func(i int) *fasthttp.Response {
		r := &fasthttp.Response{}
		if err := r.Read(bufio.NewReader(conns[i])); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := read(2); r.StatusCode() != 503 || len(r.Header.Peek("Retry-After")) == 0 {
		t.Errorf("request on the last idle connection: status %d", r.StatusCode())
	}
	close(release)
	if a, b := read(0).StatusCode(), read(1).StatusCode(); a != 200 || b != 200 {
		t.Errorf("requests on the other connections: status %d and %d", a, b)
	}
	if f.requests.Load() != 2 {
		t.Errorf("%d requests reached the node, want 2", f.requests.Load())
	}
}

// A truncated request is never parsed as a complete one, and random input never causes a panic.
func TestParsers(t *testing.T) {
	encoded := &nodeRequest{}
	rapid.Check(t, func(rt *rapid.T) {
		var m fasthttp.Request
		cut := rapid.IntRange(0, len(validRequest)-1).Draw(rt, "cut")
		if err := m.Read(bufio.NewReader(strings.NewReader(validRequest[:cut]))); err == nil {
			rt.Fatalf("request truncated at byte %d was accepted", cut)
		}
		noise := rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(rt, "noise")
		at := rapid.IntRange(0, len(validRequest)).Draw(rt, "at")
		text := append(append([]byte(validRequest[:at]), noise...), validRequest[min(len(validRequest), at+len(noise)):]...)
		m.Reset()
		if m.Read(bufio.NewReader(bytes.NewReader(text))) == nil {
			if r, err := decode(&m, &testBounds); err == nil {
				encoded = r.Payload.(*nodeRequest)
				if !(r.Units > 0) || r.Schedulers < 1 || r.Shard < -1 || r.Timeout <= 0 || !isHex16([]byte(r.Volume)) {
					rt.Fatalf("invalid request was accepted: %+v", r.Request)
				}
				var back fasthttp.Request
				if err := back.Read(bufio.NewReader(bytes.NewReader(encoded.encode(nil, time.Second)))); err != nil ||
					!bytes.Equal(back.Body(), m.Body()) || !bytes.Equal(back.Header.RequestURI(), m.Header.RequestURI()) {
					rt.Fatalf("encoded as another message: %v", err)
				}
			}
		}
		_ = decodeIOInfo(string(noise), &policy.Request{})
		if l := decodeLoad(string(noise)); l != nil && (l.Util < -1 || l.Queue < -1 || l.Inflight < -1) {
			rt.Fatalf("load decoded as %+v", l)
		}
		if v, ok := parseNonNegative(noise); !(v >= 0 && v <= 1e12) || !ok && v != 0 {
			rt.Fatalf("number parsed as %v", v)
		}
	})
	if l := decodeLoad("inflight=7,queue=2,util=0.61"); l == nil || l.Inflight != 7 || l.Queue != 2 || l.Util != 0.61 {
		t.Errorf("load decoded as %+v", l)
	}
}

// Each request of a recorded access log and of a HAR file is served.
func TestReplayedRequestsAreServed(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	for name, want := range map[string]int{"access.log": 4, "small.har": 2} {
		in, err := os.Open("../replay/testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		rec, err := replay.Read(in, replay.Mapping{Plan: "basic", UnitBytes: 4096, MaxUnits: 6, Shards: 1, Hosts: 1,
			Classes: map[string]time.Duration{"balance-read": time.Minute, "new-record": time.Minute}})
		_ = in.Close()
		if err != nil || len(rec.Entries) != want {
			t.Fatalf("%s: %d entries were read, error %v", name, len(rec.Entries), err)
		}
		for _, e := range rec.Entries {
			e.Request.Plan, e.Request.Shard, e.Request.Timeout = "basic", 0, time.Minute
			if r := f.send(t, string(e.AppendHTTP(nil, name+e.Request.ID))); r.StatusCode() != 200 {
				t.Errorf("%s: line %d: status %d, body %q", name, e.Line, r.StatusCode(), r.Body())
			}
		}
	}
	if n := f.requests.Load(); n != 6 {
		t.Errorf("%d requests reached the node, want 6", n)
	}
}

// An attempt waits for a busy connection for as long as FreeConnWait, in order of arrival. If it is cancelled, or the node
// starts to drain, it is never written.
func TestAttemptWaitsForBusyConnection(t *testing.T) {
	release := make(chan bool)
	n := newFakeNode(t, func(nc net.Conn) bool { <-release; _, err := io.WriteString(nc, okResponse); return err == nil })
	d := dialer()
	d.FreeConnWait = time.Hour
	p := d.Connect("n", addressesOf(n.ln))
	sendAttempt := func() (*core.Attempt, chan core.Result) {
		a, got := attempt(t, inOneMinute())
		p.Send(a)
		return a, got
	}
	_, first := sendAttempt()
	second, waiting := sendAttempt()
	_, beyond := sendAttempt() // one attempt waits for each busy connection, so this one opens its own
	p.Cancel(second)
	if r := <-waiting; r.Status != policy.Cancelled {
		t.Errorf("attempt that was cancelled while waiting ended as %+v", r)
	}
	_, behind := sendAttempt()
	// Each of the two requests is on its own connection; otherwise the first connection would serve both.
	waitFor(t, func() bool { return n.requests.Load() == 2 })
	release <- true
	release <- true
	release <- true
	for _, got := range []chan core.Result{first, beyond, behind} {
		if r := <-got; r.Status != policy.OK {
			t.Errorf("attempt ended as %+v", r)
		}
	}
	if n.requests.Load() != 3 || n.conns.Load() != 2 {
		t.Errorf("%d requests on %d connections, want 3 on 2", n.requests.Load(), n.conns.Load())
	}
	p = d.Connect("m", addressesOf(n.ln)) // has no connection yet
	_, inFlight := sendAttempt()
	waitFor(t, func() bool { return n.requests.Load() == 4 })
	_, drained := sendAttempt()
	p.Drain(true)
	if r := <-drained; r.Status != policy.ConnectFailed {
		t.Errorf("attempt that waited when the node began to drain ended as %+v", r)
	}
	release <- true
	if r := <-inFlight; r.Status != policy.OK {
		t.Errorf("attempt ended as %+v", r)
	}
}

// An attempt gets a connection of its own when its wait for a busy connection has expired, or when that connection is
// closed.
func TestConnectionWaitEnds(t *testing.T) {
	block := make(chan bool)
	n := newFakeNode(t, func(net.Conn) bool { return <-block })
	d := dialer()
	d.FreeConnWait = time.Millisecond
	p := d.Connect("n", addressesOf(n.ln))
	for range 2 {
		a, _ := attempt(t, inOneMinute())
		p.Send(a)
	}
	waitFor(t, func() bool { return n.requests.Load() == 2 })
	d.FreeConnWait = time.Hour
	q := d.Connect("m", addressesOf(n.ln))
	a, cancelled := attempt(t, inOneMinute())
	q.Send(a)
	b, _ := attempt(t, inOneMinute())
	q.Send(b)
	waitFor(t, func() bool { return n.requests.Load() == 3 })
	q.Cancel(a) // its connection is closed and not reused
	if r := <-cancelled; r.Status != policy.Cancelled {
		t.Errorf("cancelled attempt ended as %+v", r)
	}
	waitFor(t, func() bool { return n.requests.Load() == 4 })
	close(block)
}

// waitFor polls until a condition is met.
func waitFor(t *testing.T, met func() bool) {
	t.Helper()
	for range 20000 {
		if met() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition was not met in time")
}
