package transport

import (
	"net"
	"sync"
)

// AcceptGate blocks Accept of its listeners until it is opened. Until then connections stay in the kernel's accept queue.
type AcceptGate struct {
	opened, closed      chan struct{}
	openOnce, closeOnce sync.Once
}

// NewAcceptGate returns a closed gate.
func NewAcceptGate() *AcceptGate {
	return &AcceptGate{opened: make(chan struct{}), closed: make(chan struct{})}
}

// Open lets all listeners accept. Further calls do nothing.
func (g *AcceptGate) Open() { g.openOnce.Do(func() { close(g.opened) }) }

// Wrap returns a listener whose Accept waits for the gate, or ln itself if the gate is nil.
func (g *AcceptGate) Wrap(ln net.Listener) net.Listener {
	if g == nil {
		return ln
	}
	return &gatedListener{ln, g}
}

// gatedListener is a listener behind a gate.
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
