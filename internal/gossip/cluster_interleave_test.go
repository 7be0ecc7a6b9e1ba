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

// circle stands for memberlist: a message arrives as soon as it is sent.
type circle struct {
	members
	all  []*memberlist.Node
	each map[string]*Cluster
}

func (c *circle) Members() []*memberlist.Node { return c.all }
func (c *circle) NumMembers() int             { return len(c.all) }
func (c *circle) SendBestEffort(n *memberlist.Node, b []byte) error {
	(*delegate)(c.each[n.Name]).NotifyMsg(b)
	return nil
}
func (c *circle) SendReliable(n *memberlist.Node, b []byte) error { return c.SendBestEffort(n, b) }

// join returns processes that are members of each other; a buffer holds size outcomes.
func join(size int, names ...string) map[string]*Cluster {
	c := &circle{each: map[string]*Cluster{}}
	for _, name := range names {
		state, err := nodestats.New(nodestats.Defaults(), name, 1)
		if err != nil {
			panic(err)
		}
		p := newCluster(Options{Name: name, Burst: 8, Since: func() time.Duration { return time.Second }}, state, size)
		p.inbox, p.members = make(chan []byte, 8), c
		c.each[name], c.all = p, append(c.all, &memberlist.Node{Name: name})
	}
	return c.each
}

const units, millis = 1, 2

func (c *Cluster) one() {
	c.Observe(nodestats.Key{Node: "s", StartTime: 1, Class: "read"}, units, millis, nodestats.Served)
}

// seen returns how many outcomes of a node are in the views; their sums must be consistent.
func seen(views []nodestats.View, node string) (n int, err error) {
	for _, v := range views {
		if v.Node != node || v.Class == "" {
			continue
		}
		n = int(math.Round(v.Sums.N))
		for _, d := range []float64{v.Sums.N - float64(n), v.Sums.X - v.Sums.N*units, v.Sums.Y - v.Sums.N*millis, v.Sums.YY - v.Sums.N*millis*millis} {
			if math.Abs(d) > 1e-3 {
				return n, fmt.Errorf("torn sums: %+v", v.Sums)
			}
		}
	}
	return n, nil
}

func (c *Cluster) look(node string) int {
	n, err := seen(c.Views(), node)
	if err != nil {
		il.Fail("%v", err)
	}
	return n
}

// counter is the sequential model of recording and reading.
var counter = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		if input == "record" {
			return true, state.(int) + 1
		}
		return output == state, state
	},
}

// cellsOf returns one message of cells by which another process reports n outcomes of a node.
func cellsOf(node string, n int) []byte {
	state, _ := nodestats.New(nodestats.Defaults(), "other", 1)
	none, _ := nodestats.New(nodestats.Defaults(), "none", 1)
	for range n {
		state.Recorder(0, nodestats.Key{Node: node, StartTime: 1, Class: "read"}).Record(0, units, millis, nodestats.Served)
	}
	list, err := state.Diff(0, none.Digest(0))
	if err != nil || len(list) != 1 {
		panic(fmt.Sprintf("%d messages, %v", len(list), err))
	}
	return append([]byte{messageCells}, list[0]...)
}

