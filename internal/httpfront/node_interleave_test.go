//go:build interleave

package httpfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/core"
	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/mailbox"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// instantConn is a connection whose node responds at once. idleFD is an open socket with nothing to read.
type instantConn struct {
	net.Conn
	idleFD     uintptr
	readableFD uintptr // a socket with unread input, which socket checks see from the second one on; 0: none
	checks     int
	closed     bool
	draining   *bool // true: a write fails the test
	in         bytes.Buffer
}

func (c *instantConn) Write(p []byte) (int, error) {
	// draining is checked before closed, because a context's AfterFunc closes the connection in a goroutine that the schedule
	// does not control.
	if *c.draining {
		il.Fail("written to a draining node")
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.in.WriteString(okResponse)
	return len(p), nil
}
func (c *instantConn) Read(p []byte) (int, error)            { return c.in.Read(p) }
func (c *instantConn) Close() error                          { c.closed = true; return nil }
func (c *instantConn) SetReadDeadline(time.Time) error       { return nil }
func (c *instantConn) SyscallConn() (syscall.RawConn, error) { return rawInstantConn{c}, nil }
func (c *instantConn) Control(f func(fd uintptr)) error {
	if c.closed {
		return net.ErrClosed
	}
	if c.checks++; c.readableFD != 0 && c.checks > 1 {
		f(c.readableFD)
		return nil
	}
	f(c.idleFD)
	return nil
}

// rawInstantConn implements syscall.RawConn with the Control method of its connection.
type rawInstantConn struct{ *instantConn }

func (r rawInstantConn) Read(func(uintptr) bool) error  { return nil }
func (r rawInstantConn) Write(func(uintptr) bool) error { return nil }

// idleSocket returns one end of a socket pair that stays open.
func idleSocket(t *testing.T) uintptr {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[0]); _ = syscall.Close(fds[1]) })
	return uintptr(fds[0])
}

// readableSocket returns one end of a socket pair on which one byte is unread.
func readableSocket(t *testing.T) uintptr {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[0]); _ = syscall.Close(fds[1]) })
	if _, err := syscall.Write(fds[1], []byte("x")); err != nil {
		t.Fatal(err)
	}
	return uintptr(fds[0])
}

// newIdleNode returns a node actor without its goroutine and with the given number of idle connections.
func newIdleNode(d *Dialer, fd uintptr, name string, idle int) *node {
	n := &node{dialer: d, name: name, mailbox: mailbox.New[nodeMessage](8), busy: map[*core.Attempt]*conn{},
		waiting: connqueue.New[*core.Attempt](connqueue.Settings{FreeConnWait: d.FreeConnWait, ConnectTimeout: time.Hour}), started: time.Now()}
	for range idle {
		c := &conn{node: n, jobs: make(chan job, 1)}
		c.setSocket(&instantConn{idleFD: fd})
		n.idle, n.connCount = append(n.idle, c), n.connCount+1
		d.idle.put(c)
		d.open.Add(1)
	}
	return n
}

// processMailbox handles the messages in the mailbox, as one iteration of the actor's loop.
func (n *node) processMailbox() {
	for _, m := range n.mailbox.Take(nil) {
		n.handle(m)
		n.serveWaiting()
	}
}

