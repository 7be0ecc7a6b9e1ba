// Package gossip lets processes of one fleet know each other and exchange what they hold of the nodes. It is the
// driver of internal/nodestats: hashicorp/memberlist finds the members and carries the messages, all
// rules of what is shared are in the state. Nothing waits for a peer: an outcome is put into a buffer that
// is emptied elsewhere, and is counted and left out where the buffer is full.
//
// Each Every the process sends its digest to one member, in a drawn order without repeats; that one sends what
// the digest lacks, and its own digest for the other direction. What is lost is found by a later round.
//
// Off (no Start) there is no goroutine and no socket.
package gossip

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

// What is sent: a digest that asks for one in return, one that does not, cells, or what is asked for by
// one that starts and given to it.
const (
	tagAsk = 'a' + iota
	tagReply
	tagCells
	tagWant
	tagGive
)

const (
	bufferSize  = 8192 // outcomes between two readings
	inboxSize   = 1024 // messages waiting
	asksMost    = 16   // digests answered in a round; more processes than that ask another one
	packetMost  = 1300 // bytes of a message that goes as one datagram
	tcpWait     = time.Second
	deadFor     = 30 * time.Second // the library gossips to the dead for so long
	leaveWait   = 200 * time.Millisecond
	rejoinEvery = 2 * time.Second
)

// Options say who the process is and where the others are.
type Options struct {
	Name             string
	Incarnation      uint64            // of this life: higher than that of the last
	Listen           string            // IP:port, UDP and TCP
	Advertise        string            // IP:port that others reach; empty: Listen
	Seeds            []string          // IP:port of others, as they advertise
	AddressOverrides map[string]string // advertised address to the one that leads there from here
	Interval         time.Duration     // between rounds
	Burst            int               // messages to one member in one round
	Key              []byte            // 16, 24 or 32 bytes: messages are encrypted; nil: they are not
	State            nodestats.Settings
	Seed             uint64
	BeforeRound      func(now time.Duration, s *nodestats.State) // before each round, to say what else is known; may be nil
	MakeSnapshot     func(Kind) []byte                           // what is handed over to one that asks; empty: nothing; may be nil
	Log              logrus.FieldLogger
	Transport        memberlist.NodeAwareTransport // tests: instead of the network
	Since            func() time.Duration          // tests: the clock; nil: since Start
}

// Counts are the driver's figures from its start, and those of the state.
type Counts struct {
	State             nodestats.Counts
	Members           int64 // now, this process too
	Rounds            int64
	Received          int64 // messages and their bytes ...
	BytesReceived     int64
	Sent              int64
	BytesSent         int64
	SendErrors        int64 // ... those that the network refused
	QueueOverflows    int64 // ... that came while the inbox was full, or were more than one round takes
	Deferred          int64 // ... left for a later round
	Outcomes          int64 // taken
	DroppedOutcomes   int64 // ... and left out: the buffer was full
	SnapshotsSent     int64 // handed over to others
	SnapshotsReceived int64 // handed over by others
	SnapshotsInvalid  int64 // ... and dropped: not asked for, too long, or not readable
}

// outcome is counted as of when it is drained: Every at most after it was, a small part of a half-life.
type outcome struct {
	key    nodestats.Key
	units  float64
	millis float64
	how    nodestats.Outcome
}

// members are the library's; a walk of every order has its own.
type members interface {
	Members() []*memberlist.Node
	NumMembers() int
	LocalNode() *memberlist.Node
	Join(seeds []string) (int, error)
	Leave(time.Duration) error
	Shutdown() error
	SendBestEffort(*memberlist.Node, []byte) error
	SendReliable(*memberlist.Node, []byte) error
}

// Cluster is the running driver.
type Cluster struct {
	opt    Options
	list   members
	inbox  chan []byte
	wake   chan struct{}
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	closed atomic.Bool

	buffer struct {
		sync.Mutex
		in, spare []outcome
		lost      int64
		all       int64
	}

	mu    sync.Mutex // the state and what follows
	state *nodestats.State
	turns []string
	rand  *rand.Rand

	hand handOver

	asks, messages, wants int // taken since the last round, by run alone

	rounds, received, in, sent, out, unsent, full, left atomic.Int64
}

