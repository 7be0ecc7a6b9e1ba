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

// starter drives the cold start of this process: it feeds events to coldstart.Startup and executes its actions. All
// decisions are made by coldstart. A nil starter means that the section start of the site's file is missing or off.
//
// One mutex guards the state machine and its context. The mutex is never held during a wait, since the core's actor calls
// methods of the starter. Messages reach the core in the order in which they were decided: a single goroutine sends them
// and ends when the queue is empty.
type starter struct {
	core          startCore
	log           logrus.FieldLogger
	path          string // of the snapshot; empty: none is stored
	listPriced    bool
	cachedNodes   []core.Node // of the configuration's endpoint list
	startedAt     time.Time
	listDue       chan struct{}      // the endpoint list is to be requested
	stopping      chan struct{}      // closed by stop
	snapshotsDone chan struct{}      // closed after the last snapshot
	finished      atomic.Bool        // the cold start has ended
	reportedReady atomic.Bool        // the state machine has reported that it is ready
	cancelRequest context.CancelFunc // of the request for a peer's snapshot; nil: none was made

	// The clock and the timer, which tests replace.
	now    func() time.Duration // since startedAt
	wakeAt func(at time.Duration)

	mu               sync.Mutex // guards the fields below
	machine          *coldstart.Startup
	listReceived     bool                          // the first update of the list is queued or delivered to the core
	learned          policy.Learned                // the snapshot's classes
	learnedNodes     map[string]policy.LearnedNode // of the snapshot, by id; nil: there is no snapshot
	listedStartTimes map[string]float64            // of nodes, as in the list, Unix ms
	assumedStart     float64                       // of the cached nodes, Unix ms
	timer            *time.Timer                   // of the next TimerFired event; nil: none yet
	stopped          bool
	queue            []func(startCore) // messages to the core; a start makes a bounded number of decisions
	sending          bool              // a goroutine is running send
}

// startCore has the methods of core.Core that a starter uses.
type startCore interface {
	UpdateList(core.ListUpdate)
	Restore(policy.Learned)
	Preconnect(node string)
	CheckHealth(node string)
	Learned() (policy.Learned, bool)
}

// newStarter returns a starter that has not begun, or nil if the section start is missing or off.
func newStarter(set *config.SiteStart, conf *config.Config, cachedNodes []core.Node, log logrus.FieldLogger) (*starter, error) {
	if set == nil || !set.Enabled {
		return nil, nil
	}
	machine, err := coldstart.New(coldstart.Settings{
		Schedulers:               conf.Settings.Schedulers,
		Name:                     conf.Name,
		ListRequestsPriced:       set.ListPriced,
		MaxListRequestsPerSecond: set.ListCallsPerSecond,
		StalenessBound:           milliseconds(conf.Settings.ListStalenessBound),
		SlowStartUnits:           conf.Settings.SlowStartUnits,
		OverloadWindow:           milliseconds(conf.Settings.OverloadWindow),
		SlowStartDuration:        milliseconds(conf.Settings.SlowStartDuration),
		LatencyObjective:         minLatencyObjective(conf.Settings),
		MaxRetryAfter:            milliseconds(conf.Settings.MaxRetryAfter),
		Preconnects:              set.PreconnectNodes,
		MayCheckHealth:           conf.Settings.MayCheckHealth,
	})
	if err != nil {
		return nil, err
	}
	s := &starter{
		log:              log,
		path:             set.Snapshot,
		listPriced:       set.ListPriced,
		cachedNodes:      cachedNodes,
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

// reduceSlowStart reduces the slow start of nodes while the whole fleet starts; without the section it returns set.
func (s *starter) reduceSlowStart(set policy.Settings) policy.Settings {
	if s != nil {
		set.SlowStartUnits *= coldstart.SlowStartShare
	}
	return set
}

// reconfigure returns the function that applies new settings to the core, reduced as the first ones were.
func (s *starter) reconfigure(co *core.Core) func(policy.Settings) error {
	return func(set policy.Settings) error { return co.Reconfigure(s.reduceSlowStart(set)) }
}

// limiter returns the limiter that the core calls for requests and ended attempts during the cold start; nil without the
// section.
func (s *starter) limiter() core.StartLimiter {
	if s == nil {
		return nil
	}
	return s
}

// run begins the cold start. It returns false if the section is off.
func (s *starter) run(co *core.Core) bool {
	if s == nil {
		return false
	}
	s.core = co
	co.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded}) // starts the clock of the policy
	started := coldstart.Started{CachedList: s.machineNodes(s.cachedNodes)}
	if s.path != "" {
		snap, err := snapshot.Read(s.path, time.Now())
		switch {
		case err == nil:
			started.Snapshot = s.loadSnapshot(snap)
		case !errors.Is(err, fs.ErrNotExist):
			s.log.WithFields(operr.Fields(err)).Warn("snapshot not readable, starting without it")
		}
	}
	s.step(started)
	sync.Go(s.writeSnapshots)
	return true
}

// machineNodes converts listed nodes for the state machine, whose times count from startedAt.
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

// step feeds an event to the state machine and executes its actions. For the event of a request, the results are whether
// the request is rejected and its Retry-After.
func (s *starter) step(e coldstart.Event) (retryAfter time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stepLocked(e)
}

