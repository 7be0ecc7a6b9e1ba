// Package coldstart owns what a process may do while it starts, together with hundreds of others
// that start in the same second: when it asks for the list, what it may send before the list has
// spoken, which connections it opens ahead and when, when it says ready, and what it refuses
// meanwhile. It decides for one process; what the fleet does follows from slots that come from names.
//
// Invariants:
//   - phases: a phase never goes back.
//   - ready: said at most once, and by Settings.ReadyDeadline whatever is heard, where Ticks come.
//   - refusals: each carries a Retry-After between MinRetryAfter and MaxRetryAfter.
//   - parts: the parts of a cold node's budget of all hosts sum to at most the budget.
//   - list: the first calls of the fleet are spread by name, no second holds over twice the mean; a
//     call that is turned away is followed by none within half of the gap; none once the list spoke.
//   - told: the first call comes before what the list says counts as told; that goes before the spread.
//   - restarts: nothing that the snapshot has of a node is recalled, unless the list gives the same start.
//   - peers: what another process says, or hands over, takes no care away: no node is warm before the list
//     says so, whatever comes, and what the process learned itself goes before.
//   - bounds: at most MaxNodes nodes are held; what is past them is not opened ahead nor shut.
//
// It knows no clock and does no I/O. It does not decide which request goes to which node: policy does,
// and takes a node of which LimitColdNode was said as one that has just started.
package coldstart

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Startup is one process's start.
type Startup struct {
	settings           Settings
	rng                *rand.Rand
	phase              Phase
	actions            []Action
	nodes              map[string]*node
	snapshotNodes      []string // nodes of the snapshot, the most used first
	started            bool
	usesCachedList     bool // the held list is in use
	reportedReady      bool
	nextListRequest    time.Duration // the next call of the list
	listRequestPending bool          // one is under way
	listBackoffFactor  int
	listReceivedAt     time.Duration
	cachedListUseAt    time.Duration // the held list is in use from here
	snapshotReceivedAt time.Duration // another process's snapshot came then
	learningEnds       time.Duration // learning ends: no node is cold any more
	unknownNode        node          // stands for requests to any node
	loss               loss          // of one rule: for tests
}

type node struct {
	startTime         float64       // its start as the list gives it, or gave it when it was held
	snapshotStartTime float64       // ... as the snapshot has it
	listed            bool          // the list has spoken of it
	assumedCold       bool          // taken for one that has just started
	restorable        bool          // the snapshot has it, of this life as far as known
	connected         bool          // a connection was opened ahead, or it answered
	backoffUntil      time.Duration // a node that was full or slow to connect rests until then
	backoff           time.Duration
	retryAfter        time.Duration // Retry-After of what the decisions refuse for it ...
	retryAfterGrowsAt time.Duration // ... which grows from then on
}

// loss names a rule that a test takes away.
type loss string

// New makes the start of one process.
func New(set Settings) (*Startup, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Startup{settings: set, listBackoffFactor: 1, nodes: map[string]*node{},
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(set.Name), 0x7374617274))}, nil
}

// Phase is how far the start has come.
func (s *Startup) Phase() Phase { return s.phase }

