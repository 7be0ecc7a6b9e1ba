// Package cluster starts several processes of the built daemon with stand-in nodes, list services and
// links between each two parties, on loopback, and ends them all again. Tests wait for conditions
// and not for time, and end by asking the auditor about what happened.
//
// Invariants: after Close no process, goroutine, socket or file of the fleet is left; a process ends
// with this program, however that ends; every request that a client of the fleet sent is in the
// history with its end.
package cluster

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/historycheck"
)

const (
	memoryMB  = 128
	lookEvery = 20 * time.Millisecond
	logEnd    = 1500 // bytes of a log that an error shows
	logsMost  = 12   // logs that it shows
)

// Storage is one stand-in node.
type Storage struct {
	Name     string
	Shard    int
	Workers  int
	Queue    int // 0: 256
	Service  func(*fasthttp.Request) time.Duration
	Unlisted bool // at the start
	Cold     bool // it starts with the fleet, cold; else it has long been there
	Rows     *node.Rows
	Linked   bool // with Direct: all daemons reach it by one link
	Tune     func(*node.Options)
}

// thePlan is the one plan of a fleet's volumes.
const thePlan = "the-plan"

// Options make a fleet.
type Options struct {
	Daemon   string // path of the built daemon
	Dir      string // for files; "": a temporary one, which Close takes away
	Daemons  int
	Nodes    []Storage
	Settings map[string]any // put over the defaults, section by section
	Seed     uint64
	Known    bool                                                  // the daemons are started with the list
	ListDown bool                                                  // nobody listens at the lists' services at first
	Admin    bool                                                  // each daemon has an admin endpoint
	Passed   bool                                                  // the clients' sockets are held here, and passed; needs Admin
	Peers    bool                                                  // links between each two daemons, TCP and UDP
	Args     func(f *Fleet, i int) []string                        // further arguments of a daemon; nil: none
	NewList  func(scheduler int, told func([]Entry)) (List, error) // nil: a stand-in of discovery
	List     discovery.Options                                     // of that; its capacity is the whole fleet's
	// Direct: nobody has a link but Storage.Linked, and the list is one for all, with a caller for each daemon. For
	// fleets so large that links would be thousands; what only links see of an attempt's end is not seen.
	Direct   bool
	Idle     bool // the daemons are not started: Launch does
	MemoryMB int  // of a daemon; 0: 128
	Env      []string
	Said     func(i int, line []byte) // each line that daemon i writes; nil: nobody hears
}

// Fleet is what runs.
type Fleet struct {
	opt            Options
	dir            string
	own            bool // the directory is ours
	start          time.Time
	settings       map[string]any
	nodes          []*node.Node
	real           []string
	procs          []*Proc
	lists          []List
	service        *discovery.Service  // of all daemons; nil: each has one of its own
	room           *discovery.Capacity // of the lists, unless NewList makes them
	clients        []*link.Link        // to each daemon
	listings       []*link.Link        // from each daemon to its list
	storage        [][]*link.Link      // from each daemon to each node
	peers          [][]*link.Link      // [i][j], i < j
	peerAt         []string
	adminAddresses []string
	confs          []Config
	beside         []*Proc            // started beside those of procs
	since          []int64            // since_ms of each node
	status         []discovery.Status // of each node on the list
	mu             sync.Mutex
	h              historycheck.History
	down           map[int]span // of a daemon that is not up: since when, and why
	load           sync.WaitGroup
	done           chan struct{}
	next           int
	ok             map[int]int // requests served, by scheduler
	codes          map[int]int // answers by code, 0: none
	refused        []Refusal
}

type span struct {
	from time.Duration
	kill bool
}

// Defaults are the settings that a fleet's are put over.
func Defaults(daemons, me, shards int) map[string]any {
	class := func(name, repeat string, worth float64) map[string]any {
		return map[string]any{"name": name, "goal-time": 200, "deadline": 1000, "worth": worth, "late-worth": worth / 2, "repeat": repeat}
	}
	return map[string]any{"me": me, "fleet-size": daemons,
		"ceilings": map[string]any{"max-attempts": 3, "may-cancel": true, "retry-after": true, "max-retry-after": 2000},
		"rules":    map[string]any{"stop-sending-within": 250, "ask-within": 2000, "overload-for": 3000, "cold-from": 0.24, "cold": 17000, "tip-multiple": 3},
		"extra":    map[string]any{"usual-units": 1, "largest": 4, "slots-total": shards},
		"profiles": []map[string]any{class("read", "safe", 2), class("write", "unsafe", 3)},
		"contracts": []map[string]any{{"name": thePlan, "usual-rate": 1e4, "reservation": 1e4, "shares": 1, "price": 1},
			{"name": "small", "usual-rate": 20, "reservation": 20, "shares": 1, "price": 1, "cap": 20, "burst": 10}},
	}
}

