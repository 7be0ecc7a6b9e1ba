package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// lateLogInterval is the minimum interval between log lines about late answers.
const lateLogInterval = time.Second

// statusNames and answerKindNames are the names of attempt statuses and answer kinds in log lines.
var (
	statusNames = map[policy.Status]string{policy.OK: "served", policy.Errored: "error", policy.NodeFull: "full",
		policy.TimedOut: "timed out", policy.ConnectFailed: "could not connect", policy.ConnectionReset: "reset",
		policy.Cancelled: "cancelled", policy.Abandoned: "abandoned"}
	answerKindNames = map[AnswerKind]string{Served: "served", Rejected: "rejected", Failed: "failed"}
)

// logLate logs a request that was answered after its client's deadline, with the node, the times and the status of each of
// its attempts. At most one line is written per lateLogInterval. It includes the number of late answers that were not
// logged since the previous line.
func (c *Core) logLate(state *requestState, a Answer, now time.Time) {
	delay := now.Sub(state.request.ReceivedAt.Add(state.request.Timeout))
	if state.request.ReceivedAt.IsZero() || delay <= 0 {
		return
	}
	if now.Sub(c.lastLateLog) < lateLogInterval {
		c.suppressedLateLogs++
		return
	}
	c.options.Log.WithFields(operr.Fields(&LateAnswerError{delay})).WithFields(logrus.Fields{
		"id":           state.request.ID,
		"class":        state.request.Class,
		"kind":         answerKindNames[a.Kind],
		"late_ms":      delay.Milliseconds(),
		"attempts":     c.describeAttempts(state),
		"suppressed":   c.suppressedLateLogs,
		"timer_lag_ms": c.timerLag.Worst().Milliseconds(),
	}).Warn("request answered after its client's deadline")
	c.lastLateLog, c.suppressedLateLogs = now, 0
}

// describeAttempts returns a description of a request's attempts for a log line.
func (c *Core) describeAttempts(state *requestState) string {
	receivedAt := c.moduleTime(state.request.ReceivedAt)
	var attempts []string
	for _, attempt := range state.attempts {
		attempts = append(attempts, attempt.describe(receivedAt))
	}
	return strings.Join(attempts, ", ")
}

// describe returns a description of the attempt for a log line. Times are relative to the receipt of the request.
func (a *Attempt) describe(receivedAtMs float64) string {
	if a.endedAtMs <= 0 {
		return fmt.Sprintf("%s at %.0f ms: outstanding (%s)", a.Node, a.sentAtMs-receivedAtMs, progress.Phase(a.transferPhase.Load()))
	}
	text := fmt.Sprintf("%s at %.0f ms: %s at %.0f ms", a.Node, a.sentAtMs-receivedAtMs, statusNames[a.status], a.endedAtMs-receivedAtMs)
	if a.reason != "" {
		text += fmt.Sprintf(" (%s, %s)", a.reason, progress.Phase(a.transferPhase.Load()))
	}
	return text
}
