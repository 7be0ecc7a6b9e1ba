package transport

import (
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// requestRead records whether the server waits for the rest of a request, so that the listener can interrupt a wait which
// has lasted for long.
type requestRead struct {
	mu          sync.Mutex
	waiting     bool
	since       time.Time // start of the wait
	interrupted bool      // the listener has interrupted the read of a request
}

// begin records that the server begins to wait.
func (r *requestRead) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sync.Writes(&r.waiting)
	r.waiting, r.since = true, now
}

// end records that the server no longer waits.
func (r *requestRead) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	sync.Writes(&r.waiting)
	r.waiting = false
}

// waitingFor returns how long the server has waited for the rest of a request; 0: it does not wait.
func (r *requestRead) waitingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sync.Reads(&r.waiting)
	if !r.waiting || r.interrupted {
		return 0
	}
	return now.Sub(r.since)
}

// interruptRead makes the pending read of the rest of a request fail with a timeout, if it has waited for at least minWait.
// It reports whether it did. The lock keeps the read deadline from being set after the wait has ended.
func (c *Conn) interruptRead(now time.Time, minWait time.Duration) bool {
	r := &c.requestRead
	r.mu.Lock()
	defer r.mu.Unlock()
	sync.Writes(&r.waiting)
	if !r.waiting || r.interrupted || now.Sub(r.since) < minWait {
		return false
	}
	r.interrupted = c.Conn.SetReadDeadline(deadlineOver) == nil
	return r.interrupted
}

// Interrupted reports whether the listener has interrupted the read of a request on this connection, in order to admit
// another connection.
func (c *Conn) Interrupted() bool {
	c.requestRead.mu.Lock()
	defer c.requestRead.mu.Unlock()
	sync.Reads(&c.requestRead.waiting)
	return c.requestRead.interrupted
}
