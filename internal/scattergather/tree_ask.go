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
	retryDefault = time.Second
	idRoom       = 16 // bytes that a group adds to an id
)

// Peer is another process of the fleet: its name, and the address that its clients use.
type Peer struct{ Name, Address string }

// TreeOptions make a Tree.
type TreeOptions struct {
	Rules     TreeRules // Peers are taken from Peers
	Peers     []Peer
	Seed      uint64
	Conns     int             // to one peer at once
	BytesMost int64           // of one group's partial result
	IDMost    int             // bytes of an id that a peer takes
	Limited   map[string]bool // plans with a limit
	// Request makes a client's request one to a peer: all but id, deadline and the fields of the gather.
	Request func(client *core.Request, to *fasthttp.Request)
	Alive   func() []string // names of the processes that are known to be; nil: nobody knows. It must not wait for the net
	Tally   *Tally          // nil: its own
	Log     logrus.FieldLogger
}

// TreeCounts are of all reads so far.
type TreeCounts struct {
	Handed    int // reads of which parts were handed on
	Groups    int // ... and the groups of them
	TakenOver int // times that the next was asked for a group
	Rows      int // that peers brought; of several copies all
	Asked     int // copies of groups asked of peers
	Good      int // ... that were whole, and first
	Bad       int // ... that failed, were cut, nonsense, lost parts, or were passed by another copy
	Refused   int
	Own       int // copies of groups that the process asked itself
	Nonsense  int
	SetAside  int // peers that began to rest
	Connected int // now
}

// Tally counts; it outlives a Tree.
type Tally struct {
	mu    sync.Mutex
	n     TreeCounts
	codes map[string]int // of bad and refused copies
}

func (t *Tally) count(f func(*TreeCounts)) {
	t.mu.Lock()
	f(&t.n)
	t.mu.Unlock()
}

func (t *Tally) failed(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.codes == nil {
		t.codes = map[string]int{}
	}
	t.codes[code]++
}

// Counts are those of now.
func (t *Tally) Counts() TreeCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// Codes are why copies asked of peers were no good.
var Codes = []string{(*PeerFailed)(nil).Code(), (*PeerLost)(nil).Code(), (*PeerNonsense)(nil).Code(), (*Refusal)(nil).Code()}

// Failures are the copies that ended with a code.
func (t *Tally) Failures(code string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.codes[code]
}

// Tree hands parts of gathered reads on to peers. It holds no rule: Book, handOn and partialCheck decide.
type Tree struct {
	opt   TreeOptions
	start time.Time
	mu    sync.Mutex
	book  *Book
	slots map[string]chan struct{}
	addrs map[string]string
	*Tally
	stop context.Context
	end  context.CancelFunc
	wg   sync.WaitGroup
}

// OpenTree makes it. Errors: *RulesBad.
func OpenTree(opt TreeOptions) (*Tree, error) {
	opt.Rules.Peers = nil
	for _, p := range opt.Peers {
		opt.Rules.Peers = append(opt.Rules.Peers, p.Name)
	}
	switch {
	case opt.Conns < 1:
		return nil, &RulesBad{"tree.connections", "is not a positive number"}
	case opt.BytesMost < 1:
		return nil, &RulesBad{"tree.group_bytes_most", "is not a positive number"}
	}
	book, err := NewBook(opt.Rules, opt.Seed)
	if err != nil {
		return nil, err
	}
	t := &Tree{opt: opt, start: time.Now(), book: book, Tally: opt.Tally, slots: map[string]chan struct{}{}, addrs: map[string]string{}}
	if t.Tally == nil {
		t.Tally = &Tally{}
	}
	t.stop, t.end = context.WithCancel(context.Background())
	for _, p := range opt.Peers {
		t.slots[p.Name], t.addrs[p.Name] = make(chan struct{}, opt.Conns), p.Address
	}
	return t, nil
}

// Close calls off all that is out and waits for it.
func (t *Tree) Close() {
	t.end()
	t.wg.Wait()
}

// Standing of the peers now.
func (t *Tree) Standing() []Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.book.Standing(time.Since(t.start))
}

// handing is an asker of groups: it tells the gather how they are asked, and makes its final answer a flat merge's.
type handing interface {
	begin(*Gather)
	ended(Final) Final
}

// Group implements Grouper.
func (t *Tree) Group(r Read) ([]gather.Part, Asker) {
	var alive []string
	if t.opt.Alive != nil {
		alive = t.opt.Alive()
	}
	t.mu.Lock()
	if t.opt.Alive != nil {
		t.book.Alive(alive)
	}
	plan := t.book.Split(time.Since(t.start), r.Parts, r.Rules.Safe && len(r.Client.ID)+idRoom <= t.opt.IDMost, t.opt.Limited[r.Client.Plan])
	t.mu.Unlock()
	if len(plan.Groups) == 0 {
		return r.Parts, r.Own
	}
	t.count(func(n *TreeCounts) { n.Handed++; n.Groups += len(plan.Groups) })
	return plan.Parts(), &treeAsker{t: t, Read: r, plan: plan, out: map[string][]*copyOf{}}
}

