package main

import (
	"context"
	"errors"
	"io/fs"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/choice"
	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
)

const keepEvery = 5 * time.Second // a snapshot is written, and at the stop

// starter drives the start of this process; it has no rule of its own. nil: the section is off.
type starter struct {
	core  *core.Core
	log   logrus.FieldLogger
	path  string
	held  []core.Node
	began time.Time
	ask   chan struct{} // closed at the first AskList
	ended chan struct{}
	over  atomic.Bool
	said  atomic.Bool // ready

	order sync.Mutex // of news on their way to the core; its actor never takes it
	heard bool       // the list's first word went there

	mu      sync.Mutex // of all below
	s       *coldstart.Start
	learned choice.Learned
	since   map[string]float64 // as the list gives it
	guess   float64            // the start that held nodes were given
	timer   *time.Timer
	asked   bool
}

func newStarter(set *config.SiteStart, conf *config.Config, held []core.Node, log logrus.FieldLogger) (*starter, error) {
	if set == nil || !set.On {
		return nil, nil
	}
	span := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	c := conf.Settings
	s, err := coldstart.New(coldstart.Settings{Hosts: c.Hosts, Name: conf.Name, ListPriced: set.ListPriced, ListMost: set.ListMost,
		Told: span(c.AskWithin), ColdUnits: c.ColdUnits, TipSpan: span(c.TipSpan), ColdSpan: span(c.ColdSpan), Aim: tightest(c),
		RetryMost: span(c.MaxHoldOff), Connects: set.Ahead, MayProbe: c.MayProbe})
	if err != nil {
		return nil, err
	}
	return &starter{log: log, path: set.Snapshot, held: held, began: time.Now(), ask: make(chan struct{}), ended: make(chan struct{}),
		s: s, since: map[string]float64{}}, nil
}

// settings are the decisions' for a start beside the whole fleet; as given, without the section.
func (b *starter) settings(set choice.Settings) choice.Settings {
	if b != nil {
		set.ColdUnits *= coldstart.ColdShare
	}
	return set
}

// gate is what core asks; nil, without the section.
func (b *starter) gate() core.Starting {
	if b == nil {
		return nil
	}
	return b
}

// run begins; false: the section is off.
func (b *starter) run(co *core.Core) bool {
	if b == nil {
		return false
	}
	b.core = co
	co.List(core.News{Kind: choice.ListStale}) // the decisions' clock ticks from here
	begun := coldstart.Begun{HeldList: b.nodes(b.held)}
	if b.path != "" {
		s, err := snapshot.Read(b.path, time.Now())
		switch {
		case err == nil:
			for _, n := range s.Nodes {
				begun.Snapshot = append(begun.Snapshot, coldstart.Node{ID: n.ID, Since: n.Since})
				b.learned.Nodes = append(b.learned.Nodes, choice.LearnedNode{ID: n.ID, Since: n.Since, Window: n.Window, Usual: n.Usual, Best: n.Best, Failing: n.Failing})
			}
			for _, k := range s.Classes {
				b.learned.Classes = append(b.learned.Classes, choice.LearnedClass{Name: k.Name, Weight: k.Weight, Slope: k.Slope, Delay: k.Delay})
			}
		case !errors.Is(err, fs.ErrNotExist):
			b.log.WithFields(operr.Fields(err)).Warn("starting without a snapshot")
		}
	}
	b.step(begun)
	go b.keep()
	return true
}

func (b *starter) nodes(list []core.Node) (ns []coldstart.Node) {
	for _, n := range list {
		x := coldstart.Node{ID: n.ID, Since: n.Since}
		if n.Since > 0 {
			x.At = time.UnixMilli(int64(n.Since)).Sub(b.began)
		}
		ns = append(ns, x)
	}
	return ns
}

// step gives the start an event and does what it says; refused is for Asked and Turned. Messages to
// the core go out from a goroutine of their own: the core's actor calls in here too.
func (b *starter) step(e coldstart.Event) (retry time.Duration, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recall choice.Learned
	var ahead, probes []string
	for _, a := range b.s.Step(time.Since(b.began), e) {
		switch a := a.(type) {
		case coldstart.AskList:
			if !b.asked {
				b.asked = true
				close(b.ask)
			}
		case coldstart.UseHeld:
			b.guess = float64(time.Now().UnixMilli())
			guessed := slices.Clone(b.held)
			for i := range guessed {
				guessed[i].Since = b.guess
			}
			go b.useHeld(guessed)
		case coldstart.Warm:
			recall.Nodes = append(recall.Nodes, choice.LearnedNode{ID: a.Node, Since: b.since[a.Node], Guessed: b.guess})
		case coldstart.Recall:
			for _, n := range b.learned.Nodes {
				if n.ID == a.Node {
					recall.Nodes = append(recall.Nodes, n)
				}
			}
		case coldstart.Connect:
			ahead = append(ahead, a.Node)
		case coldstart.Probe:
			probes = append(probes, a.Node)
		case coldstart.Ready:
			b.said.Store(true)
		case coldstart.Refuse:
			retry, refused = a.RetryAfter, true
		case coldstart.WakeAt:
			if b.timer != nil {
				b.timer.Stop()
			}
			b.timer = time.AfterFunc(time.Until(b.began.Add(a.At)), func() { b.step(coldstart.Tick{}) })
		}
	}
	b.over.Store(b.s.Phase() == coldstart.Serving)
	if len(recall.Nodes) > 0 {
		recall.Classes = b.learned.Classes
		go b.core.Recall(recall)
	}
	if len(ahead)+len(probes) > 0 {
		go func() {
			for _, id := range ahead {
				b.core.Ahead(id)
			}
			for _, id := range probes {
				b.core.Probe(id)
			}
		}()
	}
	return retry, refused
}

