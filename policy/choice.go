package policy

// The decisions of one host's I/O scheduler. In order: constants, intake, class queues,
// window, adaptation, entitlement, node health and cold starts, attempts, list.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
)

// Constants. Times in milliseconds.
const (
	tickIntervalMs          = 500.0  // adaptation tick: a few answers of each class per host
	ticksPerAdaptation      = 2      // ticks between adaptations: enough samples to mean something
	maxAdaptIntervalMs      = 4000.0 // longest adaptation interval after a commit: loads shift within it
	alpha                   = 0.5    // weight of the past in a class's delay
	beta                    = 0.8    // share of a donation that is committed
	epsilon                 = 0.1    // band around the aim in which a class is balanced
	minSlope                = 1.0    // least slope: delay that does not move with share is not free
	rejectedDelayObjectives = 2.0    // what is refused counts at this many aims at least: it was not served
	minClassWeight          = 0.05   // least share: a class must keep a sample flow

	initialWindow         = 4.0    // the design's start
	minWindow             = 2.0    // one served and one on its way
	maxWindow             = 32.0   // the design's ceiling
	minFleetWindow        = 4.0    // crowded: all hosts together keep this; below one, a host rests between its sends
	nodeLatencyShare      = 0.5    // a node's latency may take this part of the tightest aim; the rest is for waiting
	staleNodeLatencyShare = 0.3    // of its aim: the latency at a node unheard of at which a request leaves it
	staleLatencyMs        = 10e3   // a node not heard of for this long counts as such: past any pause of its own
	maxEpochMs            = 1000.0 // ... and a lone answer after this long ends an epoch: sparse hosts must act too
	maxSendGapMs          = 1000.0 // longest rest between sends: past a node's own changes
	minEpochAnswers       = 6      // least answers between window steps: single sizes are noise
	minLatencyShareLeft   = 0.6    // not sent with less than this of the usual latency left to its aim
	maxClassFactor        = 2.0    // a class's weight moves its bands' rooms by this factor at most
	widenRatio            = 1.5    // latency per unit within this of the best widens: sizes alone scatter as much
	halveRatio            = 2.0    // past this multiple of the best the window halves
	bestLatencyFallGain   = 0.3    // how fast the best follows a lower figure ...
	bestLatencyRiseGain   = 0.02   // ... and a higher one: slow, or load would pass for the norm

	sweepIntervalMs        = 10.0   // how often waiting requests are reviewed: well inside any aim
	heartbeatIntervalMs    = 100.0  // a timer that tells this host's own stalls ...
	maxTimerLagMs          = 100.0  // ... past due by this: more than a busy step takes
	drainingUseShare       = 0.5    // a node that drains is used for this part of the grace ...
	drainingReserveMs      = 500.0  // ... less what is kept for delays: of the list's word, of a host's stall
	idleEvictionMs         = 60e3   // a volume or key not seen for this long is forgotten: past any deadline and rest
	deadlineMarginMs       = 4.0    // a waiting request is answered this long before its client leaves
	usageWindowMs          = 1000.0 // memory of a volume's use: entitlement is counted by the second
	clientRetryLevel       = 1e9    // level that puts clients' further tries after first ones
	maxFairUsageRatio      = 2.0    // use past this multiple of the mean asker's is spare
	minSilenceMs           = 1200.0 // no answer for this long, with work out: silent; past any usual pause
	silenceLatencyMultiple = 6.0    // ... or for this multiple of the usual latency, if longer
	minNodeStallMs         = 300.0  // ... and this long: stalled, no slope is refitted across it
	minOvertakingAnswers   = 3.0    // answers to later attempts that make one lost: past most slots' scatter
	lostLatencyMultiple    = 4.0    // ... once it is out for this multiple of the usual latency ...
	minLostAgeMs           = 50.0   // ... and for this long: small figures scatter more
	stuckLatencyMultiple   = 2.0    // past its aim and out for this multiple of the pool's latency: called off
	minBackoffMs           = 50.0   // rest after a node proved not to take work ...
	maxBackoffMs           = 500.0  // ... doubling to this, so that its return is soon seen
	highFailureRate        = 0.15   // failing share past which new objects go elsewhere
	latencyDecayMs         = 2e3    // what a node showed fades to the pool's figure over this: troubles pass
	latencyFreshMs         = 2e3    // ... and a latency this old yields most of its weight to a new one
	minLatencyGain         = 0.1    // weight of one answer in a node's usual latency: some ten answers
	failureRateGain        = 0.1    // weight of one outcome in the failing share
	slowStartOverloadShare = 0.5    // share of the tipping multiple used over what a cold node has shown
	minSlowStartShare      = 0.1    // ... growing to a tenfold at most as it warms
	shardReadWindowMs      = 20e3   // a shard that no read named for this long is not this host's work
	newShardFleetShare     = 0.75   // of what a cold node bears: allowed to all hosts, if new to its shard
	smallFleet             = 30     // fewer hosts than this may have ...
	smallFleetSlackFactor  = 2.5    // ... this much more of the slack for chance
	answeredGrowthFactor   = 2.0    // of what the shard answered a host: allowed by its node's present capacity
	popularShardDivisor    = 1.5    // at least this part of all hosts is taken to read a shard: some do, of some
	restartSuspectMs       = 3000.0 // a node back from this much silence may have restarted
	logIntervalMs          = 1000.0 // a log line a second at most
	minPollBackoffMs       = 300.0  // first wait before asking the list again, doubling ...
	maxPollBackoffMs       = 4000.0 // ... to this: well inside any ask-within
)

// Bands order the requests of one class queue by what a unit still earns.
const (
	bandReserved = iota
	bandFairShare
	bandBurst
	bandLate
)

// bandLatencyLimit is the latency of a node, in tightest aims, at which a band leaves it to the
// reserves of hosts unseen. Harm: one slow answer sends work off until the figure heals.
var bandLatencyLimit = [...]float64{bandReserved: 1e9, bandFairShare: 0.65, bandBurst: 0.35, bandLate: 0.3}