// treeAsker asks groups and parts of one read.
type treeAsker struct {
	Read
	t    *Tree
	plan Plan
	mu   sync.Mutex
	out  map[string][]*copyOf // by group, in order of asking
	wait time.Duration        // the longest Retry-After of the process's own copies
	nest sync.WaitGroup       // of them
}

// copyOf is a copy of a group.
type copyOf struct {
	Ask
	trial int
	off   context.CancelFunc
	over  bool // it ended, or is called off
}

func (a *treeAsker) group(id string) *Group {
	for i := range a.plan.Groups {
		if a.plan.Groups[i].ID == id {
			return &a.plan.Groups[i]
		}
	}
	return nil
}

// Ask implements Asker.
func (a *treeAsker) Ask(x Ask, until time.Time, to *Sink) {
	g := a.group(x.Part.ID)
	if g == nil {
		a.Own.Ask(x, until, to)
		return
	}
	ctx, off := context.WithDeadline(a.t.stop, until)
	c := &copyOf{Ask: x, off: off}
	if x.Peer != "" && x.Peer == g.Order[0] {
		c.trial = g.Trial
	}
	a.mu.Lock()
	before := a.out[x.Part.ID]
	a.out[x.Part.ID] = append(before, c)
	a.mu.Unlock()
	if n := len(before); n > 0 && before[n-1].Peer != x.Peer {
		a.t.count(func(n *TreeCounts) { n.TakenOver++ })
	}
	if x.Peer == "" {
		a.nest.Add(1)
	}
	a.t.wg.Go(func() {
		defer off()
		if x.Peer == "" {
			defer a.nest.Done()
			a.t.count(func(n *TreeCounts) { n.Own++ })
			a.nested(ctx, c, until, to)
			return
		}
		a.t.count(func(n *TreeCounts) { n.Asked++ })
		after, err := a.ask(ctx, g, x, until, to)
		if ctx.Err() != nil && err != nil { // called off, or nobody was faster until its time was over
			err = context.Canceled
		}
		a.judge(c, err, after)
		to.End(nil, err)
	})
}

// Off implements Asker.
func (a *treeAsker) Off(x Ask) {
	a.mu.Lock()
	all, known := a.out[x.Part.ID]
	for _, c := range all {
		if c.Copy == x.Copy {
			c.over = true
			c.off()
		}
	}
	a.mu.Unlock()
	if !known {
		a.Own.Off(x)
	}
}

// judge tells the book how a peer's asking ended; earlier ones that it passed were bad.
func (a *treeAsker) judge(c *copyOf, err error, after time.Duration) {
	a.mu.Lock()
	called := c.over || errors.Is(err, context.Canceled)
	c.over = true
	var passed []*copyOf
	good := err == nil || errors.As(err, new(*gather.Limited))
	if good && !called {
		for _, x := range a.out[c.Part.ID] {
			if x.Copy < c.Copy && !x.over && x.Peer != "" {
				x.over = true
				passed = append(passed, x)
			}
		}
	}
	a.mu.Unlock()
	for _, x := range passed {
		a.t.heard(x.Peer, x.trial, PeerBad, 0, &PeerFailed{x.Part.ID, x.Peer, "passed by another"})
	}
	switch {
	case c.Peer == "":
	case called: // for its end, or for another's: nothing is known, or it is judged
		a.t.heard(c.Peer, c.trial, PeerAbandoned, 0, nil)
	case good:
		a.t.heard(c.Peer, c.trial, PeerGood, 0, nil)
	case after > 0:
		a.t.heard(c.Peer, c.trial, PeerRefused, after, &Refusal{after})
	default:
		a.t.heard(c.Peer, c.trial, PeerBad, 0, err)
	}
}

// heard writes it into the book, and into the log where a peer begins to rest.
func (t *Tree) heard(peer string, trial int, o Outcome, after time.Duration, err error) {
	t.mu.Lock()
	was := t.book.fails(peer)
	t.book.Ended(time.Since(t.start), peer, trial, o, after)
	is := t.book.fails(peer)
	t.mu.Unlock()
	t.count(func(n *TreeCounts) {
		switch o {
		case PeerGood:
			n.Good++
		case PeerBad:
			n.Bad++
		case PeerRefused:
			n.Refused++
		}
		if errors.As(err, new(*PeerNonsense)) {
			n.Nonsense++
		}
		if is > was {
			n.SetAside++
		}
	})
	var c operr.Coded
	if errors.As(err, &c) {
		t.failed(c.Code())
	}
	switch {
	case was == 0 && is > 0:
		t.opt.Log.WithFields(operr.Fields(err)).Warn("gather: a peer is set aside")
	case was > 0 && is == 0:
		t.opt.Log.WithField("peer", peer).Info("gather: a peer is asked again")
	}
}

