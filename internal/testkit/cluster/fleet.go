// Package cluster starts several processes of the built daemon on loopback, together with fake storage
// nodes, fake discovery services and a link between each two parties, and stops them all again. Tests
// wait for conditions instead of sleeping, and finish by checking the recorded history with historycheck.
//
// Invariants: Close leaves no process, goroutine, socket or file of the fleet behind. A process is killed
// when this program ends in any way. The history holds every request that a client of the fleet sent,
// with its end.
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
	defaultMemoryMB = 128
	pollInterval    = 20 * time.Millisecond
	maxLogBytes     = 1500 // log bytes shown per process in an error
	maxLogs         = 12   // process logs shown in an error
)

// StorageNode is one fake storage node.
type StorageNode struct {
	Name        string
	Shard       int
	Workers     int
	Queue       int // 0: 256
	ServiceTime func(*fasthttp.Request) time.Duration
	Unlisted    bool // not in the endpoint list at first
	Cold        bool // it starts with the fleet and is in slow start; otherwise it has been up for long
	Rows        *node.Rows
	Linked      bool // with Options.Direct, all daemons reach the node over one shared link
	Configure   func(*node.Options)
}

// defaultPlan is the plan of all volumes unless a request names another.
const defaultPlan = "the-plan"

// Options configure a fleet.
type Options struct {
	Daemon        string // path of the built daemon
	Dir           string // for files; "" uses a temporary directory that Close removes
	Daemons       int
	Nodes         []StorageNode
	Settings      map[string]any // override the defaults section by section
	Seed          uint64
	ListInConfig  bool                                                      // the daemons' configuration contains the endpoint list
	ListDown      bool                                                      // the discovery services do not listen at first
	Admin         bool                                                      // each daemon has an admin endpoint
	PassedSockets bool                                                      // the fleet holds the client listening sockets and passes them; needs Admin
	Peers         bool                                                      // every two daemons have a link for TCP and UDP
	Args          func(f *Fleet, i int) []string                            // additional arguments of a daemon; nil: none
	NewList       func(scheduler int, notified func([]Entry)) (List, error) // nil: a fake discovery service
	List          discovery.Options                                         // of the fake discovery services; their capacity is shared by the whole fleet
	// Direct leaves out all links except those of StorageNode.Linked and gives all daemons one discovery service, with a
	// caller for each. It is for fleets that would need thousands of links. Ends of attempts that only a link
	// observes are then missing from the history.
	Direct     bool
	DeferStart bool // Start does not start the daemons; Launch does
	MemoryMB   int  // per daemon; 0: 128
	Env        []string
	OnLogLine  func(i int, line []byte) // called for each log line of daemon i; may be nil
}

// Fleet is a running fleet.
type Fleet struct {
	opt            Options
	dir            string
	ownsDir        bool // dir is temporary and removed by Close
	start          time.Time
	settings       map[string]any
	nodes          []*node.Node
	nodeAddresses  []string
	procs          []*Proc
	discoveryLists []List
	sharedList     *discovery.Service  // shared by all daemons; nil: each daemon has its own
	listCapacity   *discovery.Capacity // of the fake discovery services
	clientLinks    []*link.Link        // to each daemon
	listLinks      []*link.Link        // from each daemon to its list
	storageLinks   [][]*link.Link      // from each daemon to each node
	peerLinks      [][]*link.Link      // [i][j], i < j
	peerAddresses  []string
	adminAddresses []string
	configs        []Config
	replacements   []*Proc            // started in addition to procs
	startTimes     []int64            // since_ms of each node
	nodeStatus     []discovery.Status // of each node in the endpoint list
	mu             sync.Mutex
	history        historycheck.History
	downSince      map[int]downtime // of the daemons that are down
	background     sync.WaitGroup
	done           chan struct{}
	lastSequence   int
	served         map[int]int // complete answers with code 200, by scheduler
	answersByCode  map[int]int // number of answers by code; code 0: no answer
	rejections     []Rejection
}

type downtime struct {
	from   time.Duration
	killed bool
}

// Defaults returns the settings that Options.Settings override.
func Defaults(daemons, index, shards int) map[string]any {
	class := func(name, repeat string, priorityWeight float64) map[string]any {
		return map[string]any{"name": name, "goal-time": 200, "deadline": 1000, "worth": priorityWeight, "late-worth": priorityWeight / 2, "repeat": repeat}
	}
	return map[string]any{"me": index, "fleet-size": daemons,
		"ceilings": map[string]any{"max-attempts": 3, "may-cancel": true, "retry-after": true, "max-retry-after": 2000},
		"rules":    map[string]any{"stop-sending-within": 250, "ask-within": 2000, "overload-for": 3000, "cold-from": 0.24, "cold": 17000, "tip-multiple": 3},
		"extra":    map[string]any{"usual-units": 1, "largest": 4, "slots-total": shards},
		"profiles": []map[string]any{class("read", "safe", 2), class("write", "unsafe", 3)},
		"contracts": []map[string]any{{"name": defaultPlan, "usual-rate": 1e4, "reservation": 1e4, "shares": 1, "price": 1},
			{"name": "small", "usual-rate": 20, "reservation": 20, "shares": 1, "price": 1, "cap": 20, "burst": 10}},
	}
}

