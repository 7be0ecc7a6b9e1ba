package gathers

import (
	"math/rand/v2"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
)

// faultRound is the set of faults that apply from a time until the next round. It replaces those of the round before.
type faultRound struct {
	at    time.Duration
	nodes map[int]node.RowFault // by node; other nodes have no fault
	links map[[2]int]link.Fault // by process and node; other links have no fault
	kill  int                   // process that is killed and restarted at once; -1: none
}

const (
	roundInterval       = 500 * time.Millisecond
	faultyLinksPerRound = 4                      // draws of a faulty link in each round; two may hit the same link
	shardFaultChance    = 0.25                   // probability that one node of a shard has a fault in a round
	killAtShare         = 0.4                    // share of the run after which a process is killed
	maxDelay            = 300 * time.Millisecond // of a node's response; half of it on a link
	maxPause            = 400 * time.Millisecond // of a node between rows
)

// drawFaultRounds draws the faults of a run. They depend only on the seed, the setup and the duration, not on
// the mode or on timing.
func drawFaultRounds(seed uint64, setup Setup, duration time.Duration) (all []faultRound) {
	rng := rand.New(rand.NewPCG(seed, 25))
	randomDuration := func(most time.Duration) time.Duration { return most/4 + time.Duration(rng.Int64N(int64(most*3/4))) }
	killed := false
	for at := time.Duration(0); at < duration; at += roundInterval {
		c := faultRound{at: at, nodes: map[int]node.RowFault{}, links: map[[2]int]link.Fault{}, kill: -1}
		for s := range setup.Shards {
			if rng.Float64() >= shardFaultChance {
				continue
			}
			f := node.RowFault{AfterRows: rng.IntN(setup.Rows.RowsPerShard)}
			switch rng.IntN(4) {
			case 0:
				f.Delay = randomDuration(maxDelay)
			case 1:
				f.Pause = randomDuration(maxPause)
			case 2:
				f.CloseConn = true
			case 3:
				f.Stall = true
			}
			c.nodes[s*setup.Replicas+rng.IntN(setup.Replicas)] = f
		}
		for range faultyLinksPerRound {
			to := [2]int{rng.IntN(setup.Processes), rng.IntN(setup.Shards * setup.Replicas)}
			switch rng.IntN(3) {
			case 0:
				c.links[to] = link.Fault{Silent: true}
			case 1:
				c.links[to] = link.Fault{ResetAfter: 1 + rng.IntN(40<<10)}
			case 2:
				c.links[to] = link.Fault{Delay: randomDuration(maxDelay) / 2}
			}
		}
		if !killed && at >= time.Duration(killAtShare*float64(duration)) {
			killed, c.kill = true, rng.IntN(setup.Processes)
		}
		all = append(all, c)
	}
	return all
}

// faultCounts counts the faults that took effect. Late, Stopped, Cut and Stalled are faults of nodes.
type faultCounts struct {
	Late     int `json:"late"`
	Stopped  int `json:"stopped"`
	Cut      int `json:"cut"`
	Stalled  int `json:"never"`
	Silenced int `json:"links_silenced"`
	Reset    int `json:"links_reset"`
	Delayed  int `json:"links_delayed"`
	Killed   int `json:"killed"`
}

func (f *faultCounts) add(o faultCounts) {
	f.Late, f.Stopped, f.Cut, f.Stalled = f.Late+o.Late, f.Stopped+o.Stopped, f.Cut+o.Cut, f.Stalled+o.Stalled
	f.Silenced, f.Reset, f.Delayed, f.Killed = f.Silenced+o.Silenced, f.Reset+o.Reset, f.Delayed+o.Delayed, f.Killed+o.Killed
}

// missing names the kinds of faults that did not occur: the measurements say nothing about them.
func (f *faultCounts) missing() (names []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"late nodes", f.Late}, {"stops", f.Stopped}, {"cuts", f.Cut}, {"nodes silent for good", f.Stalled}, {"silent links", f.Silenced},
		{"reset links", f.Reset}, {"slow links", f.Delayed}, {"killed processes", f.Killed}} {
		if x.n == 0 {
			names = append(names, x.name)
		}
	}
	return names
}
