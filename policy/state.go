package policy

// What an instance remembers, and the bookkeeping that decides nothing.

import (
	"math"
	"math/rand"
	"slices"
	"sort"
)

// Scheduler is one instance. It holds only what its own events told it.
type Scheduler struct {
	settings            Settings
	rng                 *rand.Rand
	now                 float64
	firstRequestAt      float64 // its first request came; before: infinite
	actions             []Action
	classes             []*class
	classByName         map[string]*class
	planByName          map[string]*Plan
	limitCarryover      map[string]timedUnits // by plan: what an unheard volume's limit held when the settings last changed
	requests            map[string]*request
	volumes             map[volumeKey]*volume
	volumeOrder         []*volume // in order of their first request
	queueByShard        map[int]*shardQueue
	shardQueues         []*shardQueue // by shard
	busyQueues          []*shardQueue // those where requests wait or are out, by shard
	nodeByID            map[string]*node
	listedNodes         []*node // by id
	orderedKeys         map[string]*orderedKey
	unserved            map[requestKey]unservedRequest // requests that ended unserved, of late
	arrivalTimes        []float64
	retryTimes          []float64
	lastSequence        int
	waitingCount        int
	minObjective        float64 // aim
	sweepTimerSet       bool    // a sweep timer is set
	nextAdaptAt         float64 // next adaptation
	adaptInterval       float64
	stallSeen           bool // a node stood still in this interval
	nextPollAt          float64
	pollBackoff         float64
	subscribed          bool // the subscription stands
	lastLogAt           float64
	heartbeatDueAt      float64 // when the beat is due
	resumedFromStall    bool    // this step comes late: the host stood still
	lastStallEndAt      float64 // end of its last stall
	meanPriorityWeight  float64 // of the classes
	slowStartQuota      float64 // this host's part of what all nodes in slow start bear, when it last drew
	slowStartLeft       float64 // units that this host may still send to nodes in slow start ...
	slowStartDueAt      float64 // ... until it draws anew, at this time
	slowStartFirstDelay float64 // the first draw comes later by a part of this
	schedulersPerNode   float64 // hosts that work with one node, as estimated
	poolLatencyAt       float64 // when that was last learnt
	poolLatency         float64 // usual latency over all nodes
	handedOver          bool    // another process of this host fills the limits' stores now
	retiredClasses      int     // class objects that take no new requests, kept for those under way
}

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

// shardQueue is the line before the node (or nodes) that hold one shard.
type shardQueue struct {
	shard           int
	nodes           []*node
	byClass         [][]*request // by class, in the order of worth
	nextStart       []float64    // by class: virtual time its next turn starts at
	virtualTime     float64
	waitingUnits    float64 // waiting
	lastReadAt      float64 // when a request last named this shard
	readingSince    float64 // ... and the first one, since none had for shardReadWindowMs
	answeredUnits   float64 // units that its nodes answered, fading over shardReadWindowMs
	answeredUnitsAt float64 // when served was last brought up to date
	busy            bool    // is among the busy ones
}

type class struct {
	Class
	index           int
	longestTimeout  float64 // longest time a client has given
	weight          float64
	delay           float64
	slope           float64
	sampleSum       float64 // of samples since the last adaptation
	sampleCount     float64
	committedWeight float64 // share and delay at the last commit
	committedDelay  float64
	weightChanged   bool
}

// volume tracks what a volume is due through this host.
type volume struct {
	plan           *Plan
	schedulers     int
	reservedTokens float64 // reserve, units
	limitTokens    float64 // limit, units
	refilledAt     float64
	usageLevel     float64 // use beyond the reserve, units over usageWindowMs
}

type node struct {
	Node
	window             float64
	inFlight           []*request // in order of sending
	inFlightUnits      float64    // out
	typicalLatency     float64    // latency, as of late
	latencyLearnedAt   float64    // when that was last learnt
	nextSendAt         float64    // no sends before
	peakInFlight       int        // most out in this window epoch
	epochStartAt       float64    // start of it
	epochLatency       float64    // of this window epoch
	epochUnits         float64
	epochAnswers       int
	bestLatencyPerUnit float64
	windowFilled       bool
	failureRate        float64 // share of attempts that fail
	lastHeardAt        float64 // last word of any kind from it
	silent             bool
	silentSince        float64 // since when
	answerCount        float64 // since it is known
	backoff            float64
	slotStartAt        float64      // in slow start: its slot is counted from here ...
	slotFactor         float64      // ... and comes after this part of the time that a slot of each host takes
	lastAnswerTimely   bool         // its last answer came in good time, and nothing was sent since
	startedAt          float64      // start that it may be cold from
	drainingSince      float64      // when this host was told that it drains
	recentSent         []timedUnits // sends and answers within OverloadWindow
	recentServed       []timedUnits
}

