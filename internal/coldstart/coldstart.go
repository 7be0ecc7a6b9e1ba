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
	set     Settings
	rng     *rand.Rand
	phase   Phase
	out     []Action
	nodes   map[string]*node
	used    []string // nodes of the snapshot, the most used first
	begun   bool
	inUse   bool // the held list is in use
	ready   bool
	ask     time.Duration // the next call of the list
	calling bool          // one is under way
	factor  int
	heardAt time.Duration
	heldAt  time.Duration // the held list is in use from here
	givenAt time.Duration // another process's snapshot came then
	until   time.Duration // learning ends: no node is cold any more
	any     node          // stands for requests to any node
	loss    loss          // of one rule: for tests
}

type node struct {
	since   float64       // its start as the list gives it, or gave it when it was held
	had     float64       // ... as the snapshot has it
	listed  bool          // the list has spoken of it
	guessed bool          // taken for one that has just started
	learned bool          // the snapshot has it, of this life as far as known
	linked  bool          // a connection was opened ahead, or it answered
	shut    time.Duration // a node that was full or slow to connect rests until then
	gap     time.Duration
	hint    time.Duration // Retry-After of what the decisions refuse for it ...
	hintAt  time.Duration // ... which grows from then on
}

// loss names a rule that a test takes away.
type loss string

// New makes the start of one process.
func New(set Settings) (*Startup, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Startup{set: set, factor: 1, nodes: map[string]*node{},
		rng: rand.New(rand.NewPCG(xxhash.Sum64String(set.Name), 0x7374617274))}, nil
}

// Phase is how far the start has come.
func (s *Startup) Phase() Phase { return s.phase }

// Step takes an event and returns what is to be done. The slice is good until the next call.
func (s *Startup) Step(now time.Duration, e Event) []Action {
	s.out = s.out[:0]
	switch e := e.(type) {
	case Started:
		s.begin(now, e)
	case ListReceived:
		s.heard(now, e)
	case ListRequestFailed:
		s.refused(now)
	case NodeFull:
		s.shut(now, e.Node)
	case ConnectFailed:
		s.shut(now, e.Node)
	case RequestServed:
		s.answered(e.Node)
	case SnapshotReceived:
		s.given(now, e.Snapshot)
	case PeerReported:
		s.told(e.Node)
	case RequestArrived:
		s.admit(now, e.Node)
		return s.out // nothing is due sooner: no wake
	case RequestRejected:
		s.turned(now, e.Node)
		return s.out
	}
	if !s.begun {
		return s.out
	}
	s.move(now)
	s.wake(now)
	return s.out
}

func (s *Startup) act(a Action) { s.out = append(s.out, a) }

func (s *Startup) begin(now time.Duration, e Started) {
	if s.begun {
		return
	}
	s.begun = true
	s.ask = now + Slot(s.set.ListCallSpread(), "list", s.set.Name)
	if s.loss == "slots" {
		s.ask = now
	}
	for _, n := range e.CachedList {
		if len(s.nodes) < s.set.MaxNodes {
			s.nodes[n.ID] = &node{since: n.StartTime}
		}
	}
	s.learn(e.Snapshot)
	if len(e.CachedList) == 0 {
		return
	}
	s.phase, s.heldAt = CachedList, now
	if !s.set.ListCallsPriced { // soon heard: nothing is sent before
		s.heldAt = now + heldAfter
	}
	for _, n := range e.CachedList {
		if x := s.nodes[n.ID]; x != nil {
			x.guessed = true
			s.act(LimitColdNode{n.ID, s.part(), s.heldAt})
		}
	}
}

// learn notes what a snapshot has. Once the list has spoken, nodes of the same start alone.
func (s *Startup) learn(snapshot []Node) {
	for _, n := range snapshot {
		x := s.nodes[n.ID]
		if x == nil && s.phase < ListKnown && len(s.nodes) < s.set.MaxNodes {
			x = &node{}
			s.nodes[n.ID] = x
		}
		if x == nil || x.learned || s.phase >= ListKnown && (!x.listed || x.since != n.StartTime) {
			continue
		}
		x.had, x.learned = n.StartTime, true
		s.used = append(s.used, n.ID)
		if s.phase >= ListKnown {
			s.act(Restore{n.ID})
		}
	}
}

