package httpfront

import (
	"container/list"

	"wheatsaddle/internal/interleave/sync"
)

// idleSet orders the idle connections of all nodes by the time they became idle. At the bound on descriptors the
// longest idle one is evicted for a new connection to another node: a scheduler with hundreds of nodes may
// have fewer descriptors than nodes, and some nodes would get no connection otherwise.
type idleSet struct {
	mu   sync.Mutex
	list list.List // of *conn, the longest idle first
}

// put adds a connection that has become idle.
func (s *idleSet) put(c *conn) {
	s.mu.Lock()
	sync.Writes(&s.list)
	c.idleElement = s.list.PushBack(c)
	s.mu.Unlock()
}

// remove removes a connection, to be used or closed by its node; false: it was evicted before.
func (s *idleSet) remove(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sync.Writes(&s.list)
	if c.idleElement == nil {
		return false
	}
	s.list.Remove(c.idleElement)
	c.idleElement = nil
	return true
}

// evict closes the longest idle connection and tells its node; false: none is idle. The caller takes over the
// evicted connection's place in the count of open ones.
func (s *idleSet) evict() bool {
	s.mu.Lock()
	sync.Writes(&s.list)
	first := s.list.Front()
	if first == nil {
		s.mu.Unlock()
		return false
	}
	c := s.list.Remove(first).(*conn)
	c.idleElement = nil
	s.mu.Unlock()
	c.socket.Close() // its goroutine waits for a job, and ends when its node closes the channel
	c.node.mailbox.PutUnbounded(nodeMessage{evicted: c})
	return true
}

// reservePlace takes a place in the count of open connections, that of an evicted one where no other is free.
func (d *Dialer) reservePlace() bool { return d.reserveFreePlace() || d.idle.evict() }

// reserveFreePlace takes a free place; false: there is none. A caller that finds none is not counted even for a moment, as
// another caller might then be refused a place that is free.
func (d *Dialer) reserveFreePlace() bool {
	for n := d.open.Load(); n < d.MaxConns; n = d.open.Load() {
		if d.open.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}
