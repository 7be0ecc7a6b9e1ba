package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// socketListener is a net.Listener with access to its descriptor.
type socketListener interface {
	syscall.Conn
	SetDeadline(time.Time) error
}

// socket returns the listening socket behind a listener, or nil if other processes accept from it.
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

// socketQueue is the accept queue of one listening socket.
type socketQueue struct {
	socketListener
	listener noSpliceListener
}

func (q socketQueue) wake() { _ = q.SetDeadline(time.Unix(1, 0)) }

// acceptNow accepts with a deadline and returns a connection that is already queued at once. If the goroutine runs only some
// time after the deadline, the accept does not check the queue again. So acceptNow tries once more without a wait, because the
// caller closes the socket next.
func (q socketQueue) acceptNow() (net.Conn, error) {
	nc, err := q.acceptByDeadline()
	if errors.Is(err, errQueueEmpty) {
		return q.acceptWithoutWait()
	}
	return nc, err
}

func (q socketQueue) acceptByDeadline() (net.Conn, error) {
	if err := q.SetDeadline(time.Now().Add(acceptWait)); err != nil {
		return nil, err
	}
	nc, err := q.listener.Accept()
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
	queued := false
	if err := raw.Control(func(fd uintptr) { queued = acceptable(fd) }); err != nil {
		return nil, err
	}
	if !queued {
		return nil, errQueueEmpty
	}
	return q.acceptByDeadline()
}

// acceptable reports whether a listening socket has a queued connection. It returns false if epoll fails.
func acceptable(fd uintptr) bool { return polledEvents(fd, syscall.EPOLLIN) != 0 }
