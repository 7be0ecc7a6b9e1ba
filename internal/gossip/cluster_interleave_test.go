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

// circle is the library's place in a walk: what is sent is there at once.
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

// join makes processes that know each other; a buffer holds so many outcomes.
func join(size int, names ...string) map[string]*Cluster {
	c := &circle{each: map[string]*Cluster{}}
	for _, name := range names {
		state, err := nodestats.New(nodestats.Defaults(), name, 1)
		if err != nil {
			panic(err)
		}
		p := newPeers(Options{Name: name, Burst: 8, Since: func() time.Duration { return time.Second }}, state, size)
		p.inbox, p.list = make(chan []byte, 8), c
		c.each[name], c.all = p, append(c.all, &memberlist.Node{Name: name})
	}
	return c.each
}

const units, millis = 1, 2

func (p *Cluster) one() { p.Observe("s", 1, "read", units, millis, nodestats.Served) }

// seen is how many ends of attempts on a node are in the views; their sums must be of the same ones.
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

func (p *Cluster) look(node string) int {
	n, err := seen(p.Views(), node)
	if err != nil {
		il.Fail("%v", err)
	}
	return n
}

// counter is what recording and reading are, one call at a time.
var counter = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		if input == "record" {
			return true, state.(int) + 1
		}
		return output == state, state
	},
}

// told is what another process tells of a node of its own, in one message.
func told(node string, n int) []byte {
	state, _ := nodestats.New(nodestats.Defaults(), "other", 1)
	none, _ := nodestats.New(nodestats.Defaults(), "none", 1)
	for range n {
		state.Recorder(0, nodestats.Key{Node: node, StartTime: 1, Class: "read"}).Record(0, units, millis, nodestats.Served)
	}
	list, err := state.Diff(0, none.Digest(0))
	if err != nil || len(list) != 1 {
		panic(fmt.Errorf("%d messages, %v", len(list), err))
	}
	return append([]byte{tagCells}, list[0]...)
}

// The data path records, a reader asks for the views, another process tells the same twice, and the
// process has its round: what was recorded is there when it was recorded, once, with whole sums; what does
// not fit into the buffer is counted.
func TestInterleaveObserve(t *testing.T) {
	message := told("other's", 5)
	for _, x := range []struct {
		name string
		size int
		lost []mutant.Mutant
	}{
		{"room", 8, []mutant.Mutant{
			{File: "cluster.go", Old: "	p.mu.Lock()\n	defer p.mu.Unlock()\n	p.drain()\n	f(", New: "	p.drain()\n	f(", Want: "data race: "},
			{File: "cluster.go", Old: "	b.Lock()\n	sync.Writes(&b.in)\n	got := b.in\n	b.in, b.spare = b.spare[:0], got\n	b.Unlock()\n",
				New: "	sync.Writes(&b.in)\n	got := b.in\n	b.in, b.spare = b.spare[:0], got\n", Want: "data race: "},
			{File: "cluster.go", Old: "	b.in, b.spare = b.spare[:0], got\n", New: "	b.spare = got\n", Want: "3 recorded, "},
			{File: "cluster.go", Old: "	b.in, b.spare = b.spare[:0], got\n", New: "	b.Unlock()\n	b.Lock()\n	b.in, b.spare = b.spare[:0], got\n",
				Want: "3 recorded, "},
			{File: "cluster.go", Old: "	p.drain()\n	f(p.opt.Since(), p.state)", New: "	f(p.opt.Since(), p.state)\n	p.drain()", Want: "not linearizable"}}},
		{"full", 2, []mutant.Mutant{
			{File: "cluster.go", Old: "			p.mu.Lock()\n			p.drain()\n			p.mu.Unlock()", New: "			p.drain()", Want: "data race: "},
			{File: "cluster.go", Old: "		b.lost++\n", New: "", Want: "3 recorded, "}}},
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
							p.message(<-p.inbox)
						}
						p.Views()
						n, o, c := p.look("s"), p.look("other's"), p.Counts()
						if c.Outcomes+c.DroppedOutcomes != 3 || int64(n) != c.Outcomes || x.size > 3 && c.DroppedOutcomes > 0 || o != 5 {
							return fmt.Errorf("3 recorded, %d in the views, %d lost; of another's 5 %d", n, c.DroppedOutcomes, o)
						}
						if c.DroppedOutcomes > 0 {
							return nil
						}
						return h.Check(counter)
					},
				}
			})
			mutant.Found(t, x.lost...)
		})
	}
}

// Recording goes on while somebody holds the state, for as long as that takes.
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
					return fmt.Errorf("%d of 3 outcomes, %d lost", c.Outcomes, c.DroppedOutcomes)
				}
				return nil
			},
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "cluster.go", Old: "	b := &p.buffer\n	b.Lock()\n	sync.Writes(&b.in)\n	n, half", New: "	p.mu.Lock()\n	defer p.mu.Unlock()\n	b := &p.buffer\n	b.Lock()\n	sync.Writes(&b.in)\n	n, half",
			Want: "deadlock: "},
	)
}

// Two processes record, and tell each other, each with one round and what comes of it, in any order. After
// some more rounds both have all, once.
func TestInterleaveRounds(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 2}, func() il.World {
		both := join(8, "a", "b")
		a, b := both["a"], both["b"]
		take := func(p *Cluster, most int) {
			for range most {
				if m, _, had := sync.TryRecv(p.inbox); had {
					p.message(m)
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
	mutant.Found(t, mutant.Mutant{File: "cluster.go", Old: "		err := p.state.Merge(now, m)\n		p.mu.Unlock()\n",
		New: "		p.mu.Unlock()\n		sync.Writes(p.state)\n		err := p.state.Merge(now, m)\n", Want: "data race: "})
}
