package discovery

import (
	"net"
	"os"
	"syscall"
)

// port is one address of the service. While it is shut nobody listens there, but the port stays taken:
// else a connection could have it when the service comes back.
type port struct {
	s    *Service
	name string
	addr string
	ln   net.Listener // nil: shut
	fd   int          // bound, without a listener; -1: none
}

func newPort(s *Service, name string) (*port, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &port{s: s, name: name, addr: ln.Addr().String(), fd: -1}
	p.serve(ln)
	return p, nil
}

func (p *port) serve(ln net.Listener) {
	p.ln = ln
	p.s.wg.Go(func() { p.s.accept(ln, p.name) })
}

// shut ends or begins listening; under s.mu.
func (p *port) shut(on bool) error {
	switch {
	case on && p.ln != nil && !p.s.closed:
		at := p.ln.Addr().(*net.TCPAddr)
		p.ln.Close()
		p.ln = nil
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return &NoListener{p.name, os.NewSyscallError("socket", err)}
		}
		p.fd = fd
		if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
			err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())})
		}
		if err != nil {
			return &NoListener{p.name, os.NewSyscallError("bind", err)}
		}
	case !on && p.ln == nil && !p.s.closed:
		f := os.NewFile(uintptr(p.fd), p.addr)
		p.fd = -1
		defer f.Close()
		if err := syscall.Listen(int(f.Fd()), syscall.SOMAXCONN); err != nil {
			return &NoListener{p.name, os.NewSyscallError("listen", err)}
		}
		ln, err := net.FileListener(f)
		if err != nil {
			return &NoListener{p.name, err}
		}
		p.serve(ln)
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
