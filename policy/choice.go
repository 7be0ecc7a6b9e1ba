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
	tickSpan    = 500.0  // adaptation tick: a few answers of each class per host
	adaptTicks  = 2      // ticks between adaptations: enough samples to mean something
	settleMost  = 4000.0 // longest adaptation interval after a commit: loads shift within it
	alpha       = 0.5    // weight of the past in a class's delay
	beta        = 0.8    // share of a donation that is committed
	epsilon     = 0.1    // band around the aim in which a class is balanced
	slopeFloor  = 1.0    // least slope: delay that does not move with share is not free
	refusedAims = 2.0    // what is refused counts at this many aims at least: it was not served
	weightFloor = 0.05   // least share: a class must keep a sample flow

	windowStart = 4.0    // the design's start
	windowLeast = 2.0    // one served and one on its way
	windowMost  = 32.0   // the design's ceiling
	windowFleet = 4.0    // crowded: all hosts together keep this; below one, a host rests between its sends
	roomShare   = 0.5    // a node's latency may take this part of the tightest aim; the rest is for waiting
	roomBlind   = 0.3    // of its aim: the latency at a node unheard of at which a request leaves it
	blindSpan   = 10e3   // a node not heard of for this long counts as such: past any pause of its own
	epochSpan   = 1000.0 // ... and a lone answer after this long ends an epoch: sparse hosts must act too
	sendGapMost = 1000.0 // longest rest between sends: past a node's own changes
	windowEpoch = 6      // least answers between window steps: single sizes are noise
	leastShare  = 0.6    // not sent with less than this of the usual latency left to its aim
	stepMost    = 2.0    // a class's weight moves its bands' rooms by this factor at most
	nearBest    = 1.5    // latency per unit within this of the best widens: sizes alone scatter as much
	farBest     = 2.0    // past this multiple of the best the window halves
	bestFall    = 0.3    // how fast the best follows a lower figure ...
	bestRise    = 0.02   // ... and a higher one: slow, or load would pass for the norm

	sweepSpan     = 10.0   // how often waiting requests are reviewed: well inside any aim
	heartbeatSpan = 100.0  // a timer that tells this host's own stalls ...
	heartbeatLate = 100.0  // ... past due by this: more than a busy step takes
	drainShare    = 0.5    // a node that drains is used for this part of the grace ...
	drainRest     = 500.0  // ... less what is kept for delays: of the list's word, of a host's stall
	forgetSpan    = 60e3   // a volume or key not seen for this long is forgotten: past any deadline and rest
	lastMargin    = 4.0    // a waiting request is answered this long before its client leaves
	usageSpan     = 1000.0 // memory of a volume's use: entitlement is counted by the second
	repeatLast    = 1e9    // level that puts clients' further tries after first ones
	shareBound    = 2.0    // use past this multiple of the mean asker's is spare
	silentLeast   = 1200.0 // no answer for this long, with work out: silent; past any usual pause
	silentTimes   = 6.0    // ... or for this multiple of the usual latency, if longer
	stallSpan     = 300.0  // ... and this long: stalled, no slope is refitted across it
	lostAfter     = 3.0    // answers to later attempts that make one lost: past most slots' scatter
	lostTimes     = 4.0    // ... once it is out for this multiple of the usual latency ...
	lostLeast     = 50.0   // ... and for this long: small figures scatter more
	stuckTimes    = 2.0    // past its aim and out for this multiple of the pool's latency: called off
	backoffFirst  = 50.0   // rest after a node proved not to take work ...
	backoffMost   = 500.0  // ... doubling to this, so that its return is soon seen
	errorHigh     = 0.15   // failing share past which new objects go elsewhere
	healSpan      = 2e3    // what a node showed fades to the pool's figure over this: troubles pass
	freshSpan     = 2e3    // ... and a latency this old yields most of its weight to a new one
	usualMemory   = 0.1    // weight of one answer in a node's usual latency: some ten answers
	errorMemory   = 0.1    // weight of one outcome in the failing share
	coldShare     = 0.5    // share of the tipping multiple used over what a cold node has shown
	coldLeast     = 0.1    // ... growing to a tenfold at most as it warms
	namedSpan     = 20e3   // a shard that no read named for this long is not this host's work
	coldFirst     = 0.75   // of what a cold node bears: allowed to all hosts, if new to its shard
	coldFew       = 30     // fewer hosts than this may have ...
	coldFewMore   = 2.5    // ... this much more of the slack for chance
	coldKnown     = 2.0    // of what the shard answered a host: allowed by its node's present capacity
	coldPopular   = 1.5    // at least this part of all hosts is taken to read a shard: some do, of some
	coldSuspect   = 3000.0 // a node back from this much silence may have restarted
	logSpan       = 1000.0 // a log line a second at most
	askFirst      = 300.0  // first wait before asking the list again, doubling ...
	askMost       = 4000.0 // ... to this: well inside any ask-within
)

// Bands order the requests of one class queue by what a unit still earns.
const (
	bandReserve = iota
	bandShare
	bandSpare
	bandLate
)

// bandRoom is the latency of a node, in tightest aims, at which a band leaves it to the
// reserves of hosts unseen. Harm: one slow answer sends work off until the figure heals.
var bandRoom = [...]float64{bandReserve: 1e9, bandShare: 0.65, bandSpare: 0.35, bandLate: 0.3}