// Four nodes share two connections, which are idle and belong to two of them. One of these closes its own, and the other
// nodes need a connection. A connection in use is never evicted, and the counts of the nodes and of the dialer agree.
func TestInterleaveIdleEviction(t *testing.T) {
	fd := idleSocket(t)
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		d := &Dialer{MaxConns: 2, ConnIdle: time.Hour}
		nodes := []*node{newIdleNode(d, fd, "a", 1), newIdleNode(d, fd, "b", 1), newIdleNode(d, fd, "c", 0), newIdleNode(d, fd, "d", 0)}
		var used []*conn
		program := il.Program{}
		for i, n := range nodes {
			program.Threads = append(program.Threads, il.Thread{Name: n.name, Run: func() {
				if i == 1 {
					for len(n.idle) > 0 {
						n.closeIdle(n.idle[0], reasonIdleExpired)
					}
					n.processMailbox()
				} else if c := n.connForProbe(); c != nil {
					used = append(used, c)
					n.processMailbox()
					sync.Close(c.jobs) // its goroutine ends
				}
			}})
		}
		program.Invariant = func() error {
			for _, c := range used {
				if c.socket != nil && c.socket.(*instantConn).closed {
					return errors.New("a connection in use was closed for another")
				}
			}
			return nil
		}
		program.Check = func() error {
			for _, n := range nodes {
				n.processMailbox()
			}
			sum := int64(0)
			for _, n := range nodes {
				sum += int64(n.connCount)
			}
			if open := d.open.Load(); sum != open || sum > d.MaxConns {
				return fmt.Errorf("the nodes count %d connections, the dialer %d, at most %d are allowed", sum, open, d.MaxConns)
			}
			return nil
		}
		return program
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "nodeconns.go", Old: "			if n.dialer.idle.remove(c) {\n				return c\n			}", New: "			n.dialer.idle.remove(c)\n			return c",
			Want: "a connection in use was closed for another"},
		mutant.Mutant{File: "idle.go", Old: "	c := s.list.Remove(first).(*conn)\n	c.idleElement = nil", New: "	c := s.list.Remove(first).(*conn)",
			Want: "close of closed channel"},
		mutant.Mutant{File: "idle.go", Old: "		if d.open.CompareAndSwap(n, n+1) {", New: "		if d.open.Add(1) > 0 {",
			Want: "are allowed"},
	)
}

// The connection limit is one and in use. Of two callers that reserve a connection, one of them after it released the
// connection in use, exactly one succeeds.
func TestInterleaveReserveConn(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		d := &Dialer{MaxConns: 1}
		d.open.Store(1)
		n, reserved := &node{dialer: d}, 0
		reserve := func() {
			if d.reserveConn() {
				reserved++
			}
		}
		return il.Program{
			Threads: []il.Thread{{Name: "one", Run: reserve}, {Name: "other", Run: func() { n.uncountConn(&conn{node: n}); reserve() }}},
			Check: func() error {
				if open := d.open.Load(); reserved != 1 || open != 1 {
					return fmt.Errorf("%d of two callers reserved the only connection, %d counted", reserved, open)
				}
				return nil
			},
		}
	})
	loop := "	for n := d.open.Load(); n < d.maxConns(); n = d.open.Load() {\n		if d.open.CompareAndSwap(n, n+1) {\n			return true\n		}\n	}\n"
	mutant.AssertDetected(t, mutant.Mutant{File: "idle.go", Old: loop, // New: an earlier implementation, which could refuse both callers
		New:  "	if d.open.Add(1) <= d.MaxConns {\n		return true\n	}\n	d.open.Add(-1)\n",
		Want: "0 of two callers reserved the only connection"})
}

// newSingleConnNode returns a node actor with at most one connection, and attempts whose results all go to one channel.
func newSingleConnNode(fd uintptr, req *core.Request, wait time.Duration, attemptCount int) (n *node, draining *bool, attempts []*core.Attempt, results chan policy.Status) {
	d := &Dialer{MaxConns: 1, ConnIdle: time.Hour, FreeConnWait: wait}
	draining = new(bool)
	d.dial = func(context.Context, address.Addr, time.Duration) (transport.Stream, address.Reason, error) {
		return &instantConn{idleFD: fd, draining: draining}, 0, nil
	}
	n = newIdleNode(d, fd, "a", 0)
	results = make(chan policy.Status, 2*attemptCount)
	for range attemptCount {
		attempts = append(attempts, core.NewAttempt(req, inOneMinute(), func(r core.Result) { sync.Send(results, r.Status) }))
	}
	return n, draining, attempts, results
}

// runWithoutTimers runs the actor's loop without its timers.
func (n *node) runWithoutTimers() {
	for !n.closing || n.connCount > 0 || n.mailbox.Len() > 0 {
		sync.Recv(n.mailbox.Wake())
		n.processMailbox()
	}
}

func (n *node) checkNothingLeft() error {
	if open := n.dialer.open.Load(); n.waiting.Len() != 0 || len(n.busy) != 0 || open != 0 {
		return fmt.Errorf("left at the end: %d waiting attempts, %d busy connections, %d open connections", n.waiting.Len(), len(n.busy), open)
	}
	return nil
}

