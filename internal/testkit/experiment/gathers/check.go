package gathers

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/testkit/fake/node"
)

// The classes of reads, and what their rules are. All order by k and keep the highest version.
const (
	listing = "listing" // every row, best effort
	top     = "top"     // the first topRows, of all parts or not at all
	page    = "page"    // pageRows, then on by the token
)

const topRows, pageRows = 50, 100

// limits are the rows of a page.
var limits = map[string]int{top: topRows, page: pageRows}

// effort are the classes whose rows may go out without all parts.
var effort = map[string]bool{listing: true}

// read is one gathered read.
type read struct {
	id, class string
	shards    []int
	token     string
	after     int64 // the last key of the page before; -1: there is none
}

// answer is what came of it.
type answer struct {
	code      int
	rows      [][]byte
	ended     bool // the body came to its end, with a result
	whole     bool
	named     []int // shards that are missing or cut
	conflicts int
	truncated string
	token     string
	err       string // the code of what ended it early
}

// Verdict is how many rows of an answer were not right.
type Verdict struct {
	Wrong   int `json:"wrong"`   // no row of the shards asked, out of order, or an older version than a part that was read holds
	Doubled int `json:"doubled"` // of a key that went out before
	Lost    int `json:"lost"`    // missing although the answer is said to be whole, or the parts that hold it are not named
}

func (v *Verdict) add(o Verdict) {
	v.Wrong, v.Doubled, v.Lost = v.Wrong+o.Wrong, v.Doubled+o.Doubled, v.Lost+o.Lost
}

type row struct {
	k, v int64
	text string
}

func parse(text []byte) row {
	return row{gjson.GetBytes(text, "k").Int(), gjson.GetBytes(text, "v").Int(), string(text)}
}

// truth is what the nodes hold. It may be used by several goroutines.
type truth struct {
	rows   node.Rows
	shards []map[int64]row // by key
	mu     sync.Mutex
	flats  map[string][]row // by the shards asked
}

const flatsMost = 256

func newTruth(rows node.Rows, shards int) *truth {
	t := &truth{rows: rows, flats: map[string][]row{}}
	for s := range shards {
		held := map[int64]row{}
		for _, text := range rows.Shard(s) {
			x := parse(text)
			held[x.k] = x
		}
		t.shards = append(t.shards, held)
	}
	return t
}

// flat is the flat merge of shards.
func (t *truth) flat(shards []int) []row {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := fmt.Sprint(shards)
	all, ok := t.flats[name]
	if !ok {
		for _, text := range t.rows.Merge(shards, node.MergeOptions{Keep: "highest"}) {
			all = append(all, parse(text))
		}
		if len(t.flats) >= flatsMost {
			clear(t.flats)
		}
		t.flats[name] = all
	}
	return all
}

// page are the rows of a whole answer.
func (t *truth) page(q read) []row {
	all := t.flat(q.shards)
	begin, found := slices.BinarySearchFunc(all, q.after, func(r row, k int64) int { return cmp.Compare(r.k, k) })
	if found {
		begin++
	}
	all = all[begin:]
	if limit := limits[q.class]; limit > 0 {
		all = all[:min(limit, len(all))]
	}
	return all
}

// judge holds the rows of an answer against the flat merge. Where parts are named, a row may be an older version, or
// missing, as far as no part that was read holds it.
func (t *truth) judge(q read, a answer) (v Verdict) {
	if a.whole && slices.EqualFunc(a.rows, t.page(q), func(got []byte, want row) bool { return string(got) == want.text }) {
		return v
	}
	limit := limits[q.class]
	var sure []int // shards whose rows were all heard of, as far as the answer goes
	if !effort[q.class] {
		sure = q.shards
	} else if a.ended {
		sure = slices.DeleteFunc(slices.Clone(q.shards), func(s int) bool { return slices.Contains(a.named, s) })
	}
	held := func(k int64, of []int) (newest row, any bool) {
		for _, s := range of {
			if x, ok := t.shards[s][k]; ok && (!any || x.v > newest.v) {
				newest, any = x, true
			}
		}
		return newest, any
	}
	seen := map[int64]bool{}
	last := q.after
	for _, text := range a.rows {
		x := parse(text)
		if seen[x.k] {
			v.Doubled++
			continue
		}
		seen[x.k] = true
		least, ok := held(x.k, sure)
		is := slices.ContainsFunc(q.shards, func(s int) bool { return t.shards[s][x.k].text == x.text })
		if !is || x.k <= last || ok && x.v < least.v {
			v.Wrong++
		}
		last = max(last, x.k)
	}
	if limit > 0 && len(seen) > limit {
		v.Wrong += len(seen) - limit
	}
	// What the answer must have, of the parts that were read: its page, or as far as its rows go.
	all := t.flat(q.shards)
	if a.whole {
		all = t.page(q)
	}
	for _, x := range all {
		if !a.whole && x.k > last && (!a.ended || a.err != "" || a.truncated != "") {
			break
		}
		if _, ok := held(x.k, sure); ok && x.k > q.after && !seen[x.k] {
			v.Lost++
		}
	}
	return v
}
