package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/eventlog"
)

// Reason is why a request or an attempt ended, for logs and metrics. Those of the decision module are policy.Reason.
type Reason = eventlog.Reason

// The reasons of core and of fronts that reject requests themselves.
const (
	ReasonMailboxFull    Reason = "mailbox-full"
	ReasonStopping       Reason = "stopping"
	ReasonStarting       Reason = "starting"
	ReasonConnectionCap  Reason = "connection-cap"   // more connections have a request than the cap allows
	ReasonFewIdle        Reason = "few-idle"         // the process stops, and few connections are idle
	ReasonMemory         Reason = "memory"           // no memory is free for the request
	ReasonDeadline       Reason = "deadline"         // ended by the guard timer
	ReasonInternal       Reason = "internal-error"   // the decision module panicked, or the actor ended
	ReasonInvalidRequest Reason = "invalid-request"  // the node rejected the request as invalid
	ReasonNotPerformed   Reason = "not-performed"    // a node says that it did not perform the request, and another attempt may have run
	ReasonUnpublished    Reason = "id-not-published" // another process may not see that this one owns the id
	ReasonAborted        Reason = "aborted"          // by its client, which still waits for the outcome
	ReasonDisconnected   Reason = "client-disconnected"
	ReasonRetried        Reason = "served-after-retry"
)

// reasonOfCause has the reasons of requests that fail at their arrival.
var reasonOfCause = map[Cause]Reason{
	CauseUnknownClass:    "unknown-class",
	CauseSettingsChanged: "settings-changed",
	CauseDuplicateID:     "duplicate-id",
}

// requestFields returns the log fields of a request that has ended.
func requestFields(r *Request, a Answer) logrus.Fields {
	fields := logrus.Fields{"id": r.ID, "class": r.Class, "kind": answerKindNames[a.Kind]}
	if !r.ReceivedAt.IsZero() {
		fields["duration_ms"] = time.Since(r.ReceivedAt).Milliseconds()
	}
	return fields
}

// recordEnd records the end of a request that was not served by its first attempt.
func (c *Core) recordEnd(state *requestState, a Answer) {
	if a.Kind == Served && len(state.attempts) < 2 {
		return
	}
	if a.Kind == Served {
		a.Reason = ReasonRetried
	}
	c.options.Events.Record(eventlog.RequestEnded, a.Reason, func() logrus.Fields {
		fields := requestFields(state.request, a)
		fields["may_have_run"] = a.MayHaveRun
		fields["attempts"] = c.describeAttempts(state)
		return fields
	})
}

// recordDisconnect records the end of a request whose client has disconnected.
func (c *Core) recordDisconnect(state *requestState) {
	c.options.Events.Record(eventlog.RequestEnded, ReasonDisconnected, func() logrus.Fields {
		return logrus.Fields{"id": state.request.ID, "class": state.request.Class, "attempts": c.describeAttempts(state)}
	})
}
