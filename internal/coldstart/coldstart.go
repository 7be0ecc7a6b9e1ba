// Package coldstart decides what a scheduler process may do while it starts, possibly in the same second as hundreds of
// others: when it requests the endpoint list, what it may send before the list is received, which connections it opens in
// advance and when, when it reports ready, and which requests it rejects meanwhile. Each process decides for itself. The
// processes of a fleet spread their load over time by slots that are derived from the schedulers' names.
//
// Invariants:
//   - The phase never returns to an earlier one.
//   - Ready is reported at most once, and by Settings.ReadyDeadline at the latest, provided that the timers fire.
//   - Each rejection carries a Retry-After between MinRetryAfter and MaxRetryAfter.
//   - The shares that all schedulers have of a cold node's budget sum to at most the budget.
//   - The first list requests of the fleet are spread by name: no second has more than twice the mean number of requests.
//     The next request after a failed one is sent after at least half of the backoff. Once the list was received, no further
//     request is sent.
//   - The first list request is sent before the staleness bound ends, even if spreading the whole fleet's requests would
//     take longer.
//   - The state of a node in the snapshot is restored only if the first received list gives the same start time. (Only the
//     policy applies later lists, and it compares the start time again.)
//   - Peers lift no limit: before the list is received, no node counts as warmed up, even if a peer reports it as such or
//     hands over a snapshot. The process's own snapshot takes precedence over one that is handed over.
//   - The state of at most MaxNodes nodes is stored. For further nodes, no connection is opened in advance and no backoff
//     applies.
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
	snapshotNodes []string // ids of the nodes in the snapshot, the most used first
	started       bool
	reportedReady bool
	unknownNode   nodeState // holds the Retry-After of requests that any node may serve or whose node's state is not stored

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
	startTime         float64 // from the received list, before that from the cached list
	snapshotStartTime float64
	listed            bool          // in the received list
	assumedCold       bool          // treated as just started until the list is received
	restorable        bool          // in the snapshot, and no other start time is known
	connected         bool          // a connection was opened in advance, or the node served a request
	backoffUntil      time.Duration // after the node was full or a connect to it failed
	backoff           time.Duration
	retryAfter        time.Duration // of requests that the policy rejected
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

// Phase returns the present phase of the start.
func (s *Startup) Phase() Phase { return s.phase }

// Step applies an event that happened at now and returns the actions to carry out, in order. The slice is valid until the
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
		return s.actions // a request changes no due time, so the timer stays as it is
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

// start applies the first event. All nodes of the cached list are treated as cold, since any of them may have restarted
// since the list was cached.
func (s *Startup) start(now time.Duration, e Started) {
	if s.started {
		return
	}
	s.started = true
	s.nextListRequest = now + Slot(s.settings.ListRequestSpread(), "list", s.settings.Name)
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
	if !s.settings.ListRequestsPriced { // the received list is expected soon, so requests wait for it
		s.cachedListUseAt = now + cachedListDelay
	}
	for _, n := range e.CachedList {
		if state := s.nodes[n.ID]; state != nil {
			state.assumedCold = true
			s.emit(LimitColdNode{n.ID, s.coldNodeUnits(), s.cachedListUseAt})
		}
	}
}

// advance emits the actions that are due at now.
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

// cachedListWarmedUpAt returns when all nodes of the cached list count as warmed up if the list is never received.
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
