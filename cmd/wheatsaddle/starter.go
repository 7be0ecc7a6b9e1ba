package main

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// starter drives the cold start of this process: it feeds events to the state machine coldstart.Start and carries out
// its actions. It has no rule of its own. nil: the site's file has no section start.
//
// One mutex guards the state machine and all that belongs to it. It is never held during a wait, since the core's
// actor calls in here. Messages to the core keep the order in which they were decided: one goroutine
// sends them, and ends when none is left.
type starter struct {
	core          startCore
	log           logrus.FieldLogger
	path          string // of the snapshot; "": none is kept
	listPriced    bool
	cachedNodes   []core.Node // of the configuration's list
	startedAt     time.Time
	listDue       chan struct{}      // discovery is to be asked
	stopping      chan struct{}      // closed by stop
	snapshotsDone chan struct{}      // closed after the last snapshot
	finished      atomic.Bool        // the start is over
	reportedReady atomic.Bool        // the state machine said Ready
	cancelRequest context.CancelFunc // of the request for a peer's snapshot; nil: none was made

	// The clock, which a test may replace.
	now    func() time.Duration // since began
	wakeAt func(at time.Duration)

	mu               sync.Mutex // of all below
	machine          *coldstart.Startup
	listReceived     bool                          // the list's first news are on their way to the core
	learned          policy.Learned                // what the snapshot holds of the classes
	learnedNodes     map[string]policy.LearnedNode // the snapshot's, by id; nil: there is no snapshot
	listedStartTimes map[string]float64            // a node's start as the list gives it, Unix ms
	assumedStart     float64                       // the start that the known nodes were given, Unix ms
	timer            *time.Timer                   // of the next Tick; nil: none was asked for yet
	stopped          bool
	queue            []func(startCore) // messages not sent yet; bounded by what one start decides
	sending          bool              // a goroutine runs send
}

// startCore is what the starter tells the core: core.Core, or a test's actor.
type startCore interface {
	List(core.ListUpdate)
	Restore(policy.Learned)
	Preconnect(node string)
	CheckHealth(node string)
	Learned() (policy.Learned, bool)
}

func newStarter(set *config.SiteStart, conf *config.Config, known []core.Node, log logrus.FieldLogger) (*starter, error) {
	if set == nil || !set.On {
		return nil, nil
	}
	machine, err := coldstart.New(coldstart.Settings{
		Schedulers:            conf.Settings.Schedulers,
		Name:                  conf.Name,
		ListCallsPriced:       set.ListPriced,
		MaxListCallsPerSecond: set.ListMost,
		StalenessBound:        milliseconds(conf.Settings.PollWithin),
		SlowStartUnits:        conf.Settings.SlowStartUnits,
		OverloadWindow:        milliseconds(conf.Settings.OverloadWindow),
		SlowStartDuration:     milliseconds(conf.Settings.SlowStartDuration),
		LatencyObjective:      minLatencyObjective(conf.Settings),
		MaxRetryAfter:         milliseconds(conf.Settings.MaxRetryAfter),
		Preconnects:           set.Ahead,
		MayCheckHealth:        conf.Settings.MayCheckHealth,
	})
	if err != nil {
		return nil, err
	}
	s := &starter{
		log:              log,
		path:             set.Snapshot,
		listPriced:       set.ListPriced,
		cachedNodes:      known,
		startedAt:        time.Now(),
		listDue:          make(chan struct{}, 1),
		stopping:         make(chan struct{}),
		snapshotsDone:    make(chan struct{}),
		machine:          machine,
		listedStartTimes: map[string]float64{},
	}
	s.now = func() time.Duration { return time.Since(s.startedAt) }
	s.wakeAt = s.setTimer
	return s, nil
}

// settings are the decisions' settings for a start beside the whole fleet; as given, without the section.
func (s *starter) settings(set policy.Settings) policy.Settings {
	if s != nil {
		set.SlowStartUnits *= coldstart.SlowStartShare
	}
	return set
}

// reconfigure gives new settings to the core as the first ones were given.
func (s *starter) reconfigure(co *core.Core) func(policy.Settings) error {
	return func(set policy.Settings) error { return co.Reconfigure(s.settings(set)) }
}

// limiter is what core asks before each attempt; nil without the section.
func (s *starter) limiter() core.StartLimiter {
	if s == nil {
		return nil
	}
	return s
}

