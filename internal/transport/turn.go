package transport

import (
	"errors"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Gate blocks Accept of its listeners until it is opened. Connections wait in the system's queue meanwhile.
type Gate struct {
	opened, shut chan struct{}
	open, close  sync.Once
}

// NewGate returns a closed gate.
func NewGate() *Gate { return &Gate{opened: make(chan struct{}), shut: make(chan struct{})} }

// Open lets all listeners accept. It may be called again.
func (g *Gate) Open() { g.open.Do(func() { close(g.opened) }) }

// Listener returns ln behind the gate, or ln itself if the gate is nil.
func (g *Gate) Listener(ln net.Listener) net.Listener {
	if g == nil {
		return ln
	}
	return &gated{ln, g}
}

type gated struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *gated) Accept() (net.Conn, error) {
	select {
	case <-l.gate.opened:
		return l.Listener.Accept()
	case <-l.gate.shut:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *gated) Close() error {
	l.gate.close.Do(func() { close(l.gate.shut) })
	return l.Listener.Close()
}

// Lock is an flock that processes which share a socket take in turn. The kernel lets it go with the process.
type Lock struct {
	Path string
	f    *os.File
}

// LockOf is the lock of a passed socket in a directory: of its address, so that schedulers with sockets of their own
// may share the directory. Nothing is opened yet.
func LockOf(dir string, addr net.Addr) *Lock {
	return &Lock{Path: filepath.Join(dir, "wheatsaddle-accept-"+url.PathEscape(addr.String())+".lock")}
}

// Try takes the lock, unless another process has it; it does not wait. The file is left behind: one that is removed
// could be held twice.
func (l *Lock) Try() (bool, error) {
	if l.f == nil {
		f, err := os.OpenFile(l.Path, os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
		if err != nil {
			return false, err
		}
		l.f = f
	}
	err := syscall.Flock(int(l.f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	switch {
	case errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR):
		return false, nil
	case err != nil:
		return false, &os.PathError{Op: "flock", Path: l.Path, Err: err}
	}
	if l.stands() {
		return true, nil
	}
	l.Release() // the file was cleared away while this process waited: who comes next finds another
	return false, nil
}

// stands says whether the file that is held is still the one at its path.
func (l *Lock) stands() bool {
	held, err := l.f.Stat()
	if err != nil {
		return false
	}
	there, err := os.Lstat(l.Path)
	return err == nil && os.SameFile(held, there)
}

// Release lets the lock go.
func (l *Lock) Release() {
	if l.f != nil {
		l.f.Close()
		l.f = nil
	}
}
