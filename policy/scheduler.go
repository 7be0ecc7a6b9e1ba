package policy

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
)

const (
	sweepIntervalMs     = 10.0   // interval between reviews of the waiting requests
	tickIntervalMs      = 500.0  // interval of list polls and eviction; adaptations take place at some of the ticks
	heartbeatIntervalMs = 100.0  // interval of the timer that detects stalls of this scheduler
	idleEvictionMs      = 60e3   // a volume or key without requests for this long is evicted
	logIntervalMs       = 1000.0 // minimum interval between log lines
)

// Tags of the timers.
const (
	tickTimer      = "tick"
	sweepTimer     = "sweep"
	heartbeatTimer = "beat"
)

// Scheduler is one instance. All it knows comes from its settings and its own events.
type Scheduler struct {
	settings     Settings
	rng          *rand.Rand
	now          float64 // NaN before the first step
	actions      []Action
	lastLogAt    float64
	stall        stallDetector
	list         listPoller
	handedOver   bool // another process of this instance has taken over and refills the rate limits
	minObjective float64

	requests       map[string]*request
	firstRequestAt float64 // infinite before the first request
	lastSequence   int
	unserved       unservedTable
	possibleRuns   possibleRuns
	openByKey      map[requestKey][]*request // open requests whose clients chose an idempotency key
	orderedKeys    map[string]*orderedKeyQueue
	retries        retryBudget

	queueByShard  map[int]*shardQueue
	shardQueues   []*shardQueue // sorted by shard
	busyQueues    []*shardQueue // those with requests waiting or in flight, sorted by shard
	waitingCount  int
	sweepTimerSet bool

	classes            []*class
	classByName        map[string]*class // the classes that take new requests
	retiredClasses     int               // number of classes that remain only for the requests that still use them
	meanPriorityWeight float64
	nextAdaptAt        float64
	adaptInterval      float64
	nodeStalled        bool // a node stalled during this adaptation interval

	planByName     map[string]*Plan
	limitCarryover map[string]timedUnits // by plan: tokens that the limit of a volume without state had at the last change of plans
	volumes        map[volumeKey]*volume
	volumeOrder    []*volume // in order of their first requests
	usage          usageSummary

	nextVolumeEvictionAt float64

	nodeByID          map[string]*node
	listedNodes       []*node // sorted by id
	poolLatency       latencyEstimator
	schedulersPerNode float64 // estimated number of schedulers that send requests to one node
	slowStart         slowStartAllowance
}

// New checks the settings and returns a new instance.
func New(settings Settings, seed int64) (*Scheduler, error) {
	if err := checkSettings(&settings); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings: settings, rng: rand.New(rand.NewSource(seed)), now: math.NaN(), firstRequestAt: math.Inf(1),
		requests: map[string]*request{}, unserved: newUnservedTable(), possibleRuns: possibleRuns{}, openByKey: map[requestKey][]*request{}, usage: usageSummary{at: math.Inf(-1)},
		orderedKeys: map[string]*orderedKeyQueue{}, queueByShard: map[int]*shardQueue{},
		classByName: map[string]*class{}, planByName: map[string]*Plan{}, volumes: map[volumeKey]*volume{},
		nodeByID: map[string]*node{}, poolLatency: latencyEstimator{learnedAt: math.Inf(-1)},
		schedulersPerNode: float64(settings.Schedulers), list: listPoller{backoff: minPollBackoffMs},
		adaptInterval: ticksPerAdaptation * tickIntervalMs,
	}
	for i := range settings.Plans {
		s.planByName[settings.Plans[i].Name] = &settings.Plans[i]
	}
	for i := range settings.Classes {
		c := &class{Class: settings.Classes[i], index: i, weight: 1 / float64(len(settings.Classes))} // shares start equal
		s.classes = append(s.classes, c)
		s.classByName[c.Name] = c
	}
	s.summarizeClasses(float64(len(settings.Classes)))
	return s, nil
}

// Step processes the events that arrived by the time now and appends the resulting actions. It does
// not block.
func (s *Scheduler) Step(now float64, events []Event, actions []Action) []Action {
	isFirst := math.IsNaN(s.now)
	s.now, s.actions = math.Max(now, s.now), actions
	if isFirst {
		s.initialize(now)
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

// initialize sets the times that count from the first step. The time of the first adaptation is
// randomized, because schedulers that start together would otherwise change their weights together
// and overshoot.
func (s *Scheduler) initialize(now float64) {
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
	case AttemptTransferring:
		s.attemptTransferring(ev)
	case ResponseArriving:
		s.responseArriving(ev)
	case TransferPaused:
		s.transferPaused(ev)
	case ClientDisconnected:
		if r := s.requests[ev.ID]; r != nil && !r.done {
			s.clientDisconnected(r)
		}
	case ListReceived, CachedListLoaded, ListChanged, ListFailed:
		s.applyList(ev)
	case TimerFired:
		s.handleTimer(ev.Tag)
	case GossipReceived, HealthCheckEnded: // this package sends neither gossip nor health checks
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

// tick polls the list, evicts idle state, and adapts the class weights when that is due.
func (s *Scheduler) tick() {
	s.setTimer(tickTimer, tickIntervalMs)
	s.pollList()
	s.evictIdle(idleEvictionMs)
	// On average, the share of the nodes that one scheduler sends requests to equals the share of
	// the schedulers that send requests to one node.
	read, all := s.countReadShards(s.now - shardReadWindowMs)
	s.schedulersPerNode = math.Max(1, float64(s.settings.Schedulers)*read/math.Max(all, 1))
	if s.now >= s.nextAdaptAt {
		s.adaptAndReschedule()
	}
}

// evictIdle removes state that was not used for a duration, so that memory stays bounded.
func (s *Scheduler) evictIdle(idleMs float64) {
	s.removeRetiredClasses()
	s.removeVolumes(func(v *volume) bool { return s.now-v.refilledAt > idleMs && v.isLimitFull(s.now) })
	s.unserved.remove(func(key requestKey, u unservedRequest) bool {
		c := s.classByName[key.class]
		return c == nil || s.now > u.deadline && s.now-u.startedAt > c.Deadline
	})
	s.possibleRuns.removeExpired(s.now)
	s.retries.expireRequests(s.now, s.settings.RetryBudgetWindow)
	for name, key := range s.orderedKeys {
		if len(key.requests) == 0 && s.now > key.backoffUntil {
			delete(s.orderedKeys, name)
		}
	}
}

// RequestCount returns the number of requests that the instance holds. These are open requests, and
// ended requests that still have an attempt in flight.
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