// New checks the settings and makes an instance.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := checkSettings(&set); err != nil {
		return nil, err
	}
	s := newScheduler(set, seed)
	s.poolLatencyAt, s.schedulersPerNode = math.Inf(-1), float64(set.Schedulers)
	s.pollBackoff, s.adaptInterval = minPollBackoffMs, ticksPerAdaptation*tickIntervalMs
	for _, c := range s.classes {
		c.weight = 1 / float64(len(s.classes)) // shares start equal
		s.meanPriorityWeight += c.PriorityWeight / float64(len(s.classes))
	}
	return s, nil
}

// Intake.

// Step takes the time and the events that came at it, and appends actions.
func (s *Scheduler) Step(now float64, events []Event, actions []Action) []Action {
	if math.IsNaN(s.now) {
		// Hosts that start together would else move their weights in step, and overshoot.
		s.now, s.nextAdaptAt, s.lastLogAt, s.nextPollAt, s.lastStallEndAt = now, now+s.adaptInterval*(0.5+s.rng.Float64()), now, now, now
		s.heartbeatDueAt = now + heartbeatIntervalMs
		actions = append(actions, Action{Kind: SetTimer, Wait: heartbeatIntervalMs, Tag: "beat"})
	}
	s.now, s.actions = math.Max(now, s.now), actions
	s.detectStall(events)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case RequestArrived:
			s.admit(&ev.Request)
		case AttemptEnded:
			s.attemptEnded(ev)
		case ResponseStarted:
			if r := s.requests[ev.ID]; r != nil {
				r.streaming = true
			}
		case ClientDisconnected:
			if r := s.requests[ev.ID]; r != nil && !r.done {
				s.clientDisconnected(r)
			}
		case ListReceived, CachedListLoaded, ListChanged, ListFailed:
			s.applyList(ev)
		case TimerFired:
			switch ev.Tag {
			case "tick":
				s.tick()
			case "sweep":
				s.sweepTimerSet = false
			case "beat":
				s.heartbeatDueAt = s.now + heartbeatIntervalMs
				s.emit(Action{Kind: SetTimer, Wait: heartbeatIntervalMs, Tag: "beat"})
			}
		}
	}
	s.sweep()
	if s.waitingCount > 0 && !s.sweepTimerSet {
		s.sweepTimerSet = true
		s.emit(Action{Kind: SetTimer, Wait: sweepIntervalMs, Tag: "sweep"})
	}
	return s.actions
}

// detectStall notes a stall of this host itself, by a timer far past due: what comes now waited
// here, so its times are no samples, silence counts anew, and arrivals are as old as the
// time left says. It covers a clock that leaps. Harm: a late caller costs samples.
func (s *Scheduler) detectStall(events []Event) {
	if s.resumedFromStall = timerFired(events, "beat") && s.now-s.heartbeatDueAt > maxTimerLagMs; s.resumedFromStall {
		s.logText(fmt.Sprintf("stood still for %.0f ms", s.now-s.heartbeatDueAt))
		s.lastStallEndAt = s.now
	}
}

// admit takes a request; one of an unknown class or plan or with no time left is refused.
func (s *Scheduler) admit(q *Request) {
	if s.requests[q.ID] != nil {
		return
	}
	if s.firstRequestAt = math.Min(s.firstRequestAt, s.now); s.settings.RetryBudgetWindow > 0 {
		s.arrivalTimes = append(s.arrivalTimes, s.now)
	}
	c, plan := s.classByName[q.Class], s.planByName[q.Plan]
	timely, sized := q.Deadline > s.now+deadlineMarginMs, q.Units > 0 && !math.IsInf(q.Units, 0)
	if c == nil || plan == nil || !timely || !sized {
		s.emit(Action{Kind: Reject, ID: q.ID})
		return
	}
	s.lastSequence++
	r := &request{id: q.ID, class: c, key: q.Key, units: q.Units, deadline: q.Deadline, sequence: s.lastSequence,
		isNewObject: q.Shard < 0, origin: requestKey{q.Class, q.Volume, q.Key}, maxAttempts: s.settings.MaxAttempts}
	c.longestTimeout = math.Min(math.Max(c.longestTimeout, q.Deadline-s.now), c.Deadline)
	r.startedAt = s.firstAttemptTime(q, c.longestTimeout)
	r.isClientRetry = r.startedAt < s.now && !s.resumedFromStall
	r.objectiveAt = math.Min(r.startedAt+c.LatencyObjective, q.Deadline-deadlineMarginMs)
	r.volume = s.volume(q.Volume, plan, q.Schedulers)
	if s.chargeQuota(r); r.isClientRetry {
		r.usageLevel += clientRetryLevel
	}
	s.requests[r.id] = r
	s.joinOrderedKey(r)
	if r.isNewObject {
		r.queue = s.placeNewObject(r)
	} else {
		r.queue = s.shardQueue(q.Shard)
		if s.now-r.queue.lastReadAt > shardReadWindowMs {
			r.queue.readingSince = s.now
		}
		r.queue.lastReadAt = s.now
	}
	s.enqueue(r)
}

// firstAttemptTime is the time of a client's first try. A further try is marked, or has the key of
// one that went unserved and ends no later; without that memory the time left tells the
// age. Harm: where none are marked, another client's request may pass for a repeat.
func (s *Scheduler) firstAttemptTime(q *Request, span float64) float64 {
	m, known := s.unserved[requestKey{q.Class, q.Volume, q.Key}]
	switch {
	case known && s.now-m.startedAt < s.classByName[q.Class].Deadline && (q.ClientRetry || q.Deadline <= m.endsAt+1):
		return m.startedAt
	case q.ClientRetry || q.Key == "" || s.resumedFromStall:
		return math.Min(q.Deadline-span, s.now)
	}
	return s.now
}