// New checks the settings and makes an instance.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	s := newState(set, seed)
	s.poolAt, s.nodeHosts = math.Inf(-1), float64(set.Schedulers)
	s.askGap, s.settle = askFirst, adaptTicks*tickSpan
	for _, c := range s.classes {
		c.weight = 1 / float64(len(s.classes)) // shares start equal
		s.meanWorth += c.PriorityWeight / float64(len(s.classes))
	}
	return s, nil
}

// Intake.

// Step takes the time and the events that came at it, and appends actions.
func (s *Scheduler) Step(now float64, events []Event, actions []Action) []Action {
	if math.IsNaN(s.now) {
		// Hosts that start together would else move their weights in step, and overshoot.
		s.now, s.due, s.logged, s.asked, s.resumedAt = now, now+s.settle*(0.5+s.rng.Float64()), now, now, now
		s.heartbeat = now + heartbeatSpan
		actions = append(actions, Action{Kind: SetTimer, Wait: heartbeatSpan, Tag: "beat"})
	}
	s.now, s.out = math.Max(now, s.now), actions
	s.noteStall(events)
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case RequestArrived:
			s.arrive(&ev.Request)
		case AttemptEnded:
			s.outcome(ev)
		case ResponseStarted:
			if r := s.reqs[ev.ID]; r != nil {
				r.streaming = true
			}
		case ClientDisconnected:
			if r := s.reqs[ev.ID]; r != nil && !r.done {
				s.clientLeft(r)
			}
		case ListReceived, CachedListLoaded, ListChanged, ListFailed:
			s.takeList(ev)
		case TimerFired:
			switch ev.Tag {
			case "tick":
				s.tick()
			case "sweep":
				s.armed = false
			case "beat":
				s.heartbeat = s.now + heartbeatSpan
				s.emit(Action{Kind: SetTimer, Wait: heartbeatSpan, Tag: "beat"})
			}
		}
	}
	s.sweep()
	if s.waiting > 0 && !s.armed {
		s.armed = true
		s.emit(Action{Kind: SetTimer, Wait: sweepSpan, Tag: "sweep"})
	}
	return s.out
}

// noteStall notes a stall of this host itself, by a timer far past due: what comes now waited
// here, so its times are no samples, silence counts anew, and arrivals are as old as the
// time left says. It covers a clock that leaps. Harm: a late caller costs samples.
func (s *Scheduler) noteStall(events []Event) {
	if s.resumed = hasTimer(events, "beat") && s.now-s.heartbeat > heartbeatLate; s.resumed {
		s.log(fmt.Sprintf("stood still for %.0f ms", s.now-s.heartbeat))
		s.resumedAt = s.now
	}
}

// arrive takes a request; one of an unknown class or plan or with no time left is refused.
func (s *Scheduler) arrive(q *Request) {
	if s.reqs[q.ID] != nil {
		return
	}
	if s.firstAt = math.Min(s.firstAt, s.now); s.set.RetryBudgetWindow > 0 {
		s.takes = append(s.takes, s.now)
	}
	c, plan := s.classOf[q.Class], s.planOf[q.Plan]
	timely, sized := q.Deadline > s.now+lastMargin, q.Units > 0 && !math.IsInf(q.Units, 0)
	if c == nil || plan == nil || !timely || !sized {
		s.emit(Action{Kind: Reject, ID: q.ID})
		return
	}
	s.seq++
	r := &request{id: q.ID, class: c, key: q.Key, units: q.Units, notAfter: q.Deadline, seq: s.seq,
		fresh: q.Shard < 0, from: requestKey{q.Class, q.Volume, q.Key}, most: s.set.MaxAttempts}
	c.span = math.Min(math.Max(c.span, q.Deadline-s.now), c.Deadline)
	r.began = s.firstTry(q, c.span)
	r.repeat = r.began < s.now && !s.resumed
	r.aimAt = math.Min(r.began+c.LatencyObjective, q.Deadline-lastMargin)
	r.vol = s.volume(q.Volume, plan, q.Schedulers)
	if s.entitle(r); r.repeat {
		r.level += repeatLast
	}
	s.reqs[r.id] = r
	s.joinKey(r)
	if r.fresh {
		r.queue = s.placeNew(r)
	} else {
		r.queue = s.queueOf(q.Shard)
		if s.now-r.queue.asked > namedSpan {
			r.queue.first = s.now
		}
		r.queue.asked = s.now
	}
	s.enqueue(r)
}

// firstTry is the time of a client's first try. A further try is marked, or has the key of
// one that went unserved and ends no later; without that memory the time left tells the
// age. Harm: where none are marked, another client's request may pass for a repeat.
func (s *Scheduler) firstTry(q *Request, span float64) float64 {
	m, known := s.unserved[requestKey{q.Class, q.Volume, q.Key}]
	switch {
	case known && s.now-m.began < s.classOf[q.Class].Deadline && (q.ClientRetry || q.Deadline <= m.end+1):
		return m.began
	case q.ClientRetry || q.Key == "" || s.resumed:
		return math.Min(q.Deadline-span, s.now)
	}
	return s.now
}

