package discovery

import (
	"sync"
	"time"
)

// Capacity is the processing capacity of one service, or of several that share it. It runs a Queue in real time and
// counts the calls in the busiest second.
type Capacity struct {
	mu          sync.Mutex
	start       time.Time
	queue       *Queue
	recentCalls []time.Duration // arrivals in the last second
	load        Load
}

// Load counts the calls received.
type Load struct {
	Calls         int
	Rejected      int // waited too long or found the queue full
	PeakPerSecond int // calls in the busiest second
}

// NewCapacity creates a Capacity from the options Capacity, Patience and Queue.
func NewCapacity(opt Options) (*Capacity, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	return newCapacity(opt), nil
}

func newCapacity(opt Options) *Capacity {
	processingTime := time.Duration(0)
	if opt.Capacity > 0 {
		processingTime = time.Duration(float64(time.Second) / opt.Capacity)
	}
	return &Capacity{start: time.Now(), queue: NewQueue(processingTime, opt.Patience, opt.Queue)}
}

// Load returns the calls so far of all services that share the capacity.
func (c *Capacity) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load
}

// ResetLoad restarts the counting of Load.
func (c *Capacity) ResetLoad() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recentCalls, c.load = nil, Load{}
}

// call adds a call that arrives now and returns when it ends, how long it waits before its processing or its failure,
// and its outcome.
func (c *Capacity) call(now time.Time) (at time.Time, wait time.Duration, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := now.Sub(c.start)
	c.recentCalls = append(c.recentCalls, t)
	for t-c.recentCalls[0] >= time.Second {
		c.recentCalls = c.recentCalls[1:]
	}
	c.load.Calls++
	c.load.PeakPerSecond = max(c.load.PeakPerSecond, len(c.recentCalls))
	end, outcome := c.queue.Call(t)
	wait = end - t
	if outcome == Served {
		wait -= c.queue.processingTime
	} else {
		c.load.Rejected++
	}
	return c.start.Add(end), wait, outcome
}
