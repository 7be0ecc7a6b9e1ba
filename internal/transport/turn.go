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

// AcceptGate blocks Accept of its listeners until it is opened. Connections wait in the system's queue meanwhile.
type AcceptGate struct {
	opened, closed      chan struct{}
	openOnce, closeOnce sync.Once
}

// NewAcceptGate returns a closed gate.
func NewAcceptGate() *AcceptGate {
	return &AcceptGate{opened: make(chan struct{}), closed: make(chan struct{})}
}

// Open lets all listeners accept. It may be called again.
func (g *AcceptGate) Open() { g.openOnce.Do(func() { close(g.opened) }) }

// Wrap returns ln behind the gate, or ln itself if the gate is nil.
func (g *AcceptGate) Wrap(ln net.Listener) net.Listener {
	if g == nil {
		return ln
	}
	return &gatedListener{ln, g}
}

type gatedListener struct {
	net.Listener
	gate *AcceptGate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case <-l.gate.opened:
		return l.Listener.Accept()
	case <-l.gate.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *gatedListener) Close() error {
	l.gate.closeOnce.Do(func() { close(l.gate.closed) })
	return l.Listener.Close()
}

// AcceptLock is an flock that processes which share a socket take in turn. The kernel lets it go with the process.
type AcceptLock struct {
	Path string
	file *os.File
}

// NewAcceptLock is the lock of a passed socket in a directory: of its address, so that schedulers with sockets of their own
// may share the directory. Nothing is opened yet.
func NewAcceptLock(dir string, addr net.Addr) *AcceptLock {
	return &AcceptLock{Path: filepath.Join(dir, "wheatsaddle-accept-"+url.PathEscape(addr.String())+".lock")}
}

// TryLock takes the lock, unless another process has it; it does not wait. The file is left behind: one that is removed
// could be held twice.
func (l *AcceptLock) TryLock() (bool, error) {
	if l.file == nil {
		f, err := os.OpenFile(l.Path, os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
		if err != nil {
			return false, err
		}
		l.file = f
	}
	err := syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	switch {
	case errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR):
		return false, nil
	case err != nil:
		return false, &os.PathError{Op: "flock", Path: l.Path, Err: err}
	}
	if l.fileIsCurrent() {
		return true, nil
	}
	l.Unlock() // the file was cleared away while this process waited: who comes next finds another
	return false, nil
}

// fileIsCurrent says whether the file that is held is still the one at its path.
func (l *AcceptLock) fileIsCurrent() bool {
	locked, err := l.file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Lstat(l.Path)
	return err == nil && os.SameFile(locked, current)
}

// Unlock lets the lock go.
func (l *AcceptLock) Unlock() {
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}
