// Package eventlog counts events by kind and reason, and logs a bounded number of them: the end of a request, the close of a
// connection. An operator sees in the counts how often something happened, and in the lines a sample of what it was.
//
// Invariants:
//   - At most linesPerInterval lines of a kind are written per interval. The next line of that kind has the number of lines
//     that were left out before it.
//   - At most maxReasons reasons of a kind are counted by name; others count as ReasonOther. So neither the log nor the
//     metrics grow with what clients or nodes send.
//   - A nil Log can be used and does nothing.
package eventlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	interval         = time.Second
	linesPerInterval = 10
	maxReasons       = 64 // of one kind
)

// Kind is what happened.
type Kind string

// The kinds.
const (
	RequestEnded           Kind = "request_ended"            // rejected, failed, or served after a retry
	NodeConnectionClosed   Kind = "node_connection_closed"   // by this process or by the node
	SlowTransfer           Kind = "slow_transfer"            // a node takes a request, or gives an answer, with rests; the reason is the phase
	ClientConnectionClosed Kind = "client_connection_closed" // by this process or by the client
	TaskManagement         Kind = "task_management"          // an initiator's abort, reset or logout was answered, or its login refused
)

var messages = map[Kind]string{
	RequestEnded:           "request ended",
	NodeConnectionClosed:   "connection to a storage node closed",
	SlowTransfer:           "storage node transfers slowly",
	ClientConnectionClosed: "client connection closed",
	TaskManagement:         "task management function answered",
}

// Reason is why it happened. Reasons are constants of the packages that record them.
type Reason string

// ReasonOther stands for the reasons beyond the bound.
const ReasonOther Reason = "other"

// Counter is a counter of events.
type Counter interface{ Inc() }

// Log counts and logs events. Any goroutine may call its methods.
type Log struct {
	log        logrus.FieldLogger
	newCounter func(Kind, Reason) Counter
	mu         sync.Mutex // guards kinds
	kinds      map[Kind]*kindState
}

// kindState is the state of one kind.
type kindState struct {
	counters      map[Reason]Counter
	intervalStart time.Time
	lines         int // written since intervalStart
	suppressed    int // left out since the last line
}

// New returns a Log that writes to log and takes a counter for each kind and reason from newCounter, once for each.
func New(log logrus.FieldLogger, newCounter func(Kind, Reason) Counter) *Log {
	return &Log{log: log, newCounter: newCounter, kinds: map[Kind]*kindState{}}
}

// Record counts an event, and logs it if the bound allows. fields returns the line's fields; it is called only for a line that
// is written, and may be nil.
func (l *Log) Record(kind Kind, reason Reason, fields func() logrus.Fields) {
	if l == nil {
		return
	}
	suppressed, logged := l.count(kind, reason, time.Now())
	if !logged {
		return
	}
	line := l.log.WithField("reason", string(reason))
	if fields != nil {
		line = line.WithFields(fields())
	}
	if suppressed > 0 {
		line = line.WithField("suppressed", suppressed)
	}
	line.Info(messages[kind])
}

// count counts an event. It reports whether a line may be written for it, and how many were left out before.
func (l *Log) count(kind Kind, reason Reason, now time.Time) (suppressed int, logged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.kinds[kind]
	if state == nil {
		state = &kindState{counters: map[Reason]Counter{}, intervalStart: now}
		l.kinds[kind] = state
	}
	l.counter(state, kind, reason).Inc()
	if now.Sub(state.intervalStart) >= interval {
		state.intervalStart, state.lines = now, 0
	}
	if state.lines >= linesPerInterval {
		state.suppressed++
		return 0, false
	}
	suppressed = state.suppressed
	state.lines, state.suppressed = state.lines+1, 0
	return suppressed, true
}

// counter returns the counter of a reason. The caller holds the mutex.
func (l *Log) counter(state *kindState, kind Kind, reason Reason) Counter {
	if counter := state.counters[reason]; counter != nil {
		return counter
	}
	if len(state.counters) >= maxReasons {
		reason = ReasonOther
		if counter := state.counters[reason]; counter != nil {
			return counter
		}
	}
	counter := l.newCounter(kind, reason)
	state.counters[reason] = counter
	return counter
}
