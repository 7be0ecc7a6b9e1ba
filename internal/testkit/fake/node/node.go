// Package node is a stand-in storage node: it speaks the platform's protocol on any number of
// IPv4, IPv6 and socket-file addresses, counts what it ran by request id and by key, and plays
// faults for each address, which may be switched while it runs.
//
// A request's shard, which the platform's nodes know by its id, is told in the query:
// ?shard=3, -1 for a new object; of a part of a gathered read in IO-Info. Requests run in turn of arrival on Workers; what finds Queue
// others waiting, comes while the node drains, or for another shard, is turned away with 503
// and X-Not-Run. A repeat of a key is dropped for Memory: it is answered and does not run.
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

// Options make a node.
type Options struct {
	Name      string
	Shard     int
	Workers   int                                   // requests that run at once; 0: 8
	Queue     int                                   // that wait; 0: 64
	Service   func(*fasthttp.Request) time.Duration // how long a request runs; nil: no time
	Memory    time.Duration                         // of keys; 0: 2.5 s
	Slow      time.Duration                         // added by the fault Slow; 0: 400 ms
	Answers   int                                   // on one connection, which then closes; 0: any number
	Conns     int                                   // connections; 0: any number
	Probes    bool                                  // /health/live and /stats
	Identity  string                                // header in which it says its name; empty: it does not
	Body      []byte                                // of an answer; nil: the request's id
	Record    bool                                  // every attempt from its first byte on, for Attempts
	Cold      *Cold                                 // what it bears after Chill; nil: as much as ever
	Saw       func(Saw)                             // told as it happens, from the connections' goroutines; nil: nobody
	TellShard bool                                  // answers end with shard=N, so that clients know where a new object was put
	Rows      *Rows                                 // what the parts of gathered reads are answered with; nil: nothing else than other requests
}

// Counts are what a node has seen.
type Counts struct {
	Conns    int // accepted
	Requests int // read whole
	Ran      int // executions
	Repeats  int // dropped by their key
	Turned   int // turned away without running
	Gone     int // whose connection had ended before they ran
}

// Node is a running stand-in.
type Node struct {
	opt      Options
	mu       sync.Mutex
	ports    map[address.Addr]*port
	counts   Counts
	conns    map[*link]bool
	byID     map[string][]Arrival
	byKey    map[string]int
	memory   map[string]time.Time
	waiting  int
	draining bool
	slots    chan struct{}
	wg       sync.WaitGroup
	closed   bool
	done     chan struct{} // closed with it
	turn     sync.Mutex    // held while a fall changes what listens
	cold     cold
	attempts []*Attempt

	rows      []key // of its shard
	rowFault  atomic.Pointer[RowFault]
	rowCounts map[string]RowCounts // by request id; "" is all
}

// New makes a node that listens nowhere yet.
func New(opt Options) *Node {
	if opt.Workers == 0 {
		opt.Workers = 8
	}
	if opt.Queue == 0 {
		opt.Queue = 64
	}
	if opt.Memory == 0 {
		opt.Memory = 2500 * time.Millisecond
	}
	if opt.Slow == 0 {
		opt.Slow = 400 * time.Millisecond
	}
	n := &Node{opt: opt, ports: map[address.Addr]*port{}, conns: map[*link]bool{}, byID: map[string][]Arrival{}, byKey: map[string]int{},
		memory: map[string]time.Time{}, slots: make(chan struct{}, opt.Workers), done: make(chan struct{}), rowCounts: map[string]RowCounts{}}
	if opt.Rows != nil {
		n.rows = opt.Rows.keys(opt.Shard)
	}
	return n
}

// Listen opens one more address: host:port (port 0: any), or unix:PATH. It returns the address
// as it is to be dialled.
func (n *Node) Listen(text string) (address.Addr, error) {
	a, err := address.ParseListen(text)
	if err != nil {
		return a, fmt.Errorf("%s: %w", text, err)
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
	p := &port{n: n, at: a}
	n.mu.Lock()
	n.ports[a] = p
	n.mu.Unlock()
	p.serve(ln)
	return a, nil
}

// Set switches the fault of an address. Connections that stand are under it too; with one that
// ends connections (Refused, Reset, StaleFile, NoSocket, BacklogFull) they are reset.
func (n *Node) Set(a address.Addr, f Fault) error {
	n.mu.Lock()
	p := n.ports[a]
	n.mu.Unlock()
	if p == nil {
		return fmt.Errorf("%v: the node does not listen there", a)
	}
	return p.set(f)
}

// Drain turns away what comes, or takes it again.
func (n *Node) Drain(on bool) {
	n.mu.Lock()
	n.draining = on
	n.mu.Unlock()
}

// Counts are those so far.
func (n *Node) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Arrival is one time that a request came whole.
type Arrival struct {
	At  time.Time
	By  address.Addr
	Ran bool // it was executed, and neither dropped nor turned away
}

// Arrivals are all of a request id.
func (n *Node) Arrivals(id string) []Arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.byID[id])
}