// requestKey names what a client asked for, and unservedRequest tells of its last try.
type requestKey struct{ class, volume, key string }

// volumeKey is a volume on a plan: a volume that is asked for on another plan has that plan's figures, and none of the first's.
type volumeKey struct{ volume, plan string }

type unservedRequest struct{ startedAt, endsAt float64 }

type timedUnits struct{ at, units float64 }

// orderedKey is the line of ordered requests on one key.
type orderedKey struct {
	lastRequestAt float64 // last request
	waiting       []*request
	backoffUntil  float64
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) shardQueue(shard int) *shardQueue {
	l := s.queueByShard[shard]
	if l == nil {
		l = &shardQueue{shard: shard, lastReadAt: math.Inf(-1), byClass: make([][]*request, len(s.classes)), nextStart: make([]float64, len(s.classes))}
		s.queueByShard[shard] = l
		at := sort.Search(len(s.shardQueues), func(i int) bool { return s.shardQueues[i].shard > shard })
		s.shardQueues = slices.Insert(s.shardQueues, at, l)
	}
	return l
}

// markBusy puts a shard queue among the busy ones: only these are looked at in a step, as a list may hold
// a thousand nodes of which a host works with a few.
func (s *Scheduler) markBusy(l *shardQueue) {
	if !l.busy {
		l.busy = true
		s.busyQueues = slices.Insert(s.busyQueues, s.busyIndex(l.shard), l)
	}
}

func (s *Scheduler) busyIndex(shard int) int {
	return sort.Search(len(s.busyQueues), func(i int) bool { return s.busyQueues[i].shard >= shard })
}

// nextBusyQueue is the first busy shard queue at or after a shard; nil: there is none.
func (s *Scheduler) nextBusyQueue(shard int) *shardQueue {
	if i := s.busyIndex(shard); i < len(s.busyQueues) {
		return s.busyQueues[i]
	}
	return nil
}

// updateBusy says that a busy shard queue has neither requests that wait nor any out, and is no longer busy.
func (l *shardQueue) updateBusy() bool {
	l.busy = slices.ContainsFunc(l.byClass, func(q []*request) bool { return len(q) > 0 }) ||
		slices.ContainsFunc(l.nodes, func(n *node) bool { return len(n.inFlight) > 0 })
	return !l.busy
}

func (s *Scheduler) dequeue(r *request) {
	l, i := r.queue, r.class.index
	at := slices.Index(l.byClass[i], r)
	l.byClass[i] = slices.Delete(l.byClass[i], at, at+1)
	l.waitingUnits -= r.units
	r.queued = false
	s.waitingCount--
}

func (r *request) lastAt() float64 { return r.attempts[len(r.attempts)-1].sentAt }

// overtakenBy counts the answers to attempts sent after this one.
func (n *node) overtakenBy(r *request) float64 {
	return n.answerCount - r.nodeAnswersAtSend - r.inFlightAtSend
}

// newScheduler makes the empty memory of an instance.
func newScheduler(set Settings, seed int64) *Scheduler {
	s := &Scheduler{settings: set, rng: rand.New(rand.NewSource(seed)), classByName: map[string]*class{},
		planByName: map[string]*Plan{}, requests: map[string]*request{}, volumes: map[volumeKey]*volume{},
		queueByShard: map[int]*shardQueue{}, nodeByID: map[string]*node{}, orderedKeys: map[string]*orderedKey{}, unserved: map[requestKey]unservedRequest{},
		now: math.NaN(), firstRequestAt: math.Inf(1)}
	for i := range set.Plans {
		s.planByName[set.Plans[i].Name] = &set.Plans[i]
	}
	for i := range set.Classes {
		c := &class{Class: set.Classes[i], index: i}
		s.classes = append(s.classes, c)
		s.classByName[c.Name] = c
		if s.minObjective == 0 || c.LatencyObjective < s.minObjective {
			s.minObjective = c.LatencyObjective
		}
	}
	return s
}