// given takes another process's snapshot, where there is none of the process's own.
func (s *Startup) given(now time.Duration, snapshot []Node) {
	if s.begun && s.phase < Serving && len(s.used) == 0 {
		s.givenAt = now
		s.learn(snapshot)
	}
}

// part is this process's part of what a node bears that has just started.
func (s *Startup) part() float64 {
	if s.loss == "parts" {
		return s.set.SlowStartUnits / float64(max(s.set.Schedulers/2, 1))
	}
	return s.set.SlowStartUnits / float64(s.set.Schedulers)
}

// heard takes the first full list; later ones are the decisions' own.
func (s *Startup) heard(now time.Duration, e ListReceived) {
	s.calling = false
	if s.phase >= ListKnown && s.loss != "phases" {
		return
	}
	s.phase, s.heardAt, s.factor, s.until = ListKnown, now, 1, now+learnFor
	learned := map[string]bool{} // nodes that the list has no longer are not opened ahead
	for _, id := range s.used {
		learned[id], s.nodes[id].learned = true, false
	}
	for _, n := range e.Nodes {
		x := s.nodes[n.ID]
		if x == nil {
			if len(s.nodes) >= s.set.MaxNodes {
				continue
			}
			x = &node{}
			s.nodes[n.ID] = x
		}
		same := x.had == n.StartTime || s.loss == "restarts"
		if x.guessed && s.inUse {
			s.act(LiftColdLimit{n.ID})
		}
		if x.learned = learned[n.ID] && same; x.learned {
			s.act(Restore{n.ID})
		}
		if n.StartTime > 0 && now-n.StartedAt < s.set.SlowStartDuration {
			s.act(LimitColdNode{n.ID, s.part(), n.StartedAt})
			s.until = max(s.until, min(n.StartedAt, now)+s.set.SlowStartDuration)
		}
		x.since, x.guessed, x.listed = n.StartTime, false, true
	}
}

// told takes a peer's word on a node's start while the list has not spoken. Of a later start than what
// was learned, the node is not opened ahead. That a node has not started anew is the list's to say: a
// peer that is wrong, or lies, would have a cold one taken for warm.
func (s *Startup) told(n Node) {
	x := s.nodes[n.ID]
	if x == nil || s.phase >= ListKnown {
		return
	}
	if n.StartTime > x.had {
		x.learned = false
	}
	if s.loss == "peers" && x.guessed && s.inUse && x.since == n.StartTime {
		x.guessed = false
		s.act(LiftColdLimit{n.ID})
	}
}

// refused sets the next call: hosts that are turned away together ask at most MaxListCallsPerSecond a second.
func (s *Startup) refused(now time.Duration) {
	if s.phase >= ListKnown {
		return
	}
	s.calling = false
	gap := askGap
	if s.set.ListCallsPriced {
		gap = max(s.set.ListCallSpread(), askGap) * time.Duration(s.factor)
		s.factor = min(2*s.factor, growMost)
		gap = min(gap, s.set.StalenessBound)
	}
	s.ask = now + gap/2 + time.Duration(s.rng.Int64N(int64(gap)))
	if s.loss == "list" {
		s.ask = now
	}
}

// shut keeps requests from a node that was full or slow to connect, a little longer each time.
func (s *Startup) shut(now time.Duration, id string) {
	x := s.nodes[id]
	if x == nil || s.phase == Serving {
		return
	}
	x.gap = min(max(2*x.gap, shutFirst), shutMost)
	x.shut = now + x.gap/2 + time.Duration(s.rng.Int64N(int64(x.gap)))
}

func (s *Startup) answered(id string) {
	if x := s.nodes[id]; x != nil {
		x.shut, x.gap, x.linked, x.hint = 0, 0, true, x.hint/2
	}
	if s.phase == ListKnown {
		s.phase = Learning
	}
}

// listWait is how long the list may still take, as far as known.
func (s *Startup) listWait(now time.Duration) time.Duration {
	at := s.ask + usualCall
	if s.calling {
		at = now + usualCall
	}
	if s.phase == CachedList {
		at = min(at, s.heldAt)
	}
	return max(at-now, 0)
}

