// Package soak plays real processes of the daemon against clients and storage nodes that stretch its limits: slow or
// unfinished messages, crowds, clients that leave, floods of unsound requests, restarts. Each picture is a function that
// counts what clients and nodes saw and names the rules that were broken. Run combines them by a seed.
package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/pacednode"
)

const (
	readyTimeout = 15 * time.Second
	exitTimeout  = 20 * time.Second
	planName     = "plan"
)

// Names of the request classes, by their effect.
const (
	ClassRead  = "read"  // idempotent
	ClassWrite = "write" // non-idempotent
	ClassKeyed = "keyed" // idempotent by key
)

// Options configure a deployment.
type Options struct {
	Daemon    string // path of the built daemon
	Dir       string // folder for files, which the caller removes
	Nodes     int    // shards; 0: 2
	Replicas  int    // storage nodes of each shard; 0: 1
	MemoryMB  int    // limit of the daemon; 0: 128
	Objective time.Duration
	Deadline  time.Duration // of all classes; clients may name a shorter one
	Metrics   bool          // the daemon serves its metrics
	Ceilings  Ceilings      // what the settings allow the daemon
	// PassedSocket makes the deployment hold the clients' socket and pass it, for Replace.
	PassedSocket bool
	Links        bool     // each node is reached through a fault proxy
	Seed         uint64   // of the fault proxies
	Env          []string // added to the daemon's environment
	Command      []string // starts the daemon, whose path and arguments follow; nil: it is started directly
}

// Ceilings are what the settings allow a scheduler. The zero value allows hedges, cancels and four attempts.
type Ceilings struct {
	NoHedges, NoCancels bool
	MaxAttempts         int // 0: 4
}

// String names what is not allowed.
func (c Ceilings) String() string {
	return fmt.Sprintf("hedges %v, cancels %v, %d attempts", !c.NoHedges, !c.NoCancels, c.maxAttempts())
}

func (c Ceilings) maxAttempts() int {
	if c.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return c.MaxAttempts
}

// defaultMaxAttempts is the number of attempts that the settings allow by default.
const defaultMaxAttempts = 4

// Deployment is one daemon with its storage nodes and discovery.
type Deployment struct {
	Proc      *cluster.Proc
	Nodes     []*pacednode.Node
	Links     []*link.Link // to the nodes, in their order; nil: they are reached directly
	Listen    string       // where clients connect
	Admin     string       // address of the admin endpoint
	Metrics   string       // address of the metrics, if Options.Metrics is set
	options   Options
	mu        sync.Mutex // guards Proc and Admin, once Replace may run beside others
	socket    *os.File   // of the clients; nil: each daemon binds its own
	replaced  int        // number of processes that Replace has started
	command   []string
	discovery *discovery.Service
	settings  map[string]any
	config    cluster.Config
}

// Start starts a deployment and waits until its daemon is ready.
func Start(ctx context.Context, options Options) (d *Deployment, err error) {
	d = &Deployment{options: options}
	defer func() {
		if err != nil {
			d.Close()
		}
	}()
	if options.Nodes == 0 {
		d.options.Nodes = 2
	}
	if options.MemoryMB == 0 {
		d.options.MemoryMB = 128
	}
	if err := d.startNodes(); err != nil {
		return d, err
	}
	if err := d.configure(); err != nil {
		return d, err
	}
	if err := d.Proc.Start(); err != nil {
		return d, err
	}
	err = d.WaitReady(ctx)
	return d, err
}

// startNodes starts the storage nodes, and a discovery service that lists them.
func (d *Deployment) startNodes() (err error) {
	if d.discovery, err = discovery.New(discovery.Options{Mode: discovery.Push}); err != nil {
		return err
	}
	for i := range d.options.Nodes * max(1, d.options.Replicas) {
		n, err := pacednode.Start()
		if err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
		address, err := d.linkTo(n.Address(), i)
		if err != nil {
			return err
		}
		entry := cluster.Entry{Name: fmt.Sprint("st-", i), Address: address, Group: i % d.options.Nodes, Status: discovery.Active, Weight: 1}
		d.discovery.Put(entry)
		d.config.Endpoints = append(d.config.Endpoints, entry)
	}
	return nil
}

// linkTo returns the address at which the daemon reaches a node.
func (d *Deployment) linkTo(address string, node int) (string, error) {
	if !d.options.Links {
		return address, nil
	}
	l, err := link.New(link.Options{Seed: d.options.Seed + uint64(node), Network: "tcp", To: address})
	if err != nil {
		return "", err
	}
	d.Links = append(d.Links, l)
	return l.Addr(), nil
}

// Shards returns the number of shards.
func (d *Deployment) Shards() int { return d.options.Nodes }

// process returns the daemon's process that serves new connections. Any goroutine may call it.
func (d *Deployment) process() *cluster.Proc {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Proc
}

