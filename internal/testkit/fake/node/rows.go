package node

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"
)

// The headers of a part's request and answer (docs/design/processes.md, "A gathered read on the wire").
const (
	headRows    = "X-Gather-Rows"
	headLimited = "X-Gather-Limited"
)

// Rows are those that the nodes of each shard hold: JSON lines {"k":integer,"v":integer,"x":text}, sorted by k, no key
// twice in a shard. Two shards may hold one key; then v, the version, tells their rows apart, and rows of one key and one
// version are the same bytes. Equal Rows give equal rows, on every node of a shard.
type Rows struct {
	Seed       uint64
	Count      int     // of each shard
	Shared     float64 // share of a shard's rows whose key others may hold: of any two shards' about half are the same
	Same       float64 // share of shared keys whose rows are one version everywhere; of the others each shard has its own
	Pad        int     // bytes of x, of one row
	Descending bool
	Piece      int           // rows written at once; 0: 64
	Gap        time.Duration // between pieces
}

const (
	shardBits = 12 // of a key, for the shard that alone holds it; 0: shared
	keyBits   = 40 // of a key, drawn
)

// key is one row's key and version.
type key struct{ k, v int64 }

// keys are a shard's, in order.
func (r *Rows) keys(shard int) []key {
	shared := int(r.Shared * float64(r.Count))
	drawn := func(rng *rand.Rand, n int) []int64 { // different ones
		seen := make(map[int64]bool, n)
		all := make([]int64, 0, n)
		for len(all) < n {
			if k := rng.Int64N(1 << keyBits); !seen[k] {
				seen[k] = true
				all = append(all, k<<shardBits)
			}
		}
		return all
	}
	pool := rand.New(rand.NewPCG(r.Seed, 1<<32))
	common := drawn(pool, 2*shared)
	same := make([]bool, len(common))
	for i := range same {
		same[i] = pool.Float64() < r.Same
	}
	rng := rand.New(rand.NewPCG(r.Seed, uint64(shard)))
	all := make([]key, 0, r.Count)
	for _, i := range rng.Perm(len(common))[:shared] {
		v := int64(1)
		if !same[i] {
			v += 1 + (common[i]>>shardBits+int64(shard))%(1<<shardBits)
		}
		all = append(all, key{common[i], v})
	}
	for _, k := range drawn(rng, r.Count-shared) {
		all = append(all, key{k + int64(shard) + 1, 1})
	}
	slices.SortFunc(all, func(a, b key) int {
		if r.Descending {
			a, b = b, a
		}
		return cmp.Compare(a.k, b.k)
	})
	return all
}

func (r *Rows) append(dst []byte, x key) []byte {
	dst = fmt.Appendf(dst, `{"k":%d,"v":%d,"x":"`, x.k, x.v)
	for i := range r.Pad {
		dst = append(dst, 'a'+byte((x.k>>shardBits+x.v+int64(i))%26))
	}
	return append(dst, '"', '}')
}

// Shard is all rows of a shard, without line ends.
func (r *Rows) Shard(shard int) (rows [][]byte) {
	for _, x := range r.keys(shard) {
		rows = append(rows, r.append(nil, x))
	}
	return rows
}

// Flat says how Rows.Flat merges.
type Flat struct {
	Keep   string // of rows with equal keys: all, first or last in the order of shards, or highest version
	Offset int
	Rows   int // 0: all
}

