package httpfront

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// isolationHarness is a front with two plans, one of them with a limit that lets nothing through while a test runs, over a node whose answer tells the whole request that it
// was sent, and that keeps what it was sent by id.
type isolationHarness struct {
	t        *testing.T
	core     *core.Core
	address  string
	mu       sync.Mutex
	arrivals map[string]int
	barrier  *barrier
}

func newIsolationHarness(t *testing.T) *isolationHarness {
	t.Helper()
	set := testSettings()
	set.Plans = append(set.Plans, policy.Plan{Name: "capped", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 1e-6, LimitBurst: 6})
	log, _ := logtest.NewNullLogger()
	c, err := core.New(core.Options{Settings: set, Seed: 1, NewNodeClient: dialer().Connect, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	f := &isolationHarness{t: t, core: c, arrivals: map[string]int{}, barrier: newBarrier()}
	t.Cleanup(f.barrier.release)
	node, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	go f.serve(node)
	c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addressesOf(node)}}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f.address = ln.Addr().String()
	srv := NewServer(c, set, 50, log)
	srv.http.ReadTimeout = time.Hour
	go func() { _ = srv.Serve(ln, 50) }()
	return f
}

func (f *isolationHarness) serve(ln net.Listener) {
	for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
		go func() {
			defer nc.Close()
			br := bufio.NewReader(nc)
			for {
				var q fasthttp.Request
				if q.Read(br) != nil {
					return
				}
				f.mu.Lock()
				f.arrivals[string(q.Header.Peek("X-Request-Id"))]++
				f.mu.Unlock()
				f.barrier.pass()
				text := requestText(string(q.Header.Method()), string(q.Header.RequestURI()), string(q.Header.Peek("X-Request-Id")),
					string(q.Header.Peek("Idempotency-Key")), q.Body())
				if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Of: %s\r\n\r\n%s", len(text),
					q.Header.Peek("X-Request-Id"), text); err != nil {
					return
				}
			}
		}()
	}
}

// longResponseSize is over what is held of an answer: the rest is relayed.
const longResponseSize = 3 * maxBufferedBody

// requestText returns the node's answer to a request; one to a path that ends so is long.
func requestText(method, uri, id, key string, body []byte) string {
	text := fmt.Sprintf("%s %s %s %q %x\n", method, uri, id, key, sha256.Sum256(body))
	if strings.HasSuffix(uri, "/long") {
		text = strings.Repeat(text, longResponseSize/len(text)+1)
	}
	return text
}

// tenantRequest is a client's request.
type tenantRequest struct {
	id, path, volume, plan, key string
	body                        []byte // nil: a read
	chunked                     bool
	units                       int
	timeout                     time.Duration // 0: a minute
	code                        int           // 503: not served
}

func (a *tenantRequest) method() string {
	if a.body == nil {
		return "GET"
	}
	return "PUT"
}

func (a *tenantRequest) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: o\r\nX-Request-Id: %s\r\nTier: %s\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: %d\r\n"+
		"IO-Info: volume=%s,units=%d,shard=0,hosts=1\r\n", a.method(), a.path, a.id, a.plan, cmp.Or(a.timeout, time.Minute).Milliseconds(), a.volume, a.units)
	if a.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.key)
	}
	switch {
	case a.body == nil:
		b.WriteString("\r\n")
	case a.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(a.body), a.body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	}
	return b.Bytes()
}

// check reads the answer of a request, which tells of that request alone.
func (a *tenantRequest) check(t *testing.T, br *bufio.Reader) {
	t.Helper()
	r := &fasthttp.Response{}
	if err := r.Read(br); err != nil {
		t.Fatalf("%s: %v", a.id, err)
	}
	waits, code := len(r.Header.Peek("Retry-After")) > 0, r.StatusCode()
	if a.code == 503 && code == 504 { // this machine was late
		code, waits = 503, true
	}
	if code != a.code || waits != (a.code == 503) || r.ConnectionClose() {
		t.Fatalf("%s: %d, want %d; Retry-After %v, closes %v", a.id, r.StatusCode(), a.code, waits, r.ConnectionClose())
	}
	if want := requestText(a.method(), a.path, a.id, a.key, a.body); a.code == 200 && string(r.Body()) != want {
		t.Errorf("%s: answered %d bytes %.120q, want %d %.120q", a.id, len(r.Body()), r.Body(), len(want), want)
	}
	if strings.Contains(r.String(), "IO-Info") || len(r.Header.Peek("X-Of")) > 0 {
		t.Errorf("%s: the answer has fields of a message that is not its own", a.id)
	}
}

