package httpfront

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/transport"
)

// The reasons for the close of a connection to a storage node. Those under an attempt are also the reason of its result.
const (
	reasonCancelled       eventlog.Reason = "attempt-cancelled"
	reasonDeadline        eventlog.Reason = "attempt-deadline"
	reasonNodeClosed      eventlog.Reason = "closed-by-node"
	reasonNodeReset       eventlog.Reason = "reset-by-node"
	reasonStalled         eventlog.Reason = "response-stalled"
	reasonRequestStalled  eventlog.Reason = "request-stalled" // the node has stopped reading
	reasonMalformed       eventlog.Reason = "malformed-response"
	reasonAmbiguous       eventlog.Reason = "ambiguous-response"
	reasonUnrequested     eventlog.Reason = "unrequested-bytes"
	reasonLastResponse    eventlog.Reason = "last-response" // the response ends the connection
	reasonRelayUnfinished eventlog.Reason = "relay-unfinished"
	reasonDialFailed      eventlog.Reason = "connect-failed"
	reasonDialTimedOut    eventlog.Reason = "connect-timed-out"
	reasonNoResource      eventlog.Reason = "connect-without-resource" // the system lacks descriptors, ports or memory
	reasonSpareDial       eventlog.Reason = "spare-connect"            // another connection was free first
	reasonIdleExpired     eventlog.Reason = "idle-expired"
	reasonIdleSurplus     eventlog.Reason = "idle-surplus"
	reasonEvicted         eventlog.Reason = "evicted" // for a connection to another node
	reasonAddressChanged  eventlog.Reason = "address-changed"
	reasonNodeRemoved     eventlog.Reason = "node-removed"
	reasonSelector        eventlog.Reason = "closed-by-selector"
)

// closeReason holds the reason for a close. The goroutine of a connection sets it, and the node's actor may read it meanwhile.
type closeReason struct {
	reason atomic.Pointer[eventlog.Reason]
}

func (r *closeReason) set(reason eventlog.Reason) { r.reason.Store(&reason) }

// get returns the reason, "" before the first set.
func (r *closeReason) get() eventlog.Reason {
	if reason := r.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// readErrorReason returns the reason for a failed read of a response.
func readErrorReason(ctx context.Context, err error) eventlog.Reason {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return reasonCancelled
	case ctx.Err() != nil:
		return reasonDeadline
	case errors.Is(err, errRequestStalled):
		return reasonRequestStalled
	case errors.Is(err, errAmbiguousResponse):
		return reasonAmbiguous
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonStalled
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return reasonNodeReset
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return reasonNodeClosed
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return reasonNodeReset
	}
	return reasonMalformed
}

// dialReason returns the reason for a failed dial.
func dialReason(reason address.Reason) eventlog.Reason {
	switch reason {
	case address.ReasonTimedOut:
		return reasonDialTimedOut
	case address.ReasonNoResource:
		return reasonNoResource
	default:
		return reasonDialFailed
	}
}

// unusableReason returns the reason for the close of a connection that must not carry a request.
func unusableReason(c *conn) eventlog.Reason {
	if c.unrequested || c.socket != nil && transport.HasInput(c.socket) {
		return reasonUnrequested
	}
	return reasonNodeClosed
}

// recordClose records the close of a connection, with its reason and the attempt that it carried.
func (n *node) recordClose(c *conn, attempt string) {
	reason := c.closeReason.get()
	if reason == "" {
		reason = eventlog.ReasonOther
	}
	n.dialer.Events.Record(eventlog.NodeConnectionClosed, reason, func() logrus.Fields {
		fields := logrus.Fields{"node": n.name, "address": c.address.String()}
		if attempt != "" {
			fields["id"] = attempt
		}
		return fields
	})
}