// clientLeft takes a client's departure: work still out is called off, as a node may drop it.
// A class whose clients lose patience must not look healthy: it counts at the aim.
func (s *Scheduler) clientLeft(r *request) {
	s.sample(r, math.Max(0, r.class.LatencyObjective-(s.now-r.began)))
	s.refund(r)
	for i, t := range r.tries {
		if age := s.now - t.at; t.open && !r.lost && age > s.expected(t.node) {
			s.answered(t.node, age, r.units)
		}
		if t.open && s.set.MayCancel && !r.streaming {
			s.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
	s.noteUnserved(r)
	s.close(r)
}

// Class queues.

// before orders a class queue: by band, dearer plans, first tries, least use, arrival.
func before(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.vol.plan.Price, a.vol.plan.Price),
		cmp.Compare(a.level, b.level), cmp.Compare(a.seq, b.seq)) < 0
}

func (s *Scheduler) enqueue(r *request) {
	l, i := r.queue, r.class.ix
	if len(l.queues[i]) == 0 {
		l.finish[i] = math.Max(l.finish[i], l.virtual)
	}
	if s.now > r.aimAt { // late worth lasts to the client's end
		r.band, r.aimAt = bandLate, r.notAfter-lastMargin
	}
	at := sort.Search(len(l.queues[i]), func(k int) bool { return before(r, l.queues[i][k]) })
	l.queues[i] = slices.Insert(l.queues[i], at, r)
	l.units += r.units
	r.queued = true
	s.waiting++
	s.markBusy(l)
}

