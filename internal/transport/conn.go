package transport

import (
	"net"
	stdatomic "sync/atomic"
	"syscall"
	"time"

	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
)

// The phases of a connection.
const (
	fresh     int32 = iota // nothing was received yet
	active                 // a request is arriving or open
	idle                   // between requests
	closing                // evicted or expired: nothing more is read
	lingering              // closed after a response; the peer has not closed yet
)

// Conn is an accepted connection. The listener may close it only while its phase is fresh or idle and it has no input. It may
// interrupt the read of a request that has stopped arriving; the server then answers and closes it. Only the server's goroutine
// reads. PeerClosed, HasPendingInput and Close may be called from any goroutine.
type Conn struct {
	net.Conn
	listener   *Listener
	index      int // in Listener.open; guarded by Listener.mu
	phase      atomic.Int32
	phaseStart atomic.Int64 // start of a fresh or idle phase, as the nanoseconds since listener.origin
	watchDone  chan struct{}
	readAhead  readAheadBuffer

	requestRead requestRead

	afterResponse stdatomic.Pointer[func()]

	memory     connMemory
	head       headScanner
	headTooBig bool // the current head has too many lines, and no more of it is read

	acceptedAt  time.Time
	closeReason stdatomic.Pointer[eventlog.Reason]

	firstReadMu sync.Mutex // held while a request's first bytes are read, and while markClosing checks for input and changes the phase

	// The fields below belong to the server's goroutine.
	responseDone bool        // the next Read makes the connection idle
	read, parsed int         // bytes since the connection was last idle
	delivered    int64       // bytes that Read has returned
	discardInput bool        // input after the last response belongs to the request it answered
	pace         tokenBucket // of requests

	onFirstRead, onNothingRead func() // test hooks: a request's first bytes were read; the last check found no input
}

// Read implements net.Conn. The first bytes of a request make the connection active. Read returns net.ErrClosed, having read
// nothing, if the connection was evicted or if its read deadline ended before a request began.
func (c *Conn) Read(p []byte) (int, error) {
	if c.responseDone {
		c.responseDone = false
		c.SetIdle(true)
	}
	if c.phase.Load() == active {
		if c.headTooBig {
			return 0, ErrTooManyFields
		}
		c.requestRead.begin(time.Now())
		n, err := c.readActive(p)
		c.requestRead.end()
		n = c.withinMessage(p[:max(n, 0)])
		c.read += n
		c.delivered += int64(n)
		return n, err
	}
	c.read, c.parsed = 0, 0 // the server's buffer is empty when it waits for a request
	n, err := c.readBuffered(p), error(nil)
	if n == 0 {
		n, err = c.awaitRequest(p)
		c.recordReadEnd(err)
	}
	if n > 0 {
		c.acquireRequest()
	}
	c.read = c.withinMessage(p[:n])
	c.delivered += int64(c.read)
	return c.read, err
}

// withinMessage returns how many of the bytes just read belong to the current head or body. The others are read again later.
func (c *Conn) withinMessage(b []byte) int {
	if !c.listener.scansHeads {
		return len(b)
	}
	n, tooMany := c.head.scan(b)
	c.headTooBig = tooMany
	c.readAhead.putBack(b[n:])
	return n
}

// ResponseDone records that the current request was answered. The connection becomes idle at the next Read, not at once: the
// server may have read a further request with this one, and then handles it without a Read.
func (c *Conn) ResponseDone() {
	c.responseDone = true
	c.head.responseDone()
	c.runAfterResponse()
}

// CountParsed records that size bytes of what was read belong to a request which the server handles. A size that is too small
// is safe: HasUnparsed is then true where it need not be.
func (c *Conn) CountParsed(size int) { c.parsed += size }

// HasUnparsed reports whether more bytes were read than CountParsed has counted. They may be a further request, so the
// server must not close the connection with the current response.
func (c *Conn) HasUnparsed() bool { return c.read > c.parsed || c.readAhead.size.Load() > 0 }

func (c *Conn) markActive() bool {
	for {
		switch p := c.phase.Load(); {
		case p == active:
			return true
		case p == closing || p == lingering:
			return false
		case c.phase.CompareAndSwap(p, active):
			return true
		}
	}
}

// SetIdle records whether the connection is between requests.
func (c *Conn) SetIdle(on bool) {
	if !on {
		c.responseDone = false
		c.markActive()
		return
	}
	c.releaseRequest()
	c.readAhead.arrivals.idle(c.delivered)
	c.startPhase(time.Now())
	c.phase.CompareAndSwap(active, idle)
}

// startPhase records the start of a fresh or idle phase. Differences of two times are of the monotonic clock, so that a step of the wall
// clock changes no age.
func (c *Conn) startPhase(now time.Time) { c.phaseStart.Store(int64(now.Sub(c.listener.origin))) }

// phaseAge returns how long the connection has been in a fresh or idle phase.
func (c *Conn) phaseAge(now time.Time) time.Duration {
	return now.Sub(c.listener.origin) - time.Duration(c.phaseStart.Load())
}

// HasPendingInput reports whether there is input that Read would return without waiting.
func (c *Conn) HasPendingInput() bool { return c.pendingInput() == socketReadable }

// raw returns the connection's descriptor, or nil if it has none.
func (c *Conn) raw() syscall.RawConn {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// evict closes the connection unless it has a request or input. It reports whether it did.
func (c *Conn) evict() bool {
	if !c.markClosing() {
		return false
	}
	c.SetCloseReason(reasonEvicted)
	_ = c.Close() // without a request the error does not matter
	return true
}

// markClosing changes a fresh or idle connection without input to closing, after which nothing is read from it. It reports
// whether it did. Input that arrives after its check stays unread, and the close resets the connection.
func (c *Conn) markClosing() bool {
	if !c.firstReadMu.TryLock() {
		return false // a request's first bytes are being read
	}
	defer c.firstReadMu.Unlock()
	p := c.phase.Load()
	if p != fresh && p != idle || c.pendingInput() == socketReadable {
		return false
	}
	if c.onNothingRead != nil {
		c.onNothingRead()
	}
	return c.phase.CompareAndSwap(p, closing)
}

// Close implements net.Conn. After a response it ends the sending side and waits for the peer's close in the background, if
// the listener has a linger time.
func (c *Conn) Close() error {
	c.runAfterResponse()
	if c.listener.linger > 0 && c.phase.CompareAndSwap(active, lingering) && c.closeWrite() {
		c.releaseRequest()
		sync.Go(c.linger)
		return nil
	}
	return c.closeSocket()
}

// closeSocket closes the socket at once.
func (c *Conn) closeSocket() error {
	c.listener.drop(c)
	c.releaseMemory()
	return c.Conn.Close()
}
