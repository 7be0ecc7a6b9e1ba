package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/steppedclock"
)

const (
	killDelay          = 700 * time.Millisecond // after the longest deadline, from SIGTERM to the earliest SIGKILL
	maxCountedDeadline = 3 * time.Second
	readyWithin        = 10 * time.Second
	signalGap          = 5 * time.Millisecond // between two signals of a series
	logTail            = 1500                 // bytes of a daemon's log in a breach
)

// RunOptions configure a run of several seeds.
type RunOptions struct {
	Seeds   []uint64
	Length  time.Duration // of each scenario
	Daemon  string        // path of the built daemon
	Stepped string        // path of the daemon whose clock can be stepped; "": it is built when a scenario needs it
	Dir     string        // folder for the daemons' files
	Log     logrus.FieldLogger
}

// SeedResult is what one scenario showed.
type SeedResult struct {
	Seed                       uint64
	Scenario                   string
	Ends                       Ends
	Sound                      int // requests outside of restarts that were sound, and how many of them were served
	Served                     int
	Transfers, TransfersServed int     // the same for requests and answers that rest
	PeakMB                     float64 // resident
	Broken                     []Breach
}

// Result is what all scenarios showed.
type Result struct{ Seeds []SeedResult }

// Broken returns the seeds that broke a rule.
func (r *Result) Broken() (seeds []uint64) {
	for _, s := range r.Seeds {
		if len(s.Broken) > 0 {
			seeds = append(seeds, s.Seed)
		}
	}
	return seeds
}

// maxPrintedBreaches is how many breaches of one seed are printed.
const maxPrintedBreaches = 6

// Print prints the scenarios, their counts and the broken rules.
func (r *Result) Print(w io.Writer) error {
	for _, s := range r.Seeds {
		fmt.Fprintf(w, "%s\n  %+v; sound %d of %d, transfers %d of %d; peak %.1f MB; %d broken\n", s.Scenario, s.Ends, s.Served, s.Sound, s.TransfersServed,
			s.Transfers, s.PeakMB, len(s.Broken))
		for _, b := range s.Broken[:min(len(s.Broken), maxPrintedBreaches)] {
			fmt.Fprintf(w, "  BROKEN %s\n", b)
		}
	}
	_, err := fmt.Fprintf(w, "%d seeds, %d with a broken rule\n", len(r.Seeds), len(r.Broken()))
	return err
}

// Run plays the scenario of each seed, one after the other. An error says that a scenario could not be played.
func Run(ctx context.Context, options RunOptions) (*Result, error) {
	result := &Result{}
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return result, err
	}
	for _, seed := range options.Seeds {
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		s := NewScenario(seed, options.Length)
		options.Log.Info(s.String())
		if len(s.ClockSteps) > 0 && options.Stepped == "" {
			stepped, err := steppedclock.Build(ctx, options.Dir, "wheatsaddle/cmd/wheatsaddle")
			if err != nil {
				return result, err
			}
			options.Stepped = stepped
		}
		one, err := options.play(ctx, s)
		if err != nil {
			return result, fmt.Errorf("seed %d: %w", seed, err)
		}
		if len(one.Broken) > 0 {
			options.Log.WithField("seed", seed).Warnf("%d times a rule was broken, first: %s", len(one.Broken), one.Broken[0])
		}
		result.Seeds = append(result.Seeds, one)
	}
	return result, nil
}

