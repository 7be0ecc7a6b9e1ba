// Package fleet starts and stops the processes of a load test on this machine: one fake storage node
// per shard, and schedulers of the built daemon, each configured with the list of the nodes. All of
// them use loopback addresses.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/exampleconfig"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/workload"
)

// Options configure a fleet.
type Options struct {
	Shape           workload.Shape
	Schedulers      int
	Daemon          string        // path of the built daemon; "": as cluster.Build finds or builds it
	MeanServiceTime time.Duration // mean service time of a unit at a node
	Workers         int           // per node
	Seed            uint64
	MemoryMB        int
	Log             logrus.FieldLogger
}

// Fleet is a running fleet.
type Fleet struct {
	Nodes   []*node.Node
	Targets []string // addresses at which the schedulers accept clients
	daemons []*cluster.Proc
	dir     string
	log     logrus.FieldLogger
}

const (
	readyTimeout = 10 * time.Second
	stopTimeout  = 10 * time.Second
)

// Start starts the fleet and waits until every scheduler is ready.
func Start(ctx context.Context, opt Options) (f *Fleet, err error) {
	f = &Fleet{log: opt.Log}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "loadtest"); err != nil {
		return f, err
	}
	if opt.Daemon == "" {
		if opt.Daemon, err = cluster.Build(ctx, f.dir); err != nil {
			return f, err
		}
	}
	var endpoints []cluster.Entry
	for shard := range opt.Shape.Shards {
		rng := rand.New(rand.NewPCG(opt.Seed, uint64(shard)))
		draws := make(chan float64, 256)
		go func() { // one random source per node, so the draws do not depend on the order of its workers
			for {
				select {
				case draws <- 0.5 + rng.ExpFloat64()/2:
				case <-ctx.Done():
					return
				}
			}
		}()
		n := node.New(node.Options{Name: fmt.Sprint("s-", shard), Shard: shard, Workers: opt.Workers, QueueLimit: 64, ReportShard: true,
			ServiceTime: func(*fasthttp.Request) time.Duration {
				select {
				case x := <-draws:
					return time.Duration(x * float64(opt.MeanServiceTime))
				case <-ctx.Done():
					return 0
				}
			}})
		f.Nodes = append(f.Nodes, n)
		a, err := n.Listen("127.0.0.1:0")
		if err != nil {
			return f, err
		}
		endpoints = append(endpoints, cluster.Entry{Name: fmt.Sprint("s-", shard), Address: a.String(), Group: shard,
			Status: "active", Weight: 1})
	}
	for i := range opt.Schedulers {
		if err := f.startScheduler(opt, i, endpoints); err != nil {
			return f, err
		}
	}
	err = f.waitReady(ctx)
	return f, err
}

// startScheduler starts one daemon. Nothing listens at its discovery address, so it uses the list in its configuration.
func (f *Fleet) startScheduler(opt Options, i int, endpoints []cluster.Entry) error {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	unusedAddress, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	s := opt.Shape
	var settings map[string]any
	if err := json.Unmarshal(exampleconfig.Settings, &settings); err != nil {
		return err
	}
	var profiles, contracts []map[string]any
	for _, c := range s.Classes {
		p := map[string]any{"name": c.Name, "goal-time": c.Aim, "deadline": c.Deadline, "worth": c.Worth, "late-worth": c.LateWorth, "repeat": "safe"}
		if c.Keyed {
			p["repeat"], p["key-scope"], p["memory-span"] = "keyed", "cell", gjson.GetBytes(exampleconfig.Settings, "profiles.#.memory-span").Array()[0].Num
		} else if c.Write {
			p["repeat"] = "unsafe"
		}
		profiles = append(profiles, p)
	}
	for _, p := range s.Plans {
		contract, _ := gjson.GetBytes(exampleconfig.Settings, "contracts.0").Value().(map[string]any)
		contract["name"] = p.Name
		contracts = append(contracts, contract)
	}
	settings["me"], settings["fleet-size"], settings["profiles"], settings["contracts"] = i, opt.Schedulers, profiles, contracts
	extra := settings["extra"].(map[string]any)
	extra["largest"], extra["slots-total"] = len(s.Units), s.Shards
	name := fmt.Sprint("n", i)
	config := cluster.Config{Name: name, Listen: listen, Discovery: unusedAddress, Seed: opt.Seed + uint64(i), MemoryMB: opt.MemoryMB, Endpoints: endpoints,
		Settings: settings,
	}
	file := filepath.Join(f.dir, name+".json")
	if err := config.Write(file); err != nil {
		return err
	}
	p := cluster.NewProc(opt.Daemon, file, filepath.Join(f.dir, name+".log"), name, listen)
	if err := p.Start(); err != nil {
		return err
	}
	f.daemons, f.Targets = append(f.daemons, p), append(f.Targets, listen)
	return nil
}

// waitReady waits until each scheduler reports that it is ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for i, p := range f.daemons {
		for {
			err := p.Ready()
			if err == nil {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("scheduler %d is not ready: %w; its log: %.400s", i, err, p.Log())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// CPU returns the processor time that the schedulers used, once they have exited.
func (f *Fleet) CPU() (total time.Duration) {
	for _, p := range f.daemons {
		total += p.CPU()
	}
	return total
}

// Stop sends each scheduler a SIGTERM, as an operator does, and waits until it has exited. It kills one that has not exited
// within stopTimeout. It returns the errors of those that did not exit cleanly.
func (f *Fleet) Stop() error {
	var errs []error
	for i, p := range f.daemons {
		if !p.Alive() {
			continue
		}
		if err := p.Signal(syscall.SIGTERM); err != nil {
			errs = append(errs, err)
		}
		kill := time.AfterFunc(stopTimeout, func() { _ = p.Signal(syscall.SIGKILL) })
		if err := p.Wait(context.Background()); err != nil {
			errs = append(errs, fmt.Errorf("scheduler %d did not exit cleanly: %w", i, err))
		}
		kill.Stop()
	}
	return errors.Join(errs...)
}

// Close stops everything that the fleet started.
func (f *Fleet) Close() {
	if err := f.Stop(); err != nil {
		f.log.WithError(err).Warn("not all schedulers were stopped cleanly")
	}
	for _, n := range f.Nodes {
		n.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
