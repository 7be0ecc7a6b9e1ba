package scattergather

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

const (
	defaultRetryAfter = time.Second
	groupIDBytes      = 16 // bytes that a group adds to a request ID
)

// Peer is another process of the fleet: its name, and the address of its client port.
type Peer struct{ Name, Address string }

// CoordinatorOptions are the options of NewCoordinator.
type CoordinatorOptions struct {
	Rules             DelegationRules // its Peers are set from Peers below
	Peers             []Peer
	Seed              uint64
	MaxConnsPerPeer   int             // concurrent connections to one peer
	MaxGroupBytes     int64           // bytes of one group's partial result
	MaxRequestIDBytes int             // longest request ID that a peer accepts
	RateLimitedPlans  map[string]bool // plans with a rate limit
	// EncodeRequest encodes a client's request for a peer, without ID, deadline and the gather headers.
	EncodeRequest func(client *core.Request, to *fasthttp.Request)
	AlivePeers    func() []string     // names of the processes known to be alive; nil: unknown. It must not wait for the network
	Counters      *DelegationCounters // nil: the Coordinator makes its own
	Log           logrus.FieldLogger
}

// DelegationCounts are totals over all reads.
type DelegationCounts struct {
	DelegatedReads  int // reads with delegated parts
	Groups          int // groups of these reads
	Takeovers       int // attempts that took a group over from another peer
	Rows            int // rows that peers delivered, by all attempts together
	PeerAttempts    int // attempts sent to peers
	Succeeded       int // attempts that completed their group first
	Failed          int // attempts that failed, were truncated or invalid, lost parts, or were overtaken by another attempt
	Rejected        int
	LocalAttempts   int // attempts of groups that this process made itself
	InvalidResults  int
	BackoffsStarted int // times that a peer started to back off
	Connections     int // connections to peers now, including dials
}

// DelegationCounters counts delegations. It outlives a Coordinator.
type DelegationCounters struct {
	mu     sync.Mutex
	counts DelegationCounts
	codes  map[string]int // number of failed and rejected attempts by error code
}

func (c *DelegationCounters) update(f func(*DelegationCounts)) {
	c.mu.Lock()
	f(&c.counts)
	c.mu.Unlock()
}

func (c *DelegationCounters) countFailure(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.codes == nil {
		c.codes = map[string]int{}
	}
	c.codes[code]++
}

// Counts returns the current counts.
func (c *DelegationCounters) Counts() DelegationCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// FailureCodes are the error codes of failed and rejected peer attempts.
var FailureCodes = []string{(*PeerFailed)(nil).Code(), (*PeerLostParts)(nil).Code(), (*PeerInvalidResult)(nil).Code(), (*Rejection)(nil).Code()}

// Failures returns the number of attempts that ended with an error code.
func (c *DelegationCounters) Failures(code string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.codes[code]
}

// Coordinator delegates parts of gathered reads to peers. The decisions are made by PeerTable, scheduleGroup and partialValidator.
type Coordinator struct {
	options   CoordinatorOptions
	start     time.Time
	mu        sync.Mutex
	peers     *PeerTable
	connSlots map[string]chan struct{}
	addresses map[string]string
	*DelegationCounters
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewCoordinator returns a coordinator. Its error is an *InvalidRules.
func NewCoordinator(opt CoordinatorOptions) (*Coordinator, error) {
	opt.Rules.Peers = nil
	for _, p := range opt.Peers {
		opt.Rules.Peers = append(opt.Rules.Peers, p.Name)
	}
	switch {
	case opt.MaxConnsPerPeer < 1:
		return nil, &InvalidRules{"tree.connections", "is not a positive number"}
	case opt.MaxGroupBytes < 1:
		return nil, &InvalidRules{"tree.group_bytes_most", "is not a positive number"}
	}
	peers, err := NewPeerTable(opt.Rules, opt.Seed)
	if err != nil {
		return nil, err
	}
	coordinator := &Coordinator{options: opt, start: time.Now(), peers: peers, DelegationCounters: opt.Counters, connSlots: map[string]chan struct{}{}, addresses: map[string]string{}}
	if coordinator.DelegationCounters == nil {
		coordinator.DelegationCounters = &DelegationCounters{}
	}
	coordinator.ctx, coordinator.cancel = context.WithCancel(context.Background())
	for _, p := range opt.Peers {
		coordinator.connSlots[p.Name], coordinator.addresses[p.Name] = make(chan struct{}, opt.MaxConnsPerPeer), p.Address
	}
	return coordinator, nil
}

// Close cancels all attempts in flight and waits for them.
func (c *Coordinator) Close() {
	c.cancel()
	c.wg.Wait()
}

// PeerStatus returns the state of the peers.
func (c *Coordinator) PeerStatus() []PeerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers.Status(time.Since(c.start))
}