// over puts settings over others, section by section.
func over(base, more map[string]any) map[string]any {
	for k, v := range more {
		if section, ok := v.(map[string]any); ok {
			if old, ok := base[k].(map[string]any); ok {
				maps.Copy(old, section)
				continue
			}
		}
		base[k] = v
	}
	return base
}

// Start starts it all and waits until every daemon is ready.
func Start(ctx context.Context, opt Options) (f *Fleet, err error) {
	f = &Fleet{opt: opt, dir: opt.Dir, start: time.Now(), down: map[int]span{}, ok: map[int]int{}, codes: map[int]int{}, done: make(chan struct{})}
	f.load.Add(1)
	go f.watch()
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	if f.dir == "" {
		f.own = true
		if f.dir, err = os.MkdirTemp("", "procs"); err != nil {
			return f, err
		}
	}
	if f.opt.Daemon == "" {
		if f.opt.Daemon, err = Build(ctx, f.dir); err != nil {
			return f, err
		}
	}
	for _, s := range opt.Nodes {
		queue := s.Queue
		if queue == 0 {
			queue = 256
		}
		made := node.Options{Name: s.Name, Shard: s.Shard, Workers: s.Workers, Service: s.Service, Queue: queue, Record: true, Rows: s.Rows}
		if s.Tune != nil {
			s.Tune(&made)
		}
		n := node.New(made)
		f.nodes = append(f.nodes, n)
		at, err := FreeAddress() // one that no connection takes while the node is down
		if err != nil {
			return f, err
		}
		a, err := n.Listen(at)
		if err != nil {
			return f, err
		}
		status := discovery.Active
		if s.Unlisted {
			status = discovery.Left
		}
		since := int64(-1e6)
		if s.Cold {
			since = f.markCold(s.Name)
		}
		f.since = append(f.since, since)
		f.real, f.status = append(f.real, a.String()), append(f.status, status)
	}
	if err := f.connect(); err != nil {
		return f, err
	}
	for i := range f.procs {
		if opt.Idle {
			return f, nil
		}
		if err := f.procs[i].Start(); err != nil {
			return f, err
		}
	}
	for i := range f.procs {
		if err := f.WaitReady(ctx, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// connect makes the lists, the links and the daemons' files.
func (f *Fleet) connect() error {
	join := func(network, to, from string) (*link.Link, error) {
		f.opt.Seed++
		return link.New(link.Options{Seed: f.opt.Seed, Network: network, To: to, From: from})
	}
	shards := 0
	for _, s := range f.opt.Nodes {
		shards = max(shards, s.Shard+1)
	}
	for range f.opt.Daemons {
		if f.opt.Direct {
			break
		}
		at, err := FreeAddress()
		if err != nil {
			return err
		}
		f.peerAt = append(f.peerAt, at)
	}
	f.peers = make([][]*link.Link, f.opt.Daemons)
	for i := range f.opt.Daemons {
		for j := i + 1; j < f.opt.Daemons && f.opt.Peers && !f.opt.Direct; j++ {
			l, err := join("both", f.peerAt[j], f.peerAt[i])
			if err != nil {
				return err
			}
			f.peers[i] = append(f.peers[i], l)
		}
	}
	var err error
	if f.room, err = discovery.NewCapacity(f.opt.List); err != nil {
		return err
	}
	for i := range f.opt.Daemons {
		list, err := f.list(i)
		if err != nil {
			return err
		}
		f.lists = append(f.lists, list)
		at := list.Addr()
		switch {
		case f.opt.Direct && i == 0: // one row of links, for all
			f.storage = make([][]*link.Link, 1)
			for j, real := range f.real {
				var l *link.Link
				if f.opt.Nodes[j].Linked {
					if l, err = join("tcp", real, ""); err != nil {
						return err
					}
				}
				f.storage[0] = append(f.storage[0], l)
			}
		case !f.opt.Direct:
			listing, err := join("tcp", at, "")
			if err != nil {
				return err
			}
			at, f.listings = listing.Addr(), append(f.listings, listing)
			f.storage = append(f.storage, nil)
			for _, real := range f.real {
				l, err := join("tcp", real, "")
				if err != nil {
					return err
				}
				f.storage[i] = append(f.storage[i], l)
			}
		}
		listen, err := FreeAddress()
		if err != nil {
			return err
		}
		if !f.opt.Direct {
			front, err := join("tcp", listen, "")
			if err != nil {
				return err
			}
			f.clients = append(f.clients, front)
		}
		var entries, known []Entry
		for j := range f.nodes {
			entries = append(entries, f.entry(i, j))
		}
		if i == 0 || !f.opt.Direct {
			if err := list.Put(entries...); err != nil {
				return err
			}
		}
		if f.opt.ListDown {
			if err := list.Set(ListDown); err != nil {
				return err
			}
			f.h.Deaf = append(f.h.Deaf, historycheck.Span{Scheduler: i, From: 0, To: historycheck.Never, Turned: true})
		}
		index := int64(0)
		if f.opt.Known {
			known = slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Status == discovery.Left })
			index = firstIndex + 1
		}
		admin := ""
		if f.opt.Admin {
			if admin, err = FreeAddress(); err != nil {
				return err
			}
		}
		f.adminAddresses = append(f.adminAddresses, admin)
		name := fmt.Sprint("n", i)
		conf := Config{Name: name, Listen: listen, Operator: admin, Discovery: at, Seed: f.opt.Seed + uint64(i), MemoryMB: cmp.Or(f.opt.MemoryMB, memoryMB), Known: known, Index: index,
			Settings: over(Defaults(f.opt.Daemons, i, shards), f.opt.Settings)}
		f.settings, f.confs = conf.Settings, append(f.confs, conf)
		dir := filepath.Join(f.dir, name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		file := filepath.Join(dir, "config.json")
		if err := conf.Write(file); err != nil {
			return err
		}
		var args []string
		if f.opt.Args != nil {
			args = f.opt.Args(f, i)
		}
		p := NewProc(f.opt.Daemon, file, filepath.Join(dir, "log"), name, listen, args...)
		if p.env = f.opt.Env; f.opt.Said != nil {
			p.lines = func(line []byte) { f.opt.Said(i, line) }
		}
		f.procs = append(f.procs, p)
		if f.opt.Passed {
			if p.passed, err = listening(listen); err != nil {
				return err
			}
			p.adminAddress = admin
		}
	}
	return nil
}

// listening is a listening socket that nobody here accepts on.
func listening(at string) (*os.File, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return ln.(*net.TCPListener).File()
}

// Beside makes one more process of scheduler i, on the same passed socket and with an operators' address of its own.
// Change says what is to be different, before it is started; nil: nothing.
func (f *Fleet) Beside(i int, change func(*Proc)) (*Proc, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	conf, dir := f.confs[i], f.Dir(i)
	conf.Operator = admin
	n := len(f.beside) + 1
	file := filepath.Join(dir, fmt.Sprintf("config-%d.json", n))
	if err := conf.Write(file); err != nil {
		return nil, err
	}
	old := f.procs[i]
	p := NewProc(f.opt.Daemon, file, filepath.Join(dir, fmt.Sprint("log-", n)), fmt.Sprint(conf.Name, "-", n), conf.Listen, old.args...)
	p.passed, p.adminAddress, p.env = old.passed, admin, slices.Clone(old.env)
	f.beside = append(f.beside, p)
	if change != nil {
		change(p)
	}
	err = p.Start()
	return p, err
}

func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// Node returns storage node j.
func (f *Fleet) Node(j int) *node.Node { return f.nodes[j] }

// Proc returns the process of daemon i.
func (f *Fleet) Proc(i int) *Proc { return f.procs[i] }

// List returns the discovery list that daemon i watches.
func (f *Fleet) List(i int) List { return f.lists[i] }

// ClientLink returns the link from the clients to daemon i.
func (f *Fleet) ClientLink(i int) *link.Link { return f.clients[i] }

// ListLink returns the link from daemon i to its list.
func (f *Fleet) ListLink(i int) *link.Link { return f.listings[i] }

// StorageLink returns the link from daemon i to node j.
func (f *Fleet) StorageLink(i, j int) *link.Link { return f.storage[min(i, len(f.storage)-1)][j] }

// NodeAddr is where node j itself listens, past all links.
func (f *Fleet) NodeAddr(j int) string { return f.real[j] }

// Front is where clients find daemon i.
func (f *Fleet) Front(i int) string {
	if f.opt.Direct {
		return f.procs[i].Listen
	}
	return f.clients[i].Addr()
}

// Break sets the fault of a node's address.
func (f *Fleet) Break(j int, fault node.Fault) error {
	a, err := address.Parse(f.real[j])
	if err != nil {
		return err
	}
	return f.nodes[j].Set(a, fault)
}

// Dir is a directory of daemon i's own, e.g. for its site file.
func (f *Fleet) Dir(i int) string { return filepath.Join(f.dir, fmt.Sprint("n", i)) }

// AdminAddress is the address of daemon i's admin endpoint.
func (f *Fleet) AdminAddress(i int) string { return f.adminAddresses[i] }

// PeerLink is the link between daemons i and j; forward is what the lower of them sends.
func (f *Fleet) PeerLink(i, j int) *link.Link { return f.peers[min(i, j)][max(i, j)-min(i, j)-1] }

// PeerAddr is where daemon i is to listen for peers, by TCP and UDP.
func (f *Fleet) PeerAddr(i int) string { return f.peerAt[i] }

// PeerSeen is where daemon i reaches daemon j, and what j is known by there.
func (f *Fleet) PeerSeen(i, j int) string {
	if i < j {
		return f.PeerLink(i, j).Addr()
	}
	return f.PeerLink(i, j).Back()
}

// Wait waits until a condition holds: it says nil.
func (f *Fleet) Wait(ctx context.Context, what string, cond func() error) error {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		err := cond()
		if err == nil {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return &NotMet{what, err, f.Logs()}
		}
	}
}

// Logs are the ends of the daemons' logs, of those that have ended first, and of no more than logsMost.
func (f *Fleet) Logs() (text string) {
	shown := slices.Concat(f.procs, f.beside)
	slices.SortStableFunc(shown, func(a, b *Proc) int {
		return cmp.Compare(btoi(a.Alive()), btoi(b.Alive()))
	})
	for _, p := range shown[:min(len(shown), logsMost)] {
		log := p.Log()
		text += fmt.Sprintf("--- %s\n%s\n", p.Name, log[max(0, len(log)-logEnd):])
	}
	return text
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// WaitReady waits until daemon i says that it is ready.
func (f *Fleet) WaitReady(ctx context.Context, i int) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	return f.Wait(ctx, fmt.Sprint("daemon ", i, " is ready"), func() error {
		if !f.procs[i].Alive() {
			stop() // it ended: no use to wait on
		}
		return f.procs[i].Ready()
	})
}

func (f *Fleet) falls(i int, kill bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if was, ok := f.down[i]; ok {
		f.down[i] = span{was.from, was.kill || kill}
		return
	}
	f.down[i] = span{f.now(), kill}
}

// Kill kills daemon i.
func (f *Fleet) Kill(i int) error {
	f.falls(i, true)
	if err := f.procs[i].Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-f.procs[i].ended
	return nil
}

// Term asks daemon i to end, as an operator does; Proc(i).End waits for it.
func (f *Fleet) Term(i int) error {
	f.falls(i, false)
	return f.procs[i].Signal(syscall.SIGTERM)
}

// Launch starts daemon i, for the first time or once it has ended, and does not wait.
func (f *Fleet) Launch(i int) error { return f.procs[i].Start() }

// Restart starts daemon i again once it has ended, and waits until it is ready.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	if err := f.Launch(i); err != nil {
		return err
	}
	if err := f.WaitReady(ctx, i); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rises(i)
	return nil
}