// run begins the start; false: the section is off.
func (s *starter) run(co *core.Core) bool {
	if s == nil {
		return false
	}
	s.core = co
	co.List(core.ListUpdate{Kind: policy.CachedListLoaded}) // the decisions' clock ticks from here
	begun := coldstart.Started{CachedList: s.machineNodes(s.cachedNodes)}
	if s.path != "" {
		snap, err := snapshot.Read(s.path, time.Now())
		switch {
		case err == nil:
			begun.Snapshot = s.loadSnapshot(snap)
		case !errors.Is(err, fs.ErrNotExist):
			s.log.WithFields(operr.Fields(err)).Warn("snapshot not readable, starting without it")
		}
	}
	s.step(begun)
	sync.Go(s.writeSnapshots)
	return true
}

// machineNodes are nodes of the list as the state machine takes them: a start is a time since began.
func (s *starter) machineNodes(list []core.Node) (nodes []coldstart.Node) {
	for _, listed := range list {
		n := coldstart.Node{ID: listed.ID, StartTime: listed.StartTime}
		if listed.StartTime > 0 {
			n.StartedAt = time.UnixMilli(int64(listed.StartTime)).Sub(s.startedAt)
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// step feeds an event to the state machine and carries out its actions. The results are for Asked and RetryAfter.
func (s *starter) step(e coldstart.Event) (retry time.Duration, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stepLocked(e)
}

// stepLocked is step with s.mu held.
func (s *starter) stepLocked(e coldstart.Event) (retry time.Duration, refused bool) {
	if s.stopped {
		return 0, false
	}
	sync.Writes(s.machine)
	var recall policy.Learned
	for _, a := range s.machine.Step(s.now(), e) {
		switch a := a.(type) {
		case coldstart.RequestList:
			sync.TrySend(s.listDue, struct{}{}) // a full channel says the same
		case coldstart.UseCachedList:
			s.useCachedNodes()
		case coldstart.LiftColdLimit:
			recall.Nodes = append(recall.Nodes, policy.LearnedNode{ID: a.Node, StartTime: s.listedStartTimes[a.Node], AssumedStart: s.assumedStart})
		case coldstart.Restore:
			if n, ok := s.learnedNodes[a.Node]; ok {
				recall.Nodes = append(recall.Nodes, n)
			}
		case coldstart.Connect:
			s.enqueue(func(c startCore) { c.Preconnect(a.Node) })
		case coldstart.CheckHealth:
			s.enqueue(func(c startCore) { c.CheckHealth(a.Node) })
		case coldstart.ReportReady:
			s.reportedReady.Store(true)
		case coldstart.Reject:
			retry, refused = a.RetryAfter, true
		case coldstart.SetTimer:
			s.wakeAt(a.At)
		}
	}
	s.finished.Store(s.machine.Phase() == coldstart.Serving)
	if len(recall.Nodes) > 0 {
		recall.Classes = s.learned.Classes
		s.enqueue(func(c startCore) { c.Restore(recall) })
	}
	return retry, refused
}

// useCachedNodes gives the core the known nodes as if each had just started; with s.mu held.
func (s *starter) useCachedNodes() {
	s.assumedStart = float64(time.Now().UnixMilli())
	guessed := slices.Clone(s.cachedNodes)
	for i := range guessed {
		guessed[i].StartTime = s.assumedStart
	}
	s.enqueue(func(c startCore) { c.List(core.ListUpdate{Kind: policy.ListChanged, Nodes: guessed}) })
}

// setTimer sets the timer of the next Tick; with s.mu held.
func (s *starter) setTimer(at time.Duration) {
	wait := time.Until(s.startedAt.Add(at))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { s.step(coldstart.TimerFired{}) })
	} else {
		s.timer.Reset(wait)
	}
}

// enqueue appends a message to the core; with s.mu held.
func (s *starter) enqueue(message func(startCore)) {
	sync.Writes(&s.queue)
	if s.queue = append(s.queue, message); !s.sending {
		s.sending = true
		sync.Go(s.send)
	}
}

// send sends the queued messages without holding s.mu: the core's mailbox may be full.
func (s *starter) send() {
	for {
		s.mu.Lock()
		sync.Writes(&s.queue)
		if len(s.queue) == 0 {
			s.queue, s.sending = nil, false
			s.mu.Unlock()
			return
		}
		message := s.queue[0]
		s.queue = s.queue[1:]
		s.mu.Unlock()
		message(s.core)
	}
}

// Done says that the start is over: the core need not ask any more.
func (s *starter) Done() bool { return s.finished.Load() }

// Admit implements core.Starting.
func (s *starter) Admit(node string) (time.Duration, bool) {
	return s.step(coldstart.RequestArrived{Node: node})
}

// RetryAfter implements core.Starting.
func (s *starter) RetryAfter(node string, wait time.Duration) time.Duration {
	longer, _ := s.step(coldstart.RequestRejected{Node: node})
	return max(wait, longer)
}

// AttemptEnded implements core.Starting.
func (s *starter) AttemptEnded(node string, status policy.Status) {
	switch status {
	case policy.OK:
		s.step(coldstart.RequestServed{Node: node})
	case policy.NodeFull:
		s.step(coldstart.NodeFull{Node: node})
	case policy.ConnectFailed:
		s.step(coldstart.ConnectFailed{Node: node})
	}
}

// updateList passes news of the node list on, and returns once the core has them; false: the section is off.
func (s *starter) updateList(news core.ListUpdate) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	if s.listReceived && !s.sending {
		s.mu.Unlock()
		s.core.List(news)
		return true
	}
	first := !s.listReceived && (news.Kind == policy.ListReceived || news.Kind == policy.ListChanged)
	if first {
		s.listReceived = true
		news.Nodes = s.withCachedNodes(news)
	}
	delivered := make(chan struct{})
	s.enqueue(func(c startCore) { c.List(news); sync.Close(delivered) })
	if first {
		present := slices.DeleteFunc(slices.Clone(news.Nodes), func(n core.Node) bool { return n.State == policy.NodeRemoved })
		for _, n := range present {
			s.listedStartTimes[n.ID] = n.StartTime
		}
		s.stepLocked(coldstart.ListReceived{Nodes: s.machineNodes(present)})
	}
	s.mu.Unlock()
	sync.Recv(delivered)
	return true
}

