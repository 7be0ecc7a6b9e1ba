// Package deadline decides how long before the client's deadline a request must have ended. This margin is needed because
// the answer must still be written and reach the client, and this process may be late for both. A process with a small
// share of a processor has timers that are late by many milliseconds, so the margin depends on the recent timer lag.
//
// Invariants:
//   - The margin is at least MinMargin. A larger margin is at most 1/MaxMarginDivisor of the client's timeout.
//   - Within these bounds the margin is at least LagFactor times any lag of the last Window. A lag above MaxLag counts as
//     MaxLag.
//   - No lag counts for longer than twice Window.
//
// The package reads no clock and does no I/O. The caller passes the time and the lags.
package deadline

import "time"

const (
	// MinMargin is the time for the network, because the client's timeout starts when it sends the request.
	MinMargin = 15 * time.Millisecond
	// LagFactor is the ratio of the margin to the worst lag. It is above 1 because both the timer that ends the request
	// and the goroutine that writes the answer may be late.
	LagFactor = 3
	// MaxMarginDivisor limits the margin to a part of the client's timeout. With a larger lag, ending requests even earlier
	// would not serve more of them.
	MaxMarginDivisor = 4
	// MaxLag is the maximum lag that counts. A longer lag was a stall that is already over.
	MaxLag = 100 * time.Millisecond
	// Window is the minimum time for which a lag counts.
	Window = 5 * time.Second
)

// LagGauge records the worst recent timer lag. The zero value is ready to use. It is not safe for concurrent use.
type LagGauge struct {
	currentWorst  time.Duration // worst lag of the window that started at windowStart
	previousWorst time.Duration // worst lag of the window before that
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

// Record records the lag of a timer that fired at now.
func (g *LagGauge) Record(now, lag time.Duration) {
	g.advance(now)
	g.currentWorst = max(g.currentWorst, min(lag, MaxLag))
}

// Margin returns the margin for a request with the given client timeout.
func (g *LagGauge) Margin(now, clientTimeout time.Duration) time.Duration {
	g.advance(now)
	return min(max(MinMargin, LagFactor*g.Worst()), max(MinMargin, clientTimeout/MaxMarginDivisor))
}

// Worst returns the worst lag that counted at the last call of Record or Margin.
func (g *LagGauge) Worst() time.Duration { return max(g.currentWorst, g.previousWorst) }
