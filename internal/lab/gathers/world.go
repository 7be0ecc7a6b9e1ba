package gathers

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/lab/procs"
	"wheatsaddle/internal/standin/link"
	"wheatsaddle/internal/standin/node"
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
}

// Modes are those of a report, in its order.
var Modes = []Mode{
	{Name: "without second copies"},
	{Name: "with second copies", Silent: 60 * time.Millisecond, Again: 3},
}

const (
	plan     = "the-plan" // of procs
	deadline = time.Second
	service  = 2 * time.Millisecond // mean, of a part at a node
	share    = 0.1                  // of the deadline, kept for the merge

	readsAtOnce = 8       // of one process
	memory      = 2 << 20 // of one read
)

// processes is a fleet of the built program.
type processes struct {
	*procs.Fleet
	w      World
	down   []atomic.Bool
	killed atomic.Int64
	err    error
}

// start starts it, each process with the mode's section in its site's file.
func start(ctx context.Context, daemon string, w World, m Mode, seed uint64) (*processes, error) {
	f := &processes{w: w, down: make([]atomic.Bool, w.Processes)}
	class := func(name string) map[string]any {
		return map[string]any{"name": name, "goal-time": 200, "deadline": deadline.Milliseconds(), "worth": 2, "late-worth": 1, "repeat": "safe"}
	}
	opt := procs.Options{Daemon: daemon, Daemons: w.Processes, Seed: seed, Settings: map[string]any{
		"profiles": []map[string]any{class(listing), class(top), class(page)}}}
	for j := range w.Shards * w.Copies {
		opt.Nodes = append(opt.Nodes, procs.Storage{Name: fmt.Sprint("s", j), Shard: j / w.Copies, Service: serviceOf(seed, j), Rows: &w.Rows})
	}
	opt.Args = func(p *procs.Fleet, i int) []string {
		file := filepath.Join(p.Dir(i), "site.json")
		text, err := json.Marshal(map[string]any{"gather": site(m, w)})
		if err == nil {
			err = os.WriteFile(file, text, 0o600)
		}
		if err != nil {
			f.err = err
		}
		return []string{"--site", file}
	}
	var err error
	if f.Fleet, err = procs.Start(ctx, opt); err != nil {
		return nil, err
	}
	if f.err != nil {
		f.Close()
	}
	return f, f.err
}

// serviceOf draws a node's time for a request from the request's id: the same in each run.
func serviceOf(seed uint64, j int) func(*fasthttp.Request) time.Duration {
	return func(q *fasthttp.Request) time.Duration {
		h := fnv.New64a()
		fmt.Fprint(h, seed, j)
		h.Write(q.Header.Peek("X-Request-Id"))
		return time.Duration(-math.Log(1-float64(h.Sum64()>>11)/(1<<53)) * float64(service))
	}
}

// rules are the merge's of a class, as the site's file has them.
func rules(class string) map[string]any {
	r := map[string]any{"memory": map[string]any{"bytes": memory}, "order": []any{map[string]any{"key": "k", "type": "integer"}},
		"duplicates": map[string]any{"keep": "highest", "version": map[string]any{"key": "v", "type": "integer"}}}
	switch {
	case class == top:
		r["truncate"] = map[string]any{"top": topRows}
	case class == page:
		r["truncate"] = map[string]any{"top": pageRows}
	}
	if effort[class] {
		r["complete"] = map[string]any{"need": "best-effort"}
	}
	return r
}

// target is where a process is asked; "": it is down.
func (f *processes) target(i int) string {
	if f.down[i].Load() {
		return ""
	}
	return f.ClientLink(i).Addr()
}

// play makes a change.
func (f *processes) play(c change) error {
	for j := range f.w.Shards * f.w.Copies {
		f.Node(j).SetRows(c.nodes[j])
		for i := range f.w.Processes {
			if err := f.StorageLink(i, j).Set(link.Both, c.links[[2]int{i, j}]); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill kills a process and starts it again, until it is ready.
func (f *processes) kill(ctx context.Context, i int) error {
	f.down[i].Store(true)
	if err := f.Kill(i); err != nil {
		return err
	}
	f.killed.Add(1)
	err := f.Restart(ctx, i)
	f.down[i].Store(false)
	return err
}

func (f *processes) happened() (h happened) {
	h.Killed = int(f.killed.Load())
	for j := range f.w.Shards * f.w.Copies {
		h.add(met(f.Node(j)))
		for i := range f.w.Processes {
			c := f.StorageLink(i, j).Counts(link.Both)
			h.Silenced, h.Reset, h.Delayed = h.Silenced+c.Silenced, h.Reset+c.Reset, h.Delayed+c.Delayed
		}
	}
	return h
}

// met is what a node's faults did.
func met(n *node.Node) happened {
	c := n.RowCounts("")
	return happened{Late: c.Late, Stopped: c.Stopped, Cut: c.Cut, Never: c.Never}
}

// asked is how often nodes were asked for a part.
func (f *processes) asked() (n int) {
	for j := range f.w.Shards * f.w.Copies {
		n += f.Node(j).RowCounts("").Asked
	}
	return n
}