// delegatingSender is a Sender of groups. begin tells the gather which parts are groups, and finish converts its final answer to that
// of a flat merge.
type delegatingSender interface {
	begin(*Gather)
	finish(Final) Final
}

// Delegate implements Delegator.
func (c *Coordinator) Delegate(read ReadRequest) ([]gather.Part, Sender) {
	var alive []string
	if c.options.AlivePeers != nil {
		alive = c.options.AlivePeers()
	}
	c.mu.Lock()
	if c.options.AlivePeers != nil {
		c.peers.SetAlive(alive)
	}
	plan := c.peers.Split(time.Since(c.start), read.Parts, read.Rules.Idempotent && len(read.Client.ID)+groupIDBytes <= c.options.MaxRequestIDBytes, c.options.RateLimitedPlans[read.Client.Plan])
	c.mu.Unlock()
	if len(plan.Groups) == 0 {
		return read.Parts, read.Local
	}
	c.update(func(n *DelegationCounts) { n.DelegatedReads++; n.Groups += len(plan.Groups) })
	return plan.Parts(), &groupSender{coordinator: c, ReadRequest: read, plan: plan, attempts: map[string][]*groupAttempt{}}
}

// groupSender sends the attempts of groups and parts of one read.
type groupSender struct {
	ReadRequest
	coordinator     *Coordinator
	plan            ReadPlan
	mu              sync.Mutex
	attempts        map[string][]*groupAttempt // by group, in order of their start
	localRetryAfter time.Duration              // the longest Retry-After of attempts of this process
	localAttempts   sync.WaitGroup             // attempts of this process
}

// groupAttempt is an attempt of a group.
type groupAttempt struct {
	Attempt
	trial  int
	cancel context.CancelFunc
	ended  bool // ended or cancelled
}

func (s *groupSender) group(id string) *Group {
	for i := range s.plan.Groups {
		if s.plan.Groups[i].ID == id {
			return &s.plan.Groups[i]
		}
	}
	return nil
}

// Send implements Sender.
func (s *groupSender) Send(attempt Attempt, until time.Time, to *Sink) {
	group := s.group(attempt.Part.ID)
	if group == nil {
		s.Local.Send(attempt, until, to)
		return
	}
	ctx, cancel := context.WithDeadline(s.coordinator.ctx, until)
	started := &groupAttempt{Attempt: attempt, cancel: cancel}
	if attempt.Peer != "" && attempt.Peer == group.PeerOrder[0] {
		started.trial = group.Trial
	}
	s.mu.Lock()
	earlier := s.attempts[attempt.Part.ID]
	s.attempts[attempt.Part.ID] = append(earlier, started)
	s.mu.Unlock()
	if n := len(earlier); n > 0 && earlier[n-1].Peer != attempt.Peer {
		s.coordinator.update(func(n *DelegationCounts) { n.Takeovers++ })
	}
	if attempt.Peer == "" {
		s.localAttempts.Add(1)
	}
	s.coordinator.wg.Go(func() {
		defer cancel()
		if attempt.Peer == "" {
			defer s.localAttempts.Done()
			s.coordinator.update(func(n *DelegationCounts) { n.LocalAttempts++ })
			s.gatherLocally(ctx, started, until, to)
			return
		}
		s.coordinator.update(func(n *DelegationCounts) { n.PeerAttempts++ })
		retryAfter, err := s.requestPeer(ctx, group, attempt, until, to)
		if ctx.Err() != nil && err != nil { // cancelled, or its time ended before another attempt overtook it
			err = context.Canceled
		}
		s.recordOutcome(started, err, retryAfter)
		to.End(nil, err)
	})
}

// Cancel implements Sender.
func (s *groupSender) Cancel(attempt Attempt) {
	s.mu.Lock()
	all, known := s.attempts[attempt.Part.ID]
	for _, c := range all {
		if c.Number == attempt.Number {
			c.ended = true
			c.cancel()
		}
	}
	s.mu.Unlock()
	if !known {
		s.Local.Cancel(attempt)
	}
}

