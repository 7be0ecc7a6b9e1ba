package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

const (
	drainTimeout = 200 * time.Millisecond // upper bound on accepting queued connections after StopAccepting
	acceptWait   = time.Millisecond       // how long acceptNow waits on an empty queue
)

// errQueueEmpty reports that no connection is queued.
var errQueueEmpty = errors.New("accept queue is empty")

// acceptQueue is the accept queue of a listening socket that only this process holds. The connections in it are reset when
// the socket closes.
type acceptQueue interface {
	// acceptNow accepts one queued connection, or returns errQueueEmpty.
	acceptNow() (net.Conn, error)
	// acceptWithoutWait is acceptNow without a wait on an empty queue.
	acceptWithoutWait() (net.Conn, error)
	// wake ends the pending Accept call and each later one.
	wake()
}

// acceptQueueOf returns the accept queue of a listener, or nil if other processes accept from it or its type is unknown.
func acceptQueueOf(ln net.Listener) acceptQueue {
	switch l := ln.(type) {
	case noSpliceListener:
		if s := l.socket(); s != nil {
			return socketQueue{s, l}
		}
	case *mergedListener:
		return l
	}
	return nil
}

// drainQueue accepts the queued connections, within the capacity and drainLimit.
func (l *Listener) drainQueue() {
	q := acceptQueueOf(l.Listener)
	if q == nil {
		return
	}
	q.wake() // from here on Accept returns the connections that drainQueue accepts
	for started := time.Now(); time.Since(started) < l.drainLimit; {
		nc, err := l.acceptWithin(q)
		switch {
		case err == nil:
			if c := l.track(nc); !sync.SendOr(l.drained, c, l.done) {
				c.SetCloseReason(reasonListenerEnded)
				_ = c.Close() // the listener is closed, so no Accept will return the connection
				return
			}
		case !isTransient(err):
			return
		case sync.Pause(l.done, acceptBackoff):
			return
		}
	}
}

// acceptWithin accepts one queued connection if the capacity allows it, evicting another connection where needed.
func (l *Listener) acceptWithin(q acceptQueue) (net.Conn, error) {
	if l.atCapacity() {
		l.evictForCapacity(time.Now())
		l.closeLingering()
	}
	if l.atCapacity() {
		return nil, syscall.EMFILE
	}
	nc, err := q.acceptNow()
	l.noDescriptor.Store(matchesAny(err, resourceErrors))
	return nc, err
}

// acceptDrained returns the connections that drainQueue accepted, and net.ErrClosed after Close.
func (l *Listener) acceptDrained() (net.Conn, error) {
	c, _, got := sync.Either(l.drained, l.done)
	if !got {
		return nil, net.ErrClosed
	}
	return c, nil
}
