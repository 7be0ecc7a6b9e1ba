package httpfront

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/policy"
)

// A fleet of fake nodes with random faults, and clients that repeat a request after a rejection, as the protocol lets them: with a new id, and
// under the same idempotency key where the class has one. No request that may not run twice runs twice.

var promiseSeeds = flag.Uint64("promise-seeds", 8, "number of random series of TestNoRequestRunsTwiceAfterARejection")

// executions counts how often each client's request ran, and discards repeats by key for a while.
type executions struct {
	window time.Duration

	mu         sync.Mutex
	registered map[string]time.Time // by key: when a node received it first
	counts     map[string]int       // by the client's request
}

// register reports whether a node that receives a request may run it. A node remembers a key from its receipt on.
func (e *executions) register(scope, key string) bool {
	if key == "" {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	key = scope + key
	if at, known := e.registered[key]; known && time.Since(at) < e.window {
		return false
	}
	e.registered[key] = time.Now()
	return true
}

func (e *executions) run(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[request]++
}

func (e *executions) of(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[request]
}

// promiseFleet is the system under test with its fake nodes.
type promiseFleet struct {
	t          *testing.T
	rng        *rand.Rand
	rngMu      sync.Mutex // guards rng
	settings   policy.Settings
	executions executions
	address    string
	hangs      chan struct{} // closed at the end
}

func (f *promiseFleet) random(n int) int {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return f.rng.IntN(n)
}

func (f *promiseFleet) milliseconds(from, to int) time.Duration {
	return time.Duration(from+f.random(to-from)) * time.Millisecond
}

// newPromiseFleet draws settings and starts a front before two nodes.
func newPromiseFleet(t *testing.T, seed uint64) *promiseFleet {
	f := &promiseFleet{t: t, rng: rand.New(rand.NewPCG(seed, 59)), hangs: make(chan struct{})}
	t.Cleanup(func() { close(f.hangs) })
	class := func(name string, effect policy.Effect) policy.Class {
		deadline := float64(300 + f.random(1500))
		return policy.Class{Name: name, LatencyObjective: deadline * (0.3 + 0.6*f.rng.Float64()), Deadline: deadline, PriorityWeight: 1, Effect: effect,
			DedupScope: []policy.DedupScope{policy.DedupAll, policy.DedupAll, policy.DedupShard}[f.random(3)], DedupWindow: float64(200 + f.random(1300))}
	}
	f.settings = policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, Shards: 8, MaxAttempts: 1 + f.random(4), MayCancel: f.random(2) == 0,
		MayHedge: f.random(2) == 0, SendsRetryAfter: f.random(3) > 0, MaxRetryAfter: float64(100 + f.random(900)), DrainGrace: 250, SlowStartUnits: 100,
		SlowStartShare: 0.25, SlowStartDuration: 1000, OverloadMultiple: 3, OverloadWindow: 3000, ClientsKeepKeys: true,
		Classes: []policy.Class{class("safe", policy.Idempotent), class("keyed", policy.IdempotentByKey), class("once", policy.NonIdempotent)},
		Plans:   []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}}}
	keyed := f.settings.Classes[1]
	f.executions = executions{window: time.Duration(keyed.DedupWindow) * time.Millisecond, registered: map[string]time.Time{}, counts: map[string]int{}}
	log, _ := logtest.NewNullLogger()
	d := &Dialer{ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, MaxConns: 100}
	c, err := core.New(core.Options{Settings: f.settings, Seed: int64(seed), NewNodeClient: d.Connect, Log: log, IDs: requestid.NewRegistry(memory.NewAccount(1 << 24))})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	var list []core.Node
	for shard := range 2 {
		ln := f.startNode(shard)
		list = append(list, core.Node{Node: policy.Node{ID: fmt.Sprint("n", shard), Shard: shard, Weight: 1}, Addresses: addressesOf(ln)})
	}
	c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: list})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f.address = ln.Addr().String()
	server := NewServer(c, f.settings, 200, log)
	go func() { _ = server.Serve(ln, 200) }()
	t.Cleanup(func() { _ = server.Shutdown(stopped()) })
	return f
}

// stopped returns a context that has ended.
func stopped() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

// startNode starts a node whose reaction to each request is drawn.
func (f *promiseFleet) startNode(shard int) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(nc, shard)
		}
	}()
	return ln
}

func (f *promiseFleet) serve(nc net.Conn, shard int) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		request := &fasthttp.Request{}
		if request.Read(reader) != nil || !f.react(nc, request, shard) {
			return
		}
	}
}

const (
	notRunResponse   = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failedResponse   = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	rejectedResponse = "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"
)

// react handles one request as drawn. It returns false if the connection is to be closed.
func (f *promiseFleet) react(nc net.Conn, request *fasthttp.Request, shard int) (goOn bool) {
	draw := f.random(100)
	if draw < 35 {
		return respondWith(notRunResponse)(nc)
	}
	if draw < 40 {
		return respondWith(rejectedResponse)(nc)
	}
	scope := ""
	if f.settings.Classes[1].DedupScope == policy.DedupShard {
		scope = fmt.Sprint(shard, "/")
	}
	if f.executions.register(scope, string(request.Header.Peek("Idempotency-Key"))) {
		time.Sleep(f.milliseconds(0, 60))
		f.executions.run(string(request.Header.RequestURI()))
	}
	switch {
	case draw < 65:
		return false
	case draw < 75:
		return respondWith(failedResponse)(nc)
	case draw < 85:
		<-f.hangs
		return false
	}
	return respondWith(okResponse)(nc)
}

