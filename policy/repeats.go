package policy

import (
	"maps"
	"math"
	"slices"
)

const (
	// repeatMarginMs is how long a client's repeat may take beyond its Retry-After: the pause that clients without one keep (160 ms), the
	// way, and a scheduler that is held up.
	repeatMarginMs = 400.0
	// maxPossibleRuns is the maximum number of possible runs that are remembered. At the maximum no further request is rejected that
	// may have run: it fails.
	maxPossibleRuns = 8192
)

// possibleRun tells that an attempt under an idempotency key may have run, though its client got no response to it. The client may repeat
// its request under the same key, and nodes discard the repeat only within the deduplication window of that attempt.
type possibleRun struct {
	node      *node
	since     float64 // when the first attempt that may have run was sent
	keepUntil float64
}

// possibleRuns holds the possible runs by the keys of the clients.
type possibleRuns map[requestKey]possibleRun

// removeExpired removes the runs after which a client repeats its request no more.
func (p possibleRuns) removeExpired(now float64) {
	maps.DeleteFunc(p, func(_ requestKey, run possibleRun) bool { return now > run.keepUntil })
}

// EarlierRun is a run under a client's idempotency key that may have happened, as a process tells it to the one that replaces it.
type EarlierRun struct {
	Class, Volume, Key string
	Node               Node    // on which it may have run
	Age                float64 // time since the first attempt that may have run was sent, ms
	KeepFor            float64 // time during which the client may repeat the request, ms
}

// EarlierRuns returns the possible runs under the clients' keys, also of the open requests, for the process that replaces this one.
func (s *Scheduler) EarlierRuns(now float64) (runs []EarlierRun) {
	add := func(key requestKey, run possibleRun) {
		runs = append(runs, EarlierRun{key.class, key.volume, key.key, run.node.Node, now - run.since, run.keepUntil - now})
	}
	for key, open := range s.openByKey {
		for _, r := range open {
			if since, n := r.firstPossibleRun(); n != nil && r.class.Effect == IdempotentByKey {
				add(key, possibleRun{n, since, now + r.class.Deadline + r.class.DedupWindow})
			}
		}
	}
	for key, run := range s.possibleRuns {
		add(key, run)
	}
	return runs
}

// AddEarlierRuns adds those of the process that this one replaces.
func (s *Scheduler) AddEarlierRuns(now float64, runs []EarlierRun) {
	for _, earlier := range runs {
		key := requestKey{earlier.Class, earlier.Volume, earlier.Key}
		run := possibleRun{s.nodeByID[earlier.Node.ID], now - earlier.Age, now + earlier.KeepFor}
		if run.node == nil {
			run.node = newNode(earlier.Node, now)
		}
		known, isKnown := s.possibleRuns[key]
		if isKnown && known.since <= run.since || !isKnown && len(s.possibleRuns) >= maxPossibleRuns {
			continue
		}
		s.possibleRuns[key] = run
		s.inheritToRepeats(key)
	}
}

// idempotencyKey returns the key under which a client repeats a request, and false if it chose none.
func (req *Request) idempotencyKey() (requestKey, bool) {
	return requestKey{req.Class, req.Volume, req.IdempotencyKey}, req.IdempotencyKey != ""
}

// inheritPossibleRun makes a request the repeat of an earlier one of its client that may have run.
func (s *Scheduler) inheritPossibleRun(r *request) {
	run, known := s.possibleRuns[r.idempotencyKey]
	if known && (r.mayHaveRunOn == nil || run.since < r.mayHaveRunSince) {
		r.mayHaveRunOn, r.mayHaveRunSince = run.node, run.since
	}
}

// inheritToRepeats makes the open requests under a key inherit its possible run: a repeat may arrive before it is known that the client of
// the earlier request has left.
func (s *Scheduler) inheritToRepeats(key requestKey) {
	for _, r := range s.openByKey[key] {
		s.inheritPossibleRun(r)
	}
}

// addToKey adds an admitted request to the open ones under its idempotency key.
func (s *Scheduler) addToKey(r *request) {
	if r.hasIdempotencyKey {
		s.openByKey[r.idempotencyKey] = append(s.openByKey[r.idempotencyKey], r)
	}
}