// recordOutcome records how an attempt of a peer ended. Earlier attempts that it overtook have failed.
func (s *groupSender) recordOutcome(attempt *groupAttempt, err error, retryAfter time.Duration) {
	s.mu.Lock()
	cancelled := attempt.ended || errors.Is(err, context.Canceled)
	attempt.ended = true
	var overtaken []*groupAttempt
	succeeded := err == nil || errors.As(err, new(*gather.Limited))
	if succeeded && !cancelled {
		for _, x := range s.attempts[attempt.Part.ID] {
			if x.Number < attempt.Number && !x.ended && x.Peer != "" {
				x.ended = true
				overtaken = append(overtaken, x)
			}
		}
	}
	s.mu.Unlock()
	for _, x := range overtaken {
		s.coordinator.recordPeerOutcome(x.Peer, x.trial, OutcomeFailure, 0, &PeerFailed{x.Part.ID, x.Peer, "overtaken by another attempt"})
	}
	switch {
	case attempt.Peer == "":
	case cancelled: // ended by its deadline or by another attempt: its outcome is unknown or already recorded
		s.coordinator.recordPeerOutcome(attempt.Peer, attempt.trial, OutcomeUnknown, 0, nil)
	case succeeded:
		s.coordinator.recordPeerOutcome(attempt.Peer, attempt.trial, OutcomeSuccess, 0, nil)
	case retryAfter > 0:
		s.coordinator.recordPeerOutcome(attempt.Peer, attempt.trial, OutcomeRejected, retryAfter, &Rejection{retryAfter})
	default:
		s.coordinator.recordPeerOutcome(attempt.Peer, attempt.trial, OutcomeFailure, 0, err)
	}
}

// recordPeerOutcome updates the peer table and the counters, and logs if a peer starts or ends its backoff.
func (c *Coordinator) recordPeerOutcome(peer string, trial int, outcome PeerOutcome, retryAfter time.Duration, err error) {
	c.mu.Lock()
	failuresBefore := c.peers.failures(peer)
	c.peers.AttemptEnded(time.Since(c.start), peer, trial, outcome, retryAfter)
	failuresAfter := c.peers.failures(peer)
	c.mu.Unlock()
	c.update(func(n *DelegationCounts) {
		switch outcome {
		case OutcomeSuccess:
			n.Succeeded++
		case OutcomeFailure:
			n.Failed++
		case OutcomeRejected:
			n.Rejected++
		}
		if errors.As(err, new(*PeerInvalidResult)) {
			n.InvalidResults++
		}
		if failuresAfter > failuresBefore {
			n.BackoffsStarted++
		}
	})
	var coded operr.Coded
	if errors.As(err, &coded) {
		c.countFailure(coded.Code())
	}
	switch {
	case failuresBefore == 0 && failuresAfter > 0:
		c.options.Log.WithFields(operr.Fields(err)).Warn("gather: peer failed and backs off")
	case failuresBefore > 0 && failuresAfter == 0:
		c.options.Log.WithField("peer", peer).Info("gather: peer is used again after its backoff")
	}
}

// gatherLocally gathers a group in this process.
func (s *groupSender) gatherLocally(ctx context.Context, attempt *groupAttempt, until time.Time, to *Sink) {
	final := s.GatherLocally(ctx, attempt.Attempt, until, func(b []byte) error {
		if !to.Deliver(b) {
			return context.Canceled // no more bytes are needed
		}
		return nil
	})
	retryAfter, err := time.Duration(0), final.Cause()
	for _, p := range final.Result.Parts {
		var rejection *Rejection
		if errors.As(p.Why, &rejection) {
			retryAfter = max(retryAfter, rejection.RetryAfter)
		}
	}
	switch {
	case final.Kind == ClientDisconnected:
		err = context.Canceled
	case final.Kind == Served && final.Limited:
		err = &gather.Limited{}
	}
	s.mu.Lock()
	s.localRetryAfter = max(s.localRetryAfter, retryAfter)
	s.mu.Unlock()
	if err == nil || final.Limited {
		s.recordOutcome(attempt, err, 0)
	}
	to.End(nil, err)
}

// begin implements delegatingSender.
func (s *groupSender) begin(g *Gather) { g.setGroups(s.coordinator.options.Rules, s.plan) }

