package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

const (
	// drainFor bounds how long a listener that stops accepts what waits in its queue.
	drainTimeout = 200 * time.Millisecond
	// acceptLook is how long it waits for one where none does.
	acceptWait = time.Millisecond
)

var errQueueEmpty = errors.New("no connection waits")

// acceptQueue is that of a listening socket which is this process's alone: what waits in it is reset when the socket closes.
type acceptQueue interface {
	// acceptNow accepts one connection that waits; errQueueEmpty: none does.
	acceptNow() (net.Conn, error)
	// acceptWithoutWait is acceptNow of what waits at this instant.
	acceptWithoutWait() (net.Conn, error)
	// wake ends an Accept that waits, and each later one.
	wake()
}

// acceptQueueOf is the queue of a listener; nil: others accept from it too, or it is not known.
func acceptQueueOf(ln net.Listener) acceptQueue {
	switch l := ln.(type) {
	case noSpliceListener:
		if s := l.socket(); s != nil {
			return socketQueue{s, l}
		}
	case *mergedListener:
		return l
	}
	return nil
}

// drainQueue accepts what waits in the queue, within the cap.
func (l *Listener) drainQueue() {
	q := acceptQueueOf(l.Listener)
	if q == nil {
		return
	}
	q.wake() // Accept gives out what is accepted here
	for started := time.Now(); time.Since(started) < l.drainLimit; {
		nc, err := l.acceptWithin(q)
		switch {
		case err == nil:
			if c := l.track(nc); !sync.SendOr(l.drained, c, l.done) {
				c.Close()
				return
			}
		case !isTransient(err):
			return
		case sync.Pause(l.done, acceptBackoff):
			return
		}
	}
}

// acceptWithin accepts one connection that waits, if the cap has room for it or can get it.
func (l *Listener) acceptWithin(q acceptQueue) (net.Conn, error) {
	if l.atCapacity() {
		l.evictForCapacity(time.Now())
		l.closeLingering()
	}
	if l.atCapacity() {
		return nil, syscall.EMFILE
	}
	nc, err := q.acceptNow()
	l.noDescriptor.Store(isAny(err, resourceErrors))
	return nc, err
}

// acceptDrained gives out what was accepted while the listener stopped, until Close.
func (l *Listener) acceptDrained() (net.Conn, error) {
	c, _, got := sync.Either(l.drained, l.done)
	if !got {
		return nil, net.ErrClosed
	}
	return c, nil
}

// socketListener is a listener of the system.
type socketListener interface {
	syscall.Conn
	SetDeadline(time.Time) error
}

// socket is the listening socket behind a listener; nil: others accept from it too.
func (l noSpliceListener) socket() socketListener {
	inner := l.Listener
	if f, ok := inner.(*fileListener); ok {
		inner = f.Listener
	}
	if _, shared := inner.(*inheritedListener); shared {
		return nil
	}
	s, _ := inner.(socketListener)
	return s
}

type socketQueue struct {
	socketListener
	from noSpliceListener
}

func (q socketQueue) wake() { _ = q.SetDeadline(time.Unix(1, 0)) }

// acceptNow is an accept with a deadline: the system is asked first, so what waits comes at once. An accept that its
// deadline ends does not ask the system again, and the goroutine may run some time after it: what came meanwhile is taken
// without a wait, as the caller closes the socket next.
func (q socketQueue) acceptNow() (net.Conn, error) {
	nc, err := q.acceptByDeadline()
	if err == errQueueEmpty {
		return q.acceptWithoutWait()
	}
	return nc, err
}

func (q socketQueue) acceptByDeadline() (net.Conn, error) {
	if err := q.SetDeadline(time.Now().Add(acceptWait)); err != nil {
		return nil, err
	}
	nc, err := q.from.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errQueueEmpty
	}
	return nc, err
}

// acceptWithoutWait accepts only if the socket has a connection at this instant.
func (q socketQueue) acceptWithoutWait() (net.Conn, error) {
	raw, err := q.SyscallConn()
	if err != nil {
		return nil, err
	}
	has := false
	if err := raw.Control(func(fd uintptr) { has = acceptable(fd) }); err != nil {
		return nil, err
	}
	if !has {
		return nil, errQueueEmpty
	}
	return q.acceptByDeadline()
}

// acceptable reports whether a listening socket has a connection to accept; false also where that cannot be asked.
func acceptable(fd uintptr) bool {
	poll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer syscall.Close(poll)
	if syscall.EpollCtl(poll, syscall.EPOLL_CTL_ADD, int(fd), &syscall.EpollEvent{Events: syscall.EPOLLIN}) != nil {
		return false
	}
	var events [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(poll, events[:], 0)
	return n > 0
}

func (m *mergedListener) wake() {
	for _, l := range m.listeners {
		if q := acceptQueueOf(l); q != nil {
			q.wake()
		}
	}
	go func() {
		m.exclusive.Wait()
		close(m.drained)
	}()
}

// acceptNow asks each listener, and each once more without a wait: while it waited for one, a connection may have come
// to those before.
func (m *mergedListener) acceptNow() (net.Conn, error) {
	if nc := m.nextAccepted(); nc != nil {
		return nc, nil
	}
	if nc, err := m.acceptFromAny(acceptQueue.acceptNow); err != errQueueEmpty {
		return nc, err
	}
	return m.acceptWithoutWait()
}

func (m *mergedListener) acceptWithoutWait() (net.Conn, error) {
	return m.acceptFromAny(acceptQueue.acceptWithoutWait)
}

// acceptFromAny is the first accept that gives a connection or an error.
func (m *mergedListener) acceptFromAny(accept func(acceptQueue) (net.Conn, error)) (net.Conn, error) {
	for _, l := range m.listeners {
		q := acceptQueueOf(l)
		if q == nil {
			continue
		}
		if nc, err := accept(q); err != errQueueEmpty {
			return nc, err
		}
	}
	return nil, errQueueEmpty
}

// nextAccepted is a connection that one of the listeners accepted before it was woken; nil: there is none.
func (m *mergedListener) nextAccepted() net.Conn {
	for {
		select {
		case a := <-m.accepted:
			if a.conn != nil {
				return a.conn
			}
		case <-m.drained:
			return nil
		}
	}
}
