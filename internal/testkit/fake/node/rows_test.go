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

// part asks for rows of a shard and reads what comes within a time.
func part(t *testing.T, at, id string, shard, rows int, within time.Duration) (lines [][]byte, limited bool, err error) {
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

func same(a, b [][]byte) bool { return slices.EqualFunc(a, b, bytes.Equal) }

// Rows are sorted, as many as asked for; each fault is what it is named, counted by request id, and ends when it is lifted.
func TestRows(t *testing.T) {
	const short, patient = 200 * time.Millisecond, 30 * time.Second
	r := &Rows{Seed: 5, Count: 200, Shared: 0.5, Same: 0.5, Pad: 9, Piece: 16}
	n := New(Options{Shard: 3, Rows: r})
	t.Cleanup(n.Close)
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := r.Shard(3)
	if !slices.IsSortedFunc(all, func(a, b []byte) int {
		return int(gjson.GetBytes(a, "k").Int() - gjson.GetBytes(b, "k").Int())
	}) || len(all) != r.Count {
		t.Fatalf("%q", all)
	}
	for i, x := range []struct {
		f       RowFault
		copy    int
		ask     int
		within  time.Duration
		rows    int // that come
		whole   bool
		limited bool
		count   func(RowCounts) int
	}{
		{rows: 200, whole: true, count: func(c RowCounts) int { return c.Whole }},
		{ask: 30, rows: 30, whole: true, limited: true, count: func(c RowCounts) int { return c.Limited }},
		{ask: 200, rows: 200, whole: true, count: func(c RowCounts) int { return c.Whole }},
		{f: RowFault{Late: time.Hour}, within: short, count: func(c RowCounts) int { return c.Late }},
		{f: RowFault{Late: time.Millisecond}, rows: 200, whole: true, count: func(c RowCounts) int { return c.Late }},
		{f: RowFault{After: 21, Stop: time.Hour}, within: short, rows: 21, count: func(c RowCounts) int { return c.Stopped }},
		{f: RowFault{After: 21, Stop: time.Millisecond}, rows: 200, whole: true, count: func(c RowCounts) int { return c.Stopped }},
		{f: RowFault{After: 5, Never: true}, within: short, rows: 5, count: func(c RowCounts) int { return c.Never }},
		{f: RowFault{After: 50, Cut: true}, rows: 50, count: func(c RowCounts) int { return c.Cut }},
		{f: RowFault{After: 50, Cut: true}, ask: 40, rows: 40, whole: true, limited: true, count: func(c RowCounts) int { return c.Limited }},
		{f: RowFault{After: 50, Cut: true, Copy: 2}, copy: 1, rows: 200, whole: true, count: func(c RowCounts) int { return 1 - c.Cut }},
		{f: RowFault{After: 50, Cut: true, Copy: 2}, copy: 2, rows: 50, count: func(c RowCounts) int { return c.Cut }},
		{f: RowFault{After: 47, Unsorted: true}, rows: 200, whole: true, count: func(c RowCounts) int { return c.Unsorted }},
		{f: RowFault{After: 199, Other: true}, rows: 200, whole: true, count: func(c RowCounts) int { return c.Other }},
	} {
		n.SetRows(x.f)
		if x.within == 0 {
			x.within = patient
		}
		id := fmt.Sprintf("q%d/3/%d", i, x.copy)
		got, limited, err := part(t, a.String(), id, 3, x.ask, x.within)
		want := slices.Clone(all[:x.rows])
		if x.f.Unsorted {
			want[47], want[48] = want[48], want[47]
		}
		if x.f.Other {
			if same(got, want) {
				t.Errorf("%+v: the same rows", x.f)
			}
			want[199] = got[199]
		}
		if !same(got, want) || (err == nil) != x.whole || limited != x.limited {
			t.Errorf("%+v copy %d: %d rows, %v, limited %v", x.f, x.copy, len(got), err, limited)
		}
		if c := n.RowCounts(id); x.count(c) != 1 || c.Asked != 1 {
			t.Errorf("%+v copy %d: counted %+v", x.f, x.copy, c)
		}
	}
	n.SetRows(RowFault{})
	if _, _, err := part(t, a.String(), "other", 4, 0, patient); err != nil || n.RowCounts("other").Asked != 0 {
		t.Errorf("another shard: %v", err)
	}
}

// The flat merge, by what its rows say: keys in order, of each key what is to be kept; and shards do share keys.
func TestFlat(t *testing.T) {
	r := &Rows{Seed: 9, Count: 100, Shared: 0.4, Same: 0.5}
	shards := []int{2, 0, 7}
	var held [][]key
	holders := map[int64][]int64{} // versions by key, in the order of shards
	for _, s := range shards {
		held = append(held, r.keys(s))
		for _, x := range held[len(held)-1] {
			holders[x.k] = append(holders[x.k], x.v)
		}
	}
	if len(holders) > 270 || len(holders) < 200 {
		t.Fatalf("%d keys of 300 rows", len(holders))
	}
	for keep, of := range map[string]func([]int64) []int64{
		"all": func(v []int64) []int64 { return v }, "first": func(v []int64) []int64 { return v[:1] },
		"last": func(v []int64) []int64 { return v[len(v)-1:] }, "highest": func(v []int64) []int64 { return []int64{slices.Max(v)} }} {
		got := map[int64][]int64{}
		last := int64(-1)
		flat := r.Flat(shards, Flat{Keep: keep})
		for _, row := range flat {
			k := gjson.GetBytes(row, "k").Int()
			if k < last {
				t.Fatalf("%s: %d after %d", keep, k, last)
			}
			last = k
			got[k] = append(got[k], gjson.GetBytes(row, "v").Int())
		}
		for k, v := range holders {
			if !slices.Equal(got[k], of(v)) {
				t.Errorf("%s: %d: %v of %v", keep, k, got[k], v)
			}
		}
		if page := r.Flat(shards, Flat{Keep: keep, Offset: 10, Rows: 5}); len(got) != len(holders) || !same(page, flat[10:15]) {
			t.Errorf("%s: %d keys, page %q", keep, len(got), page)
		}
	}
}
