package node

import (
	"math"
	"time"
)

// Cold is what a node that has just started bears: work takes it longer, and past a count of requests it falls.
type Cold struct {
	Power  float64       // of a node that starts, as a part of a warm one's
	Span   time.Duration // after which it is warm; it gains evenly
	Units  float64       // that it stands within Within when it starts; they grow as its power does
	Mean   float64       // units of a request of mean work
	Within time.Duration
	Back   time.Duration // a node that fell is back, cold, after this
}

// power is that of a node of this age.
func (c *Cold) power(age time.Duration) float64 {
	return min(1, c.Power+(1-c.Power)*age.Seconds()/c.Span.Seconds())
}

// bears is how many requests of mean work it stands within Within: N + 3 sqrt(N) + 3.
func (c *Cold) bears(age time.Duration) float64 {
	n := c.Units / c.Mean * c.power(age) / c.Power
	return n + 3*math.Sqrt(n) + 3
}

// cold is a node's state of it, under n.mu.
type cold struct {
	since time.Time // zero: warm
	asked []asked   // within Within
	sum   float64
	worst float64 // most that was asked, as a part of what it bears
	falls int
}

type asked struct {
	at   time.Time
	work float64 // in requests of mean work
}

// Saw is what a node tells of as it happens.
type Saw int

// What it tells of.
const (
	Connected Saw = iota // a connection
	Asked                // a request, whole
	Fell                 // it fell
	Returned             // it is back, cold
)

// Chill has the node start now, cold.
func (n *Node) Chill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cold = cold{since: time.Now(), worst: n.cold.worst, falls: n.cold.falls}
}

// Falls is how often it fell, and the most that was asked of it, as a part of what it bore then.
func (n *Node) Falls() (times int, worst float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cold.falls, n.cold.worst
}

// age is how long it has run, where it is not warm; under n.mu.
func (n *Node) age(now time.Time) (time.Duration, bool) {
	if n.opt.Cold == nil || n.cold.since.IsZero() {
		return 0, false
	}
	age := now.Sub(n.cold.since)
	return age, age < n.opt.Cold.Span
}

// slower is how much longer work takes now.
func (n *Node) slower(work time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if age, young := n.age(time.Now()); young {
		return time.Duration(float64(work) / n.opt.Cold.power(age))
	}
	return work
}

// ask counts a request; true: the node falls by it.
func (n *Node) ask(units float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, c, set := time.Now(), &n.cold, n.opt.Cold
	age, young := n.age(now)
	if !young {
		return false
	}
	one := asked{now, units / set.Mean}
	c.asked, c.sum = append(c.asked, one), c.sum+one.work
	for now.Sub(c.asked[0].at) > set.Within {
		c.asked, c.sum = c.asked[1:], c.sum-c.asked[0].work
	}
	part := c.sum / set.bears(age)
	c.worst = max(c.worst, part)
	if part <= 1 {
		return false
	}
	c.falls++
	c.since = time.Time{} // until it is back
	return true
}

// fall has nobody listen at its addresses until it is back.
func (n *Node) fall() {
	set := func(f Fault) bool {
		n.turn.Lock() // Close waits for it, and nothing listens after that
		defer n.turn.Unlock()
		n.mu.Lock()
		closed, ports := n.closed, make([]*port, 0, len(n.ports))
		for _, p := range n.ports {
			ports = append(ports, p)
		}
		n.mu.Unlock()
		for _, p := range ports {
			if !closed && p.set(f) != nil {
				return false
			}
		}
		return !closed
	}
	n.saw(Fell)
	if !set(Refused) {
		return
	}
	select {
	case <-time.After(n.opt.Cold.Back):
	case <-n.done:
		return
	}
	n.Chill()
	if set(None) {
		n.saw(Returned)
	}
}

func (n *Node) saw(s Saw) {
	if n.opt.Saw != nil {
		n.opt.Saw(s)
	}
}
