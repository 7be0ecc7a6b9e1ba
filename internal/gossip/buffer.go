package gossip

import (
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/nodestats"
)

// bufferSize is the number of outcomes that are held between two drains.
const bufferSize = 8192

// outcome is the end of one attempt. It is recorded as of the time of the drain, at most one round interval later, which
// is a small part of a half-life.
type outcome struct {
	key     nodestats.Key
	units   float64
	millis  float64
	outcome nodestats.Outcome
}

// outcomeBuffer holds outcomes between the data path and the state. Its mutex guards all fields.
type outcomeBuffer struct {
	sync.Mutex
	pending, spare []outcome // spare is swapped in by a drain
	dropped        int64
	recorded       int64
}

func (b *outcomeBuffer) counts() (recorded, dropped int64) {
	b.Lock()
	defer b.Unlock()
	sync.Reads(&b.pending)
	return b.recorded, b.dropped
}

// Observe records the end of one attempt: its work in units and its service time. It never waits for the state or a
// peer, and does not allocate.
func (c *Cluster) Observe(key nodestats.Key, units, millis float64, how nodestats.Outcome) {
	b := &c.buffer
	b.Lock()
	sync.Writes(&b.pending)
	n, half := len(b.pending), cap(b.pending)/2
	if n == cap(b.pending) {
		b.dropped++
	} else {
		b.pending = append(b.pending, outcome{key, units, millis, how})
		b.recorded++
	}
	b.Unlock()
	if n == half {
		sync.TrySend(c.wake, struct{}{}) // a full channel has the same effect
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