// dispatch sends while the window has room: the class whose turn starts first in virtual
// time, charged by units. Exception: late requests wait for those in time.
func (s *Scheduler) dispatch(l *shardQueue) {
	for l.units > 0 {
		var best *request
		var to *node
		for i, q := range l.queues {
			for _, r := range q {
				late := r.band == bandLate
				if late && l.crowded() || best != nil && (late && best.band != bandLate ||
					late == (best.band == bandLate) && l.finish[i] >= l.finish[best.class.ix]) {
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
		i := best.class.ix
		l.virtual = math.Max(l.virtual, l.finish[i])
		l.finish[i] = math.Max(l.finish[i], l.virtual) + best.units/best.class.weight
		s.dequeue(best)
		s.send(best, to)
	}
}

// sweep fills the windows and reviews what waits, at the shard queues that have work.
func (s *Scheduler) sweep() {
	for l := s.busyFrom(math.MinInt); l != nil; l = s.busyFrom(l.shard + 1) {
		s.checkOut(l)
		s.dispatch(l)
		s.shed(l)
	}
	s.busy = slices.DeleteFunc(s.busy, (*shardQueue).idle)
}

// crowded says that the hosts ask too much of the shard queue's nodes: late work keeps off.
func (l *shardQueue) crowded() bool {
	for _, n := range l.nodes {
		if n.window >= windowStart && !n.silent {
			return false
		}
	}
	return len(l.nodes) > 0
}

// shed refuses at once what has no use in waiting: the client may come back later.
func (s *Scheduler) shed(l *shardQueue) {
	rate, base, next := s.pace(l)
	up := slices.ContainsFunc(l.nodes, func(n *node) bool { return s.usable(n) && !n.silent })
	sum, heard := 0.0, math.Inf(-1)
	for _, n := range l.nodes {
		heard = math.Max(heard, n.latencyAt)
	}
	for i, q := range l.queues {
		if len(q) > 0 {
			sum += s.classes[i].weight
		}
	}
	for i := range l.queues {
		c := s.classes[i]
		mine := 0.0
		for _, r := range slices.Clone(l.queues[i]) {
			mine += r.units
			r.held = r.held || !up || !s.ready(r)
			wait := math.Max(0, mine-r.units)*sum/c.weight/rate + next
			early := r.band != bandReserve && s.now+wait+base > r.aimAt
			late := r.band == bandLate && l.crowded()
			spent := s.handed && r.vol.plan.RateLimit > 0 && !r.limitPaid && r.vol.limit < r.units
			if early || late || spent || s.now >= r.aimAt || base > s.roomFor(r, heard) ||
				s.now+leastShare*base > r.aimAt || s.now+sweepSpan > r.notAfter { // its last review
				s.dequeue(r)
				mine -= r.units
				if r.open == 0 { // else its first attempt may still serve it
					s.giveUp(r, wait)
				}
			}
		}
	}
}

// Window.

// answered takes a latency into the window's signal: of served work, or the age of work
// that went unanswered; errors and refusals are quick without the node being so. An
// epoch ends by count, or by time where a host hears little of a node.
func (s *Scheduler) answered(n *node, latency, units float64) {
	if s.resumed {
		return
	}
	s.noteLatency(n, latency)
	if n.count == 0 {
		n.epoch = s.now
	}
	n.latency, n.size, n.count = n.latency+latency, n.size+units, n.count+1
	enough := n.count >= max(windowEpoch, int(n.window))
	if !enough && s.now-n.epoch < epochSpan {
		return
	}
	ratio, mean := n.latency/n.size, n.latency/float64(n.count)
	n.latency, n.size, n.count = 0, 0, 0
	if n.best == 0 {
		n.best = ratio
	}
	memory := bestRise
	if ratio < n.best {
		memory = bestFall
	}
	n.best += (ratio - n.best) * memory
	switch {
	case mean > roomShare*s.tightest:
		s.narrow(n)
	case ratio > farBest*n.best && enough:
		n.window = math.Max(math.Min(windowLeast, n.window), math.Floor(n.window/2))
	case n.window < windowLeast:
		n.window = math.Min(windowLeast, n.window*2)
	case ratio <= nearBest*n.best && n.filled:
		n.window = math.Min(windowMost, n.window+1)
	}
	n.filled, n.peak = false, len(n.out)
}

// narrow halves what this host has out at a crowded node: from there a light user's
// window turns into a rate as well as a heavy one's.
func (s *Scheduler) narrow(n *node) {
	least := math.Min(windowFleet/s.nodeHosts, windowLeast)
	n.window = math.Max(least, math.Min(n.window, float64(max(1, n.peak)))/2)
	n.peak = len(n.out)
}

// sendGap is the time between sends with a window under one, bounded and spread.
func (s *Scheduler) sendGap(n *node) float64 {
	return math.Min(s.expected(n)*math.Max(0, 1/n.window-1), sendGapMost) * (0.5 + s.rng.Float64())
}

// Adaptation (4.2 of the source).

// sample takes a delay from arrival to answer; what went unserved counts at its age with
// the wait it was spared, or early refusals make a starved class look healthy. Demand
// beyond entitlement steers nothing, nor does a wait for a node to come or for a limit: no
// share shortens it. Harm: a shard without a node for long is no reason to borrow.
func (s *Scheduler) sample(r *request, spared float64) {
	if r.due != bandSpare && !r.repeat && !r.held { // a client's tries are one request
		r.class.sum += math.Min(s.now-r.began+spared, r.class.Deadline)
		r.class.count++
	}
}

func (s *Scheduler) tick() {
	s.emit(Action{Kind: SetTimer, Wait: tickSpan, Tag: "tick"})
	s.ask()
	s.forget(forgetSpan)
	// In the mean, the part of the nodes that a host's reads name is that of hosts a node has.
	named, all := s.namedShards(s.now - namedSpan)
	s.nodeHosts = math.Max(1, float64(s.set.Schedulers)*named/math.Max(all, 1))
	if s.now < s.due {
		return
	}
	if !s.adapt() {
		s.settle = adaptTicks * tickSpan / 2
	}
	s.settle = math.Min(2*s.settle, settleMost)
	s.due, s.stalled = s.now+s.settle-tickSpan/2, false
}

// adapt lets the worst underweight class borrow from the overweight ones.
func (s *Scheduler) adapt() bool {
	var worst *class
	for _, c := range s.classes {
		if c.count > 0 {
			mean := c.sum / c.count
			if c.delay == 0 {
				c.delay = mean
			}
			c.delay = alpha*c.delay + (1-alpha)*mean
		}
		c.sum, c.count = 0, 0
		if c.slope == 0 && c.delay > 0 {
			c.slope = math.Max(c.delay/c.weight, slopeFloor)
		}
		dw, dd := math.Abs(c.weight-c.oldW), math.Abs(c.delay-c.oldD)
		if c.changed && !s.stalled && dw > 1e-6 && dd > 1e-6 {
			c.slope = math.Max(dd/dw, slopeFloor)
		}
		c.changed = false
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
		give = math.Min(beta*give, c.weight-weightFloor)
		if give > 0 {
			c.oldW, c.oldD, c.changed = c.weight, c.delay, true
			c.weight -= give
			got += give
		}
	}
	if got == 0 {
		return false
	}
	worst.oldW, worst.oldD, worst.changed = worst.weight, worst.delay, true
	worst.weight += got
	return true
}

// Entitlement.

func (s *Scheduler) volume(id string, plan *Plan, hosts int) *volume {
	v := s.volumes[tenant{id, plan.Name}]
	if v == nil {
		// A restarted host cannot know what it spent: the limit's store was empty at its first
		// request of all. Since then only this host has drawn on its part, and not for this volume.
		v = &volume{plan: plan, at: s.now}
		if !s.handed {
			v.limit = s.unspent(plan) / float64(max(hosts, 1))
		}
		s.volumes[tenant{id, plan.Name}] = v
		s.known = append(s.known, v)
		v.hosts = max(hosts, 1)
		v.store = (plan.ReservedRate + s.set.MaxUnits) / float64(v.hosts)
	}
	v.hosts = max(hosts, 1)
	return v
}

func (s *Scheduler) refill(v *volume) {
	gone := s.now - v.at
	v.at = s.now
	part := 1 / float64(v.hosts)
	v.store = math.Min(v.store+v.plan.ReservedRate*part*gone/1000, v.plan.ReservedRate*part+s.set.MaxUnits)
	if !s.handed {
		v.limit = math.Min(v.limit+v.plan.RateLimit*part*gone/1000, v.plan.LimitBurst*part)
	}
	v.level *= math.Exp(-gone / usageSpan)
}

// entitle ranks a request on arrival, as worth is due by second of arrival.
func (s *Scheduler) entitle(r *request) {
	v := r.vol
	s.refill(v)
	if v.store >= r.units {
		v.store -= r.units
		r.band, r.due = bandReserve, bandReserve
		return
	}
	sum, n := 0.0, 1e-9
	for _, o := range s.known {
		if o.level > 0 && s.now-o.at < usageSpan {
			sum, n = sum+o.level/o.weight(), n+1
		}
	}
	r.band, r.level = bandSpare, v.level/v.weight()
	if r.level <= shareBound*sum/n || v.level < r.units {
		v.level += r.units
		r.band = bandShare
	}
	r.due = r.band
}

// weight is the volume's weight at this host.
func (v *volume) weight() float64 { return math.Max(v.plan.Weight, 1e-9) / float64(v.hosts) }

// refund gives back what a request that was not served had been charged.
func (s *Scheduler) refund(r *request) {
	switch r.due {
	case bandReserve:
		r.vol.store += r.units
	case bandShare:
		r.vol.level = math.Max(0, r.vol.level-r.units)
	}
}

// Node health and cold starts.

// checkOut notes silence, stalls and lost attempts by what is out and for how long. One that
// many later ones overtook is lost (a dropped message, a stuck worker): it gives its place
// back, is no word on the node's speed, and goes again where its class allows. Harm: very
// large work at a node that serves out of turn, hence the age as well.
func (s *Scheduler) checkOut(l *shardQueue) {
	for _, n := range l.nodes {
		for len(n.out) > 0 {
			r := n.out[0]
			age := s.now - r.lastAt()
			usual := s.expected(n) * math.Max(1, r.units/s.set.MeanUnits)
			if n.overtaken(r) < lostAfter || age < math.Max(lostLeast, lostTimes*usual) {
				break
			}
			s.writeOff(n)
		}
		if len(n.out) == 0 {
			continue
		}
		for _, r := range n.out {
			age := s.now - r.lastAt()
			stuck := s.now >= r.aimAt && age > stuckTimes*s.pool && !r.called
			if stuck && s.set.MayCancel && !r.done && !r.streaming {
				r.called = true
				s.answered(n, age, r.units)
				s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.tries) - 1})
			}
		}
		quiet := s.now - max(n.heard, n.out[0].lastAt(), s.resumedAt)
		s.stalled = s.stalled || quiet > stallSpan
		if quiet > math.Max(silentLeast, silentTimes*s.expected(n)) {
			if !n.silent {
				s.log(fmt.Sprintf("node %s silent for %.0f ms: trickle", n.ID, quiet))
				n.silentAt = s.now - quiet
			}
			n.silent, n.window = true, math.Min(windowLeast, n.window)
			for len(n.out) > 0 { // or they would hold the trickle until their clients leave
				s.writeOff(n)
			}
		}
	}
}