// play plays one scenario.
func (o RunOptions) play(ctx context.Context, s Scenario) (SeedResult, error) {
	dir := filepath.Join(o.Dir, fmt.Sprint("seed-", s.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return SeedResult{}, err
	}
	command, err := injectCommand(s.SystemCalls)
	if err != nil {
		return SeedResult{}, err
	}
	options := Options{Daemon: o.Daemon, Dir: dir, Nodes: s.Nodes, Replicas: s.Replicas, Ceilings: s.Ceilings, MemoryMB: s.MemoryMB, Objective: s.Objective, Deadline: s.Deadline,
		PassedSocket: s.PassedSocket, Links: s.hasLinkFaults(), Seed: s.Seed, Command: command}
	if len(s.ClockSteps) > 0 {
		options.Daemon, options.Env = o.Stepped, []string{steppedclock.Environment(s.ClockSteps)}
	}
	d, err := Start(ctx, options)
	if err != nil {
		return SeedResult{}, err
	}
	defer d.Close()
	return newPlay(d, s).run(ctx), nil
}

// play is one scenario that is being played.
type play struct {
	deployment    *Deployment
	scenario      Scenario
	startedAt     time.Time
	stop          chan struct{}
	beside        sync.WaitGroup // clients and faults beside the traffic
	broken        breaches
	interruptions []interruption
	oldDone       sync.WaitGroup // their ends
	mu            sync.Mutex     // guards interruptions
	burstEndedAt  time.Time      // when the leavers had ended; zero: there were none
}

func newPlay(d *Deployment, s Scenario) *play {
	return &play{deployment: d, scenario: s, startedAt: time.Now(), stop: make(chan struct{})}
}

// run plays the scenario to its end and judges it.
func (p *play) run(ctx context.Context) SeedResult {
	memory := p.deployment.watchMemory()
	clients := startTraffic(p.deployment, p.scenario)
	p.startPictures()
	p.beside.Go(p.setLinkFaults)
	for _, r := range p.scenario.Restarts {
		time.Sleep(time.Until(p.startedAt.Add(r.At)))
		if !p.restart(ctx, r) {
			break
		}
	}
	time.Sleep(time.Until(p.startedAt.Add(p.scenario.Length)))
	p.checkAlive()
	close(p.stop)
	sent := clients.end()
	p.beside.Wait()
	p.terminate(p.deployment.Proc, Restart{})
	p.oldDone.Wait()
	peak := memory.end()
	if limit := int64(p.scenario.MemoryMB) * bytesPerMB; peak.Resident >= limit {
		p.broken.add(ruleMemory, "%d bytes of %d", peak.Resident, limit)
	}
	j := judge{scenario: p.scenario, nodes: p.deployment.Nodes, interruptions: p.interruptions, burstEndedAt: p.burstEndedAt, broken: &p.broken}
	j.judgeAll(sent)
	return SeedResult{Seed: p.scenario.Seed, Scenario: p.scenario.String(), Ends: j.ends, Sound: j.sound, Served: j.served, Transfers: j.transfers, TransfersServed: j.transfersServed,
		PeakMB: float64(peak.Resident) / bytesPerMB, Broken: p.broken.all}
}

// startPictures starts the clients of the scenario's pictures.
func (p *play) startPictures() {
	d, s := p.deployment, p.scenario
	if s.Pictures[Crowds] {
		s.Crowd.startClients(d, p.stop, &p.beside)
	}
	if s.Pictures[Floods] {
		flood := Flood{Kind: s.Flood}
		for range s.FloodConns {
			p.beside.Go(func() { flood.repeat(d, p.stop) })
		}
	}
	if s.Pictures[LeavingOnes] {
		p.beside.Go(func() { p.playLeavers() })
	}
	if s.Pictures[SlowNodes] {
		for i := range slowNodeClients {
			p.beside.Go(func() { p.requestLongAnswers(i) })
		}
	}
}

// playLeavers plays picture (d) before the first restart. Where nodes' connections may break, an idempotent request may run again.
func (p *play) playLeavers() {
	leavers := Leavers{Repeats: 20, Pipelines: 10, Pipelined: 30, Loaded: true}
	if p.scenario.cutsConnections() {
		leavers.Classes = []string{ClassWrite}
		leavers.Pipelines = 0
	}
	for _, b := range leavers.Play(p.deployment, fmt.Sprint("leaver-", p.scenario.Seed), leaverWorkInSoak) {
		p.broken.add(b.Rule, "%s", b.Detail)
	}
	p.burstEndedAt = time.Now()
}

const (
	leaverWorkInSoak = 100 * time.Millisecond
	slowNodeClients  = 6
)

// requestLongAnswers requests long answers that their node writes slowly, on a new connection each.
func (p *play) requestLongAnswers(client int) {
	for i := 0; ; i++ {
		r := Request{ID: fmt.Sprintf("long-%d-%d-%d", p.scenario.Seed, client, i), Class: ClassRead, Shard: i % p.scenario.Nodes, Deadline: p.scenario.Deadline,
			Script: slowScript(client + i)}
		_ = p.deployment.Send(r) // the traffic has such requests too, which are judged
		if pause(p.stop, reconnectPause) {
			return
		}
	}
}

// setLinkFaults sets and clears the faults of the links at their times.
func (p *play) setLinkFaults() {
	for _, f := range p.scenario.LinkFaults {
		if pause(p.stop, time.Until(p.startedAt.Add(f.At))) {
			return
		}
		l := p.deployment.Links[f.Node]
		if err := l.SetFault(f.Direction, f.Fault); err != nil {
			p.broken.add("the scenario can be played", "%v", err)
			return
		}
		ended := pause(p.stop, f.Duration)
		_ = l.SetFault(link.Both, link.Fault{}) // no fault is always supported
		if ended {
			return
		}
	}
}

// checkAlive checks that the daemon has not ended by itself.
func (p *play) checkAlive() bool {
	if p.deployment.Proc.Alive() {
		return true
	}
	log := p.deployment.Proc.Log()
	p.broken.add(ruleRuns, "%v; %s", p.deployment.Proc.Wait(context.Background()), log[max(0, len(log)-logTail):])
	return false
}

// restart restarts the daemon, and waits until a process is ready. It returns false if none is.
func (p *play) restart(ctx context.Context, r Restart) bool {
	if !p.checkAlive() {
		return false
	}
	d, i := p.deployment, interruption{from: time.Now(), killed: r.Kind == Kill}
	switch r.Kind {
	case Kill:
		d.Proc.KillAndWait()
	case Terminate:
		p.terminate(d.Proc, r)
	case Upgrade:
		return p.upgrade(ctx, r, i)
	}
	if err := d.Proc.Start(); err != nil {
		p.broken.add(ruleReady, "%v", err)
		return false
	}
	return p.awaitReady(ctx, i)
}

// awaitReady waits until the current process is ready, and records the interruption.
func (p *play) awaitReady(ctx context.Context, i interruption) bool {
	startedAt := time.Now()
	err := p.deployment.WaitReady(ctx)
	if took := time.Since(startedAt); err != nil || took > readyWithin {
		p.broken.add(ruleReady, "after %v: %v", took, err)
	}
	i.to = time.Now()
	p.addInterruption(i)
	return err == nil
}

func (p *play) addInterruption(i interruption) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interruptions = append(p.interruptions, i)
}

