// Package gossip lets the scheduler processes of one fleet discover each other and exchange their node statistics. It
// does the input and output for package nodestats: hashicorp/memberlist maintains the members and sends the messages,
// and nodestats.State decides what is exchanged. The data path never waits for another process: outcomes go into a
// buffer that another goroutine drains, and are dropped and counted if the buffer is full.
//
// In each round the process sends its digest to one member, in random order without repetition. That member replies
// with the cells that the digest lacks, and with its own digest for the other direction. Cells that are lost are sent
// again in a later round.
//
// The package starts no goroutine and opens no socket before Start is called.
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
	inboxSize    = 1024 // received messages that are queued
	leaveTimeout = 200 * time.Millisecond
)

// Options configure a Cluster.
type Options struct {
	Name             string
	Incarnation      uint64            // higher than at the previous start
	Listen           string            // IP:port for UDP and TCP
	Advertise        string            // IP:port at which others reach this process; empty: Listen
	Seeds            []string          // IP:port of other processes, as they advertise it
	AddressOverrides map[string]string // by advertised address: the address to use instead from this process
	Interval         time.Duration     // between rounds
	Burst            int               // maximum number of messages with cells in reply to a digest
	Key              []byte            // encrypts messages: 16, 24 or 32 bytes; nil: no encryption
	State            nodestats.Settings
	Seed             uint64
	Log              logrus.FieldLogger

	// BeforeRound, if set, is called before each round and can update the state.
	BeforeRound func(now time.Duration, s *nodestats.State)
	// MakeSnapshot, if set, returns the snapshot that is sent to a member on request, or an empty slice if there is none.
	// Up to maxSnapshotSends calls run concurrently.
	MakeSnapshot func(SnapshotKind) []byte

	Transport memberlist.NodeAwareTransport // nil: UDP and TCP at Listen
	Since     func() time.Duration          // monotonic clock; nil: time since Start
}

// Counts are counters since Start, including those of the state.
type Counts struct {
	State             nodestats.Counts
	Members           int64 // current number, including this process
	Rounds            int64
	Received          int64 // messages
	BytesReceived     int64
	Sent              int64 // messages
	BytesSent         int64
	SendErrors        int64 // messages that the network did not accept
	QueueOverflows    int64 // received messages dropped: the inbox was full, or a round exceeded its limits
	Deferred          int64 // messages with cells postponed to a later round
	Outcomes          int64 // recorded outcomes
	DroppedOutcomes   int64 // outcomes dropped because the buffer was full
	SnapshotsSent     int64
	SnapshotsReceived int64
	SnapshotsInvalid  int64 // snapshot requests and replies dropped: unexpected, too long or invalid
}

// Cluster is this process's membership in the fleet. Its methods are safe for concurrent use.
type Cluster struct {
	options Options
	members members
	inbox   chan []byte
	wake    chan struct{} // signals that the buffer is half full
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	closed  atomic.Bool

	buffer outcomeBuffer

	mu         sync.Mutex // guards the fields up to rand
	state      *nodestats.State
	roundOrder []string // members that later rounds send to, in order
	rand       *rand.Rand

	snapshots snapshotTransfer

	thisRound roundLoad // used only by the goroutine of run

	rounds, received, bytesReceived, sent, bytesSent, sendErrors, queueOverflows, deferred atomic.Int64
}

// Start listens and starts to join the other processes. The caller must call Stop or Kill at the end.
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
	state.Yield = runtime.Gosched // lets the data path run in between, even with a single processor
	config, err := c.memberlistConfig()
	if err != nil {
		return nil, err
	}
	list, err := memberlist.Create(config)
	if err != nil {
		_ = config.Transport.Shutdown() // the error of Create is returned
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

// WithState calls f with the state, which includes all outcomes recorded so far. It waits for merges and blocks them, so
// it must not be called on the data path.
func (c *Cluster) WithState(f func(now time.Duration, s *nodestats.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drain()
	f(c.options.Since(), c.state)
}

// Views returns the state's views. Like WithState, it must not be called on the data path.
func (c *Cluster) Views() (v []nodestats.View) {
	c.WithState(func(now time.Duration, s *nodestats.State) { v = s.Views(now) })
	return v
}

// Counts returns the current counts.
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

// Stop notifies the other members and releases all resources. Only the first call has an effect.
func (c *Cluster) Stop() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.members.Leave(leaveTimeout) // members that do not receive the notification detect the failure
	c.Kill()
}

// Kill releases all resources without notifying the other members.
func (c *Cluster) Kill() {
	c.closed.Store(true)
	c.stop()
	_ = c.members.Shutdown() // an error cannot be handled here
	c.tasks.Wait()
}