// withCachedNodes are the nodes of the first news. A change adds the known nodes that it does not name: the core
// has them with a guessed start or not at all.
func (s *starter) withCachedNodes(news core.ListUpdate) []core.Node {
	nodes := slices.Clone(news.Nodes)
	if news.Kind != policy.ListChanged {
		return nodes
	}
	named := map[string]bool{}
	for _, n := range nodes {
		named[n.ID] = true
	}
	for _, n := range s.cachedNodes {
		if !named[n.ID] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// listUnchanged takes it that discovery has no change since the known list: as first news, that list is confirmed.
func (s *starter) listUnchanged() {
	if s == nil {
		return
	}
	s.mu.Lock()
	first := !s.listReceived && len(s.cachedNodes) > 0
	s.mu.Unlock()
	if first {
		s.updateList(core.ListUpdate{Kind: policy.ListChanged})
	}
}

// watchPace is the pace of the list's watch until the list is heard; nil: the watch has its own.
func (s *starter) watchPace() discovery.Pace {
	if s == nil || !s.listPriced {
		return nil
	}
	return s
}

// Due implements discovery.Pace.
func (s *starter) Due() <-chan struct{} { return s.listDue }

// Missed implements discovery.Pace.
func (s *starter) Missed() { s.step(coldstart.ListRequestFailed{}) }

// isReady is whether the state machine said so; without the section, what the caller would say.
func (s *starter) isReady(without bool) bool {
	if s == nil {
		return without
	}
	return s.reportedReady.Load()
}

// addPeerReports tells the state machine the nodes' starts as the other processes observed them.
func (s *starter) addPeerReports(now time.Duration, state *nodestats.State) {
	if s == nil || s.Done() {
		return
	}
	for _, v := range state.Views(now) {
		s.step(coldstart.PeerReported{Node: coldstart.Node{ID: v.Node, StartTime: float64(v.StartTime)}})
	}
}

// stop ends the starter after a last snapshot. The core must still run.
func (s *starter) stop() {
	if s == nil {
		return
	}
	sync.Close(s.stopping)
	if s.cancelRequest != nil {
		s.cancelRequest()
	}
	sync.Recv(s.snapshotsDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true // a Tick that waits for s.mu does nothing any more
	if s.timer != nil {
		s.timer.Stop()
	}
}