// The data path records, a reader asks for the views, another process sends the same message twice, and the process has its
// round: outcomes are in the views as soon as they are recorded, once, with consistent sums; what exceeds the buffer is
// counted.
func TestInterleaveObserve(t *testing.T) {
	message := cellsOf("other's", 5)
	for _, x := range []struct {
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
		t.Run(x.name, func(t *testing.T) {
			il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.World {
				p := join(x.size, "here")["here"]
				var h history.History
				ctx, stop := steps.Root(context.Background())
				tick := make(chan time.Time, 1)
				tick <- time.Time{}
				left := 3
				ends := func(f func()) func() {
					return func() {
						f()
						if left--; left == 0 {
							stop()
						}
					}
				}
				return il.World{
					Threads: []il.Thread{
						{Name: "process", Run: func() { p.loop(ctx, tick) }},
						{Name: "record", Run: ends(func() {
							for range 3 {
								h.Do(1, "record", func() any { p.one(); return nil })
							}
						})},
						{Name: "read", Run: ends(func() {
							h.Do(2, "read", func() any { return p.look("s") })
							if n := p.look("other's"); n != 0 && n != 5 {
								il.Fail("%d of another's 5", n)
							}
						})},
						{Name: "other", Run: ends(func() {
							(*delegate)(p).NotifyMsg(message)
							(*delegate)(p).NotifyMsg(message)
						})},
					},
					Check: func() error {
						for len(p.inbox) > 0 {
							p.handle(<-p.inbox)
						}
						p.Views()
						n, o, c := p.look("s"), p.look("other's"), p.Counts()
						if c.Outcomes+c.DroppedOutcomes != 3 || int64(n) != c.Outcomes || x.size > 3 && c.DroppedOutcomes > 0 || o != 5 {
							return fmt.Errorf("3 recorded, %d in the views, %d dropped; of another's 5 %d", n, c.DroppedOutcomes, o)
						}
						if c.DroppedOutcomes > 0 {
							return nil
						}
						return h.Check(counter)
					},
				}
			})
			mutant.Found(t, x.mutants...)
		})
	}
}

// Recording continues while another goroutine uses the state, for as long as that takes.
func TestInterleaveObserveNeverWaits(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		p, recorded := join(2, "here")["here"], make(chan struct{})
		return il.World{
			Threads: []il.Thread{
				{Name: "read", Run: func() {
					p.WithState(func(time.Duration, *nodestats.State) { sync.Recv(recorded) })
				}},
				{Name: "record", Run: func() { p.one(); p.one(); sync.Close(recorded) }},
				{Name: "other", Run: func() { p.one() }},
			},
			Check: func() error {
				if c := p.Counts(); c.Outcomes+c.DroppedOutcomes != 3 {
					return fmt.Errorf("%d of 3 outcomes, %d dropped", c.Outcomes, c.DroppedOutcomes)
				}
				return nil
			},
		}
	})
	mutant.Found(t, mutant.Mutant{File: "buffer.go", Old: "	b := &c.buffer\n	b.Lock()\n	sync.Writes(&b.pending)\n	n, half",
		New: "	c.mu.Lock()\n	defer c.mu.Unlock()\n	b := &c.buffer\n	b.Lock()\n	sync.Writes(&b.pending)\n	n, half", Want: "deadlock: "})
}

// Two processes record and exchange, each with one round and the messages that follow, in any order. After more rounds
// both hold all outcomes, once.
func TestInterleaveRounds(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 2}, func() il.World {
		both := join(8, "a", "b")
		a, b := both["a"], both["b"]
		take := func(p *Cluster, most int) {
			for range most {
				if m, _, had := sync.TryRecv(p.inbox); had {
					p.handle(m)
				}
			}
		}
		return il.World{
			Threads: []il.Thread{
				{Name: "record", Run: func() { a.one(); b.one(); a.one() }},
				{Name: "a", Run: func() { a.round(); take(a, 2) }},
				{Name: "b", Run: func() { take(b, 2) }},
				{Name: "read", Run: func() {
					if n := b.look("s"); n > 3 {
						il.Fail("%d of 3", n)
					}
				}},
			},
			Check: func() error {
				for range 3 {
					for _, p := range []*Cluster{a, b} {
						p.round()
						for len(a.inbox)+len(b.inbox) > 0 {
							take(a, 1)
							take(b, 1)
						}
					}
				}
				if n, m := a.look("s"), b.look("s"); n != 3 || m != 3 {
					return fmt.Errorf("of 3 outcomes a has %d and b %d", n, m)
				}
				return nil
			},
		}
	})
	mutant.Found(t, mutant.Mutant{File: "rounds.go", Old: "	err := c.state.Merge(c.options.Since(), message)\n	c.mu.Unlock()\n",
		New: "	c.mu.Unlock()\n	sync.Writes(c.state)\n	err := c.state.Merge(c.options.Since(), message)\n", Want: "data race: "})
}