// Start listens and looks for the others.
func Start(opt Options) (*Cluster, error) {
	state, err := nodestats.New(opt.State, opt.Name, opt.Incarnation)
	if err != nil {
		return nil, err
	}
	if opt.Since == nil {
		begin := time.Now()
		opt.Since = func() time.Duration { return time.Since(begin) }
	}
	p := newPeers(opt, state, bufferSize)
	state.Yield = runtime.Gosched // the core has its turn, also on one processor
	conf, err := p.config()
	if err != nil {
		return nil, err
	}
	list, err := memberlist.Create(conf)
	if err != nil {
		_ = conf.Transport.Shutdown()
		return nil, &ListenError{Address: opt.Listen, Err: err}
	}
	p.list = list
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.tasks.Add(2)
	go p.run(ctx)
	go p.join(ctx)
	return p, nil
}

func newPeers(opt Options, state *nodestats.State, size int) *Cluster {
	p := &Cluster{opt: opt, state: state, inbox: make(chan []byte, inboxSize), wake: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(opt.Seed, 0x70656572))}
	p.buffer.in, p.buffer.spare = make([]outcome, 0, size), make([]outcome, 0, size)
	return p
}

// config is the library's.
func (p *Cluster) config() (*memberlist.Config, error) {
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.SecretKey, conf.Delegate = p.opt.Name, p.opt.Key, (*delegate)(p)
	conf.EnableCompression, conf.TCPTimeout, conf.GossipToTheDeadTime = false, tcpWait, deadFor
	conf.DeadNodeReclaimTime = time.Second // a process killed comes back under its name, perhaps elsewhere
	conf.Logger = log.New(debugLog{p.opt.Log}, "", 0)
	conf.UDPBufferSize = packetMost + 100
	conf.DNSConfigPath = "/dev/null" // seeds are addresses
	host, port, err := split(p.opt.Listen)
	if err != nil {
		return nil, &ListenError{Address: p.opt.Listen, Err: err}
	}
	if p.opt.Advertise == "" && net.ParseIP(host).IsUnspecified() { // the library would start a program to learn which to tell
		return nil, &ListenError{Address: p.opt.Listen, Err: errNoOne}
	}
	conf.BindAddr, conf.BindPort, conf.AdvertisePort = host, port, port
	if p.opt.Advertise != "" {
		if conf.AdvertiseAddr, conf.AdvertisePort, err = split(p.opt.Advertise); err != nil {
			return nil, &ListenError{Address: p.opt.Advertise, Err: err}
		}
	}
	if p.opt.Transport != nil {
		conf.Transport = p.opt.Transport
		return conf, nil
	}
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: conf.Logger})
	if err != nil {
		return nil, &ListenError{Address: p.opt.Listen, Err: err}
	}
	if p.opt.Advertise == "" {
		conf.BindPort, conf.AdvertisePort = nt.GetAutoBindPort(), nt.GetAutoBindPort()
	}
	conf.Transport = &via{nt, p.opt.AddressOverrides}
	return conf, nil
}

func split(address string) (string, int, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is not an IP address", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return host, int(n), err
}

// via is the network with addresses that lead to others by another way.
type via struct {
	*memberlist.NetTransport
	to map[string]string
}

func (v *via) way(a memberlist.Address) memberlist.Address {
	if to, ok := v.to[a.Addr]; ok {
		a.Addr = to
	}
	return a
}

func (v *via) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return v.NetTransport.WriteToAddress(b, v.way(a))
}

func (v *via) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	nc, err := v.NetTransport.DialAddressTimeout(v.way(a), wait)
	if err != nil {
		return nil, err
	}
	return transport.DisableSplice(nc)
}

