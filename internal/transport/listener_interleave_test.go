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

// wire is a connection with a request; it records whether it was closed.
type wire struct {
	net.Conn
	closed bool
}

func (w *wire) Read([]byte) (int, error) {
	if w.closed {
		return 0, net.ErrClosed
	}
	return 1, nil
}

func (w *wire) Close() error { w.closed = true; return nil }

// backlog is a listener with a number of queued connections.
type backlog struct {
	net.Listener
	left   int
	closed bool
}

func (b *backlog) Accept() (net.Conn, error) {
	if b.left == 0 || b.closed {
		return nil, net.ErrClosed
	}
	b.left--
	return &wire{}, nil
}

func (b *backlog) Close() error { b.closed = true; return nil }

// openListener returns a listener with connections in it, between requests for an hour.
func openListener(most, held, waiting int) (*Listener, []*Conn) {
	l := limit(&backlog{left: waiting + held}, most)
	var conns []*Conn
	for range held {
		nc, err := l.Accept()
		if err != nil {
			panic(err)
		}
		c := nc.(*Conn)
		conns = append(conns, c)
	}
	for _, c := range conns { // an accept sheds too
		c.markActive()
		c.SetIdle(true)
		c.phaseStart.Store(time.Now().Add(-time.Hour).UnixNano())
	}
	return l, conns
}

// checkOpen is the invariant of the open connections: within the cap, every connection at its place and open.
func checkOpen(l *Listener) error {
	if len(l.open) > l.capacity+l.overflow {
		return fmt.Errorf("%d are open, the cap is %d", len(l.open), l.capacity)
	}
	return nil
}

// checkSettled reports a connection at a wrong index of the open ones, or a closed one among them.
func checkSettled(l *Listener) error {
	for i, c := range l.open {
		if c.index != i {
			return fmt.Errorf("the connection at %d believes to be at %d", i, c.index)
		}
		if c.Conn.(*wire).closed {
			return errors.New("a closed connection counts as open")
		}
	}
	return checkOpen(l)
}

// At the capacity: one new connection, the periodic eviction, and a request on one of the idle connections.
// A connection of which request bytes were read is never evicted.
func TestInterleaveEviction(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		l, conns := openListener(2, 2, 1)
		c, served := conns[0], false
		return il.World{
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
				{Name: "tend", Run: func() { l.evictForCapacity(time.Now()) }},
			},
			Always: func() error {
				if served && c.Conn.(*wire).closed {
					return errors.New("a connection with a request was shed")
				}
				return checkOpen(l)
			},
			Check: func() error { return checkSettled(l) },
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "conn.go", Old: "case c.phase.CompareAndSwap(p, active):\n			return true", New: "default:\n			c.phase.Store(active)\n			return true",
			Want: "a connection with a request was shed"},
		mutant.Mutant{File: "conn.go", Old: "return c.phase.CompareAndSwap(p, closing)", New: "return c.phase.Swap(closing) != closing",
			Want: "a connection with a request was shed"},
		mutant.Mutant{File: "listener.go", Old: "		if !l.atCapacity() {", New: "		if true {", Want: "the cap is 2"},
	)
}

// A connection is closed twice, by its server and by eviction, while others are accepted and counted and the listener closes.
func TestInterleaveOpenConns(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		l, conns := openListener(3, 2, 1)
		return il.World{
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
				{Name: "end", Run: func() { _ = l.Close(); l.StopAccepting() }},
			},
			Always: func() error { return checkOpen(l) },
			Check: func() error {
				if !l.Listener.(*backlog).closed || len(l.open) != 0 {
					return fmt.Errorf("%d stay open", len(l.open))
				}
				return checkSettled(l)
			},
		}
	})
	mutant.Found(t, mutant.Mutant{File: "listener.go", Old: "func (l *Listener) drop(c *Conn) {\n	l.mu.Lock()\n	defer l.mu.Unlock()\n", New: "func (l *Listener) drop(c *Conn) {\n",
		Want: "data race: "})
}

// socketWire is a connection with a socket, in which a request may come at any moment.
type socketWire struct {
	wire
	mine, theirs int
}

func (w *socketWire) SyscallConn() (syscall.RawConn, error) { return rawWire{w}, nil }

type rawWire struct{ *socketWire }

// Control implements syscall.RawConn.
func (w rawWire) Control(f func(uintptr)) error {
	il.Step(il.Op{Kind: "looks"})
	f(uintptr(w.mine))
	return nil
}

// Read implements syscall.RawConn. Who would wait has met its deadline.
func (w rawWire) Read(f func(uintptr) bool) error {
	il.Step(il.Op{Kind: "reads"})
	if w.closed {
		return net.ErrClosed
	}
	if !f(uintptr(w.mine)) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (w rawWire) Write(func(uintptr) bool) error { return errors.ErrUnsupported }

func (w *socketWire) request() {
	il.Step(il.Op{Kind: "writes"})
	if n, err := syscall.Write(w.theirs, []byte("r")); n != 1 {
		panic(err)
	}
}

// A request that arrives at any moment of an eviction is either not read, or its connection stays open.
func TestInterleaveRequestOrEviction(t *testing.T) {
	ends := map[string]int{}
	il.Check(t, il.Options{}, func() il.World {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			panic(err)
		}
		w := &socketWire{mine: pair[0], theirs: pair[1]}
		l := limit(&backlog{}, 1)
		c := l.track(w)
		c.phaseStart.Store(time.Now().Add(-time.Hour).UnixNano())
		served := false
		return il.World{
			Threads: []il.Thread{
				{Name: "client", Run: w.request},
				{Name: "server", Run: func() {
					n, err := c.Read(make([]byte, 1)) // its time ends when it has looked once
					if served = n > 0; !served {
						if !errors.Is(err, net.ErrClosed) {
							il.Fail("a connection that sent nothing may be answered: %v", err)
						}
						_ = c.Close()
					}
				}},
				{Name: "tend", Run: func() { l.evictForCapacity(time.Now()) }},
			},
			Check: func() error {
				read := inspect(uintptr(w.mine)) != socketReadable
				switch {
				case read && !served:
					return errors.New("a request was read and not served")
				case read && w.closed:
					return errors.New("a connection with a request was shed")
				case served:
					ends["served"]++
				case w.closed:
					ends["closed unread"]++
				default:
					return errors.New("a connection whose time is over stays open")
				}
				return nil
			},
			End: func() { _ = syscall.Close(pair[0]); _ = syscall.Close(pair[1]) },
		}
	})
	for _, end := range []string{"served", "closed unread"} {
		if ends[end] == 0 {
			t.Errorf("no order ended as %q: %v", end, ends)
		}
	}
	mutant.Found(t,
		mutant.Mutant{File: "firstread.go", Old: "p []byte) (int, error) {\n	c.firstReadMu.Lock()\n	defer c.firstReadMu.Unlock()\n", New: "p []byte) (int, error) {\n",
			Want: "a connection with a request was shed"},
		mutant.Mutant{File: "conn.go", Old: "	if !c.firstReadMu.TryLock() {\n		return false // a request's first bytes are being read\n	}\n	defer c.firstReadMu.Unlock()\n", New: "",
			Want: "a connection with a request was shed"},
		mutant.Mutant{File: "firstread.go", Old: "	if n > 0 {\n		c.markActive()\n	}\n	return n, err", New: "	return n, err", Want: "a connection with a request was shed"},
		mutant.Mutant{File: "firstread.go", Old: "	if c.phase.Load() == closing {\n		return 0, net.ErrClosed\n	}\n", New: "",
			Want: "a connection with a request was shed"},
	)
}
