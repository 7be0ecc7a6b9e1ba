package httpfront

import (
	"sync/atomic"
	"time"
)

// dialTime is how long a connect to a node usually takes, over all nodes of a dialer: it follows
// quick ones fast and slow ones slowly, so that late ones do not pass for the norm.
type dialTime struct{ ns atomic.Int64 }

const dialFall, dialRise = 4, 32 // one part of the difference is taken

func (d *dialTime) best() time.Duration { return time.Duration(d.ns.Load()) }

func (d *dialTime) took(t time.Duration) {
	old := d.ns.Load()
	part := int64(dialRise)
	if int64(t) < old {
		part = dialFall
	}
	next := old + (int64(t)-old)/part
	if old == 0 {
		next = int64(t)
	}
	d.ns.CompareAndSwap(old, next) // another actor's came between: one sample less
}
