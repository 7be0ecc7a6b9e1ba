package transport

import (
	"errors"
	"syscall"
)

// socketState is the result of peeking at a socket's input.
type socketState int

const (
	socketEmpty    socketState = iota // nothing to read
	socketReadable                    // bytes to read
	socketClosed                      // end of file or an error
)

// inspect peeks at a socket without blocking.
func inspect(fd uintptr) socketState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	for errors.Is(err, syscall.EINTR) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return socketEmpty
	case err != nil || n == 0:
		return socketClosed
	}
	return socketReadable
}

// IsReusable reports whether an idle connection is still open and has no input.
func IsReusable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) { reusable = inspect(fd) == socketEmpty })
	return err == nil && reusable
}

// HasInput reports whether bytes wait on an idle connection. It does not block.
func HasInput(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) { readable = inspect(fd) == socketReadable })
	return err == nil && readable
}

// Socket options that package syscall does not name on all architectures, and the counters of the second one, of 32 bits each
// (linux/sock_diag.h).
const (
	socketDomain      = 39 // SO_DOMAIN: the address family
	socketMemoryInfo  = 55 // SO_MEMINFO
	writeMemoryAlloc  = 2  // index: bytes that the peer's socket has not taken yet, of a Unix socket; of a TCP socket also acknowledgements
	writeMemoryQueued = 5  // index: bytes that are queued until the peer's machine has acknowledged them, of a TCP socket
)

// HasUndelivered reports whether the peer's machine has not taken all bytes that were written. It does not block.
func HasUndelivered(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	undelivered := false
	err = raw.Control(func(fd uintptr) { undelivered = undeliveredBytes(int(fd)) > 0 })
	return err == nil && undelivered
}

// undeliveredBytes returns how much memory the bytes use that the peer's machine has not taken; 0 after an error.
func undeliveredBytes(fd int) uint32 {
	counter := writeMemoryQueued
	if domain, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, socketDomain); err == nil && domain == syscall.AF_UNIX {
		counter = writeMemoryAlloc
	}
	// The only getter of package syscall for eight integers is named after another option.
	counters, err := syscall.GetsockoptICMPv6Filter(fd, syscall.SOL_SOCKET, socketMemoryInfo)
	if err != nil {
		return 0
	}
	return counters.Data[counter]
}

// pendingInput peeks at the connection's input, including what was read ahead.
func (c *Conn) pendingInput() (s socketState) {
	if c.readAhead.size.Load() > 0 {
		return socketReadable
	}
	s = socketEmpty
	if raw := c.raw(); raw != nil {
		_ = raw.Control(func(fd uintptr) { s = inspect(fd) })
	}
	return s
}

// readAvailable reads without blocking; syscall.EAGAIN means that there is no input.
func readAvailable(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		return max(n, 0), err
	}
}
