package httpfront

import (
	"sync/atomic"
	"time"
)

// dialEstimate estimates how long a dial usually takes, over all nodes of a dialer. It adapts fast to quick dials and
// slowly to slow ones, so that it stays near the time of an undisturbed dial.
type dialEstimate struct{ ns atomic.Int64 }

const dialFall, dialRise = 4, 32 // divisors: the estimate moves by that part of the difference

// value is the present estimate; 0: there was no dial yet.
func (d *dialEstimate) value() time.Duration { return time.Duration(d.ns.Load()) }

// record takes the duration of a dial.
func (d *dialEstimate) record(t time.Duration) {
	old := d.ns.Load()
	part := int64(dialRise)
	if int64(t) < old {
		part = dialFall
	}
	next := old + (int64(t)-old)/part
	if old == 0 {
		next = int64(t)
	}
	d.ns.CompareAndSwap(old, next) // a concurrent update wins; this sample is lost
}
