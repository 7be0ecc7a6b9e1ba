package policy

import (
	"math"
	"slices"
)

// request is an admitted request that waits or has attempts in flight.
type request struct {
	id          string
	class       *class
	volume      *volume
	key         string
	origin      requestKey
	units       float64
	isNewObject bool // any shard may take it
	sequence    int  // order of admission
	maxAttempts int  // by the settings it was admitted under

	startedAt     float64 // the client's first attempt, as far as known
	isClientRetry bool
	objectiveAt   float64 // answered later, it is late
	deadline      float64 // the client disconnects

	band        int     // what a unit still earns
	usageLevel  float64 // use of its volume, for the order within a band
	chargedBand int     // the band it was charged to on admission

	queue              *shardQueue
	queued             bool
	waitedForAdmission bool // waited for a node to come, or for its volume's rate limit
	limitCharged       bool // the rate limit was charged
	done               bool
	streaming          bool // the response has started

	attempts          []attempt
	openAttempts      int
	mayHaveRunOn      *node   // not idempotent: where an attempt may have run
	mayHaveRunSince   float64 // when that attempt was sent
	attemptCancelled  bool    // the last attempt was cancelled at the objective
	attemptLost       bool    // the last attempt was overtaken
	nodeAnswersAtSend float64 // of the node, at the last send
	inFlightAtSend    float64 // at the node, before the last send
}

// attempt is one send of a request to a node.
type attempt struct {
	node   *node
	sentAt float64
	open   bool
	lost   bool // written off
}

// requestKey identifies what a client asked for, over its own retries.
type requestKey struct{ class, volume, key string }

// unservedRequest is a request that ended unserved, and whose client may retry.
type unservedRequest struct{ startedAt, endsAt float64 }

func (r *request) lastSentAt() float64 { return r.attempts[len(r.attempts)-1].sentAt }

// finish forgets a request, once none of its attempts is open.
func (s *Scheduler) finish(r *request) {
	if r.queued {
		s.dequeue(r)
	}
	r.done = true
	if r.openAttempts > 0 {
		return
	}
	delete(s.requests, r.id)
	s.leaveOrderedKey(r)
}

// rememberUnserved keeps the start of a request that ended unserved, as its client may retry.
func (s *Scheduler) rememberUnserved(r *request) {
	if r.origin.key != "" {
		s.unserved[r.origin] = unservedRequest{r.startedAt, math.Max(r.deadline, s.unserved[r.origin].endsAt)}
	}
}

// orderedKey is the line of the requests that share an ordered key.
type orderedKey struct {
	lastRequestAt float64
	waiting       []*request // the first one may be sent
	backoffUntil  float64
}

// joinOrderedKey puts a request at the end of its key's line.
func (s *Scheduler) joinOrderedKey(r *request) {
	if !r.class.Ordered || r.key == "" {
		return
	}
	key := s.orderedKeys[r.key]
	if key == nil {
		key = &orderedKey{}
		s.orderedKeys[r.key] = key
	}
	key.waiting, key.lastRequestAt = append(key.waiting, r), s.now
}

// leaveOrderedKey takes a request out of its key's line.
func (s *Scheduler) leaveOrderedKey(r *request) {
	key := s.orderedKeys[r.key]
	if key == nil || !r.class.Ordered {
		return
	}
	if at := slices.Index(key.waiting, r); at >= 0 {
		key.waiting = slices.Delete(key.waiting, at, at+1)
	}
	if len(key.waiting) == 0 && s.now >= key.backoffUntil {
		delete(s.orderedKeys, r.key)
	}
}
