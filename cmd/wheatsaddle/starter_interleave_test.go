//go:build interleave

package main

import (
	"errors"
	"fmt"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/policy"
)

// actor stands for the core: it handles one message at a time, and asks the starter about each node.
type actor struct {
	b       *starter
	mail    chan string
	quit    chan struct{}
	took    []string
	listed  bool // it was given the list's word
	stopped bool // the start's stop has come back
}

func (c *actor) put(what string) {
	if sync.SendOr(c.mail, what, c.quit) && what == "list" {
		c.listed = true
	}
}

func (c *actor) UpdateList(n core.ListUpdate) {
	what := "list"
	if len(n.Nodes) > 0 && n.Nodes[0].Zone == "held" {
		what = "held"
	}
	c.put(what)
}
func (c *actor) Restore(policy.Learned)          { c.put("recall") }
func (c *actor) Preconnect(string)               { c.put("ahead") }
func (c *actor) CheckHealth(string)              { c.put("probe") }
func (c *actor) Learned() (policy.Learned, bool) { return policy.Learned{}, false }

func (c *actor) run() {
	for {
		what, _, came := sync.Either(c.mail, c.quit)
		if !came {
			return
		}
		c.took = append(c.took, what)
		c.b.Admit("s")
		c.b.AttemptEnded("s", policy.OK)
	}
}

func (c *actor) at(what string) int {
	for i, x := range c.took {
		if x == what {
			return i
		}
	}
	return -1
}

// The starter begins, the core's actor calls it, the list arrives, a timer fires, and the starter is stopped. The actor never
// waits for one that waits for it; the cached list never replaces the received one, which the core has when updateList
// returns; a stopped starter decides nothing, and leaves no message and no goroutine. Readiness is not reported before the
// phase allows it (the list was received, or ReadyMost has passed), is reported once when the list is there, and stays.
func TestInterleaveStart(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	conf := &config.Config{Name: "n0", Settings: policy.Settings{Schedulers: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 9, MaxRetryAfter: 1000,
		Classes: []policy.Class{{Name: "read", LatencyObjective: 30000, Deadline: 60000, PriorityWeight: 1}}, Plans: []policy.Plan{{Name: "basic", ReservedRate: 1000}}}}
	node := core.Node{Node: policy.Node{ID: "s", StartTime: 5, Weight: 1}}
	held := node
	held.Zone = "held"
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.World {
		b, err := newStarter(&config.SiteStart{Enabled: true, ListCallsPerSecond: 40}, conf, []core.Node{held}, log)
		if err != nil {
			t.Fatal(err)
		}
		c := &actor{b: b, mail: make(chan string), quit: make(chan struct{})}
		b.core = c
		passed, said := time.Duration(0), false
		b.now = func() time.Duration { return passed }
		b.wakeAt = func(time.Duration) {
			if c.stopped {
				il.Fail("a timer after the stop")
			}
		}
		return il.World{
			Threads: []il.Thread{
				{Name: "actor", Run: c.run},
				{Name: "timer", Run: func() {
					sync.Point("time", "passes")
					passed = 10 * time.Second
					b.step(coldstart.TimerFired{})
				}},
				{Name: "main", Run: func() {
					b.step(coldstart.Started{CachedList: b.machineNodes(b.cachedNodes)})
					sync.Go(b.writeSnapshots)
					b.updateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{node}})
					if !c.listed {
						il.Fail("the list's word is not with the core")
					}
					if !b.isReady(false) {
						il.Fail("the list is back, and ready is not said")
					}
					b.stop()
					c.stopped = true
					sync.Close(c.quit)
				}},
			},
			Always: func() error {
				if h, l := c.at("held"), c.at("list"); l >= 0 && h > l {
					return fmt.Errorf("the core took %v", c.took)
				}
				switch ready := b.isReady(false); {
				case said && !ready:
					return errors.New("ready was taken back")
				case ready && b.machine.Phase() < coldstart.ListKnown && passed == 0:
					return errors.New("ready before the list was received")
				case ready:
					said = true
				}
				return nil
			},
			Check: func() error {
				if b.sending || len(b.queue) > 0 {
					return fmt.Errorf("%d are not sent", len(b.queue))
				}
				return nil
			},
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "starter.go", Old: "	s.mu.Unlock()\n	sync.Recv(delivered)\n", New: "	sync.Recv(delivered)\n	s.mu.Unlock()\n", Want: "deadlock: "},
		mutant.Mutant{File: "starter.go", Old: "	s.enqueue(func(c startCore) { c.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: nodes}) })",
			New: "	sync.Go(func() { s.core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: nodes}) })", Want: "the core took "},
		mutant.Mutant{File: "starter.go", Old: "		message := s.queue[0]\n		s.queue = s.queue[1:]\n		s.mu.Unlock()\n",
			New: "		s.mu.Unlock()\n		sync.Writes(&s.queue)\n		message := s.queue[0]\n		s.queue = s.queue[1:]\n", Want: "data race: "},
		mutant.Mutant{File: "starter.go", Old: "	if s.stopped {\n		return 0, false\n	}\n", New: "", Want: "a timer after the stop"},
		mutant.Mutant{File: "starter.go", Old: "			s.reportedReady.Store(true)", New: "			sync.Go(func() { s.reportedReady.Store(true) })", Want: "the list is back, and ready is not said"},
		mutant.Mutant{File: "starter.go", Old: "	s.finished.Store(s.machine.Phase() == coldstart.Serving)", New: "	s.reportedReady.Store(true)\n	s.finished.Store(s.machine.Phase() == coldstart.Serving)",
			Want: "ready before the list was received"},
	)
}