// finish implements delegatingSender: it restores the parts' own shards, and turns an answer whose parts were all rejected into a rejection.
func (s *groupSender) finish(final Final) Final {
	s.coordinator.mu.Lock()
	s.coordinator.peers.ReadEnded(s.plan)
	s.coordinator.mu.Unlock()
	shards := map[string]int{}
	for _, p := range s.Parts {
		shards[p.ID] = p.Shard
	}
	allRejected, retryAfter := final.Kind == EndedEarly && final.Result.Rows == 0 && errors.As(final.Result.Err, new(*gather.Incomplete)), time.Duration(0)
	if allRejected { // the attempts of this process are cancelled or have ended, and record their Retry-After before they return
		s.localAttempts.Wait()
	}
	for i := range final.Result.Parts {
		state := &final.Result.Parts[i]
		state.Shard = shards[state.ID]
		var rejection *Rejection
		var reported *gather.Told
		switch {
		case errors.As(state.Why, &rejection):
			retryAfter = max(retryAfter, rejection.RetryAfter)
		case errors.As(state.Why, &reported) && reported.Why == rejection.Code():
			retryAfter = max(retryAfter, s.localRetryAfter)
		default:
			allRejected = false
		}
	}
	if allRejected {
		final.Kind, final.RetryAfter = Rejected, retryAfter
	}
	return final
}

// requestPeer requests a group from a peer and relays its partial result. wait is the peer's Retry-After if it rejected the request,
// and a millisecond if no connection slot of the peer is free.
func (s *groupSender) requestPeer(ctx context.Context, g *Group, attempt Attempt, until time.Time, to *Sink) (wait time.Duration, err error) {
	coordinator := s.coordinator
	failed := func(cause string) error { return &PeerFailed{g.ID, attempt.Peer, cause} }
	select {
	case coordinator.connSlots[attempt.Peer] <- struct{}{}:
	default: // not a failure of the peer
		return time.Millisecond, failed("no connection is free")
	}
	coordinator.update(func(n *DelegationCounts) { n.Connections++ })
	defer func() {
		coordinator.update(func(n *DelegationCounts) { n.Connections-- })
		<-coordinator.connSlots[attempt.Peer]
	}()
	nc, err := transport.DialTCP(ctx, coordinator.addresses[attempt.Peer], 0) // the context limits the time
	if err != nil {
		return 0, failed(err.Error())
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	coordinator.options.EncodeRequest(s.Client, req)
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s/%s/%d", s.Client.ID, g.ID, attempt.Number))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10))
	var shards []byte
	for i, p := range g.Parts {
		if i > 0 {
			shards = append(shards, ',')
		}
		shards = strconv.AppendInt(shards, int64(p.Shard), 10)
	}
	req.Header.SetBytesV("X-Gather", shards)
	req.Header.Set("X-Gather-Partial", "1")
	if attempt.Rows > 0 {
		req.Header.Set("X-Gather-Rows", strconv.Itoa(attempt.Rows))
	}
	req.SetHost(coordinator.addresses[attempt.Peer])
	req.SetConnectionClose()
	w := bufio.NewWriterSize(nc, 4096)
	if err = req.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		return 0, failed(err.Error())
	}
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	res.StreamBody = true
	if err := res.ReadLimitBody(bufio.NewReaderSize(nc, maxPieceBytes), 0); err != nil {
		return 0, failed(err.Error())
	}
	defer func() { _ = res.CloseBodyStream() }()
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return parseRetryAfter(string(res.Header.Peek("Retry-After"))), failed("it rejected the request")
	default:
		return 0, failed(fmt.Sprint("it answered with status ", code))
	}
	return 0, s.relay(g, attempt, res.BodyStream(), to)
}

// parseRetryAfter parses a number of seconds. It returns defaultRetryAfter unless the number is positive and less than a day.
func parseRetryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0 && s < 86400) {
		return defaultRetryAfter
	}
	return time.Duration(s * float64(time.Second))
}

// relay passes a validated body on at the rate at which the merge consumes it.
func (s *groupSender) relay(g *Group, attempt Attempt, body io.Reader, to *Sink) error {
	quota := s.Rules.Merge.Memory.Bytes / (len(s.plan.Groups) + len(s.plan.Local) + 1) // memory of one part of the coordinator's merge
	validator, err := newPartialValidator(s.Rules.Merge, attempt.Peer, g.Part, attempt.Rows, int64(quota-4), s.coordinator.options.MaxGroupBytes)
	if err != nil {
		return err
	}
	defer func() { s.coordinator.update(func(n *DelegationCounts) { n.Rows += validator.rows }) }()
	buf := make([]byte, maxPieceBytes)
	for {
		n, err := body.Read(buf)
		valid, invalid := validator.add(buf[:n])
		if invalid == nil && errors.Is(err, io.EOF) {
			if len(valid) > 0 && !to.Deliver(valid) {
				return context.Canceled
			}
			valid, invalid = validator.finish()
		}
		if len(valid) > 0 && !to.Deliver(valid) {
			return context.Canceled // no more bytes are needed
		}
		switch {
		case invalid != nil:
			return invalid
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &PeerFailed{g.ID, attempt.Peer, err.Error()}
		}
	}
}
