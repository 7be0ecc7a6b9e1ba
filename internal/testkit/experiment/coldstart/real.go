package coldstart

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/fake/link"
	standin "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

// Figures of the run with real processes; those of the nodes and the settings are the virtual world's.
const (
	realRate     = 3.0 // requests a second to each scheduler
	startWithin  = time.Second
	realWindow   = 10 * time.Second // of a process, from when it listens
	listenMost   = 90 * time.Second
	learnMost    = 60 * time.Second
	againAfter   = 2 * time.Second // half is killed again so long after the last listens
	daemonMB     = 48
	clientConns  = 16 // of the clients to one scheduler
	launchesMost = 32 // that are under way at once
)

// RealOptions of a run with processes of the built daemon.
type RealOptions struct {
	Options
	Daemon string        // its path; "": built
	Window time.Duration // of a process, from when it listens, in which counts are made; 0: 10 s
}

// RealScenarios are those of Scenarios that are played with processes.
func RealScenarios() (all []Scenario) {
	for _, s := range Scenarios {
		if !s.Pushed && s.Name != "release" {
			all = append(all, s)
		}
	}
	return all
}

// realRun is one start of a fleet of processes.
type realRun struct {
	opt    RealOptions
	sc     Scenario
	mode   Mode
	kept   [][]byte // snapshots of a life before, by host
	f      *cluster.Fleet
	vols   []volume // with their hosts
	of     [][]int  // volumes of each host
	start  time.Time
	stop   chan struct{} // closed: clients end
	load   sync.WaitGroup
	mu     sync.Mutex // of all below
	hosts  []realHost
	nodes  []realNode
	open   bool // figures count
	row    RealRow
	firsts error // of a node that could not be listed again
}

type realHost struct {
	exec, listens, served time.Time
	life                  int
	down                  bool
	bare                  []time.Duration // exec until it listens, of each life
}

type realNode struct{ connects, asked []time.Time }

// RunReal plays the scenarios with processes of the built daemon, each in each mode; with snapshots only the first,
// where no start is asked for: all of it is to end within five minutes.
func RunReal(ctx context.Context, opt RealOptions, begins func(scenario string, mode Mode)) (*RealReport, error) {
	dir, err := os.MkdirTemp("", "coldstart")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if opt.Daemon == "" {
		if opt.Daemon, err = cluster.Build(ctx, dir); err != nil {
			return nil, err
		}
	}
	opt.Window = cmp.Or(opt.Window, realWindow)
	rep := &RealReport{Options: opt.Options}
	var kept [][]byte
	for _, sc := range RealScenarios() {
		if len(opt.Scenarios) > 0 && !slices.Contains(opt.Scenarios, sc.Name) {
			continue
		}
		for mode := Today; mode <= Snapshot; mode++ {
			if len(opt.Starts) > 0 && !slices.Contains(opt.Starts, mode.String()) || len(opt.Starts) == 0 && kept != nil && mode == Snapshot {
				continue
			}
			if mode == Snapshot && kept == nil {
				begins("an ordinary life, for its snapshots", mode)
				if kept, err = learn(ctx, opt); err != nil {
					return nil, err
				}
			}
			begins(sc.Name, mode)
			row, err := playReal(ctx, opt, sc, mode, kept)
			if err != nil {
				return nil, err
			}
			rep.Rows = append(rep.Rows, row)
		}
	}
	return rep, nil
}

// playReal plays one scenario in one mode; anew, where another program took a process's port before it listened.
func playReal(ctx context.Context, opt RealOptions, sc Scenario, mode Mode, kept [][]byte) (RealRow, error) {
	for try := 1; ; try++ {
		w, err := newReal(ctx, opt, sc, mode, kept)
		if err != nil {
			return RealRow{}, err
		}
		err = w.play(ctx)
		w.close()
		if err == nil {
			return w.result(), nil
		}
		if try == triesMost || !strings.Contains(err.Error(), "sock-in-use") {
			return RealRow{}, err
		}
	}
}

