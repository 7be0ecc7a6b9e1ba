package gathers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wheatsaddle/gather"
	"wheatsaddle/internal/scatter"
	"wheatsaddle/internal/standin/node"
)

// doors stands in for the built program: gathered reads in this process, parts asked of the nodes with no core between.
type doors struct {
	w       World
	m       Mode
	nodes   []*node.Node
	at      []string
	servers []*httptest.Server
	down    []atomic.Bool
	killed  atomic.Int64
	spoil   func(rows []byte) []byte // what a test does to rows that go out
}

func openDoors(w World, m Mode, seed uint64) (*doors, error) {
	d := &doors{w: w, m: m, down: make([]atomic.Bool, w.Processes)}
	for j := range w.Shards * w.Copies {
		n := node.New(node.Options{Name: fmt.Sprint("s", j), Shard: j / w.Copies, Service: serviceOf(seed, j), Rows: &w.Rows, Queue: 1000, Workers: 100})
		a, err := n.Listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d.nodes, d.at = append(d.nodes, n), append(d.at, a.String())
	}
	for range w.Processes {
		d.servers = append(d.servers, httptest.NewServer(d))
	}
	return d, nil
}

func (d *doors) target(i int) string {
	if d.down[i].Load() {
		return ""
	}
	return d.servers[i].Listener.Addr().String()
}

func (d *doors) play(c change) error {
	for j, n := range d.nodes {
		n.SetRows(c.nodes[j])
	}
	return nil
}

func (d *doors) kill(_ context.Context, i int) error {
	d.down[i].Store(true)
	d.killed.Add(1)
	d.servers[i].CloseClientConnections()
	d.down[i].Store(false)
	return nil
}

func (d *doors) happened() (h happened) {
	h.Killed = int(d.killed.Load())
	for _, n := range d.nodes {
		h.add(met(n))
	}
	return h
}

func (d *doors) asked() (n int) {
	for _, x := range d.nodes {
		n += x.RowCounts("").Asked
	}
	return n
}

func (d *doors) close() {
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	for _, n := range d.nodes {
		n.Close()
	}
}

// call is the asker of one read.
type call struct {
	d    *doors
	id   string
	mu   sync.Mutex
	offs map[string]context.CancelFunc
}

func (c *call) key(a scatter.Ask) string { return fmt.Sprintf("%s/%s/%d", c.id, a.Part.ID, a.Copy) }

func (c *call) Ask(a scatter.Ask, until time.Time, to *scatter.Sink) {
	ctx, stop := context.WithDeadline(context.Background(), until)
	c.mu.Lock()
	c.offs[c.key(a)] = stop
	c.mu.Unlock()
	go func() {
		defer stop()
		to.End(nil, c.one(ctx, a, to))
	}()
}

func (c *call) one(ctx context.Context, a scatter.Ask, to *scatter.Sink) error {
	at := c.d.at[a.Part.Shard*c.d.w.Copies+(len(c.id)+int(c.id[len(c.id)-1])+a.Copy)%c.d.w.Copies]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/list/x", nil)
	if err != nil {
		return err
	}
	r.Header.Set("X-Request-Id", c.key(a))
	r.Header.Set("X-Gather-Rows", strconv.Itoa(a.Rows))
	r.Header.Set("IO-Info", fmt.Sprintf("volume=0000000000000001,units=1,shard=%d,hosts=1", a.Part.Shard))
	resp, err := straight.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	piece := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(piece)
		if n > 0 && !to.Piece(piece[:n]) {
			return context.Canceled
		}
		switch {
		case err == io.EOF && resp.Header.Get("X-Gather-Limited") == "1":
			return &gather.Limited{}
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

func (c *call) Off(a scatter.Ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offs[c.key(a)]()
}

var straight = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ServeHTTP is the wire of docs/design/processes.md.
func (d *doors) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	class, _, _ := strings.Cut(r.URL.Path[1:], "/")
	text, err := json.Marshal(rules(class))
	if err != nil {
		panic(err)
	}
	merge, err := gather.ParseRules(text)
	if err != nil {
		panic(err)
	}
	var parts []gather.Part
	for _, span := range strings.Split(r.Header.Get("X-Gather"), ",") {
		var from, to int
		if n, _ := fmt.Sscanf(span, "%d-%d", &from, &to); n < 2 {
			to = from
		}
		for s := from; s <= to; s++ {
			parts = append(parts, gather.Part{ID: strconv.Itoa(s), Shard: s})
		}
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	var opts []gather.Option
	if token := r.Header.Get("X-Gather-Token"); token != "" {
		opts = append(opts, gather.From(token))
	}
	g, err := scatter.New(scatter.Rules{Merge: merge, Share: share, AtOnce: 64, Again: d.m.Again, Silent: d.m.Silent, Safe: true},
		time.Duration(ms)*time.Millisecond, parts, opts...)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Trailer", "X-Gather-Result")
	f := scatter.Run(r.Context(), g, &call{d: d, id: r.Header.Get("X-Request-Id"), offs: map[string]context.CancelFunc{}},
		scatter.Options{Arrived: began, PartMost: 1 << 20, Write: func(rows []byte) error {
			if d.spoil != nil {
				rows = d.spoil(slices.Clone(rows))
			}
			_, err := w.Write(rows)
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			return err
		}})
	switch f.Kind {
	case scatter.Late:
		if f.Result.Rows == 0 {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
	case scatter.Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	res := map[string]any{"whole": f.Result.Whole, "truncated": f.Result.Truncated, "token": f.Result.Token, "conflicts": f.Result.Conflicts}
	named := map[string][]string{}
	for _, p := range f.Result.Parts {
		if p.Missing {
			named["missing"] = append(named["missing"], p.ID)
		} else if p.Cut {
			named["cut"] = append(named["cut"], p.ID)
		}
	}
	for k, v := range named {
		res[k] = v
	}
	if f.Result.Err != nil {
		res["code"] = f.Result.Err.(interface{ Code() string }).Code()
	}
	text, err = json.Marshal(res)
	if err != nil {
		panic(err)
	}
	w.Header().Set("X-Gather-Result", string(text))
}
