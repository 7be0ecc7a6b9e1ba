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

// The headers of a part's request and response (docs/design/processes.md, "A gathered read on the wire").
const (
	rowsHeader    = "X-Gather-Rows"
	limitedHeader = "X-Gather-Limited"
)

// Rows generates the rows of each shard: JSON lines {"k":integer,"v":integer,"x":text}, sorted by k, each key
// at most once per shard. Two shards may hold the same key. Their rows may then differ in v, the version. Rows with
// the same key and version have the same bytes. Equal Rows generate equal rows on every node of a shard.
type Rows struct {
	Seed          uint64
	RowsPerShard  int     // rows of each shard
	SharedKeys    float64 // share of a shard's rows whose key other shards may hold; any two shards have about half of these in common
	SameVersion   float64 // share of the shared keys that have the same version in every shard; the others have one version per shard
	PaddingBytes  int     // length of x in bytes
	Descending    bool
	RowsPerWrite  int           // rows written at once; 0: 64
	WriteInterval time.Duration // pause between two writes
}

const (
	shardBits = 12 // low bits of a key: the shard that alone holds it plus 1, or 0 for a shared key
	keyBits   = 40 // random bits of a key
)

// key is one row's key and version.
type key struct{ k, v int64 }

// keys returns a shard's keys in order.
func (r *Rows) keys(shard int) []key {
	shared := int(r.SharedKeys * float64(r.RowsPerShard))
	distinctKeys := func(rng *rand.Rand, n int) []int64 { // n distinct keys
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
	sharedKeys := distinctKeys(pool, 2*shared)
	same := make([]bool, len(sharedKeys))
	for i := range same {
		same[i] = pool.Float64() < r.SameVersion
	}
	rng := rand.New(rand.NewPCG(r.Seed, uint64(shard)))
	all := make([]key, 0, r.RowsPerShard)
	for _, i := range rng.Perm(len(sharedKeys))[:shared] {
		v := int64(1)
		if !same[i] {
			v += 1 + (sharedKeys[i]>>shardBits+int64(shard))%(1<<shardBits)
		}
		all = append(all, key{sharedKeys[i], v})
	}
	for _, k := range distinctKeys(rng, r.RowsPerShard-shared) {
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
	for i := range r.PaddingBytes {
		dst = append(dst, 'a'+byte((x.k>>shardBits+x.v+int64(i))%26))
	}
	return append(dst, '"', '}')
}

// Shard returns all rows of a shard, without line ends.
func (r *Rows) Shard(shard int) (rows [][]byte) {
	for _, x := range r.keys(shard) {
		rows = append(rows, r.append(nil, x))
	}
	return rows
}

// MergeOptions configure Rows.Merge.
type MergeOptions struct {
	Keep    string // which of the rows with equal keys: all, first or last (in the order of the shards), or highest (version)
	Offset  int
	MaxRows int // maximum number of rows; 0: all
}

// Merge is a reference implementation of the merge of a gathered read, independent of the production code. It
// collects the rows of the shards, sorts them by key, keeps rows with equal keys in the order of the shards, and applies
// the options.
func (r *Rows) Merge(shards []int, opt MergeOptions) [][]byte {
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
		switch opt.Keep {
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
			panic("merge rows: unknown keep rule " + opt.Keep)
		}
	}
	out = out[min(opt.Offset, len(out)):]
	if opt.MaxRows > 0 {
		out = out[:min(opt.MaxRows, len(out))]
	}
	return out
}

// RowFault is a fault in the rows that a node sends. It can be switched while the node runs. A response in progress
// is affected from its next write on.
type RowFault struct {
	Delay        time.Duration // delay before the first byte of the response
	AfterRows    int           // rows sent correctly before the faults below
	Pause        time.Duration // one pause of this length
	Stall        bool          // no further rows until the fault is cleared or the client disconnects
	CloseConn    bool          // the connection is closed
	Unsorted     bool          // the next two rows are swapped
	OtherVersion bool          // all further rows have another version, so their bytes differ from those of other attempts
	FromAttempt  int           // for a request ID of the form ID/PART/ATTEMPT, the first attempt affected; 0: all
}

// RowCounts count the rows sent and the faults injected, in total or for one request ID.
type RowCounts struct {
	Requests, Rows       int
	Complete, Limited    int // responses written completely: with all rows, or with as many as requested
	Disconnected         int // the client was seen to disconnect
	Delayed, Paused      int // faults injected; OtherVersion counts rows
	Stalled, ConnsClosed int
	Unsorted             int
	OtherVersion         int
}

func (c *RowCounts) add(d RowCounts) {
	for _, x := range []struct {
		to *int
		n  int
	}{{&c.Requests, d.Requests}, {&c.Rows, d.Rows}, {&c.Complete, d.Complete}, {&c.Limited, d.Limited}, {&c.Disconnected, d.Disconnected}, {&c.Delayed, d.Delayed},
		{&c.Paused, d.Paused}, {&c.Stalled, d.Stalled}, {&c.ConnsClosed, d.ConnsClosed}, {&c.Unsorted, d.Unsorted}, {&c.OtherVersion, d.OtherVersion}} {
		*x.to += x.n
	}
}

// SetRowFault switches the row fault.
func (n *Node) SetRowFault(f RowFault) { n.rowFault.Store(&f) }

// RowCounts returns the counts of a request ID, or the total for "".
func (n *Node) RowCounts(id string) RowCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rowCounts[id]
}

// addRowCounts adds to the counts of a request ID and to the total.
func (n *Node) addRowCounts(id string, d RowCounts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, requestID := range []string{id, ""} {
		c := n.rowCounts[requestID]
		c.add(d)
		n.rowCounts[requestID] = c
	}
}

