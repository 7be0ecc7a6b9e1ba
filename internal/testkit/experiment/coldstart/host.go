package coldstart

import (
	"fmt"
	"math"
	"slices"
	"time"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/policy"
)

// host runs one simulated scheduler process. All decisions are made by policy, internal/coldstart and watchtimer; host feeds
// them events and executes their actions.
type host struct {
	sim               *simulation
	index             int
	incarnation       int
	down              bool
	scheduler         *policy.Scheduler
	startup           *coldstart.Startup // nil in mode WithoutColdStart
	startedAt         float64
	cachedList        []policy.Node // last node list received, kept across restarts
	snapshot          policy.Learned
	assumesStartTimes bool
	subscribed        bool              // the list service reports changes to this host
	listTimer         *watchtimer.Timer // in mode WithoutColdStart, decides when to request the list; nil once a list was received
	listTimerAt       time.Duration     // next time of listTimer since startedAt; -1: none
	conns             map[int]*nodeConns
	startupTimerAt    time.Duration // next time of startup since startedAt; -1: none
}

// nodeConns are the numbers of connections to one node.
type nodeConns struct{ open, inUse int }

// startBeforeOutage starts the scheduler for normal operation before the power cut, with a full node list.
func (h *host) startBeforeOutage() {
	h.newScheduler(1)
	h.stepScheduler(policy.Event{Kind: policy.CachedListLoaded})
	h.receiveList()
}

// newScheduler begins an incarnation. The slow-start limit of nodes is multiplied by slowStartShare.
func (h *host) newScheduler(slowStartShare float64) {
	cfg := h.sim.settings
	cfg.Instance, cfg.SlowStartUnits = h.index, cfg.SlowStartUnits*slowStartShare
	scheduler, err := policy.New(cfg, int64(1000*h.incarnation+h.index)+h.sim.opt.Seed)
	if err != nil {
		panic(err)
	}
	h.scheduler, h.down, h.subscribed, h.assumesStartTimes, h.startup, h.startedAt = scheduler, false, false, false, nil, h.sim.now
	h.incarnation++
	h.conns = map[int]*nodeConns{}
}

// kill ends the process. The snapshot has the state at this moment. That of a real process is older: at most by the interval
// between two writes, on average by half of it.
func (h *host) kill() {
	if !h.down {
		if l := h.scheduler.Learned(); len(l.Nodes) > 0 {
			h.snapshot = l
		}
		h.incarnation, h.down, h.subscribed = h.incarnation+1, true, false
	}
}