// removeFromKey removes a request that has ended from those under its key.
func (s *Scheduler) removeFromKey(r *request) {
	remaining := slices.DeleteFunc(s.openByKey[r.idempotencyKey], func(other *request) bool { return other == r })
	if len(remaining) == 0 {
		delete(s.openByKey, r.idempotencyKey)
	} else {
		s.openByKey[r.idempotencyKey] = remaining
	}
}

// rememberPossibleRun remembers that a request which ends without a response may have run. It returns false if there is no room for that.
func (s *Scheduler) rememberPossibleRun(r *request) bool {
	since, n := r.firstPossibleRun()
	if n == nil || !r.hasIdempotencyKey || r.class.Effect != IdempotentByKey || !s.settings.ClientsKeepKeys {
		return true
	}
	if _, known := s.possibleRuns[r.idempotencyKey]; !known && len(s.possibleRuns) >= maxPossibleRuns {
		return false
	}
	s.possibleRuns[r.idempotencyKey] = possibleRun{n, since, s.now + r.class.Deadline + r.class.DedupWindow}
	s.inheritToRepeats(r.idempotencyKey)
	return true
}

// firstPossibleRun returns when the first attempt was sent that may have run or may yet, and the node of one. The node is nil if there is
// none.
func (r *request) firstPossibleRun() (since float64, n *node) {
	since, n = r.mayHaveRunSince, r.mayHaveRunOn
	for i := range r.attempts {
		if a := &r.attempts[i]; a.open && (n == nil || a.sentAt < since) {
			since, n = a.sentAt, a.node
		}
	}
	return since, n
}

// effectAllowsAttempt reports whether another attempt of a request is no second run.
func (s *Scheduler) effectAllowsAttempt(r *request) bool {
	if r.mayHaveRunOn == nil {
		return true
	}
	switch r.class.Effect {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		return s.now < r.mayHaveRunSince+r.class.DedupWindow
	}
	return true
}

// repeatBy returns the latest time at which the client's repeat of a request may arrive without a second run: infinite if at any time,
// negative infinity if never. A repeat is decided by the settings in force when it arrives, so a class that has changed since the request
// was admitted counts by its stricter definition.
func (s *Scheduler) repeatBy(r *request) float64 {
	if r.mayHaveRunOn == nil {
		return math.Inf(1)
	}
	by := s.classRepeatBy(&r.class.Class, r.mayHaveRunSince)
	if current := s.classByName[r.class.Name]; current != nil {
		by = math.Min(by, s.classRepeatBy(&current.Class, r.mayHaveRunSince))
	}
	return by
}

// MayReject reports whether a request that the scheduler holds may be rejected by its caller with a Retry-After, in ms: its client's repeat
// is no second run. A request that the scheduler does not hold may be.
func (s *Scheduler) MayReject(id string, now, wait float64) bool {
	r := s.requests[id]
	if r == nil {
		return true
	}
	_, n := r.firstPossibleRun()
	if n == nil {
		return true
	}
	return r.openAttempts == 0 && now+wait < s.repeatBy(r)
}

// MayRejectArrival reports the same for a request that was not passed to the scheduler.
func (s *Scheduler) MayRejectArrival(req *Request, now, wait float64) bool {
	key, _ := req.idempotencyKey()
	run, known := s.possibleRuns[key]
	if !known {
		return true
	}
	c := s.classByName[req.Class]
	return c != nil && now+wait < s.classRepeatBy(&c.Class, run.since)
}

// classRepeatBy returns the same for a class and the time of the first attempt that may have run. After a handover the repeat reaches the
// other process, which does not know that attempt.
func (s *Scheduler) classRepeatBy(c *Class, since float64) float64 {
	switch {
	case c.Effect == Idempotent:
		return math.Inf(1)
	case c.Effect == IdempotentByKey && c.DedupScope == DedupAll && s.settings.ClientsKeepKeys && !s.handedOver:
		return since + c.DedupWindow - repeatMarginMs
	}
	return math.Inf(-1)
}
