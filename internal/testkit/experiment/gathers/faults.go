package gathers

import (
	"math/rand/v2"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
)

// change is what happens to the parties at one moment of a run.
type faultRound struct {
	at    time.Duration
	nodes map[int]node.RowFault // of the nodes that are not named: none
	links map[[2]int]link.Fault // from process to node; of those not named: none
	kill  int                   // a process that is killed, and started again at once; -1: none
}

const (
	roundInterval       = 500 * time.Millisecond
	faultyLinksPerRound = 4    // links with a fault at one time
	shardFaultChance    = 0.25 // chance that one node of a shard has a fault for a round
	killAtShare         = 0.4  // of the run
	maxDelay            = 300 * time.Millisecond
	maxPause            = 400 * time.Millisecond
)

// schedule draws the faults of a run. The same seed gives the same, whatever is played under them.
func drawFaultRounds(seed uint64, w World, span time.Duration) (all []faultRound) {
	rng := rand.New(rand.NewPCG(seed, 25))
	some := func(most time.Duration) time.Duration { return most/4 + time.Duration(rng.Int64N(int64(most*3/4))) }
	killed := false
	for at := time.Duration(0); at < span; at += roundInterval {
		c := faultRound{at: at, nodes: map[int]node.RowFault{}, links: map[[2]int]link.Fault{}, kill: -1}
		for s := range w.Shards {
			if rng.Float64() >= shardFaultChance {
				continue
			}
			f := node.RowFault{AfterRows: rng.IntN(w.Rows.RowsPerShard)}
			switch rng.IntN(4) {
			case 0:
				f.Delay = some(maxDelay)
			case 1:
				f.Pause = some(maxPause)
			case 2:
				f.CloseConn = true
			case 3:
				f.Stall = true
			}
			c.nodes[s*w.Copies+rng.IntN(w.Copies)] = f
		}
		for range faultyLinksPerRound {
			to := [2]int{rng.IntN(w.Processes), rng.IntN(w.Shards * w.Copies)}
			switch rng.IntN(3) {
			case 0:
				c.links[to] = link.Fault{Silent: true}
			case 1:
				c.links[to] = link.Fault{ResetAfter: 1 + rng.IntN(40<<10)}
			case 2:
				c.links[to] = link.Fault{Delay: some(maxDelay) / 2}
			}
		}
		if !killed && at >= time.Duration(killAtShare*float64(span)) {
			killed, c.kill = true, rng.IntN(w.Processes)
		}
		all = append(all, c)
	}
	return all
}

// happened are faults that were met.
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

func (h *faultCounts) add(o faultCounts) {
	h.Late, h.Stopped, h.Cut, h.Stalled = h.Late+o.Late, h.Stopped+o.Stopped, h.Cut+o.Cut, h.Stalled+o.Stalled
	h.Silenced, h.Reset, h.Delayed, h.Killed = h.Silenced+o.Silenced, h.Reset+o.Reset, h.Delayed+o.Delayed, h.Killed+o.Killed
}

// absent names those that did not happen: what is measured under them says nothing.
func (h *faultCounts) missing() (names []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"late nodes", h.Late}, {"stops", h.Stopped}, {"cuts", h.Cut}, {"nodes silent for good", h.Stalled}, {"silent links", h.Silenced},
		{"reset links", h.Reset}, {"slow links", h.Delayed}, {"killed processes", h.Killed}} {
		if x.n == 0 {
			names = append(names, x.name)
		}
	}
	return names
}