const triesMost = 3

// realSettings are the virtual world's in the platform's keys.
func realSettings(hosts, nodes int) map[string]any {
	set := settings(hosts, nodes)
	var profiles, contracts []map[string]any
	for _, c := range set.Classes {
		repeat := "safe"
		if c.Effect == policy.NonIdempotent {
			repeat = "unsafe"
		}
		profiles = append(profiles, map[string]any{"name": c.Name, "goal-time": c.LatencyObjective, "deadline": c.Deadline, "worth": c.PriorityWeight,
			"late-worth": c.LatePriorityWeight, "repeat": repeat})
	}
	for _, p := range set.Plans {
		one := map[string]any{"name": p.Name, "usual-rate": p.Rate, "reservation": p.ReservedRate, "shares": p.Weight, "price": p.Price}
		if p.RateLimit > 0 {
			one["cap"], one["burst"] = p.RateLimit, p.LimitBurst
		}
		contracts = append(contracts, one)
	}
	return map[string]any{"membership-mode": "ask", "profiles": profiles, "contracts": contracts,
		"ceilings": map[string]any{"max-attempts": set.MaxAttempts, "second-copies": set.MayHedge, "may-cancel": set.MayCancel,
			"retry-after": set.SendsRetryAfter, "max-retry-after": set.MaxRetryAfter},
		"rules": map[string]any{"stop-sending-within": set.DrainGrace, "ask-within": set.ListStalenessBound, "cold-from": set.SlowStartShare,
			"cold": set.SlowStartDuration, "tip-multiple": set.OverloadMultiple, "overload-for": set.OverloadWindow},
		"extra": map[string]any{"usual-units": set.MeanUnits, "largest": set.MaxUnits, "young-limit": set.SlowStartUnits, "slots-total": nodes}}
}

func newReal(ctx context.Context, opt RealOptions, sc Scenario, mode Mode, kept [][]byte) (*realRun, error) {
	w := &realRun{opt: opt, sc: sc, mode: mode, kept: kept, stop: make(chan struct{}), hosts: make([]realHost, opt.Hosts),
		nodes: make([]realNode, opt.Nodes), of: make([][]int, opt.Hosts)}
	draw := rand.New(rand.NewPCG(uint64(opt.Seed), 1))
	for i := range opt.Hosts * 2 {
		v := volume{id: fmt.Sprintf("%016x", i), plan: []string{"open", "open", "capped"}[i%3], hosts: []int{i % opt.Hosts}}
		if h := draw.IntN(opt.Hosts); h != v.hosts[0] {
			v.hosts = append(v.hosts, h)
		}
		for range shardsEach {
			v.shards = append(v.shards, draw.IntN(opt.Nodes))
		}
		for _, h := range v.hosts {
			w.of[h] = append(w.of[h], i)
		}
		w.vols = append(w.vols, v)
	}
	set := settings(opt.Hosts, opt.Nodes)
	bears := &standin.SlowStart{InitialSpeed: set.SlowStartShare, Duration: span(set.SlowStartDuration), InitialUnits: set.SlowStartUnits, MeanUnits: set.MeanUnits, Window: span(set.OverloadWindow),
		RestartDelay: span(fallFor)}
	var nodes []cluster.StorageNode
	for j := range opt.Nodes {
		nodes = append(nodes, cluster.StorageNode{Name: fmt.Sprint("s", j), Shard: j, Workers: 1, Queue: nodeQueue,
			Linked:      sc.Silent > 0 && j%sc.Silent == 0,
			ServiceTime: func(q *fasthttp.Request) time.Duration { return span(standin.Units(q) * 1000 / unitsSec) },
			Configure: func(o *standin.Options) {
				o.RecordAttempts, o.SlowStart, o.OnEvent = false, bears, func(s standin.Event) { w.saw(j, s) }
			}})
	}
	var err error
	w.f, err = cluster.Start(ctx, cluster.Options{Daemon: opt.Daemon, Daemons: opt.Hosts, Nodes: nodes, Settings: realSettings(opt.Hosts, opt.Nodes),
		Seed: uint64(opt.Seed), Known: true, Direct: true, DeferStart: true, MemoryMB: daemonMB, Env: []string{"GOMAXPROCS=1"},
		List:      discovery.Options{Capacity: opt.Capacity, Patience: time.Second, Queue: int(2*opt.Capacity) + 1},
		OnLogLine: w.said, Args: w.site})
	return w, err
}

