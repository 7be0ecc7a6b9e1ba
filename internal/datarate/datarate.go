// Package datarate decides how long to wait for a peer that sends or receives data over a connection. A peer may pause, but
// not for long, and it has to keep up a minimum average rate. The time that a peer can hold a connection is thus bounded by
// the data that it has transferred, never by the amount that it has announced.
//
// Invariants:
//   - No wait is longer than Limits.StallTimeout.
//   - The waits of a transfer of n bytes last at most StallTimeout plus n divided by MinBytesPerSecond in total.
//   - A peer that pauses for less than StallTimeout and is never behind the minimum rate is never cut off.
//
// The package reads no clock and does no I/O. The caller measures the waits and sets the deadlines.
package datarate

import "time"

// Limits bound the waits for a peer.
type Limits struct {
	StallTimeout      time.Duration // longest wait for the next byte
	MinBytesPerSecond int64         // lowest average rate; above 0
}

// AtMinRate returns how long a transfer of size bytes takes at the lowest rate.
func (l Limits) AtMinRate(size int64) time.Duration {
	seconds, rest := size/l.MinBytesPerSecond, size%l.MinBytesPerSecond
	return time.Duration(seconds)*time.Second + time.Duration(rest)*time.Second/time.Duration(l.MinBytesPerSecond)
}

// Transfer is the progress of one transfer. It is not safe for concurrent use.
type Transfer struct {
	limits Limits
	waited time.Duration
	bytes  int64
}

// NewTransfer returns a transfer that has not begun.
func NewTransfer(limits Limits) Transfer { return Transfer{limits: limits} }

// Allowance returns how long to wait for the peer now. It is 0 if the peer is too slow.
func (t *Transfer) Allowance() time.Duration {
	left := t.limits.StallTimeout + t.limits.AtMinRate(t.bytes) - t.waited
	return max(0, min(t.limits.StallTimeout, left))
}

// Record adds a wait, after which size more bytes were transferred.
func (t *Transfer) Record(waited time.Duration, size int) {
	t.waited += max(0, waited)
	t.bytes += int64(max(0, size))
}
