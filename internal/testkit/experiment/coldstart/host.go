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

// host is one scheduler: the driver of its decisions, with no rule of its own.
type host struct {
	w       *world
	no      int
	life    int
	down    bool
	s       *policy.Scheduler
	begin   *coldstart.Startup // nil: as today
	born    float64
	held    []policy.Node // the list as last held
	learned policy.Learned
	guess   bool
	watch   bool              // the list tells of changes
	clock   *watchtimer.Timer // as today: when the list is asked for; nil: the watch stands
	clockAt time.Duration     // when it is looked at next
	conns   map[int]*conns
	wakeAt  time.Duration
}

type conns struct{ have, out int }

// run is the ordinary life before the cut.
func (h *host) run() {
	h.fresh(1)
	h.step(policy.Event{Kind: policy.CachedListLoaded})
	h.listed()
}

func (h *host) fresh(coldShare float64) {
	set := h.w.set
	set.Instance, set.SlowStartUnits = h.no, set.SlowStartUnits*coldShare
	s, err := policy.New(set, int64(1000*h.life+h.no)+h.w.opt.Seed)
	if err != nil {
		panic(err)
	}
	h.s, h.down, h.watch, h.guess, h.begin, h.born = s, false, false, false, nil, h.w.now
	h.life++
	h.conns = map[int]*conns{}
}

// kill ends the process; its snapshot is as old as the writes are apart, in the mean half of that.
func (h *host) kill() {
	if !h.down {
		if l := h.s.Learned(); len(l.Nodes) > 0 {
			h.learned = l
		}
		h.life, h.down, h.watch = h.life+1, true, false
	}
}

// start begins a life with the list as last held.
func (h *host) start() {
	if h.w.mode == Today {
		h.fresh(1)
		h.clock, h.clockAt = watchtimer.New(watchtimer.Settings{Pushed: h.w.sc.Pushed, Schedulers: h.w.opt.Hosts, Seed: uint64(h.no) + uint64(h.w.opt.Seed)}), -1
		h.step(policy.Event{Kind: policy.CachedListLoaded, Nodes: h.held})
		h.ask(watchtimer.Event{Kind: watchtimer.Started})
		return
	}
	h.fresh(coldstart.SlowStartShare)
	set := h.w.set
	b, err := coldstart.New(coldstart.Settings{Schedulers: set.Schedulers, Name: fmt.Sprint("host-", h.no), ListRequestsPriced: !h.w.sc.Pushed,
		MaxListRequestsPerSecond: 0.6 * h.w.opt.Capacity, SlowStartUnits: set.SlowStartUnits, OverloadWindow: span(set.OverloadWindow), SlowStartDuration: span(set.SlowStartDuration),
		LatencyObjective: span(400), MaxRetryAfter: span(set.MaxRetryAfter), Preconnects: 8})
	if err != nil {
		panic(err)
	}
	h.begin, h.wakeAt = b, -1
	h.step(policy.Event{Kind: policy.CachedListLoaded}) // the decisions' clock ticks from here
	begun := coldstart.Started{CachedList: h.nodes(h.held)}
	if h.w.mode == Snapshot {
		for _, n := range h.learned.Nodes {
			begun.Snapshot = append(begun.Snapshot, coldstart.Node{ID: n.ID, StartTime: n.StartTime})
		}
	}
	h.hear(begun)
}

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (h *host) nodes(list []policy.Node) (ns []coldstart.Node) {
	for _, n := range list {
		ns = append(ns, coldstart.Node{ID: n.ID, StartTime: n.StartTime, StartedAt: span(n.StartTime - h.born)})
	}
	return ns
}

// hear gives the start an event and does what it says; true: a request was refused.
func (h *host) hear(e coldstart.Event) (refused bool, wait time.Duration) {
	if h.begin == nil {
		return
	}
	var recall policy.Learned
	for _, a := range slices.Clone(h.begin.Step(span(h.w.now-h.born), e)) {
		switch a := a.(type) {
		case coldstart.RequestList:
			h.call()
		case coldstart.UseCachedList:
			guessed := slices.Clone(h.held)
			for i := range guessed {
				guessed[i].StartTime = h.born
			}
			h.guess = true
			h.step(policy.Event{Kind: policy.ListChanged, Nodes: guessed})
		case coldstart.LiftColdLimit:
			recall.Nodes = append(recall.Nodes, policy.LearnedNode{ID: a.Node, StartTime: h.w.index[a.Node].StartTime, AssumedStartTime: h.born})
		case coldstart.Restore:
			i := slices.IndexFunc(h.learned.Nodes, func(n policy.LearnedNode) bool { return n.ID == a.Node })
			recall.Nodes = append(recall.Nodes, h.learned.Nodes[i])
		case coldstart.Connect:
			h.link(h.w.index[a.Node], 0)
		case coldstart.Reject:
			refused, wait = true, a.RetryAfter
		case coldstart.SetTimer:
			h.wake(a.At)
		}
	}
	if len(recall.Nodes) > 0 {
		if h.w.mode == Snapshot {
			recall.Classes = h.learned.Classes
		}
		h.s.Restore(recall)
	}
	return refused, wait
}

