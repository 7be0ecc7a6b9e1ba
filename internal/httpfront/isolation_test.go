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

// isolationHarness is a server with two plans, one of which has a rate limit that admits nothing during a test. Its fake node
// describes the whole request in its response, and counts arrivals by request id.
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
	settings := testSettings()
	settings.Plans = append(settings.Plans, policy.Plan{Name: "capped", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 1e-6, LimitBurst: 6})
	log, _ := logtest.NewNullLogger()
	c, err := core.New(core.Options{Settings: settings, Seed: 1, NewNodeClient: dialer().Connect, Log: log})
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
	srv := NewServer(c, settings, 50, log)
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
				text := responseText(string(q.Header.Method()), string(q.Header.RequestURI()), string(q.Header.Peek("X-Request-Id")),
					string(q.Header.Peek("Idempotency-Key")), q.Body())
				if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Of: %s\r\n\r\n%s", len(text),
					q.Header.Peek("X-Request-Id"), text); err != nil {
					return
				}
			}
		}()
	}
}

// longResponseSize exceeds the buffered part of a response, so that the rest is relayed.
const longResponseSize = 3 * maxBufferedBody

// responseText returns the body of the node's response to a request. The response to a path that ends in /long is long.
func responseText(method, uri, id, key string, body []byte) string {
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

// check reads the response to a request, which must describe that request only.
func (a *tenantRequest) check(t *testing.T, br *bufio.Reader) {
	t.Helper()
	r := &fasthttp.Response{}
	if err := r.Read(br); err != nil {
		t.Fatalf("request %s: no response: %v", a.id, err)
	}
	hasRetryAfter, code := len(r.Header.Peek("Retry-After")) > 0, r.StatusCode()
	if a.code == 503 && code == 504 { // the machine was busy and the deadline passed first
		code, hasRetryAfter = 503, true
	}
	if code != a.code || hasRetryAfter != (a.code == 503) || r.ConnectionClose() {
		t.Fatalf("request %s: status %d, want %d; Retry-After %v, Connection: close %v", a.id, r.StatusCode(), a.code, hasRetryAfter, r.ConnectionClose())
	}
	if want := responseText(a.method(), a.path, a.id, a.key, a.body); a.code == 200 && string(r.Body()) != want {
		t.Errorf("request %s: response of %d bytes %.120q, want %d bytes %.120q", a.id, len(r.Body()), r.Body(), len(want), want)
	}
	if strings.Contains(r.String(), "IO-Info") || len(r.Header.Peek("X-Of")) > 0 {
		t.Errorf("request %s: the response has header fields of another message", a.id)
	}
}

const limitedTimeout = 200 * time.Millisecond

// tenantRequests returns requests of two volumes and two plans, alternating, with equal keys, various sizes and all outcomes.
func tenantRequests(run string) (requests []*tenantRequest) {
	volumes := [2]string{"00000000000000a" + run, "00000000000000b" + run}
	add := func(a tenantRequest) {
		a.id, a.units = fmt.Sprint(run, "-", len(requests)), max(a.units, 1)
		if a.code == 0 {
			a.code = 200
		}
		requests = append(requests, &a)
	}
	for i, size := range []int{0, 5, maxBufferedBody, maxBufferedBody + 1, 3} {
		content := bytes.Repeat([]byte{byte('A' + i)}, size)
		for v, volume := range volumes {
			key := fmt.Sprint("k", i) // the same for both volumes
			body := append([]byte(volume), content...)
			add(tenantRequest{path: "/new-record/x", volume: volume, plan: "basic", key: key, body: body, chunked: i%2 == v})
			add(tenantRequest{path: "/balance-read/long", volume: volume, plan: "basic", key: key + volume})
			add(tenantRequest{path: "/balance-read/y?z=" + volume, volume: volume, plan: "basic"})
			add(tenantRequest{path: "/no-such-class", volume: volume, plan: "basic", code: 404})
			add(tenantRequest{path: "/balance-read", volume: volume, plan: "none", code: 404})
		}
	}
	// A request that waits for the limit of one plan until its deadline does not delay requests of the other plan.
	for _, volume := range volumes {
		add(tenantRequest{path: "/balance-read", volume: volume, plan: "capped", timeout: limitedTimeout, code: 503})
		add(tenantRequest{path: "/balance-read", volume: volume, plan: "basic"})
	}
	return requests
}

// Requests of two volumes and two plans on one connection, sequential and pipelined, and on several connections at once: each
// response belongs to its own request, the node gets each request once and unchanged, the limit of one plan does not affect the
// other, and each request is counted in its own class.
func TestTenantsAreIsolated(t *testing.T) {
	f := newIsolationHarness(t)
	var mu sync.Mutex
	var all []*tenantRequest
	run := func(t *testing.T, id string, pipelined bool) {
		requests := tenantRequests(id)
		mu.Lock()
		all = append(all, requests...)
		mu.Unlock()
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		if pipelined {
			go func() {
				for _, a := range requests {
					_, _ = nc.Write(a.text())
				}
			}()
		}
		for _, a := range requests {
			if !pipelined {
				_, _ = nc.Write(a.text())
			}
			a.check(t, br)
		}
	}
	run(t, "1", false)
	run(t, "2", true)
	t.Run("concurrent connections", func(t *testing.T) {
		for _, id := range []string{"3", "4", "5", "6"} {
			t.Run(id, func(t *testing.T) {
				t.Parallel()
				run(t, id, id < "5")
			})
		}
	})
	served := map[string]int64{}
	for _, a := range all {
		want := 0
		if a.code == 200 {
			want = 1
			served[strings.Split(a.path, "/")[1]]++
		}
		f.mu.Lock()
		if n := f.arrivals[a.id]; n != want {
			t.Errorf("request %s reached the node %d times, want %d", a.id, n, want)
		}
		f.mu.Unlock()
	}
	got := f.core.Counters().Snapshot()
	for class, want := range served {
		if got.Served[class] != want {
			t.Errorf("class %s: %d requests counted as served, want %d", class, got.Served[class], want)
		}
	}
}

// A client that does not read its long response delays no other client. When it reads, the response is complete, and its
// connection serves the next request.
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
	if _, err := br.Peek(1); err != nil { // the response has begun
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

// A short or long response that arrives after its client has disconnected is discarded: later requests on other connections get
// their own responses, and the core holds nothing of the cancelled request.
func TestResponseAfterClientDisconnect(t *testing.T) {
	for _, path := range []string{"/balance-read", "/balance-read/long"} {
		f := newIsolationHarness(t)
		f.barrier.closed.Store(true)
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		cancelled := &tenantRequest{id: "gone", path: path, volume: "000000000000000a", plan: "basic", units: 1}
		_, _ = nc.Write(cancelled.text())
		<-f.barrier.reached
		release := blockCore(t, f.core) // the core handles the cancel after the response
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

// A response that is not yet written to its client does not change while its connection carries the next one.
func TestResponseBodySurvivesNextExchange(t *testing.T) {
	var count atomic.Int64
	n := newFakeNode(t, func(nc net.Conn) bool {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswer-%d", count.Add(1))
		return err == nil
	})
	p := dialer().Connect("n", addressesOf(n.ln))
	defer p.Close()
	first, second := sendOne(t, p), sendOne(t, p)
	if n.conns.Load() != 1 {
		t.Fatal("the attempts used two connections, want one")
	}
	for want, r := range map[string]core.Result{"answer-1": first, "answer-2": second} {
		if got := string(r.Payload.(*nodeResponse).body); got != want {
			t.Errorf("response body %q, want %q", got, want)
		}
	}
}

// A decoded request does not change while the server reads the next one into the same message.
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
	describe := func(r *core.Request) string {
		return fmt.Sprintf("%+v %s", r.Request, r.Payload.(*nodeRequest).encode(nil, time.Second))
	}
	first := read(validRequest)
	before := describe(first)
	second := read(next)
	if after := describe(first); after != before {
		t.Errorf("the first request was\n%s\nand is now\n%s", before, after)
	}
	if describe(second) == before {
		t.Error("the second message equals the first")
	}
}
