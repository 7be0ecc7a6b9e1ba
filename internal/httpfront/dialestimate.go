package httpfront

import (
	"sync/atomic"
	"time"
)

// dialEstimate estimates the usual duration of a dial, over all nodes of a dialer. It adapts fast to short dials and
// slowly to long ones, so that it stays near the duration of an undisturbed dial.
type dialEstimate struct{ ns atomic.Int64 }

const dialDecreaseDivisor, dialIncreaseDivisor = 4, 32 // the estimate moves by the difference divided by these

// value returns the current estimate; 0 before the first dial.
func (d *dialEstimate) value() time.Duration { return time.Duration(d.ns.Load()) }

// record updates the estimate with the duration of a dial.
func (d *dialEstimate) record(t time.Duration) {
	old := d.ns.Load()
	divisor := int64(dialIncreaseDivisor)
	if int64(t) < old {
		divisor = dialDecreaseDivisor
	}
	next := old + (int64(t)-old)/divisor
	if old == 0 {
		next = int64(t)
	}
	d.ns.CompareAndSwap(old, next) // a concurrent update wins; this sample is lost
}
