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

// fakeCore replaces the core: it handles one message at a time, and calls the starter's limiter for each.
type fakeCore struct {
	starter        *starter
	mailbox        chan string
	quit           chan struct{}
	handled        []string
	listQueued     bool // the received list was posted to the mailbox
	starterStopped bool // the starter's stop has returned
}

func (c *fakeCore) post(message string) {
	if sync.SendOr(c.mailbox, message, c.quit) && message == "list" {
		c.listQueued = true
	}
}

func (c *fakeCore) UpdateList(n core.ListUpdate) {
	message := "list"
	if len(n.Nodes) > 0 && n.Nodes[0].Zone == "cached" {
		message = "cached"
	}
	c.post(message)
}
func (c *fakeCore) Restore(policy.Learned)          { c.post("restore") }
func (c *fakeCore) Preconnect(string)               { c.post("connect") }
func (c *fakeCore) CheckHealth(string)              { c.post("check") }
func (c *fakeCore) Learned() (policy.Learned, bool) { return policy.Learned{}, false }

func (c *fakeCore) run() {
	for {
		message, _, received := sync.Either(c.mailbox, c.quit)
		if !received {
			return
		}
		c.handled = append(c.handled, message)
		c.starter.Admit("s")
		c.starter.AttemptEnded("s", policy.OK)
	}
}

func (c *fakeCore) indexOf(message string) int {
	for i, x := range c.handled {
		if x == message {
			return i
		}
	}
	return -1
}

// The starter runs while the core's actor calls it, the list arrives, a timer fires, and the starter is stopped.
//   - There is no deadlock between the actor and the starter.
//   - The cached list never replaces the received one, which the core has received when updateList returns.
//   - A stopped starter makes no decisions, and leaves no message and no goroutine behind.
//   - Readiness is not reported before the list was received or coldstart's ReadyDeadline has passed, is reported when
//     updateList returns, and is never withdrawn.
func TestInterleaveStarter(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	conf := &config.Config{Name: "n0", Settings: policy.Settings{Schedulers: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 9, MaxRetryAfter: 1000,
		Classes: []policy.Class{{Name: "read", LatencyObjective: 30000, Deadline: 60000, PriorityWeight: 1}}, Plans: []policy.Plan{{Name: "basic", ReservedRate: 1000}}}}
	node := core.Node{Node: policy.Node{ID: "s", StartTime: 5, Weight: 1}}
	cachedNode := node
	cachedNode.Zone = "cached"
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		st, err := newStarter(&config.SiteStart{Enabled: true, ListCallsPerSecond: 40}, conf, []core.Node{cachedNode}, log)
		if err != nil {
			t.Fatal(err)
		}
		c := &fakeCore{starter: st, mailbox: make(chan string), quit: make(chan struct{})}
		st.core = c
		elapsed, wasReady := time.Duration(0), false
		st.now = func() time.Duration { return elapsed }
		st.wakeAt = func(time.Duration) {
			if c.starterStopped {
				il.Fail("a timer was set after the stop")
			}
		}
		return il.Program{
			Threads: []il.Thread{
				{Name: "actor", Run: c.run},
				{Name: "timer", Run: func() {
					sync.Step("time", "passes")
					elapsed = 10 * time.Second
					st.step(coldstart.TimerFired{})
				}},
				{Name: "main", Run: func() {
					st.step(coldstart.Started{CachedList: st.machineNodes(st.cachedNodes)})
					sync.Go(st.writeSnapshots)
					st.updateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{node}})
					if !c.listQueued {
						il.Fail("the core has not received the list")
					}
					if !st.isReady(false) {
						il.Fail("the list was received, and readiness is not reported")
					}
					st.stop()
					c.starterStopped = true
					sync.Close(c.quit)
				}},
			},
			Invariant: func() error {
				if cachedIndex, listIndex := c.indexOf("cached"), c.indexOf("list"); listIndex >= 0 && cachedIndex > listIndex {
					return fmt.Errorf("the core handled %v", c.handled)
				}
				switch ready := st.isReady(false); {
				case wasReady && !ready:
					return errors.New("readiness was withdrawn")
				case ready && st.machine.Phase() < coldstart.ListKnown && elapsed == 0:
					return errors.New("ready before the list was received")
				case ready:
					wasReady = true
				}
				return nil
			},
			Check: func() error {
				if st.sending || len(st.queue) > 0 {
					return fmt.Errorf("%d messages were not sent", len(st.queue))
				}
				return nil
			},
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "starter.go", Old: "	s.mu.Unlock()\n	sync.Recv(delivered)\n", New: "	sync.Recv(delivered)\n	s.mu.Unlock()\n", Want: "deadlock: "},
		mutant.Mutant{File: "starter.go", Old: "	s.enqueue(func(c startCore) { c.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: nodes}) })",
			New: "	sync.Go(func() { s.core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: nodes}) })", Want: "the core handled "},
		mutant.Mutant{File: "starter.go", Old: "		message := s.queue[0]\n		s.queue = s.queue[1:]\n		s.mu.Unlock()\n",
			New: "		s.mu.Unlock()\n		sync.Writes(&s.queue)\n		message := s.queue[0]\n		s.queue = s.queue[1:]\n", Want: "data race: "},
		mutant.Mutant{File: "starter.go", Old: "	if s.stopped {\n		return 0, false\n	}\n", New: "", Want: "a timer was set after the stop"},
		mutant.Mutant{File: "starter.go", Old: "			s.reportedReady.Store(true)", New: "			sync.Go(func() { s.reportedReady.Store(true) })", Want: "the list was received, and readiness is not reported"},
		mutant.Mutant{File: "starter.go", Old: "	s.finished.Store(s.machine.Phase() == coldstart.Serving)", New: "	s.reportedReady.Store(true)\n	s.finished.Store(s.machine.Phase() == coldstart.Serving)",
			Want: "ready before the list was received"},
	)
}
