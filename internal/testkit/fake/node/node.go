// Package node is a fake storage node. It speaks the platform's protocol on any number of IPv4, IPv6
// and Unix socket addresses, counts executions by request ID and by idempotency key, and injects a
// fault at each address that can be switched while the node runs.
//
// The platform's nodes know a request's shard by its ID. The fake reads it from the query (?shard=3, -1
// for a new object), or from IO-Info for a part of a gathered read. Requests are executed in order of
// arrival by Workers workers. A request that finds the queue full, arrives while the node drains, or is
// for another shard is rejected with 503 and X-Not-Run. A request that repeats an idempotency key within
// the deduplication window is answered but not executed.
package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
)

// Options configure a node.
type Options struct {
	Name                string
	Shard               int
	Workers             int                                   // requests executed concurrently; 0: 8
	QueueLimit          int                                   // maximum number of waiting requests; 0: 64
	ServiceTime         func(*fasthttp.Request) time.Duration // execution time of a request; nil: none
	DedupWindow         time.Duration                         // deduplication window of idempotency keys; 0: 2.5 s
	SlowDelay           time.Duration                         // delay added by the fault Slow; 0: 400 ms
	MaxResponsesPerConn int                                   // responses on one connection before it closes; 0: unlimited
	MaxConns            int                                   // maximum number of connections; 0: unlimited
	HealthEndpoints     bool                                  // serve /health/live and /stats
	IdentityHeader      string                                // response header with the node's name; empty: none
	Body                []byte                                // of a response; nil: the request ID
	RecordAttempts      bool                                  // record every attempt from its first byte on, for Attempts
	SlowStart           *SlowStart                            // speed and limits after BeginSlowStart; nil: always as if warmed up
	OnEvent             func(Event)                           // called for each event from the connections' goroutines; nil: not called
	ReportShard         bool                                  // responses end with shard=N, so that clients know where a new object was put
	Rows                *Rows                                 // rows that parts of gathered reads return; nil: parts are answered like other requests
}

// Counts are a node's counters.
type Counts struct {
	Conns        int // accepted
	Requests     int // received completely
	Executions   int // requests executed, counted again each time
	Duplicates   int // requests answered without execution because of their key
	Rejected     int // rejected without execution
	Disconnected int // requests whose client disconnected before they were executed
}

// Node is a running fake node.
type Node struct {
	options       Options
	mu            sync.Mutex
	listeners     map[address.Addr]*listener
	counts        Counts
	conns         map[*conn]bool
	arrivals      map[string][]Arrival
	keyExecutions map[string]int
	executedKeys  map[string]time.Time // start of the last execution of each idempotency key
	waiting       int                  // admitted requests that no worker has taken yet
	draining      bool
	slots         chan struct{} // one element for each request that a worker executes
	wg            sync.WaitGroup
	closed        bool
	done          chan struct{} // closed by Close
	restartMu     sync.Mutex    // held while a crash or restart changes the listeners
	slowStart     slowStartState
	attempts      []*Attempt

	rows      []key // of the node's shard
	rowFault  atomic.Pointer[RowFault]
	rowCounts map[string]RowCounts // by request ID; "" holds the total
}

// New creates a node that does not listen yet.
func New(opt Options) *Node {
	if opt.Workers == 0 {
		opt.Workers = 8
	}
	if opt.QueueLimit == 0 {
		opt.QueueLimit = 64
	}
	if opt.DedupWindow == 0 {
		opt.DedupWindow = 2500 * time.Millisecond
	}
	if opt.SlowDelay == 0 {
		opt.SlowDelay = 400 * time.Millisecond
	}
	n := &Node{options: opt, listeners: map[address.Addr]*listener{}, conns: map[*conn]bool{}, arrivals: map[string][]Arrival{}, keyExecutions: map[string]int{},
		executedKeys: map[string]time.Time{}, slots: make(chan struct{}, opt.Workers), done: make(chan struct{}), rowCounts: map[string]RowCounts{}}
	if opt.Rows != nil {
		n.rows = opt.Rows.keys(opt.Shard)
	}
	return n
}

