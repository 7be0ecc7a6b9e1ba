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
	from noSpliceListener
}

func (q socketQueue) wake() { _ = q.SetDeadline(time.Unix(1, 0)) }

// acceptNow is an accept with a deadline; a connection that is already queued is returned at once. The goroutine may run some
// time after the deadline, and the accept does not try again then. So acceptNow tries once more without a wait, because the
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

// acceptable reports whether a listening socket has a queued connection. It is false also if epoll fails.
func acceptable(fd uintptr) bool {
	poll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer func() { _ = syscall.Close(poll) }()
	if syscall.EpollCtl(poll, syscall.EPOLL_CTL_ADD, int(fd), &syscall.EpollEvent{Events: syscall.EPOLLIN}) != nil {
		return false
	}
	var events [1]syscall.EpollEvent
	n, _ := syscall.EpollWait(poll, events[:], 0)
	return n > 0
}
