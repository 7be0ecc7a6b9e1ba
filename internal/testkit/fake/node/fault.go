package node

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"wheatsaddle/internal/address"
)

// Fault is what an address does instead of serving.
type Fault int32

// The faults.
const (
	None        Fault = iota
	Refused           // nobody listens; of a socket file, there is none
	Hang              // it accepts and says nothing; nothing runs
	Reset             // it accepts, and resets once a request has come; nothing runs
	BacklogFull       // connects neither come up nor fail
	Slow              // its answers come late
	Half              // it runs the request and sends half of the answer
	NoAnswer          // it runs the request and never answers
	Other             // it leads to another node, which holds no shard that is asked for
	StaleFile         // the file of a dead socket; of a port as Refused
	NoSocket          // a plain file is in the socket's place; of a port as Refused
	faults
)

var words = [faults]string{"none", "refused", "accepts and hangs", "accepts and resets", "backlog full", "slow",
	"half an answer", "answer never comes", "another node", "file without a listener", "path is no socket"}

func (f Fault) String() string {
	if f >= 0 && f < faults {
		return words[f]
	}
	return fmt.Sprint("fault ", int32(f))
}

// Faults are all of them but None.
func Faults() (all []Fault) {
	for f := Refused; f < faults; f++ {
		all = append(all, f)
	}
	return all
}

// listens says whether connections are accepted under it.
func (f Fault) listens() bool {
	switch f {
	case Refused, BacklogFull, StaleFile, NoSocket:
		return false
	}
	return true
}

// port is one address.
type port struct {
	n        *Node
	at       address.Addr
	now      atomic.Int32
	ln       net.Listener
	full     *backlog
	accepted int // under n.mu
}

func (p *port) fault() Fault { return Fault(p.now.Load()) }

func (p *port) serve(ln net.Listener) {
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false)
	}
	p.ln = ln
	p.n.wg.Add(1)
	go func() {
		defer p.n.wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			p.n.mu.Lock()
			p.accepted++
			p.n.counts.Conns++
			l := &link{port: p, nc: nc, done: make(chan struct{})}
			full := p.n.closed || p.n.opt.Conns > 0 && len(p.n.conns) >= p.n.opt.Conns
			if !full {
				p.n.conns[l] = true
				p.n.wg.Add(1)
			}
			p.n.mu.Unlock()
			p.n.saw(Connected)
			if full {
				nc.Close()
				continue
			}
			go p.n.serve(l)
		}
	}()
}

// shut stops listening and takes away what the address has in the file system.
func (p *port) shut() error {
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
	if p.full != nil {
		p.full.close()
		p.full = nil
	}
	if path := p.at.Path(); path != "" {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// set puts a fault in place of the one before.
func (p *port) set(f Fault) error {
	was := p.fault()
	p.now.Store(int32(f))
	if !f.listens() {
		if err := p.shut(); err != nil {
			return err
		}
		p.end()
	} else if !was.listens() {
		if err := p.shut(); err != nil {
			return err
		}
		network, to := p.at.Dial()
		ln, err := net.Listen(network, to)
		if err != nil {
			return err
		}
		p.serve(ln)
	}
	path := p.at.Path()
	switch {
	case f == StaleFile && path != "":
		ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			return err
		}
		ln.SetUnlinkOnClose(false)
		return ln.Close()
	case f == NoSocket && path != "":
		return os.WriteFile(path, nil, 0o600)
	case f == BacklogFull:
		b, err := fillBacklog(p.at)
		p.full = b
		return err
	}
	return nil
}

// end resets the connections of the address.
func (p *port) end() {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	for l := range p.n.conns {
		if l.port == p {
			l.reset()
		}
	}
}

// reset ends a connection so that its other side sees it broken: by RST, or for a socket file
// by its end.
func (l *link) reset() {
	if t, ok := l.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	l.nc.Close()
}

// gone says whether the other side has ended the connection.
func (l *link) gone() bool {
	sc, ok := l.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && rerr == nil || rerr != nil && !errors.Is(rerr, syscall.EAGAIN)
	})
	return gone || err != nil
}

// backlog is a listening socket whose queue is full and which accepts nothing.
type backlog struct {
	fd   int
	held []net.Conn
}

const (
	fillWait = 60 * time.Millisecond
	fillMost = 16
)

func fillBacklog(a address.Addr) (*backlog, error) {
	family, to := syscall.AF_UNIX, syscall.Sockaddr(&syscall.SockaddrUnix{Name: a.Path()})
	if a.Path() == "" {
		network, text := a.Dial()
		tcp, err := net.ResolveTCPAddr(network, text)
		if err != nil {
			return nil, err
		}
		if a.Family() == address.IPv6 {
			s := &syscall.SockaddrInet6{Port: tcp.Port}
			copy(s.Addr[:], tcp.IP.To16())
			family, to = syscall.AF_INET6, s
		} else {
			s := &syscall.SockaddrInet4{Port: tcp.Port}
			copy(s.Addr[:], tcp.IP.To4())
			family, to = syscall.AF_INET, s
		}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	b := &backlog{fd: fd}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = syscall.Bind(fd, to); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		b.close()
		return nil, os.NewSyscallError("listen", err)
	}
	network, text := a.Dial()
	for range fillMost {
		nc, err := net.DialTimeout(network, text, fillWait)
		if err != nil {
			return b, nil //nolint:nilerr // the queue is full, as wanted
		}
		b.held = append(b.held, nc)
	}
	b.close()
	return nil, fmt.Errorf("%v: its backlog does not fill", a)
}

func (b *backlog) close() {
	for _, nc := range b.held {
		nc.Close()
	}
	_ = syscall.Close(b.fd)
}
