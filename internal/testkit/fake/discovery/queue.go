package discovery

import "time"

// Outcome is how the queue handled a call.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	TooLong         // the call waited longer than the patience
	Full            // the queue was full
)

func (o Outcome) String() string { return [...]string{"served", "waited too long", "queue full"}[o] }

// Queue models one server with a limited capacity: calls wait in order of arrival and each takes the same processing time.
type Queue struct {
	processingTime, patience time.Duration
	limit                    int
	now                      time.Duration
	endTimes                 []time.Duration // end times of the queued calls, including those that failed with TooLong
}

// NewQueue creates a queue. Each call takes processingTime (0: none), fails after waiting for patience, and fails at
// once if limit calls are queued.
func NewQueue(processingTime, patience time.Duration, limit int) *Queue {
	return &Queue{processingTime: processingTime, patience: patience, limit: limit}
}

// Len returns the number of queued calls, including the one in progress.
func (q *Queue) Len(now time.Duration) int {
	q.advance(now)
	return len(q.endTimes)
}

func (q *Queue) advance(now time.Duration) {
	q.now = max(q.now, now)
	for len(q.endTimes) > 0 && q.endTimes[0] <= q.now {
		q.endTimes = q.endTimes[1:]
	}
}

// Call adds a call that arrives now and returns when and how it ends.
func (q *Queue) Call(now time.Duration) (time.Duration, Outcome) {
	if q.processingTime <= 0 {
		return now, Served
	}
	q.advance(now)
	now = q.now
	if len(q.endTimes) >= q.limit {
		return now, Full
	}
	start := now
	if n := len(q.endTimes); n > 0 {
		start = q.endTimes[n-1]
	}
	q.endTimes = append(q.endTimes, start+q.processingTime)
	if start-now > q.patience {
		return now + q.patience, TooLong
	}
	return start + q.processingTime, Served
}