// Flat is the flat merge of shards: their rows collected, sorted by key, rows of one key in the order in which the shards
// are given, cut. It is written anew, so that a merge may be held against it.
func (r *Rows) Flat(shards []int, f Flat) [][]byte {
	type row struct {
		k, v int64
		text []byte
	}
	var all []row
	for _, s := range shards {
		for _, text := range r.Shard(s) {
			all = append(all, row{gjson.GetBytes(text, "k").Int(), gjson.GetBytes(text, "v").Int(), text})
		}
	}
	slices.SortStableFunc(all, func(a, b row) int {
		if r.Descending {
			a, b = b, a
		}
		return cmp.Compare(a.k, b.k)
	})
	var out [][]byte
	for from, to := 0, 0; from < len(all); from = to {
		for to = from; to < len(all) && all[to].k == all[from].k; to++ {
		}
		group := all[from:to]
		switch f.Keep {
		case "all":
			for _, x := range group {
				out = append(out, x.text)
			}
		case "first":
			out = append(out, group[0].text)
		case "last":
			out = append(out, group[len(group)-1].text)
		case "highest":
			out = append(out, slices.MaxFunc(group, func(a, b row) int { return cmp.Compare(a.v, b.v) }).text)
		default:
			panic("flat: keep " + f.Keep)
		}
	}
	out = out[min(f.Offset, len(out)):]
	if f.Rows > 0 {
		out = out[:min(f.Rows, len(out))]
	}
	return out
}

// RowFault is what a node does to the rows it sends. It is switched while the node runs; what is being sent is under the
// new one at its next piece.
type RowFault struct {
	Late     time.Duration // before the first byte of the answer
	After    int           // rows that are sent well
	Stop     time.Duration // then nothing for so long, once
	Never    bool          // then nothing, until the fault is lifted or the asker has gone
	Cut      bool          // then the connection ends
	Unsorted bool          // then the next two rows change places
	Other    bool          // from then on each row has another version: not the bytes of another copy
	Copy     int           // of a request id ID/PART/COPY only copies from this one on; 0: any
}

// RowCounts are what a node has sent of rows: in all, or of one request id.
type RowCounts struct {
	Asked, Rows    int
	Whole, Limited int // answers written to their end: all rows, or as many as were asked for
	Gone           int // whose asker was seen to go
	Late, Stopped  int // and what faults did
	Never, Cut     int
	Unsorted       int
	Other          int
}

func (c *RowCounts) add(d RowCounts) {
	for _, x := range []struct {
		to *int
		n  int
	}{{&c.Asked, d.Asked}, {&c.Rows, d.Rows}, {&c.Whole, d.Whole}, {&c.Limited, d.Limited}, {&c.Gone, d.Gone}, {&c.Late, d.Late},
		{&c.Stopped, d.Stopped}, {&c.Never, d.Never}, {&c.Cut, d.Cut}, {&c.Unsorted, d.Unsorted}, {&c.Other, d.Other}} {
		*x.to += x.n
	}
}

// SetRows switches the fault of the rows.
func (n *Node) SetRows(f RowFault) { n.rowFault.Store(&f) }

// RowCounts are those of a request id; "" is all.
func (n *Node) RowCounts(id string) RowCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rowCounts[id]
}

// count adds to the counts of a request id and of all.
func (n *Node) count(id string, d RowCounts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, of := range []string{id, ""} {
		c := n.rowCounts[of]
		c.add(d)
		n.rowCounts[of] = c
	}
}

// faultOf is what the rows of a request are under now.
func (n *Node) faultOf(id string) RowFault {
	f := n.rowFault.Load()
	if f == nil {
		return RowFault{}
	}
	if f.Copy > 0 {
		if no, err := strconv.Atoi(id[strings.LastIndexByte(id, '/')+1:]); err != nil || no < f.Copy {
			return RowFault{}
		}
	}
	return *f
}

// shardOf is the shard that a request is for: a part's is told in IO-Info, any other's in the query.
func shardOf(q *fasthttp.Request) (int, error) {
	for info := range strings.SplitSeq(string(q.Header.Peek("IO-Info")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(info), "shard="); ok {
			return strconv.Atoi(text)
		}
	}
	return strconv.Atoi(string(q.URI().QueryArgs().Peek("shard")))
}

// asksRows says whether a request is for a part of a gathered read, and for how many rows of it.
func asksRows(q *fasthttp.Request) (rows int, is bool) {
	v := q.Header.Peek(headRows)
	rows, err := strconv.Atoi(string(v))
	return rows, err == nil && rows >= 0
}