// writeOff writes off the oldest attempt out at a node. Where copies are allowed another goes out
// beside it, as an answer to either serves: a connection may have fallen silent, and its time
// limit is past any aim. The copy is bound as if the first had run. Harm: large work twice.
func (s *Scheduler) writeOff(n *node) {
	r := n.out[0]
	n.out, n.units, r.lost = n.out[1:], n.units-r.units, true
	r.tries[len(r.tries)-1].lost = true
	if s.set.MayHedge && !r.done && !r.streaming && !r.called && !r.queued {
		if r.mayRan == nil {
			r.mayRan, r.mayRanAt = n, r.lastAt()
		}
		if s.mayRetry(r) {
			s.enqueue(r)
			return
		}
	}
	if r.class.Effect == Idempotent && s.set.MayCancel && !r.done && !r.streaming {
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.tries) - 1})
	}
}

// room says whether the window takes another request: a trickle while it is silent. What is
// due to a volume keeps the design's least window: narrowed windows and their rests ration
// what may be more than the node can do, and reserves are not. Else one slow answer holds
// them at an idle node till they are late. Harm: reserves that add up to more than a node.
func (n *node) room(now float64, band int) bool {
	if band == bandReserve && !n.silent && n.backoff == 0 {
		return len(n.out) < max(int(n.window), windowLeast)
	}
	if n.silent || n.window < 1 {
		return len(n.out) == 0 && now >= n.notBefore
	}
	return len(n.out) < int(n.window) && now >= n.notBefore
}

// warmEnough keeps nodes in slow start under what they bear from all hosts, none of which knows what
// another sends. For each OverloadWindow a host draws its part of what all cold nodes bear, rounded by chance; what
// is left is lost, or an idle fleet would send all it saved at once. A node gets its own part of it, or
// one request in turn. An answer in good time and a part of the answers let more go, bounded by what the
// node serves. Harm: too much goes to one of many cold nodes if all hosts ask for it at once.
func (s *Scheduler) warmEnough(n *node, units float64) bool {
	if s.now-n.coldAt > s.set.SlowStartDuration || s.follows(n) {
		return true
	}
	if s.now >= s.coldDue {
		s.drawCold(units)
	}
	sent, served := sumSince(&n.sent, s.now-s.set.OverloadWindow), sumSince(&n.served, s.now-s.set.OverloadWindow)
	shown, part := coldShare*s.set.OverloadMultiple*served, s.coldPart(n)
	slot := s.set.OverloadWindow * units * s.nodeHosts / s.bears(n, (n.slotFrom+s.now)/2) * (1 - part/s.coldSum)
	return sent+units <= shown || units <= s.coldLeft &&
		(sent == 0 && s.now-n.slotFrom >= n.slotPart*slot || sent+units <= part+shown)
}

