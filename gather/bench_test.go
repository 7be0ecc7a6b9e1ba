package gather

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
)

const benchParts, benchRows = 64, 10000

// benchData returns benchParts parts with the texts of benchRows rows each, sorted by id.
func benchData() (parts []Part, texts [][]byte) {
	rng := rand.New(rand.NewPCG(1, 2))
	for p := range benchParts {
		keys := make([]int, benchRows)
		for i := range keys {
			keys[i] = int(rng.Int64N(1 << 40))
		}
		slices.Sort(keys)
		var b bytes.Buffer
		for i, k := range keys {
			fmt.Fprintf(&b, `{"id":%d,"card":"c-%d-%d","cents":%d}`+"\n", k, p, i, rng.IntN(10000))
		}
		parts = append(parts, Part{ID: "p" + strconv.Itoa(p)})
		texts = append(texts, b.Bytes())
	}
	return parts, texts
}

// benchMerge adds pieces of 8 KiB from the parts that the merge waits for, and reads up to rows rows (0: all).
func benchMerge(b *testing.B, r *Rules, parts []Part, texts [][]byte, rows int) int {
	m, err := New(r, parts)
	if err != nil {
		b.Fatal(err)
	}
	offsets := make([]int, len(parts))
	send := func(i, room int) {
		n := min(8<<10, room, len(texts[i])-offsets[i])
		if err := m.Add(parts[i].ID, 0, texts[i][offsets[i]:offsets[i]+n]); err != nil {
			b.Fatal(err)
		}
		if offsets[i] += n; offsets[i] == len(texts[i]) {
			_ = m.End(parts[i].ID, 0, nil)
		}
	}
	for i := range parts {
		send(i, 8<<10)
	}
	n := 0
	for {
		_, ok := m.Next()
		if ok {
			if n++; n == rows {
				return n
			}
			continue
		}
		if m.done {
			return n
		}
		send(m.winner(), 8<<10)
	}
}

type decodedRow struct {
	key       []byte
	part, pos int
	row       []byte
}

// collectAndSort is the baseline: it decodes all rows of all parts, sorts them, and truncates the result.
func collectAndSort(r *Rules, texts [][]byte, rows int) []decodedRow {
	d := newDecoder(r)
	all := make([]decodedRow, 0, benchParts*benchRows)
	keys := make([]byte, 0, 9*benchParts*benchRows)
	for p, text := range texts {
		text = bytes.Clone(text) // the copy that collecting the part makes
		for i, row := range bytes.Split(bytes.TrimSuffix(text, []byte("\n")), []byte("\n")) {
			keyStart := len(keys)
			keys, _, _ = d.key(keys, row)
			all = append(all, decodedRow{keys[keyStart:], p, i, row})
		}
	}
	slices.SortFunc(all, func(a, b decodedRow) int {
		if c := bytes.Compare(a.key, b.key); c != 0 {
			return c
		}
		if a.part != b.part {
			return a.part - b.part
		}
		return a.pos - b.pos
	})
	if rows > 0 {
		all = all[:rows]
	}
	return all
}

func BenchmarkGather(b *testing.B) {
	parts, texts := benchData()
	r := mustParseRules(b, `{"order":[{"key":"id","type":"integer"}]}`)
	first := mustParseRules(b, `{"order":[{"key":"id","type":"integer"}],"duplicates":{"keep":"first"}}`)
	for _, c := range []struct {
		name string
		rows int
	}{{"whole", 0}, {"first row", 1}, {"top 100", 100}} {
		b.Run(c.name+"/gather", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchMerge(b, r, parts, texts, c.rows)
			}
		})
		b.Run(c.name+"/collect-sort-cut", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				collectAndSort(r, texts, c.rows)
			}
		})
	}
	b.Run("whole, duplicates/gather", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			benchMerge(b, first, parts, texts, 0)
		}
	})
}

// A merge does not allocate per row. Its memory depends on the parts and pieces, not on the number of rows.
func TestMemoryGrowsWithPartsNotRows(t *testing.T) {
	parts, texts := benchData()
	for i := range texts {
		texts[i] = texts[i][:bytes.LastIndexByte(texts[i][:len(texts[i])/5], '\n')+1]
	}
	for _, duplicates := range []string{"", `,"duplicates":{"keep":"first"}`, `,"duplicates":{"keep":"agree","parts":1}`} {
		r := mustParseRules(t, `{"order":[{"key":"id","type":"integer"}]`+duplicates+`}`)
		var before, after runtime.MemStats
		b := &testing.B{}
		runtime.ReadMemStats(&before)
		n := benchMerge(b, r, parts, texts, 0)
		runtime.ReadMemStats(&after)
		allocs, size := float64(after.Mallocs-before.Mallocs)/float64(n), (after.TotalAlloc-before.TotalAlloc)/benchParts
		t.Logf("%s: %d rows, %.4f allocations per row, %d bytes per part", duplicates, n, allocs, size)
		if n < 100000 || allocs > 0.01 || size > 64<<10 {
			t.Errorf("%s: %d rows, %.4f allocations per row, %d bytes per part; want at least 100000, at most 0.01 and 64 KiB", duplicates, n, allocs, size)
		}
	}
}