// The actor owns the queue of attempts that wait for the node's only connection (internal/connqueue). Sends, a cancel and a
// drain run concurrently with the connection's goroutine. Every attempt ends, nothing is written after the drain, and the
// connection is returned.
func TestInterleaveWaitingQueue(t *testing.T) {
	fd := idleSocket(t)
	a, _ := attempt(t, inOneMinute())
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		n, draining, attempts, results := newSingleConnNode(fd, a.Request, time.Hour, 2)
		return il.Program{
			Threads: []il.Thread{
				{Name: "actor", Run: n.runWithoutTimers},
				{Name: "core", Run: func() {
					n.Send(attempts[0])
					n.Send(attempts[1])
					n.Cancel(attempts[1])
					for range attempts {
						if s, _ := sync.Recv(results); s != policy.OK && s != policy.ConnectFailed && s != policy.Cancelled {
							il.Fail("attempt ended with %v", s)
						}
					}
					n.Close()
				}},
				{Name: "list", Run: func() { n.Drain(true); *draining = true }},
			},
			Check: n.checkNothingLeft,
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "conn.go", Old: "	if c.node.draining.Load() {", New: "	if false {", Want: "written to a draining node"},
		mutant.Mutant{File: "node.go", Old: "		if n.waiting.Remove(m.cancel) {", New: "		if n.waiting.Remove(m.cancel) && n.draining.Load() {", Want: "deadlock"},
	)
}

// The actor is notified that a connection is free before the core gets the result, so that the next send finds it free,
// even with a FreeConnWait of zero.
func TestInterleaveReuseAfterResult(t *testing.T) {
	fd := idleSocket(t)
	a, _ := attempt(t, inOneMinute())
	il.Check(t, il.Options{}, func() il.Program {
		n, _, attempts, results := newSingleConnNode(fd, a.Request, 0, 2)
		return il.Program{
			Threads: []il.Thread{
				{Name: "actor", Run: n.runWithoutTimers},
				{Name: "core", Run: func() {
					for i, try := range attempts {
						n.Send(try)
						if s, _ := sync.Recv(results); s != policy.OK {
							il.Fail("attempt %d: %v", i, s)
						}
					}
					n.Close()
				}},
			},
			Check: n.checkNothingLeft,
		}
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "conn.go",
		Old:  "	c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !end.reuse})\n	if !end.passedOn {\n		j.attempt.Done(end.result)\n	}",
		New:  "	if !end.passedOn {\n		j.attempt.Done(end.result)\n	}\n	c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !end.reuse})",
		Want: "attempt 1: "})
}

// Right before the write an idle connection has unread input, which the actor's check did not see. The attempt goes over
// another connection, and a cancel at any time ends it. It ends once, nothing of it is written to the first connection, and
// both connections are removed from the counts.
func TestInterleaveResend(t *testing.T) {
	fd, readableFD := idleSocket(t), readableSocket(t)
	a, _ := attempt(t, inOneMinute())
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		n, draining, attempts, results := newSingleConnNode(fd, a.Request, 0, 1)
		n.dialer.MaxConns = 2
		never := true
		c := &conn{node: n, jobs: make(chan job, 1), used: true}
		c.setSocket(&instantConn{idleFD: fd, readableFD: readableFD, draining: &never}) // a write to it fails the test
		n.idle, n.connCount = append(n.idle, c), 1
		n.dialer.idle.put(c)
		n.dialer.open.Add(1)
		*draining = false
		return il.Program{
			Threads: []il.Thread{
				{Name: "actor", Run: func() { sync.Go(c.run); n.runWithoutTimers() }},
				{Name: "core", Run: func() {
					n.Send(attempts[0])
					n.Cancel(attempts[0])
					if s, _ := sync.Recv(results); s != policy.OK && s != policy.Cancelled {
						il.Fail("attempt ended with %v", s)
					}
					n.Close()
				}},
			},
			Check: n.checkNothingLeft,
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "conn.go", Old: "	if c.isUnusable() {", New: "	if false {", Want: "written to a draining node"},
		mutant.Mutant{File: "node.go", Old: "	case cancelled:\n		sync.Go(func() { a.Done(core.Result{Status: policy.Cancelled}) })\n",
			New: "	case cancelled:\n", Want: "deadlock"},
		mutant.Mutant{File: "node.go", Old: "	c.stop()\n	n.uncountConn(c)\n	switch {", New: "	c.stop()\n	switch {", Want: "deadlock"},
	)
}
