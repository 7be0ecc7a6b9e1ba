package transport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// DefaultInheritedDescriptor is the descriptor of a listening socket that the platform hands over, where
// the variable that names it says no other.
const DefaultInheritedDescriptor = 3

// ListenInherited makes a listener of a socket that the process inherited. name is what the platform set
// in its variable: a descriptor's number, or anything else for DefaultInheritedDescriptor. The descriptor
// must be a listening TCP socket; it stays the platform's, and the listener holds a copy.
func ListenInherited(name string) (net.Listener, error) {
	fd := DefaultInheritedDescriptor
	if n, err := strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(name), "fd:")); err == nil {
		fd = n
	}
	if fd < 0 {
		return nil, &InheritedSocketError{Name: name, Problem: "no descriptor"}
	}
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE)
	if err != nil {
		return nil, &InheritedSocketError{name, fmt.Sprintf("descriptor %d", fd), err}
	}
	if kind != syscall.SOCK_STREAM {
		return nil, &InheritedSocketError{Name: name, Problem: fmt.Sprintf("descriptor %d is no stream socket", fd)}
	}
	// One that is bound and not yet listening is made to listen; listen(2) on one that
	// listens already only sets its backlog.
	if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening != 1 {
		if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
			return nil, &InheritedSocketError{name, fmt.Sprintf("descriptor %d does not listen", fd), err}
		}
	}
	f := os.NewFile(uintptr(fd), "passed socket")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, &InheritedSocketError{Name: name, Err: err}
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, &InheritedSocketError{Name: name, Problem: fmt.Sprintf("descriptor %d is no TCP socket", fd)}
	}
	return noSpliceListener{&inheritedListener{tcp}}, nil
}

// inheritedListener is a listener whose socket others hold too. What says that it does not block belongs to them all: who
// passes it on may have made it block again (os.File.Fd does), and an accept that blocks outlasts Close.
type inheritedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (p *inheritedListener) Accept() (net.Conn, error) {
	if raw, err := p.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
	return p.TCPListener.Accept()
}
