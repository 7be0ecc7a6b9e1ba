package gathers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
)

// Setup is the size of a run: its processes, nodes and rows.
type Setup struct {
	Processes int       `json:"processes"`
	Shards    int       `json:"shards"`
	Replicas  int       `json:"copies"` // nodes per shard, each with the same rows
	Rows      node.Rows `json:"rows"`
}

// Mode is a configuration of gathering that is measured.
type Mode struct {
	Name           string        `json:"name"`
	SilenceTimeout time.Duration `json:"silent"` // time without a byte after which a part is requested a second time; 0: never
	Retries        int           `json:"again"`  // how often a part is requested again
	Tree           bool          `json:"tree"`   // parts are delegated to other processes
}

// Modes are the modes of a report, in its order.
var Modes = []Mode{
	{Name: "without second copies"},
	{Name: "with second copies", SilenceTimeout: 60 * time.Millisecond, Retries: 3},
	{Name: "and a tree over peers", SilenceTimeout: 60 * time.Millisecond, Retries: 3, Tree: true},
}

const (
	planName        = "the-plan" // the default plan of package cluster
	deadline        = time.Second
	meanServiceTime = 2 * time.Millisecond // of one part at a node
	mergeTimeShare  = 0.1                  // share of the deadline that is reserved for the merge

	maxConcurrentReads = 8         // limit of each process
	mergeMemory        = 768 << 10 // bytes for each merge
	maxRecordBytes     = 4 << 10
	minDelegatedParts  = 4 // a read with fewer parts delegates none
	fanOut             = 2
)

// daemonFleet is a fleet of daemon processes, nodes and the links between them.
type daemonFleet struct {
	*cluster.Fleet
	setup   Setup
	down    []atomic.Bool
	killed  atomic.Int64
	siteErr error
}

// startFleet starts a fleet. The site file of each process has the gather settings of the mode.
func startFleet(ctx context.Context, daemon string, setup Setup, m Mode, seed uint64) (*daemonFleet, error) {
	f := &daemonFleet{setup: setup, down: make([]atomic.Bool, setup.Processes)}
	class := func(name string) map[string]any {
		return map[string]any{"name": name, "goal-time": deadline.Milliseconds() / 2, "deadline": deadline.Milliseconds(), "worth": 2, "late-worth": 1, "repeat": "safe"}
	}
	opt := cluster.Options{Daemon: daemon, Daemons: setup.Processes, Seed: seed, Settings: map[string]any{
		"profiles": []map[string]any{class(classListing), class(classTop), class(classPage)}}}
	for j := range setup.Shards * setup.Replicas {
		opt.Nodes = append(opt.Nodes, cluster.StorageNode{Name: fmt.Sprint("s", j), Shard: j / setup.Replicas, ServiceTime: serviceTime(seed, j), Rows: &setup.Rows})
	}
	opt.Args = func(p *cluster.Fleet, i int) []string {
		f.Fleet = p
		f.siteErr = errors.Join(f.siteErr, f.writeSite(i, m, nil))
		return []string{"--site", f.sitePath(i)}
	}
	if m.Tree {
		opt.Settings["ceilings"] = map[string]any{"peers": true}
	}
	fleet, err := cluster.Start(ctx, opt)
	if err != nil {
		return nil, err
	}
	f.Fleet = fleet
	if err = f.siteErr; err == nil && m.Tree {
		err = f.addPeers(ctx, m)
	}
	if err != nil {
		f.Close()
	}
	return f, err
}

func (f *daemonFleet) sitePath(i int) string { return filepath.Join(f.Dir(i), "site.json") }

// writeSite writes the site file of a process.
func (f *daemonFleet) writeSite(i int, m Mode, peers []peer) error {
	text, err := json.Marshal(map[string]any{"gather": gatherSettings(m, f.setup, peers)})
	if err != nil {
		return err
	}
	return os.WriteFile(f.sitePath(i), text, 0o600)
}

