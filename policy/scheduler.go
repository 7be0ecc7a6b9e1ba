package policy

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
)

const (
	sweepIntervalMs     = 10.0   // how often waiting requests are reviewed
	tickIntervalMs      = 500.0  // adaptation, list polls and eviction
	heartbeatIntervalMs = 100.0  // the heartbeat shows stalls of this scheduler
	idleEvictionMs      = 60e3   // a volume or key without requests for this long is evicted
	logIntervalMs       = 1000.0 // at most one log line in this time
)

// Tags of the timers.
const (
	tickTimer      = "tick"
	sweepTimer     = "sweep"
	heartbeatTimer = "beat"
)

// Scheduler is one instance. It knows only what its own events reported.
type Scheduler struct {
	settings     Settings
	rng          *rand.Rand
	now          float64 // NaN before the first step
	actions      []Action
	lastLogAt    float64
	stall        stallDetector
	list         listPoller
	handedOver   bool // another process of this instance refills the rate limits now
	minObjective float64

	requests       map[string]*request
	firstRequestAt float64 // infinite before the first request
	lastSequence   int
	unserved       map[requestKey]unservedRequest
	orderedKeys    map[string]*orderedKey
	retries        retryBudget

	queueByShard  map[int]*shardQueue
	shardQueues   []*shardQueue // by shard
	busyQueues    []*shardQueue // those with requests waiting or in flight, by shard
	waitingCount  int
	sweepTimerSet bool

	classes            []*class
	classByName        map[string]*class // those that take new requests
	retiredClasses     int               // classes kept only for the requests that hold them
	meanPriorityWeight float64
	nextAdaptAt        float64
	adaptInterval      float64
	nodeStalled        bool // a node stalled in this adaptation interval

	planByName     map[string]*Plan
	limitCarryover map[string]timedUnits // by plan: tokens of an unknown volume's limit at the last change of plans
	volumes        map[volumeKey]*volume
	volumeOrder    []*volume // by first request

	nodeByID          map[string]*node
	listedNodes       []*node // by id
	poolLatency       latencyEstimator
	schedulersPerNode float64 // estimate of the schedulers that work with one node
	slowStart         slowStartAllowance
}

// New checks the settings and makes an instance.
func New(set Settings, seed int64) (*Scheduler, error) {
	if err := checkSettings(&set); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings: set, rng: rand.New(rand.NewSource(seed)), now: math.NaN(), firstRequestAt: math.Inf(1),
		requests: map[string]*request{}, unserved: map[requestKey]unservedRequest{},
		orderedKeys: map[string]*orderedKey{}, queueByShard: map[int]*shardQueue{},
		classByName: map[string]*class{}, planByName: map[string]*Plan{}, volumes: map[volumeKey]*volume{},
		nodeByID: map[string]*node{}, poolLatency: latencyEstimator{learnedAt: math.Inf(-1)},
		schedulersPerNode: float64(set.Schedulers), list: listPoller{backoff: minPollBackoffMs},
		adaptInterval: ticksPerAdaptation * tickIntervalMs,
	}
	for i := range set.Plans {
		s.planByName[set.Plans[i].Name] = &set.Plans[i]
	}
	for i := range set.Classes {
		c := &class{Class: set.Classes[i], index: i, weight: 1 / float64(len(set.Classes))} // shares start equal
		s.classes = append(s.classes, c)
		s.classByName[c.Name] = c
	}
	s.summarizeClasses(float64(len(set.Classes)))
	return s, nil
}

// Step takes the time and the events that came at it, and appends actions. It does not block.
func (s *Scheduler) Step(now float64, events []Event, actions []Action) []Action {
	isFirst := math.IsNaN(s.now)
	s.now, s.actions = math.Max(now, s.now), actions
	if isFirst {
		s.begin(now)
	}
	s.detectStall(events)
	for i := range events {
		s.handle(&events[i])
	}
	s.sweep()
	if s.waitingCount > 0 && !s.sweepTimerSet {
		s.sweepTimerSet = true
		s.setTimer(sweepTimer, sweepIntervalMs)
	}
	return s.actions
}

// begin sets the times that count from the first step. The first adaptation is spread by chance:
// schedulers that start together would otherwise move their weights together, and overshoot.
func (s *Scheduler) begin(now float64) {
	s.now = now
	s.nextAdaptAt = now + s.adaptInterval*(0.5+s.rng.Float64())
	s.lastLogAt, s.list.nextPollAt, s.stall.lastEndAt = now, now, now
	s.restartHeartbeat()
}

func (s *Scheduler) handle(ev *Event) {
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
		s.handleTimer(ev.Tag)
	case GossipReceived, HealthCheckEnded: // this policy asks for neither
	}
}

func (s *Scheduler) handleTimer(tag string) {
	switch tag {
	case tickTimer:
		s.tick()
	case sweepTimer:
		s.sweepTimerSet = false
	case heartbeatTimer:
		s.restartHeartbeat()
	}
}

func (s *Scheduler) restartHeartbeat() {
	s.stall.heartbeatDueAt = s.now + heartbeatIntervalMs
	s.setTimer(heartbeatTimer, heartbeatIntervalMs)
}

// tick does the work of each tick: it polls the list, evicts what is idle, and adapts when due.
func (s *Scheduler) tick() {
	s.setTimer(tickTimer, tickIntervalMs)
	s.pollList()
	s.evictIdle(idleEvictionMs)
	// On average, the share of the nodes that one scheduler's requests name is the share of the
	// schedulers that work with one node.
	read, all := s.countReadShards(s.now - shardReadWindowMs)
	s.schedulersPerNode = math.Max(1, float64(s.settings.Schedulers)*read/math.Max(all, 1))
	if s.now >= s.nextAdaptAt {
		s.adaptAndReschedule()
	}
}

// evictIdle drops what was not used for a duration, so that memory stays bounded.
func (s *Scheduler) evictIdle(idleMs float64) {
	s.dropRetiredClasses()
	isIdle := func(v *volume) bool { return s.now-v.refilledAt > idleMs && v.isLimitFull(s.now) }
	s.volumeOrder = slices.DeleteFunc(s.volumeOrder, isIdle)
	for key, v := range s.volumes {
		if isIdle(v) {
			delete(s.volumes, key)
		}
	}
	for key, u := range s.unserved {
		if c := s.classByName[key.class]; c == nil || s.now > u.endsAt && s.now-u.startedAt > c.Deadline {
			delete(s.unserved, key)
		}
	}
	s.retries.expireRequests(s.now, s.settings.RetryBudgetWindow)
	for name, key := range s.orderedKeys {
		if len(key.waiting) == 0 && s.now-key.lastRequestAt > idleMs && s.now > key.backoffUntil {
			delete(s.orderedKeys, name)
		}
	}
}

// RequestCount is how many requests the instance holds: open ones, and ended ones of which an
// attempt is still in flight.
func (s *Scheduler) RequestCount() int { return len(s.requests) }

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) setTimer(tag string, wait float64) {
	s.emit(Action{Kind: SetTimer, Wait: wait, Tag: tag})
}

// logf emits a log line, at most one per logIntervalMs.
func (s *Scheduler) logf(format string, args ...any) {
	if s.now-s.lastLogAt < logIntervalMs {
		return
	}
	s.lastLogAt = s.now
	s.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// timerFired reports whether a timer is among the events.
func timerFired(events []Event, tag string) bool {
	return slices.ContainsFunc(events, func(ev Event) bool { return ev.Kind == TimerFired && ev.Tag == tag })
}
