// Package registry is the node list's actor: the known list first, then a watch that is
// opened again whenever it ends or falls silent.
package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/choice"
	"wheatsaddle/internal/core"
)

const (
	path = "/registry/instances"
	// beat: an idle watch says something every 2 s; a second more is a broken one.
	beat      = 3 * time.Second
	dialWait  = time.Second
	retryWait = 200 * time.Millisecond
	lineMost  = 4 << 20 // bytes in one line of a watch
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
}

// Decode reads one message. A bad entry is left out and named. A snapshot that lacks
// entries is handed on as changes, or the nodes left out would count as removed.
func Decode(text []byte) (List, error) {
	var l List
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
		n, err := decodeNode(e)
		if err != nil {
			l.Bad = append(l.Bad, fmt.Errorf("list: endpoints.%d (%.40q): %w", i, e.Get("name").String(), err))
			continue
		}
		l.Nodes = append(l.Nodes, n)
	}
	l.Full = l.Full && len(l.Bad) == 0
	return l, nil
}

func decodeNode(e gjson.Result) (n core.Node, err error) {
	if !e.IsObject() {
		return n, errors.New("not an object")
	}
	if n.ID = e.Get("name").String(); n.ID == "" {
		return n, errors.New("name: missing")
	}
	var ok bool
	if n.State, ok = states[e.Get("status").String()]; !ok {
		return n, fmt.Errorf("status: unknown word %.20q", e.Get("status").String())
	}
	n.Address = e.Get("address").String()
	if _, _, err = net.SplitHostPort(n.Address); err != nil && n.State != choice.NodeGone {
		return n, fmt.Errorf("address: %.40q is not host:port", n.Address)
	}
	group := e.Get("group")
	if (group.Type != gjson.Number || group.Num < 0 || group.Num > 1e6) && n.State != choice.NodeGone {
		return n, errors.New("group: missing or not a shard")
	}
	since := e.Get("since_ms")
	if since.Exists() && since.Type != gjson.Number {
		return n, errors.New("since_ms: not a number")
	}
	n.Shard, n.Zone, n.Since, n.Weight = int(group.Num), e.Get("zone").String(), since.Num, 1
	if w := e.Get("weight"); w.Type == gjson.Number {
		n.Weight = w.Num
	}
	return n, nil
}

// Watcher is the list's actor.
type Watcher struct {
	Address string
	Index   int64 // version held
	Tell    func(core.News)
	Log     logrus.FieldLogger
	Beat    time.Duration // 0: the default
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.Beat == 0 {
		w.Beat = beat
	}
	for down := false; ctx.Err() == nil; {
		err := w.watch(ctx, func() { down = false })
		if ctx.Err() != nil {
			return
		}
		if !down { // once for each time it goes down, not for each try
			w.Log.WithError(err).Warn("watch ended, connecting again")
			w.Tell(core.News{Kind: choice.ListFailed})
		}
		down = true
		select {
		case <-ctx.Done():
		case <-time.After(retryWait):
		}
	}
}

// watch holds one connection: it asks for what came after the version held, and reads lines.
func (w *Watcher) watch(ctx context.Context, good func()) error {
	nc, err := (&net.Dialer{Timeout: dialWait}).DialContext(ctx, "tcp", w.Address)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	var req fasthttp.Request
	req.SetRequestURI(path + "?watch=1&after=" + strconv.FormatInt(w.Index, 10))
	req.Header.SetHost(w.Address)
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
	return w.lines(resp.BodyStream(), good)
}

// lines reads a watch. A bad line is named and passed over: the list held stays, and the
// version too, so that the next connection asks for what was missed.
func (w *Watcher) lines(in io.Reader, good func()) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 4096), lineMost)
	for sc.Scan() {
		good()
		text := sc.Bytes()
		if len(text) == 0 {
			continue
		}
		l, err := Decode(text)
		if err != nil {
			w.Log.WithError(err).Warn("bad watch line passed over")
			return err
		}
		for _, bad := range l.Bad {
			w.Log.WithError(bad).Warn("list entry left out")
		}
		kind := choice.ListChange
		if l.Full {
			kind = choice.ListFull
		}
		w.Index = l.Index
		w.Tell(core.News{Kind: kind, Nodes: l.Nodes})
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
