// Package gossip lets the scheduler processes of one fleet find each other and exchange their node statistics. It is the
// driver of package nodestats: hashicorp/memberlist finds the members and carries the messages; all rules of what
// is shared are in nodestats.State. Nothing on the data path waits for a peer: an outcome goes into a buffer that
// another goroutine drains, and is dropped and counted if the buffer is full.
//
// In each round the process sends its digest to one member, in random order without repetition. That member replies
// with the cells that the digest lacks, and with its own digest for the other direction. A later round finds what
// was lost.
//
// Without Start there is no goroutine and no socket.
package gossip

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/nodestats"
)

const (
	inboxSize    = 1024 // messages that wait
	leaveTimeout = 200 * time.Millisecond
)

// Options configure a Cluster.
type Options struct {
	Name             string
	Incarnation      uint64            // higher than at the last start
	Listen           string            // IP:port for UDP and TCP
	Advertise        string            // IP:port at which others reach this process; empty: Listen
	Seeds            []string          // IP:port of other processes, as they advertise it
	AddressOverrides map[string]string // advertised address to the one that leads there from here
	Interval         time.Duration     // between rounds
	Burst            int               // most messages of cells to one member in reply to a digest
	Key              []byte            // encrypts messages: 16, 24 or 32 bytes; nil: no encryption
	State            nodestats.Settings
	Seed             uint64
	Log              logrus.FieldLogger

	// BeforeRound is called before each round, to add to the state; it may be nil.
	BeforeRound func(now time.Duration, s *nodestats.State)
	// MakeSnapshot returns the snapshot that is sent to a member that requests one; empty: there is none. Up to
	// maxSnapshotSends calls run at once. It may be nil.
	MakeSnapshot func(SnapshotKind) []byte

	Transport memberlist.NodeAwareTransport // nil: UDP and TCP at Listen
	Since     func() time.Duration          // monotonic clock; nil: time since Start
}

// Counts are counters since Start, and the counts of the state.
type Counts struct {
	State             nodestats.Counts
	Members           int64 // at present, with this process
	Rounds            int64
	Received          int64 // messages
	BytesReceived     int64
	Sent              int64 // messages
	BytesSent         int64
	SendErrors        int64 // messages that the network did not accept
	QueueOverflows    int64 // received messages dropped: the inbox was full, or one round had too many
	Deferred          int64 // messages of cells left for a later round
	Outcomes          int64 // recorded
	DroppedOutcomes   int64 // not recorded: the buffer was full
	SnapshotsSent     int64
	SnapshotsReceived int64
	SnapshotsInvalid  int64 // snapshot requests and replies dropped: unexpected, too long, or not readable
}

// Cluster is a running driver. Its methods may be called by any goroutine.
type Cluster struct {
	options Options
	members members
	inbox   chan []byte
	wake    chan struct{} // the buffer is half full
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	closed  atomic.Bool

	buffer outcomeBuffer

	mu         sync.Mutex // guards the fields up to rand
	state      *nodestats.State
	roundOrder []string // members that later rounds send to, in order
	rand       *rand.Rand

	snapshots snapshotTransfer

	thisRound roundLoad // of the goroutine of run

	rounds, received, bytesReceived, sent, bytesSent, sendErrors, queueOverflows, deferred atomic.Int64
}

// Start listens and starts to look for the other processes. The caller must end the Cluster by Stop or Kill.
func Start(options Options) (*Cluster, error) {
	state, err := nodestats.New(options.State, options.Name, options.Incarnation)
	if err != nil {
		return nil, err
	}
	if options.Since == nil {
		begin := time.Now()
		options.Since = func() time.Duration { return time.Since(begin) }
	}
	c := newCluster(options, state, bufferSize)
	state.Yield = runtime.Gosched // lets the data path run in between, also on one processor
	config, err := c.memberlistConfig()
	if err != nil {
		return nil, err
	}
	list, err := memberlist.Create(config)
	if err != nil {
		_ = config.Transport.Shutdown() // the error of Create is the cause
		return nil, &ListenError{Address: options.Listen, Err: err}
	}
	c.members = list
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.tasks.Add(2)
	go c.run(ctx)
	go c.joinSeeds(ctx)
	return c, nil
}

func newCluster(options Options, state *nodestats.State, bufferSize int) *Cluster {
	c := &Cluster{
		options: options,
		state:   state,
		inbox:   make(chan []byte, inboxSize),
		wake:    make(chan struct{}, 1),
		rand:    rand.New(rand.NewPCG(options.Seed, 0x70656572)),
	}
	c.buffer.pending, c.buffer.spare = make([]outcome, 0, bufferSize), make([]outcome, 0, bufferSize)
	return c
}

// WithState calls f with the state, which holds all outcomes recorded by now. It waits for merges and blocks them, so it
// must not be called on the data path.
func (c *Cluster) WithState(f func(now time.Duration, s *nodestats.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain()
	f(c.options.Since(), c.state)
}

// Views returns the state's views. It waits as WithState does.
func (c *Cluster) Views() (v []nodestats.View) {
	c.WithState(func(now time.Duration, s *nodestats.State) { v = s.Views(now) })
	return v
}

// Counts returns the present counts.
func (c *Cluster) Counts() Counts {
	counts := Counts{
		Members:           int64(c.members.NumMembers()),
		Rounds:            c.rounds.Load(),
		Received:          c.received.Load(),
		BytesReceived:     c.bytesReceived.Load(),
		Sent:              c.sent.Load(),
		BytesSent:         c.bytesSent.Load(),
		SendErrors:        c.sendErrors.Load(),
		QueueOverflows:    c.queueOverflows.Load(),
		Deferred:          c.deferred.Load(),
		SnapshotsSent:     c.snapshots.sent.Load(),
		SnapshotsReceived: c.snapshots.received.Load(),
		SnapshotsInvalid:  c.snapshots.invalid.Load(),
	}
	c.mu.Lock()
	sync.Reads(c.state)
	counts.State = c.state.Counts()
	c.mu.Unlock()
	counts.Outcomes, counts.DroppedOutcomes = c.buffer.counts()
	return counts
}

// Stop notifies the other members and closes everything. Only the first call does so.
func (c *Cluster) Stop() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.members.Leave(leaveTimeout) // members that are not reached detect it themselves
	c.Kill()
}

// Kill closes everything without notifying the other members.
func (c *Cluster) Kill() {
	c.closed.Store(true)
	c.stop()
	_ = c.members.Shutdown() // nothing is left to do about its error
	c.tasks.Wait()
}
