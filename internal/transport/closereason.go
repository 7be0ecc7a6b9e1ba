package transport

import (
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/eventlog"
)

// The reasons for the close of a client's connection that this package gives. The server gives others (SetCloseReason).
const (
	reasonEvicted       eventlog.Reason = "evicted"          // it had no request, and its place was needed or the listener stops
	reasonExpired       eventlog.Reason = "expired"          // no request began before its read deadline
	reasonPeerClosed    eventlog.Reason = "closed-by-client" // between requests
	reasonPeerReset     eventlog.Reason = "reset-by-client"  // between requests
	reasonServerClosed  eventlog.Reason = "closed-by-server" // after a response or an error that has no other reason
	reasonListenerEnded eventlog.Reason = "listener-ended"
)

// SetCloseReason sets why the connection will be closed, for logs and metrics. The first reason counts. Any goroutine may call
// it.
func (c *Conn) SetCloseReason(reason eventlog.Reason) { c.closeReason.CompareAndSwap(nil, &reason) }

// recordReadEnd sets the reason after a failed read between requests.
func (c *Conn) recordReadEnd(err error) {
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		c.SetCloseReason(reasonPeerClosed)
	default:
		c.SetCloseReason(reasonPeerReset)
	}
}

// recordClose records the close of a connection.
func (l *Listener) recordClose(c *Conn) {
	if l.events == nil {
		return
	}
	reason := reasonServerClosed
	if set := c.closeReason.Load(); set != nil {
		reason = *set
	}
	l.events.Record(eventlog.ClientConnectionClosed, reason, func() logrus.Fields {
		return logrus.Fields{"client": c.RemoteAddr().String(), "age_ms": time.Since(c.acceptedAt).Milliseconds()}
	})
}

// RecordCloses records the close of each connection in events. It is called before the first Accept.
func (l *Listener) RecordCloses(events *eventlog.Log) { l.events = events }
