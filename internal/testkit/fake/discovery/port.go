package discovery

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// port is one address of the service. It stays bound, by a socket that never listens, until the service ends, so that
// no connection takes it while it is shut. A listener that is closed stays with each process that is just being
// started, between fork and exec: until then nobody else listens there, but who wants to is refused.
type port struct {
	s    *Service
	name string
	addr string
	ln   net.Listener // nil: shut
	fd   int          // that holds the port; -1: it is closed
}

const againFor, againEvery = 2 * time.Second, time.Millisecond // a listener is tried again

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
	for from := time.Now(); ; time.Sleep(againEvery) {
		ln, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.ln = ln
			p.s.wg.Go(func() { p.s.accept(ln, p.name) })
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(from) > againFor {
			return err
		}
	}
}

// shut ends or begins listening; under s.mu.
func (p *port) shut(on bool) error {
	switch {
	case on && p.ln != nil && !p.s.closed:
		p.ln.Close()
		p.ln = nil
	case !on && p.ln == nil && !p.s.closed:
		if err := p.listen(); err != nil {
			return &NoListener{p.name, err}
		}
	}
	return nil
}

// close ends it for good; under s.mu.
func (p *port) close() {
	if p.ln != nil {
		p.ln.Close()
	}
	if p.fd >= 0 {
		_ = syscall.Close(p.fd)
		p.fd = -1
	}
}
