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

// World is what a run has.
type World struct {
	Processes int       `json:"processes"`
	Shards    int       `json:"shards"`
	Copies    int       `json:"copies"` // nodes of a shard
	Rows      node.Rows `json:"rows"`
}

// Mode is a way to gather that is measured.
type Mode struct {
	Name   string        `json:"name"`
	Silent time.Duration `json:"silent"` // without a byte for so long, a second copy of the part is asked for; 0: never
	Again  int           `json:"again"`  // how often a part is asked again
	Tree   bool          `json:"tree"`   // parts are handed on to the other processes
}

// Modes are those of a report, in its order.
var Modes = []Mode{
	{Name: "without second copies"},
	{Name: "with second copies", Silent: 60 * time.Millisecond, Again: 3},
	{Name: "and a tree over peers", Silent: 60 * time.Millisecond, Again: 3, Tree: true},
}

const (
	planName        = "the-plan" // of procs
	deadline        = time.Second
	meanServiceTime = 2 * time.Millisecond // mean, of a part at a node
	mergeTimeShare  = 0.1                  // of the deadline, kept for the merge

	readsAtOnce    = 8         // of one process
	mergeMemory    = 768 << 10 // of one merge
	maxRecordBytes = 4 << 10
	leastParts     = 4 // of a read, or none is handed on
	fanOut         = 2
)

// processes is a fleet of the built program.
type daemonFleet struct {
	*cluster.Fleet
	world   World
	down    []atomic.Bool
	killed  atomic.Int64
	siteErr error
}

// start starts it, each process with the mode's section in its site's file.
func startFleet(ctx context.Context, daemon string, w World, m Mode, seed uint64) (*daemonFleet, error) {
	f := &daemonFleet{world: w, down: make([]atomic.Bool, w.Processes)}
	class := func(name string) map[string]any {
		return map[string]any{"name": name, "goal-time": deadline.Milliseconds() / 2, "deadline": deadline.Milliseconds(), "worth": 2, "late-worth": 1, "repeat": "safe"}
	}
	opt := cluster.Options{Daemon: daemon, Daemons: w.Processes, Seed: seed, Settings: map[string]any{
		"profiles": []map[string]any{class(classListing), class(classTop), class(classPage)}}}
	for j := range w.Shards * w.Copies {
		opt.Nodes = append(opt.Nodes, cluster.StorageNode{Name: fmt.Sprint("s", j), Shard: j / w.Copies, ServiceTime: serviceTime(seed, j), Rows: &w.Rows})
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

// tell writes a process's site file.
func (f *daemonFleet) writeSite(i int, m Mode, peers []peer) error {
	text, err := json.Marshal(map[string]any{"gather": gatherSettings(m, f.world, peers)})
	if err != nil {
		return err
	}
	return os.WriteFile(f.sitePath(i), text, 0o600)
}

// join names the processes to each other: where they are is known once all have started.
func (f *daemonFleet) addPeers(ctx context.Context, m Mode) error {
	var peers []peer
	for i := range f.world.Processes {
		peers = append(peers, peer{f.Proc(i).Name, f.ClientLink(i).Addr()})
	}
	for i := range f.world.Processes {
		if err := f.writeSite(i, m, peers); err != nil {
			return err
		}
		if err := f.Proc(i).Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	for i := range f.world.Processes {
		if err := f.Wait(ctx, fmt.Sprint("process ", i, " hands parts on"), func() error {
			if !strings.Contains(f.Proc(i).Log(), "are delegated to peers") {
				return errors.New("it has not said so")
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// serviceOf draws a node's time for a request from the request's id: the same in each run.
func serviceTime(seed uint64, j int) func(*fasthttp.Request) time.Duration {
	return func(q *fasthttp.Request) time.Duration {
		h := fnv.New64a()
		fmt.Fprint(h, seed, j)
		h.Write(q.Header.Peek("X-Request-Id"))
		return time.Duration(-math.Log(1-float64(h.Sum64()>>11)/(1<<53)) * float64(meanServiceTime))
	}
}

// rules are the merge's of a class, as the site's file has them.
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

// target is where a process is asked; "": it is down.
func (f *daemonFleet) address(i int) string {
	if f.down[i].Load() {
		return ""
	}
	return f.ClientLink(i).Addr()
}

// play makes a change.
func (f *daemonFleet) apply(c faultRound) error {
	for j := range f.world.Shards * f.world.Copies {
		f.Node(j).SetRowFault(c.nodes[j])
		for i := range f.world.Processes {
			if err := f.StorageLink(i, j).SetFault(link.Both, c.links[[2]int{i, j}]); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill kills a process and starts it again, until it is ready.
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

func (f *daemonFleet) faultCounts() (h faultCounts) {
	h.Killed = int(f.killed.Load())
	for j := range f.world.Shards * f.world.Copies {
		h.add(nodeFaults(f.Node(j)))
		for i := range f.world.Processes {
			c := f.StorageLink(i, j).Counts(link.Both)
			h.Silenced, h.Reset, h.Delayed = h.Silenced+c.Silenced, h.Reset+c.Reset, h.Delayed+c.Delayed
		}
	}
	return h
}

// met is what a node's faults did.
func nodeFaults(n *node.Node) faultCounts {
	c := n.RowCounts("")
	return faultCounts{Late: c.Delayed, Stopped: c.Paused, Cut: c.ConnsClosed, Stalled: c.Stalled}
}

// Parts is what nodes were asked for.
type Parts struct {
	Asked             int `json:"asked"`
	Delegated         int `json:"handed_on"` // by peers that they were handed on to
	Retried           int `json:"again"`     // after an asking before that its last node failed: cut, silent, or its asker gone
	RetriedAtSameNode int `json:"same_node"` // ... that began at the same node
}

// parts are told by the askings' ids: READ/PART/COPY, or READ/GROUP/COPY/PART/COPY, where the first copy is a peer's.
func (f *daemonFleet) countParts() (p Parts) {
	type span struct {
		first, last     int // nodes
		firstAt, lastAt time.Time
	}
	at := map[string]span{} // by id: core may send an asking to several nodes
	for j := range f.world.Shards * f.world.Copies {
		f.Node(j).EachRequest(func(id string, all []node.Arrival) {
			x, known := at[id]
			for _, a := range all {
				if !known || a.At.Before(x.firstAt) {
					x.first, x.firstAt = j, a.At
				}
				if !known || a.At.After(x.lastAt) {
					x.last, x.lastAt = j, a.At
				}
				known = true
			}
			at[id] = x
		})
	}
	for id, now := range at {
		p.Asked++
		all := strings.Split(id, "/")
		if len(all) == 5 && all[2] == "1" {
			p.Delegated++
		}
		part, copy := id[:strings.LastIndexByte(id, '/')+1], 0
		if _, err := fmt.Sscan(all[len(all)-1], &copy); err != nil {
			continue
		}
		last := fmt.Sprint(part, copy-1)
		before, ok := at[last]
		if c := f.Node(before.last).RowCounts(last); ok && c.Complete+c.Limited == 0 && c.ConnsClosed+c.Stalled+c.Disconnected > 0 {
			p.Retried++
			if before.last == now.first {
				p.RetriedAtSameNode++
			}
		}
	}
	return p
}
