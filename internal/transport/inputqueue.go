package transport

import (
	"errors"
	"sync"
	"syscall"
)

// MaxQueuedInput is the largest count that QueuedInput returns, in bytes.
const MaxQueuedInput = 256 << 10

// peeked takes the bytes that QueuedInput counts. The system copies none of a TCP socket's, as of those it is asked for the count only.
var peeked struct {
	sync.Mutex
	bytes [MaxQueuedInput]byte
}

// QueuedInput returns how many bytes wait to be read on a connection, up to MaxQueuedInput; 0 after an error. It does not block.
func QueuedInput(c syscall.Conn) (size int) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { size = countInput(fd) })
	}
	return size
}

// InputEnded reports whether no more bytes can arrive on a connection: the peer has ended its sending, or the connection is broken or
// closed. Bytes that arrived before may be left to read. It does not block.
func InputEnded(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) { ended = polledEvents(fd, syscall.EPOLLRDHUP) != 0 })
	return ended || err != nil
}

// countInput returns how many bytes wait to be read.
func countInput(fd uintptr) int {
	peeked.Lock()
	defer peeked.Unlock()
	for {
		n, _, err := syscall.Recvfrom(int(fd), peeked.bytes[:], syscall.MSG_PEEK|syscall.MSG_TRUNC|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0)
		}
	}
}

// polledEvents returns which of the events, and of errors and hang-ups, a descriptor has at this instant. It returns 0 if epoll fails.
func polledEvents(fd uintptr, events uint32) uint32 {
	poll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return 0
	}
	defer func() { _ = syscall.Close(poll) }()
	if syscall.EpollCtl(poll, syscall.EPOLL_CTL_ADD, int(fd), &syscall.EpollEvent{Events: events}) != nil {
		return 0
	}
	var polled [1]syscall.EpollEvent
	n, err := syscall.EpollWait(poll, polled[:], 0)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.EpollWait(poll, polled[:], 0)
	}
	if n <= 0 {
		return 0
	}
	return polled[0].Events
}