func (h *host) wake(at time.Duration) {
	if at == h.wakeAt {
		return
	}
	h.wakeAt = at
	h.later(float64(at)/float64(time.Millisecond)-(h.w.now-h.born)+0.01, func() {
		if h.wakeAt == at {
			h.wakeAt = -1
			h.hear(coldstart.TimerFired{})
		}
	})
}

// later does something in the host's present life.
func (h *host) later(wait float64, do func()) {
	life := h.life
	h.w.after(wait, func() {
		if h.life == life {
			do()
		}
	})
}

func (h *host) take(r *request) {
	if refused, wait := h.hear(coldstart.RequestArrived{Node: h.w.nodes[r.req.Shard].ID}); refused {
		if wait <= 0 {
			h.w.res.broke("a refusal without Retry-After")
		}
		h.w.res.Gated++
		h.w.final(r.req.ID, policy.NodeFull, float64(wait)/float64(time.Millisecond))
		return
	}
	h.step(policy.Event{Kind: policy.RequestArrived, Request: r.req})
}

func (h *host) outcome(n *node, status policy.Status, ev policy.Event) {
	switch status {
	case policy.OK:
		h.hear(coldstart.RequestServed{Node: n.ID})
	case policy.NodeFull:
		h.hear(coldstart.NodeFull{Node: n.ID})
	case policy.ConnectFailed:
		h.hear(coldstart.ConnectFailed{Node: n.ID})
	}
	h.step(ev)
}

func (h *host) step(ev policy.Event) {
	for _, a := range h.s.Step(h.w.now, []policy.Event{ev}, nil) {
		switch a.Kind {
		case policy.SetTimer:
			h.later(math.Max(a.Wait, 1), func() { h.step(policy.Event{Kind: policy.TimerFired, Tag: a.Tag}) })
		case policy.Reject:
			wait := a.Wait
			if r := h.w.reqs[a.ID]; r != nil {
				if worded, longer := h.hear(coldstart.RequestRejected{Node: h.w.nodes[r.req.Shard].ID}); worded {
					wait = math.Max(wait, float64(longer)/float64(time.Millisecond))
				}
			}
			h.w.final(a.ID, policy.NodeFull, wait)
		case policy.Fail:
			h.w.final(a.ID, policy.Errored, 0)
		case policy.Send:
			h.w.send(h, a)
		case policy.Cancel: // the node works on
			if r := h.w.reqs[a.ID]; r != nil {
				h.later(1, func() { r.tries[a.Attempt].end(policy.Cancelled) })
			}
		}
	}
}

// link takes a connection to a node for so many requests; without a free one it opens another.
func (h *host) link(n *node, out int) {
	c := h.conns[n.Shard]
	if c == nil {
		c = &conns{}
		h.conns[n.Shard] = c
	}
	if c.out += out; c.have < max(c.out, 1) {
		c.have++
		h.w.count(&n.opened, &h.w.res.Connects)
	}
}

// ask gives the list's clock an event and makes the calls that it says, until one is answered.
func (h *host) ask(e watchtimer.Event) {
	if h.clock == nil {
		return
	}
	now := span(h.w.now - h.born)
	if e.Kind == watchtimer.TimerFired {
		now = max(now, h.clockAt)
	}
	h.clockAt = -1
	for _, a := range h.clock.Step(now, e) {
		if a.Kind == watchtimer.OpenCall {
			h.callAs(a.Call)
		}
	}
	at := h.clock.NextTimer()
	if at == h.clockAt || at > time.Hour {
		return
	}
	h.clockAt = at
	life := h.life
	h.later(max(0, float64(at)/float64(time.Millisecond)-(h.w.now-h.born)), func() {
		if h.life == life && h.clockAt == at {
			h.ask(watchtimer.Event{Kind: watchtimer.TimerFired}) // its time is the clock's own: no rounding holds it up
		}
	})
}

// call asks the list's service.
func (h *host) call() { h.callAs(0) }

// callAs does so as one of the clock's calls; 0: as none.
func (h *host) callAs(call int) {
	life := h.life
	h.w.list.ask(func(ok bool) {
		if h.life != life {
			return
		}
		switch {
		case ok:
			h.clock = nil
			h.listed()
		case h.begin != nil:
			h.hear(coldstart.ListRequestFailed{})
		default:
			h.step(policy.Event{Kind: policy.ListFailed})
			h.ask(watchtimer.Event{Kind: watchtimer.CallEnded, Call: call})
		}
	})
}

// listed takes a full list.
func (h *host) listed() {
	h.held, h.watch = h.held[:0:0], true
	for _, n := range h.w.nodes {
		h.held = append(h.held, n.Node)
	}
	h.step(policy.Event{Kind: policy.ListReceived, Nodes: h.held})
	h.hear(coldstart.ListReceived{Nodes: h.nodes(h.held)})
}

// change is the list's word of one node, some time later.
func (h *host) change(n policy.Node) {
	if !h.watch {
		return
	}
	h.later(50+250*h.w.rng.Float64(), func() {
		h.held = slices.Clone(h.held)
		for i := range h.held {
			if h.held[i].ID == n.ID && n.StartTime > h.held[i].StartTime {
				h.held[i] = n
			}
		}
		h.step(policy.Event{Kind: policy.ListChanged, Nodes: []policy.Node{n}})
	})
}
