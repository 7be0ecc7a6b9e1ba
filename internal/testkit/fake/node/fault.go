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

// Fault is how an address misbehaves.
type Fault int32

// The faults.
const (
	None         Fault = iota
	Refused            // no listener; for a Unix socket, no file either
	Hang               // accepts and never responds; nothing is executed
	Reset              // accepts and resets once a request has been received; nothing is executed
	BacklogFull        // connects neither succeed nor fail
	Slow               // responses are delayed
	HalfResponse       // executes the request and sends half of the response
	NoResponse         // executes the request and never responds
	OtherNode          // leads to another node that holds none of the requested shards
	StaleFile          // a socket file without a listener; for a port the same as Refused
	NotASocket         // a regular file in place of the socket; for a port the same as Refused
	numFaults
)

var faultTexts = [numFaults]string{"none", "refused", "accepts and hangs", "accepts and resets", "backlog full", "slow",
	"half an answer", "answer never comes", "another node", "file without a listener", "path is no socket"}

func (f Fault) String() string {
	if f >= 0 && f < numFaults {
		return faultTexts[f]
	}
	return fmt.Sprint("fault ", int32(f))
}

// Faults returns all faults except None.
func Faults() (all []Fault) {
	for f := Refused; f < numFaults; f++ {
		all = append(all, f)
	}
	return all
}

// listens reports whether connections are accepted under the fault.
func (f Fault) listens() bool {
	switch f {
	case Refused, BacklogFull, StaleFile, NotASocket:
		return false
	}
	return true
}

// listener is one address of a node.
type listener struct {
	n        *Node
	addr     address.Addr
	current  atomic.Int32
	ln       net.Listener
	backlog  *backlog
	accepted int // under n.mu
}

func (l *listener) fault() Fault { return Fault(l.current.Load()) }

func (l *listener) serve(ln net.Listener) {
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false)
	}
	l.ln = ln
	l.n.wg.Add(1)
	go func() {
		defer l.n.wg.Done()
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			l.n.mu.Lock()
			l.accepted++
			l.n.counts.Conns++
			c := &conn{listener: l, nc: nc, done: make(chan struct{})}
			full := l.n.closed || l.n.options.MaxConns > 0 && len(l.n.conns) >= l.n.options.MaxConns
			if !full {
				l.n.conns[c] = true
				l.n.wg.Add(1)
			}
			l.n.mu.Unlock()
			l.n.notify(Connected)
			if full {
				nc.Close()
				continue
			}
			go l.n.serve(c)
		}
	}()
}

// stop stops listening and removes the address's socket file.
func (l *listener) stop() error {
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	if l.backlog != nil {
		l.backlog.close()
		l.backlog = nil
	}
	if path := l.addr.Path(); path != "" {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// set replaces the fault. A fault under which the address does not listen resets its connections.
func (l *listener) set(f Fault) error {
	previous := l.fault()
	l.current.Store(int32(f))
	if !f.listens() {
		if err := l.stop(); err != nil {
			return err
		}
		l.resetConns()
	} else if !previous.listens() {
		if err := l.stop(); err != nil {
			return err
		}
		network, to := l.addr.Dial()
		ln, err := net.Listen(network, to)
		if err != nil {
			return err
		}
		l.serve(ln)
	}
	path := l.addr.Path()
	switch {
	case f == StaleFile && path != "":
		ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			return err
		}
		ln.SetUnlinkOnClose(false)
		return ln.Close()
	case f == NotASocket && path != "":
		return os.WriteFile(path, nil, 0o600)
	case f == BacklogFull:
		b, err := fillBacklog(l.addr)
		l.backlog = b
		return err
	}
	return nil
}

// resetConns resets the connections of the address.
func (l *listener) resetConns() {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	for c := range l.n.conns {
		if c.listener == l {
			c.reset()
		}
	}
}

// reset aborts a connection: by RST over TCP, by closing it on a Unix socket.
func (c *conn) reset() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.nc.Close()
}

// disconnected reports whether the peer has closed the connection.
func (c *conn) disconnected() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && rerr == nil || rerr != nil && !errors.Is(rerr, syscall.EAGAIN)
	})
	return closed || err != nil
}

// backlog is a listening socket whose accept queue is full and that accepts nothing.
type backlog struct {
	fd    int
	conns []net.Conn
}

const (
	backlogDialTimeout = 60 * time.Millisecond // a connect that takes longer shows that the queue is full
	maxBacklogConns    = 16                    // connects made to fill the queue before fillBacklog gives up
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
	for range maxBacklogConns {
		nc, err := net.DialTimeout(network, text, backlogDialTimeout)
		if err != nil {
			return b, nil //nolint:nilerr // the dial fails because the queue is full, as intended
		}
		b.conns = append(b.conns, nc)
	}
	b.close()
	return nil, fmt.Errorf("fill backlog of %v: connections still succeed", a)
}

func (b *backlog) close() {
	for _, nc := range b.conns {
		nc.Close()
	}
	_ = syscall.Close(b.fd)
}
