package gather

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func mustParseRules(t testing.TB, text string) *Rules {
	t.Helper()
	r, err := ParseRules([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// randomRead is a randomly drawn read: its rules, its parts and their faults. The fields of the rules are named as in the rules'
// text, where by is the number of keys by which rows are duplicates, and rows is the limit of rows.
type randomRead struct {
	keep, need, limitKind     string
	by, agreeParts, needParts int
	offset, rows              int
	descending, absentFirst   bool
	parts                     []partFixture
	groupSize                 int
	seed                      uint64
}

// row is a record with the sort keys k and n, the version v and other content x.
type row struct {
	k    string // "" is absent
	n, v int
	x    string
}

func (r row) json() string {
	k := ""
	if r.k != "" {
		k = fmt.Sprintf(`"k":"the-same-start-%s",`, r.k)
	}
	return fmt.Sprintf(`{%s"n":%d,"v":%d,"x":%q}`, k, r.n, r.v, r.x)
}

type partFixture struct {
	rows     []row
	complete bool
	// The first entry is the percentage of the part's text that is received if the part is not complete. Each further entry adds a
	// copy of the part with that percentage of the received text.
	copyPercents []int
	limited      bool // copies that do not complete the part end at a row limit instead of with an error
}

func (f partFixture) text() string {
	var b strings.Builder
	for _, r := range f.rows {
		b.WriteString(r.json() + "\n")
	}
	return b.String()
}

func (f partFixture) receivedText() string {
	if t := f.text(); !f.complete {
		return t[:len(t)*f.copyPercents[0]/100]
	}
	return f.text()
}

// compare is an independent implementation of the order, without sort keys.
func (read *randomRead) compare(a, b row) int {
	c := read.compareGroupKey(a, b)
	if c == 0 {
		c = cmp.Compare(a.n, b.n)
	}
	return c
}

func (read *randomRead) compareGroupKey(a, b row) int {
	c := 0
	switch {
	case a.k == b.k:
	case a.k == "" || b.k == "":
		if c = 1; (a.k == "") == read.absentFirst {
			c = -1
		}
	default:
		if c = cmp.Compare(a.k, b.k); read.descending {
			c = -c
		}
	}
	if c == 0 && read.by == 2 {
		c = cmp.Compare(a.n, b.n)
	}
	return c
}

var randomReads = rapid.Custom(func(t *rapid.T) *randomRead {
	in := func(lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, "") }
	read := &randomRead{keep: rapid.SampledFrom([]string{"all", "first", "last", "highest", "agree"}).Draw(t, "keep"), by: in(1, 2), agreeParts: in(1, 3),
		need:      rapid.SampledFrom([]string{"all", "at-least", "best-effort"}).Draw(t, "need"),
		limitKind: rapid.SampledFrom([]string{"rows", "top", ""}).Draw(t, "limit"), rows: in(1, 8), offset: in(0, 3),
		descending: rapid.Bool().Draw(t, ""), absentFirst: rapid.Bool().Draw(t, ""), groupSize: in(1, 4), seed: rapid.Uint64().Draw(t, "seed")}
	for range in(1, 6) {
		f := partFixture{complete: in(0, 3) > 0, copyPercents: []int{in(0, 99)}, limited: rapid.Bool().Draw(t, "")}
		for range in(0, 2) {
			f.copyPercents = append(f.copyPercents, in(0, 100))
		}
		for range in(0, 24) {
			f.rows = append(f.rows, row{rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, ""), in(0, 2), in(0, 1), rapid.SampledFrom([]string{"", "x"}).Draw(t, "")})
		}
		slices.SortStableFunc(f.rows, read.compareFull)
		read.parts = append(read.parts, f)
	}
	read.needParts = in(1, len(read.parts))
	return read
})

func (read *randomRead) compareFull(a, b row) int { return read.compare(a, b) }

func (read *randomRead) rulesText(memory int) string {
	dir, absent := "ascending", "last"
	if read.descending {
		dir = "descending"
	}
	if read.absentFirst {
		absent = "first"
	}
	text := fmt.Sprintf(`{"records":{"max_bytes":128},"memory":{"bytes":%d},"order":[{"key":"k","type":"bytes","direction":%q,"absent":%q},{"key":"n","type":"integer"}]`, memory, dir, absent)
	switch read.keep {
	case "first", "last":
		text += fmt.Sprintf(`,"duplicates":{"keep":%q,"by":%d}`, read.keep, read.by)
	case "highest":
		text += fmt.Sprintf(`,"duplicates":{"keep":"highest","by":%d,"version":{"key":"v","type":"integer"}}`, read.by)
	case "agree":
		text += fmt.Sprintf(`,"duplicates":{"keep":"agree","by":%d,"parts":%d}`, read.by, read.agreeParts)
	}
	text += fmt.Sprintf(`,"truncate":{"offset":%d`, read.offset)
	if read.limitKind != "" {
		text += fmt.Sprintf(`,%q:%d`, read.limitKind, read.rows)
	}
	text += fmt.Sprintf(`},"complete":{"need":%q`, read.need)
	if read.need == "at-least" {
		text += fmt.Sprintf(`,"parts":%d`, read.needParts)
	}
	return text + "}}"
}

// mergeOutcome is the part of a merge's result that is compared with the reference.
type mergeOutcome struct {
	rows          []string
	complete      bool
	truncatedBy   string
	parts         []string
	conflictCount int64
	conflicts     []Conflict
	enoughParts   bool
}

// expect is the reference: it computes the outcome by collecting, sorting and truncating the rows.
func (read *randomRead) expect() mergeOutcome {
	type item struct {
		row
		part, pos int
		loss      bool // not a row, but the place in the order from which the part's rows are lost
	}
	var items []item
	expected := mergeOutcome{enoughParts: true}
	lost, lossOf := 0, map[int]string{}
	missing := []int{}
	for p, f := range read.parts {
		n := strings.Count(f.receivedText(), "\n")
		for i, r := range f.rows[:n] {
			items = append(items, item{r, p, i, false})
		}
		switch {
		case f.complete:
		case n == 0:
			missing = append(missing, p)
		default:
			items = append(items, item{f.rows[n-1], p, n, true})
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(read.compare(a.row, b.row), cmp.Compare(a.part, b.part), cmp.Compare(a.pos, b.pos))
	})
	needed := map[string]int{"all": len(read.parts), "at-least": read.needParts}[read.need]
	loseParts := func(p int, how string) bool {
		lost++
		lossOf[p] += how
		expected.enoughParts = lost <= len(read.parts)-needed
		return expected.enoughParts
	}
	inConflict := map[int]bool{}
	finish := func() mergeOutcome {
		for p := range read.parts {
			if s := lossOf[p]; s != "" || inConflict[p] {
				if inConflict[p] {
					s += "conflict"
				}
				expected.parts = append(expected.parts, fmt.Sprintf("p%d %s", p, s))
			}
		}
		expected.complete = expected.enoughParts && len(expected.parts) == 0
		return expected
	}
	for _, p := range missing {
		if !loseParts(p, "missing") {
			return finish()
		}
	}
	offset := read.offset
	countRow := func(r row) bool {
		if offset--; offset >= 0 {
			return true
		}
		if expected.rows = append(expected.rows, r.json()); read.limitKind != "" && len(expected.rows) == read.rows {
			expected.truncatedBy = read.limitKind
			return false
		}
		return true
	}
	for len(items) > 0 {
		n := 1
		if read.keep != "all" {
			for n < len(items) && read.compareGroupKey(items[0].row, items[n].row) == 0 {
				n++
			}
		}
		group := items[:n]
		items = items[n:]
		for _, it := range group {
			if it.loss {
				loseParts(it.part, "cut")
			}
		}
		if !expected.enoughParts {
			return finish()
		}
		group = slices.DeleteFunc(slices.Clone(group), func(it item) bool { return it.loss })
		if len(group) == 0 {
			continue
		}
		key := group[0].row
		if read.keep == "highest" {
			top := slices.MaxFunc(group, func(a, b item) int { return cmp.Compare(a.v, b.v) }).v
			group = slices.DeleteFunc(group, func(it item) bool { return it.v < top })
			key = group[0].row
		}
		kept, ok, texts := group[0].row, true, map[string]map[int]bool{}
		in := map[int]bool{}
		for _, it := range group {
			if texts[it.json()] == nil {
				texts[it.json()] = map[int]bool{}
			}
			texts[it.json()][it.part] = true
			in[it.part] = true
		}
		switch read.keep {
		case "last":
			kept = group[len(group)-1].row
			key = kept
		case "agree":
			best := 0
			for _, it := range group {
				if n := len(texts[it.json()]); n > best {
					best, kept = n, it.row
				}
			}
			ok = best >= read.agreeParts
		}
		if read.keep != "all" && (len(texts) > 1 || !ok) {
			expected.conflictCount++
			c := Conflict{Key: key.keyText(read.by), Withheld: !ok}
			for p := range read.parts {
				if in[p] {
					inConflict[p] = true
					c.Parts = append(c.Parts, fmt.Sprintf("p%d", p))
				}
			}
			expected.conflicts = append(expected.conflicts, c)
		}
		if ok && !countRow(kept) {
			return finish()
		}
	}
	return finish()
}

func (r row) keyText(by int) string {
	s := "k=-"
	if r.k != "" {
		s = fmt.Sprintf(`k="the-same-start-%s"`, r.k)
	}
	if by == 2 {
		s += fmt.Sprintf(" n=%d", r.n)
	}
	return s
}

// check merges the parts flat and over a tree, and returns an error if an outcome differs from the reference.
func (read *randomRead) check(fault fault) error {
	want := read.expect()
	for _, tree := range []bool{false, true} {
		got, err := read.merge(tree, fault)
		if err != nil {
			return fmt.Errorf("merged over a tree %v: %w", tree, err)
		}
		if !reflect.DeepEqual(got, want) {
			return fmt.Errorf("merged over a tree %v:\n got %+v\nwant %+v", tree, got, want)
		}
	}
	return nil
}

// Parts arrive late, repeatedly, truncated or never, in several copies, flat and over trees, in any order. The rows and the
// rest of the result must equal those of the reference.
func TestMergeMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		read := randomReads.Draw(t, "read")
		if err := read.check(faultNone); err != nil {
			text, _ := json.Marshal(read.parts)
			t.Fatalf("rules %s\nparts %s\n%v", read.rulesText(1<<20), text, err)
		}
	})
}

