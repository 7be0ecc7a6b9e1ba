package core

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/choice"
	"wheatsaddle/internal/operr"
)

// lateEvery is how often a request that ended late has a line of the log.
const lateEvery = time.Second

var statusWords = map[choice.Status]string{choice.OK: "served", choice.Errored: "error", choice.Full: "full",
	choice.TimedOut: "timed out", choice.NoConn: "could not connect", choice.Reset: "reset",
	choice.Cancelled: "cancelled", choice.Moot: "moot"}

var kindWords = map[Kind]string{Served: "served", Refused: "refused", Failed: "failed"}

// tellLate logs a request that ended after its client's time, so that it can be followed by its id:
// where each attempt went, when, and what came of it.
func (c *Core) tellLate(e *entry, a Answer, now time.Time) {
	late := now.Sub(e.req.Arrived.Add(e.req.Patience))
	if e.req.Arrived.IsZero() || late <= 0 {
		return
	}
	if now.Sub(c.told) < lateEvery {
		c.untold++
		return
	}
	from := c.clock(e.req.Arrived)
	var tries []string
	for _, t := range e.attempts {
		text := fmt.Sprintf("%s at %.0f ms: out", t.Node, t.at-from)
		if t.over > 0 {
			text = fmt.Sprintf("%s at %.0f ms: %s at %.0f ms", t.Node, t.at-from, statusWords[t.status], t.over-from)
		}
		tries = append(tries, text)
	}
	c.opt.Log.WithFields(operr.Fields(&AnsweredLate{late})).WithFields(logrus.Fields{"id": e.req.ID, "class": e.req.Class, "kind": kindWords[a.Kind],
		"late_ms": late.Milliseconds(), "attempts": strings.Join(tries, ", "), "others": c.untold,
		"timer_late_ms": c.late.Worst().Milliseconds()}).Warn("a request ended after its client's time")
	c.told, c.untold = now, 0
}
