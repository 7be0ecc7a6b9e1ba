package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// lateLogInterval is the least interval between log lines about late answers.
const lateLogInterval = time.Second

var statusNames = map[policy.Status]string{policy.OK: "served", policy.Errored: "error", policy.NodeFull: "full",
	policy.TimedOut: "timed out", policy.ConnectFailed: "could not connect", policy.ConnectionReset: "reset",
	policy.Cancelled: "cancelled", policy.Abandoned: "moot"}

var answerKindNames = map[AnswerKind]string{Served: "served", Rejected: "refused", Failed: "failed"}

// logLate logs a request that was answered after its client's deadline, with the node, time and result of each of
// its attempts. At most one line is written in each lateLogInterval; the line counts the late answers left out.
func (c *Core) logLate(e *requestState, a Answer, now time.Time) {
	delay := now.Sub(e.request.ReceivedAt.Add(e.request.Timeout))
	if e.request.ReceivedAt.IsZero() || delay <= 0 {
		return
	}
	if now.Sub(c.lastLateLog) < lateLogInterval {
		c.suppressedLateLogs++
		return
	}
	receivedAt := c.moduleTime(e.request.ReceivedAt)
	var attempts []string
	for _, t := range e.attempts {
		text := fmt.Sprintf("%s at %.0f ms: out", t.Node, t.sentAtMs-receivedAt)
		if t.endedAtMs > 0 {
			text = fmt.Sprintf("%s at %.0f ms: %s at %.0f ms", t.Node, t.sentAtMs-receivedAt, statusNames[t.status], t.endedAtMs-receivedAt)
		}
		attempts = append(attempts, text)
	}
	c.options.Log.WithFields(operr.Fields(&LateAnswerError{delay})).WithFields(logrus.Fields{"id": e.request.ID, "class": e.request.Class, "kind": answerKindNames[a.Kind],
		"late_ms": delay.Milliseconds(), "attempts": strings.Join(attempts, ", "), "others": c.suppressedLateLogs,
		"timer_late_ms": c.timerLag.Worst().Milliseconds()}).Warn("a request ended after its client's time")
	c.lastLateLog, c.suppressedLateLogs = now, 0
}