// Ran is how often a request id was executed.
func (n *Node) Ran(id string) (times int) {
	for _, a := range n.Arrivals(id) {
		if a.Ran {
			times++
		}
	}
	return times
}

// RanKey is how often a key was executed.
func (n *Node) RanKey(key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byKey[key]
}

// Each calls f with all arrivals of each request id, in no order.
func (n *Node) Each(f func(id string, all []Arrival)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, all := range n.byID {
		f(id, all)
	}
}

// MostRuns is the most executions of any one id and of any one key.
func (n *Node) MostRuns() (id, key int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, all := range n.byID {
		ran := 0
		for _, a := range all {
			if a.Ran {
				ran++
			}
		}
		id = max(id, ran)
	}
	for _, v := range n.byKey {
		key = max(key, v)
	}
	return id, key
}

// Spread is the longest time from the first to the last arrival of one id.
func (n *Node) Spread() (longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, all := range n.byID {
		longest = max(longest, all[len(all)-1].At.Sub(all[0].At))
	}
	return longest
}

// Open is how many connections stand, by address.
func (n *Node) Open(a address.Addr) (open int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.conns {
		if l.port.at == a {
			open++
		}
	}
	return open
}

// Accepted is how many connections an address has accepted.
func (n *Node) Accepted(a address.Addr) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.ports[a]; p != nil {
		return p.accepted
	}
	return 0
}

// Forget drops the counts by id and key and the memory of keys, as a restart would.
func (n *Node) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.byID)
	clear(n.byKey)
	clear(n.memory)
	n.counts = Counts{}
	for _, p := range n.ports {
		p.accepted = 0
	}
}

// Close ends the node and waits for its goroutines.
func (n *Node) Close() {
	n.turn.Lock()
	n.mu.Lock()
	if !n.closed {
		close(n.done)
	}
	n.closed = true
	ports := n.ports
	n.ports = map[address.Addr]*port{}
	n.mu.Unlock()
	n.turn.Unlock()
	var errs []error
	for _, p := range ports {
		errs = append(errs, p.shut())
	}
	n.mu.Lock()
	for l := range n.conns {
		l.nc.Close()
	}
	n.mu.Unlock()
	if err := errors.Join(errs...); err != nil {
		panic(err) // a stand-in that cannot end would spoil the next test
	}
	n.wg.Wait()
}

// link is one accepted connection.
type link struct {
	port *port
	nc   net.Conn
	done chan struct{}
	rec  *recorder // nil: nothing is recorded
}

func (n *Node) serve(l *link) {
	defer n.wg.Done()
	defer func() {
		close(l.done)
		l.nc.Close()
		n.mu.Lock()
		delete(n.conns, l)
		n.mu.Unlock()
	}()
	br := bufio.NewReaderSize(l.nc, 16<<10)
	if n.opt.Record {
		l.rec = &recorder{n: n, nc: l.nc}
		br.Reset(l.rec)
	}
	defer l.rec.end()
	for answers := 1; ; answers++ {
		q := &fasthttp.Request{}
		if l.port.fault() == Hang {
			l.rest()
			return
		}
		if l.rec != nil && l.rec.begin(br) != nil {
			return
		}
		err := q.Read(br)
		if l.rec != nil {
			l.rec.came(q, err, l)
		}
		if err != nil {
			return
		}
		if !n.one(l, q, n.opt.Answers > 0 && answers >= n.opt.Answers) {
			return
		}
	}
}