// clientDisconnected takes a client's departure: work still out is called off, as a node may drop it.
// A class whose clients lose patience must not look healthy: it counts at the aim.
func (s *Scheduler) clientDisconnected(r *request) {
	s.sampleDelay(r, math.Max(0, r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	for i, t := range r.attempts {
		if age := s.now - t.sentAt; t.open && !r.attemptLost && age > s.expectedLatency(t.node) {
			s.recordLatency(t.node, age, r.units)
		}
		if t.open && s.settings.MayCancel && !r.streaming {
			s.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
	s.rememberUnserved(r)
	s.finish(r)
}

// Class queues.

// before orders a class queue: by band, dearer plans, first tries, least use, arrival.
func before(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.volume.plan.Price, a.volume.plan.Price),
		cmp.Compare(a.usageLevel, b.usageLevel), cmp.Compare(a.sequence, b.sequence)) < 0
}

func (s *Scheduler) enqueue(r *request) {
	l, i := r.queue, r.class.index
	if len(l.byClass[i]) == 0 {
		l.nextStart[i] = math.Max(l.nextStart[i], l.virtualTime)
	}
	if s.now > r.objectiveAt { // late worth lasts to the client's end
		r.band, r.objectiveAt = bandLate, r.deadline-deadlineMarginMs
	}
	at := sort.Search(len(l.byClass[i]), func(k int) bool { return before(r, l.byClass[i][k]) })
	l.byClass[i] = slices.Insert(l.byClass[i], at, r)
	l.waitingUnits += r.units
	r.queued = true
	s.waitingCount++
	s.markBusy(l)
}

// dispatch sends while the window has room: the class whose turn starts first in virtual
// time, charged by units. Exception: late requests wait for those in time.
func (s *Scheduler) dispatch(l *shardQueue) {
	for l.waitingUnits > 0 {
		var best *request
		var to *node
		for i, q := range l.byClass {
			for _, r := range q {
				late := r.band == bandLate
				if late && l.overloaded() || best != nil && (late && best.band != bandLate ||
					late == (best.band == bandLate) && l.nextStart[i] >= l.nextStart[best.class.index]) {
					break
				}
				if !s.ready(r) {
					continue
				}
				if n := s.route(l, r); n != nil {
					best, to = r, n
					break
				}
			}
		}
		if best == nil {
			return
		}
		i := best.class.index
		l.virtualTime = math.Max(l.virtualTime, l.nextStart[i])
		l.nextStart[i] = math.Max(l.nextStart[i], l.virtualTime) + best.units/best.class.weight
		s.dequeue(best)
		s.send(best, to)
	}
}

// sweep fills the windows and reviews what waits, at the shard queues that have work.
func (s *Scheduler) sweep() {
	for l := s.nextBusyQueue(math.MinInt); l != nil; l = s.nextBusyQueue(l.shard + 1) {
		s.checkInFlight(l)
		s.dispatch(l)
		s.shedLoad(l)
	}
	s.busyQueues = slices.DeleteFunc(s.busyQueues, (*shardQueue).updateBusy)
}

// overloaded says that the hosts ask too much of the shard queue's nodes: late work keeps off.
func (l *shardQueue) overloaded() bool {
	for _, n := range l.nodes {
		if n.window >= initialWindow && !n.silent {
			return false
		}
	}
	return len(l.nodes) > 0
}

// shedLoad refuses at once what has no use in waiting: the client may come back later.
func (s *Scheduler) shedLoad(l *shardQueue) {
	rate, base, next := s.serviceRate(l)
	up := slices.ContainsFunc(l.nodes, func(n *node) bool { return s.usable(n) && !n.silent })
	sum, heard := 0.0, math.Inf(-1)
	for _, n := range l.nodes {
		heard = math.Max(heard, n.latencyLearnedAt)
	}
	for i, q := range l.byClass {
		if len(q) > 0 {
			sum += s.classes[i].weight
		}
	}
	for i := range l.byClass {
		c := s.classes[i]
		mine := 0.0
		for _, r := range slices.Clone(l.byClass[i]) {
			mine += r.units
			r.waitedForAdmission = r.waitedForAdmission || !up || !s.ready(r)
			wait := math.Max(0, mine-r.units)*sum/c.weight/rate + next
			early := r.band != bandReserved && s.now+wait+base > r.objectiveAt
			late := r.band == bandLate && l.overloaded()
			spent := s.handedOver && r.volume.plan.RateLimit > 0 && !r.limitCharged && r.volume.limitTokens < r.units
			if early || late || spent || s.now >= r.objectiveAt || base > s.latencyLimit(r, heard) ||
				s.now+minLatencyShareLeft*base > r.objectiveAt || s.now+sweepIntervalMs > r.deadline { // its last review
				s.dequeue(r)
				mine -= r.units
				if r.openAttempts == 0 { // else its first attempt may still serve it
					s.rejectOrFail(r, wait)
				}
			}
		}
	}
}

// Window.

// recordLatency takes a latency into the window's signal: of served work, or the age of work
// that went unanswered; errors and refusals are quick without the node being so. An
// epoch ends by count, or by time where a host hears little of a node.
func (s *Scheduler) recordLatency(n *node, latency, units float64) {
	if s.resumedFromStall {
		return
	}
	s.learnLatency(n, latency)
	if n.epochAnswers == 0 {
		n.epochStartAt = s.now
	}
	n.epochLatency, n.epochUnits, n.epochAnswers = n.epochLatency+latency, n.epochUnits+units, n.epochAnswers+1
	enough := n.epochAnswers >= max(minEpochAnswers, int(n.window))
	if !enough && s.now-n.epochStartAt < maxEpochMs {
		return
	}
	ratio, mean := n.epochLatency/n.epochUnits, n.epochLatency/float64(n.epochAnswers)
	n.epochLatency, n.epochUnits, n.epochAnswers = 0, 0, 0
	if n.bestLatencyPerUnit == 0 {
		n.bestLatencyPerUnit = ratio
	}
	memory := bestLatencyRiseGain
	if ratio < n.bestLatencyPerUnit {
		memory = bestLatencyFallGain
	}
	n.bestLatencyPerUnit += (ratio - n.bestLatencyPerUnit) * memory
	switch {
	case mean > nodeLatencyShare*s.minObjective:
		s.narrow(n)
	case ratio > halveRatio*n.bestLatencyPerUnit && enough:
		n.window = math.Max(math.Min(minWindow, n.window), math.Floor(n.window/2))
	case n.window < minWindow:
		n.window = math.Min(minWindow, n.window*2)
	case ratio <= widenRatio*n.bestLatencyPerUnit && n.windowFilled:
		n.window = math.Min(maxWindow, n.window+1)
	}
	n.windowFilled, n.peakInFlight = false, len(n.inFlight)
}

// narrow halves what this host has out at a crowded node: from there a light user's
// window turns into a rate as well as a heavy one's.
func (s *Scheduler) narrow(n *node) {
	least := math.Min(minFleetWindow/s.schedulersPerNode, minWindow)
	n.window = math.Max(least, math.Min(n.window, float64(max(1, n.peakInFlight)))/2)
	n.peakInFlight = len(n.inFlight)
}

// sendGap is the time between sends with a window under one, bounded and spread.
func (s *Scheduler) sendGap(n *node) float64 {
	return math.Min(s.expectedLatency(n)*math.Max(0, 1/n.window-1), maxSendGapMs) * (0.5 + s.rng.Float64())
}

// Adaptation (4.2 of the source).

// sampleDelay takes a delay from arrival to answer; what went unserved counts at its age with
// the wait it was spared, or early refusals make a starved class look healthy. Demand
// beyond entitlement steers nothing, nor does a wait for a node to come or for a limit: no
// share shortens it. Harm: a shard without a node for long is no reason to borrow.
func (s *Scheduler) sampleDelay(r *request, spared float64) {
	if r.chargedBand != bandBurst && !r.isClientRetry && !r.waitedForAdmission { // a client's tries are one request
		r.class.sampleSum += math.Min(s.now-r.startedAt+spared, r.class.Deadline)
		r.class.sampleCount++
	}
}

func (s *Scheduler) tick() {
	s.emit(Action{Kind: SetTimer, Wait: tickIntervalMs, Tag: "tick"})
	s.pollList()
	s.evictIdle(idleEvictionMs)
	// In the mean, the part of the nodes that a host's reads name is that of hosts a node has.
	named, all := s.countReadShards(s.now - shardReadWindowMs)
	s.schedulersPerNode = math.Max(1, float64(s.settings.Schedulers)*named/math.Max(all, 1))
	if s.now < s.nextAdaptAt {
		return
	}
	if !s.adapt() {
		s.adaptInterval = ticksPerAdaptation * tickIntervalMs / 2
	}
	s.adaptInterval = math.Min(2*s.adaptInterval, maxAdaptIntervalMs)
	s.nextAdaptAt, s.stallSeen = s.now+s.adaptInterval-tickIntervalMs/2, false
}

// adapt lets the worst underweight class borrow from the overweight ones.
func (s *Scheduler) adapt() bool {
	var worst *class
	for _, c := range s.classes {
		if c.sampleCount > 0 {
			mean := c.sampleSum / c.sampleCount
			if c.delay == 0 {
				c.delay = mean
			}
			c.delay = alpha*c.delay + (1-alpha)*mean
		}
		c.sampleSum, c.sampleCount = 0, 0
		if c.slope == 0 && c.delay > 0 {
			c.slope = math.Max(c.delay/c.weight, minSlope)
		}
		dw, dd := math.Abs(c.weight-c.committedWeight), math.Abs(c.delay-c.committedDelay)
		if c.weightChanged && !s.stallSeen && dw > 1e-6 && dd > 1e-6 {
			c.slope = math.Max(dd/dw, minSlope)
		}
		c.weightChanged = false
		if c.delay >= (1+epsilon)*c.LatencyObjective && (worst == nil || c.delay/c.LatencyObjective > worst.delay/worst.LatencyObjective) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	surplus, total := make([]float64, len(s.classes)), 0.0
	for i, c := range s.classes {
		if c.delay > 0 && c.delay <= (1-epsilon)*c.LatencyObjective {
			surplus[i] = (c.LatencyObjective - c.delay) / c.slope
			total += surplus[i]
		}
	}
	need, got := (worst.delay-worst.LatencyObjective)/worst.slope, 0.0
	for i, c := range s.classes {
		if surplus[i] == 0 {
			continue
		}
		give := math.Min(need*surplus[i]/total, ((1-epsilon)*c.LatencyObjective-c.delay)/c.slope)
		give = math.Min(beta*give, c.weight-minClassWeight)
		if give > 0 {
			c.committedWeight, c.committedDelay, c.weightChanged = c.weight, c.delay, true
			c.weight -= give
			got += give
		}
	}
	if got == 0 {
		return false
	}
	worst.committedWeight, worst.committedDelay, worst.weightChanged = worst.weight, worst.delay, true
	worst.weight += got
	return true
}

// Entitlement.

func (s *Scheduler) volume(id string, plan *Plan, hosts int) *volume {
	v := s.volumes[volumeKey{id, plan.Name}]
	if v == nil {
		// A restarted host cannot know what it spent: the limit's store was empty at its first
		// request of all. Since then only this host has drawn on its part, and not for this volume.
		v = &volume{plan: plan, refilledAt: s.now}
		if !s.handedOver {
			v.limitTokens = s.unusedLimitTokens(plan) / float64(max(hosts, 1))
		}
		s.volumes[volumeKey{id, plan.Name}] = v
		s.volumeOrder = append(s.volumeOrder, v)
		v.schedulers = max(hosts, 1)
		v.reservedTokens = (plan.ReservedRate + s.settings.MaxUnits) / float64(v.schedulers)
	}
	v.schedulers = max(hosts, 1)
	return v
}

func (s *Scheduler) refill(v *volume) {
	gone := s.now - v.refilledAt
	v.refilledAt = s.now
	part := 1 / float64(v.schedulers)
	v.reservedTokens = math.Min(v.reservedTokens+v.plan.ReservedRate*part*gone/1000, v.plan.ReservedRate*part+s.settings.MaxUnits)
	if !s.handedOver {
		v.limitTokens = math.Min(v.limitTokens+v.plan.RateLimit*part*gone/1000, v.plan.LimitBurst*part)
	}
	v.usageLevel *= math.Exp(-gone / usageWindowMs)
}

// chargeQuota ranks a request on arrival, as worth is due by second of arrival.
func (s *Scheduler) chargeQuota(r *request) {
	v := r.volume
	s.refill(v)
	if v.reservedTokens >= r.units {
		v.reservedTokens -= r.units
		r.band, r.chargedBand = bandReserved, bandReserved
		return
	}
	sum, n := 0.0, 1e-9
	for _, o := range s.volumeOrder {
		if o.usageLevel > 0 && s.now-o.refilledAt < usageWindowMs {
			sum, n = sum+o.usageLevel/o.fairWeight(), n+1
		}
	}
	r.band, r.usageLevel = bandBurst, v.usageLevel/v.fairWeight()
	if r.usageLevel <= maxFairUsageRatio*sum/n || v.usageLevel < r.units {
		v.usageLevel += r.units
		r.band = bandFairShare
	}
	r.chargedBand = r.band
}

// fairWeight is the volume's weight at this host.
func (v *volume) fairWeight() float64 { return math.Max(v.plan.Weight, 1e-9) / float64(v.schedulers) }

// refund gives back what a request that was not served had been charged.
func (s *Scheduler) refund(r *request) {
	switch r.chargedBand {
	case bandReserved:
		r.volume.reservedTokens += r.units
	case bandFairShare:
		r.volume.usageLevel = math.Max(0, r.volume.usageLevel-r.units)
	}
}

// Node health and cold starts.

// checkInFlight notes silence, stalls and lost attempts by what is out and for how long. One that
// many later ones overtook is lost (a dropped message, a stuck worker): it gives its place
// back, is no word on the node's speed, and goes again where its class allows. Harm: very
// large work at a node that serves out of turn, hence the age as well.
func (s *Scheduler) checkInFlight(l *shardQueue) {
	for _, n := range l.nodes {
		for len(n.inFlight) > 0 {
			r := n.inFlight[0]
			age := s.now - r.lastAt()
			usual := s.expectedLatency(n) * math.Max(1, r.units/s.settings.MeanUnits)
			if n.overtakenBy(r) < minOvertakingAnswers || age < math.Max(minLostAgeMs, lostLatencyMultiple*usual) {
				break
			}
			s.writeOffOldest(n)
		}
		if len(n.inFlight) == 0 {
			continue
		}
		for _, r := range n.inFlight {
			age := s.now - r.lastAt()
			stuck := s.now >= r.objectiveAt && age > stuckLatencyMultiple*s.poolLatency && !r.attemptCancelled
			if stuck && s.settings.MayCancel && !r.done && !r.streaming {
				r.attemptCancelled = true
				s.recordLatency(n, age, r.units)
				s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
			}
		}
		quiet := s.now - max(n.lastHeardAt, n.inFlight[0].lastAt(), s.lastStallEndAt)
		s.stallSeen = s.stallSeen || quiet > minNodeStallMs
		if quiet > math.Max(minSilenceMs, silenceLatencyMultiple*s.expectedLatency(n)) {
			if !n.silent {
				s.logText(fmt.Sprintf("node %s silent for %.0f ms: trickle", n.ID, quiet))
				n.silentSince = s.now - quiet
			}
			n.silent, n.window = true, math.Min(minWindow, n.window)
			for len(n.inFlight) > 0 { // or they would hold the trickle until their clients leave
				s.writeOffOldest(n)
			}
		}
	}
}

// writeOffOldest writes off the oldest attempt out at a node. Where copies are allowed another goes out
// beside it, as an answer to either serves: a connection may have fallen silent, and its time
// limit is past any aim. The copy is bound as if the first had run. Harm: large work twice.
func (s *Scheduler) writeOffOldest(n *node) {
	r := n.inFlight[0]
	n.inFlight, n.inFlightUnits, r.attemptLost = n.inFlight[1:], n.inFlightUnits-r.units, true
	r.attempts[len(r.attempts)-1].lost = true
	if s.settings.MayHedge && !r.done && !r.streaming && !r.attemptCancelled && !r.queued {
		if r.mayHaveRunOn == nil {
			r.mayHaveRunOn, r.mayHaveRunSince = n, r.lastAt()
		}
		if s.mayRetry(r) {
			s.enqueue(r)
			return
		}
	}
	if r.class.Effect == Idempotent && s.settings.MayCancel && !r.done && !r.streaming {
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
	}
}

// hasCapacity says whether the window takes another request: a trickle while it is silent. What is
// due to a volume keeps the design's least window: narrowed windows and their rests ration
// what may be more than the node can do, and reserves are not. Else one slow answer holds
// them at an idle node till they are late. Harm: reserves that add up to more than a node.
func (n *node) hasCapacity(now float64, band int) bool {
	if band == bandReserved && !n.silent && n.backoff == 0 {
		return len(n.inFlight) < max(int(n.window), minWindow)
	}
	if n.silent || n.window < 1 {
		return len(n.inFlight) == 0 && now >= n.nextSendAt
	}
	return len(n.inFlight) < int(n.window) && now >= n.nextSendAt
}

// slowStartAllows keeps nodes in slow start under what they bear from all hosts, none of which knows what
// another sends. For each OverloadWindow a host draws its part of what all cold nodes bear, rounded by chance; what
// is left is lost, or an idle fleet would send all it saved at once. A node gets its own part of it, or
// one request in turn. An answer in good time and a part of the answers let more go, bounded by what the
// node serves. Harm: too much goes to one of many cold nodes if all hosts ask for it at once.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if s.now-n.startedAt > s.settings.SlowStartDuration || s.mayFollowAnswer(n) {
		return true
	}
	if s.now >= s.slowStartDueAt {
		s.drawSlowStartAllowance(units)
	}
	sent, served := sumUnitsSince(&n.recentSent, s.now-s.settings.OverloadWindow), sumUnitsSince(&n.recentServed, s.now-s.settings.OverloadWindow)
	shown, part := slowStartOverloadShare*s.settings.OverloadMultiple*served, s.slowStartShare(n)
	slot := s.settings.OverloadWindow * units * s.schedulersPerNode / s.slowStartCapacity(n, (n.slotStartAt+s.now)/2) * (1 - part/s.slowStartQuota)
	return sent+units <= shown || units <= s.slowStartLeft &&
		(sent == 0 && s.now-n.slotStartAt >= n.slotFactor*slot || sent+units <= part+shown)
}

// mayFollowAnswer says that a request may go to a cold node by its last answer alone.
func (s *Scheduler) mayFollowAnswer(n *node) bool {
	return n.lastAnswerTimely && len(n.inFlight) == 0 && s.now-n.lastHeardAt < s.settings.OverloadWindow
}

// drawSlowStartAllowance draws the allowance, the first one late where it is below a request: hosts would begin at once.
func (s *Scheduler) drawSlowStartAllowance(units float64) {
	s.slowStartQuota = s.totalSlowStartShare()
	s.slowStartDueAt += s.slowStartFirstDelay * math.Max(0, 1-s.slowStartQuota/s.settings.MeanUnits) / 2
	if s.slowStartFirstDelay, s.slowStartLeft = 0, 0; s.now >= s.slowStartDueAt {
		s.slowStartDueAt, s.slowStartLeft = s.now+s.settings.OverloadWindow, units*math.Floor(s.slowStartQuota/units+s.rng.Float64())
	}
}

// slowStartShare is this host's part of what a cold node bears within OverloadWindow: of all hosts if its reads of the
// shard began within that span, else of its like, as far as known, or of what the shard answered it.
func (s *Scheduler) slowStartShare(n *node) float64 {
	bears, mean, hosts := s.slowStartCapacity(n, s.now), s.settings.MeanUnits, float64(s.settings.Schedulers)
	slack := math.Sqrt(bears * mean)
	if hosts < smallFleet {
		slack = smallFleetSlackFactor * (slack + mean)
	}
	part := math.Max(newShardFleetShare*bears/hosts, math.Min((newShardFleetShare*bears+slack)/hosts, mean))
	l := s.queueByShard[n.Shard]
	if l == nil || s.now-l.readingSince < s.settings.OverloadWindow || s.now-l.lastReadAt > shardReadWindowMs {
		return part
	}
	part = math.Max(part, bears/math.Max(s.schedulersPerNode, hosts/popularShardDivisor))
	return math.Max(part, answeredGrowthFactor*s.warmShare(n, s.now)*l.recentAnsweredUnits(s.now)*s.settings.OverloadWindow/shardReadWindowMs)
}

func (s *Scheduler) beginSlowStart(n *node, at float64) {
	n.startedAt, n.window, n.lastAnswerTimely = at, math.Min(minWindow, n.window), false
	n.slotStartAt, n.slotFactor = math.Max(at, s.now), s.rng.Float64()
	n.epochLatency, n.epochUnits, n.epochAnswers = 0, 0, 0
	if s.now >= s.slowStartDueAt {
		s.slowStartDueAt, s.slowStartFirstDelay = s.now, s.rng.Float64()*s.settings.OverloadWindow
	}
}

// backOffNode rests a node that took no work, a little longer each time.
func (s *Scheduler) backOffNode(n *node) {
	n.backoff = math.Min(math.Max(2*n.backoff, minBackoffMs), maxBackoffMs)
	n.nextSendAt, n.window = s.now+n.backoff*(0.5+s.rng.Float64()), math.Min(minWindow, n.window)
}

// serviceRate is the shard queue's units per millisecond, usual latency, and time to the next free place.
func (s *Scheduler) serviceRate(l *shardQueue) (rate, usual, next float64) {
	next = math.Inf(1)
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		rate += n.window * s.settings.MeanUnits / s.expectedLatency(n)
		usual = math.Max(usual, s.expectedLatency(n))
		if n.window < 1 && len(n.inFlight) == 0 {
			next = math.Min(next, math.Max(0, n.nextSendAt-s.now))
		} else {
			next = math.Min(next, s.expectedLatency(n)/n.window)
		}
	}
	return math.Max(rate, 1e-6), usual, math.Min(next, 1e6)
}