// Step takes an event and returns what is to be done. The slice is good until the next call.
func (s *Startup) Step(now time.Duration, e Event) []Action {
	s.actions = s.actions[:0]
	switch e := e.(type) {
	case Started:
		s.start(now, e)
	case ListReceived:
		s.listReceived(now, e)
	case ListRequestFailed:
		s.listRequestFailed(now)
	case NodeFull:
		s.backOff(now, e.Node)
	case ConnectFailed:
		s.backOff(now, e.Node)
	case RequestServed:
		s.requestServed(e.Node)
	case SnapshotReceived:
		s.snapshotReceived(now, e.Snapshot)
	case PeerReported:
		s.peerReported(e.Node)
	case RequestArrived:
		s.admit(now, e.Node)
		return s.actions // nothing is due sooner: no wake
	case RequestRejected:
		s.requestRejected(now, e.Node)
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

func (s *Startup) start(now time.Duration, e Started) {
	if s.started {
		return
	}
	s.started = true
	s.nextListRequest = now + Slot(s.settings.ListCallSpread(), "list", s.settings.Name)
	if s.loss == "slots" {
		s.nextListRequest = now
	}
	for _, n := range e.CachedList {
		if len(s.nodes) < s.settings.MaxNodes {
			s.nodes[n.ID] = &node{startTime: n.StartTime}
		}
	}
	s.applySnapshot(e.Snapshot)
	if len(e.CachedList) == 0 {
		return
	}
	s.phase, s.cachedListUseAt = CachedList, now
	if !s.settings.ListCallsPriced { // soon heard: nothing is sent before
		s.cachedListUseAt = now + cachedListDelay
	}
	for _, n := range e.CachedList {
		if x := s.nodes[n.ID]; x != nil {
			x.assumedCold = true
			s.emit(LimitColdNode{n.ID, s.coldNodeUnits(), s.cachedListUseAt})
		}
	}
}

// applySnapshot notes what a snapshot has. Once the list has spoken, nodes of the same start alone.
func (s *Startup) applySnapshot(snapshot []Node) {
	for _, n := range snapshot {
		x := s.nodes[n.ID]
		if x == nil && s.phase < ListKnown && len(s.nodes) < s.settings.MaxNodes {
			x = &node{}
			s.nodes[n.ID] = x
		}
		if x == nil || x.restorable || s.phase >= ListKnown && (!x.listed || x.startTime != n.StartTime) {
			continue
		}
		x.snapshotStartTime, x.restorable = n.StartTime, true
		s.snapshotNodes = append(s.snapshotNodes, n.ID)
		if s.phase >= ListKnown {
			s.emit(Restore{n.ID})
		}
	}
}

// snapshotReceived takes another process's snapshot, where there is none of the process's own.
func (s *Startup) snapshotReceived(now time.Duration, snapshot []Node) {
	if s.started && s.phase < Serving && len(s.snapshotNodes) == 0 {
		s.snapshotReceivedAt = now
		s.applySnapshot(snapshot)
	}
}

// coldNodeUnits is this process's part of what a node bears that has just started.
func (s *Startup) coldNodeUnits() float64 {
	if s.loss == "parts" {
		return s.settings.SlowStartUnits / float64(max(s.settings.Schedulers/2, 1))
	}
	return s.settings.SlowStartUnits / float64(s.settings.Schedulers)
}

// listReceived takes the first full list; later ones are the decisions' own.
func (s *Startup) listReceived(now time.Duration, e ListReceived) {
	s.listRequestPending = false
	if s.phase >= ListKnown && s.loss != "phases" {
		return
	}
	s.phase, s.listReceivedAt, s.listBackoffFactor, s.learningEnds = ListKnown, now, 1, now+learningDuration
	learned := map[string]bool{} // nodes that the list has no longer are not opened ahead
	for _, id := range s.snapshotNodes {
		learned[id], s.nodes[id].restorable = true, false
	}
	for _, n := range e.Nodes {
		x := s.nodes[n.ID]
		if x == nil {
			if len(s.nodes) >= s.settings.MaxNodes {
				continue
			}
			x = &node{}
			s.nodes[n.ID] = x
		}
		same := x.snapshotStartTime == n.StartTime || s.loss == "restarts"
		if x.assumedCold && s.usesCachedList {
			s.emit(LiftColdLimit{n.ID})
		}
		if x.restorable = learned[n.ID] && same; x.restorable {
			s.emit(Restore{n.ID})
		}
		if n.StartTime > 0 && now-n.StartedAt < s.settings.SlowStartDuration {
			s.emit(LimitColdNode{n.ID, s.coldNodeUnits(), n.StartedAt})
			s.learningEnds = max(s.learningEnds, min(n.StartedAt, now)+s.settings.SlowStartDuration)
		}
		x.startTime, x.assumedCold, x.listed = n.StartTime, false, true
	}
}

// maxStalenessBound takes a peer's word on a node's start while the list has not spoken. Of a later start than what
// was learned, the node is not opened ahead. That a node has not started anew is the list's to say: a
// peer that is wrong, or lies, would have a cold one taken for warm.
func (s *Startup) peerReported(n Node) {
	x := s.nodes[n.ID]
	if x == nil || s.phase >= ListKnown {
		return
	}
	if n.StartTime > x.snapshotStartTime {
		x.restorable = false
	}
	if s.loss == "peers" && x.assumedCold && s.usesCachedList && x.startTime == n.StartTime {
		x.assumedCold = false
		s.emit(LiftColdLimit{n.ID})
	}
}

// listRequestFailed sets the next call: hosts that are turned away together ask at most MaxListCallsPerSecond a second.
func (s *Startup) listRequestFailed(now time.Duration) {
	if s.phase >= ListKnown {
		return
	}
	s.listRequestPending = false
	gap := listRequestInterval
	if s.settings.ListCallsPriced {
		gap = max(s.settings.ListCallSpread(), listRequestInterval) * time.Duration(s.listBackoffFactor)
		s.listBackoffFactor = min(2*s.listBackoffFactor, maxListBackoffFactor)
		gap = min(gap, s.settings.StalenessBound)
	}
	s.nextListRequest = now + gap/2 + time.Duration(s.rng.Int64N(int64(gap)))
	if s.loss == "list" {
		s.nextListRequest = now
	}
}

// backOff keeps requests from a node that was full or slow to connect, a little longer each time.
func (s *Startup) backOff(now time.Duration, id string) {
	x := s.nodes[id]
	if x == nil || s.phase == Serving {
		return
	}
	x.backoff = min(max(2*x.backoff, minBackoff), maxBackoff)
	x.backoffUntil = now + x.backoff/2 + time.Duration(s.rng.Int64N(int64(x.backoff)))
}

func (s *Startup) requestServed(id string) {
	if x := s.nodes[id]; x != nil {
		x.backoffUntil, x.backoff, x.connected, x.retryAfter = 0, 0, true, x.retryAfter/2
	}
	if s.phase == ListKnown {
		s.phase = Learning
	}
}

// expectedListWait is how long the list may still take, as far as known.
func (s *Startup) expectedListWait(now time.Duration) time.Duration {
	at := s.nextListRequest + usualListRequestTime
	if s.listRequestPending {
		at = now + usualListRequestTime
	}
	if s.phase == CachedList {
		at = min(at, s.cachedListUseAt)
	}
	return max(at-now, 0)
}

// admit lets a request to the decisions, or turns it away at once.
func (s *Startup) admit(now time.Duration, id string) {
	if s.phase == Serving || !s.started {
		return
	}
	if s.phase < ListKnown && !s.usesCachedList {
		if wait := s.expectedListWait(now); wait > s.settings.LatencyObjective/2 {
			s.reject(wait)
		}
		return
	}
	if x := s.nodes[id]; x != nil && x.backoffUntil > now {
		if wait := x.backoffUntil - now; wait > s.settings.LatencyObjective/2 {
			s.reject(wait)
		}
	}
}

// requestRejected words the refusal of a request that the decisions had: they know their queues, not that a
// node bears next to nothing yet. The longer a node serves none, the later its clients come again.
func (s *Startup) requestRejected(now time.Duration, id string) {
	if s.phase == Serving {
		return
	}
	x := s.nodes[id]
	if x == nil {
		x = &s.unknownNode
	}
	if now >= x.retryAfterGrowsAt {
		x.retryAfter = min(max(2*x.retryAfter, minBackoff), s.settings.MaxRetryAfter)
		x.retryAfterGrowsAt = now + x.retryAfter
	}
	s.reject(max(x.retryAfter, minBackoff))
}

// reject spreads the return of clients.
func (s *Startup) reject(wait time.Duration) {
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	if most := s.settings.MaxRetryAfter; wait > most && s.loss != "refusals" {
		wait = max(most-time.Duration(s.rng.Int64N(int64(most)/4+1)), s.settings.MinRetryAfter)
	}
	if s.loss != "refusals" {
		wait = max(wait, s.settings.MinRetryAfter)
	}
	s.emit(Reject{wait})
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
	ready := s.phase >= ListKnown || s.usesCachedList && now >= s.cachedListUseAt+readyDelay || now >= s.settings.ReadyDeadline()
	if ready && (!s.reportedReady || s.loss == "ready") {
		s.reportedReady = true
		s.emit(ReportReady{})
	}
	if s.phase >= ListKnown && s.phase < Serving || s.usesCachedList && s.phase == CachedList {
		s.preconnect(now)
	}
	if s.phase >= ListKnown && now >= s.learningEnds || s.phase == CachedList && now >= s.cachedListUseAt+s.settings.SlowStartDuration+s.settings.StalenessBound {
		s.phase = Serving
	}
}

// preconnectDue is when a connection to a node is opened ahead: by a slot of its own for each pair.
func (s *Startup) preconnectDue(id string) time.Duration {
	from := s.listReceivedAt
	if s.phase == CachedList {
		from = s.cachedListUseAt
	}
	return max(from, s.snapshotReceivedAt) + Slot(preconnectWindow, "connect", s.settings.Name, id)
}

// preconnect opens what is due of the connections ahead: to the nodes that the last life used most.
func (s *Startup) preconnect(now time.Duration) {
	for i, id := range s.snapshotNodes {
		if i >= s.settings.Preconnects {
			break
		}
		x := s.nodes[id]
		if x.connected || now < x.backoffUntil || now < s.preconnectDue(id) || !x.restorable {
			continue
		}
		x.connected = true
		s.emit(Connect{id})
		if s.settings.MayCheckHealth && s.phase >= ListKnown {
			s.emit(CheckHealth{id})
		}
	}
}

// setTimer asks for the next Tick.
func (s *Startup) setTimer(now time.Duration) {
	if s.phase == Serving {
		return
	}
	at := now + time.Hour
	soon := func(t time.Duration) {
		if t > now {
			at = min(at, t)
		}
	}
	if s.phase < ListKnown && !s.listRequestPending {
		soon(s.nextListRequest)
	}
	if !s.reportedReady {
		soon(s.settings.ReadyDeadline())
		if s.phase == CachedList {
			soon(s.cachedListUseAt + readyDelay)
		}
	}
	switch {
	case s.phase >= ListKnown:
		soon(s.learningEnds)
	case s.phase == CachedList:
		soon(s.cachedListUseAt)
		soon(s.cachedListUseAt + s.settings.SlowStartDuration + s.settings.StalenessBound)
	}
	if s.phase >= ListKnown || s.usesCachedList {
		for i, id := range s.snapshotNodes {
			if x := s.nodes[id]; i < s.settings.Preconnects && !x.connected && x.restorable {
				soon(max(x.backoffUntil, s.preconnectDue(id)))
			}
		}
	}
	s.emit(SetTimer{at})
}