func (v *via) WriteTo(b []byte, addr string) (time.Time, error) {
	return v.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (v *via) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return v.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

type debugLog struct{ log logrus.FieldLogger }

func (d debugLog) Write(b []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}

var _ io.Writer = debugLog{}

// Observe counts the end of one attempt. It never waits for the state or a peer.
func (p *Cluster) Observe(node string, since int64, class string, units, millis float64, how nodestats.Outcome) {
	b := &p.buffer
	b.Lock()
	sync.Writes(&b.in)
	n, half := len(b.in), cap(b.in)/2
	if n == cap(b.in) {
		b.lost++
	} else {
		b.in = append(b.in, outcome{nodestats.Key{Node: node, StartTime: since, Class: class}, units, millis, how})
		b.all++
	}
	b.Unlock()
	if n == half {
		sync.TrySend(p.wake, struct{}{})
	}
}

// drain moves the buffered outcomes into the state; p.mu is held.
func (p *Cluster) drain() {
	b := &p.buffer
	b.Lock()
	sync.Writes(&b.in)
	got := b.in
	b.in, b.spare = b.spare[:0], got
	b.Unlock()
	sync.Writes(p.state)
	now := p.opt.Since()
	for i := range got {
		o := &got[i]
		p.state.Recorder(now, o.key).Record(now, o.units, o.millis, o.how)
	}
}

// WithState gives the state, up to date, to f. It is not for the data path: it waits for merges.
func (p *Cluster) WithState(f func(now time.Duration, s *nodestats.State)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain()
	f(p.opt.Since(), p.state)
}

// Views is the state's.
func (p *Cluster) Views() (v []nodestats.View) {
	p.WithState(func(now time.Duration, s *nodestats.State) { v = s.Views(now) })
	return v
}

// Counts are the figures now.
func (p *Cluster) Counts() Counts {
	c := Counts{Members: int64(p.list.NumMembers()), Rounds: p.rounds.Load(), Received: p.received.Load(), BytesReceived: p.in.Load(),
		Sent: p.sent.Load(), BytesSent: p.out.Load(), SendErrors: p.unsent.Load(), QueueOverflows: p.full.Load(), Deferred: p.left.Load(),
		SnapshotsSent: p.hand.given.Load(), SnapshotsReceived: p.hand.taken.Load(), SnapshotsInvalid: p.hand.unusable.Load()}
	p.mu.Lock()
	sync.Reads(p.state)
	c.State = p.state.Counts()
	p.mu.Unlock()
	p.buffer.Lock()
	sync.Reads(&p.buffer.in)
	c.Outcomes, c.DroppedOutcomes = p.buffer.all, p.buffer.lost
	p.buffer.Unlock()
	return c
}

// Members are the names of those that are known to be up, this process too.
func (p *Cluster) Members() []string {
	var names []string
	for _, n := range p.list.Members() {
		names = append(names, n.Name)
	}
	return names
}

// Address is where others reach this process.
func (p *Cluster) Address() string { return p.list.LocalNode().Address() }

// Stop tells the others and closes everything.
func (p *Cluster) Stop() {
	if p.closed.Swap(true) {
		return
	}
	_ = p.list.Leave(leaveWait)
	p.Kill()
}

// Kill closes everything without a word.
func (p *Cluster) Kill() {
	p.closed.Store(true)
	p.stop()
	_ = p.list.Shutdown()
	p.tasks.Wait()
}

func (p *Cluster) run(ctx context.Context) {
	defer p.tasks.Done()
	tick := time.NewTicker(p.opt.Interval)
	defer tick.Stop()
	p.loop(ctx, tick.C)
}

// loop is run's by a clock that ticks as it is told.
func (p *Cluster) loop(ctx context.Context, tick <-chan time.Time) {
	for {
		switch _, _, m, _, which := sync.First4(tick, p.wake, p.inbox, ctx.Done()); which {
		case 0:
			p.round()
		case 1:
			p.mu.Lock()
			p.drain()
			p.mu.Unlock()
		case 2:
			p.message(m)
		default:
			return
		}
	}
}

// round sends the digest to the next member.
func (p *Cluster) round() {
	p.rounds.Add(1)
	p.asks, p.messages, p.wants = 0, 0, 0
	members := map[string]*memberlist.Node{}
	for _, n := range p.list.Members() {
		if n.Name != p.opt.Name {
			members[n.Name] = n
		}
	}
	p.mu.Lock()
	p.drain()
	if p.opt.BeforeRound != nil {
		p.opt.BeforeRound(p.opt.Since(), p.state)
	}
	digest := p.state.Digest(p.opt.Since())
	var to *memberlist.Node
	for range 2 {
		for to == nil && len(p.turns) > 0 {
			to = members[p.turns[0]]
			p.turns = p.turns[1:]
		}
		if to == nil { // each has had its turn
			for _, n := range p.list.Members() {
				p.turns = append(p.turns, n.Name)
			}
			p.rand.Shuffle(len(p.turns), func(i, j int) { p.turns[i], p.turns[j] = p.turns[j], p.turns[i] })
		}
	}
	p.mu.Unlock()
	if to != nil {
		p.send(to, tagAsk, digest)
	}
}

func (p *Cluster) send(to *memberlist.Node, tag byte, m []byte) {
	b := append([]byte{tag}, m...)
	var err error
	if len(b) <= packetMost {
		err = p.list.SendBestEffort(to, b)
	} else {
		err = p.list.SendReliable(to, b)
	}
	if err != nil {
		p.unsent.Add(1)
		return
	}
	p.sent.Add(1)
	p.out.Add(int64(len(b)))
}

// message takes what another process sent.
func (p *Cluster) message(b []byte) {
	p.received.Add(1)
	p.in.Add(int64(len(b)))
	tag, m := b[0], b[1:]
	digest := tag == tagAsk || tag == tagReply
	if digest {
		p.asks++
	}
	// Guards the core's share of the processor against whoever floods the port.
	if p.messages++; p.messages > 4*p.opt.Burst+4*asksMost || digest && p.asks > asksMost {
		p.full.Add(1)
		return
	}
	if tag == tagWant {
		p.wanted(m)
		return
	}
	p.mu.Lock()
	sync.Writes(p.state)
	now := p.opt.Since()
	if !digest {
		err := p.state.Merge(now, m)
		p.mu.Unlock()
		p.dropped(err)
		return
	}
	p.drain()
	var reply []byte
	lacks, err := p.state.Diff(now, m)
	if err == nil && tag == tagAsk {
		reply = p.state.Digest(now)
	}
	start := 0
	if n := len(lacks); n > p.opt.Burst {
		start = p.rand.IntN(n)
	}
	p.mu.Unlock()
	if err != nil {
		p.dropped(err)
		return
	}
	sender, err := nodestats.Sender(m)
	if err != nil {
		return
	}
	for _, to := range p.list.Members() {
		if to.Name != sender || sender == p.opt.Name {
			continue
		}
		for i := range min(len(lacks), p.opt.Burst) { // from a drawn one on: each has its turn
			p.send(to, tagCells, lacks[(start+i)%len(lacks)])
		}
		p.left.Add(int64(max(0, len(lacks)-p.opt.Burst)))
		if reply != nil {
			p.send(to, tagReply, reply)
		}
	}
}

// dropped tells of a message that the state has refused and counted.
func (p *Cluster) dropped(err error) {
	if err != nil {
		p.opt.Log.WithFields(operr.Fields(err)).Debug("a peer's message")
	}
}

// join asks each seed that is no member, until it is one: halves that were apart find each other again.
func (p *Cluster) join(ctx context.Context) {
	defer p.tasks.Done()
	for {
		held := map[string]bool{}
		for _, n := range p.list.Members() {
			held[n.Address()] = true
		}
		for _, seed := range p.opt.Seeds {
			if !held[seed] && ctx.Err() == nil {
				_, _ = p.list.Join([]string{seed}) // its failure is in the debug log
			}
		}
		select {
		case <-time.After(rejoinEvery):
		case <-ctx.Done():
			return
		}
	}
}

// delegate is what the library calls; none of it waits.
type delegate Cluster

func (d *delegate) NotifyMsg(b []byte) {
	if len(b) == 0 {
		return
	}
	if b[0] == tagGive {
		d.hand.came(b[1:])
		return
	}
	if !sync.TrySend(d.inbox, append([]byte(nil), b...)) {
		d.full.Add(1)
	}
}

func (d *delegate) NodeMeta(int) []byte             { return nil }
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}