// placeNewObject picks the shard queue for a new object by chance, the odds falling with the third power
// of the expected wait, off silent, failing and too cold nodes: the least wait alone
// brings all hosts that know little to one node. Harm: a lone host meets a longer line.
func (s *Scheduler) placeNewObject(r *request) *shardQueue {
	odds, sum := make([]float64, len(s.shardQueues)), 0.0
	for i, l := range s.shardQueues {
		for _, n := range l.nodes {
			if n.State != NodeUp {
				continue
			}
			wait := (n.inFlightUnits + l.waitingUnits + r.units) / (n.window * s.settings.MeanUnits) * s.expectedLatency(n)
			if n.silent || n.failureRate > highFailureRate || s.now < n.nextSendAt || !s.slowStartAllows(n, r.units) {
				wait += r.class.Deadline
			}
			odds[i] += 1 / (wait * wait * wait)
		}
		sum += odds[i]
	}
	at := s.rng.Float64() * sum
	for i, o := range odds {
		if at -= o; at < 0 && o > 0 {
			return s.shardQueues[i]
		}
	}
	return s.shardQueue(-1)
}

// learnLatency takes a latency into the node's usual and the pool's; the older those, the more.
func (s *Scheduler) learnLatency(n *node, latency float64) {
	part := func(at float64) float64 { return math.Max(minLatencyGain, 1-math.Exp((at-s.now)/latencyFreshMs)) }
	n.typicalLatency = s.expectedLatency(n) + part(n.latencyLearnedAt)*(latency-s.expectedLatency(n))
	s.poolLatency += part(s.poolLatencyAt) * (latency - s.poolLatency)
	n.latencyLearnedAt, s.poolLatencyAt = s.now, s.now
}

