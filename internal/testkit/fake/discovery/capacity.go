package discovery

import (
	"sync"
	"time"
)

// Capacity is the one server of a service, or of several that share it: its queue by the clock, and how
// many calls came in the worst second.
type Capacity struct {
	mu    sync.Mutex
	start time.Time
	queue *Queue
	calls []time.Duration // of the last second
	load  Load
}

// Load is what came.
type Load struct {
	Calls   int
	Refused int // that waited too long or found the queue full
	Peak    int // calls in the worst second
}

// NewCapacity makes one out of Capacity, Patience and Queue.
func NewCapacity(opt Options) (*Capacity, error) {
	if err := opt.fill(); err != nil {
		return nil, err
	}
	return newCapacity(opt), nil
}

func newCapacity(opt Options) *Capacity {
	each := time.Duration(0)
	if opt.Capacity > 0 {
		each = time.Duration(float64(time.Second) / opt.Capacity)
	}
	return &Capacity{start: time.Now(), queue: NewQueue(each, opt.Patience, opt.Queue)}
}

// Load is what has come so far, to all that share it.
func (c *Capacity) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load
}

// Forget has Load count from now.
func (c *Capacity) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls, c.load = nil, Load{}
}

// call takes a call that comes now, and says when it ends, how long it waits and what becomes of it.
func (c *Capacity) call(now time.Time) (at time.Time, waits time.Duration, out Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := now.Sub(c.start)
	c.calls = append(c.calls, t)
	for t-c.calls[0] >= time.Second {
		c.calls = c.calls[1:]
	}
	c.load.Calls++
	c.load.Peak = max(c.load.Peak, len(c.calls))
	end, out := c.queue.Call(t)
	waits = end - t
	if out == Served {
		waits -= c.queue.each
	} else {
		c.load.Refused++
	}
	return c.start.Add(end), waits, out
}