// upgrade starts another process on the passed socket and ends the old one, as terminate does, beside the next steps.
func (p *play) upgrade(ctx context.Context, r Restart, i interruption) bool {
	startedAt := time.Now()
	old, err := p.deployment.startNext(ctx)
	if err != nil {
		p.broken.add(ruleReady, "next process, after %v: %v", time.Since(startedAt), err)
		return false
	}
	i.from = time.Now()
	p.oldDone.Go(func() {
		p.terminate(old, r)
		i.to = time.Now()
		p.addInterruption(i)
	})
	return true
}

// terminate sends a process the signals of a restart, awaits its end until the earliest time at which the pages allow SIGKILL, and kills
// it then.
func (p *play) terminate(process *cluster.Proc, r Restart) {
	for range r.Before {
		_ = process.Signal(syscall.SIGHUP)
		time.Sleep(signalGap)
	}
	killAt := time.Now().Add(min(p.scenario.Deadline, maxCountedDeadline) + killDelay)
	_ = process.Signal(syscall.SIGTERM)
	for range r.After {
		time.Sleep(signalGap)
		_ = process.Signal(syscall.SIGHUP)
	}
	if r.Again {
		time.Sleep(signalGap)
		_ = process.Signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithDeadline(context.Background(), killAt)
	defer cancel()
	if err := process.Wait(ctx); errors.Is(err, context.DeadlineExceeded) {
		log := process.Log()
		p.broken.add(ruleExit, "it still ran; %s", log[max(0, len(log)-logTail):])
		process.KillAndWait()
	} else if err != nil {
		p.broken.add(ruleExit, "%v", err)
	}
}
