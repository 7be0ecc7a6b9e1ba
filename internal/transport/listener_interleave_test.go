//go:build interleave

package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
)

// fakeConn is a fake connection on which each read returns one byte. It records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Read([]byte) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	return 1, nil
}

func (c *fakeConn) Close() error { c.closed = true; return nil }

// fakeListener is a fake listener with a number of queued connections.
type fakeListener struct {
	net.Listener
	left   int
	closed bool
}

func (l *fakeListener) Accept() (net.Conn, error) {
	if l.left == 0 || l.closed {
		return nil, net.ErrClosed
	}
	l.left--
	return &fakeConn{}, nil
}

func (l *fakeListener) Close() error { l.closed = true; return nil }

// idleListener returns a listener with open connections that have been idle for an hour.
func idleListener(capacity, open, queued int) (*Listener, []*Conn) {
	l := limit(&fakeListener{left: queued + open}, capacity)
	var conns []*Conn
	for range open {
		nc, err := l.Accept()
		if err != nil {
			panic(err)
		}
		c := nc.(*Conn)
		conns = append(conns, c)
	}
	for _, c := range conns { // only now, because Accept evicts idle connections
		c.markActive()
		c.SetIdle(true)
		c.startPhase(time.Now().Add(-time.Hour))
	}
	return l, conns
}

// checkOpen returns an error if more connections are open than the capacity and the overflow allow.
func checkOpen(l *Listener) error {
	if len(l.open) > l.capacity+l.overflow {
		return fmt.Errorf("%d connections are open, the capacity is %d", len(l.open), l.capacity)
	}
	return nil
}

// checkOpenList returns an error if an open connection has a wrong index or a closed one counts as open.
func checkOpenList(l *Listener) error {
	for i, c := range l.open {
		if c.index != i {
			return fmt.Errorf("the connection at index %d has index %d", i, c.index)
		}
		if c.Conn.(*fakeConn).closed {
			return errors.New("a closed connection counts as open")
		}
	}
	return checkOpen(l)
}

// A connection from which request bytes were read is never evicted. A listener at its capacity accepts a connection and evicts
// periodically while a request arrives on one of the idle connections.
func TestInterleaveEviction(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		l, conns := idleListener(2, 2, 1)
		c, served := conns[0], false
		return il.Program{
			Threads: []il.Thread{
				{Name: "request", Run: func() {
					if n, _ := c.Read(make([]byte, 1)); n > 0 {
						served = true
					}
				}},
				{Name: "accept", Run: func() {
					nc, err := l.Accept()
					if err != nil {
						il.Fail("accept: %v", err)
					}
					conns = append(conns, nc.(*Conn))
				}},
				{Name: "evict", Run: func() { l.evictForCapacity(time.Now()) }},
			},
			Invariant: func() error {
				if served && c.Conn.(*fakeConn).closed {
					return errors.New("a connection with a request was evicted")
				}
				return checkOpen(l)
			},
			Check: func() error { return checkOpenList(l) },
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "conn.go", Old: "case c.phase.CompareAndSwap(p, active):\n			return true", New: "default:\n			c.phase.Store(active)\n			return true",
			Want: "a connection with a request was evicted"},
		mutant.Mutant{File: "conn.go", Old: "return c.phase.CompareAndSwap(p, closing)", New: "return c.phase.Swap(closing) != closing",
			Want: "a connection with a request was evicted"},
		mutant.Mutant{File: "listener.go", Old: "		if !l.atCapacity() {", New: "		if true {", Want: "the capacity is 2"},
	)
}

// The count of open connections is correct when a connection is closed twice and another evicted while the listener accepts and
// closes.
func TestInterleaveOpenConns(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		l, conns := idleListener(3, 2, 1)
		return il.Program{
			Threads: []il.Thread{
				{Name: "server", Run: func() { _ = conns[0].Close() }},
				{Name: "other", Run: func() { conns[1].evict(); _ = conns[0].Close() }},
				{Name: "accept", Run: func() {
					if nc, err := l.Accept(); err == nil {
						_ = nc.Close()
					} else if !errors.Is(err, net.ErrClosed) {
						il.Fail("accept: %v", err)
					}
				}},
				{Name: "close listener", Run: func() { _ = l.Close(); l.StopAccepting() }},
			},
			Invariant: func() error { return checkOpen(l) },
			Check: func() error {
				if !l.Listener.(*fakeListener).closed || len(l.open) != 0 {
					return fmt.Errorf("%d connections stay open", len(l.open))
				}
				return checkOpenList(l)
			},
		}
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "listener.go", Old: "func (l *Listener) remove(c *Conn) bool {\n	l.mu.Lock()\n	defer l.mu.Unlock()\n", New: "func (l *Listener) remove(c *Conn) bool {\n",
		Want: "data race: "})
}

