package policy

import (
	"math"
	"slices"
)

type request struct {
	id                 string
	class              *class
	volume             *volume
	key                string
	queue              *shardQueue
	units              float64
	startedAt          float64 // first try of the client, as far as known
	objectiveAt        float64
	deadline           float64
	isNewObject        bool // a new object
	origin             requestKey
	isClientRetry      bool // a client's further try
	band               int
	usageLevel         float64
	chargedBand        int // the band it was charged to on arrival
	sequence           int
	queued             bool
	waitedForAdmission bool // waited for a node to come, or for its volume's limit
	done               bool
	streaming          bool
	attempts           []attempt
	openAttempts       int
	mayHaveRunOn       *node   // keyed, unsafe: where an attempt may have run
	mayHaveRunSince    float64 // when that was sent
	limitCharged       bool
	maxAttempts        int     // attempts, by the settings that it came under
	attemptCancelled   bool    // its last attempt was called off at its aim
	attemptLost        bool    // its last attempt was overtaken
	nodeAnswersAtSend  float64 // answers of the node when it was sent
	inFlightAtSend     float64 // out at the node when it was sent
}

type attempt struct {
	node   *node
	sentAt float64
	open   bool
	lost   bool // written off: overtaken
}

func (r *request) lastAt() float64 { return r.attempts[len(r.attempts)-1].sentAt }

// requestKey names what a client asked for, and unservedRequest tells of its last try.
type requestKey struct{ class, volume, key string }

type unservedRequest struct{ startedAt, endsAt float64 }

// finish forgets a finished request once nothing of it is out.
func (s *Scheduler) finish(r *request) {
	if r.queued {
		s.dequeue(r)
	}
	r.done = true
	if r.openAttempts > 0 {
		return
	}
	delete(s.requests, r.id)
	if t := s.orderedKeys[r.key]; t != nil && r.class.Ordered {
		if at := slices.Index(t.waiting, r); at >= 0 {
			t.waiting = slices.Delete(t.waiting, at, at+1)
		}
		if len(t.waiting) == 0 && s.now >= t.backoffUntil {
			delete(s.orderedKeys, r.key)
		}
	}
}

// rememberUnserved remembers a request that ended unserved: its client may come again.
func (s *Scheduler) rememberUnserved(r *request) {
	if r.origin.key != "" {
		s.unserved[r.origin] = unservedRequest{r.startedAt, math.Max(r.deadline, s.unserved[r.origin].endsAt)}
	}
}