// follows says that a request may go to a cold node by its last answer alone.
func (s *Scheduler) follows(n *node) bool {
	return n.timely && len(n.out) == 0 && s.now-n.heard < s.set.OverloadWindow
}

// drawCold draws the allowance, the first one late where it is below a request: hosts would begin at once.
func (s *Scheduler) drawCold(units float64) {
	s.coldSum = s.coldParts()
	s.coldDue += s.coldWait * math.Max(0, 1-s.coldSum/s.set.MeanUnits) / 2
	if s.coldWait, s.coldLeft = 0, 0; s.now >= s.coldDue {
		s.coldDue, s.coldLeft = s.now+s.set.OverloadWindow, units*math.Floor(s.coldSum/units+s.rng.Float64())
	}
}

// coldPart is this host's part of what a cold node bears within OverloadWindow: of all hosts if its reads of the
// shard began within that span, else of its like, as far as known, or of what the shard answered it.
func (s *Scheduler) coldPart(n *node) float64 {
	bears, mean, hosts := s.bears(n, s.now), s.set.MeanUnits, float64(s.set.Schedulers)
	slack := math.Sqrt(bears * mean)
	if hosts < coldFew {
		slack = coldFewMore * (slack + mean)
	}
	part := math.Max(coldFirst*bears/hosts, math.Min((coldFirst*bears+slack)/hosts, mean))
	l := s.lanes[n.Shard]
	if l == nil || s.now-l.first < s.set.OverloadWindow || s.now-l.asked > namedSpan {
		return part
	}
	part = math.Max(part, bears/math.Max(s.nodeHosts, hosts/coldPopular))
	return math.Max(part, coldKnown*s.power(n, s.now)*l.answered(s.now)*s.set.OverloadWindow/namedSpan)
}

func (s *Scheduler) markCold(n *node, at float64) {
	n.coldAt, n.window, n.timely = at, math.Min(windowLeast, n.window), false
	n.slotFrom, n.slotPart = math.Max(at, s.now), s.rng.Float64()
	n.latency, n.size, n.count = 0, 0, 0
	if s.now >= s.coldDue {
		s.coldDue, s.coldWait = s.now, s.rng.Float64()*s.set.OverloadWindow
	}
}

// backOff rests a node that took no work, a little longer each time.
func (s *Scheduler) backOff(n *node) {
	n.backoff = math.Min(math.Max(2*n.backoff, backoffFirst), backoffMost)
	n.notBefore, n.window = s.now+n.backoff*(0.5+s.rng.Float64()), math.Min(windowLeast, n.window)
}

// pace is the shard queue's units per millisecond, usual latency, and time to the next free place.
func (s *Scheduler) pace(l *shardQueue) (rate, usual, next float64) {
	next = math.Inf(1)
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		rate += n.window * s.set.MeanUnits / s.expected(n)
		usual = math.Max(usual, s.expected(n))
		if n.window < 1 && len(n.out) == 0 {
			next = math.Min(next, math.Max(0, n.notBefore-s.now))
		} else {
			next = math.Min(next, s.expected(n)/n.window)
		}
	}
	return math.Max(rate, 1e-6), usual, math.Min(next, 1e6)
}

// placeNew picks the shard queue for a new object by chance, the odds falling with the third power
// of the expected wait, off silent, failing and too cold nodes: the least wait alone
// brings all hosts that know little to one node. Harm: a lone host meets a longer line.
func (s *Scheduler) placeNew(r *request) *shardQueue {
	odds, sum := make([]float64, len(s.order)), 0.0
	for i, l := range s.order {
		for _, n := range l.nodes {
			if n.State != NodeUp {
				continue
			}
			wait := (n.units + l.units + r.units) / (n.window * s.set.MeanUnits) * s.expected(n)
			if n.silent || n.failing > errorHigh || s.now < n.notBefore || !s.warmEnough(n, r.units) {
				wait += r.class.Deadline
			}
			odds[i] += 1 / (wait * wait * wait)
		}
		sum += odds[i]
	}
	at := s.rng.Float64() * sum
	for i, o := range odds {
		if at -= o; at < 0 && o > 0 {
			return s.order[i]
		}
	}
	return s.queueOf(-1)
}

// noteLatency takes a latency into the node's usual and the pool's; the older those, the more.
func (s *Scheduler) noteLatency(n *node, latency float64) {
	part := func(at float64) float64 { return math.Max(usualMemory, 1-math.Exp((at-s.now)/freshSpan)) }
	n.usual = s.expected(n) + part(n.latencyAt)*(latency-s.expected(n))
	s.pool += part(s.poolAt) * (latency - s.pool)
	n.latencyAt, s.poolAt = s.now, s.now
}

// expected is a node's latency as far as known: what it showed, healing with age towards
// that of all the nodes this host hears from, and that towards nothing.
func (s *Scheduler) expected(n *node) float64 {
	pool := s.pool * math.Exp((s.poolAt-s.now)/healSpan)
	return math.Max(pool+(n.usual-pool)*math.Exp((n.latencyAt-s.now)/healSpan), 1)
}

