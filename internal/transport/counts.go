package transport

import (
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// ConnCounts are the open connections of a listener by state, for operators.
type ConnCounts struct {
	Fresh       int           // have sent nothing yet
	Reading     int           // the server waits for the rest of a request
	Handling    int           // a request is handled or its response is written
	Idle        int           // between requests
	Lingering   int           // answered and shut down; the peer has not closed yet
	LongestRead time.Duration // longest wait for the next byte of a request
	Interrupted int64         // requests interrupted so far to admit other connections
}

// Counts returns the connections by state. Any goroutine may call it.
func (l *Listener) Counts() ConnCounts {
	now := time.Now()
	counts := ConnCounts{Interrupted: l.interruptedRequests.Load()}
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	for _, c := range l.open {
		counts.add(c, now)
	}
	return counts
}

// add counts one connection.
func (n *ConnCounts) add(c *Conn, now time.Time) {
	wait := c.requestRead.waitingFor(now)
	n.LongestRead = max(n.LongestRead, wait)
	switch phase := c.phase.Load(); {
	case phase == fresh:
		n.Fresh++
	case phase == idle:
		n.Idle++
	case phase == lingering:
		n.Lingering++
	case phase == active && wait > 0:
		n.Reading++
	case phase == active:
		n.Handling++
	}
}
