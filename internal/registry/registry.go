// Package registry is the node list's actor: the known list first, then a watch that is
// opened again whenever it ends or falls silent.
package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/choice"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/backoff"
	"wheatsaddle/internal/core"
)

const (
	path = "/registry/instances"
	// beat: an idle watch says something every 2 s; a second more is a broken one.
	beat     = 3 * time.Second
	dialWait = time.Second
	lineMost = 4 << 20 // bytes in one line of a watch
)

var states = map[string]choice.NodeState{
	"active": choice.NodeUp, "leaving": choice.NodeDraining, "left": choice.NodeGone,
}

// List is one decoded message of discovery.
type List struct {
	Index int64
	Full  bool
	Nodes []core.Node
	Bad   []error // entries left out, each named
	// Partly names what was left out of entries that stay: an address that cannot be used.
	Partly []error
	named  map[string]bool // names of those, as far as they could be read
	blind  bool            // one of them has no name
}

// Decode reads one message. A bad entry is left out and named.
func Decode(text []byte) (List, error) {
	l := List{named: map[string]bool{}}
	if !gjson.ValidBytes(text) {
		return l, errors.New("list: not valid JSON")
	}
	root := gjson.ParseBytes(text)
	index, entries := root.Get("index"), root.Get("endpoints")
	if index.Type != gjson.Number {
		return l, errors.New("list: index: missing or not a number")
	}
	if !entries.IsArray() {
		return l, errors.New("list: endpoints: missing or not a list")
	}
	l.Index, l.Full = index.Int(), root.Get("snapshot").Bool()
	for i, e := range entries.Array() {
		n, bad, err := decodeNode(e)
		if err != nil {
			name := e.Get("name").String()
			l.Bad = append(l.Bad, fmt.Errorf("list: endpoints.%d (%.40q): %w", i, name, err))
			l.named[name], l.blind = true, l.blind || name == ""
			continue
		}
		for _, x := range bad {
			l.Partly = append(l.Partly, fmt.Errorf("list: endpoints.%d (%.40q): %w", i, n.ID, x))
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

// apply takes a list into what is held, and tells what it means. A snapshot with a bad entry
// is handed on as changes: what it does not name has left, but for what a bad entry stands
// for, or the fault of one entry would take its node away.
func (w *Watcher) apply(l List) core.News {
	if w.held == nil {
		w.held = map[string]core.Node{}
		for _, n := range w.Known {
			w.held[n.ID] = n
		}
	}
	news := core.News{Kind: choice.ListChange, Nodes: l.Nodes}
	if l.Full {
		listed := map[string]bool{}
		for _, n := range l.Nodes {
			listed[n.ID] = true
		}
		if len(l.Bad) == 0 {
			news.Kind = choice.ListFull
		}
		for _, id := range slices.Sorted(maps.Keys(w.held)) {
			if listed[id] || l.named[id] || l.blind {
				continue
			}
			if n := w.held[id]; len(l.Bad) > 0 {
				n.State = choice.NodeGone
				news.Nodes = append(news.Nodes, n)
			}
			delete(w.held, id)
		}
	}
	for _, n := range news.Nodes {
		if n.State == choice.NodeGone {
			delete(w.held, n.ID)
		} else {
			w.held[n.ID] = n
		}
	}
	return news
}

// decodeNode reads an entry; bad names the addresses that were left out of it.
func decodeNode(e gjson.Result) (n core.Node, bad []error, err error) {
	if !e.IsObject() {
		return n, nil, errors.New("not an object")
	}
	if n.ID = e.Get("name").String(); n.ID == "" {
		return n, nil, errors.New("name: missing")
	}
	var ok bool
	if n.State, ok = states[e.Get("status").String()]; !ok {
		return n, nil, fmt.Errorf("status: unknown word %.20q", e.Get("status").String())
	}
	if n.Addresses, bad, err = decodeAddresses(e); err != nil && n.State != choice.NodeGone {
		return n, bad, err
	}
	group := e.Get("group")
	if (group.Type != gjson.Number || group.Num < 0 || group.Num > 1e6) && n.State != choice.NodeGone {
		return n, nil, errors.New("group: missing or not a shard")
	}
	since := e.Get("since_ms")
	if since.Exists() && since.Type != gjson.Number {
		return n, nil, errors.New("since_ms: not a number")
	}
	n.Shard, n.Zone, n.Since, n.Weight = int(group.Num), e.Get("zone").String(), since.Num, 1
	if w := e.Get("weight"); w.Type == gjson.Number {
		n.Weight = w.Num
	}
	return n, bad, nil
}

// decodeAddresses reads "addresses", and "address" where it is not among them: the platform's
// lists have that one alone. A bad one is named and left out, unless none is left.
func decodeAddresses(e gjson.Result) (list []address.Addr, bad []error, err error) {
	var texts []string
	one, more := e.Get("address"), e.Get("addresses")
	if !more.Exists() {
		a, err := address.Parse(one.String())
		if err != nil {
			return nil, nil, fmt.Errorf("address: %.60q: %w", one.String(), err)
		}
		return []address.Addr{a}, nil, nil
	}
	if !more.IsArray() {
		return nil, nil, errors.New("addresses: not a list")
	}
	for i, x := range more.Array() {
		if x.Type != gjson.String {
			bad = append(bad, fmt.Errorf("addresses.%d: not text", i))
			continue
		}
		texts = append(texts, x.Str)
	}
	list, errs := address.List(texts)
	bad = append(bad, errs...)
	if one.Type == gjson.String {
		if a, err := address.Parse(one.Str); err != nil {
			bad = append(bad, fmt.Errorf("address: %.60q: %w", one.Str, err))
		} else if !slices.Contains(list, a) && len(list) < address.Most {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil, bad, fmt.Errorf("addresses: none of them can be used: %w", errors.Join(bad...))
	}
	return list, bad, nil
}

// Watcher is the list's actor. It alone applies what its watches read.
type Watcher struct {
	Address string
	Index   int64       // version held
	Known   []core.Node // the list held at the start
	Tell    func(core.News)
	Log     logrus.FieldLogger
	Beat    time.Duration // 0: the default
	Hosts   int           // schedulers that watch the same list; 0: this one
	Told    time.Duration // when what discovery says counts as told at the latest; 0: the protocol's figure
	Seed    int64
	Waits   Waits // between watches; nil: those of backoff for Hosts and Seed
	held    map[string]core.Node
	moves   chan string
	mail    chan line
	once    sync.Once
	old     *session // the watch at the address before, until the new one speaks
	now     *session // the watch at Address
	down    bool     // told already that no watch stands
}

// Waits says when to watch again after a watch that ended, and hears of those that spoke.
type Waits interface {
	Next() time.Duration
	Spoke()
}

// session is one connection's watch.
type session struct {
	stop context.CancelFunc
	live bool // it has spoken
}

// line is what a session read, or its end.
type line struct {
	from *session
	list *List // nil: an empty line, or the end
	err  error // the session has ended
}

func (w *Watcher) init() {
	w.once.Do(func() { w.moves, w.mail = make(chan string), make(chan line, 1) })
}

// Move watches at another address from now on. The watch that stands stays, and counts, until
// the new one speaks or the old one ends by itself. It returns false once the context ended.
func (w *Watcher) Move(ctx context.Context, address string) bool {
	w.init()
	select {
	case w.moves <- address:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	if w.Beat == 0 {
		w.Beat = beat
	}
	w.now = w.open(ctx)
	again := w.Waits
	if again == nil {
		again = backoff.New(max(w.Hosts, 1), w.Told, uint64(w.Seed))
	}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.moves:
			w.move(ctx, address)
		case <-retry.C:
			if w.now == nil {
				w.now = w.open(ctx)
			}
		case l := <-w.mail:
			if l.from != w.now && l.from != w.old {
				continue // of a watch that is over
			}
			if l.err == nil {
				again.Spoke()
				w.spoke(l)
				continue
			}
			if l.from == w.old {
				w.old = nil
			} else {
				w.now = nil
				retry.Reset(again.Next())
			}
			if w.old == nil && (w.now == nil || !w.now.live) && !w.down {
				// once for each time it goes down, not for each try
				w.Log.WithError(l.err).Warn("watch ended, connecting again")
				w.Tell(core.News{Kind: choice.ListFailed})
				w.down = true
			}
		}
	}
}

// move opens a watch at the new address beside the one that stands.
func (w *Watcher) move(ctx context.Context, address string) {
	if address == w.Address {
		return
	}
	w.Address = address
	switch {
	case w.now != nil && w.now.live:
		w.over(w.old)
		w.old = w.now
	case w.now != nil:
		w.over(w.now) // never spoke: of no use
	}
	w.now = w.open(ctx)
}

func (w *Watcher) over(s *session) {
	if s != nil {
		s.stop()
	}
}

// spoke takes a line. The new watch's first one, be it empty, ends the old watch.
func (w *Watcher) spoke(l line) {
	l.from.live, w.down = true, false
	if l.from == w.now && w.old != nil {
		w.over(w.old)
		w.old = nil
	}
	// Guards the held list against a source that lags behind the watch it replaces.
	if l.list == nil || !l.list.Full && l.list.Index < w.Index {
		return
	}
	w.Index = l.list.Index
	w.Tell(w.apply(*l.list))
}

// open starts a watch at the present address from the version held.
func (w *Watcher) open(ctx context.Context) *session {
	in, stop := context.WithCancel(ctx)
	s := &session{stop: stop}
	go func(address string, index int64) {
		defer stop()
		put := func(l line) {
			l.from = s
			select {
			case w.mail <- l:
			case <-in.Done():
			}
		}
		put(line{err: w.watch(in, address, index, put)})
	}(w.Address, w.Index)
	return s
}

// watch holds one connection: it asks for what came after the version held, and reads lines.
func (w *Watcher) watch(ctx context.Context, address string, index int64, put func(line)) error {
	nc, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	var req fasthttp.Request
	req.SetRequestURI(path + "?watch=1&after=" + strconv.FormatInt(index, 10))
	req.Header.SetHost(address)
	if err = nc.SetDeadline(time.Now().Add(w.Beat)); err != nil {
		return err
	}
	bw := bufio.NewWriter(nc)
	if err = req.Write(bw); err == nil {
		err = bw.Flush()
	}
	if err != nil {
		return err
	}
	resp := fasthttp.Response{StreamBody: true}
	if err = resp.Read(bufio.NewReader(beating{nc, w.Beat})); err != nil {
		return err
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode())
	}
	if resp.BodyStream() == nil {
		return errors.New("watch: not a stream")
	}
	return w.lines(resp.BodyStream(), put)
}

// lines reads a watch. A bad line is named and passed over: the list held stays, and the
// version too, so that the next connection asks for what was missed.
func (w *Watcher) lines(in io.Reader, put func(line)) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 4096), lineMost)
	for sc.Scan() {
		text := sc.Bytes()
		if len(text) == 0 {
			put(line{})
			continue
		}
		l, err := Decode(text)
		if err != nil {
			w.Log.WithError(err).Warn("bad watch line passed over")
			put(line{})
			return err
		}
		for _, bad := range l.Bad {
			w.Log.WithError(bad).Warn("list entry left out")
		}
		for _, bad := range l.Partly {
			w.Log.WithError(bad).Warn("address left out")
		}
		put(line{list: &l})
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.EOF
}

// beating moves the read deadline on with each read.
type beating struct {
	net.Conn
	beat time.Duration
}

func (b beating) Read(p []byte) (int, error) {
	if err := b.SetReadDeadline(time.Now().Add(b.beat)); err != nil {
		return 0, err
	}
	return b.Conn.Read(p)
}
