package watchtimer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// boundsRun drives one timer with drawn events and checks its bounds after each.
type boundsRun struct {
	*rapid.T
	timer      *Timer
	settings   Settings
	now        time.Duration
	lastOpened time.Duration
	open       map[int]bool
	wakes      int // timer events in a row at one instant
}

// step gives the timer an event and checks that each call is opened once, and closed or ended once.
func (r *boundsRun) step(e Event) {
	for _, a := range r.timer.Step(r.now, e) {
		switch {
		case a.Kind == OpenCall && !r.open[a.Call]:
			r.open[a.Call], r.lastOpened = true, r.now
		case a.Kind == CloseCall && r.open[a.Call]:
			delete(r.open, a.Call)
		case a.Kind != ReportDown:
			r.Fatalf("%v of call %d, open: %v", a.Kind, a.Call, r.open)
		}
	}
	if len(r.open) > MaxOpenCalls || len(r.open) != len(r.timer.calls) {
		r.Fatalf("%d calls open, the timer has %d", len(r.open), len(r.timer.calls))
	}
}

// drawCall draws an open call; 0: none.
func (r *boundsRun) drawCall() int {
	for i := range r.timer.lastCallID + 1 {
		if r.open[i] && rapid.Bool().Draw(r.T, "this") {
			return i
		}
	}
	return 0
}

// drawEvent draws one event and applies it.
func (r *boundsRun) drawEvent() {
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
			if r.wakes++; r.wakes > 2*MaxOpenCalls {
				r.Fatal("the timer fires again and again at one instant")
			}
		} else {
			r.wakes = 0
		}
		r.now = max(r.now, min(at, r.now+time.Duration(rapid.IntRange(0, 5000).Draw(r.T, "ms"))*time.Millisecond))
		r.step(Event{Kind: TimerFired})
	}
}

// checkNextCall checks that the next call comes in time while none is live.
func (r *boundsRun) checkNextCall() {
	c := r.timer
	if c.Live() {
		return
	}
	if r.settings.Pushed && c.nextOpen > r.now+c.RetryInterval() {
		r.Fatalf("no live call, and the next only %v from now", c.nextOpen-r.now)
	}
	deadline := max(r.lastOpened+c.settings.StalenessBound, c.lastMessage+c.silentCallBound()) - c.answerReserve()
	if !r.settings.Pushed && c.NextTimer() > deadline {
		r.Fatalf("no live call, and the next only %v after the last", c.NextTimer()-r.lastOpened)
	}
}

// Under any events the timer keeps its bounds: the number of open calls, each opened once and ended or closed once, no
// endless series of timer events at one instant, and no time without a next call.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := Settings{Pushed: rapid.Bool().Draw(rt, "pushed"), Schedulers: rapid.IntRange(0, 2000).Draw(rt, "schedulers"),
			StalenessBound: time.Duration(rapid.IntRange(0, 12).Draw(rt, "bound")) * time.Second,
			DrainGrace:     time.Duration(rapid.IntRange(0, 2000).Draw(rt, "grace")) * time.Millisecond,
			LongPollWait:   time.Duration(rapid.SampledFrom([]int{0, 0, 5}).Draw(rt, "wait")) * time.Second, Seed: rapid.Uint64().Draw(rt, "seed")}
		r := &boundsRun{T: rt, timer: New(set), settings: set, open: map[int]bool{}}
		r.step(Event{Kind: Started})
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			r.drawEvent()
			r.checkNextCall()
		}
	})
}