// Listen opens one more address: host:port (port 0 for any port) or unix:PATH. It returns the address
// to dial.
func (n *Node) Listen(text string) (address.Addr, error) {
	a, err := address.ParseListen(text)
	if err != nil {
		return a, fmt.Errorf("fake node: listen on %s: %w", text, err)
	}
	network, to := a.Dial()
	ln, err := net.Listen(network, to)
	if err != nil {
		return a, err
	}
	if a.Path() == "" {
		if a, err = address.Parse(ln.Addr().String()); err != nil {
			ln.Close()
			return a, err
		}
	}
	l := &listener{n: n, addr: a}
	n.mu.Lock()
	n.listeners[a] = l
	n.mu.Unlock()
	l.serve(ln)
	return a, nil
}

// SetFault switches the fault of an address. It also applies to open connections: a fault under which the
// address does not listen (Refused, StaleFile, NotASocket, BacklogFull) resets them at once, Reset resets
// them when their next request has been received.
func (n *Node) SetFault(a address.Addr, f Fault) error {
	n.mu.Lock()
	l := n.listeners[a]
	n.mu.Unlock()
	if l == nil {
		return fmt.Errorf("set fault: the node does not listen on %v", a)
	}
	return l.set(f)
}

// Drain switches draining on or off. A draining node rejects new requests.
func (n *Node) Drain(on bool) {
	n.mu.Lock()
	n.draining = on
	n.mu.Unlock()
}

// Counts returns the counters so far.
func (n *Node) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Arrival is one complete receipt of a request.
type Arrival struct {
	At       time.Time
	Addr     address.Addr
	Executed bool // the request was executed, neither deduplicated nor rejected
}

// Arrivals returns all arrivals of a request ID.
func (n *Node) Arrivals(id string) []Arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.arrivals[id])
}

// Executions returns how often a request ID was executed.
func (n *Node) Executions(id string) (times int) {
	for _, a := range n.Arrivals(id) {
		if a.Executed {
			times++
		}
	}
	return times
}

// KeyExecutions returns how often an idempotency key was executed.
func (n *Node) KeyExecutions(key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keyExecutions[key]
}

// EachRequest calls f with all arrivals of each request ID, in no particular order.
func (n *Node) EachRequest(f func(id string, all []Arrival)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, all := range n.arrivals {
		f(id, all)
	}
}

// MaxExecutions returns the highest number of executions of one request ID and of one key.
func (n *Node) MaxExecutions() (id, key int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, all := range n.arrivals {
		executions := 0
		for _, a := range all {
			if a.Executed {
				executions++
			}
		}
		id = max(id, executions)
	}
	for _, v := range n.keyExecutions {
		key = max(key, v)
	}
	return id, key
}

// LongestArrivalSpan returns the longest time from the first to the last arrival of one request ID.
func (n *Node) LongestArrivalSpan() (longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, all := range n.arrivals {
		longest = max(longest, all[len(all)-1].At.Sub(all[0].At))
	}
	return longest
}

// OpenConns returns the number of open connections of an address.
func (n *Node) OpenConns(a address.Addr) (open int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.listener.addr == a {
			open++
		}
	}
	return open
}

// AcceptedConns returns how many connections an address has accepted.
func (n *Node) AcceptedConns(a address.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[a]; l != nil {
		return l.accepted
	}
	return 0
}

// ResetState clears the deduplication window, as a restart would, and what Counts, Arrivals, KeyExecutions and
// AcceptedConns return. Recorded attempts, row counts and crashes are kept.
func (n *Node) ResetState() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.arrivals)
	clear(n.keyExecutions)
	clear(n.executedKeys)
	n.counts = Counts{}
	for _, l := range n.listeners {
		l.accepted = 0
	}
}