// expectedLatency is a node's latency as far as known: what it showed, healing with age towards
// that of all the nodes this host hears from, and that towards nothing.
func (s *Scheduler) expectedLatency(n *node) float64 {
	pool := s.poolLatency * math.Exp((s.poolLatencyAt-s.now)/latencyDecayMs)
	return math.Max(pool+(n.typicalLatency-pool)*math.Exp((n.latencyLearnedAt-s.now)/latencyDecayMs), 1)
}

// Attempts.

// ready says whether the rules let a request go out now.
func (s *Scheduler) ready(r *request) bool {
	if r.class.Ordered && r.key != "" {
		t := s.orderedKeys[r.key]
		if t.waiting[0] != r || s.now < t.backoffUntil {
			return false
		}
	}
	if r.volume.plan.RateLimit > 0 && !r.limitCharged {
		s.refill(r.volume)
		if r.volume.limitTokens < r.units {
			return false
		}
	}
	return len(r.attempts) == 0 || s.mayRetry(r)
}

// mayRetry says whether a further attempt is allowed: count, effect and budget.
func (s *Scheduler) mayRetry(r *request) bool {
	if copied := r.openAttempts == 1 && r.attemptLost && s.settings.MayHedge; r.openAttempts > 0 && !copied {
		return false
	}
	if len(r.attempts) >= min(r.maxAttempts, s.settings.MaxAttempts) || r.class.Effect == NonIdempotent && r.mayHaveRunOn != nil {
		return false
	}
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil && s.now >= r.mayHaveRunSince+r.class.DedupWindow {
		return false
	}
	if s.settings.RetryBudgetWindow <= 0 {
		return true
	}
	for len(s.retryTimes) > 0 && s.retryTimes[0] < s.now-s.settings.RetryBudgetWindow {
		s.retryTimes = s.retryTimes[1:]
	}
	for len(s.arrivalTimes) > 0 && s.arrivalTimes[0] <= s.now-s.settings.RetryBudgetWindow {
		s.arrivalTimes = s.arrivalTimes[1:]
	}
	return float64(len(s.retryTimes)+1) <= s.settings.RetryBudgetMin+s.settings.RetryBudgetShare*float64(len(s.arrivalTimes))
}

