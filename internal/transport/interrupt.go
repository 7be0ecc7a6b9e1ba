package transport

import (
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// deadlineOver is a read deadline in the past, which ends a pending read.
var deadlineOver = time.Unix(1, 0)

// InterruptReads ends the pending reads of active connections by a read deadline in the past, so that a request that is still
// arriving is not read further. A later deadline that the server sets undoes it, so callers repeat the call.
func (l *Listener) InterruptReads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	for _, c := range l.open {
		if c.phase.Load() == active {
			_ = c.SetReadDeadline(deadlineOver)
		}
	}
}
