package watchtimer

import (
	"slices"
	"testing"
	"time"
)

// pacedCase is a script of RequestDue and the calls that it must lead to.
type pacedCase struct {
	set    Settings
	due    []time.Duration // times of RequestDue
	failed bool            // calls end at once
	opens  []time.Duration // exact times, until the first call for the bound
	missed int
	repeat [2]time.Duration // the next call without RequestDue comes in between
}

// pacedCases are the scenarios of TestExternallyPaced, by name.
func pacedCases() map[string]pacedCase {
	const ms = time.Millisecond
	return map[string]pacedCase{
		"no request":               {opens: []time.Duration{StalenessBound - maxAnswerReserve}, repeat: [2]time.Duration{2*StalenessBound - 3*maxAnswerReserve, 2*StalenessBound - 2*maxAnswerReserve}, missed: 1},
		"due":                      {due: []time.Duration{300 * ms}, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"due while a call is open": {due: []time.Duration{300 * ms, 400 * ms}, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"never connected":          {due: []time.Duration{300 * ms, 400 * ms}, failed: true, opens: []time.Duration{300 * ms, 400 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 2},
		"rejected":                 {due: []time.Duration{300 * ms}, failed: true, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"pushed: not paced":        {set: Settings{Pushed: true}, failed: true, opens: []time.Duration{0}, repeat: [2]time.Duration{0, maxRetryInterval}},
		"shorter bound":            {set: Settings{StalenessBound: 4 * time.Second}, failed: true, opens: []time.Duration{3 * time.Second}, repeat: [2]time.Duration{5 * time.Second, 6 * time.Second}, missed: 1},
	}
}

// An externally paced timer calls on RequestDue, reports each call that failed, and without RequestDue makes only the
// calls that the staleness bound requires.
func TestExternallyPaced(t *testing.T) {
	for name, x := range pacedCases() {
		t.Run(name, x.run)
	}
}

// run plays the case.
func (x pacedCase) run(t *testing.T) {
	x.set.ExternallyPaced, x.set.Schedulers = true, 1000
	c := New(x.set)
	var opens []time.Duration
	missed := 0
	var do func(now time.Duration, e Event)
	do = func(now time.Duration, e Event) {
		for _, a := range c.Step(now, e) {
			switch a.Kind {
			case OpenCall:
				if opens = append(opens, now); x.failed {
					do(now, Event{Kind: CallEnded, Call: a.Call})
				}
			case ReportCallFailed:
				missed++
			}
		}
	}
	do(0, Event{Kind: Started})
	for now := time.Duration(0); len(opens) <= len(x.opens); now += 10 * time.Millisecond {
		if slices.Contains(x.due, now) {
			do(now, Event{Kind: RequestDue})
		}
		if c.NextTimer() <= now {
			do(now, Event{Kind: TimerFired})
		}
	}
	got := opens[len(x.opens)]
	if !slices.Equal(opens[:len(x.opens)], x.opens) || got < x.repeat[0] || got > x.repeat[1] {
		t.Errorf("calls at %v, want %v and one from %v to %v", opens, x.opens, x.repeat[0], x.repeat[1])
	}
	if !x.failed && missed != x.missed || missed < x.missed {
		t.Errorf("%d calls failed, %d reported", x.missed, missed)
	}
}

// The external pace ends with the first message.
func TestExternalPaceEndsWithFirstMessage(t *testing.T) {
	const ms = time.Millisecond
	c := New(Settings{ExternallyPaced: true, Schedulers: 80})
	c.Step(0, Event{Kind: Started})
	c.Step(0, Event{Kind: RequestDue})
	c.Step(0, Event{Kind: MessageReceived, Call: 1})
	if acts := c.Step(ms, Event{Kind: CallEnded, Call: 1}); slices.Contains(acts, Action{Kind: ReportCallFailed}) || c.NextTimer() > StalenessBound-maxAnswerReserve {
		t.Errorf("after the first message: %v, the next at %v", acts, c.NextTimer())
	}
	if acts := c.Step(2*ms, Event{Kind: RequestDue}); len(acts) > 0 {
		t.Errorf("RequestDue after the first message: %v", acts)
	}
}
