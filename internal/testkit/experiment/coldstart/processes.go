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
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

// Parameters of runs with processes. Those of the nodes and the settings are the same as in the simulation.
const (
	requestRate           = 3.0              // requests per second to each scheduler
	launchPeriod          = time.Second      // all processes are started within this time
	defaultProcessWindow  = 10 * time.Second // default of ProcessOptions.Window
	listenTimeout         = 90 * time.Second // for all processes to listen
	learnTimeout          = 60 * time.Second // for survivors to serve, and for all processes to write a snapshot
	secondKillDelay       = 2 * time.Second  // from when all killed hosts listen again until half of the hosts are killed again
	daemonMemoryMiB       = 48
	maxConnsPerPool       = 16 // client connections to one scheduler
	maxConcurrentLaunches = 32
)

// ProcessOptions configure a run with processes of the daemon.
type ProcessOptions struct {
	Options
	Daemon string        // path of the daemon; "": build it
	Window time.Duration // time after a process listens in which its requests are counted; 0: 10 s
}

// ProcessScenarios returns the scenarios that are run with processes.
func ProcessScenarios() (list []Scenario) {
	for _, s := range Scenarios {
		if !s.ListPushed && s.Name != "release" {
			list = append(list, s)
		}
	}
	return list
}

// processRun is the run of one scenario in one mode with processes.
type processRun struct {
	opt         ProcessOptions
	scenario    Scenario
	mode        Mode
	snapshots   [][]byte // of earlier processes, by host; nil: none
	fleet       *cluster.Fleet
	volumes     []volume
	hostVolumes [][]int       // indices of the volumes of each host
	startedAt   time.Time     // when counting began
	stop        chan struct{} // closed to stop the clients
	clients     sync.WaitGroup
	mu          sync.Mutex // guards the fields below
	hosts       []processHost
	nodes       []processNode
	counting    bool // nodes and responses are counted
	row         ProcessRow
	replaceErr  error // the last error of updating the list after a node restarted
}

// processHost is the state of one scheduler, of which processes are started and killed.
type processHost struct {
	execAt, listensAt, firstServed time.Time
	incarnation                    int
	down                           bool
	listenDelays                   []time.Duration // from exec until it listened, of each process
}

// processNode has the times of connects and requests at one node.
type processNode struct{ connects, requests []time.Time }

// RunProcesses runs the scenarios with processes of the daemon, in each mode. If opt.Starts is empty, only the first scenario
// is run with snapshots, so that the whole run ends within five minutes.
func RunProcesses(ctx context.Context, opt ProcessOptions, onStart func(scenario string, mode Mode)) (*ProcessReport, error) {
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
	opt.Window = cmp.Or(opt.Window, defaultProcessWindow)
	rep := &ProcessReport{Options: opt.Options}
	var snapshots [][]byte
	for _, sc := range ProcessScenarios() {
		if len(opt.Scenarios) > 0 && !slices.Contains(opt.Scenarios, sc.Name) {
			continue
		}
		for mode := WithoutColdStart; mode <= WithSnapshot; mode++ {
			if len(opt.Starts) > 0 && !slices.Contains(opt.Starts, mode.String()) || len(opt.Starts) == 0 && snapshots != nil && mode == WithSnapshot {
				continue
			}
			if mode == WithSnapshot && snapshots == nil {
				onStart("normal operation to collect snapshots", mode)
				if snapshots, err = collectSnapshots(ctx, opt); err != nil {
					return nil, err
				}
			}
			onStart(sc.Name, mode)
			row, err := runProcessScenario(ctx, opt, sc, mode, snapshots)
			if err != nil {
				return nil, err
			}
			rep.Rows = append(rep.Rows, row)
		}
	}
	return rep, nil
}

// runProcessScenario runs one scenario in one mode. If another program took the port of a process before it listened, the run
// is repeated.
func runProcessScenario(ctx context.Context, opt ProcessOptions, sc Scenario, mode Mode, snapshots [][]byte) (ProcessRow, error) {
	for attempt := 1; ; attempt++ {
		run, err := newProcessRun(ctx, opt, sc, mode, snapshots)
		if err != nil {
			return ProcessRow{}, err
		}
		err = run.runScenario(ctx)
		run.close()
		if err == nil {
			return run.result(), nil
		}
		if attempt == maxRunAttempts || !strings.Contains(err.Error(), "sock-in-use") {
			return ProcessRow{}, err
		}
	}
}

const maxRunAttempts = 3

