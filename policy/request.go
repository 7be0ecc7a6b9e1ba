package policy

import "slices"

// request is an admitted request that waits in a queue or has attempts in flight.
type request struct {
	id        string
	class     *class
	volume    *volume
	key       string
	clientKey requestKey
	// idempotencyKey is the key under which the client repeats the request, if it has chosen one.
	idempotencyKey    requestKey
	hasIdempotencyKey bool
	units             float64
	isNewObject       bool // may be placed on any shard
	sequence          int  // order of admission
	maxAttempts       int  // by the settings that were in force at admission

	startedAt     float64 // time of the client's first attempt, as far as known
	isClientRetry bool
	objectiveAt   float64 // the request is late if it is answered after this time
	deadline      float64 // time at which the client disconnects

	band        int     // priority band, such as bandReserved
	usageRank   float64 // usage of its volume, for the order within a band
	chargedBand int     // the band it was charged to on admission

	queue              *shardQueue
	queued             bool
	waitedForAdmission bool // waited for a usable node, its ordered key, its volume's rate limit or the retry budget
	limitCharged       bool // the rate limit was charged
	done               bool
	streaming          bool // the response has started

	attempts           []attempt
	openAttempts       int
	mayHaveRunOn       *node           // node of the last attempt that ended, or is hedged, and may have run, of this request or of an earlier one under its idempotency key; nil: there is none
	mayHaveRunSince    float64         // when the first attempt that may have run was sent
	attemptCancelled   bool            // the last attempt was cancelled at the objective
	beforeCancel       latencySnapshot // of its node, if it was cancelled
	attemptWrittenOff  bool            // the last attempt was written off
	nodeAnswersAtSend  float64         // answers received from the node before the last send
	nodeInFlightAtSend float64         // requests in flight at the node before the last send
}

// attempt is one send of a request to a node.
type attempt struct {
	node       *node
	sentAt     float64
	open       bool
	writtenOff bool // it no longer counts as in flight, though its outcome is unknown
	// transferring is set once the node is known to make progress, though the attempt lasts: it takes the request, or gives the
	// response. Then the attempt is neither cancelled nor written off for its age.
	transferring bool
	slowRequest  bool // the node took the request slowly, so the attempt's time is not the node's latency
}

// requestKey identifies a client's request across the client's own retries.
type requestKey struct{ class, volume, key string }

// unservedRequest records a request that ended unserved and whose client may retry it.
type unservedRequest struct{ startedAt, deadline float64 }

func (r *request) lastSentAt() float64 { return r.attempts[len(r.attempts)-1].sentAt }

// finish marks a request as done, and removes it from the state once none of its attempts is open.
func (s *Scheduler) finish(r *request) {
	if r.queued {
		s.dequeue(r)
	}
	r.done = true
	s.removeFromKey(r)
	if r.openAttempts > 0 {
		return
	}
	delete(s.requests, r.id)
	s.removeFromOrderedKey(r)
}

// recordUnserved records a request that ended unserved, so that a retry by its client is recognized.
func (s *Scheduler) recordUnserved(r *request) {
	if r.clientKey.key != "" {
		s.unserved.record(r.clientKey, r.startedAt, r.deadline)
	}
}

// orderedKeyQueue holds the requests that share an ordered key, in order of admission.
type orderedKeyQueue struct {
	requests     []*request // only the first one may be sent
	backoffUntil float64
}

// addToOrderedKey appends a request to the queue of its ordered key, if it has one.
func (s *Scheduler) addToOrderedKey(r *request) {
	if !r.class.Ordered || r.key == "" {
		return
	}
	key := s.orderedKeys[r.key]
	if key == nil {
		key = &orderedKeyQueue{}
		s.orderedKeys[r.key] = key
	}
	key.requests = append(key.requests, r)
}

// removeFromOrderedKey removes a request from the queue of its ordered key.
func (s *Scheduler) removeFromOrderedKey(r *request) {
	key := s.orderedKeys[r.key]
	if key == nil || !r.class.Ordered {
		return
	}
	if at := slices.Index(key.requests, r); at >= 0 {
		key.requests = slices.Delete(key.requests, at, at+1)
	}
	if len(key.requests) == 0 && s.now >= key.backoffUntil {
		delete(s.orderedKeys, r.key)
	}
}
