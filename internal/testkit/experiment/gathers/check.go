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
	classListing = "listing" // every row, best effort
	classTop     = "top"     // the first topRows, of all parts or not at all
	classPage    = "page"    // pageRows, then on by the token
)

const topRows, pageRows = 50, 100

// limits are the rows of a page.
var rowLimits = map[string]int{classTop: topRows, classPage: pageRows}

// effort are the classes whose rows may go out without all parts.
var bestEffort = map[string]bool{classListing: true}

// read is one gathered read.
type gatheredRead struct {
	id, class string
	shards    []int
	token     string
	after     int64 // the last key of the page before; -1: there is none
}

// answer is what came of it.
type answer struct {
	statusCode       int
	rows             [][]byte
	finished         bool // the body came to its end, with a result
	whole            bool
	incompleteShards []int // shards that are missing or cut
	conflicts        int
	truncated        string
	token            string
	errorCode        string // the code of what ended it early
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
	key, version int64
	text         string
}

func parseRow(text []byte) row {
	return row{gjson.GetBytes(text, "k").Int(), gjson.GetBytes(text, "v").Int(), string(text)}
}

// truth is what the nodes hold. It may be used by several goroutines.
type oracle struct {
	rows           node.Rows
	shards         []map[int64]row // by key
	mu             sync.Mutex
	mergesByShards map[string][]row // by the shards asked
}

const maxCachedMerges = 256

func newOracle(rows node.Rows, shards int) *oracle {
	t := &oracle{rows: rows, mergesByShards: map[string][]row{}}
	for s := range shards {
		held := map[int64]row{}
		for _, text := range rows.Shard(s) {
			x := parseRow(text)
			held[x.key] = x
		}
		t.shards = append(t.shards, held)
	}
	return t
}

// flat is the flat merge of shards.
func (t *oracle) merge(shards []int) []row {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := fmt.Sprint(shards)
	all, ok := t.mergesByShards[name]
	if !ok {
		for _, text := range t.rows.Merge(shards, node.MergeOptions{Keep: "highest"}) {
			all = append(all, parseRow(text))
		}
		if len(t.mergesByShards) >= maxCachedMerges {
			clear(t.mergesByShards)
		}
		t.mergesByShards[name] = all
	}
	return all
}

// page are the rows of a whole answer.
func (t *oracle) expectedRows(q gatheredRead) []row {
	all := t.merge(q.shards)
	begin, found := slices.BinarySearchFunc(all, q.after, func(r row, k int64) int { return cmp.Compare(r.key, k) })
	if found {
		begin++
	}
	all = all[begin:]
	if limit := rowLimits[q.class]; limit > 0 {
		all = all[:min(limit, len(all))]
	}
	return all
}

// judge holds the rows of an answer against the flat merge. Where parts are named, a row may be an older version, or
// missing, as far as no part that was read holds it.
func (t *oracle) verify(q gatheredRead, a answer) (v Verdict) {
	if a.whole && slices.EqualFunc(a.rows, t.expectedRows(q), func(got []byte, want row) bool { return string(got) == want.text }) {
		return v
	}
	limit := rowLimits[q.class]
	var sure []int // shards whose rows were all heard of, as far as the answer goes
	if !bestEffort[q.class] {
		sure = q.shards
	} else if a.finished {
		sure = slices.DeleteFunc(slices.Clone(q.shards), func(s int) bool { return slices.Contains(a.incompleteShards, s) })
	}
	held := func(k int64, of []int) (newest row, any bool) {
		for _, s := range of {
			if x, ok := t.shards[s][k]; ok && (!any || x.version > newest.version) {
				newest, any = x, true
			}
		}
		return newest, any
	}
	seen := map[int64]bool{}
	last := q.after
	for _, text := range a.rows {
		x := parseRow(text)
		if seen[x.key] {
			v.Doubled++
			continue
		}
		seen[x.key] = true
		least, ok := held(x.key, sure)
		is := slices.ContainsFunc(q.shards, func(s int) bool { return t.shards[s][x.key].text == x.text })
		if !is || x.key <= last || ok && x.version < least.version {
			v.Wrong++
		}
		last = max(last, x.key)
	}
	if limit > 0 && len(seen) > limit {
		v.Wrong += len(seen) - limit
	}
	// What the answer must have, of the parts that were read: its page, or as far as its rows go.
	all := t.merge(q.shards)
	if a.whole {
		all = t.expectedRows(q)
	}
	for _, x := range all {
		if !a.whole && x.key > last && (!a.finished || a.errorCode != "" || a.truncated != "") {
			break
		}
		if _, ok := held(x.key, sure); ok && x.key > q.after && !seen[x.key] {
			v.Lost++
		}
	}
	return v
}