// platformSettings returns the settings of the simulation with the keys of the platform's settings.
func platformSettings(hosts, nodes int) map[string]any {
	cfg := settings(hosts, nodes)
	var profiles, contracts []map[string]any
	for _, c := range cfg.Classes {
		repeat := "safe"
		if c.Effect == policy.NonIdempotent {
			repeat = "unsafe"
		}
		profiles = append(profiles, map[string]any{"name": c.Name, "goal-time": c.LatencyObjective, "deadline": c.Deadline, "worth": c.PriorityWeight,
			"late-worth": c.LatePriorityWeight, "repeat": repeat})
	}
	for _, p := range cfg.Plans {
		contract := map[string]any{"name": p.Name, "usual-rate": p.Rate, "reservation": p.ReservedRate, "shares": p.Weight, "price": p.Price}
		if p.RateLimit > 0 {
			contract["cap"], contract["burst"] = p.RateLimit, p.LimitBurst
		}
		contracts = append(contracts, contract)
	}
	return map[string]any{"membership-mode": "ask", "profiles": profiles, "contracts": contracts,
		"ceilings": map[string]any{"max-attempts": cfg.MaxAttempts, "second-copies": cfg.MayHedge, "may-cancel": cfg.MayCancel,
			"retry-after": cfg.SendsRetryAfter, "max-retry-after": cfg.MaxRetryAfter},
		"rules": map[string]any{"stop-sending-within": cfg.DrainGrace, "ask-within": cfg.ListStalenessBound, "cold-from": cfg.SlowStartShare,
			"cold": cfg.SlowStartDuration, "tip-multiple": cfg.OverloadMultiple, "overload-for": cfg.OverloadWindow},
		"extra": map[string]any{"usual-units": cfg.MeanUnits, "largest": cfg.MaxUnits, "young-limit": cfg.SlowStartUnits, "slots-total": nodes}}
}

func newProcessRun(ctx context.Context, opt ProcessOptions, sc Scenario, mode Mode, snapshots [][]byte) (*processRun, error) {
	run := &processRun{opt: opt, scenario: sc, mode: mode, snapshots: snapshots, stop: make(chan struct{}), hosts: make([]processHost, opt.Hosts),
		nodes: make([]processNode, opt.Nodes), hostVolumes: make([][]int, opt.Hosts)}
	rng := rand.New(rand.NewPCG(uint64(opt.Seed), 1))
	for i := range opt.Hosts * 2 {
		v := volume{id: fmt.Sprintf("%016x", i), plan: []string{"open", "open", "capped"}[i%3], hosts: []int{i % opt.Hosts}}
		if h := rng.IntN(opt.Hosts); h != v.hosts[0] {
			v.hosts = append(v.hosts, h)
		}
		for range shardsPerVolume {
			v.shards = append(v.shards, rng.IntN(opt.Nodes))
		}
		for _, h := range v.hosts {
			run.hostVolumes[h] = append(run.hostVolumes[h], i)
		}
		run.volumes = append(run.volumes, v)
	}
	cfg := settings(opt.Hosts, opt.Nodes)
	slowStart := &fakenode.SlowStart{InitialSpeed: cfg.SlowStartShare, Duration: fromMillis(cfg.SlowStartDuration), InitialUnits: cfg.SlowStartUnits, MeanUnits: cfg.MeanUnits, Window: fromMillis(cfg.OverloadWindow),
		RestartDelay: fromMillis(crashDuration)}
	var nodes []cluster.StorageNode
	for j := range opt.Nodes {
		nodes = append(nodes, cluster.StorageNode{Name: fmt.Sprint("s", j), Shard: j, Workers: 1, Queue: nodeQueueLimit,
			Linked: sc.UnreachableNodeStep > 0 && j%sc.UnreachableNodeStep == 0,
			ServiceTime: func(q *fasthttp.Request) time.Duration {
				return fromMillis(fakenode.Units(q) * 1000 / nodeUnitsPerSecond)
			},
			Configure: func(o *fakenode.Options) {
				o.RecordAttempts, o.SlowStart, o.OnEvent = false, slowStart, func(s fakenode.Event) { run.onNodeEvent(j, s) }
			}})
	}
	var err error
	run.fleet, err = cluster.Start(ctx, cluster.Options{Daemon: opt.Daemon, Daemons: opt.Hosts, Nodes: nodes, Settings: platformSettings(opt.Hosts, opt.Nodes),
		Seed: uint64(opt.Seed), ListInConfig: true, Direct: true, DeferStart: true, MemoryMB: daemonMemoryMiB, Env: []string{"GOMAXPROCS=1"},
		List:      discovery.Options{Capacity: opt.Capacity, Patience: time.Second, Queue: int(2*opt.Capacity) + 1},
		OnLogLine: run.onLogLine, Args: run.writeSiteFile})
	return run, err
}

