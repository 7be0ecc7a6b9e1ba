package eventlog

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// counts is a Counter for each kind and reason.
type counts struct{ byReason map[Reason]*count }

type count int

func (c *count) Inc() { *c++ }

func (c counts) counter(_ Kind, reason Reason) Counter {
	c.byReason[reason] = new(count)
	return c.byReason[reason]
}

// A flood of events is counted in full, while the lines stay within their bound and tell how many were left out.
func TestFloodIsCountedAndFewLinesAreWritten(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	c := counts{map[Reason]*count{}}
	l := New(log, c.counter)
	const events = 1000
	for range events {
		l.Record(RequestEnded, "late", func() logrus.Fields { return logrus.Fields{"id": "a"} })
	}
	lines := len(hook.AllEntries())
	if lines < 1 || lines > 2*linesPerInterval { // the second interval may begin meanwhile
		t.Errorf("%d lines for %d events", lines, events)
	}
	if *c.byReason["late"] != events {
		t.Errorf("%d events counted, want %d", *c.byReason["late"], events)
	}
	l.kinds[RequestEnded].intervalStart = l.kinds[RequestEnded].intervalStart.Add(-interval)
	l.Record(RequestEnded, "late", nil)
	last := hook.LastEntry()
	if suppressed, _ := last.Data["suppressed"].(int); len(hook.AllEntries()) == lines || suppressed < events-2*linesPerInterval {
		t.Errorf("the line after the flood is %v %v", last.Message, last.Data)
	}
	l.Record(NodeConnectionClosed, "reset", nil)
	if hook.LastEntry().Message != messages[NodeConnectionClosed] {
		t.Error("lines of another kind are left out too")
	}
}

// Reasons that come from outside cannot create counters without end.
func TestReasonsAreBounded(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	c := counts{map[Reason]*count{}}
	l := New(log, c.counter)
	for i := range 1000 {
		l.Record(RequestEnded, Reason(fmt.Sprint("reason-", i)), nil)
	}
	if len(c.byReason) != maxReasons+1 || *c.byReason[ReasonOther] != 1000-maxReasons {
		t.Errorf("%d counters, %d events counted as %q", len(c.byReason), *c.byReason[ReasonOther], ReasonOther)
	}
	var none *Log
	none.Record(RequestEnded, "late", nil)
}