// rest keeps a connection open and says nothing until it ends or the fault does.
func (l *link) rest() {
	for l.port.fault() == Hang || l.port.fault() == NoAnswer || l.port.fault() == Half {
		if err := l.nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			return
		}
		var b [512]byte
		if _, err := l.nc.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// one takes a whole request; false: the connection ends.
func (n *Node) one(l *link, q *fasthttp.Request, last bool) bool {
	n.mu.Lock()
	n.counts.Requests++
	n.mu.Unlock()
	f := l.port.fault()
	switch f {
	case Hang:
		l.rest()
		return false
	case Reset:
		l.reset()
		return false
	}
	if path := string(q.URI().Path()); path == "/health/live" || path == "/stats" {
		code := fasthttp.StatusNotFound
		if n.opt.Probes {
			code = fasthttp.StatusOK
		}
		return l.answer(code, nil, last, "")
	}
	id, key := string(q.Header.Peek("X-Request-Id")), string(q.Header.Peek("Idempotency-Key"))
	if id == "" {
		return l.answer(fasthttp.StatusNotFound, nil, last, "")
	}
	n.mu.Lock()
	n.byID[id] = append(n.byID[id], Arrival{At: time.Now(), By: l.port.at})
	n.mu.Unlock()
	n.saw(Asked)
	if n.opt.Cold != nil && n.ask(Units(q)) {
		n.wg.Go(n.fall)
		return false
	}
	if code, away := n.admit(q, f); code != 0 {
		n.mu.Lock()
		if away {
			n.counts.Turned++
		}
		n.mu.Unlock()
		return l.answer(code, nil, last, l.name(f))
	}
	n.slots <- struct{}{}
	n.mu.Lock()
	n.waiting--
	n.mu.Unlock()
	alive := n.run(l, q, id, key)
	<-n.slots
	if !alive {
		return false
	}
	switch f = l.port.fault(); f {
	case NoAnswer:
		l.rest()
		return false
	case Half:
		l.half()
		l.rest()
		return false
	case Slow:
		time.Sleep(n.opt.Slow)
	}
	if most, is := asksRows(q); is && n.opt.Rows != nil {
		return l.rows(id, most, last, l.name(f))
	}
	body := n.opt.Body
	if body == nil {
		body = []byte(id)
	}
	if n.opt.TellShard {
		body = fmt.Appendf(slices.Clip(body), " shard=%d", n.opt.Shard)
	}
	return l.answer(fasthttp.StatusOK, body, last, l.name(f))
}

// name is what the node says that it is called.
func (l *link) name(f Fault) string {
	if f == Other {
		return "other"
	}
	return l.port.n.opt.Name
}

// Units is a request's work, as its IO-Info has it.
func Units(q *fasthttp.Request) float64 {
	for part := range strings.SplitSeq(string(q.Header.Peek("IO-Info")), ",") {
		if v, ok := strings.CutPrefix(part, "units="); ok {
			if units, err := strconv.ParseFloat(v, 64); err == nil {
				return units
			}
		}
	}
	return 1
}

// admit says with which code a request is turned away, if it is; away: without X-Not-Run it
// would not be a turning away.
func (n *Node) admit(q *fasthttp.Request, f Fault) (code int, away bool) {
	shard, err := shardOf(q)
	if err != nil {
		return fasthttp.StatusBadRequest, false
	}
	if left, err := strconv.Atoi(string(q.Header.Peek("X-Deadline-Ms"))); err == nil && left <= 0 {
		return fasthttp.StatusGatewayTimeout, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining || n.waiting >= n.opt.Queue || shard >= 0 && (shard != n.opt.Shard || f == Other) {
		return fasthttp.StatusServiceUnavailable, true
	}
	n.waiting++
	return 0, false
}

// run executes a request, unless its key was run lately; false: its client has gone while it
// waited.
func (n *Node) run(l *link, q *fasthttp.Request, id, key string) (alive bool) {
	if l.gone() {
		n.mu.Lock()
		n.counts.Gone++
		n.mu.Unlock()
		return false
	}
	n.mu.Lock()
	now := time.Now()
	if at, known := n.memory[key]; key != "" && known && now.Sub(at) < n.opt.Memory {
		n.counts.Repeats++
		n.mu.Unlock()
		l.rec.set(func(a *Attempt) { a.Dropped = true })
		return true
	}
	if key != "" {
		n.memory[key] = now
		n.byKey[key]++
	}
	n.counts.Ran++
	all := n.byID[id]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].By == l.port.at && !all[i].Ran {
			all[i].Ran = true
			break
		}
	}
	n.mu.Unlock()
	l.rec.set(func(a *Attempt) { a.Ran = time.Now() })
	if n.opt.Service != nil {
		time.Sleep(n.slower(n.opt.Service(q)))
	}
	return true
}

func (l *link) answer(code int, body []byte, last bool, name string) bool {
	var r fasthttp.Response
	r.SetStatusCode(code)
	if code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout {
		r.Header.Set("X-Not-Run", "1")
		l.rec.set(func(a *Attempt) { a.Turned = true })
	}
	if h := l.port.n.opt.Identity; h != "" && name != "" {
		r.Header.Set(h, name)
	}
	if last {
		r.SetConnectionClose()
	}
	r.SetBody(body)
	w := bufio.NewWriter(l.nc)
	defer l.rec.end()
	if r.Write(w) != nil || w.Flush() != nil {
		return false
	}
	return !last
}

// half sends the first half of an answer.
func (l *link) half() {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\nthe first half of an answer, no more"
	_, _ = l.nc.Write([]byte(whole))
}
