package watchtimer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// timerRun drives a timer with random events and checks its bounds after each of them.
type timerRun struct {
	*rapid.T
	timer              *Timer
	settings           Settings
	now                time.Duration
	lastOpened         time.Duration
	open               map[int]bool
	timersAtOneInstant int // consecutive timer events at the same instant
}

// step passes an event to the timer and checks that each call is opened once, and closed or ended once.
func (r *timerRun) step(e Event) {
	for _, a := range r.timer.Step(r.now, e) {
		switch {
		case a.Kind == OpenCall && !r.open[a.Call]:
			r.open[a.Call], r.lastOpened = true, r.now
		case a.Kind == CloseCall && r.open[a.Call]:
			delete(r.open, a.Call)
		case a.Kind != ReportDown:
			r.Fatalf("unexpected action %v of call %d, open calls: %v", a.Kind, a.Call, r.open)
		}
	}
	if len(r.open) > MaxOpenCalls || len(r.open) != len(r.timer.calls) {
		r.Fatalf("%d calls open, the timer has %d", len(r.open), len(r.timer.calls))
	}
}

// drawCall draws an open call. It returns 0 if it draws none.
func (r *timerRun) drawCall() int {
	for i := range r.timer.lastCallID + 1 {
		if r.open[i] && rapid.Bool().Draw(r.T, "this") {
			return i
		}
	}
	return 0
}

// drawEvent draws one event and applies it.
func (r *timerRun) drawEvent() {
	switch rapid.IntRange(0, 4).Draw(r.T, "what") {
	case 0:
		if id := r.drawCall(); id > 0 {
			r.step(Event{Kind: MessageReceived, Call: id})
		}
	case 1:
		if id := r.drawCall(); id > 0 {
			delete(r.open, id)
			r.step(Event{Kind: CallEnded, Call: id})
		}
	case 2:
		r.step(Event{Kind: AddressChanged})
	default:
		at := r.timer.NextTimer()
		if at == r.now {
			if r.timersAtOneInstant++; r.timersAtOneInstant > 2*MaxOpenCalls {
				r.Fatal("the timer fires repeatedly at the same instant")
			}
		} else {
			r.timersAtOneInstant = 0
		}
		r.now = max(r.now, min(at, r.now+time.Duration(rapid.IntRange(0, 5000).Draw(r.T, "ms"))*time.Millisecond))
		r.step(Event{Kind: TimerFired})
	}
}

// checkNextCall checks that the next call is opened in time while no call is live.
func (r *timerRun) checkNextCall() {
	timer := r.timer
	if timer.Live() {
		return
	}
	if r.settings.Pushed && timer.nextOpen > r.now+timer.RetryInterval() {
		r.Fatalf("no call is live, and the next one is opened only %v from now", timer.nextOpen-r.now)
	}
	deadline := max(r.lastOpened+timer.settings.StalenessBound, timer.lastMessage+timer.silentCallBound()) - timer.answerReserve()
	if !r.settings.Pushed && timer.NextTimer() > deadline {
		r.Fatalf("no call is live, and the next one is opened only %v after the last one", timer.NextTimer()-r.lastOpened)
	}
}

// For any sequence of events the timer keeps its bounds. The number of open calls is limited, each call is opened once and
// ended or closed once, the timer does not fire endlessly at the same instant, and the next call is opened in time.
func TestRandomEventsKeepBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Pushed: rapid.Bool().Draw(t, "pushed"), Schedulers: rapid.IntRange(0, 2000).Draw(t, "schedulers"),
			StalenessBound: time.Duration(rapid.IntRange(0, 12).Draw(t, "bound")) * time.Second,
			DrainGrace:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "grace")) * time.Millisecond,
			LongPollWait:   time.Duration(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "wait")) * time.Second, Seed: rapid.Uint64().Draw(t, "seed")}
		run := &timerRun{T: t, timer: New(settings), settings: settings, open: map[int]bool{}}
		run.step(Event{Kind: Started})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			run.drawEvent()
			run.checkNextCall()
		}
	})
}