// site writes a daemon's site file and its snapshot, and gives its arguments.
func (w *realRun) site(f *cluster.Fleet, i int) []string {
	if w.mode == Today {
		return nil
	}
	start := map[string]any{"list_priced": true, "list_calls_per_second": 0.6 * w.opt.Capacity}
	file := filepath.Join(f.Dir(i), "site.json")
	if w.mode == Snapshot {
		start["snapshot"] = w.snapshot(f, i)
		if w.kept != nil {
			must(os.WriteFile(w.snapshot(f, i), w.kept[i], 0o600))
		}
	}
	text, err := json.Marshal(map[string]any{"start": start})
	must(err)
	must(os.WriteFile(file, text, 0o600))
	return []string{"--site", file}
}

func (w *realRun) snapshot(f *cluster.Fleet, i int) string { return filepath.Join(f.Dir(i), "learned") }

// must is for files in a directory that was just made.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// said hears that a process serves its clients' socket.
func (w *realRun) said(i int, line []byte) {
	if !bytes.Contains(line, []byte("msg=serving")) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h := &w.hosts[i]
	h.listens, h.served = time.Now(), time.Time{}
	h.bare = append(h.bare, h.listens.Sub(h.exec))
}

// saw counts what a node meets.
func (w *realRun) saw(j int, s standin.Event) {
	now := time.Now()
	w.mu.Lock()
	n := &w.nodes[j]
	switch {
	case !w.open:
	case s == standin.Connected:
		n.connects = append(n.connects, now)
	case s == standin.RequestReceived:
		n.asked = append(n.asked, now)
	case s == standin.Crashed:
		w.row.Falls++
	}
	w.mu.Unlock()
	if s == standin.Restarted {
		if err := w.f.ReplaceNode(j); err != nil {
			w.mu.Lock()
			w.firsts = err
			w.mu.Unlock()
		}
	}
}

// launch starts a process.
func (w *realRun) launch(i int) error {
	w.mu.Lock()
	h := &w.hosts[i]
	h.exec, h.listens, h.down, h.life = time.Now(), time.Time{}, false, h.life+1
	w.mu.Unlock()
	return w.f.Launch(i)
}

// launchAll starts processes within a span, in an order and at times that the seed gives, and waits until all listen.
func (w *realRun) launchAll(ctx context.Context, which []int, within time.Duration) error {
	draw := rand.New(rand.NewPCG(uint64(w.opt.Seed), 2))
	begin := time.Now()
	at := make([]time.Duration, len(which))
	for k := range at {
		at[k] = time.Duration(draw.Int64N(int64(within) + 1))
	}
	slices.Sort(at)
	var execs errgroup.Group
	execs.SetLimit(launchesMost)
	for k, i := range draw.Perm(len(which)) {
		time.Sleep(time.Until(begin.Add(at[k])))
		execs.Go(func() error { return w.launch(which[i]) })
	}
	if err := execs.Wait(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, listenMost)
	defer stop()
	return w.f.Wait(ctx, "all processes listen", func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, i := range which {
			if w.hosts[i].listens.IsZero() {
				if !w.f.Proc(i).Alive() {
					stop() // no use to wait on
				}
				return fmt.Errorf("process %d does not listen", i)
			}
		}
		return nil
	})
}

