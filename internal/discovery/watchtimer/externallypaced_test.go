package watchtimer

import (
	"slices"
	"testing"
	"time"
)

// Where another sets the pace a call is out when it says, one that came to nothing is told to it, and
// without a word from it the call that the bound asks for is made, and no other. It ends with the first word.
func TestExternallyPaced(t *testing.T) {
	ms := time.Millisecond
	for name, x := range map[string]struct {
		set     Settings
		due     []time.Duration // Due then
		refused bool            // calls end at once, by word or not
		dead    bool
		opens   []time.Duration // exactly, until the bound's repeat
		missed  int
		repeat  [2]time.Duration // the next without Due is out in between
	}{
		"no word":         {opens: []time.Duration{StalenessBound - maxAnswerReserve}, repeat: [2]time.Duration{2*StalenessBound - 3*maxAnswerReserve, 2*StalenessBound - 2*maxAnswerReserve}, missed: 1},
		"due":             {due: []time.Duration{300 * ms}, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"due while out":   {due: []time.Duration{300 * ms, 400 * ms}, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"never came up":   {due: []time.Duration{300 * ms, 400 * ms}, dead: true, opens: []time.Duration{300 * ms, 400 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 2},
		"turned away":     {due: []time.Duration{300 * ms}, refused: true, opens: []time.Duration{300 * ms}, repeat: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, missed: 1},
		"pushed: no pace": {set: Settings{Pushed: true}, dead: true, opens: []time.Duration{0}, repeat: [2]time.Duration{0, maxRetryInterval}},
		"told sooner":     {set: Settings{StalenessBound: 4 * time.Second}, dead: true, opens: []time.Duration{3 * time.Second}, repeat: [2]time.Duration{5 * time.Second, 6 * time.Second}, missed: 1},
	} {
		x.set.ExternallyPaced, x.set.Schedulers = true, 1000
		c := New(x.set)
		var opens []time.Duration
		missed := 0
		var do func(now time.Duration, e Event)
		do = func(now time.Duration, e Event) {
			for _, a := range c.Step(now, e) {
				switch a.Kind {
				case OpenCall:
					if opens = append(opens, now); x.refused || x.dead {
						do(now, Event{Kind: CallEnded, Call: a.Call})
					}
				case ReportMissed:
					missed++
				}
			}
		}
		do(0, Event{Kind: Started})
		for now := time.Duration(0); len(opens) <= len(x.opens); now += 10 * ms {
			if slices.Contains(x.due, now) {
				do(now, Event{Kind: RequestDue})
			}
			if c.NextTimer() <= now {
				do(now, Event{Kind: TimerFired})
			}
		}
		got := opens[len(x.opens)]
		if !slices.Equal(opens[:len(x.opens)], x.opens) || got < x.repeat[0] || got > x.repeat[1] {
			t.Errorf("%s: out at %v, want %v and one from %v to %v", name, opens, x.opens, x.repeat[0], x.repeat[1])
		}
		if !x.refused && !x.dead && missed != x.missed || missed < x.missed {
			t.Errorf("%s: %d calls came to nothing, told of %d", name, x.missed, missed)
		}
	}
	c := New(Settings{ExternallyPaced: true, Schedulers: 80})
	c.Step(0, Event{Kind: Started})
	c.Step(0, Event{Kind: RequestDue})
	c.Step(0, Event{Kind: MessageReceived, Call: 1})
	if acts := c.Step(ms, Event{Kind: CallEnded, Call: 1}); slices.Contains(acts, Action{Kind: ReportMissed}) || c.NextTimer() > StalenessBound-maxAnswerReserve {
		t.Errorf("after the first word: %v, the next at %v", acts, c.NextTimer())
	}
	if acts := c.Step(2*ms, Event{Kind: RequestDue}); len(acts) > 0 {
		t.Errorf("a pace after the first word: %v", acts)
	}
}
