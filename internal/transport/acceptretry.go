package transport

import (
	"net"
	"sync"
	"time"
)

// retryListener repeats an accept after a transient error.
type retryListener struct {
	net.Listener
	done      chan struct{}
	closeOnce sync.Once
}

// RetryAccept returns a listener for servers that stop at the first error of Accept: it repeats an accept after a transient error, such
// as a lack of descriptors or a connection that broke before it was accepted, until Close.
func RetryAccept(ln net.Listener) net.Listener {
	return &retryListener{Listener: ln, done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return nc, err
		}
		select {
		case <-time.After(acceptBackoff):
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *retryListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}