const limitedTimeout = 200 * time.Millisecond

// tenantRequests is requests of two volumes on two plans in turn, with equal keys, of all sizes and ends.
func tenantRequests(run string) (mix []*tenantRequest) {
	volumes := [2]string{"00000000000000a" + run, "00000000000000b" + run}
	add := func(a tenantRequest) {
		a.id, a.units = fmt.Sprint(run, "-", len(mix)), max(a.units, 1)
		if a.code == 0 {
			a.code = 200
		}
		mix = append(mix, &a)
	}
	for i, size := range []int{0, 5, maxBufferedBody, maxBufferedBody + 1, 3} {
		of := bytes.Repeat([]byte{byte('A' + i)}, size)
		for v, volume := range volumes {
			key := fmt.Sprint("k", i) // equal under both
			mine := append([]byte(volume), of...)
			add(tenantRequest{path: "/new-record/x", volume: volume, plan: "basic", key: key, body: mine, chunked: i%2 == v})
			add(tenantRequest{path: "/balance-read/long", volume: volume, plan: "basic", key: key + volume})
			add(tenantRequest{path: "/balance-read/y?z=" + volume, volume: volume, plan: "basic"})
			add(tenantRequest{path: "/no-such-class", volume: volume, plan: "basic", code: 404})
			add(tenantRequest{path: "/balance-read", volume: volume, plan: "none", code: 404})
		}
	}
	// What waits for the one plan's limit in vain holds up no request on the other.
	for _, volume := range volumes {
		add(tenantRequest{path: "/balance-read", volume: volume, plan: "capped", timeout: limitedTimeout, code: 503})
		add(tenantRequest{path: "/balance-read", volume: volume, plan: "basic"})
	}
	return mix
}

// Two volumes and two plans on one connection, one after another and sent ahead, and on several connections at once: each answer
// is its own request's, the node is sent each once and as it was, no limit of one binds the other, and each is counted in its
// own class.
func TestTenantsAreIsolated(t *testing.T) {
	f := newIsolationHarness(t)
	var mu sync.Mutex
	var all []*tenantRequest
	run := func(t *testing.T, id string, ahead bool) {
		mix := tenantRequests(id)
		mu.Lock()
		all = append(all, mix...)
		mu.Unlock()
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		if ahead {
			go func() {
				for _, a := range mix {
					_, _ = nc.Write(a.text())
				}
			}()
		}
		for _, a := range mix {
			if !ahead {
				_, _ = nc.Write(a.text())
			}
			a.check(t, br)
		}
	}
	run(t, "1", false)
	run(t, "2", true)
	t.Run("at once", func(t *testing.T) {
		for _, id := range []string{"3", "4", "5", "6"} {
			t.Run(id, func(t *testing.T) {
				t.Parallel()
				run(t, id, id < "5")
			})
		}
	})
	passed := map[string]int64{}
	for _, a := range all {
		want := 0
		if a.code == 200 {
			want = 1
			passed[strings.Split(a.path, "/")[1]]++
		}
		f.mu.Lock()
		if n := f.arrivals[a.id]; n != want {
			t.Errorf("%s came to the node %d times, want %d", a.id, n, want)
		}
		f.mu.Unlock()
	}
	got := f.core.Counters().Snapshot()
	for class, want := range passed {
		if got.Served[class] != want {
			t.Errorf("%s: %d counted as served, %d were", class, got.Served[class], want)
		}
	}
}

