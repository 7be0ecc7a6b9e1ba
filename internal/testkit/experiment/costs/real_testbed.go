package costs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/cluster"
)

// testbed is a fleet of daemon processes and simulated storage nodes.
type testbed struct {
	opt               RealOptions
	fleet             *cluster.Fleet
	nodes             []simulatedNode
	slowed            atomic.Bool    // the slow node has slowed down
	processPools      []*client.Pool // to each process
	nodePools         []*client.Pool // to each node
	adminClient       *http.Client
	startedAt         time.Time
	lastRequestNumber atomic.Uint64

	mu             sync.Mutex // guards the fields below
	ownAnswers     []answers  // answers to the clients of each process
	allAnswers     answers    // answers of all processes together
	answerCounts   []int      // number of answers of each process
	row            RealRow
	lastWrongOrder []time.Duration // for each process, the time after the slowing at which its order was last seen wrong
	err            error
}

// simulatedNode is one simulated storage node.
type simulatedNode struct {
	kind   int
	factor float64 // of this node, on the service time of its kind
}

// answers are the observations of one observer, with one recorder for each node.
type answers struct {
	state     *nodestats.State
	recorders []*nodestats.Recorder
}

// record adds the time of one answer of node n.
func (a *answers) record(now time.Duration, n int, units, took float64) {
	a.recorders[n].Record(now, units, took, nodestats.Served)
}

// newTestbed starts the nodes and the daemons of a seed.
func newTestbed(ctx context.Context, opt RealOptions, seed uint64) (*testbed, error) {
	rng := rand.New(rand.NewPCG(seed, 24))
	bed := &testbed{opt: opt, startedAt: time.Now(), answerCounts: make([]int, opt.Processes), lastWrongOrder: make([]time.Duration, opt.Processes),
		adminClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	bed.row.Seed = seed
	nodes, types := bed.makeNodes(rng)
	var err error
	if bed.allAnswers, err = bed.newObserver("all", types); err != nil {
		return nil, err
	}
	peerAddresses := make([]string, opt.Processes)
	for p := range peerAddresses {
		observer, err := bed.newObserver(fmt.Sprint("p", p), types)
		if err != nil {
			return nil, err
		}
		bed.ownAnswers = append(bed.ownAnswers, observer)
		if peerAddresses[p], err = cluster.FreeAddress(); err != nil {
			return nil, err
		}
	}
	var siteErr error
	bed.fleet, err = cluster.Start(ctx, cluster.Options{Daemon: opt.Daemon, Daemons: opt.Processes, Nodes: nodes, Seed: seed, Admin: true, Direct: true,
		Settings: daemonSettings(),
		Args: func(f *cluster.Fleet, p int) []string {
			file, err := writeSite(f.Dir(p), opt, types, peerAddresses, p)
			siteErr = errors.Join(siteErr, err)
			return []string{"--site", file}
		}})
	if err != nil {
		return nil, err
	}
	for p := range opt.Processes {
		bed.processPools = append(bed.processPools, &client.Pool{Address: bed.fleet.ClientAddr(p), MaxConns: maxClientConns})
	}
	for n := range bed.nodes {
		bed.nodePools = append(bed.nodePools, &client.Pool{Address: bed.fleet.NodeAddr(n)})
	}
	return bed, siteErr
}

// makeNodes draws the nodes' factors and returns the nodes to start, and their types by name.
func (bed *testbed) makeNodes(rng *rand.Rand) (nodes []cluster.StorageNode, types map[string]string) {
	types = map[string]string{}
	for n := range bed.opt.Groups * nodesPerShard {
		bed.nodes = append(bed.nodes, simulatedNode{n % nodesPerShard, math.Exp(nodeSpread * rng.NormFloat64())})
		types[nodeName(n)] = kinds[n%nodesPerShard].name
		nodes = append(nodes, cluster.StorageNode{Name: nodeName(n), Shard: n, Workers: workersPerNode, ServiceTime: func(q *fasthttp.Request) time.Duration {
			units, requestSeed := decodeRequestID(string(q.Header.Peek("X-Request-Id")))
			return time.Duration(bed.drawServiceTime(n, units, requestSeed) * float64(time.Millisecond))
		}})
	}
	return nodes, types
}

// newObserver returns the observations of one observer, without any answer yet.
func (bed *testbed) newObserver(name string, types map[string]string) (a answers, err error) {
	settings := nodestats.Defaults()
	settings.HalfLife = bed.opt.HalfLife
	a.state, err = nodestats.New(settings, name, 1)
	for n := range bed.nodes {
		if err == nil {
			a.state.SetNodeHealth(0, nodeName(n), 1, nodestats.Health{Type: types[nodeName(n)], Shard: n, Window: workers})
			a.recorders = append(a.recorders, a.state.Recorder(0, nodestats.Key{Node: nodeName(n), StartTime: 1, Class: class}))
		}
	}
	return a, err
}

// daemonSettings are the daemons' settings that differ from the defaults of package cluster.
func daemonSettings() map[string]any {
	return map[string]any{"ceilings": map[string]any{"peers": true}, "extra": map[string]any{"usual-units": (1 + maxUnits) / 2.0, "largest": maxUnits},
		"profiles": []map[string]any{{"name": class, "goal-time": requestDeadline.Milliseconds() / 2, "deadline": requestDeadline.Milliseconds(), "worth": 2,
			"late-worth": 1, "repeat": "safe"}}}
}

// writeSite writes the site file of process p into its directory and returns the file's path.
func writeSite(dir string, opt RealOptions, types map[string]string, peerAddresses []string, p int) (string, error) {
	seeds := []string{}
	for q := range peerAddresses {
		if q != p && !opt.Alone {
			seeds = append(seeds, peerAddresses[q])
		}
	}
	text, err := json.Marshal(map[string]any{"estimate": map[string]any{"types": types, "at_once": concurrentEstimates},
		"peers": map[string]any{"listen": peerAddresses[p], "seeds": seeds, "every_ms": opt.RoundInterval.Milliseconds(), "half_life_ms": opt.HalfLife.Milliseconds()}})
	file := filepath.Join(dir, "site.json")
	return file, errors.Join(err, os.WriteFile(file, text, 0o600))
}

// close ends the clients and the fleet.
func (bed *testbed) close() {
	for _, p := range slices.Concat(bed.processPools, bed.nodePools) {
		p.Close()
	}
	bed.fleet.Close()
}

// meanServiceTime is a node's current mean service time, in milliseconds, for a request of so many units.
func (bed *testbed) meanServiceTime(n int, units float64) float64 {
	x := bed.nodes[n]
	m := serviceStretch * (kinds[x.kind].level + kinds[x.kind].unit*units) * x.factor
	if n == bed.slowNode() && bed.slowed.Load() {
		m *= bed.opt.SlowFactor
	}
	return m
}

// slowNode is the index of the node that slows down.
func (bed *testbed) slowNode() int { return min(slowNode, len(bed.nodes)-nodesPerShard) }

// drawServiceTime draws a node's service time for a request, in milliseconds. The seed belongs to the request and is the
// same at each node, so that plans for the same work differ only by their nodes and by the noise of the machine.
func (bed *testbed) drawServiceTime(n int, units float64, requestSeed uint64) float64 {
	s := math.Sqrt(math.Log1p(serviceSpread * serviceSpread))
	z := rand.New(rand.NewPCG(requestSeed, 26)).NormFloat64()
	return bed.meanServiceTime(n, units) * math.Exp(s*z-s*s/2)
}