// stepLocked is step for a caller that holds s.mu.
func (s *starter) stepLocked(e coldstart.Event) (retryAfter time.Duration, rejected bool) {
	if s.stopped {
		return 0, false
	}
	sync.Writes(s.machine)
	var restored policy.Learned
	for _, a := range s.machine.Step(s.now(), e) {
		switch a := a.(type) {
		case coldstart.RequestList:
			sync.TrySend(s.listDue, struct{}{}) // if the channel is full, a request is pending already
		case coldstart.UseCachedList:
			s.useCachedNodes()
		case coldstart.LiftColdLimit:
			restored.Nodes = append(restored.Nodes, policy.LearnedNode{ID: a.Node, StartTime: s.listedStartTimes[a.Node], AssumedStartTime: s.assumedStart})
		case coldstart.Restore:
			if n, ok := s.learnedNodes[a.Node]; ok {
				restored.Nodes = append(restored.Nodes, n)
			}
		case coldstart.Connect:
			s.enqueue(func(c startCore) { c.Preconnect(a.Node) })
		case coldstart.CheckHealth:
			s.enqueue(func(c startCore) { c.CheckHealth(a.Node) })
		case coldstart.ReportReady:
			s.reportedReady.Store(true)
		case coldstart.Reject:
			retryAfter, rejected = a.RetryAfter, true
		case coldstart.SetTimer:
			s.wakeAt(a.At)
		}
	}
	s.finished.Store(s.machine.Phase() == coldstart.Serving)
	if len(restored.Nodes) > 0 {
		restored.Classes = s.learned.Classes
		s.enqueue(func(c startCore) { c.Restore(restored) })
	}
	return retryAfter, rejected
}

// useCachedNodes passes the cached nodes to the core as if each had just started. The caller holds s.mu.
func (s *starter) useCachedNodes() {
	s.assumedStart = float64(time.Now().UnixMilli())
	nodes := slices.Clone(s.cachedNodes)
	for i := range nodes {
		nodes[i].StartTime = s.assumedStart
	}
	s.enqueue(func(c startCore) { c.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: nodes}) })
}

// setTimer sets the timer of the next TimerFired event. The caller holds s.mu.
func (s *starter) setTimer(at time.Duration) {
	wait := time.Until(s.startedAt.Add(at))
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { s.step(coldstart.TimerFired{}) })
	} else {
		s.timer.Reset(wait)
	}
}

// enqueue appends a message to the core. The caller holds s.mu.
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

// Done reports that the cold start has ended and the core no longer needs to call the limiter.
func (s *starter) Done() bool { return s.finished.Load() }

// Admit implements core.StartLimiter.
func (s *starter) Admit(node string) (time.Duration, bool) {
	return s.step(coldstart.RequestArrived{Node: node})
}

// RetryAfter implements core.StartLimiter.
func (s *starter) RetryAfter(node string, wait time.Duration) time.Duration {
	longer, _ := s.step(coldstart.RequestRejected{Node: node})
	return max(wait, longer)
}

// AttemptEnded implements core.StartLimiter.
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

// updateList passes an update of the endpoint list to the core and returns once the core has received it. It returns false
// if the section is off.
func (s *starter) updateList(update core.ListUpdate) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	if s.listReceived && !s.sending {
		s.mu.Unlock()
		s.core.UpdateList(update)
		return true
	}
	first := !s.listReceived && (update.Kind == policy.ListReceived || update.Kind == policy.ListChanged)
	if first {
		s.listReceived = true
		update.Nodes = s.withCachedNodes(update)
	}
	delivered := make(chan struct{})
	s.enqueue(func(c startCore) { c.UpdateList(update); sync.Close(delivered) })
	if first {
		present := slices.DeleteFunc(slices.Clone(update.Nodes), func(n core.Node) bool { return n.State == policy.NodeRemoved })
		for _, n := range present {
			s.listedStartTimes[n.ID] = n.StartTime
		}
		s.stepLocked(coldstart.ListReceived{Nodes: s.machineNodes(present)})
	}
	s.mu.Unlock()
	sync.Recv(delivered)
	return true
}

// withCachedNodes returns the nodes of the first update. If the update lists only changes, the cached nodes that it does
// not list are added, because the core has them with an assumed start time or not at all.
func (s *starter) withCachedNodes(update core.ListUpdate) []core.Node {
	nodes := slices.Clone(update.Nodes)
	if update.Kind != policy.ListChanged {
		return nodes
	}
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
	}
	for _, n := range s.cachedNodes {
		if !listed[n.ID] {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// confirmCachedList handles that discovery has no change since the cached list, which is then confirmed as the first update.
func (s *starter) confirmCachedList() {
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

// watchPacer returns the pacer of the watch until the first update; nil: the watch uses its own timer.
func (s *starter) watchPacer() discovery.StartPacer {
	if s == nil || !s.listPriced {
		return nil
	}
	return s
}

// CallDue implements discovery.StartPacer.
func (s *starter) CallDue() <-chan struct{} { return s.listDue }

// CallFailed implements discovery.StartPacer.
func (s *starter) CallFailed() { s.step(coldstart.ListRequestFailed{}) }

// isReady reports whether the state machine has reported readiness. Without the section it returns withoutSection.
func (s *starter) isReady(withoutSection bool) bool {
	if s == nil {
		return withoutSection
	}
	return s.reportedReady.Load()
}

// addPeerReports passes the start times of nodes that other processes observed to the state machine.
func (s *starter) addPeerReports(now time.Duration, state *nodestats.State) {
	if s == nil || s.Done() {
		return
	}
	for _, v := range state.Views(now) {
		s.step(coldstart.PeerReported{Node: coldstart.Node{ID: v.Node, StartTime: float64(v.StartTime)}})
	}
}

// stop ends the starter after a last snapshot. The core must still be running.
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
	s.stopped = true // events that are waiting for s.mu are ignored
	if s.timer != nil {
		s.timer.Stop()
	}
}
