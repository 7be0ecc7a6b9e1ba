package transport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// DefaultInheritedDescriptor is the descriptor of an inherited listening socket if the environment variable names no other.
const DefaultInheritedDescriptor = 3

// ListenInherited returns a listener on a socket that the process inherited. name is the value of the environment variable: a
// descriptor's number, or any other text for DefaultInheritedDescriptor. The descriptor must be a TCP socket. The listener uses
// a copy of it, and ListenInherited closes the descriptor itself. An error is an InheritedSocketError.
func ListenInherited(name string) (net.Listener, error) {
	fd := inheritedDescriptor(name)
	if fd < 0 {
		return nil, &InheritedSocketError{Name: name, Problem: "not a valid descriptor"}
	}
	socketType, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	if err != nil {
		return nil, &InheritedSocketError{name, fmt.Sprintf("descriptor %d", fd), err}
	}
	if socketType != syscall.SOCK_STREAM {
		return nil, &InheritedSocketError{Name: name, Problem: fmt.Sprintf("descriptor %d is not a stream socket", fd)}
	}
	// A socket that is bound but does not listen yet starts to listen.
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening != 1 {
		if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
			return nil, &InheritedSocketError{name, fmt.Sprintf("descriptor %d cannot listen", fd), err}
		}
	}
	f := os.NewFile(uintptr(fd), "passed socket")
	defer func() { _ = f.Close() }() // the listener has a copy
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, &InheritedSocketError{Name: name, Err: err}
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		_ = ln.Close() // it is not used
		return nil, &InheritedSocketError{Name: name, Problem: fmt.Sprintf("descriptor %d is not a TCP socket", fd)}
	}
	return noSpliceListener{&inheritedListener{tcp}}, nil
}

// inheritedDescriptor returns the descriptor that the environment variable names.
func inheritedDescriptor(name string) int {
	if n, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(name), "fd:")); err == nil {
		return n
	}
	return DefaultInheritedDescriptor
}

// InheritedAddr returns the address of a socket that the process inherited, before ListenInherited takes it. An error is an
// InheritedSocketError.
func InheritedAddr(name string) (net.Addr, error) {
	fd := inheritedDescriptor(name)
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, &InheritedSocketError{name, fmt.Sprintf("descriptor %d", fd), err}
	}
	switch a := bound.(type) {
	case *syscall.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	case *syscall.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	}
	return nil, &InheritedSocketError{Name: name, Problem: fmt.Sprintf("descriptor %d is not a TCP socket", fd)}
}

// inheritedListener is a listener whose socket other processes hold too. They share its O_NONBLOCK flag, and another process
// may have cleared it (os.File.Fd does). Accept sets it again, because a blocking accept would not end with Close.
type inheritedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l *inheritedListener) Accept() (net.Conn, error) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return l.TCPListener.Accept()
}