// Parts that send only what Want requests give the same rows. In some reads a part has to be requested again for a larger top k.
func TestPartsDrivenByWantMatchReference(t *testing.T) {
	repeated := 0
	rapid.Check(t, func(t *rapid.T) {
		read := randomReads.Draw(t, "read")
		for i := range read.parts {
			read.parts[i].complete = true
		}
		memory := 512 * (len(read.parts) + 1)
		if read.keep == "agree" {
			memory = 1 << 20
		}
		r, err := ParseRules([]byte(read.rulesText(memory)))
		if err != nil {
			t.Fatal(err)
		}
		rows, attempts, token, err := read.mergeByDemand(r)
		if want := read.expect().rows; err != nil || !slices.Equal(rows, want) {
			t.Fatalf("rows of the first page: error %v\n got %v\nwant %v", err, rows, want)
		}
		for token != "" && err == nil { // the following pages have the other rows
			var page []string
			page, _, token, err = read.mergeByDemand(r, From(token))
			rows = append(rows, page...)
		}
		read.limitKind = ""
		if want := read.expect().rows; err != nil || !slices.Equal(rows, want) {
			t.Fatalf("rows of all pages: error %v\n got %v\nwant %v", err, rows, want)
		}
		if attempts > len(read.parts) {
			repeated++
		}
	})
	if repeated == 0 {
		t.Error("no part was requested again in any of the reads, so that case is not tested")
	}
}