// Close stops the node and waits for its goroutines.
func (n *Node) Close() {
	n.restartMu.Lock()
	n.mu.Lock()
	if !n.closed {
		close(n.done)
	}
	n.closed = true
	listeners := n.listeners
	n.listeners = map[address.Addr]*listener{}
	n.mu.Unlock()
	n.restartMu.Unlock()
	var errs []error
	for _, l := range listeners {
		errs = append(errs, l.stop())
	}
	n.mu.Lock()
	for c := range n.conns {
		c.nc.Close()
	}
	n.mu.Unlock()
	if err := errors.Join(errs...); err != nil {
		panic(err) // a fake that cannot be closed would break the next test
	}
	n.wg.Wait()
}

// conn is one accepted connection.
type conn struct {
	listener *listener
	nc       net.Conn
	done     chan struct{}
	recorder *recorder // nil: recording is off
}

func (n *Node) serve(c *conn) {
	defer n.wg.Done()
	defer func() {
		close(c.done)
		c.nc.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c.nc, 16<<10)
	if n.options.RecordAttempts {
		c.recorder = &recorder{n: n, nc: c.nc}
		br.Reset(c.recorder)
	}
	defer c.recorder.end()
	for responses := 1; ; responses++ {
		request := &fasthttp.Request{}
		if c.listener.fault() == Hang {
			c.holdOpen()
			return
		}
		if c.recorder != nil && c.recorder.begin(br) != nil {
			return
		}
		err := request.Read(br)
		if c.recorder != nil {
			c.recorder.requestRead(request, err, c)
		}
		if err != nil {
			return
		}
		if !n.handleRequest(c, request, n.options.MaxResponsesPerConn > 0 && responses >= n.options.MaxResponsesPerConn) {
			return
		}
	}
}