// admit lets a request to the decisions, or turns it away at once.
func (s *Startup) admit(now time.Duration, id string) {
	if s.phase == Serving || !s.begun {
		return
	}
	if s.phase < ListKnown && !s.inUse {
		if wait := s.listWait(now); wait > s.set.LatencyObjective/2 {
			s.refuse(wait)
		}
		return
	}
	if x := s.nodes[id]; x != nil && x.shut > now {
		if wait := x.shut - now; wait > s.set.LatencyObjective/2 {
			s.refuse(wait)
		}
	}
}

// turned words the refusal of a request that the decisions had: they know their queues, not that a
// node bears next to nothing yet. The longer a node serves none, the later its clients come again.
func (s *Startup) turned(now time.Duration, id string) {
	if s.phase == Serving {
		return
	}
	x := s.nodes[id]
	if x == nil {
		x = &s.any
	}
	if now >= x.hintAt {
		x.hint = min(max(2*x.hint, shutFirst), s.set.MaxRetryAfter)
		x.hintAt = now + x.hint
	}
	s.refuse(max(x.hint, shutFirst))
}

// refuse spreads the return of clients.
func (s *Startup) refuse(wait time.Duration) {
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	if most := s.set.MaxRetryAfter; wait > most && s.loss != "refusals" {
		wait = max(most-time.Duration(s.rng.Int64N(int64(most)/4+1)), s.set.MinRetryAfter)
	}
	if s.loss != "refusals" {
		wait = max(wait, s.set.MinRetryAfter)
	}
	s.act(Reject{wait})
}

// move does what is due by time.
func (s *Startup) move(now time.Duration) {
	if s.phase < ListKnown && !s.calling && now >= s.ask {
		s.calling = true
		s.act(RequestList{})
	}
	if s.phase == CachedList && !s.inUse && now >= s.heldAt {
		s.inUse = true
		s.act(UseCachedList{})
	}
	ready := s.phase >= ListKnown || s.inUse && now >= s.heldAt+readyHeld || now >= s.set.ReadyDeadline()
	if ready && (!s.ready || s.loss == "ready") {
		s.ready = true
		s.act(ReportReady{})
	}
	if s.phase >= ListKnown && s.phase < Serving || s.inUse && s.phase == CachedList {
		s.link(now)
	}
	if s.phase >= ListKnown && now >= s.until || s.phase == CachedList && now >= s.heldAt+s.set.SlowStartDuration+s.set.StalenessBound {
		s.phase = Serving
	}
}

// linkFrom is when a connection to a node is opened ahead: by a slot of its own for each pair.
func (s *Startup) linkFrom(id string) time.Duration {
	from := s.heardAt
	if s.phase == CachedList {
		from = s.heldAt
	}
	return max(from, s.givenAt) + Slot(connectFor, "connect", s.set.Name, id)
}

// link opens what is due of the connections ahead: to the nodes that the last life used most.
func (s *Startup) link(now time.Duration) {
	for i, id := range s.used {
		if i >= s.set.Preconnects {
			break
		}
		x := s.nodes[id]
		if x.linked || now < x.shut || now < s.linkFrom(id) || !x.learned {
			continue
		}
		x.linked = true
		s.act(Connect{id})
		if s.set.MayCheckHealth && s.phase >= ListKnown {
			s.act(CheckHealth{id})
		}
	}
}

// wake asks for the next Tick.
func (s *Startup) wake(now time.Duration) {
	if s.phase == Serving {
		return
	}
	at := now + time.Hour
	soon := func(t time.Duration) {
		if t > now {
			at = min(at, t)
		}
	}
	if s.phase < ListKnown && !s.calling {
		soon(s.ask)
	}
	if !s.ready {
		soon(s.set.ReadyDeadline())
		if s.phase == CachedList {
			soon(s.heldAt + readyHeld)
		}
	}
	switch {
	case s.phase >= ListKnown:
		soon(s.until)
	case s.phase == CachedList:
		soon(s.heldAt)
		soon(s.heldAt + s.set.SlowStartDuration + s.set.StalenessBound)
	}
	if s.phase >= ListKnown || s.inUse {
		for i, id := range s.used {
			if x := s.nodes[id]; i < s.set.Preconnects && !x.linked && x.learned {
				soon(max(x.shut, s.linkFrom(id)))
			}
		}
	}
	s.act(SetTimer{at})
}
