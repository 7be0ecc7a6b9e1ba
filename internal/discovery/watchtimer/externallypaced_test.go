package watchtimer

import (
	"slices"
	"testing"
	"time"
)

// pacedCase is a sequence of RequestDue events and the calls that they must lead to.
type pacedCase struct {
	settings     Settings
	requestsDue  []time.Duration // times of RequestDue
	callsFail    bool            // calls end as soon as they are opened
	wantOpens    []time.Duration // exact times of the first calls
	wantReported int
	wantNextOpen [2]time.Duration // interval in which the next call is opened without RequestDue
}

// pacedCases returns the scenarios of TestExternallyPacedCalls by name.
func pacedCases() map[string]pacedCase {
	const ms = time.Millisecond
	return map[string]pacedCase{
		"no RequestDue":            {wantOpens: []time.Duration{StalenessBound - maxAnswerReserve}, wantNextOpen: [2]time.Duration{2*StalenessBound - 3*maxAnswerReserve, 2*StalenessBound - 2*maxAnswerReserve}, wantReported: 1},
		"RequestDue":               {requestsDue: []time.Duration{300 * ms}, wantOpens: []time.Duration{300 * ms}, wantNextOpen: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, wantReported: 1},
		"RequestDue during a call": {requestsDue: []time.Duration{300 * ms, 400 * ms}, wantOpens: []time.Duration{300 * ms}, wantNextOpen: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, wantReported: 1},
		"two calls fail":           {requestsDue: []time.Duration{300 * ms, 400 * ms}, callsFail: true, wantOpens: []time.Duration{300 * ms, 400 * ms}, wantNextOpen: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, wantReported: 2},
		"one call fails":           {requestsDue: []time.Duration{300 * ms}, callsFail: true, wantOpens: []time.Duration{300 * ms}, wantNextOpen: [2]time.Duration{StalenessBound - 2*maxAnswerReserve, StalenessBound - maxAnswerReserve}, wantReported: 1},
		"pushed: not paced":        {settings: Settings{Pushed: true}, callsFail: true, wantOpens: []time.Duration{0}, wantNextOpen: [2]time.Duration{0, maxRetryInterval}},
		"shorter staleness bound":  {settings: Settings{StalenessBound: 4 * time.Second}, callsFail: true, wantOpens: []time.Duration{3 * time.Second}, wantNextOpen: [2]time.Duration{5 * time.Second, 6 * time.Second}, wantReported: 1},
	}
}

// An externally paced timer opens a call on RequestDue and reports each failed call. Without RequestDue it opens only the
// calls that the staleness bound requires.
func TestExternallyPacedCalls(t *testing.T) {
	for name, tc := range pacedCases() {
		t.Run(name, tc.run)
	}
}

// run runs the scenario.
func (tc pacedCase) run(t *testing.T) {
	tc.settings.ExternallyPaced, tc.settings.Schedulers = true, 1000
	timer := New(tc.settings)
	var opens []time.Duration
	reported := 0
	var step func(now time.Duration, e Event)
	step = func(now time.Duration, e Event) {
		for _, a := range timer.Step(now, e) {
			switch a.Kind {
			case OpenCall:
				if opens = append(opens, now); tc.callsFail {
					step(now, Event{Kind: CallEnded, Call: a.Call})
				}
			case ReportCallFailed:
				reported++
			}
		}
	}
	step(0, Event{Kind: Started})
	for now := time.Duration(0); len(opens) <= len(tc.wantOpens); now += 10 * time.Millisecond {
		if slices.Contains(tc.requestsDue, now) {
			step(now, Event{Kind: RequestDue})
		}
		if timer.NextTimer() <= now {
			step(now, Event{Kind: TimerFired})
		}
	}
	got := opens[len(tc.wantOpens)]
	if !slices.Equal(opens[:len(tc.wantOpens)], tc.wantOpens) || got < tc.wantNextOpen[0] || got > tc.wantNextOpen[1] {
		t.Errorf("calls at %v, want %v and one between %v and %v", opens, tc.wantOpens, tc.wantNextOpen[0], tc.wantNextOpen[1])
	}
	if !tc.callsFail && reported != tc.wantReported || reported < tc.wantReported {
		t.Errorf("%d calls must be reported as failed, but %d were", tc.wantReported, reported)
	}
}

// The caller paces the calls only until the first message.
func TestExternalPaceEndsWithFirstMessage(t *testing.T) {
	const ms = time.Millisecond
	timer := New(Settings{ExternallyPaced: true, Schedulers: 80})
	timer.Step(0, Event{Kind: Started})
	timer.Step(0, Event{Kind: RequestDue})
	timer.Step(0, Event{Kind: MessageReceived, Call: 1})
	if actions := timer.Step(ms, Event{Kind: CallEnded, Call: 1}); slices.Contains(actions, Action{Kind: ReportCallFailed}) || timer.NextTimer() > StalenessBound-maxAnswerReserve {
		t.Errorf("after the first message: actions %v, next timer at %v", actions, timer.NextTimer())
	}
	if actions := timer.Step(2*ms, Event{Kind: RequestDue}); len(actions) > 0 {
		t.Errorf("RequestDue after the first message: actions %v, want none", actions)
	}
}