// route picks the shard queue's node that may take the request now.
func (s *Scheduler) route(l *shardQueue, r *request) *node {
	var best *node
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		if !n.hasCapacity(s.now, r.band) {
			n.windowFilled = true
			continue
		}
		if k := r.mayHaveRunOn; k != nil && r.class.Effect == IdempotentByKey {
			group := r.class.DedupScope
			if group == DedupZone && k.Zone != n.Zone || group == DedupShard && k.Shard != n.Shard {
				continue
			}
		}
		if s.now+minLatencyShareLeft*s.expectedLatency(n) > r.objectiveAt || s.expectedLatency(n) > s.latencyLimit(r, n.latencyLearnedAt) {
			continue
		}
		if s.slowStartAllows(n, r.units) && (best == nil || n.inFlightUnits < best.inFlightUnits) {
			best = n
		}
	}
	return best
}

// latencyLimit is the latency at which a request leaves a node to others: its band's, in step
// with its class's weight and worth, as short queues order nothing between hosts. Of a node
// unheard of for long only the pool's is known: what a surge adds shows when its queue is long.
// So the room there is the smaller. Harm: a fleet at its capacity refuses a little more.
func (s *Scheduler) latencyLimit(r *request, heard float64) float64 {
	step := r.class.weight * float64(len(s.classes)) * math.Sqrt(r.class.PriorityWeight/math.Max(s.meanPriorityWeight, 1e-9))
	step = math.Min(math.Max(step, 1/maxClassFactor), maxClassFactor)
	room := bandLatencyLimit[r.band] * s.minObjective * step
	if r.band == bandReserved {
		return room
	}
	return room + math.Min(0, staleNodeLatencyShare*r.class.LatencyObjective-room)*(1-math.Exp((heard-s.now)/staleLatencyMs))
}