// configure writes the daemon's files.
func (d *Deployment) configure() error {
	listen, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	d.Listen = listen
	if d.Admin, err = cluster.FreeAddress(); err != nil {
		return err
	}
	if d.Metrics, err = cluster.FreeAddress(); err != nil {
		return err
	}
	command := append(append([]string{}, d.options.Command...), d.options.Daemon)
	if d.options.Metrics {
		site := filepath.Join(d.options.Dir, "site.json")
		if err := os.WriteFile(site, fmt.Appendf(nil, `{"metrics": {"address": %q}}`, d.Metrics), 0o600); err != nil {
			return err
		}
		command = append(command, "--site", site)
	}
	d.settings = d.defaultSettings()
	d.config.Name, d.config.Listen, d.config.AdminAddress = "n0", listen, d.Admin
	d.config.Discovery, d.config.Seed, d.config.MemoryMB = d.discovery.Addr(), 1, d.options.MemoryMB
	d.config.Settings = d.settings
	file := filepath.Join(d.options.Dir, "config.json")
	if err := d.config.Write(file); err != nil {
		return err
	}
	d.command = command
	d.Proc = cluster.NewProc(command[0], file, filepath.Join(d.options.Dir, "daemon.log"), "n0", listen, command[1:]...)
	d.Proc.AddEnv(d.options.Env...)
	if d.options.PassedSocket {
		if d.socket, err = listenSocket(listen); err != nil {
			return err
		}
		d.Proc.PassSocket(d.socket, d.Admin)
	}
	return nil
}

// listenSocket listens at an address and returns the socket.
func listenSocket(address string) (*os.File, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // the file is a copy
	return listener.(*net.TCPListener).File()
}

// Replace starts another process beside the daemon, waits until it is ready, and sends the daemon SIGTERM. From then on Proc is the
// new process. It returns the old one, which goes on to serve its connections.
func (d *Deployment) Replace(ctx context.Context) (old *cluster.Proc, err error) {
	if old, err = d.startNext(ctx); err != nil {
		return old, err
	}
	err = old.Signal(syscall.SIGTERM)
	return old, err
}

// startNext starts another process beside the daemon and waits until it is ready. From then on Proc is the new process. It returns the
// old one.
func (d *Deployment) startNext(ctx context.Context) (old *cluster.Proc, err error) {
	d.replaced++
	admin, err := cluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	config := d.config
	config.AdminAddress = admin
	file := filepath.Join(d.options.Dir, fmt.Sprintf("config-%d.json", d.replaced))
	if err := config.Write(file); err != nil {
		return nil, err
	}
	next := cluster.NewProc(d.command[0], file, filepath.Join(d.options.Dir, fmt.Sprintf("daemon-%d.log", d.replaced)), "n0", d.Listen, d.command[1:]...)
	next.PassSocket(d.socket, admin)
	next.AddEnv(d.options.Env...)
	d.mu.Lock()
	old, d.Proc, d.Admin = d.Proc, next, admin
	d.mu.Unlock()
	if err := next.Start(); err != nil {
		return old, err
	}
	err = d.WaitReady(ctx)
	return old, err
}

// defaultSettings returns settings with one class of each effect, and a plan without limits.
func (d *Deployment) defaultSettings() map[string]any {
	class := func(name, repeat string) map[string]any {
		return map[string]any{"name": name, "goal-time": d.options.Objective.Milliseconds(), "deadline": d.options.Deadline.Milliseconds(),
			"worth": 1, "late-worth": 0.5, "repeat": repeat, "key-scope": "all", "memory-span": 2500}
	}
	return map[string]any{"me": 0, "fleet-size": 1,
		"ceilings": map[string]any{"max-attempts": d.options.Ceilings.maxAttempts(), "second-copies": !d.options.Ceilings.NoHedges,
			"may-cancel": !d.options.Ceilings.NoCancels, "retry-after": true, "max-retry-after": 2000},
		"rules": map[string]any{"stop-sending-within": 250, "ask-within": 2000, "overload-for": 3000, "cold-from": 0.24, "cold": 17000,
			"tip-multiple": 3},
		"extra":     map[string]any{"usual-units": 1, "largest": 6, "slots-total": d.options.Nodes},
		"profiles":  []map[string]any{class(ClassRead, "safe"), class(ClassWrite, "unsafe"), class(ClassKeyed, "keyed")},
		"contracts": []map[string]any{{"name": planName, "usual-rate": 1e4, "reservation": 1e4, "shares": 1, "price": 1}},
	}
}

// WaitReady waits until the daemon is ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := d.Proc.Ready()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("daemon is not ready: %w; its log: %.600s", err, d.Proc.Log())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Terminate sends SIGTERM and waits for the exit, which must have code 0.
func (d *Deployment) Terminate() error {
	if err := d.Proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	return d.Proc.Wait(ctx)
}

// Close ends the daemon and everything that the deployment started.
func (d *Deployment) Close() {
	if d.Proc != nil {
		d.Proc.KillAndWait()
	}
	if d.socket != nil {
		_ = d.socket.Close()
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	for _, l := range d.Links {
		l.Close()
	}
	for _, n := range d.Nodes {
		n.Close()
	}
}