// writeSiteFile writes the site file and snapshot of a daemon and returns its command line arguments.
func (run *processRun) writeSiteFile(f *cluster.Fleet, i int) []string {
	if run.mode == WithoutColdStart {
		return nil
	}
	start := map[string]any{"list_priced": true, "list_calls_per_second": 0.6 * run.opt.Capacity}
	file := filepath.Join(f.Dir(i), "site.json")
	if run.mode == WithSnapshot {
		start["snapshot"] = run.snapshotPath(f, i)
		if run.snapshots != nil {
			must(os.WriteFile(run.snapshotPath(f, i), run.snapshots[i], 0o600))
		}
	}
	text, err := json.Marshal(map[string]any{"start": start})
	must(err)
	must(os.WriteFile(file, text, 0o600))
	return []string{"--site", file}
}

func (run *processRun) snapshotPath(f *cluster.Fleet, i int) string {
	return filepath.Join(f.Dir(i), "learned")
}

// must panics on an error. It is for writing files to a directory that was just created.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// onLogLine records the time at which a process logs that it accepts client connections.
func (run *processRun) onLogLine(i int, line []byte) {
	if !bytes.Contains(line, []byte("msg=serving")) {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	h := &run.hosts[i]
	h.listensAt, h.firstServed = time.Now(), time.Time{}
	h.listenDelays = append(h.listenDelays, h.listensAt.Sub(h.execAt))
}

// onNodeEvent counts connects, requests and crashes of a node, and updates the node list after the node restarted.
func (run *processRun) onNodeEvent(j int, event fakenode.Event) {
	now := time.Now()
	run.mu.Lock()
	n := &run.nodes[j]
	switch {
	case !run.counting:
	case event == fakenode.Connected:
		n.connects = append(n.connects, now)
	case event == fakenode.RequestReceived:
		n.requests = append(n.requests, now)
	case event == fakenode.Crashed:
		run.row.Falls++
	}
	run.mu.Unlock()
	if event == fakenode.Restarted {
		if err := run.fleet.ReplaceNode(j); err != nil {
			run.mu.Lock()
			run.replaceErr = err
			run.mu.Unlock()
		}
	}
}

// launch starts the process of a host.
func (run *processRun) launch(i int) error {
	run.mu.Lock()
	h := &run.hosts[i]
	h.execAt, h.listensAt, h.down, h.incarnation = time.Now(), time.Time{}, false, h.incarnation+1
	run.mu.Unlock()
	return run.fleet.Launch(i)
}

// launchAll starts the processes of hosts within a period, in random order and at random times according to the seed, and waits
// until all of them listen.
func (run *processRun) launchAll(ctx context.Context, hosts []int, period time.Duration) error {
	rng := rand.New(rand.NewPCG(uint64(run.opt.Seed), 2))
	start := time.Now()
	delays := make([]time.Duration, len(hosts))
	for k := range delays {
		delays[k] = time.Duration(rng.Int64N(int64(period) + 1))
	}
	slices.Sort(delays)
	var launches errgroup.Group
	launches.SetLimit(maxConcurrentLaunches)
	for k, i := range rng.Perm(len(hosts)) {
		time.Sleep(time.Until(start.Add(delays[k])))
		launches.Go(func() error { return run.launch(hosts[i]) })
	}
	if err := launches.Wait(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, listenTimeout)
	defer stop()
	return run.fleet.Wait(ctx, "all processes listen", func() error {
		run.mu.Lock()
		defer run.mu.Unlock()
		for _, i := range hosts {
			if run.hosts[i].listensAt.IsZero() {
				if !run.fleet.Proc(i).Alive() {
					stop() // the process has ended, so it will never listen
				}
				return fmt.Errorf("process %d does not listen", i)
			}
		}
		return nil
	})
}

// selectHosts returns the hosts for which a condition holds.
func (run *processRun) selectHosts(cond func(i int) bool) (hosts []int) {
	for i := range run.hosts {
		if cond(i) {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

// runScenario runs the scenario: it warms up the hosts that are not killed, injects the faults, starts the other hosts and
// counts until the end of the window.
func (run *processRun) runScenario(ctx context.Context) error {
	survivors := run.selectHosts(func(i int) bool { return i%10 >= run.scenario.KilledPerTen })
	killed := run.selectHosts(func(i int) bool { return i%10 < run.scenario.KilledPerTen })
	if len(survivors) > 0 {
		if err := run.launchAll(ctx, survivors, launchPeriod); err != nil {
			return err
		}
		run.startClients(survivors)
		waitCtx, stop := context.WithTimeout(ctx, learnTimeout)
		defer stop()
		if err := run.fleet.Wait(waitCtx, "surviving processes serve", func() error { return run.checkAllServe(survivors) }); err != nil {
			return err
		}
		time.Sleep(processWarmUp)
	}
	if err := run.injectFaults(); err != nil {
		return err
	}
	run.startCounting(survivors)
	run.startClients(killed)
	if err := run.launchAll(ctx, killed, launchPeriod); err != nil {
		return err
	}
	if run.scenario.KillHalfTwice {
		if err := sleep(ctx, secondKillDelay); err != nil {
			return err
		}
		half := run.selectHosts(func(i int) bool { return i%2 == 0 })
		for _, i := range half {
			run.mu.Lock()
			run.hosts[i].down = true
			run.mu.Unlock()
			if err := run.fleet.Kill(i); err != nil {
				return err
			}
		}
		if err := run.launchAll(ctx, half, launchPeriod/2); err != nil {
			return err
		}
	}
	if outage := fromMillis(run.scenario.ListOutage); outage > 0 {
		if err := sleep(ctx, outage); err != nil {
			return err
		}
		if err := run.setListFaults(cluster.ListHealthy); err != nil {
			return err
		}
		if err := sleep(ctx, run.opt.Window-outage); err != nil {
			return err
		}
	} else if err := sleep(ctx, run.opt.Window); err != nil {
		return err
	}
	pendingConnects := 0
	for j := range run.nodes {
		if storageLink := run.fleet.StorageLink(0, j); storageLink != nil {
			pendingConnects += storageLink.PendingConnects()
		}
	}
	close(run.stop)
	run.clients.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.row.LinksWaited = pendingConnects
	return run.replaceErr
}

const processWarmUp = 2 * time.Second // in which the windows of the surviving processes grow

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// injectFaults applies the faults of the scenario to nodes and list.
func (run *processRun) injectFaults() error {
	for j := range run.nodes {
		if run.scenario.RestartedNodeStep > 0 && j%run.scenario.RestartedNodeStep == 0 {
			run.fleet.Node(j).BeginSlowStart()
			if err := run.fleet.ReplaceNode(j); err != nil {
				return err
			}
		}
		if storageLink := run.fleet.StorageLink(0, j); storageLink != nil {
			if err := storageLink.SetFault(link.Both, link.Fault{Hold: true, Silent: true}); err != nil {
				return err
			}
		}
		if run.scenario.HungNode && j == 1 {
			if err := run.fleet.SetNodeFault(j, fakenode.Hang); err != nil {
				return err
			}
		}
	}
	if run.scenario.ListOutage > 0 {
		return run.setListFaults(cluster.ListDown)
	}
	return nil
}

func (run *processRun) setListFaults(f cluster.ListFault) error {
	for i := range run.hosts {
		if err := run.fleet.SetListFault(i, f); err != nil {
			return err
		}
	}
	return nil
}

// startCounting resets all counts. The times of surviving processes count from now, as if they began to listen now.
func (run *processRun) startCounting(survivors []int) {
	run.fleet.ResetListLoad()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.counting, run.startedAt = true, time.Now()
	for _, i := range survivors {
		run.hosts[i].listensAt, run.hosts[i].firstServed = run.startedAt, time.Time{}
		run.hosts[i].listenDelays = nil
	}
	run.row = ProcessRow{}
}

func (run *processRun) checkAllServe(hosts []int) error {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, i := range hosts {
		if run.hosts[i].firstServed.IsZero() {
			return fmt.Errorf("process %d has not served a request", i)
		}
	}
	return nil
}

// close stops the clients, if they have not stopped yet, and the fleet.
func (run *processRun) close() {
	select {
	case <-run.stop:
	default:
		close(run.stop)
		run.clients.Wait()
	}
	run.fleet.Close()
}

// collectSnapshots runs a fleet in normal operation until each process has written a snapshot, and returns the snapshots.
func collectSnapshots(ctx context.Context, opt ProcessOptions) ([][]byte, error) {
	run, err := newProcessRun(ctx, opt, Scenario{KilledPerTen: 10}, WithSnapshot, nil)
	if err != nil {
		return nil, err
	}
	defer run.close()
	hosts := run.selectHosts(func(int) bool { return true })
	run.startClients(hosts)
	if err := run.launchAll(ctx, hosts, launchPeriod); err != nil {
		return nil, err
	}
	snapshots := make([][]byte, opt.Hosts)
	waitCtx, stop := context.WithTimeout(ctx, learnTimeout)
	defer stop()
	return snapshots, run.fleet.Wait(waitCtx, "each process has written a snapshot", func() error {
		for i := range snapshots {
			if snapshots[i] != nil {
				continue
			}
			text, err := os.ReadFile(run.snapshotPath(run.fleet, i)) // complete, because the daemon writes it with a rename
			if err != nil {
				return err
			}
			snapshots[i] = text
		}
		return nil
	})
}

// startClients sends requests to each of the hosts at a fixed rate, regardless of the responses.
func (run *processRun) startClients(hosts []int) {
	for _, i := range hosts {
		pool := &client.Pool{Address: run.fleet.ClientAddr(i), MaxConns: maxConnsPerPool}
		run.clients.Go(func() {
			defer pool.Close()
			var pending sync.WaitGroup
			defer pending.Wait()
			rng := rand.New(rand.NewPCG(uint64(run.opt.Seed), uint64(i)+100))
			interval := fromMillis(1000 / requestRate)
			next := time.Now().Add(time.Duration(rng.Int64N(int64(interval))))
			for n := 0; ; n++ {
				select {
				case <-run.stop:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(interval)
				v := run.volumes[run.hostVolumes[i][rng.IntN(len(run.hostVolumes[i]))]]
				message := client.Message{Class: "safe", Plan: v.plan, Volume: v.id, Units: float64(1 + rng.IntN(3)), Hosts: len(v.hosts),
					Shard: v.shards[rng.IntN(len(v.shards))], Extent: fmt.Sprintf("%08x%08x", i, n), Deadline: 2 * time.Second}
				if rng.IntN(2) == 0 {
					message.Class, message.Write, message.Body = "once", true, []byte("x")
				}
				id, jitter := fmt.Sprint(message.Class, "-", i, "-", n), rng.Float64()
				pending.Go(func() { run.sendUntilAnswered(pool, i, message, id, jitter) })
			}
		})
	}
}

// sendUntilAnswered sends a request and retries it for clientRetryDuration while it is rejected or the host doesn't listen.
func (run *processRun) sendUntilAnswered(pool *client.Pool, i int, message client.Message, id string, jitter float64) {
	firstSent := time.Now()
	for attempt := 0; time.Since(firstSent) < fromMillis(clientRetryDuration); attempt++ {
		message.ID, message.Retry = fmt.Sprint(id, "-", attempt), attempt > 0
		run.mu.Lock()
		incarnation := run.hosts[i].incarnation
		run.mu.Unlock()
		answer := pool.Do(&message, time.Now())
		run.countAnswer(i, incarnation, answer)
		wait := 100 * time.Millisecond
		switch answer.Outcome {
		case client.NoConn:
		case client.Rejected:
			wait = max(answer.RetryAfter, fromMillis(50))
		default:
			return
		}
		select {
		case <-run.stop:
			return
		case <-time.After(time.Duration(float64(wait) * (1 + 0.2*jitter))):
		}
	}
}

// countAnswer counts the response to a request. It ignores requests sent to an earlier process of the host, to a host that
// was killed or doesn't listen yet, and, except for the time of the first one served, those that ended after the window.
func (run *processRun) countAnswer(i, incarnation int, answer client.Answer) {
	run.mu.Lock()
	defer run.mu.Unlock()
	h := &run.hosts[i]
	if h.incarnation != incarnation || h.down || h.listensAt.IsZero() {
		return
	}
	age := answer.Ended.Sub(h.listensAt)
	if answer.Outcome == client.Served && h.firstServed.IsZero() {
		h.firstServed = answer.Ended
	}
	if !run.counting || age > run.opt.Window {
		return
	}
	switch answer.Outcome {
	case client.Served:
		run.row.Served++
	case client.Rejected:
		run.row.Refused++
		if i%10 >= run.scenario.KilledPerTen {
			run.row.StayRefused++
		}
	case client.Failed:
		run.row.Failed++
	case client.Reset, client.TimedOut:
		run.row.Unanswered++
	}
}