// fakeSocketConn is a fake connection with a socket, on which a request may arrive at any moment.
type fakeSocketConn struct {
	fakeConn
	serverFD, clientFD int
}

func (c *fakeSocketConn) SyscallConn() (syscall.RawConn, error) { return fakeRawConn{c}, nil }

type fakeRawConn struct{ *fakeSocketConn }

// Control implements syscall.RawConn.
func (c fakeRawConn) Control(f func(uintptr)) error {
	il.Step(il.Op{Kind: "inspects"})
	f(uintptr(c.serverFD))
	return nil
}

// Read implements syscall.RawConn. The read deadline has passed, so a read that would wait fails.
func (c fakeRawConn) Read(f func(uintptr) bool) error {
	il.Step(il.Op{Kind: "reads"})
	if c.closed {
		return net.ErrClosed
	}
	if !f(uintptr(c.serverFD)) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c fakeRawConn) Write(func(uintptr) bool) error { return errors.ErrUnsupported }

func (c *fakeSocketConn) sendRequest() {
	il.Step(il.Op{Kind: "writes"})
	if n, err := syscall.Write(c.clientFD, []byte("r")); n != 1 {
		panic(err)
	}
}

// A request that arrives at any moment of an eviction is either not read, or its connection stays open.
func TestInterleaveRequestOrEviction(t *testing.T) {
	outcomes := map[string]int{}
	il.Check(t, il.Options{}, func() il.Program {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			panic(err)
		}
		socketConn := &fakeSocketConn{serverFD: pair[0], clientFD: pair[1]}
		l := limit(&fakeListener{}, 1)
		c := l.track(socketConn)
		c.startPhase(time.Now().Add(-time.Hour))
		served := false
		return il.Program{
			Threads: []il.Thread{
				{Name: "client", Run: socketConn.sendRequest},
				{Name: "server", Run: func() {
					n, err := c.Read(make([]byte, 1)) // its deadline ends the wait after one check for input
					if served = n > 0; !served {
						if !errors.Is(err, net.ErrClosed) {
							il.Fail("the server may send a response on a connection without a request: %v", err)
						}
						_ = c.Close()
					}
				}},
				{Name: "evict", Run: func() { l.evictForCapacity(time.Now()) }},
			},
			Check: func() error {
				read := inspect(uintptr(socketConn.serverFD)) != socketReadable
				switch {
				case read && !served:
					return errors.New("a request was read and not served")
				case read && socketConn.closed:
					return errors.New("a connection with a request was evicted")
				case served:
					outcomes["served"]++
				case socketConn.closed:
					outcomes["closed unread"]++
				default:
					return errors.New("a connection stays open after its read deadline")
				}
				return nil
			},
			Cleanup: func() { _ = syscall.Close(pair[0]); _ = syscall.Close(pair[1]) },
		}
	})
	for _, outcome := range []string{"served", "closed unread"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no schedule ended with the outcome %q; schedules by outcome: %v", outcome, outcomes)
		}
	}
	mutant.AssertDetected(t,
		mutant.Mutant{File: "firstread.go", Old: "p []byte) (int, error) {\n	c.firstReadMu.Lock()\n	defer c.firstReadMu.Unlock()\n", New: "p []byte) (int, error) {\n",
			Want: "a connection with a request was evicted"},
		mutant.Mutant{File: "conn.go", Old: "	if !c.firstReadMu.TryLock() {\n		return false // a request's first bytes are being read\n	}\n	defer c.firstReadMu.Unlock()\n", New: "",
			Want: "a connection with a request was evicted"},
		mutant.Mutant{File: "firstread.go", Old: "	if n > 0 {\n		c.markActive()\n	}\n	return n, err", New: "	return n, err", Want: "a connection with a request was evicted"},
		mutant.Mutant{File: "firstread.go", Old: "	if c.phase.Load() == closing {\n		return 0, net.ErrClosed\n	}\n", New: "",
			Want: "a connection with a request was evicted"},
	)
}
