package gossip

import (
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/nodestats"
)

// bufferSize is the maximum number of outcomes that are buffered between two drains.
const bufferSize = 8192

// outcome is the result of one attempt. It is recorded with the time of the drain, which is at most one round interval
// later. That is a small part of a half-life.
type outcome struct {
	key     nodestats.Key
	units   float64
	millis  float64
	outcome nodestats.Outcome
}

// outcomeBuffer passes outcomes from the data path to the state. Its mutex guards all fields.
type outcomeBuffer struct {
	sync.Mutex
	pending, spare []outcome // a drain swaps the two
	dropped        int64
	recorded       int64
}

func (b *outcomeBuffer) counts() (recorded, dropped int64) {
	b.Lock()
	defer b.Unlock()
	sync.Reads(&b.pending)
	return b.recorded, b.dropped
}

// Observe records the outcome of one attempt with its work in units and its service time. It waits neither for the state
// nor for another process, and does not allocate. If the buffer is full, it drops the outcome and counts it.
func (c *Cluster) Observe(key nodestats.Key, units, millis float64, result nodestats.Outcome) {
	b := &c.buffer
	b.Lock()
	sync.Writes(&b.pending)
	n, half := len(b.pending), cap(b.pending)/2
	if n == cap(b.pending) {
		b.dropped++
	} else {
		b.pending = append(b.pending, outcome{key, units, millis, result})
		b.recorded++
	}
	b.Unlock()
	if n == half {
		sync.TrySend(c.wake, struct{}{}) // if the channel is full, a drain is already requested
	}
}

// drain moves the buffered outcomes into the state. The caller holds c.mu.
func (c *Cluster) drain() {
	b := &c.buffer
	b.Lock()
	sync.Writes(&b.pending)
	drained := b.pending
	b.pending, b.spare = b.spare[:0], drained
	b.Unlock()
	sync.Writes(c.state)
	now := c.options.Since()
	for i := range drained {
		o := &drained[i]
		c.state.Recorder(now, o.key).Record(now, o.units, o.millis, o.outcome)
	}
}