// Each fault that is injected into the merge breaks the given behaviour. One of 400 random reads must then differ from the reference.
func TestReferenceFindsInjectedFaults(t *testing.T) {
	for fault, behaviour := range map[fault]string{
		faultIgnorePendingParts: "an open part holds back later rows (fillHead: headPending)",
		faultCountRepeats:       "bytes that a copy repeats are not added again (add: c.compareAt)",
		faultOnlyFirstPart:      "a partial result names every part that has a candidate's row (appendCandidate)",
		faultLimitedIsComplete:  "a part that stopped at its row limit is not complete (End)",
		faultComparePrefixOnly:  "keys with equal prefixes are compared to their ends (before)",
		faultDroppedIsComplete:  "a dropped part is lost (Drop)",
		faultHideLostParts:      "a lost part is named (Result)",
		faultIgnoreQuota:        "a piece without room is rejected (add: Full)",
		faultTiesByArrival:      "ties are ordered by part, not by arrival (before)",
		faultCompareLengths:     "rows are equal only if their bytes are (sameRow)",
		faultHideConflicts:      "parts in conflict with each other are named (chooseRow)",
	} {
		found := 0 // 1 + the seed of the read that finds the fault
		for seed := 0; seed < 400 && found == 0; seed++ {
			read := randomReads.Example(seed)
			if err := read.check(faultNone); err != nil {
				t.Fatal(err)
			}
			if read.check(fault) != nil {
				found = seed + 1
			}
		}
		if found == 0 {
			t.Errorf("no difference in 400 random reads with the fault that breaks: %s", behaviour)
		} else {
			t.Logf("random read %d finds the fault that breaks: %s", found-1, behaviour)
		}
	}
}