// status is the outcome of one try of a client: a status of HTTP, or noAnswer.
const noAnswer = 0

// try sends a request once and returns the status and the time to wait before a repeat.
func (f *promiseFleet) try(class *policy.Class, name, id string, shard int, timeout time.Duration) (status int, wait time.Duration, err error) {
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		return noAnswer, 0, err
	}
	defer nc.Close()
	key := ""
	if class.Effect == policy.IdempotentByKey {
		key = "Idempotency-Key: key-" + name + "\r\n"
	}
	text := fmt.Sprintf("PUT /%s/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nTier: basic\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: %d\r\n%s"+
		"Content-Length: 1\r\nIO-Info: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n\r\nx", class.Name, name, id, timeout.Milliseconds(), key, shard)
	if _, err := nc.Write([]byte(text)); err != nil {
		return noAnswer, 0, err
	}
	const answerSlack = 2 * time.Second
	_ = nc.SetReadDeadline(time.Now().Add(timeout + answerSlack))
	var r fasthttp.Response
	if err := r.Read(bufio.NewReader(nc)); err != nil {
		return noAnswer, 0, err
	}
	if seconds, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64); err == nil {
		wait = time.Duration(seconds * float64(time.Second))
	}
	return r.StatusCode(), wait, nil
}

// play sends a request until it is served, or may not be repeated. It returns how often it was rejected.
func (f *promiseFleet) play(name string, class *policy.Class) (rejections int) {
	const maxTries = 6
	const clientPause = 160 * time.Millisecond // of clients that do not honour Retry-After
	shard := f.random(3) - 1
	honours := f.random(2) == 0
	for attempt := range maxTries {
		timeout := time.Duration(class.Deadline) * time.Millisecond
		status, wait, err := f.try(class, name, fmt.Sprintf("%s-%d", name, attempt), shard, timeout)
		mayRepeat := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests ||
			class.Effect == policy.Idempotent && status != fasthttp.StatusOK
		if err != nil {
			f.t.Errorf("%s got no answer: %v", name, err)
			return rejections
		}
		if !mayRepeat {
			return rejections
		}
		rejections++
		if !honours {
			wait = clientPause
		}
		time.Sleep(wait)
	}
	return rejections
}

// Guards against answers over HTTP that promise that a request did not run, or that a repeat is harmless, while it may have run.
func TestNoRequestRunsTwiceAfterARejection(t *testing.T) {
	const (
		clients     = 24
		requests    = 6  // of each client, at least
		maxRequests = 60 // of each client, in a series with few rejections
	)
	for seed := range *promiseSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newPromiseFleet(t, seed)
			var rejections atomic.Int64
			var done sync.WaitGroup
			for i := range clients {
				done.Go(func() {
					class := &f.settings.Classes[1+i%2]
					for k := 0; k < requests || k < maxRequests && rejections.Load() < clients; k++ {
						name := fmt.Sprintf("%s-%d-%d", class.Name, i, k)
						rejections.Add(int64(f.play(name, class)))
						if n := f.executions.of("/" + class.Name + "/" + name); n > 1 {
							t.Errorf("%s ran %d times; its class is %+v", name, n, *class)
						}
					}
				})
			}
			done.Wait()
			total := rejections.Load()
			if total < clients {
				t.Errorf("only %d rejections", total)
			}
		})
	}
}

// Guards against 503 for the id of a request that may have run, where no memory is free: its client would repeat it under a new id.
func TestOwnedIDIsNotRejectedForMemory(t *testing.T) {
	account := memory.NewAccount(1 << 20)
	log, _ := logtest.NewNullLogger()
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	node := newFakeNode(t, func(net.Conn) bool { <-hang; return false })
	d := dialer()
	c, err := core.New(core.Options{Settings: testSettings(), Seed: 1, NewNodeClient: d.Connect, Log: log, IDs: requestid.NewRegistry(nil)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	c.UpdateList(nodeListAt(node.ln))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	server := NewServer(c, testSettings(), 50, log)
	server.Memory = account
	go func() { _ = server.Serve(ln, 50) }()
	var clients []frontClient
	for range 3 {
		clients = append(clients, dialFront(t, ln.Addr().String()))
	}
	send := func(client frontClient, id string) {
		text := fmt.Sprintf("PUT /new-record/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nTier: basic\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: 60000\r\n"+
			"Idempotency-Key: k\r\nContent-Length: 0\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n", id)
		if _, err := client.Conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, func() bool { return server.ConnCounts().Fresh == len(clients) })
	send(clients[0], "first")
	waitFor(t, func() bool { return node.requests.Load() == 1 })
	clients[0].Conn.Close()
	waitFor(t, func() bool { return c.OpenRequests() == 0 })
	account.Acquire(memory.Request, account.Size())
	send(clients[1], "first")
	clients[1].expectResponse(t, "an id that may have run", fasthttp.StatusConflict, false)
	send(clients[2], "second")
	clients[2].expectResponse(t, "another id", fasthttp.StatusServiceUnavailable, false)
}