func (s *Scheduler) send(r *request, n *node) {
	if len(r.attempts) > 0 && s.settings.RetryBudgetWindow > 0 {
		s.retryTimes = append(s.retryTimes, s.now)
	}
	if !r.limitCharged {
		r.limitCharged = true
		r.volume.limitTokens -= r.units
	}
	by := 0.0 // a repeat may wait for a connection, and nodes know a key for so long
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil {
		by = r.mayHaveRunSince + r.class.DedupWindow
	}
	s.addOut(r, n)
	s.emit(Action{Kind: Send, ID: r.id, Node: n.ID, Deadline: r.deadline, StartBy: by})
}

// attemptEnded takes the end of an attempt: what it says of the node, and what the
// request may still do.
func (s *Scheduler) attemptEnded(ev *Event) {
	r := s.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	t := &r.attempts[ev.Attempt]
	t.open = false
	r.openAttempts--
	n := t.node
	if !t.lost {
		n.removeOut(r)
	}
	n.nextSendAt = math.Max(n.nextSendAt, s.now+s.sendGap(n))
	s.learnFromOutcome(n, r, t, ev)
	if slices.Contains([]Status{Errored, TimedOut, ConnectionReset, Cancelled}, ev.Status) {
		r.mayHaveRunOn = n
		if r.mayHaveRunSince == 0 {
			r.mayHaveRunSince = t.sentAt
		}
		if k := s.orderedKeys[r.key]; k != nil && r.class.Ordered && ev.Status != Errored {
			k.backoffUntil = math.Max(k.backoffUntil, s.now+s.settings.OrderedKeyBackoff)
		}
	}
	if ev.Finished && !r.done {
		if ev.Status != OK {
			s.refund(r)
			s.rememberUnserved(r)
		}
		r.isClientRetry = r.isClientRetry && ev.Status != OK // served: its whole age counts
		s.sampleDelay(r, 0)
	}
	if r.done || ev.Finished {
		s.finish(r)
		return
	}
	switch {
	case r.openAttempts > 0 || r.queued: // a copy is out or waits
	case !r.attemptCancelled && !r.streaming && s.now+math.Max(s.expectedLatency(n), deadlineMarginMs) < r.deadline && s.mayRetry(r):
		s.enqueue(r) // it can meet its end, and the rules allow it
	default:
		s.rejectOrFail(r, 0)
	}
}

