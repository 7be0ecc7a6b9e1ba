package transport

import (
	"math"
	"time"

	"wheatsaddle/internal/address"
)

// AddressLoop runs the state machine address.Selector. Only one goroutine may use it. It passes events in order, including
// those that an action raises, and runs the selector's timer.
type AddressLoop struct {
	*address.Selector
	Timer    *time.Timer
	execute  func(address.Action)
	origin   time.Time
	actions  []address.Action
	queue    []address.Event
	stepping bool
	draining bool
	timerAt  time.Duration // selector time at which the timer fires
}

// NewAddressLoop returns a loop for selector; execute carries out its actions.
func NewAddressLoop(selector *address.Selector, execute func(address.Action)) *AddressLoop {
	return &AddressLoop{Selector: selector, Timer: time.NewTimer(time.Hour), execute: execute, origin: time.Now(), timerAt: math.MaxInt64}
}

// Now returns the selector's time.
func (l *AddressLoop) Now() time.Duration { return time.Since(l.origin) }

// Step passes an event to the selector and carries out the resulting actions. Called from an action, it queues the event.
func (l *AddressLoop) Step(e address.Event) {
	l.queue = append(l.queue, e)
	if l.stepping {
		return
	}
	l.stepping = true
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		if e.Kind == address.TimerFired {
			l.timerAt = -1 // the timer has fired, so ArmTimer must set it again
		}
		l.actions = l.Selector.Step(l.Now(), e, l.actions[:0])
		for _, a := range l.actions {
			l.execute(a)
		}
	}
	l.queue, l.stepping = l.queue[:0], false
}

// SetDraining reports to the selector whether the node is draining, if that has changed.
func (l *AddressLoop) SetDraining(on bool) {
	if on != l.draining {
		l.draining = on
		l.Step(address.Event{Kind: address.DrainChanged, Draining: on})
	}
}

// ArmTimer sets the timer to the selector's next deadline and returns its channel. Call it after each iteration of the event
// loop.
func (l *AddressLoop) ArmTimer() <-chan time.Time {
	if next := l.Next(); next != l.timerAt {
		l.timerAt = next
		l.Timer.Reset(min(time.Until(l.origin.Add(min(next, 1<<60))), time.Hour))
	}
	return l.Timer.C
}
