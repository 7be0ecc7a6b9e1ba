package policy

import (
	"math"
	"math/rand"
	"slices"
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

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// logText writes a line, one each logIntervalMs at most.
func (s *Scheduler) logText(text string) {
	if s.now-s.lastLogAt >= logIntervalMs {
		s.lastLogAt = s.now
		s.emit(Action{Kind: Log, Text: text})
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

// timerFired tells whether a timer is among the events.
func timerFired(events []Event, tag string) bool {
	return slices.ContainsFunc(events, func(ev Event) bool { return ev.Kind == TimerFired && ev.Tag == tag })
}

// RequestCount is how many requests the instance holds: open ones, and ended ones of which something is out.
func (s *Scheduler) RequestCount() int { return len(s.requests) }

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