// learnFromOutcome takes what an outcome says of the node's health.
func (s *Scheduler) learnFromOutcome(n *node, r *request, t *attempt, ev *Event) {
	bad := 0.0
	switch ev.Status {
	case OK:
		if n.silent && s.now-n.silentSince > restartSuspectMs ||
			ev.Latency > restartSuspectMs && s.now-n.lastHeardAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
		n.silent = false
		n.lastHeardAt, n.backoff, n.lastAnswerTimely = s.now, 0, ev.Latency < nodeLatencyShare*s.minObjective
		if !t.lost { // it told of its own fate, not of the node's
			s.recordLatency(n, ev.Latency, r.units)
		}
		s.recordServed(n, r)
	case Errored:
		bad, n.lastHeardAt, n.silent = 1, s.now, false
	case NodeFull:
		n.lastHeardAt = s.now
		s.narrow(n)
		s.backOffNode(n)
		return
	case ConnectFailed:
		bad = 1
		s.backOffNode(n)
		if s.now-n.lastHeardAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
	case TimedOut, ConnectionReset:
		bad = 1
		if t.lost {
			return
		}
		s.recordLatency(n, ev.Latency, r.units)
	default:
		return
	}
	n.failureRate += failureRateGain * (bad - n.failureRate)
}

// rejectOrFail answers for a request: refused if it never ran or may run again anywhere, else failed.
func (s *Scheduler) rejectOrFail(r *request, wait float64) {
	s.sampleDelay(r, math.Max(wait, rejectedDelayObjectives*r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	s.rememberUnserved(r)
	if r.mayHaveRunOn == nil || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll {
		hold := 0.0
		if s.settings.SendsRetryAfter {
			hold = math.Min(math.Max(wait, sweepIntervalMs), s.settings.MaxRetryAfter)
		}
		s.emit(Action{Kind: Reject, ID: r.id, Wait: hold})
	} else {
		s.emit(Action{Kind: Fail, ID: r.id})
	}
	s.finish(r)
}

// List.

// applyList takes the list's word: a node in no full list is gone, one that starts anew is cold.
func (s *Scheduler) applyList(ev *Event) {
	if ev.Kind == ListFailed {
		s.subscribed, s.pollBackoff = false, math.Min(2*s.pollBackoff, maxPollBackoffMs)
		s.nextPollAt = s.now + s.pollBackoff*(0.5+s.rng.Float64())
		return
	}
	stood := s.subscribed // else the list's word may be old, and the grace over
	if ev.Kind == CachedListLoaded {
		s.emit(Action{Kind: SetTimer, Wait: tickIntervalMs, Tag: "tick"})
	} else {
		s.subscribed, s.pollBackoff = true, minPollBackoffMs
	}
	seen := map[string]bool{}
	for _, e := range ev.Nodes {
		seen[e.ID] = true
		s.applyListEntry(e, stood)
	}
	for _, n := range s.listedNodes {
		if ev.Kind != ListChanged && !seen[n.ID] {
			n.State = NodeRemoved
		}
	}
	s.rebuildQueues()
	for _, r := range s.unplacedRequests() {
		s.dequeue(r)
		r.queue = s.placeNewObject(r)
		s.enqueue(r)
	}
	s.pollList()
}

func (s *Scheduler) applyListEntry(e Node, stood bool) {
	n := s.nodeByID[e.ID]
	if n == nil {
		n = &node{window: initialWindow, startedAt: math.Inf(-1), latencyLearnedAt: math.Inf(-1), lastHeardAt: s.now}
		n.Node, n.drainingSince = e, math.Inf(-1)
		s.addNode(n)
		if e.StartTime > 0 {
			s.beginSlowStart(n, e.StartTime)
		}
	} else if e.StartTime > n.StartTime {
		s.beginSlowStart(n, math.Max(e.StartTime, n.startedAt))
		n.silent, n.nextSendAt, n.backoff, n.failureRate = false, 0, 0, 0
	}
	if stood && n.State == NodeUp && e.State == NodeDraining {
		n.drainingSince = s.now
	}
	n.Node = e
}

// DrainingUseDuration is how long a node that drains is used after the word of a watch that stands: the one that
// follows is listed seconds later, and nobody else has its shard. Short graces leave no time for it.
func (s Settings) DrainingUseDuration() float64 {
	return math.Max(0, math.Min(drainingUseShare*s.DrainGrace, s.DrainGrace-drainingReserveMs))
}

// usable says that a node is up, or drains since so little that it may be used and has taken all since.
// Harm: a node that ends faster than its grace cuts off what was sent last.
func (s *Scheduler) usable(n *node) bool {
	return n.State == NodeUp ||
		n.State == NodeDraining && n.backoff == 0 && s.now-n.drainingSince < s.settings.DrainingUseDuration()
}

// pollList subscribes to the list, again after a failure, well before we would be deemed told.
func (s *Scheduler) pollList() {
	if s.settings.PollsEndpointList && !s.subscribed && s.now >= s.nextPollAt {
		s.nextPollAt = s.now + math.Max(maxPollBackoffMs, s.settings.PollWithin/4*(1+s.rng.Float64()))
		s.emit(Action{Kind: Subscribe})
	}
}
