// Package coldstart decides what a scheduler process may do while it starts, together with hundreds of others that may
// start in the same second: when it requests the endpoint list, what it may send before the list is received, which
// connections it opens ahead of need and when, when it reports ready, and which requests it rejects meanwhile. It decides
// for one process. The load of the whole fleet follows from slots that are derived from the schedulers' names.
//
// Invariants:
//   - The phase never goes back.
//   - Ready is reported at most once, and by Settings.ReadyDeadline at the latest, as long as timers fire.
//   - Each rejection carries a Retry-After between MinRetryAfter and MaxRetryAfter.
//   - The shares of a cold node's budget of all schedulers sum to at most the budget.
//   - The first list requests of the fleet are spread by name: no second holds over twice the mean. After a request that
//     failed, none follows within half of the backoff. None is sent once the list was received.
//   - The first list request is sent before the staleness bound ends, even where the fleet needs longer to spread.
//   - Nothing that the snapshot has of a node is restored unless the first received list gives the same start time. (Later
//     lists are the policy's alone, which compares the start time again.)
//   - Peers lift no limit: no node counts as warmed up before the list is received, even if a peer reports so or hands over a snapshot. The
//     process's own snapshot takes precedence over one that is handed over.
//   - At most MaxNodes nodes are held. To further ones no connection is opened ahead, and they are never backing off.
//
// The package has no clock and no I/O. It does not choose the node of a request: policy does, and treats a node that
// LimitColdNode names as one that has just started.
package coldstart

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Startup is the state of one process's start. It must be used by one goroutine at a time.
type Startup struct {
	settings      Settings
	rng           *rand.Rand
	phase         Phase
	actions       []Action // of the current step
	nodes         map[string]*nodeState
	snapshotNodes []string // ids of the nodes of the snapshot, the most used first
	started       bool
	reportedReady bool
	unknownNode   nodeState // stands for requests to any node, and to nodes that are not held

	listRequestPending bool
	nextListRequest    time.Duration
	listBackoffFactor  int
	listReceivedAt     time.Duration

	usesCachedList     bool
	cachedListUseAt    time.Duration
	snapshotReceivedAt time.Duration // from another process
	learningEnds       time.Duration // no node is cold from then on
}

// nodeState is what is known of one node.
type nodeState struct {
	startTime         float64 // as the list gives it, or gave it when it was cached
	snapshotStartTime float64
	listed            bool          // the received list has it
	assumedCold       bool          // treated as just started until the list is received
	restorable        bool          // the snapshot has it, with the same start time as far as known
	connected         bool          // a connection was opened ahead, or the node served a request
	backoffUntil      time.Duration // after it was full, or slow to connect
	backoff           time.Duration
	retryAfter        time.Duration // of rejections by the policy
	retryAfterGrowsAt time.Duration
}

// New returns the state of a process that has not started. An error is a *SettingError.
func New(settings Settings) (*Startup, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Startup{settings: settings, listBackoffFactor: 1, nodes: map[string]*nodeState{},
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(settings.Name), 0x7374617274))}, nil
}

// Phase is how far the start has come.
func (s *Startup) Phase() Phase { return s.phase }

// Step applies an event that happened at now and returns what is to be done, in that order. The slice is valid until the
// next call.
func (s *Startup) Step(now time.Duration, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Started:
		s.start(now, e)
	case ListReceived:
		s.handleListReceived(now, e)
	case ListRequestFailed:
		s.handleListRequestFailed(now)
	case NodeFull:
		s.backOff(now, e.Node)
	case ConnectFailed:
		s.backOff(now, e.Node)
	case RequestServed:
		s.handleRequestServed(e.Node)
	case SnapshotReceived:
		s.handleSnapshotReceived(now, e.Snapshot)
	case PeerReported:
		s.handlePeerReported(e.Node)
	case RequestArrived:
		s.admit(now, e.Node)
		return s.actions // requests bring nothing forward, so the timer stays
	case RequestRejected:
		s.handleRequestRejected(now, e.Node)
		return s.actions
	}
	if !s.started {
		return s.actions
	}
	s.advance(now)
	s.setTimer(now)
	return s.actions
}

func (s *Startup) emit(a Action) { s.actions = append(s.actions, a) }

// start applies the first event. Nodes of the cached list are treated as cold: any may have restarted since.
func (s *Startup) start(now time.Duration, e Started) {
	if s.started {
		return
	}
	s.started = true
	s.nextListRequest = now + Slot(s.settings.ListCallSpread(), "list", s.settings.Name)
	for _, n := range e.CachedList {
		if s.hasCapacity() {
			s.nodes[n.ID] = &nodeState{startTime: n.StartTime}
		}
	}
	s.applySnapshot(e.Snapshot)
	if len(e.CachedList) == 0 {
		return
	}
	s.phase, s.cachedListUseAt = CachedList, now
	if !s.settings.ListCallsPriced { // the list is received soon, so nothing is sent before
		s.cachedListUseAt = now + cachedListDelay
	}
	for _, n := range e.CachedList {
		if state := s.nodes[n.ID]; state != nil {
			state.assumedCold = true
			s.emit(LimitColdNode{n.ID, s.coldNodeUnits(), s.cachedListUseAt})
		}
	}
}

// advance does what is due by time.
func (s *Startup) advance(now time.Duration) {
	if s.phase < ListKnown && !s.listRequestPending && now >= s.nextListRequest {
		s.listRequestPending = true
		s.emit(RequestList{})
	}
	if s.phase == CachedList && !s.usesCachedList && now >= s.cachedListUseAt {
		s.usesCachedList = true
		s.emit(UseCachedList{})
	}
	if s.readyDue(now) && !s.reportedReady {
		s.reportedReady = true
		s.emit(ReportReady{})
	}
	if s.phase >= ListKnown && s.phase < Serving || s.usesCachedList && s.phase == CachedList {
		s.preconnect(now)
	}
	if s.phase >= ListKnown && now >= s.learningEnds || s.phase == CachedList && now >= s.cachedListWarmedUpAt() {
		s.phase = Serving
	}
}

func (s *Startup) readyDue(now time.Duration) bool {
	return s.phase >= ListKnown || s.usesCachedList && now >= s.cachedListUseAt+readyDelay || now >= s.settings.ReadyDeadline()
}

// cachedListWarmedUpAt is when no node of the cached list is cold any more, if the list is never received.
func (s *Startup) cachedListWarmedUpAt() time.Duration {
	return s.cachedListUseAt + s.settings.SlowStartDuration + s.settings.StalenessBound
}

// setTimer requests a timer for the next time at which something is due.
func (s *Startup) setTimer(now time.Duration) {
	if s.phase == Serving {
		return
	}
	timerAt := now + maxTimer
	due := func(t time.Duration) {
		if t > now {
			timerAt = min(timerAt, t)
		}
	}
	if s.phase < ListKnown && !s.listRequestPending {
		due(s.nextListRequest)
	}
	if !s.reportedReady {
		due(s.settings.ReadyDeadline())
		if s.phase == CachedList {
			due(s.cachedListUseAt + readyDelay)
		}
	}
	switch {
	case s.phase >= ListKnown:
		due(s.learningEnds)
	case s.phase == CachedList:
		due(s.cachedListUseAt)
		due(s.cachedListWarmedUpAt())
	}
	if s.phase >= ListKnown || s.usesCachedList {
		for _, id := range s.preconnectNodes() {
			if state := s.nodes[id]; !state.connected && state.restorable {
				due(max(state.backoffUntil, s.preconnectDue(id)))
			}
		}
	}
	s.emit(SetTimer{timerAt})
}