// A client that takes nothing of its long answer holds up no other, and has it whole when it does; its connection then serves the
// next request.
func TestSlowReaderDoesNotDelayOthers(t *testing.T) {
	f := newIsolationHarness(t)
	slow, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	long := &tenantRequest{id: "slow", path: "/balance-read/long", volume: "000000000000000a", plan: "basic", units: 1, code: 200}
	_, _ = slow.Write(long.text())
	br := bufio.NewReader(slow)
	if _, err := br.Peek(1); err != nil { // it has begun
		t.Fatal(err)
	}
	quick, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer quick.Close()
	qr := bufio.NewReader(quick)
	for i := range 10 {
		a := &tenantRequest{id: fmt.Sprint("quick", i), path: "/balance-read/long", volume: "000000000000000b", plan: "basic", units: 1, code: 200}
		_, _ = quick.Write(a.text())
		a.check(t, qr)
	}
	long.check(t, br)
	again := &tenantRequest{id: "again", path: "/new-record", volume: "000000000000000a", plan: "basic", key: "k", body: []byte("x"), units: 1, code: 200}
	_, _ = slow.Write(again.text())
	again.check(t, br)
}

// An answer that comes after its client has gone, short or long, reaches nobody: the next request on any connection has its own,
// and nothing is held for the one that went.
func TestResponseAfterClientDisconnect(t *testing.T) {
	for _, path := range []string{"/balance-read", "/balance-read/long"} {
		f := newIsolationHarness(t)
		f.barrier.closed.Store(true)
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		gone := &tenantRequest{id: "gone", path: path, volume: "000000000000000a", plan: "basic", units: 1}
		_, _ = nc.Write(gone.text())
		<-f.barrier.reached
		release := blockCore(t, f.core) // the cancel comes after the answer
		nc.Close()
		f.barrier.release()
		other, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close() //nolint:gocritic // all are closed at the end of the test
		next := &tenantRequest{id: "next", path: path, volume: "000000000000000b", plan: "basic", units: 1, code: 200}
		_, _ = other.Write(next.text())
		release()
		br := bufio.NewReader(other)
		for range 3 {
			next.check(t, br)
			next.id += "+"
			_, _ = other.Write(next.text())
		}
		next.check(t, br)
		waitFor(t, func() bool { return f.core.OpenRequests() == 0 })
	}
}

// An answer that its client has not yet taken stays as it is while its connection carries the next one.
func TestResponseBodySurvivesNextExchange(t *testing.T) {
	var said atomic.Int64
	n := newFakeNode(t, func(nc net.Conn) bool {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer-%d", said.Add(1))
		return err == nil
	})
	p := dialer().Connect("n", addressesOf(n.ln))
	defer p.Close()
	first, second := sendOne(t, p), sendOne(t, p)
	if n.conns.Load() != 1 {
		t.Fatal("two connections: the crossing was not reached")
	}
	for want, r := range map[string]core.Result{"answer-1": first, "answer-2": second} {
		if got := string(r.Payload.(*nodeResponse).body); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// What is kept of a request stays as it is while the server reads the next one into the same message.
func TestRequestSurvivesMessageReuse(t *testing.T) {
	next := strings.NewReplacer("9b1f03aa5c7e2d41", "0000000000000002", "basic", "other", "7f3a9c21e0b4d655", "0000000000000003",
		"new-record", "old-record", "k1", "k2", "00000003b4d60021", "0000000000000004", "hello", "HELLO").Replace(validRequest)
	var m fasthttp.Request
	read := func(text string) *core.Request {
		m.Reset()
		if err := m.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
			t.Fatal(err)
		}
		r, err := decode(&m, &testBounds)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	sent := func(r *core.Request) string {
		return fmt.Sprintf("%+v %s", r.Request, r.Payload.(*nodeRequest).encode(nil, time.Second))
	}
	first := read(validRequest)
	before := sent(first)
	second := read(next)
	if after := sent(first); after != before {
		t.Errorf("it was\n%s\nand is\n%s", before, after)
	}
	if sent(second) == before {
		t.Error("the second message is the first")
	}
}
