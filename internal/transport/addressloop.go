package transport

import (
	"math"
	"time"

	"wheatsaddle/internal/address"
)

// AddressLoop runs the state machine address.Book for one goroutine, which alone may use it. It passes
// events in order, including those that carrying out an action raises, and keeps the book's timer.
type AddressLoop struct {
	*address.Selector
	Timer  *time.Timer
	do     func(address.Action)
	origin time.Time
	acts   []address.Action
	queue  []address.Event
	active bool
	drains bool
	at     time.Duration // what the timer is set to
}

// NewAddressLoop returns a loop for b; do carries out the book's actions.
func NewAddressLoop(b *address.Selector, do func(address.Action)) *AddressLoop {
	return &AddressLoop{Selector: b, Timer: time.NewTimer(time.Hour), do: do, origin: time.Now(), at: math.MaxInt64}
}

// Now is the book's time.
func (l *AddressLoop) Now() time.Duration { return time.Since(l.origin) }

// Step passes an event to the book and carries out the resulting actions. Called from an action, it queues the event.
func (l *AddressLoop) Step(e address.Event) {
	l.queue = append(l.queue, e)
	if l.active {
		return
	}
	l.active = true
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		if e.Kind == address.TimerFired {
			l.at = -1 // the timer has run out
		}
		l.acts = l.Selector.Step(l.Now(), e, l.acts[:0])
		for _, a := range l.acts {
			l.do(a)
		}
	}
	l.queue, l.active = l.queue[:0], false
}

// Drain passes on whether the node drains, if that has changed.
func (l *AddressLoop) Drain(on bool) {
	if on != l.drains {
		l.drains = on
		l.Step(address.Event{Kind: address.DrainChanged, Draining: on})
	}
}

// Settle sets the timer to the book's next deadline and returns its channel. Call it at the end of each turn.
func (l *AddressLoop) Settle() <-chan time.Time {
	if next := l.Next(); next != l.at {
		l.at = next
		l.Timer.Reset(min(time.Until(l.origin.Add(min(next, 1<<60))), time.Hour))
	}
	return l.Timer.C
}
