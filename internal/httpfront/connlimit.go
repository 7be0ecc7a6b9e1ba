package httpfront

import (
	"sync/atomic"

	"wheatsaddle/internal/memory"
)

// connLimit is a limit of connections that changes while the process runs; 0: not set.
type connLimit struct{ conns atomic.Int64 }

// maxConns returns the limit of open connections over all nodes.
func (d *Dialer) maxConns() int64 {
	if n := d.limit.conns.Load(); n > 0 {
		return min(n, d.MaxConns)
	}
	return d.MaxConns
}

// SetMaxConns lowers the limit of open connections over all nodes to at least one, or raises it again up to MaxConns. Idle
// connections beyond a lower limit are closed; those with a request stay. Any goroutine may call it.
func (d *Dialer) SetMaxConns(conns int) {
	d.limit.conns.Store(int64(max(conns, 1)))
	for d.open.Load() > d.maxConns() && d.idle.evict() {
		d.open.Add(-1)
		d.Memory.Release(memory.NodeConnection, nodeConnBytes)
	}
}

// OpenConns returns the number of connections that are open or being opened.
func (d *Dialer) OpenConns() int { return int(d.open.Load()) }

// SetMaxConns changes the number of clients' connections. Connections beyond a lower one are closed as they become idle. It has
// no effect before Serve. Any goroutine may call it.
func (s *Server) SetMaxConns(conns int) {
	if l := s.ln.Load(); l != nil {
		l.SetCapacity(max(conns, 1))
	}
}

// OpenConns returns the number of clients' connections.
func (s *Server) OpenConns() int {
	if l := s.ln.Load(); l != nil {
		return l.OpenCount()
	}
	return 0
}