// rowFaultFor returns the row fault that applies to a request now.
func (n *Node) rowFaultFor(id string) RowFault {
	f := n.rowFault.Load()
	if f == nil {
		return RowFault{}
	}
	if f.FromAttempt > 0 {
		if attempt, err := strconv.Atoi(id[strings.LastIndexByte(id, '/')+1:]); err != nil || attempt < f.FromAttempt {
			return RowFault{}
		}
	}
	return *f
}

// shardOf returns a request's shard: from IO-Info for a part of a gathered read, otherwise from the query.
func shardOf(q *fasthttp.Request) (int, error) {
	for info := range strings.SplitSeq(string(q.Header.Peek("IO-Info")), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(info), "shard="); ok {
			return strconv.Atoi(text)
		}
	}
	return strconv.Atoi(string(q.URI().QueryArgs().Peek("shard")))
}

// requestedRows reports whether a request is for a part of a gathered read, and for how many rows.
func requestedRows(q *fasthttp.Request) (rows int, isPart bool) {
	v := q.Header.Peek(rowsHeader)
	rows, err := strconv.Atoi(string(v))
	return rows, err == nil && rows >= 0
}

const faultCheckInterval = 5 * time.Millisecond

// waitDuring waits for a duration or until the request's row fault no longer applies. It returns false if the client
// disconnected or the node closed.
func (c *conn) waitDuring(id string, duration time.Duration, applies func(RowFault) bool) bool {
	for end := time.Now().Add(duration); applies(c.listener.n.rowFaultFor(id)) && time.Now().Before(end); {
		if c.disconnected() || c.listener.n.isClosed() {
			return false
		}
		time.Sleep(min(faultCheckInterval, max(0, time.Until(end))))
	}
	return true
}

func (n *Node) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// sendRows sends the first maxRows rows of the shard (0: all) as a chunked response, which is the connection's last one if
// last is set. It returns false if the connection ends.
func (c *conn) sendRows(id string, maxRows int, last bool, name string) bool {
	n := c.listener.n
	defer c.recorder.end()
	n.addRowCounts(id, RowCounts{Requests: 1})
	clientDisconnected := func() bool {
		n.addRowCounts(id, RowCounts{Disconnected: 1})
		return false
	}
	all := n.rows
	limited := maxRows > 0 && maxRows < len(all)
	if limited {
		all = all[:maxRows]
	}
	if fault := n.rowFaultFor(id); fault.Delay > 0 {
		n.addRowCounts(id, RowCounts{Delayed: 1})
		if !c.waitDuring(id, fault.Delay, func(fault RowFault) bool { return fault.Delay > 0 }) {
			return clientDisconnected()
		}
	}
	w := bufio.NewWriterSize(c.nc, 16<<10)
	_, _ = w.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n")
	if limited {
		_, _ = w.WriteString(limitedHeader + ": 1\r\n")
	}
	if h := n.options.IdentityHeader; h != "" && name != "" {
		fmt.Fprintf(w, "%s: %s\r\n", h, name)
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
	rowsPerWrite := n.options.Rows.RowsPerWrite
	if rowsPerWrite == 0 {
		rowsPerWrite = 64
	}
	stalled := func(fault RowFault) bool { return fault.Stall }
	var chunk bytes.Buffer
	paused, stallCounted := false, false
	for sent := 0; sent < len(all); {
		fault := n.rowFaultFor(id)
		to := min(sent+rowsPerWrite, len(all))
		if sent < fault.AfterRows {
			to = min(to, fault.AfterRows)
		}
		faulty := sent >= fault.AfterRows
		if faulty && (fault.Pause > 0 && !paused || fault.Stall) && w.Flush() != nil {
			return clientDisconnected()
		}
		switch {
		case faulty && fault.CloseConn:
			n.addRowCounts(id, RowCounts{ConnsClosed: 1})
			_ = w.Flush()
			return false
		case faulty && fault.Stall:
			if !stallCounted {
				stallCounted = true
				n.addRowCounts(id, RowCounts{Stalled: 1})
			}
			if !c.waitDuring(id, time.Hour, stalled) {
				return clientDisconnected()
			}
			continue
		case faulty && fault.Pause > 0 && !paused:
			paused = true
			n.addRowCounts(id, RowCounts{Paused: 1})
			if !c.waitDuring(id, fault.Pause, func(fault RowFault) bool { return fault.Pause > 0 }) {
				return clientDisconnected()
			}
			continue
		}
		chunk.Reset()
		rows := all[sent:to]
		if fault.Unsorted && sent == fault.AfterRows && sent+1 < len(all) {
			to = max(to, sent+2)
			rows = slices.Clone(all[sent:to])
			rows[0], rows[1] = rows[1], rows[0]
			n.addRowCounts(id, RowCounts{Unsorted: 1})
		}
		for _, x := range rows {
			if fault.OtherVersion && faulty {
				x.v++
			}
			chunk.Write(append(n.options.Rows.append(chunk.AvailableBuffer(), x), '\n'))
		}
		if fault.OtherVersion && faulty {
			n.addRowCounts(id, RowCounts{OtherVersion: len(rows)})
		}
		fmt.Fprintf(w, "%x\r\n%s\r\n", chunk.Len(), chunk.Bytes())
		n.addRowCounts(id, RowCounts{Rows: len(rows)})
		if w.Flush() != nil {
			return clientDisconnected()
		}
		sent = to
		if gap := n.options.Rows.WriteInterval; gap > 0 && sent < len(all) {
			time.Sleep(gap)
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	if limited { // counted before the client can see the end of the response
		n.addRowCounts(id, RowCounts{Limited: 1})
	} else {
		n.addRowCounts(id, RowCounts{Complete: 1})
	}
	if w.Flush() != nil {
		return clientDisconnected()
	}
	return !last
}