// rises writes the span of a daemon that was down. The lock is held.
func (f *Fleet) rises(i int) {
	s, ok := f.down[i]
	if !ok {
		return
	}
	delete(f.down, i)
	one := historycheck.Span{Scheduler: i, From: s.from, To: f.now()}
	if s.kill {
		f.h.Killed = append(f.h.Killed, one)
	} else {
		f.h.Ending = append(f.h.Ending, one)
	}
}

// Stop stops daemon i by SIGSTOP, until Continue.
func (f *Fleet) Stop(i int) error {
	f.mu.Lock()
	f.h.Paused = append(f.h.Paused, historycheck.Span{Scheduler: i, From: f.now(), To: historycheck.Never})
	f.mu.Unlock()
	return f.procs[i].Signal(syscall.SIGSTOP)
}

// Continue lets it run on.
func (f *Fleet) Continue(i int) error {
	err := f.procs[i].Signal(syscall.SIGCONT)
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.h.Paused {
		if s := &f.h.Paused[k]; s.Scheduler == i && s.To == historycheck.Never {
			s.To = f.now()
		}
	}
	return err
}

// Close ends all of it.
func (f *Fleet) Close() {
	close(f.done)
	all := slices.Concat(f.procs, f.beside)
	for _, p := range all {
		if p.Alive() {
			_ = p.Signal(syscall.SIGKILL) // all at once: Reap waits for each
		}
	}
	for _, p := range all {
		p.Reap()
	}
	for _, p := range f.procs {
		if p.passed != nil {
			_ = p.passed.Close()
		}
	}
	for _, all := range slices.Concat([][]*link.Link{f.clients, f.listings}, f.storage, f.peers) {
		for _, l := range all {
			if l != nil {
				l.Close()
			}
		}
	}
	f.load.Wait()
	for _, l := range f.lists {
		l.Close()
	}
	if f.service != nil {
		f.service.Close()
	}
	for _, n := range f.nodes {
		n.Close()
	}
	if f.own {
		_ = os.RemoveAll(f.dir)
	}
}