// mergeSettings puts overrides over base section by section and returns base.
func mergeSettings(base, overrides map[string]any) map[string]any {
	for k, v := range overrides {
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

// Start starts the fleet and waits until every daemon is ready, unless Options.DeferStart is set.
func Start(ctx context.Context, opt Options) (f *Fleet, err error) {
	f = &Fleet{opt: opt, dir: opt.Dir, start: time.Now(), downSince: map[int]downtime{}, served: map[int]int{}, answersByCode: map[int]int{}, done: make(chan struct{})}
	f.background.Add(1)
	go f.watchStalls()
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	if f.dir == "" {
		f.ownsDir = true
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
		options := node.Options{Name: s.Name, Shard: s.Shard, Workers: s.Workers, ServiceTime: s.ServiceTime, QueueLimit: queue, RecordAttempts: true, Rows: s.Rows}
		if s.Configure != nil {
			s.Configure(&options)
		}
		n := node.New(options)
		f.nodes = append(f.nodes, n)
		listenAddress, err := FreeAddress() // reserved, so no connection takes the port while the node is down
		if err != nil {
			return f, err
		}
		a, err := n.Listen(listenAddress)
		if err != nil {
			return f, err
		}
		status := discovery.Active
		if s.Unlisted {
			status = discovery.Left
		}
		startTime := int64(-1e6)
		if s.Cold {
			startTime = f.recordColdStart(s.Name)
		}
		f.startTimes = append(f.startTimes, startTime)
		f.nodeAddresses, f.nodeStatus = append(f.nodeAddresses, a.String()), append(f.nodeStatus, status)
	}
	if err := f.setUp(); err != nil {
		return f, err
	}
	for i := range f.procs {
		if opt.DeferStart {
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

// setUp creates the discovery lists, the links and the daemons' files.
func (f *Fleet) setUp() error {
	newLink := func(network, to, from string) (*link.Link, error) {
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
		peerAddress, err := FreeAddress()
		if err != nil {
			return err
		}
		f.peerAddresses = append(f.peerAddresses, peerAddress)
	}
	f.peerLinks = make([][]*link.Link, f.opt.Daemons)
	for i := range f.opt.Daemons {
		for j := i + 1; j < f.opt.Daemons && f.opt.Peers && !f.opt.Direct; j++ {
			l, err := newLink("both", f.peerAddresses[j], f.peerAddresses[i])
			if err != nil {
				return err
			}
			f.peerLinks[i] = append(f.peerLinks[i], l)
		}
	}
	var err error
	if f.listCapacity, err = discovery.NewCapacity(f.opt.List); err != nil {
		return err
	}
	for i := range f.opt.Daemons {
		list, err := f.newList(i)
		if err != nil {
			return err
		}
		f.discoveryLists = append(f.discoveryLists, list)
		listAddress := list.Addr()
		switch {
		case f.opt.Direct && i == 0: // one set of links, shared by all daemons
			f.storageLinks = make([][]*link.Link, 1)
			for j, nodeAddress := range f.nodeAddresses {
				var l *link.Link
				if f.opt.Nodes[j].Linked {
					if l, err = newLink("tcp", nodeAddress, ""); err != nil {
						return err
					}
				}
				f.storageLinks[0] = append(f.storageLinks[0], l)
			}
		case !f.opt.Direct:
			listLink, err := newLink("tcp", listAddress, "")
			if err != nil {
				return err
			}
			listAddress, f.listLinks = listLink.Addr(), append(f.listLinks, listLink)
			f.storageLinks = append(f.storageLinks, nil)
			for _, nodeAddress := range f.nodeAddresses {
				l, err := newLink("tcp", nodeAddress, "")
				if err != nil {
					return err
				}
				f.storageLinks[i] = append(f.storageLinks[i], l)
			}
		}
		listen, err := FreeAddress()
		if err != nil {
			return err
		}
		if !f.opt.Direct {
			clientLink, err := newLink("tcp", listen, "")
			if err != nil {
				return err
			}
			f.clientLinks = append(f.clientLinks, clientLink)
		}
		var entries, configuredEntries []Entry
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
			f.history.ListOutages = append(f.history.ListOutages, historycheck.Interval{Scheduler: i, From: 0, To: historycheck.Never, Rejected: true})
		}
		listVersion := int64(0)
		if f.opt.ListInConfig {
			configuredEntries = slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Status == discovery.Left })
			listVersion = initialListVersion + 1
		}
		admin := ""
		if f.opt.Admin {
			if admin, err = FreeAddress(); err != nil {
				return err
			}
		}
		f.adminAddresses = append(f.adminAddresses, admin)
		name := fmt.Sprint("n", i)
		config := Config{Name: name, Listen: listen, AdminAddress: admin, Discovery: listAddress, Seed: f.opt.Seed + uint64(i), MemoryMB: cmp.Or(f.opt.MemoryMB, defaultMemoryMB), Endpoints: configuredEntries, ListVersion: listVersion,
			Settings: mergeSettings(Defaults(f.opt.Daemons, i, shards), f.opt.Settings)}
		f.settings, f.configs = config.Settings, append(f.configs, config)
		dir := filepath.Join(f.dir, name)
		if err := os.Mkdir(dir, 0o700); err != nil {
			return err
		}
		file := filepath.Join(dir, "config.json")
		if err := config.Write(file); err != nil {
			return err
		}
		var args []string
		if f.opt.Args != nil {
			args = f.opt.Args(f, i)
		}
		p := NewProc(f.opt.Daemon, file, filepath.Join(dir, "log"), name, listen, args...)
		if p.env = f.opt.Env; f.opt.OnLogLine != nil {
			p.onLine = func(line []byte) { f.opt.OnLogLine(i, line) }
		}
		f.procs = append(f.procs, p)
		if f.opt.PassedSockets {
			if p.passedSocket, err = listenerFile(listen); err != nil {
				return err
			}
			p.adminAddress = admin
		}
	}
	return nil
}

// listenerFile returns a listening socket on which this program does not accept connections.
func listenerFile(addr string) (*os.File, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return ln.(*net.TCPListener).File()
}

// StartReplacement starts one more process of scheduler i on the same passed socket, with an admin address of its own.
// If configure is not nil, it adjusts the process before the start.
func (f *Fleet) StartReplacement(i int, configure func(*Proc)) (*Proc, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config, dir := f.configs[i], f.Dir(i)
	config.AdminAddress = admin
	n := len(f.replacements) + 1
	file := filepath.Join(dir, fmt.Sprintf("config-%d.json", n))
	if err := config.Write(file); err != nil {
		return nil, err
	}
	current := f.procs[i]
	p := NewProc(f.opt.Daemon, file, filepath.Join(dir, fmt.Sprint("log-", n)), fmt.Sprint(config.Name, "-", n), config.Listen, current.args...)
	p.passedSocket, p.adminAddress, p.env = current.passedSocket, admin, slices.Clone(current.env)
	f.replacements = append(f.replacements, p)
	if configure != nil {
		configure(p)
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
func (f *Fleet) List(i int) List { return f.discoveryLists[i] }

// ClientLink returns the link from the clients to daemon i.
func (f *Fleet) ClientLink(i int) *link.Link { return f.clientLinks[i] }

// ListLink returns the link from daemon i to its list.
func (f *Fleet) ListLink(i int) *link.Link { return f.listLinks[i] }

// StorageLink returns the link from daemon i to node j.
func (f *Fleet) StorageLink(i, j int) *link.Link {
	return f.storageLinks[min(i, len(f.storageLinks)-1)][j]
}

// NodeAddr returns the address on which node j listens, without any link.
func (f *Fleet) NodeAddr(j int) string { return f.nodeAddresses[j] }

// ClientAddr returns the address at which clients reach daemon i.
func (f *Fleet) ClientAddr(i int) string {
	if f.opt.Direct {
		return f.procs[i].Listen
	}
	return f.clientLinks[i].Addr()
}

// SetNodeFault sets a fault at the address on which node j listens.
func (f *Fleet) SetNodeFault(j int, fault node.Fault) error {
	a, err := address.Parse(f.nodeAddresses[j])
	if err != nil {
		return err
	}
	return f.nodes[j].SetFault(a, fault)
}

// Dir returns the directory of daemon i, e.g. for its site file.
func (f *Fleet) Dir(i int) string { return filepath.Join(f.dir, fmt.Sprint("n", i)) }

// AdminAddress returns the address of daemon i's admin endpoint.
func (f *Fleet) AdminAddress(i int) string { return f.adminAddresses[i] }

// PeerLink returns the link between daemons i and j. Its forward direction carries what the lower of them sends.
func (f *Fleet) PeerLink(i, j int) *link.Link { return f.peerLinks[min(i, j)][max(i, j)-min(i, j)-1] }

// PeerAddr returns the address at which daemon i listens for peers, over TCP and UDP.
func (f *Fleet) PeerAddr(i int) string { return f.peerAddresses[i] }

// PeerAddrFrom returns the address at which daemon i reaches daemon j and by which it knows j.
func (f *Fleet) PeerAddrFrom(i, j int) string {
	if i < j {
		return f.PeerLink(i, j).Addr()
	}
	return f.PeerLink(i, j).BackwardAddr()
}

// Wait polls a condition until it returns nil.
func (f *Fleet) Wait(ctx context.Context, description string, cond func() error) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		err := cond()
		if err == nil {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return &WaitError{description, err, f.Logs()}
		}
	}
}

// Logs returns the ends of up to maxLogs process logs, those of exited processes first.
func (f *Fleet) Logs() (text string) {
	shown := slices.Concat(f.procs, f.replacements)
	slices.SortStableFunc(shown, func(a, b *Proc) int {
		return cmp.Compare(boolToInt(a.Alive()), boolToInt(b.Alive()))
	})
	for _, p := range shown[:min(len(shown), maxLogs)] {
		log := p.Log()
		text += fmt.Sprintf("--- %s\n%s\n", p.Name, log[max(0, len(log)-maxLogBytes):])
	}
	return text
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// WaitReady waits until daemon i reports that it is ready.
func (f *Fleet) WaitReady(ctx context.Context, i int) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	return f.Wait(ctx, fmt.Sprint("daemon ", i, " is ready"), func() error {
		if !f.procs[i].Alive() {
			stop() // it has exited, so it never becomes ready
		}
		return f.procs[i].Ready()
	})
}

// markDown records that daemon i is down from now on, because it is killed or else terminated.
func (f *Fleet) markDown(i int, kill bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, ok := f.downSince[i]; ok {
		f.downSince[i] = downtime{current.from, current.killed || kill}
		return
	}
	f.downSince[i] = downtime{f.now(), kill}
}

// Kill kills daemon i.
func (f *Fleet) Kill(i int) error {
	f.markDown(i, true)
	if err := f.procs[i].Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-f.procs[i].exited
	return nil
}

// Terminate sends daemon i a SIGTERM, as an operator does. Proc(i).Wait waits until it has exited.
func (f *Fleet) Terminate(i int) error {
	f.markDown(i, false)
	return f.procs[i].Signal(syscall.SIGTERM)
}

// Launch starts daemon i, for the first time or after it has exited, and does not wait until it is ready.
func (f *Fleet) Launch(i int) error { return f.procs[i].Start() }

// Restart starts daemon i again after it has exited, and waits until it is ready.
func (f *Fleet) Restart(ctx context.Context, i int) error {
	if err := f.Launch(i); err != nil {
		return err
	}
	if err := f.WaitReady(ctx, i); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markUp(i)
	return nil
}

// markUp records the downtime of a daemon that is up again. The caller holds f.mu.
func (f *Fleet) markUp(i int) {
	s, ok := f.downSince[i]
	if !ok {
		return
	}
	delete(f.downSince, i)
	ended := historycheck.Interval{Scheduler: i, From: s.from, To: f.now()}
	if s.killed {
		f.history.Killed = append(f.history.Killed, ended)
	} else {
		f.history.Terminating = append(f.history.Terminating, ended)
	}
}

// Suspend suspends daemon i by SIGSTOP until Resume.
func (f *Fleet) Suspend(i int) error {
	f.mu.Lock()
	f.history.Paused = append(f.history.Paused, historycheck.Interval{Scheduler: i, From: f.now(), To: historycheck.Never})
	f.mu.Unlock()
	return f.procs[i].Signal(syscall.SIGSTOP)
}

// Resume continues daemon i by SIGCONT.
func (f *Fleet) Resume(i int) error {
	err := f.procs[i].Signal(syscall.SIGCONT)
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.history.Paused {
		if s := &f.history.Paused[k]; s.Scheduler == i && s.To == historycheck.Never {
			s.To = f.now()
		}
	}
	return err
}

// Close stops everything that the fleet started.
func (f *Fleet) Close() {
	close(f.done)
	procs := slices.Concat(f.procs, f.replacements)
	for _, p := range procs {
		if p.Alive() {
			_ = p.Signal(syscall.SIGKILL) // signal all first, as KillAndWait waits for each
		}
	}
	for _, p := range procs {
		p.KillAndWait()
	}
	for _, p := range f.procs {
		if p.passedSocket != nil {
			_ = p.passedSocket.Close()
		}
	}
	for _, links := range slices.Concat([][]*link.Link{f.clientLinks, f.listLinks}, f.storageLinks, f.peerLinks) {
		for _, l := range links {
			if l != nil {
				l.Close()
			}
		}
	}
	f.background.Wait()
	for _, l := range f.discoveryLists {
		l.Close()
	}
	if f.sharedList != nil {
		f.sharedList.Close()
	}
	for _, n := range f.nodes {
		n.Close()
	}
	if f.ownsDir {
		_ = os.RemoveAll(f.dir)
	}
}
