// Package fleet starts what a rehearsal needs on this machine and ends it again: stand-in storage
// nodes, one a shard, and schedulers from the built daemon, each told of the nodes by the list it
// is started with. All of it is on loopback.
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

// Options are a fleet's.
type Options struct {
	Shape      workload.Shape
	Schedulers int
	Daemon     string        // path of the built daemon; empty: beside this program, or built
	Service    time.Duration // mean work of a unit at a node
	Workers    int           // of a node
	Seed       uint64
	MemoryMB   int
	Log        logrus.FieldLogger
}

// Fleet is what runs.
type Fleet struct {
	Nodes   []*node.Node
	Targets []string // addresses of the schedulers
	daemons []*cluster.Proc
	dir     string
	log     logrus.FieldLogger
}

const (
	readyWait = 10 * time.Second
	stopWait  = 10 * time.Second
)

// Start starts it all and waits until every scheduler is ready.
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
		go func() { // one source for each node, whatever the order of its workers
			for {
				select {
				case draws <- 0.5 + rng.ExpFloat64()/2:
				case <-ctx.Done():
					return
				}
			}
		}()
		n := node.New(node.Options{Name: fmt.Sprint("s-", shard), Shard: shard, Workers: opt.Workers, Queue: 64, TellShard: true,
			Service: func(*fasthttp.Request) time.Duration {
				select {
				case x := <-draws:
					return time.Duration(x * float64(opt.Service))
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
		if err := f.scheduler(opt, i, endpoints); err != nil {
			return f, err
		}
	}
	err = f.ready(ctx)
	return f, err
}

// scheduler starts one daemon. Its discovery is nobody: the list it starts with is what there is.
func (f *Fleet) scheduler(opt Options, i int, endpoints []cluster.Entry) error {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	nowhere, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	s := opt.Shape
	var set map[string]any
	if err := json.Unmarshal(exampleconfig.Settings, &set); err != nil {
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
	set["me"], set["fleet-size"], set["profiles"], set["contracts"] = i, opt.Schedulers, profiles, contracts
	extra := set["extra"].(map[string]any)
	extra["largest"], extra["slots-total"] = len(s.Units), s.Shards
	name := fmt.Sprint("n", i)
	conf := cluster.Config{Name: name, Listen: listen, Discovery: nowhere, Seed: opt.Seed + uint64(i), MemoryMB: opt.MemoryMB, Known: endpoints,
		Settings: set,
	}
	file := filepath.Join(f.dir, name+".json")
	if err := conf.Write(file); err != nil {
		return err
	}
	p := cluster.NewProc(opt.Daemon, file, filepath.Join(f.dir, name+".log"), name, listen)
	if err := p.Start(); err != nil {
		return err
	}
	f.daemons, f.Targets = append(f.daemons, p), append(f.Targets, listen)
	return nil
}

// ready waits until each scheduler says that it is.
func (f *Fleet) ready(ctx context.Context) error {
	end := time.Now().Add(readyWait)
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

// CPU is the processor time that the schedulers have used, once they have ended.
func (f *Fleet) CPU() (used time.Duration) {
	for _, p := range f.daemons {
		used += p.CPU()
	}
	return used
}

// Stop ends the schedulers as an operator does, and says if one did not end well.
func (f *Fleet) Stop() error {
	var errs []error
	for i, p := range f.daemons {
		if !p.Alive() {
			continue
		}
		if err := p.Signal(syscall.SIGTERM); err != nil {
			errs = append(errs, err)
		}
		kill := time.AfterFunc(stopWait, func() { _ = p.Signal(syscall.SIGKILL) })
		if err := p.End(context.Background()); err != nil {
			errs = append(errs, fmt.Errorf("scheduler %d ended: %w", i, err))
		}
		kill.Stop()
	}
	return errors.Join(errs...)
}

// Close ends all of it.
func (f *Fleet) Close() {
	if err := f.Stop(); err != nil {
		f.log.WithError(err).Warn("a scheduler did not end well")
	}
	for _, n := range f.Nodes {
		n.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