// pick are the hosts for which a condition holds.
func (w *realRun) pick(cond func(i int) bool) (all []int) {
	for i := range w.hosts {
		if cond(i) {
			all = append(all, i)
		}
	}
	return all
}

// play is the start of the fleet.
func (w *realRun) play(ctx context.Context) error {
	stay := w.pick(func(i int) bool { return i%10 >= w.sc.Killed })
	go0 := w.pick(func(i int) bool { return i%10 < w.sc.Killed })
	if len(stay) > 0 {
		if err := w.launchAll(ctx, stay, startWithin); err != nil {
			return err
		}
		w.clients(stay)
		wait, stop := context.WithTimeout(ctx, learnMost)
		defer stop()
		if err := w.f.Wait(wait, "those that stay serve", func() error { return w.allServe(stay) }); err != nil {
			return err
		}
		time.Sleep(learnBefore) // and warm their windows
	}
	if err := w.fail(); err != nil {
		return err
	}
	w.begin(stay)
	w.clients(go0)
	if err := w.launchAll(ctx, go0, startWithin); err != nil {
		return err
	}
	if w.sc.Again {
		if err := sleep(ctx, againAfter); err != nil {
			return err
		}
		half := w.pick(func(i int) bool { return i%2 == 0 })
		for _, i := range half {
			w.mu.Lock()
			w.hosts[i].down = true
			w.mu.Unlock()
			if err := w.f.Kill(i); err != nil {
				return err
			}
		}
		if err := w.launchAll(ctx, half, startWithin/2); err != nil {
			return err
		}
	}
	if down := span(w.sc.ListDown); down > 0 {
		if err := sleep(ctx, down); err != nil {
			return err
		}
		if err := w.lists(cluster.ListHealthy); err != nil {
			return err
		}
		if err := sleep(ctx, w.opt.Window-down); err != nil {
			return err
		}
	} else if err := sleep(ctx, w.opt.Window); err != nil {
		return err
	}
	waited := 0
	for j := range w.nodes {
		if l := w.f.StorageLink(0, j); l != nil {
			waited += l.PendingConnects()
		}
	}
	close(w.stop)
	w.load.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.row.LinksWaited = waited
	return w.firsts
}

const learnBefore = 2 * time.Second

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// fail does what the scenario does to nodes and list.
func (w *realRun) fail() error {
	for j := range w.nodes {
		if w.sc.ColdNodes > 0 && j%w.sc.ColdNodes == 0 {
			w.f.Node(j).BeginSlowStart()
			if err := w.f.ReplaceNode(j); err != nil {
				return err
			}
		}
		if l := w.f.StorageLink(0, j); l != nil {
			if err := l.SetFault(link.Both, link.Fault{Hold: true, Silent: true}); err != nil {
				return err
			}
		}
		if w.sc.Mute && j == 1 {
			if err := w.f.SetNodeFault(j, standin.Hang); err != nil {
				return err
			}
		}
	}
	if w.sc.ListDown > 0 {
		return w.lists(cluster.ListDown)
	}
	return nil
}

func (w *realRun) lists(f cluster.ListFault) error {
	for i := range w.hosts {
		if err := w.f.SetListFault(i, f); err != nil {
			return err
		}
	}
	return nil
}

// begin has all figures count from now; the clocks of the processes that stay too.
func (w *realRun) begin(stay []int) {
	w.f.ResetListLoad()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open, w.start = true, time.Now()
	for _, i := range stay {
		w.hosts[i].listens, w.hosts[i].served = w.start, time.Time{}
		w.hosts[i].bare = nil
	}
	w.row = RealRow{}
}

func (w *realRun) allServe(which []int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range which {
		if w.hosts[i].served.IsZero() {
			return fmt.Errorf("process %d has served nobody", i)
		}
	}
	return nil
}

// close ends all of it; the clients have ended, or end now.
func (w *realRun) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
		w.load.Wait()
	}
	w.f.Close()
}

