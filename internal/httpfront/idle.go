package httpfront

import (
	"container/list"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/memory"
)

// nodeConnBytes is the memory of a connection to a node: its goroutine, its buffers, and the first part of a response.
const nodeConnBytes = 16 << 10

// idleSet orders the idle connections of all nodes by the time they became idle. At the connection limit the longest idle
// connection is evicted for a new one to another node. A scheduler with hundreds of nodes may have fewer descriptors than
// nodes, and without eviction some nodes would get no connection.
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

// remove removes a connection that its node will use or close. It returns false if the connection was already evicted.
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

// evict closes the longest idle connection and notifies its node. It returns false if no connection is idle. The count of
// open connections does not change: the caller takes over the share of the evicted one.
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
	c.socket.Close() // its goroutine waits for a job and ends when the node closes the channel
	c.node.mailbox.PutUnbounded(nodeMessage{evicted: c})
	return true
}

// reserveConn counts one more open connection. At the limit it evicts an idle one and takes over its count.
func (d *Dialer) reserveConn() bool { return d.reserveUnusedConn() || d.idle.evict() }

// reserveUnusedConn counts one more open connection; it returns false at the limit. A failing caller must not be counted even
// for a moment, as that could make a concurrent caller fail although there is capacity.
func (d *Dialer) reserveUnusedConn() bool {
	if !d.Memory.TryAcquire(memory.NodeConnection, nodeConnBytes) {
		return false
	}
	for n := d.open.Load(); n < d.maxConns(); n = d.open.Load() {
		if d.open.CompareAndSwap(n, n+1) {
			return true
		}
	}
	d.Memory.Release(memory.NodeConnection, nodeConnBytes)
	return false
}