// Attempts.

// ready says whether the rules let a request go out now.
func (s *Scheduler) ready(r *request) bool {
	if r.class.Ordered && r.key != "" {
		t := s.keys[r.key]
		if t.line[0] != r || s.now < t.rest {
			return false
		}
	}
	if r.vol.plan.RateLimit > 0 && !r.limitPaid {
		s.refill(r.vol)
		if r.vol.limit < r.units {
			return false
		}
	}
	return len(r.tries) == 0 || s.mayRetry(r)
}

// mayRetry says whether a further attempt is allowed: count, effect and budget.
func (s *Scheduler) mayRetry(r *request) bool {
	if copied := r.open == 1 && r.lost && s.set.MayHedge; r.open > 0 && !copied {
		return false
	}
	if len(r.tries) >= min(r.most, s.set.MaxAttempts) || r.class.Effect == NonIdempotent && r.mayRan != nil {
		return false
	}
	if r.class.Effect == IdempotentByKey && r.mayRan != nil && s.now >= r.mayRanAt+r.class.DedupWindow {
		return false
	}
	if s.set.RetryBudgetWindow <= 0 {
		return true
	}
	for len(s.extras) > 0 && s.extras[0] < s.now-s.set.RetryBudgetWindow {
		s.extras = s.extras[1:]
	}
	for len(s.takes) > 0 && s.takes[0] <= s.now-s.set.RetryBudgetWindow {
		s.takes = s.takes[1:]
	}
	return float64(len(s.extras)+1) <= s.set.RetryBudgetMin+s.set.RetryBudgetShare*float64(len(s.takes))
}

// route picks the shard queue's node that may take the request now.
func (s *Scheduler) route(l *shardQueue, r *request) *node {
	var best *node
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		if !n.room(s.now, r.band) {
			n.filled = true
			continue
		}
		if k := r.mayRan; k != nil && r.class.Effect == IdempotentByKey {
			group := r.class.DedupScope
			if group == DedupZone && k.Zone != n.Zone || group == DedupShard && k.Shard != n.Shard {
				continue
			}
		}
		if s.now+leastShare*s.expected(n) > r.aimAt || s.expected(n) > s.roomFor(r, n.latencyAt) {
			continue
		}
		if s.warmEnough(n, r.units) && (best == nil || n.units < best.units) {
			best = n
		}
	}
	return best
}

// roomFor is the latency at which a request leaves a node to others: its band's, in step
// with its class's weight and worth, as short queues order nothing between hosts. Of a node
// unheard of for long only the pool's is known: what a surge adds shows when its queue is long.
// So the room there is the smaller. Harm: a fleet at its capacity refuses a little more.
func (s *Scheduler) roomFor(r *request, heard float64) float64 {
	step := r.class.weight * float64(len(s.classes)) * math.Sqrt(r.class.PriorityWeight/math.Max(s.meanWorth, 1e-9))
	step = math.Min(math.Max(step, 1/stepMost), stepMost)
	room := bandRoom[r.band] * s.tightest * step
	if r.band == bandReserve {
		return room
	}
	return room + math.Min(0, roomBlind*r.class.LatencyObjective-room)*(1-math.Exp((heard-s.now)/blindSpan))
}

func (s *Scheduler) send(r *request, n *node) {
	if len(r.tries) > 0 && s.set.RetryBudgetWindow > 0 {
		s.extras = append(s.extras, s.now)
	}
	if !r.limitPaid {
		r.limitPaid = true
		r.vol.limit -= r.units
	}
	by := 0.0 // a repeat may wait for a connection, and nodes know a key for so long
	if r.class.Effect == IdempotentByKey && r.mayRan != nil {
		by = r.mayRanAt + r.class.DedupWindow
	}
	s.addOut(r, n)
	s.emit(Action{Kind: Send, ID: r.id, Node: n.ID, Deadline: r.notAfter, StartBy: by})
}

// outcome takes the end of an attempt: what it says of the node, and what the
// request may still do.
func (s *Scheduler) outcome(ev *Event) {
	r := s.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].open {
		return
	}
	t := &r.tries[ev.Attempt]
	t.open = false
	r.open--
	n := t.node
	if !t.lost {
		n.removeOut(r)
	}
	n.notBefore = math.Max(n.notBefore, s.now+s.sendGap(n))
	s.learn(n, r, t, ev)
	if slices.Contains([]Status{Errored, TimedOut, ConnectionReset, Cancelled}, ev.Status) {
		r.mayRan = n
		if r.mayRanAt == 0 {
			r.mayRanAt = t.at
		}
		if k := s.keys[r.key]; k != nil && r.class.Ordered && ev.Status != Errored {
			k.rest = math.Max(k.rest, s.now+s.set.OrderedKeyBackoff)
		}
	}
	if ev.Finished && !r.done {
		if ev.Status != OK {
			s.refund(r)
			s.noteUnserved(r)
		}
		r.repeat = r.repeat && ev.Status != OK // served: its whole age counts
		s.sample(r, 0)
	}
	if r.done || ev.Finished {
		s.close(r)
		return
	}
	switch {
	case r.open > 0 || r.queued: // a copy is out or waits
	case !r.called && !r.streaming && s.now+math.Max(s.expected(n), lastMargin) < r.notAfter && s.mayRetry(r):
		s.enqueue(r) // it can meet its end, and the rules allow it
	default:
		s.giveUp(r, 0)
	}
}