// start starts the process again with the cached node list.
func (h *host) start() {
	if h.sim.mode == WithoutColdStart {
		h.newScheduler(1)
		h.listTimer, h.listTimerAt = watchtimer.New(watchtimer.Settings{Pushed: h.sim.scenario.ListPushed, Schedulers: h.sim.opt.Hosts, Seed: uint64(h.index) + uint64(h.sim.opt.Seed)}), -1
		h.stepScheduler(policy.Event{Kind: policy.CachedListLoaded, Nodes: h.cachedList})
		h.stepListTimer(watchtimer.Event{Kind: watchtimer.Started})
		return
	}
	h.newScheduler(coldstart.SlowStartShare)
	cfg := h.sim.settings
	startup, err := coldstart.New(coldstart.Settings{Schedulers: cfg.Schedulers, Name: fmt.Sprint("host-", h.index), ListRequestsPriced: !h.sim.scenario.ListPushed,
		MaxListRequestsPerSecond: 0.6 * h.sim.opt.Capacity, SlowStartUnits: cfg.SlowStartUnits, OverloadWindow: fromMillis(cfg.OverloadWindow), SlowStartDuration: fromMillis(cfg.SlowStartDuration),
		LatencyObjective: fromMillis(400), MaxRetryAfter: fromMillis(cfg.MaxRetryAfter), Preconnects: 8})
	if err != nil {
		panic(err)
	}
	h.startup, h.startupTimerAt = startup, -1
	h.stepScheduler(policy.Event{Kind: policy.CachedListLoaded}) // starts the scheduler's timer
	started := coldstart.Started{CachedList: h.startupNodes(h.cachedList)}
	if h.sim.mode == WithSnapshot {
		for _, n := range h.snapshot.Nodes {
			started.Snapshot = append(started.Snapshot, coldstart.Node{ID: n.ID, StartTime: n.StartTime})
		}
	}
	h.stepStartup(started)
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (h *host) startupNodes(list []policy.Node) (ns []coldstart.Node) {
	for _, n := range list {
		ns = append(ns, coldstart.Node{ID: n.ID, StartTime: n.StartTime, StartedAt: fromMillis(n.StartTime - h.startedAt)})
	}
	return ns
}

// stepStartup passes an event to the cold start and executes its actions. If one of them rejects the request, it returns true
// and the time after which to retry.
func (h *host) stepStartup(e coldstart.Event) (rejected bool, wait time.Duration) {
	if h.startup == nil {
		return
	}
	var restored policy.Learned
	for _, a := range slices.Clone(h.startup.Step(fromMillis(h.sim.now-h.startedAt), e)) {
		switch a := a.(type) {
		case coldstart.RequestList:
			h.requestList()
		case coldstart.UseCachedList:
			assumed := slices.Clone(h.cachedList)
			for i := range assumed {
				assumed[i].StartTime = h.startedAt
			}
			h.assumesStartTimes = true
			h.stepScheduler(policy.Event{Kind: policy.ListChanged, Nodes: assumed})
		case coldstart.LiftColdLimit:
			restored.Nodes = append(restored.Nodes, policy.LearnedNode{ID: a.Node, StartTime: h.sim.nodesByID[a.Node].StartTime, AssumedStartTime: h.startedAt})
		case coldstart.Restore:
			i := slices.IndexFunc(h.snapshot.Nodes, func(n policy.LearnedNode) bool { return n.ID == a.Node })
			restored.Nodes = append(restored.Nodes, h.snapshot.Nodes[i])
		case coldstart.Connect:
			h.useConns(h.sim.nodesByID[a.Node], 0)
		case coldstart.Reject:
			rejected, wait = true, a.RetryAfter
		case coldstart.SetTimer:
			h.setStartupTimer(a.At)
		}
	}
	if len(restored.Nodes) > 0 {
		if h.sim.mode == WithSnapshot {
			restored.Classes = h.snapshot.Classes
		}
		h.scheduler.Restore(restored)
	}
	return rejected, wait
}

func (h *host) setStartupTimer(at time.Duration) {
	if at == h.startupTimerAt {
		return
	}
	h.startupTimerAt = at
	h.afterDelay(float64(at)/float64(time.Millisecond)-(h.sim.now-h.startedAt)+0.01, func() {
		if h.startupTimerAt == at {
			h.startupTimerAt = -1
			h.stepStartup(coldstart.TimerFired{})
		}
	})
}

// afterDelay calls run after a delay, unless the process has ended by then.
func (h *host) afterDelay(wait float64, run func()) {
	incarnation := h.incarnation
	h.sim.after(wait, func() {
		if h.incarnation == incarnation {
			run()
		}
	})
}

func (h *host) handleRequest(r *request) {
	if rejected, wait := h.stepStartup(coldstart.RequestArrived{Node: h.sim.nodes[r.req.Shard].ID}); rejected {
		if wait <= 0 {
			h.sim.result.addViolation("a refusal without Retry-After")
		}
		h.sim.result.RejectedByStartup++
		h.sim.finishRequest(r.req.ID, policy.NodeFull, float64(wait)/float64(time.Millisecond))
		return
	}
	h.stepScheduler(policy.Event{Kind: policy.RequestArrived, Request: r.req})
}

func (h *host) handleAttemptEnd(n *node, status policy.Status, event policy.Event) {
	switch status {
	case policy.OK:
		h.stepStartup(coldstart.RequestServed{Node: n.ID})
	case policy.NodeFull:
		h.stepStartup(coldstart.NodeFull{Node: n.ID})
	case policy.ConnectFailed:
		h.stepStartup(coldstart.ConnectFailed{Node: n.ID})
	}
	h.stepScheduler(event)
}

func (h *host) stepScheduler(event policy.Event) {
	for _, a := range h.scheduler.Step(h.sim.now, []policy.Event{event}, nil) {
		switch a.Kind {
		case policy.SetTimer:
			h.afterDelay(math.Max(a.Wait, 1), func() { h.stepScheduler(policy.Event{Kind: policy.TimerFired, Tag: a.Tag}) })
		case policy.Reject:
			wait := a.Wait
			if r := h.sim.requests[a.ID]; r != nil {
				if rejectedByStartup, startupWait := h.stepStartup(coldstart.RequestRejected{Node: h.sim.nodes[r.req.Shard].ID}); rejectedByStartup {
					wait = math.Max(wait, float64(startupWait)/float64(time.Millisecond))
				}
			}
			h.sim.finishRequest(a.ID, policy.NodeFull, wait)
		case policy.Fail:
			h.sim.finishRequest(a.ID, policy.Errored, 0)
		case policy.Send:
			h.sim.send(h, a)
		case policy.Cancel: // the node continues to process the request
			if r := h.sim.requests[a.ID]; r != nil {
				h.afterDelay(1, func() { r.attempts[a.Attempt].end(policy.Cancelled) })
			}
		}
	}
}

// useConns marks connections to a node as used by a number of requests. If none is free, or none is open, it opens another.
func (h *host) useConns(n *node, requests int) {
	c := h.conns[n.Shard]
	if c == nil {
		c = &nodeConns{}
		h.conns[n.Shard] = c
	}
	if c.inUse += requests; c.open < max(c.inUse, 1) {
		c.open++
		h.sim.countPeak(&n.connects, &h.sim.result.ConnectPeak)
	}
}

// stepListTimer passes an event to listTimer and makes the list requests that it asks for. It does nothing once a list was
// received.
func (h *host) stepListTimer(e watchtimer.Event) {
	if h.listTimer == nil {
		return
	}
	now := fromMillis(h.sim.now - h.startedAt)
	if e.Kind == watchtimer.TimerFired {
		now = max(now, h.listTimerAt)
	}
	h.listTimerAt = -1
	for _, a := range h.listTimer.Step(now, e) {
		if a.Kind == watchtimer.OpenCall {
			h.requestListAs(a.Call)
		}
	}
	at := h.listTimer.NextTimer()
	if at == h.listTimerAt || at > time.Hour {
		return
	}
	h.listTimerAt = at
	incarnation := h.incarnation
	h.afterDelay(max(0, float64(at)/float64(time.Millisecond)-(h.sim.now-h.startedAt)), func() {
		if h.incarnation == incarnation && h.listTimerAt == at {
			h.stepListTimer(watchtimer.Event{Kind: watchtimer.TimerFired}) // uses listTimerAt as the time, so that rounding does not delay it
		}
	})
}

// requestList requests the node list without a call of listTimer.
func (h *host) requestList() { h.requestListAs(0) }

// requestListAs requests the node list. call is the number of listTimer's call, or 0 if it is none of them.
func (h *host) requestListAs(call int) {
	incarnation := h.incarnation
	h.sim.list.request(func(ok bool) {
		if h.incarnation != incarnation {
			return
		}
		switch {
		case ok:
			h.listTimer = nil
			h.receiveList()
		case h.startup != nil:
			h.stepStartup(coldstart.ListRequestFailed{})
		default:
			h.stepScheduler(policy.Event{Kind: policy.ListFailed})
			h.stepListTimer(watchtimer.Event{Kind: watchtimer.CallEnded, Call: call})
		}
	})
}

// receiveList handles a full node list and subscribes to changes.
func (h *host) receiveList() {
	h.cachedList, h.subscribed = h.cachedList[:0:0], true
	for _, n := range h.sim.nodes {
		h.cachedList = append(h.cachedList, n.Node)
	}
	h.stepScheduler(policy.Event{Kind: policy.ListReceived, Nodes: h.cachedList})
	h.stepStartup(coldstart.ListReceived{Nodes: h.startupNodes(h.cachedList)})
}

// receiveChange handles the change of one node in the list, 50 to 300 ms after it occurred.
func (h *host) receiveChange(n policy.Node) {
	if !h.subscribed {
		return
	}
	h.afterDelay(50+250*h.sim.rng.Float64(), func() {
		h.cachedList = slices.Clone(h.cachedList)
		for i := range h.cachedList {
			if h.cachedList[i].ID == n.ID && n.StartTime > h.cachedList[i].StartTime {
				h.cachedList[i] = n
			}
		}
		h.stepScheduler(policy.Event{Kind: policy.ListChanged, Nodes: []policy.Node{n}})
	})
}
