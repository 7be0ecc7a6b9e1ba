// Package deadline decides how long before its client gives up a request must have ended: the answer has still to be written
// and to reach the client, and this process may be late for both. On a small share of a processor, timers are late by many
// milliseconds, so the margin follows the recent timer lag.
//
// Invariants:
//   - The margin is at least MinMargin, and beyond it at most the part 1/MaxMarginDivisor of the client's timeout.
//   - Within these bounds it is at least LagFactor times any lag of the last Window, where a lag counts as MaxLag at most.
//   - No lag counts for longer than twice Window.
//
// The package has no clock and no I/O: the caller gives the time and the lags.
package deadline

import "time"

const (
	// MinMargin is for the way to the client, whose timeout starts when it sends the request.
	MinMargin = 15 * time.Millisecond
	// LagFactor is how many times the worst lag fits into the margin: the timer that ends the request may be late, and so may
	// the goroutine that writes the answer.
	LagFactor = 3
	// MaxMarginDivisor bounds the margin to a part of the client's timeout: a process that is later serves no more requests by
	// ending them earlier.
	MaxMarginDivisor = 4
	// MaxLag is what a longer lag counts as: it was a stall, which is over.
	MaxLag = 100 * time.Millisecond
	// Window is how long a lag counts at least.
	Window = 5 * time.Second
)

// LagGauge holds the worst recent timer lag. The zero value has none. It must be used by one goroutine at a time.
type LagGauge struct {
	currentWorst  time.Duration // of the window that started at windowStart
	previousWorst time.Duration // of the window before
	windowStart   time.Duration
}

// advance starts a new window if the current one has ended.
func (g *LagGauge) advance(now time.Duration) {
	switch elapsed := now - g.windowStart; {
	case elapsed >= 2*Window:
		g.currentWorst, g.previousWorst, g.windowStart = 0, 0, now
	case elapsed >= Window:
		g.currentWorst, g.previousWorst, g.windowStart = 0, g.currentWorst, g.windowStart+Window
	}
}

// Record notes the lag of a timer.
func (g *LagGauge) Record(now, lag time.Duration) {
	g.advance(now)
	g.currentWorst = max(g.currentWorst, min(lag, MaxLag))
}

// Margin returns the margin of a request whose client waits for this long.
func (g *LagGauge) Margin(now, clientTimeout time.Duration) time.Duration {
	g.advance(now)
	return min(max(MinMargin, LagFactor*g.Worst()), max(MinMargin, clientTimeout/MaxMarginDivisor))
}

// Worst returns the worst lag that counts, as of the last call of Record or Margin.
func (g *LagGauge) Worst() time.Duration { return max(g.currentWorst, g.previousWorst) }