// holdOpen keeps a connection open without responding until the connection or the fault ends.
func (c *conn) holdOpen() {
	for c.listener.fault() == Hang || c.listener.fault() == NoResponse || c.listener.fault() == HalfResponse {
		if err := c.nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			return
		}
		var b [512]byte
		if _, err := c.nc.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// handleRequest handles a complete request. The connection ends after the response if last is set. It returns false if
// the connection ends.
func (n *Node) handleRequest(c *conn, request *fasthttp.Request, last bool) bool {
	n.mu.Lock()
	n.counts.Requests++
	n.mu.Unlock()
	fault := c.listener.fault()
	switch fault {
	case Hang:
		c.holdOpen()
		return false
	case Reset:
		c.reset()
		return false
	}
	if path := string(request.URI().Path()); path == "/health/live" || path == "/stats" {
		code := fasthttp.StatusNotFound
		if n.options.HealthEndpoints {
			code = fasthttp.StatusOK
		}
		return c.respond(code, nil, last, "")
	}
	id, key := string(request.Header.Peek("X-Request-Id")), string(request.Header.Peek("Idempotency-Key"))
	if id == "" {
		return c.respond(fasthttp.StatusNotFound, nil, last, "")
	}
	n.mu.Lock()
	n.arrivals[id] = append(n.arrivals[id], Arrival{At: time.Now(), Addr: c.listener.addr})
	n.mu.Unlock()
	n.notify(RequestReceived)
	if n.options.SlowStart != nil && n.countLoad(Units(request)) {
		n.wg.Go(n.crash)
		return false
	}
	if code, rejected := n.admit(request, fault); code != 0 {
		n.mu.Lock()
		if rejected {
			n.counts.Rejected++
		}
		n.mu.Unlock()
		return c.respond(code, nil, last, c.reportedName(fault))
	}
	n.slots <- struct{}{}
	n.mu.Lock()
	n.waiting--
	n.mu.Unlock()
	connected := n.run(c, request, id, key)
	<-n.slots
	if !connected {
		return false
	}
	switch fault = c.listener.fault(); fault {
	case NoResponse:
		c.holdOpen()
		return false
	case HalfResponse:
		c.respondHalf()
		c.holdOpen()
		return false
	case Slow:
		time.Sleep(n.options.SlowDelay)
	}
	if maxRows, isPart := requestedRows(request); isPart && n.options.Rows != nil {
		return c.sendRows(id, maxRows, last, c.reportedName(fault))
	}
	body := n.options.Body
	if body == nil {
		body = []byte(id)
	}
	if n.options.ReportShard {
		body = fmt.Appendf(slices.Clip(body), " shard=%d", n.options.Shard)
	}
	return c.respond(fasthttp.StatusOK, body, last, c.reportedName(fault))
}

// reportedName returns the name that the node reports in its responses.
func (c *conn) reportedName(f Fault) string {
	if f == OtherNode {
		return "other"
	}
	return c.listener.n.options.Name
}

// Units returns a request's units of work from its IO-Info header, 1 if the header has none.
func Units(request *fasthttp.Request) float64 {
	for part := range strings.SplitSeq(string(request.Header.Peek("IO-Info")), ",") {
		if v, ok := strings.CutPrefix(part, "units="); ok {
			if units, err := strconv.ParseFloat(v, 64); err == nil {
				return units
			}
		}
	}
	return 1
}

// admit decides whether a request is admitted. A non-zero code is the status to answer with. rejected
// reports whether the request counts as rejected, in which case the response carries X-Not-Run.
func (n *Node) admit(request *fasthttp.Request, fault Fault) (code int, rejected bool) {
	shard, err := shardOf(request)
	if err != nil {
		return fasthttp.StatusBadRequest, false
	}
	if remaining, err := strconv.Atoi(string(request.Header.Peek("X-Deadline-Ms"))); err == nil && remaining <= 0 {
		return fasthttp.StatusGatewayTimeout, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining || n.waiting >= n.options.QueueLimit || shard >= 0 && (shard != n.options.Shard || fault == OtherNode) {
		return fasthttp.StatusServiceUnavailable, true
	}
	n.waiting++
	return 0, false
}

// run executes a request unless its key was executed within the deduplication window. It returns false if
// the client disconnected while the request was waiting.
func (n *Node) run(c *conn, request *fasthttp.Request, id, key string) (connected bool) {
	if c.disconnected() {
		n.mu.Lock()
		n.counts.Disconnected++
		n.mu.Unlock()
		return false
	}
	n.mu.Lock()
	now := time.Now()
	if executedAt, executed := n.executedKeys[key]; key != "" && executed && now.Sub(executedAt) < n.options.DedupWindow {
		n.counts.Duplicates++
		n.mu.Unlock()
		c.recorder.update(func(a *Attempt) { a.Duplicate = true })
		return true
	}
	if key != "" {
		n.executedKeys[key] = now
		n.keyExecutions[key]++
	}
	n.counts.Executions++
	arrivals := n.arrivals[id]
	for i := len(arrivals) - 1; i >= 0; i-- {
		if arrivals[i].Addr == c.listener.addr && !arrivals[i].Executed {
			arrivals[i].Executed = true
			break
		}
	}
	n.mu.Unlock()
	c.recorder.update(func(a *Attempt) { a.ExecutedAt = time.Now() })
	if n.options.ServiceTime != nil {
		time.Sleep(n.scaleServiceTime(n.options.ServiceTime(request)))
	}
	return true
}

// respond writes a response, marks it with X-Not-Run if the status is one of a rejection, and closes the connection after
// it if last is set. name is the value of the identity header, "" for none. It returns false if the connection ends.
func (c *conn) respond(code int, body []byte, last bool, name string) bool {
	var r fasthttp.Response
	r.SetStatusCode(code)
	if code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout {
		r.Header.Set("X-Not-Run", "1")
		c.recorder.update(func(a *Attempt) { a.Rejected = true })
	}
	if h := c.listener.n.options.IdentityHeader; h != "" && name != "" {
		r.Header.Set(h, name)
	}
	if last {
		r.SetConnectionClose()
	}
	r.SetBody(body)
	w := bufio.NewWriter(c.nc)
	defer c.recorder.end()
	if r.Write(w) != nil || w.Flush() != nil {
		return false
	}
	return !last
}

// respondHalf sends the first half of a response.
func (c *conn) respondHalf() {
	const halfResponse = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nthe first half of an answer, no more"
	_, _ = c.nc.Write([]byte(halfResponse))
}
