// Package fleet starts what a rehearsal needs on this machine and ends it again: stand-in storage
// nodes, one a shard, and schedulers from the built daemon, each told of the nodes by the list it
// is started with. All of it is on loopback.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/lab/arrival"
	"wheatsaddle/internal/lab/example"
	"wheatsaddle/internal/standin/node"
)

// Options are a fleet's.
type Options struct {
	Shape      arrival.Shape
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
	daemons []*exec.Cmd
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
	if f.dir, err = os.MkdirTemp("", "rehearse"); err != nil {
		return f, err
	}
	if opt.Daemon == "" {
		if opt.Daemon, err = findDaemon(ctx, f.dir, opt.Log); err != nil {
			return f, err
		}
	}
	var endpoints []map[string]any
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
		endpoints = append(endpoints, map[string]any{"name": fmt.Sprint("s-", shard), "address": a.String(), "group": shard,
			"status": "active", "weight": 1, "since_ms": 0})
	}
	for i := range opt.Schedulers {
		if err := f.scheduler(opt, i, endpoints); err != nil {
			return f, err
		}
	}
	return f, f.ready(ctx)
}

// findDaemon looks beside this program, and builds the daemon where it is run from its source.
func findDaemon(ctx context.Context, dir string, log logrus.FieldLogger) (string, error) {
	if me, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(me), "wheatsaddle")
		if info, err := os.Stat(beside); err == nil && info.Mode()&0o111 != 0 {
			return beside, nil
		}
	}
	built := filepath.Join(dir, "wheatsaddle")
	log.Info("building the daemon")
	c := exec.CommandContext(ctx, "go", "build", "-o", built, "wheatsaddle/cmd/wheatsaddle")
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("no daemon beside this program, and building it failed: %w: %s", err, out)
	}
	return built, nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// scheduler starts one daemon. Its discovery is nobody: the list it starts with is what there is.
func (f *Fleet) scheduler(opt Options, i int, endpoints []map[string]any) error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	nowhere, err := freeAddress()
	if err != nil {
		return err
	}
	s := opt.Shape
	var set map[string]any
	if err := json.Unmarshal(example.Settings, &set); err != nil {
		return err
	}
	var profiles, contracts []map[string]any
	for _, c := range s.Classes {
		p := map[string]any{"name": c.Name, "goal-time": c.Aim, "deadline": c.Deadline, "worth": c.Worth, "late-worth": c.LateWorth, "repeat": "safe"}
		if c.Keyed {
			p["repeat"], p["key-scope"], p["memory-span"] = "keyed", "cell", gjson.GetBytes(example.Settings, "profiles.#.memory-span").Array()[0].Num
		} else if c.Write {
			p["repeat"] = "unsafe"
		}
		profiles = append(profiles, p)
	}
	for _, p := range s.Plans {
		contract, _ := gjson.GetBytes(example.Settings, "contracts.0").Value().(map[string]any)
		contract["name"] = p.Name
		contracts = append(contracts, contract)
	}
	set["me"], set["fleet-size"], set["profiles"], set["contracts"] = i, opt.Schedulers, profiles, contracts
	extra := set["extra"].(map[string]any)
	extra["largest"], extra["slots-total"] = len(s.Units), s.Shards
	conf := map[string]any{
		"name": fmt.Sprint("n", i), "listen": listen, "discovery": nowhere, "seed": fmt.Sprintf("%x", opt.Seed+uint64(i)),
		"limits":   map[string]any{"cores": 1, "memory_mb": opt.MemoryMB, "sockets": 1024},
		"known":    map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints},
		"settings": set,
	}
	text, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	c := exec.Command(opt.Daemon)
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+file)
	logs, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("n%d.log", i)))
	if err != nil {
		return err
	}
	defer logs.Close()
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	f.daemons, f.Targets = append(f.daemons, c), append(f.Targets, listen)
	return nil
}

// ready waits until each scheduler says that it is.
func (f *Fleet) ready(ctx context.Context) error {
	end := time.Now().Add(readyWait)
	for i, to := range f.Targets {
		for {
			err := ask(to)
			if err == nil {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				log, _ := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("n%d.log", i)))
				return fmt.Errorf("scheduler %d is not ready: %w; its log: %.400s", i, err, log)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func ask(to string) error {
	nc, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(nc, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReader(nc).ReadString('\n')
	if err == nil && !strings.Contains(line, " 200 ") {
		err = errors.New(strings.TrimSpace(line))
	}
	return err
}

// CPU is the processor time that the schedulers have used, once they have ended.
func (f *Fleet) CPU() (used time.Duration) {
	for _, c := range f.daemons {
		if c.ProcessState != nil {
			used += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
		}
	}
	return used
}

// Stop ends the schedulers as an operator does, and says if one did not end well.
func (f *Fleet) Stop() error {
	var errs []error
	for i, c := range f.daemons {
		if c.ProcessState != nil {
			continue
		}
		if err := c.Process.Signal(syscall.SIGTERM); err != nil {
			errs = append(errs, err)
		}
		kill := time.AfterFunc(stopWait, func() { _ = c.Process.Kill() })
		if err := c.Wait(); err != nil {
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
