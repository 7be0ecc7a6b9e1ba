package discovery

import "time"

// Outcome is what became of a call before the capacity.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	TooLong         // it waited longer than the patience
	Full            // the queue was full
)

func (o Outcome) String() string { return [...]string{"served", "waited too long", "queue full"}[o] }

// Queue is the capacity: calls wait in turn, and each takes a time of the one server.
type Queue struct {
	each, patience time.Duration
	most           int
	last           time.Duration
	ends           []time.Duration // of the calls in it, those that nobody waits for too
}

// NewQueue has calls take a time each (0: they are free), fail after waiting for the patience, and
// fail at once where the queue holds most already.
func NewQueue(each, patience time.Duration, most int) *Queue {
	return &Queue{each: each, patience: patience, most: most}
}

// Len is how many calls are in it, the one that is worked on too.
func (q *Queue) Len(now time.Duration) int {
	q.pass(now)
	return len(q.ends)
}

func (q *Queue) pass(now time.Duration) {
	q.last = max(q.last, now)
	for len(q.ends) > 0 && q.ends[0] <= q.last {
		q.ends = q.ends[1:]
	}
}

// Call takes a call that comes now, and says when it ends and how.
func (q *Queue) Call(now time.Duration) (time.Duration, Outcome) {
	if q.each <= 0 {
		return now, Served
	}
	q.pass(now)
	now = q.last
	if len(q.ends) >= q.most {
		return now, Full
	}
	start := now
	if n := len(q.ends); n > 0 {
		start = q.ends[n-1]
	}
	q.ends = append(q.ends, start+q.each)
	if start-now > q.patience {
		return now + q.patience, TooLong
	}
	return start + q.each, Served
}