// learn is an ordinary life, until each process has kept a snapshot.
func learn(ctx context.Context, opt RealOptions) ([][]byte, error) {
	w, err := newReal(ctx, opt, Scenario{Killed: 10}, Snapshot, nil)
	if err != nil {
		return nil, err
	}
	defer w.close()
	all := w.pick(func(int) bool { return true })
	w.clients(all)
	if err := w.launchAll(ctx, all, startWithin); err != nil {
		return nil, err
	}
	kept := make([][]byte, opt.Hosts)
	wait, stop := context.WithTimeout(ctx, learnMost)
	defer stop()
	return kept, w.f.Wait(wait, "each process has kept what it learned", func() error {
		for i := range kept {
			if kept[i] != nil {
				continue
			}
			text, err := os.ReadFile(w.snapshot(w.f, i)) // written whole: it is renamed
			if err != nil {
				return err
			}
			kept[i] = text
		}
		return nil
	})
}

// clients ask the hosts at the rate, each by its own clock, whatever comes of it.
func (w *realRun) clients(which []int) {
	for _, i := range which {
		pool := &client.Pool{Address: w.f.ClientAddr(i), MaxConns: clientConns}
		w.load.Go(func() {
			defer pool.Close()
			var asks sync.WaitGroup
			defer asks.Wait()
			draw := rand.New(rand.NewPCG(uint64(w.opt.Seed), uint64(i)+100))
			every := span(1000 / realRate)
			next := time.Now().Add(time.Duration(draw.Int64N(int64(every))))
			for n := 0; ; n++ {
				select {
				case <-w.stop:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(every)
				v := w.vols[w.of[i][draw.IntN(len(w.of[i]))]]
				m := client.Message{Class: "safe", Plan: v.plan, Volume: v.id, Units: float64(1 + draw.IntN(3)), Hosts: len(v.hosts),
					Shard: v.shards[draw.IntN(len(v.shards))], Extent: fmt.Sprintf("%08x%08x", i, n), Deadline: 2 * time.Second}
				if draw.IntN(2) == 0 {
					m.Class, m.Write, m.Body = "once", true, []byte("x")
				}
				id, jitter := fmt.Sprint(m.Class, "-", i, "-", n), draw.Float64()
				asks.Go(func() { w.ask(pool, i, m, id, jitter) })
			}
		})
	}
}

// ask is one client: it comes again when it is told to, and where nobody listens, for a while.
func (w *realRun) ask(pool *client.Pool, i int, m client.Message, id string, jitter float64) {
	first := time.Now()
	for try := 0; time.Since(first) < span(patience); try++ {
		m.ID, m.Retry = fmt.Sprint(id, "-", try), try > 0
		w.mu.Lock()
		life := w.hosts[i].life
		w.mu.Unlock()
		a := pool.Do(&m, time.Now())
		w.book(i, life, a)
		wait := 100 * time.Millisecond
		switch a.Outcome {
		case client.NoConn:
		case client.Rejected:
			wait = max(a.RetryAfter, span(50))
		default:
			return
		}
		select {
		case <-w.stop:
			return
		case <-time.After(time.Duration(float64(wait) * (1 + 0.2*jitter))):
		}
	}
}

// book counts an end, by the clock of its process.
func (w *realRun) book(i, life int, a client.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := &w.hosts[i]
	if h.life != life || h.down || h.listens.IsZero() {
		return
	}
	age := a.Ended.Sub(h.listens)
	if a.Outcome == client.Served && h.served.IsZero() {
		h.served = a.Ended
	}
	if !w.open || age > w.opt.Window {
		return
	}
	switch a.Outcome {
	case client.Served:
		w.row.Served++
	case client.Rejected:
		w.row.Refused++
		if i%10 >= w.sc.Killed {
			w.row.StayRefused++
		}
	case client.Failed:
		w.row.Failed++
	case client.Reset, client.TimedOut:
		w.row.Unanswered++
	}
}