// rememberUnserved remembers a request that ended unserved: its client may come again.
func (s *Scheduler) rememberUnserved(r *request) {
	if r.origin.key != "" {
		s.unserved[r.origin] = unservedRequest{r.startedAt, math.Max(r.deadline, s.unserved[r.origin].endsAt)}
	}
}

// logText writes a line, one each logIntervalMs at most.
func (s *Scheduler) logText(text string) {
	if s.now-s.lastLogAt >= logIntervalMs {
		s.lastLogAt = s.now
		s.emit(Action{Kind: Log, Text: text})
	}
}

// evictIdle drops what was not seen for a span, so that memory stays bounded.
func (s *Scheduler) evictIdle(span float64) {
	s.dropRetiredClasses()
	old := func(v *volume) bool { // the store of its limit, too, is as it would be of one not seen before
		filled := v.limitTokens + v.plan.RateLimit/float64(v.schedulers)*(s.now-v.refilledAt)/1000
		return s.now-v.refilledAt > span && (v.plan.RateLimit == 0 || filled >= v.plan.LimitBurst/float64(v.schedulers))
	}
	s.volumeOrder = slices.DeleteFunc(s.volumeOrder, old)
	for id, v := range s.volumes {
		if old(v) {
			delete(s.volumes, id)
		}
	}
	for f, m := range s.unserved {
		if c := s.classByName[f.class]; c == nil || s.now > m.endsAt && s.now-m.startedAt > c.Deadline {
			delete(s.unserved, f)
		}
	}
	for len(s.arrivalTimes) > 0 && s.arrivalTimes[0] <= s.now-s.settings.RetryBudgetWindow {
		s.arrivalTimes = s.arrivalTimes[1:]
	}
	for key, t := range s.orderedKeys {
		if len(t.waiting) == 0 && s.now-t.lastRequestAt > span && s.now > t.backoffUntil {
			delete(s.orderedKeys, key)
		}
	}
}

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

// joinOrderedKey puts an ordered request at the end of its key's line.
func (s *Scheduler) joinOrderedKey(r *request) {
	if !r.class.Ordered || r.key == "" {
		return
	}
	t := s.orderedKeys[r.key]
	if t == nil {
		t = &orderedKey{}
		s.orderedKeys[r.key] = t
	}
	t.waiting, t.lastRequestAt = append(t.waiting, r), s.now
}

// sumUnitsSince drops the flows before a time and sums the rest.
func sumUnitsSince(fs *[]timedUnits, from float64) (sum float64) {
	for len(*fs) > 0 && (*fs)[0].at < from {
		*fs = (*fs)[1:]
	}
	for _, f := range *fs {
		sum += f.units
	}
	return sum
}

// rebuildQueues sorts the nodes that are listed into their shard queues, and forgets those that are
// gone once nothing of theirs is out.
func (s *Scheduler) rebuildQueues() {
	for _, l := range s.shardQueues {
		l.nodes = l.nodes[:0]
	}
	s.listedNodes = slices.DeleteFunc(s.listedNodes, func(n *node) bool {
		if n.State == NodeRemoved && len(n.inFlight) == 0 {
			delete(s.nodeByID, n.ID)
			return true
		}
		return false
	})
	for _, n := range s.listedNodes {
		if n.State != NodeRemoved {
			l := s.shardQueue(n.Shard)
			l.nodes = append(l.nodes, n)
			if len(n.inFlight) > 0 { // it may have come from another shard
				s.markBusy(l)
			}
		}
	}
}

// removeOut counts a request as no longer out at the node.
func (n *node) removeOut(r *request) {
	if at := slices.Index(n.inFlight, r); at >= 0 {
		n.inFlight = slices.Delete(n.inFlight, at, at+1)
		n.inFlightUnits -= r.units
	}
}

