package transport

import (
	"errors"
	"net"
	"sync"
)

// mergedListener accepts from several listeners as one.
type mergedListener struct {
	net.Listener // the first of listeners, which provides the address
	listeners    []net.Listener
	accepted     chan acceptResult
	done         chan struct{}
	closeOnce    sync.Once
	exclusive    sync.WaitGroup // serve goroutines of listeners whose accept queue only this process uses
	drained      chan struct{}  // closed when the exclusive listeners have stopped
}

// acceptResult is the result of one Accept.
type acceptResult struct {
	conn net.Conn
	err  error
}

// Merge returns a listener that accepts from all given ones. Of each, at most one connection is accepted before Accept is
// called for it. The others stay in the backlogs. Each listener has a goroutine, which ends with Close.
func Merge(all ...net.Listener) net.Listener {
	if len(all) == 1 {
		return all[0]
	}
	m := &mergedListener{Listener: all[0], listeners: all, accepted: make(chan acceptResult), done: make(chan struct{}), drained: make(chan struct{})}
	for _, l := range all {
		if acceptQueueOf(l) != nil {
			m.exclusive.Add(1)
		}
		go m.serve(l)
	}
	return m
}

// serve accepts from one listener until it fails or the merged listener is closed.
func (m *mergedListener) serve(l net.Listener) {
	if acceptQueueOf(l) != nil {
		defer m.exclusive.Done()
	}
	for {
		nc, err := l.Accept()
		select {
		case m.accepted <- acceptResult{nc, err}:
		case <-m.done:
			if nc != nil {
				_ = nc.Close() // no Accept will return it
			}
			return
		}
		if err != nil && !isTransient(err) {
			return
		}
	}
}

// Accept implements net.Listener.
func (m *mergedListener) Accept() (net.Conn, error) {
	select {
	case a := <-m.accepted:
		return a.conn, a.err
	case <-m.drained:
		return nil, errQueueEmpty // acceptNow returns the connections accepted before
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (m *mergedListener) Close() error {
	m.closeOnce.Do(func() { close(m.done) })
	var errs []error
	for _, l := range m.listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// wake implements acceptQueue.
func (m *mergedListener) wake() {
	for _, l := range m.listeners {
		if q := acceptQueueOf(l); q != nil {
			q.wake()
		}
	}
	go func() {
		m.exclusive.Wait()
		close(m.drained)
	}()
}

// acceptNow implements acceptQueue. It tries each listener, and then each again without a wait, because a connection may have
// arrived at an earlier one while it waited for a later one.
func (m *mergedListener) acceptNow() (net.Conn, error) {
	if nc := m.nextAccepted(); nc != nil {
		return nc, nil
	}
	if nc, err := m.acceptFromAny(acceptQueue.acceptNow); !errors.Is(err, errQueueEmpty) {
		return nc, err
	}
	return m.acceptWithoutWait()
}

func (m *mergedListener) acceptWithoutWait() (net.Conn, error) {
	return m.acceptFromAny(acceptQueue.acceptWithoutWait)
}

// acceptFromAny returns the result of the first accept that gives a connection or an error other than errQueueEmpty.
func (m *mergedListener) acceptFromAny(accept func(acceptQueue) (net.Conn, error)) (net.Conn, error) {
	for _, l := range m.listeners {
		q := acceptQueueOf(l)
		if q == nil {
			continue
		}
		if nc, err := accept(q); !errors.Is(err, errQueueEmpty) {
			return nc, err
		}
	}
	return nil, errQueueEmpty
}

// nextAccepted returns a connection that a listener accepted before wake, or nil.
func (m *mergedListener) nextAccepted() net.Conn {
	for {
		select {
		case a := <-m.accepted:
			if a.conn != nil {
				return a.conn
			}
		case <-m.drained:
			return nil
		}
	}
}
