//go:build interleave

package gossip

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/memberlist"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/history"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/steps"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/nodestats"
)

// directNetwork is a fake of memberlist that delivers each message at once.
type directNetwork struct {
	members
	nodes    []*memberlist.Node
	clusters map[string]*Cluster
}

func (c *directNetwork) Members() []*memberlist.Node { return c.nodes }
func (c *directNetwork) NumMembers() int             { return len(c.nodes) }
func (c *directNetwork) SendBestEffort(n *memberlist.Node, b []byte) error {
	(*delegate)(c.clusters[n.Name]).NotifyMsg(b)
	return nil
}
func (c *directNetwork) SendReliable(n *memberlist.Node, b []byte) error {
	return c.SendBestEffort(n, b)
}

// joinClusters returns processes that are members of each other. Their buffers have a capacity of size outcomes.
func joinClusters(size int, names ...string) map[string]*Cluster {
	network := &directNetwork{clusters: map[string]*Cluster{}}
	for _, name := range names {
		state, err := nodestats.New(nodestats.Defaults(), name, 1)
		if err != nil {
			panic(err)
		}
		cluster := newCluster(Options{Name: name, Burst: 8, Since: func() time.Duration { return time.Second }}, state, size)
		cluster.inbox, cluster.members = make(chan []byte, 8), network
		network.clusters[name], network.nodes = cluster, append(network.nodes, &memberlist.Node{Name: name})
	}
	return network.clusters
}

const units, millis = 1, 2

// observeOne records one outcome of the node s.
func (c *Cluster) observeOne() {
	c.Observe(nodestats.Key{Node: "s", StartTime: 1, Class: "read"}, units, millis, nodestats.Served)
}

// countOutcomes returns the number of outcomes of a node in the views, or an error if their sums are inconsistent.
func countOutcomes(views []nodestats.View, node string) (n int, err error) {
	for _, v := range views {
		if v.Node != node || v.Class == "" {
			continue
		}
		n = int(math.Round(v.Sums.N))
		for _, difference := range []float64{v.Sums.N - float64(n), v.Sums.X - v.Sums.N*units, v.Sums.Y - v.Sums.N*millis, v.Sums.YY - v.Sums.N*millis*millis} {
			if math.Abs(difference) > 1e-3 {
				return n, fmt.Errorf("inconsistent sums: %+v", v.Sums)
			}
		}
	}
	return n, nil
}

// viewedOutcomes returns the number of outcomes of a node in the process's views, whose sums must be consistent.
func (c *Cluster) viewedOutcomes(node string) int {
	n, err := countOutcomes(c.Views(), node)
	if err != nil {
		il.Fail("%v", err)
	}
	return n
}

// recordModel is the sequential model of recording and reading.
var recordModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		if input == "record" {
			return true, state.(int) + 1
		}
		return output == state, state
	},
}

// cellsMessage returns a message in which another process reports n outcomes of a node.
func cellsMessage(node string, n int) []byte {
	state, _ := nodestats.New(nodestats.Defaults(), "other", 1)
	empty, _ := nodestats.New(nodestats.Defaults(), "none", 1)
	for range n {
		state.Recorder(0, nodestats.Key{Node: node, StartTime: 1, Class: "read"}).Record(0, units, millis, nodestats.Served)
	}
	messages, err := state.Diff(0, empty.Digest(0))
	if err != nil || len(messages) != 1 {
		panic(fmt.Sprintf("%d messages, %v", len(messages), err))
	}
	return append([]byte{messageCells}, messages[0]...)
}

