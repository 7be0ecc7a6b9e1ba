// Package deadline owns how long before its client gives up a request must have ended: the answer has
// still to be written and to travel, and this host's own processor may be late for both. On a small
// share of a core a timer comes late by many milliseconds; what a constant leaves for the answer is
// gone by then. So the margin follows how late timers were of late.
//
// Invariants:
//   - The margin is never under Least, nor over the part Share of the client's patience.
//   - It covers Times the worst lateness of the last Span to twice Span.
//   - With no lateness seen for twice Span it is Least again.
//
// It knows no clock and does no I/O: the caller gives the time and what it saw.
package deadline

import "time"

const (
	// MinMargin is for the way to the client: its figure counts from its own send.
	MinMargin = 15 * time.Millisecond
	// LagFactor: the answer is decided on a timer that is late once, and written by a goroutine that
	// waits its turn again.
	LagFactor = 3
	// MaxMarginDivisor bounds the margin: a host that is later than that serves nobody by giving up sooner.
	MaxMarginDivisor = 4
	// MaxLag is what a longer lateness counts as: it was a standstill, which passes.
	MaxLag = 100 * time.Millisecond
	// Window is how long a lateness counts, at least.
	Window = 5 * time.Second
)

// LagGauge holds the worst lateness of late; the zero value has seen none.
type LagGauge struct {
	currentWorst, previousWorst time.Duration // worst of this span and of the one before
	windowStart                 time.Duration // start of this span
}

func (g *LagGauge) advance(at time.Duration) {
	if at-g.windowStart >= 2*Window {
		g.currentWorst, g.previousWorst, g.windowStart = 0, 0, at
	} else if at-g.windowStart >= Window {
		g.currentWorst, g.previousWorst, g.windowStart = 0, g.currentWorst, g.windowStart+Window
	}
}

// Record notes that a timer was this late.
func (g *LagGauge) Record(at, late time.Duration) {
	g.advance(at)
	g.currentWorst = max(g.currentWorst, min(late, MaxLag))
}

// Margin is that of a request whose client has this much patience.
func (g *LagGauge) Margin(at, patience time.Duration) time.Duration {
	g.advance(at)
	return min(max(MinMargin, LagFactor*max(g.currentWorst, g.previousWorst)), max(MinMargin, patience/MaxMarginDivisor))
}

// Worst is the worst lateness that counts now.
func (g *LagGauge) Worst() time.Duration { return max(g.currentWorst, g.previousWorst) }
