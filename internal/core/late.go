package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// lateLogEvery is the least interval between log lines about late answers.
const lateLogEvery = time.Second

var statusWords = map[policy.Status]string{policy.OK: "served", policy.Errored: "error", policy.NodeFull: "full",
	policy.TimedOut: "timed out", policy.ConnectFailed: "could not connect", policy.ConnectionReset: "reset",
	policy.Cancelled: "cancelled", policy.Abandoned: "moot"}

var kindWords = map[AnswerKind]string{Served: "served", Rejected: "refused", Failed: "failed"}

// logLate logs a request that was answered after its client's deadline, with the node, time and result of each of
// its attempts. At most one line is written in each lateLogEvery; the line counts the late answers left out.
func (c *Core) logLate(e *requestState, a Answer, now time.Time) {
	late := now.Sub(e.request.ReceivedAt.Add(e.request.Timeout))
	if e.request.ReceivedAt.IsZero() || late <= 0 {
		return
	}
	if now.Sub(c.lateLogged) < lateLogEvery {
		c.lateUnlogged++
		return
	}
	from := c.moduleTime(e.request.ReceivedAt)
	var tries []string
	for _, t := range e.attempts {
		text := fmt.Sprintf("%s at %.0f ms: out", t.Node, t.sentAt-from)
		if t.endedAt > 0 {
			text = fmt.Sprintf("%s at %.0f ms: %s at %.0f ms", t.Node, t.sentAt-from, statusWords[t.status], t.endedAt-from)
		}
		tries = append(tries, text)
	}
	c.options.Log.WithFields(operr.Fields(&LateAnswerError{late})).WithFields(logrus.Fields{"id": e.request.ID, "class": e.request.Class, "kind": kindWords[a.Kind],
		"late_ms": late.Milliseconds(), "attempts": strings.Join(tries, ", "), "others": c.lateUnlogged,
		"timer_late_ms": c.late.Worst().Milliseconds()}).Warn("a request ended after its client's time")
	c.lateLogged, c.lateUnlogged = now, 0
}
