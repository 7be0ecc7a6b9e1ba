package transport

import (
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// InterruptReads ends the pending reads of active connections by a read deadline in the past, so that a request that is still
// arriving is not read further. A server that sets a later deadline undoes it, so it may be called repeatedly.
func (l *Listener) InterruptReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	for _, c := range l.open {
		if c.phase.Load() == active {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}
