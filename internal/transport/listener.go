// Package transport provides the listening and dialled sockets of the HTTP and iSCSI fronts.
//
// Listener wraps a net.Listener and limits the open connections to a capacity. It keeps accepting after a lack of
// descriptors, evicts connections without a request when capacity is needed (evict.go),
// empties its accept queue before it closes (drain.go), and delivers the last response of a
// connection before the socket closes (linger.go). Conn is an accepted connection; it can watch for
// its peer's close while a request is handled (watch.go).
//
// Invariant: a request of which a byte was read is passed to the server. When the package closes a
// connection by itself, no byte of a further request was read from it. The client sees an
// end of file or a reset without a response, and may send the request elsewhere.
package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/memory"
)

const (
	acceptBackoff = 5 * time.Millisecond
	// FewIdle is true if the connections without a request are fewer than maxFewIdle and fewer than 1/fewIdleDivisor of
	// the open ones.
	maxFewIdle, fewIdleDivisor = 3, 3
)

// transientErrors are the accept errors after which a later accept may succeed: the kernel lacks something for now, a connection was
// broken before it was accepted, whose error accept(2) returns, or a firewall forbids it.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSR,
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT,
	syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// Listener limits the open connections. At the capacity it evicts a connection without a request
// to admit a new one, so that clients that send nothing, or stop within a request, cannot lock others out.
// While every connection has a request that arrives or is handled, new ones stay in the kernel's backlog. Accept retries after transient errors,
// such as a lack of descriptors, because servers stop at the first error of Accept.
type Listener struct {
	net.Listener
	overflow  int // number of connections accepted beyond the capacity, whose requests are rejected
	mu        sync.Mutex
	capacity  int     // guarded by mu
	open      []*Conn // unordered; Conn.index is a connection's position
	done      chan struct{}
	closeOnce sync.Once
	stopped   atomic.Bool // StopAccepting or Close was called
	origin    time.Time   // of the ages of phases; constant
	drained   chan *Conn  // connections that drainQueue accepted, for Accept to return

	linger       time.Duration // how long Close waits for the peer's close after a response; 0: it does not wait
	drainLimit   time.Duration // upper bound on the time that StopAccepting spends on the queue
	noDescriptor atomic.Bool   // the last accept failed for lack of a descriptor or of memory

	events *eventlog.Log // of the closes of connections; nil: they are not recorded

	held       ConnMemory
	account    *memory.Account // of the connections and their requests; nil: no limit
	shedPlaces chan struct{}   // one element for each request that is read in order to reject it
	scansHeads bool            // heads are scanned before the server gets them
	pace       sharedPace

	answersInterrupted  bool         // the server answers a request whose read times out
	interruptedRequests atomic.Int64 // requests interrupted to admit other connections
}

// LimitWithOverflow is Limit with overflow connections beyond the capacity, whose requests the
// server rejects (OverCapacity). Without them a client in the backlog, whose connect has succeeded,
// would get no response until another connection closes. Connections that close after a response
// wait for the peer's close for up to lingerTimeout, or longer after DiscardInput. At the capacity
// the read of a request that has stopped arriving may time out early (Conn.Interrupted).
func LimitWithOverflow(ln net.Listener, capacity, overflow int) *Listener {
	l := limit(ln, capacity)
	l.overflow, l.linger, l.answersInterrupted, l.scansHeads = overflow, lingerTimeout, true, true
	go l.evictPeriodically()
	return l
}

// Limit wraps a listener to hold at most capacity connections open.
func Limit(ln net.Listener, capacity int) *Listener {
	l := limit(ln, capacity)
	go l.evictPeriodically()
	return l
}

// limit returns a Listener without starting its goroutine.
func limit(ln net.Listener, capacity int) *Listener {
	return &Listener{Listener: ln, capacity: capacity, done: make(chan struct{}), drained: make(chan *Conn), drainLimit: drainTimeout,
		origin: time.Now()}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { sync.Close(l.done) })
	if l.stopped.Swap(true) {
		return nil
	}
	return l.Listener.Close()
}

// StopAccepting closes the listening socket and keeps the connections. Connections in the socket's accept queue are accepted
// first, because the close would reset them, unless other processes share the queue and can accept them. Accept returns those
// and then blocks until Close. A connection that enters the queue between the last accept and the close is reset unread.
func (l *Listener) StopAccepting() {
	if l.stopped.Swap(true) {
		return
	}
	l.drainQueue()
	_ = l.Listener.Close() // on an error, too, nothing more is accepted
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.stopped.Load() {
			return l.acceptDrained()
		}
		l.evictForCapacity(time.Now())
		if l.atCapacity() {
			l.closeLingering()
		}
		if !l.atCapacity() {
			nc, err := l.Listener.Accept()
			l.noDescriptor.Store(err != nil && matchesAny(err, resourceErrors))
			if err == nil {
				return l.track(nc), nil
			}
			if !isTransient(err) && !l.stopped.Load() {
				return nil, err
			}
		}
		if sync.Pause(l.done, acceptBackoff) {
			return nil, net.ErrClosed
		}
	}
}

func isTransient(err error) bool {
	for _, p := range transientErrors {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}

// track wraps an accepted connection and counts it as open.
func (l *Listener) track(nc net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: nc, listener: l, acceptedAt: now}
	c.startPhase(now)
	c.acquireOpen()
	l.add(c)
	return c
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Writes(&l.open)
	c.index = len(l.open)
	l.open = append(l.open, c)
}

// drop counts a connection as closed, and records its close. A second call does nothing.
func (l *Listener) drop(c *Conn) {
	if l.remove(c) {
		l.recordClose(c)
	}
}

// remove removes a connection from the open ones. It reports whether it was among them.
func (l *Listener) remove(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Writes(&l.open)
	if c.index >= len(l.open) || l.open[c.index] != c {
		return false
	}
	last := l.open[len(l.open)-1]
	l.open[c.index], last.index = last, c.index
	l.open[len(l.open)-1] = nil
	l.open = l.open[:len(l.open)-1]
	return true
}

func (l *Listener) atCapacity() bool {
	if l.lacksConnMemory() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	return len(l.open) >= l.capacity+l.overflow
}

// SetCapacity changes the capacity. Connections beyond a lower one, and its overflow, are evicted as they become idle.
func (l *Listener) SetCapacity(capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
}

// OpenCount returns the number of open connections.
func (l *Listener) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	return len(l.open)
}

// FewIdle reports whether few connections have no request. It matters once nothing more is accepted, because a client
// whose connections are all in use would have to open another.
func (l *Listener) FewIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	free := 0
	for _, c := range l.open {
		if p := c.phase.Load(); p == fresh || p == idle {
			free++
		}
	}
	return free < min(maxFewIdle, len(l.open)/fewIdleDivisor)
}

// OverCapacity reports whether more connections than the capacity have a request, so that the server should reject one.
func (l *Listener) OverCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	if len(l.open) <= l.capacity {
		return false
	}
	requesting := 0
	for _, c := range l.open {
		if c.phase.Load() == active {
			requesting++
		}
	}
	return requesting > l.capacity
}