// Over says that the start has no say any more.
func (b *starter) Over() bool { return b.over.Load() }

// Admit is core.Starting's.
func (b *starter) Admit(node string) (time.Duration, bool) {
	return b.step(coldstart.Asked{Node: node})
}

// Turned is core.Starting's.
func (b *starter) Turned(node string, wait time.Duration) time.Duration {
	longer, _ := b.step(coldstart.Turned{Node: node})
	return max(wait, longer)
}

// Ended is core.Starting's.
func (b *starter) Ended(node string, status choice.Status) {
	switch status {
	case choice.OK:
		b.step(coldstart.Answered{Node: node})
	case choice.Full:
		b.step(coldstart.NodeFull{Node: node})
	case choice.NoConn:
		b.step(coldstart.ConnectSlow{Node: node})
	}
}

// useHeld gives the core the held list, unless the list's own word went there first.
func (b *starter) useHeld(guessed []core.Node) {
	b.order.Lock()
	defer b.order.Unlock()
	if !b.heard {
		b.core.List(core.News{Kind: choice.ListChange, Nodes: guessed})
	}
}

// list takes the list's word to the core; false: the section is off. A first word that is but what
// changed counts with what was held: the core has that as guessed, or not at all.
func (b *starter) list(n core.News) bool {
	if b == nil {
		return false
	}
	b.order.Lock()
	defer b.order.Unlock()
	if b.heard || n.Kind != choice.ListFull && n.Kind != choice.ListChange {
		b.core.List(n)
		return true
	}
	b.heard = true
	if n.Kind == choice.ListChange {
		n.Nodes = slices.Clone(n.Nodes)
		for _, x := range b.held {
			if !slices.ContainsFunc(n.Nodes, func(y core.Node) bool { return y.ID == x.ID }) {
				n.Nodes = append(n.Nodes, x)
			}
		}
	}
	b.core.List(n)
	here := slices.DeleteFunc(slices.Clone(n.Nodes), func(x core.Node) bool { return x.State == choice.NodeGone })
	b.mu.Lock()
	for _, x := range here {
		b.since[x.ID] = x.Since
	}
	b.mu.Unlock()
	b.step(coldstart.ListSpoke{Nodes: b.nodes(here)})
	return true
}

// watch runs the list's watch from the first call on. Further calls are the watch's own.
func (b *starter) watch(ctx context.Context, run func(context.Context)) {
	if b != nil {
		select {
		case <-b.ask:
		case <-ctx.Done():
			return
		}
	}
	run(ctx)
}

// ready is what the start says, or, without it, what is said today.
func (b *starter) ready(today bool) bool {
	if b == nil {
		return today
	}
	return b.said.Load()
}

// keep writes the snapshot from time to time.
func (b *starter) keep() {
	tick := time.NewTicker(keepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if b.Over() { // before, it knows less than the file
				b.write()
			}
		case <-b.ended:
			return
		}
	}
}

func (b *starter) write() {
	if b.path == "" {
		return
	}
	l, ok := b.core.Learned()
	if !ok || len(l.Nodes) == 0 {
		return
	}
	s := &snapshot.Snapshot{Made: time.Now()}
	for _, n := range l.Nodes {
		s.Nodes = append(s.Nodes, snapshot.NodeState{ID: n.ID, Since: n.Since, Window: n.Window, Usual: n.Usual, Best: n.Best, Failing: n.Failing})
	}
	for _, k := range l.Classes {
		s.Classes = append(s.Classes, snapshot.ClassState{Name: k.Name, Weight: k.Weight, Slope: k.Slope, Delay: k.Delay})
	}
	if err := snapshot.Write(b.path, s); err != nil {
		b.log.WithFields(operr.Fields(err)).Warn("no snapshot was written")
	}
}

// stop ends it, with a last snapshot. The core must still run.
func (b *starter) stop() {
	if b == nil {
		return
	}
	close(b.ended)
	if b.Over() {
		b.write()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil {
		b.timer.Stop()
	}
}
