package discovery

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// port is one address of the service. A socket that never listens keeps it bound until the service closes, so that no
// outgoing connection gets the port while the listener is closed. A child process holds a copy of a closed listener
// between fork and exec. During this time, listening again fails with EADDRINUSE and is retried.
type port struct {
	s    *Service
	name string
	addr string
	ln   net.Listener // nil: not listening
	fd   int          // socket that keeps the port bound; -1: closed
}

const relistenTimeout, relistenInterval = 2 * time.Second, time.Millisecond // of retries after EADDRINUSE

func newPort(s *Service, name string) (*port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	p := &port{s: s, name: name, fd: fd}
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at syscall.Sockaddr
	if err == nil {
		at, err = syscall.Getsockname(fd)
	}
	if err == nil {
		p.addr = fmt.Sprint("127.0.0.1:", at.(*syscall.SockaddrInet4).Port)
		err = p.listen()
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *port) listen() error {
	for start := time.Now(); ; time.Sleep(relistenInterval) {
		ln, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.ln = ln
			p.s.wg.Go(func() { p.s.accept(ln, p.name) })
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > relistenTimeout {
			return err
		}
	}
}

// setClosed closes the listener, or listens again. Requires s.mu to be locked.
func (p *port) setClosed(closed bool) error {
	switch {
	case closed && p.ln != nil && !p.s.closed:
		p.ln.Close()
		p.ln = nil
	case !closed && p.ln == nil && !p.s.closed:
		if err := p.listen(); err != nil {
			return &NoListener{p.name, err}
		}
	}
	return nil
}

// close closes the listener and releases the port. Requires s.mu to be locked.
func (p *port) close() {
	if p.ln != nil {
		p.ln.Close()
	}
	if p.fd >= 0 {
		_ = syscall.Close(p.fd)
		p.fd = -1
	}
}
