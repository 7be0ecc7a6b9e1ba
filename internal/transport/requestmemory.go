package transport

import (
	"time"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/memory"
)

// ConnMemory is what the connections of a listener hold.
type ConnMemory struct {
	Kind    memory.Kind // of a connection without a request
	Open    int64       // bytes of such a connection
	Request int64       // bytes more while it has a request; 0: it has none
}

// HTTPConnMemory is what clients of the HTTP front hold. A connection without a request has its goroutine and the structures of the
// server. A request has, from its first byte to its answer, without its body and without a long head: the buffers of the server,
// the goroutines' grown stacks, and the records of core and the decision module.
var HTTPConnMemory = ConnMemory{Kind: memory.ClientConnection, Open: 7 << 10, Request: 28 << 10}

const (
	// shedReadTimeout is the time for the rest of a request that is read only to be rejected.
	shedReadTimeout = 30 * time.Millisecond
	// maxShedRequests is the number of requests that are read at a time in order to reject them for lack of memory.
	maxShedRequests = 16
	// pressureShare is the share of the account above which connections and stalled requests make room as at the capacity.
	pressureShare = 0.95
)

// connMemory is what a connection has acquired. It belongs to the server's goroutine, except when the connection is closed.
type connMemory struct {
	mu       sync.Mutex // guards the fields below
	open     bool       // the memory of an open connection is acquired
	request  int64      // bytes acquired for the current request; 0: there is none
	shedding bool       // a place among the shed requests is taken
	released bool       // the connection is closed

	shedUntil time.Time // read deadline of a request that is shed
}

// LimitMemory makes the listener accept connections, and the connections read requests, only within the account. Requests beyond it
// are read a few at a time, for the server to reject (Conn.LacksMemory). It is called before the first Accept.
func (l *Listener) LimitMemory(account *memory.Account, held ConnMemory) {
	l.account, l.held = account, held
	l.shedPlaces = make(chan struct{}, maxShedRequests)
}

// lacksConnMemory reports whether no memory is left for another connection.
func (l *Listener) lacksConnMemory() bool {
	return !l.account.HasRoom(l.held.Kind, l.held.Open)
}

// isUnderMemoryPressure reports whether connections should be closed to make room for others.
func (l *Listener) isUnderMemoryPressure() bool {
	return l.account != nil && l.account.Used() > int64(pressureShare*float64(l.account.Size()))
}

// acquireOpen acquires the memory of an accepted connection.
func (c *Conn) acquireOpen() {
	if c.listener.account == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.open = true
	c.listener.account.Acquire(c.listener.held.Kind, c.listener.held.Open)
}

// acquireRequest acquires the memory of a request whose first bytes were read. Where there is none, it waits for a place among the
// requests that are rejected.
func (c *Conn) acquireRequest() {
	l := c.listener
	if l.account == nil || l.held.Request == 0 {
		return
	}
	granted := l.account.TryAcquire(memory.Request, l.held.Request)
	if !granted {
		select {
		case l.shedPlaces <- struct{}{}:
		case <-l.done:
			return
		}
		l.account.Acquire(memory.Request, l.held.Request)
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.memory.released { // closed meanwhile
		c.returnRequest(l.held.Request, !granted)
		return
	}
	c.memory.request, c.memory.shedding = l.held.Request, !granted
	if !granted {
		c.memory.shedUntil = time.Now().Add(shedReadTimeout)
	}
}

// SetReadDeadline implements net.Conn. While the current request is read only to be rejected, the deadline is near.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if until, shedding := c.shedDeadline(); shedding && (t.IsZero() || t.After(until)) {
		t = until
	}
	return c.Conn.SetReadDeadline(t)
}

// shedDeadline returns the deadline of a request that is read only to be rejected.
func (c *Conn) shedDeadline() (until time.Time, shedding bool) {
	if c.listener.account == nil {
		return until, false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.memory.shedUntil, c.memory.shedding
}

// returnRequest returns the memory of a request, and its place among the shed requests.
func (c *Conn) returnRequest(size int64, shedding bool) {
	c.listener.account.Release(memory.Request, size)
	if shedding {
		<-c.listener.shedPlaces
	}
}

// releaseRequest returns the memory of the current request, if it has any.
func (c *Conn) releaseRequest() {
	if c.listener.account == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.memory.request > 0 {
		c.returnRequest(c.memory.request, c.memory.shedding)
		c.memory.request, c.memory.shedding = 0, false
	}
}

// GrowRequest acquires more memory for the current request, until it is answered. It reports whether there is any.
func (c *Conn) GrowRequest(size int64) bool {
	if c.listener.account == nil {
		return true
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.memory.request == 0 || !c.listener.account.TryAcquire(memory.Request, size) {
		return false
	}
	c.memory.request += size
	return true
}

// releaseMemory returns all memory of a connection that is closed.
func (c *Conn) releaseMemory() {
	if c.listener.account == nil {
		return
	}
	c.releaseRequest()
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.released = true
	if c.memory.open {
		c.memory.open = false
		c.listener.account.Release(c.listener.held.Kind, c.listener.held.Open)
	}
}

// LacksMemory reports whether the current request has to be rejected for lack of memory. It is read only as far as it has arrived.
func (c *Conn) LacksMemory() bool {
	if c.listener.account == nil {
		return false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.memory.shedding
}
