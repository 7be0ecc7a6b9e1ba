package gathers

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/testkit/fake/node"
)

// The classes of gathered reads. The rules of each sort the rows by k and keep the highest version of duplicates.
const (
	classListing = "listing" // every row; parts may be missing (best effort)
	classTop     = "top"     // the first topRows rows; fails unless all parts are read
	classPage    = "page"    // pages of pageRows rows; the token of a page leads to the next one
)

const topRows, pageRows = 50, 100

// rowLimits are the most rows in one answer of a class; a listing has no limit.
var rowLimits = map[string]int{classTop: topRows, classPage: pageRows}

// bestEffort are the classes whose rows may be sent although parts are missing.
var bestEffort = map[string]bool{classListing: true}

// gatheredRead is one gathered read.
type gatheredRead struct {
	id, class string
	shards    []int
	token     string
	after     int64 // last key of the page before; -1: this is the first page
}

// answer is the response to a gathered read, as far as it was received.
type answer struct {
	statusCode       int
	rows             [][]byte
	finished         bool // the response is complete, with a result
	whole            bool
	incompleteShards []int // shards that the result names as missing, cut or in conflict
	conflicts        int
	truncated        string
	token            string
	errorCode        string // code of the error that ended the read early
}

// Verdict counts the incorrect rows of an answer.
type Verdict struct {
	// Wrong rows are not rows of the requested shards, out of order, beyond the limit, or an older version than a part that
	// was read holds.
	Wrong int `json:"wrong"`
	// Doubled rows have a key that was already sent.
	Doubled int `json:"doubled"`
	// Lost rows are missing although the answer claims to be whole, or does not name the parts that hold them.
	Lost int `json:"lost"`
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

// oracle knows the rows of all nodes and so the correct answers. It is safe for concurrent use.
type oracle struct {
	rows           node.Rows
	shards         []map[int64]row // rows of each shard by key
	mu             sync.Mutex
	mergesByShards map[string][]row // cached flat merges, by list of shards
}

const maxCachedMerges = 256

func newOracle(rows node.Rows, shards int) *oracle {
	o := &oracle{rows: rows, mergesByShards: map[string][]row{}}
	for s := range shards {
		rowsByKey := map[int64]row{}
		for _, text := range rows.Shard(s) {
			x := parseRow(text)
			rowsByKey[x.key] = x
		}
		o.shards = append(o.shards, rowsByKey)
	}
	return o
}

// merge returns the flat merge of shards: all their rows merged in one step.
func (o *oracle) merge(shards []int) []row {
	o.mu.Lock()
	defer o.mu.Unlock()
	cacheKey := fmt.Sprint(shards)
	all, ok := o.mergesByShards[cacheKey]
	if !ok {
		for _, text := range o.rows.Merge(shards, node.MergeOptions{Keep: "highest"}) {
			all = append(all, parseRow(text))
		}
		if len(o.mergesByShards) >= maxCachedMerges {
			clear(o.mergesByShards)
		}
		o.mergesByShards[cacheKey] = all
	}
	return all
}

// expectedRows returns the rows of a whole answer.
func (o *oracle) expectedRows(q gatheredRead) []row {
	all := o.merge(q.shards)
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

// verify compares the rows of an answer with the flat merge. If the answer names incomplete parts, a row may be missing or
// an older version, unless a part that was read holds it.
func (o *oracle) verify(q gatheredRead, a answer) (v Verdict) {
	if a.whole && slices.EqualFunc(a.rows, o.expectedRows(q), func(got []byte, want row) bool { return string(got) == want.text }) {
		return v
	}
	limit := rowLimits[q.class]
	var completeShards []int // shards of which the answer must include all rows, up to its last row
	if !bestEffort[q.class] {
		completeShards = q.shards
	} else if a.finished {
		completeShards = slices.DeleteFunc(slices.Clone(q.shards), func(s int) bool { return slices.Contains(a.incompleteShards, s) })
	}
	newestRow := func(k int64, of []int) (newest row, any bool) {
		for _, s := range of {
			if x, ok := o.shards[s][k]; ok && (!any || x.version > newest.version) {
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
		newestRequired, ok := newestRow(x.key, completeShards)
		exists := slices.ContainsFunc(q.shards, func(s int) bool { return o.shards[s][x.key].text == x.text })
		if !exists || x.key <= last || ok && x.version < newestRequired.version {
			v.Wrong++
		}
		last = max(last, x.key)
	}
	if limit > 0 && len(seen) > limit {
		v.Wrong += len(seen) - limit
	}
	// Rows of the parts that were read must not be missing: up to the end of the page if the answer is whole,
	// otherwise up to the answer's last row if it ended early.
	all := o.merge(q.shards)
	if a.whole {
		all = o.expectedRows(q)
	}
	for _, x := range all {
		if !a.whole && x.key > last && (!a.finished || a.errorCode != "" || a.truncated != "") {
			break
		}
		if _, ok := newestRow(x.key, completeShards); ok && x.key > q.after && !seen[x.key] {
			v.Lost++
		}
	}
	return v
}