const lookFault = 5 * time.Millisecond

// sleep waits for so long, or until the fault is no longer one that makes it wait; false: the asker has gone.
func (l *link) sleep(id string, span time.Duration, still func(RowFault) bool) bool {
	for end := time.Now().Add(span); still(l.port.n.faultOf(id)) && time.Now().Before(end); {
		if l.gone() || l.port.n.ended() {
			return false
		}
		time.Sleep(min(lookFault, max(0, time.Until(end))))
	}
	return true
}

func (n *Node) ended() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// rows sends the first rows of the shard, 0 for all, as a chunked answer; false: the connection ends.
func (l *link) rows(id string, most int, last bool, name string) bool {
	n := l.port.n
	defer l.rec.end()
	n.count(id, RowCounts{Asked: 1})
	gone := func() bool {
		n.count(id, RowCounts{Gone: 1})
		return false
	}
	all := n.rows
	limited := most > 0 && most < len(all)
	if limited {
		all = all[:most]
	}
	if f := n.faultOf(id); f.Late > 0 {
		n.count(id, RowCounts{Late: 1})
		if !l.sleep(id, f.Late, func(f RowFault) bool { return f.Late > 0 }) {
			return gone()
		}
	}
	w := bufio.NewWriterSize(l.nc, 16<<10)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n")
	if limited {
		_, _ = w.WriteString(headLimited + ": 1\r\n")
	}
	if h := n.opt.Identity; h != "" && name != "" {
		fmt.Fprintf(w, "%s: %s\r\n", h, name)
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	step := n.opt.Rows.Piece
	if step == 0 {
		step = 64
	}
	never := func(f RowFault) bool { return f.Never }
	var piece bytes.Buffer
	stopped, neverSaid := false, false
	for at := 0; at < len(all); {
		f := n.faultOf(id)
		to := min(at+step, len(all))
		if at < f.After {
			to = min(to, f.After)
		}
		bad := at >= f.After
		if bad && (f.Stop > 0 && !stopped || f.Never) && w.Flush() != nil {
			return gone()
		}
		switch {
		case bad && f.Cut:
			n.count(id, RowCounts{Cut: 1})
			_ = w.Flush()
			return false
		case bad && f.Never:
			if !neverSaid {
				neverSaid = true
				n.count(id, RowCounts{Never: 1})
			}
			if !l.sleep(id, time.Hour, never) {
				return gone()
			}
			continue
		case bad && f.Stop > 0 && !stopped:
			stopped = true
			n.count(id, RowCounts{Stopped: 1})
			if !l.sleep(id, f.Stop, func(f RowFault) bool { return f.Stop > 0 }) {
				return gone()
			}
			continue
		}
		piece.Reset()
		rows := all[at:to]
		if f.Unsorted && at == f.After && at+1 < len(all) {
			to = max(to, at+2)
			rows = slices.Clone(all[at:to])
			rows[0], rows[1] = rows[1], rows[0]
			n.count(id, RowCounts{Unsorted: 1})
		}
		for _, x := range rows {
			if f.Other && bad {
				x.v++
			}
			piece.Write(append(n.opt.Rows.append(piece.AvailableBuffer(), x), '\n'))
		}
		if f.Other && bad {
			n.count(id, RowCounts{Other: len(rows)})
		}
		fmt.Fprintf(w, "%x\r\n%s\r\n", piece.Len(), piece.Bytes())
		n.count(id, RowCounts{Rows: len(rows)})
		if w.Flush() != nil {
			return gone()
		}
		at = to
		if gap := n.opt.Rows.Gap; gap > 0 && at < len(all) {
			time.Sleep(gap)
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	if limited { // before the asker can know of it
		n.count(id, RowCounts{Limited: 1})
	} else {
		n.count(id, RowCounts{Whole: 1})
	}
	if w.Flush() != nil {
		return gone()
	}
	return !last
}