// learn takes what an outcome says of the node's health.
func (s *Scheduler) learn(n *node, r *request, t *try, ev *Event) {
	bad := 0.0
	switch ev.Status {
	case OK:
		if n.silent && s.now-n.silentAt > coldSuspect ||
			ev.Latency > coldSuspect && s.now-n.heard > coldSuspect {
			s.markCold(n, s.now)
		}
		n.silent = false
		n.heard, n.backoff, n.timely = s.now, 0, ev.Latency < roomShare*s.tightest
		if !t.lost { // it told of its own fate, not of the node's
			s.answered(n, ev.Latency, r.units)
		}
		s.noteServed(n, r)
	case Errored:
		bad, n.heard, n.silent = 1, s.now, false
	case NodeFull:
		n.heard = s.now
		s.narrow(n)
		s.backOff(n)
		return
	case ConnectFailed:
		bad = 1
		s.backOff(n)
		if s.now-n.heard > coldSuspect {
			s.markCold(n, s.now)
		}
	case TimedOut, ConnectionReset:
		bad = 1
		if t.lost {
			return
		}
		s.answered(n, ev.Latency, r.units)
	default:
		return
	}
	n.failing += errorMemory * (bad - n.failing)
}

// giveUp answers for a request: refused if it never ran or may run again anywhere, else failed.
func (s *Scheduler) giveUp(r *request, wait float64) {
	s.sample(r, math.Max(wait, refusedAims*r.class.LatencyObjective-(s.now-r.began)))
	s.refund(r)
	s.noteUnserved(r)
	if r.mayRan == nil || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll {
		hold := 0.0
		if s.set.SendsRetryAfter {
			hold = math.Min(math.Max(wait, sweepSpan), s.set.MaxRetryAfter)
		}
		s.emit(Action{Kind: Reject, ID: r.id, Wait: hold})
	} else {
		s.emit(Action{Kind: Fail, ID: r.id})
	}
	s.close(r)
}

// List.

// takeList takes the list's word: a node in no full list is gone, one that starts anew is cold.
func (s *Scheduler) takeList(ev *Event) {
	if ev.Kind == ListFailed {
		s.tuned, s.askGap = false, math.Min(2*s.askGap, askMost)
		s.asked = s.now + s.askGap*(0.5+s.rng.Float64())
		return
	}
	stood := s.tuned // else the list's word may be old, and the grace over
	if ev.Kind == CachedListLoaded {
		s.emit(Action{Kind: SetTimer, Wait: tickSpan, Tag: "tick"})
	} else {
		s.tuned, s.askGap = true, askFirst
	}
	seen := map[string]bool{}
	for _, e := range ev.Nodes {
		seen[e.ID] = true
		s.takeEntry(e, stood)
	}
	for _, n := range s.listed {
		if ev.Kind != ListChanged && !seen[n.ID] {
			n.State = NodeRemoved
		}
	}
	s.rebuildQueues()
	for _, r := range s.unplacedNew() {
		s.dequeue(r)
		r.queue = s.placeNew(r)
		s.enqueue(r)
	}
	s.ask()
}

func (s *Scheduler) takeEntry(e Node, stood bool) {
	n := s.nodes[e.ID]
	if n == nil {
		n = &node{window: windowStart, coldAt: math.Inf(-1), latencyAt: math.Inf(-1), heard: s.now}
		n.Node, n.drainAt = e, math.Inf(-1)
		s.addNode(n)
		if e.StartTime > 0 {
			s.markCold(n, e.StartTime)
		}
	} else if e.StartTime > n.StartTime {
		s.markCold(n, math.Max(e.StartTime, n.coldAt))
		n.silent, n.notBefore, n.backoff, n.failing = false, 0, 0, 0
	}
	if stood && n.State == NodeUp && e.State == NodeDraining {
		n.drainAt = s.now
	}
	n.Node = e
}

// DrainingUseDuration is how long a node that drains is used after the word of a watch that stands: the one that
// follows is listed seconds later, and nobody else has its shard. Short graces leave no time for it.
func (s Settings) DrainingUseDuration() float64 {
	return math.Max(0, math.Min(drainShare*s.DrainGrace, s.DrainGrace-drainRest))
}

// usable says that a node is up, or drains since so little that it may be used and has taken all since.
// Harm: a node that ends faster than its grace cuts off what was sent last.
func (s *Scheduler) usable(n *node) bool {
	return n.State == NodeUp ||
		n.State == NodeDraining && n.backoff == 0 && s.now-n.drainAt < s.set.DrainingUseDuration()
}

// ask subscribes to the list, again after a failure, well before we would be deemed told.
func (s *Scheduler) ask() {
	if s.set.PollsEndpointList && !s.tuned && s.now >= s.asked {
		s.asked = s.now + math.Max(askMost, s.set.PollWithin/4*(1+s.rng.Float64()))
		s.emit(Action{Kind: Subscribe})
	}
}