// addPeers gives each process the list of all processes. It runs after the start, when all addresses are known.
func (f *daemonFleet) addPeers(ctx context.Context, m Mode) error {
	var peers []peer
	for i := range f.setup.Processes {
		peers = append(peers, peer{f.Proc(i).Name, f.ClientLink(i).Addr()})
	}
	for i := range f.setup.Processes {
		if err := f.writeSite(i, m, peers); err != nil {
			return err
		}
		if err := f.Proc(i).Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	for i := range f.setup.Processes {
		if err := f.Wait(ctx, fmt.Sprint("process ", i, " delegates parts"), func() error {
			if !strings.Contains(f.Proc(i).Log(), "are delegated to peers") {
				return errors.New("its log does not yet say that parts are delegated")
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// serviceTime returns a function that derives a node's service time from the id of a request, so that it is the same in
// each run.
func serviceTime(seed uint64, j int) func(*fasthttp.Request) time.Duration {
	return func(q *fasthttp.Request) time.Duration {
		h := fnv.New64a()
		fmt.Fprint(h, seed, j)
		h.Write(q.Header.Peek("X-Request-Id"))
		return time.Duration(-math.Log(1-float64(h.Sum64()>>11)/(1<<53)) * float64(meanServiceTime))
	}
}

// mergeRules returns the rules of a class for the site file.
func mergeRules(class string) map[string]any {
	r := map[string]any{"memory": map[string]any{"bytes": mergeMemory}, "records": map[string]any{"max_bytes": maxRecordBytes}, "order": []any{map[string]any{"key": "k", "type": "integer"}},
		"duplicates": map[string]any{"keep": "highest", "version": map[string]any{"key": "v", "type": "integer"}}}
	switch {
	case class == classTop:
		r["truncate"] = map[string]any{"top": topRows}
	case class == classPage:
		r["truncate"] = map[string]any{"top": pageRows}
	}
	if bestEffort[class] {
		r["complete"] = map[string]any{"need": "best-effort"}
	}
	return r
}

// address returns the address of a process for clients; "": the process is down.
func (f *daemonFleet) address(i int) string {
	if f.down[i].Load() {
		return ""
	}
	return f.ClientLink(i).Addr()
}

// apply applies a round of faults to all nodes and links.
func (f *daemonFleet) apply(c faultRound) error {
	for j := range f.setup.Shards * f.setup.Replicas {
		f.Node(j).SetRowFault(c.nodes[j])
		for i := range f.setup.Processes {
			if err := f.StorageLink(i, j).SetFault(link.Both, c.links[[2]int{i, j}]); err != nil {
				return err
			}
		}
	}
	return nil
}

// killAndRestart kills a process, restarts it and waits until it is ready.
func (f *daemonFleet) killAndRestart(ctx context.Context, i int) error {
	f.down[i].Store(true)
	if err := f.Kill(i); err != nil {
		return err
	}
	f.killed.Add(1)
	err := f.Restart(ctx, i)
	f.down[i].Store(false)
	return err
}

// faultCounts counts the faults of all nodes and links and the killed processes.
func (f *daemonFleet) faultCounts() (counts faultCounts) {
	counts.Killed = int(f.killed.Load())
	for j := range f.setup.Shards * f.setup.Replicas {
		counts.add(nodeFaults(f.Node(j)))
		for i := range f.setup.Processes {
			c := f.StorageLink(i, j).Counts(link.Both)
			counts.Silenced, counts.Reset, counts.Delayed = counts.Silenced+c.Silenced, counts.Reset+c.Reset, counts.Delayed+c.Delayed
		}
	}
	return counts
}

// nodeFaults counts the faults that took effect at a node.
func nodeFaults(n *node.Node) faultCounts {
	c := n.RowCounts("")
	return faultCounts{Late: c.Delayed, Stopped: c.Paused, Cut: c.ConnsClosed, Stalled: c.Stalled}
}

// Parts counts the requests for parts at the nodes.
type Parts struct {
	Requests  int `json:"asked"`
	Delegated int `json:"handed_on"` // from processes to which the part was delegated
	// Retried requests follow one that failed at its last node: the node closed the connection or stalled, or the requesting
	// process disconnected.
	Retried           int `json:"again"`
	RetriedAtSameNode int `json:"same_node"` // retried requests that began at that node
}

// countParts counts by the ids of the requests: READ/PART/COPY, or READ/GROUP/COPY/PART/COPY, where the first COPY is 1 if a
// peer sent the request.
func (f *daemonFleet) countParts() (p Parts) {
	// span is the first and the last arrival of a request.
	type span struct {
		first, last     int // nodes
		firstAt, lastAt time.Time
	}
	requests := map[string]span{} // by id, because the scheduler may send a request to several nodes
	for j := range f.setup.Shards * f.setup.Replicas {
		f.Node(j).EachRequest(func(id string, arrivals []node.Arrival) {
			x, seen := requests[id]
			for _, a := range arrivals {
				if !seen || a.At.Before(x.firstAt) {
					x.first, x.firstAt = j, a.At
				}
				if !seen || a.At.After(x.lastAt) {
					x.last, x.lastAt = j, a.At
				}
				seen = true
			}
			requests[id] = x
		})
	}
	for id, request := range requests {
		p.Requests++
		idFields := strings.Split(id, "/")
		if len(idFields) == 5 && idFields[2] == "1" {
			p.Delegated++
		}
		part, copyNumber := id[:strings.LastIndexByte(id, '/')+1], 0
		if _, err := fmt.Sscan(idFields[len(idFields)-1], &copyNumber); err != nil {
			continue
		}
		previousID := fmt.Sprint(part, copyNumber-1)
		previous, ok := requests[previousID]
		if c := f.Node(previous.last).RowCounts(previousID); ok && c.Complete+c.Limited == 0 && c.ConnsClosed+c.Stalled+c.Disconnected > 0 {
			p.Retried++
			if previous.last == request.first {
				p.RetriedAtSameNode++
			}
		}
	}
	return p
}