// addOut counts a request as out at the node.
func (s *Scheduler) addOut(r *request, n *node) {
	if s.now-n.startedAt <= s.settings.SlowStartDuration && !s.mayFollowAnswer(n) {
		s.slowStartLeft = math.Max(0, s.slowStartLeft-r.units)
	}
	n.slotStartAt, n.slotFactor, n.lastAnswerTimely = s.now, 0.5+s.rng.Float64(), false
	r.attempts = append(r.attempts, attempt{n, s.now, true, false})
	r.openAttempts++
	r.attemptCancelled, r.attemptLost, r.nodeAnswersAtSend, r.inFlightAtSend = false, false, n.answerCount, float64(len(n.inFlight))
	n.inFlight = append(n.inFlight, r)
	n.peakInFlight = max(n.peakInFlight, len(n.inFlight))
	n.inFlightUnits += r.units
	n.recentSent = append(n.recentSent, timedUnits{s.now, r.units})
	if s.now-n.startedAt > s.settings.SlowStartDuration {
		n.recentSent = n.recentSent[:0]
	}
}

// countReadShards counts the shards with a node, and those of them named since a time.
func (s *Scheduler) countReadShards(from float64) (named, all float64) {
	for _, l := range s.shardQueues {
		if len(l.nodes) > 0 {
			all++
			if l.lastReadAt > from {
				named++
			}
		}
	}
	return named, all
}

// timerFired tells whether a timer is among the events.
func timerFired(events []Event, tag string) bool {
	return slices.ContainsFunc(events, func(ev Event) bool { return ev.Kind == TimerFired && ev.Tag == tag })
}

// unplacedRequests lists the new objects that found no node, class by class.
func (s *Scheduler) unplacedRequests() (rs []*request) {
	if l := s.queueByShard[-1]; l != nil {
		for _, q := range l.byClass {
			rs = append(rs, q...)
		}
	}
	return rs
}

// addNode puts a node in the list, by id.
func (s *Scheduler) addNode(n *node) {
	s.nodeByID[n.ID] = n
	at := sort.Search(len(s.listedNodes), func(i int) bool { return s.listedNodes[i].ID > n.ID })
	s.listedNodes = slices.Insert(s.listedNodes, at, n)
}

// recordLatency is the units that the shard's nodes answered of late.
func (l *shardQueue) recentAnsweredUnits(now float64) float64 {
	return l.answeredUnits * math.Exp((l.answeredUnitsAt-now)/shardReadWindowMs)
}

// warmShare is the part of its capacity that a node has at least at a time, by its age.
func (s *Scheduler) warmShare(n *node, at float64) float64 {
	from, age := math.Max(s.settings.SlowStartShare, minSlowStartShare), math.Max(0, at-n.startedAt)/s.settings.SlowStartDuration
	return from + (1-from)*age
}

// slowStartCapacity is the units that a cold node bears at a time from all hosts within OverloadWindow, by its age.
func (s *Scheduler) slowStartCapacity(n *node, at float64) float64 {
	return s.settings.SlowStartUnits * s.warmShare(n, at) / math.Max(s.settings.SlowStartShare, minSlowStartShare)
}

// totalSlowStartShare is this host's part of what all nodes in slow start bear.
func (s *Scheduler) totalSlowStartShare() (sum float64) {
	for _, n := range s.listedNodes {
		if n.State == NodeUp && s.now-n.startedAt <= s.settings.SlowStartDuration {
			sum += s.slowStartShare(n)
		}
	}
	return sum
}

// recordServed takes an answer into what the node has served.
func (s *Scheduler) recordServed(n *node, r *request) {
	n.answerCount++
	if l := s.queueByShard[n.Shard]; l != nil {
		l.answeredUnits, l.answeredUnitsAt = l.recentAnsweredUnits(s.now)+r.units, s.now
	}
	n.recentServed = append(n.recentServed, timedUnits{s.now, r.units})
	if s.now-n.startedAt > s.settings.SlowStartDuration {
		n.recentServed = n.recentServed[:0]
	}
}

// AvoidedNodes counts the listed nodes that the list gives as up and that this instance keeps work
// from for now: silent ones, and those resting after failures. It decides nothing.
func (s *Scheduler) AvoidedNodes() (n int) {
	for _, x := range s.listedNodes {
		if x.State == NodeUp && (x.silent || x.window < 1 && len(x.inFlight) == 0 && s.now < x.nextSendAt) {
			n++
		}
	}
	return n
}

// RequestCount is how many requests the instance holds: open ones, and ended ones of which something is out.
func (s *Scheduler) RequestCount() int { return len(s.requests) }
