package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/tidwall/gjson"
)

// requestPart requests rows of a shard and reads the response within a time limit.
func requestPart(t *testing.T, at, id string, shard, rows int, within time.Duration) (lines [][]byte, limited bool, err error) {
	t.Helper()
	nc, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(within))
	fmt.Fprintf(nc, "GET /list/x?shard=77 HTTP/1.1\r\nHost: n\r\nX-Request-Id: %s\r\nX-Gather-Rows: %d\r\nIO-Info: volume=0000000000000001,units=1,shard=%d,hosts=1\r\n\r\n",
		id, rows, shard)
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return nil, false, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	for line := range bytes.Lines(text) {
		lines = append(lines, bytes.TrimSuffix(line, []byte("\n")))
	}
	return lines, r.Header.Get("X-Gather-Limited") == "1", err
}

func equalRows(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }

// Rows are sorted and as many as requested. Each fault has its documented effect, is counted by request ID and ends
// when it is cleared.
func TestRowFaults(t *testing.T) {
	const expectTimeout, testTimeout = 200 * time.Millisecond, 30 * time.Second
	r := &Rows{Seed: 5, RowsPerShard: 200, SharedKeys: 0.5, SameVersion: 0.5, PaddingBytes: 9, RowsPerWrite: 16}
	n := New(Options{Shard: 3, Rows: r})
	t.Cleanup(n.Close)
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := r.Shard(3)
	if !slices.IsSortedFunc(all, func(a, b []byte) int {
		return int(gjson.GetBytes(a, "k").Int() - gjson.GetBytes(b, "k").Int())
	}) || len(all) != r.RowsPerShard {
		t.Fatalf("rows of the shard are not sorted by key or not 200: %q", all)
	}
	for i, x := range []struct {
		f        RowFault
		attempt  int
		limit    int
		within   time.Duration
		rows     int // received
		complete bool
		limited  bool
		count    func(RowCounts) int
	}{
		{rows: 200, complete: true, count: func(c RowCounts) int { return c.Complete }},
		{limit: 30, rows: 30, complete: true, limited: true, count: func(c RowCounts) int { return c.Limited }},
		{limit: 200, rows: 200, complete: true, count: func(c RowCounts) int { return c.Complete }},
		{f: RowFault{Delay: time.Hour}, within: expectTimeout, count: func(c RowCounts) int { return c.Delayed }},
		{f: RowFault{Delay: time.Millisecond}, rows: 200, complete: true, count: func(c RowCounts) int { return c.Delayed }},
		{f: RowFault{AfterRows: 21, Pause: time.Hour}, within: expectTimeout, rows: 21, count: func(c RowCounts) int { return c.Paused }},
		{f: RowFault{AfterRows: 21, Pause: time.Millisecond}, rows: 200, complete: true, count: func(c RowCounts) int { return c.Paused }},
		{f: RowFault{AfterRows: 5, Stall: true}, within: expectTimeout, rows: 5, count: func(c RowCounts) int { return c.Stalled }},
		{f: RowFault{AfterRows: 50, CloseConn: true}, rows: 50, count: func(c RowCounts) int { return c.ConnsClosed }},
		{f: RowFault{AfterRows: 50, CloseConn: true}, limit: 40, rows: 40, complete: true, limited: true, count: func(c RowCounts) int { return c.Limited }},
		{f: RowFault{AfterRows: 50, CloseConn: true, FromAttempt: 2}, attempt: 1, rows: 200, complete: true, count: func(c RowCounts) int { return 1 - c.ConnsClosed }},
		{f: RowFault{AfterRows: 50, CloseConn: true, FromAttempt: 2}, attempt: 2, rows: 50, count: func(c RowCounts) int { return c.ConnsClosed }},
		{f: RowFault{AfterRows: 47, Unsorted: true}, rows: 200, complete: true, count: func(c RowCounts) int { return c.Unsorted }},
		{f: RowFault{AfterRows: 199, OtherVersion: true}, rows: 200, complete: true, count: func(c RowCounts) int { return c.OtherVersion }},
	} {
		n.SetRowFault(x.f)
		if x.within == 0 {
			x.within = testTimeout
		}
		id := fmt.Sprintf("q%d/3/%d", i, x.attempt)
		got, limited, err := requestPart(t, a.String(), id, 3, x.limit, x.within)
		want := slices.Clone(all[:x.rows])
		if x.f.Unsorted {
			want[47], want[48] = want[48], want[47]
		}
		if x.f.OtherVersion {
			if equalRows(got, want) {
				t.Errorf("%+v: rows do not differ from those without the fault", x.f)
			}
			want[199] = got[199]
		}
		if !equalRows(got, want) || (err == nil) != x.complete || limited != x.limited {
			t.Errorf("%+v, attempt %d: unexpected rows (%d received), error (%v) or limit header (%v)", x.f, x.attempt, len(got), err, limited)
		}
		if c := n.RowCounts(id); x.count(c) != 1 || c.Requests != 1 {
			t.Errorf("%+v, attempt %d: response or fault not counted once: %+v", x.f, x.attempt, c)
		}
	}
	n.SetRowFault(RowFault{})
	if _, _, err := requestPart(t, a.String(), "other", 4, 0, testTimeout); err != nil || n.RowCounts("other").Requests != 0 {
		t.Errorf("request for another shard: %v", err)
	}
}

// The reference merge returns keys in order and for each key the rows that the keep rule names. The generated shards
// share keys.
func TestReferenceMerge(t *testing.T) {
	r := &Rows{Seed: 9, RowsPerShard: 100, SharedKeys: 0.4, SameVersion: 0.5}
	shards := []int{2, 0, 7}
	var shardKeys [][]key
	versions := map[int64][]int64{} // versions by key, in the order of the shards
	for _, s := range shards {
		shardKeys = append(shardKeys, r.keys(s))
		for _, x := range shardKeys[len(shardKeys)-1] {
			versions[x.k] = append(versions[x.k], x.v)
		}
	}
	if len(versions) > 270 || len(versions) < 200 {
		t.Fatalf("%d distinct keys in 300 rows, want 200 to 270", len(versions))
	}
	for keep, kept := range map[string]func([]int64) []int64{
		"all": func(v []int64) []int64 { return v }, "first": func(v []int64) []int64 { return v[:1] },
		"last": func(v []int64) []int64 { return v[len(v)-1:] }, "highest": func(v []int64) []int64 { return []int64{slices.Max(v)} }} {
		got := map[int64][]int64{}
		last := int64(-1)
		flat := r.Merge(shards, MergeOptions{Keep: keep})
		for _, row := range flat {
			k := gjson.GetBytes(row, "k").Int()
			if k < last {
				t.Fatalf("%s: key %d after key %d", keep, k, last)
			}
			last = k
			got[k] = append(got[k], gjson.GetBytes(row, "v").Int())
		}
		for k, v := range versions {
			if !slices.Equal(got[k], kept(v)) {
				t.Errorf("%s: key %d: kept versions %v of %v", keep, k, got[k], v)
			}
		}
		if page := r.Merge(shards, MergeOptions{Keep: keep, Offset: 10, MaxRows: 5}); len(got) != len(versions) || !equalRows(page, flat[10:15]) {
			t.Errorf("%s: %d keys, or rows 10 to 14 differ from those of the whole merge: %q", keep, len(got), page)
		}
	}
}