// nested gathers a group on the process itself.
func (a *treeAsker) nested(ctx context.Context, c *copyOf, until time.Time, to *Sink) {
	f := a.Here(ctx, c.Ask, until, func(b []byte) error {
		if !to.Piece(b) {
			return context.Canceled // not needed
		}
		return nil
	})
	wait, err := time.Duration(0), f.Why()
	for _, p := range f.Result.Parts {
		var ref *Refusal
		if errors.As(p.Why, &ref) {
			wait = max(wait, ref.After)
		}
	}
	switch {
	case f.Kind == Left:
		err = context.Canceled
	case f.Kind == Served && f.Limited:
		err = &gather.Limited{}
	}
	a.mu.Lock()
	a.wait = max(a.wait, wait)
	a.mu.Unlock()
	if err == nil || f.Limited {
		a.judge(c, err, 0)
	}
	to.End(nil, err)
}

// begin implements handing.
func (a *treeAsker) begin(g *Gather) { g.hand(a.t.opt.Rules, a.plan) }

// ended implements handing: parts have their own shards, and all refused is refused.
func (a *treeAsker) ended(f Final) Final {
	a.t.mu.Lock()
	a.t.book.Done(a.plan)
	a.t.mu.Unlock()
	shards := map[string]int{}
	for _, p := range a.Parts {
		shards[p.ID] = p.Shard
	}
	refused, wait := f.Kind == Short && f.Result.Rows == 0 && errors.As(f.Result.Err, new(*gather.Incomplete)), time.Duration(0)
	if refused { // its own copies are called off, or have said all: they know how long
		a.nest.Wait()
	}
	for i := range f.Result.Parts {
		s := &f.Result.Parts[i]
		s.Shard = shards[s.ID]
		var ref *Refusal
		var told *gather.Told
		switch {
		case errors.As(s.Why, &ref):
			wait = max(wait, ref.After)
		case errors.As(s.Why, &told) && told.Why == ref.Code():
			wait = max(wait, a.wait)
		default:
			refused = false
		}
	}
	if refused {
		f.Kind, f.RetryAfter = Refused, wait
	}
	return f
}

// ask asks a peer for a group and gives its partial result on; after is the wait that it asked for, where it refused.
func (a *treeAsker) ask(ctx context.Context, g *Group, x Ask, until time.Time, to *Sink) (after time.Duration, err error) {
	t := a.t
	failed := func(cause string) error { return &PeerFailed{g.ID, x.Peer, cause} }
	select {
	case t.slots[x.Peer] <- struct{}{}:
	default: // not the peer's doing
		return time.Millisecond, failed("no connection is free")
	}
	t.count(func(n *TreeCounts) { n.Connected++ })
	defer func() {
		t.count(func(n *TreeCounts) { n.Connected-- })
		<-t.slots[x.Peer]
	}()
	nc, err := transport.DialTCP(ctx, t.addrs[x.Peer], 0) // until the context ends
	if err != nil {
		return 0, failed(err.Error())
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()

	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	t.opt.Request(a.Client, req)
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s/%s/%d", a.Client.ID, g.ID, x.Copy))
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
	if x.Rows > 0 {
		req.Header.Set("X-Gather-Rows", strconv.Itoa(x.Rows))
	}
	req.SetHost(t.addrs[x.Peer])
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
	if err := res.ReadLimitBody(bufio.NewReaderSize(nc, pieceMost), 0); err != nil {
		return 0, failed(err.Error())
	}
	defer func() { _ = res.CloseBodyStream() }()
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return retryAfter(string(res.Header.Peek("Retry-After"))), failed("it refused")
	default:
		return 0, failed(fmt.Sprint("it answered ", code))
	}
	return 0, a.stream(g, x, res.BodyStream(), to)
}

// retryAfter reads a number of seconds.
func retryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0 && s < 86400) {
		return retryDefault
	}
	return time.Duration(s * float64(time.Second))
}

// stream gives a body on, checked, as fast as the merge takes it.
func (a *treeAsker) stream(g *Group, x Ask, body io.Reader, to *Sink) error {
	quota := a.Rules.Merge.Memory.Bytes / (len(a.plan.Groups) + len(a.plan.Own) + 1) // of a part of the root's merge
	check, err := newPartialCheck(a.Rules.Merge, x.Peer, g.Part, x.Rows, int64(quota-4), a.t.opt.BytesMost)
	if err != nil {
		return err
	}
	defer func() { a.t.count(func(n *TreeCounts) { n.Rows += check.rows }) }()
	buf := make([]byte, pieceMost)
	for {
		n, err := body.Read(buf)
		pass, wrong := check.take(buf[:n])
		if wrong == nil && errors.Is(err, io.EOF) {
			if len(pass) > 0 && !to.Piece(pass) {
				return context.Canceled
			}
			pass, wrong = check.end()
		}
		if len(pass) > 0 && !to.Piece(pass) {
			return context.Canceled // no more is needed
		}
		switch {
		case wrong != nil:
			return wrong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &PeerFailed{g.ID, x.Peer, err.Error()}
		}
	}
}