// The data path records outcomes while a reader requests the views, another process sends the same message twice, and the
// process has its round. Each recorded outcome is in the views at once and exactly once, with consistent sums. Outcomes
// that exceed the buffer are counted.
func TestInterleaveObserve(t *testing.T) {
	message := cellsMessage("remote", 5)
	for _, scenario := range []struct {
		name    string
		size    int
		mutants []mutant.Mutant
	}{
		{"buffer not full", 8, []mutant.Mutant{
			{File: "cluster.go", Old: "	c.mu.Lock()\n	defer c.mu.Unlock()\n	c.drain()\n	f(", New: "	c.drain()\n	f(", Want: "data race: "},
			{File: "buffer.go", Old: "	b.Lock()\n	sync.Writes(&b.pending)\n	drained := b.pending\n	b.pending, b.spare = b.spare[:0], drained\n	b.Unlock()\n",
				New: "	sync.Writes(&b.pending)\n	drained := b.pending\n	b.pending, b.spare = b.spare[:0], drained\n", Want: "data race: "},
			{File: "buffer.go", Old: "	b.pending, b.spare = b.spare[:0], drained\n", New: "	b.spare = drained\n", Want: "3 recorded, "},
			{File: "buffer.go", Old: "	b.pending, b.spare = b.spare[:0], drained\n", New: "	b.Unlock()\n	b.Lock()\n	b.pending, b.spare = b.spare[:0], drained\n",
				Want: "3 recorded, "},
			{File: "cluster.go", Old: "	c.drain()\n	f(c.options.Since(), c.state)", New: "	f(c.options.Since(), c.state)\n	c.drain()", Want: "not linearizable"}}},
		{"buffer full", 2, []mutant.Mutant{
			{File: "rounds.go", Old: "			c.mu.Lock()\n			c.drain()\n			c.mu.Unlock()", New: "			c.drain()", Want: "data race: "},
			{File: "buffer.go", Old: "		b.dropped++\n", New: "", Want: "3 recorded, "}}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
				p := joinClusters(scenario.size, "here")["here"]
				var operations history.History
				ctx, stop := steps.RootContext(context.Background())
				tick := make(chan time.Time, 1)
				tick <- time.Time{}
				running := 3
				stopAfterLast := func(f func()) func() {
					return func() {
						f()
						if running--; running == 0 {
							stop()
						}
					}
				}
				return il.Program{
					Threads: []il.Thread{
						{Name: "process", Run: func() { p.loop(ctx, tick) }},
						{Name: "record", Run: stopAfterLast(func() {
							for range 3 {
								operations.Do(1, "record", func() any { p.observeOne(); return nil })
							}
						})},
						{Name: "read", Run: stopAfterLast(func() {
							operations.Do(2, "read", func() any { return p.viewedOutcomes("s") })
							if n := p.viewedOutcomes("remote"); n != 0 && n != 5 {
								il.Fail("%d of 5 outcomes of the other process", n)
							}
						})},
						{Name: "other", Run: stopAfterLast(func() {
							(*delegate)(p).NotifyMsg(message)
							(*delegate)(p).NotifyMsg(message)
						})},
					},
					Check: func() error {
						for len(p.inbox) > 0 {
							p.handle(<-p.inbox)
						}
						p.Views()
						n, remote, c := p.viewedOutcomes("s"), p.viewedOutcomes("remote"), p.Counts()
						if c.Outcomes+c.DroppedOutcomes != 3 || int64(n) != c.Outcomes || scenario.size > 3 && c.DroppedOutcomes > 0 || remote != 5 {
							return fmt.Errorf("3 recorded, %d in the views, %d dropped; outcomes of the other process: %d of 5", n, c.DroppedOutcomes, remote)
						}
						if c.DroppedOutcomes > 0 {
							return nil
						}
						return operations.Check(recordModel)
					},
				}
			})
			mutant.AssertDetected(t, scenario.mutants...)
		})
	}
}

// Recording does not wait while another goroutine uses the state.
func TestInterleaveObserveNeverWaits(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		p, recorded := joinClusters(2, "here")["here"], make(chan struct{})
		return il.Program{
			Threads: []il.Thread{
				{Name: "read", Run: func() {
					p.WithState(func(time.Duration, *nodestats.State) { sync.Recv(recorded) })
				}},
				{Name: "record", Run: func() { p.observeOne(); p.observeOne(); sync.Close(recorded) }},
				{Name: "other", Run: func() { p.observeOne() }},
			},
			Check: func() error {
				if c := p.Counts(); c.Outcomes+c.DroppedOutcomes != 3 {
					return fmt.Errorf("%d outcomes recorded and %d dropped, want 3 in all", c.Outcomes, c.DroppedOutcomes)
				}
				return nil
			},
		}
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "buffer.go", Old: "	b := &c.buffer\n	b.Lock()\n	sync.Writes(&b.pending)\n	n, half",
		New: "	c.mu.Lock()\n	defer c.mu.Unlock()\n	b := &c.buffer\n	b.Lock()\n	sync.Writes(&b.pending)\n	n, half", Want: "deadlock: "})
}

// Two processes record outcomes and exchange messages, in any order. After some further rounds, both have each outcome
// exactly once.
func TestInterleaveRounds(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 2}, func() il.Program {
		clusters := joinClusters(8, "a", "b")
		a, b := clusters["a"], clusters["b"]
		handleMessages := func(p *Cluster, limit int) {
			for range limit {
				if m, _, ok := sync.TryRecv(p.inbox); ok {
					p.handle(m)
				}
			}
		}
		return il.Program{
			Threads: []il.Thread{
				{Name: "record", Run: func() { a.observeOne(); b.observeOne(); a.observeOne() }},
				{Name: "a", Run: func() { a.round(); handleMessages(a, 2) }},
				{Name: "b", Run: func() { handleMessages(b, 2) }},
				{Name: "read", Run: func() {
					if n := b.viewedOutcomes("s"); n > 3 {
						il.Fail("%d outcomes of 3 in the views", n)
					}
				}},
			},
			Check: func() error {
				for range 3 {
					for _, p := range []*Cluster{a, b} {
						p.round()
						for len(a.inbox)+len(b.inbox) > 0 {
							handleMessages(a, 1)
							handleMessages(b, 1)
						}
					}
				}
				if n, m := a.viewedOutcomes("s"), b.viewedOutcomes("s"); n != 3 || m != 3 {
					return fmt.Errorf("of 3 outcomes a has %d and b %d", n, m)
				}
				return nil
			},
		}
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "rounds.go", Old: "	err := c.state.Merge(c.options.Since(), message)\n	c.mu.Unlock()\n",
		New: "	c.mu.Unlock()\n	sync.Writes(c.state)\n	err := c.state.Merge(c.options.Since(), message)\n", Want: "data race: "})
}
