package historycheck

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

var rules = Rules{Unsafe: map[string]bool{"write": true}, Grace: 250 * ms, AskWithin: 1000 * ms, Plans: map[string]Plan{"small": {Cap: 10, Burst: 5}},
	MeanUnits: 1, ColdN: 1, ColdFor: 3000 * ms, Slack: 50 * ms}

func one(id, class string, at time.Duration) History {
	return History{
		Taken:    []Taken{{ID: id, Class: class, Plan: "basic", Volume: "v", Units: 1, At: at, GivesUp: at + 1000*ms}},
		Sent:     []Sent{{ID: id, Node: "a", First: at + 1*ms, Whole: at + 1*ms, Ended: at + 5*ms}},
		Executed: []Executed{{id, "a", at + 2*ms}},
		Answered: []Answered{{id, at + 6*ms, Whole, id}},
	}
}

func (h *History) add(o History) {
	h.Taken, h.Sent = append(h.Taken, o.Taken...), append(h.Sent, o.Sent...)
	h.Executed, h.Answered = append(h.Executed, o.Executed...), append(h.Answered, o.Answered...)
}

// many is n requests 1 ms apart, on a plan.
func many(n int, plan string) (h History) {
	for i := range n {
		o := one(fmt.Sprint("m", i), "read", time.Duration(i)*ms)
		o.Taken[0].Plan = plan
		h.add(o)
	}
	return h
}

// gathered is a read of which n parts were sent, the last of them so long after its start.
func gathered(n int, plan string, last time.Duration) (h History) {
	h = one("g", "read", 0)
	h.Sent, h.Executed = nil, nil
	for i := range n {
		o := one(fmt.Sprint("g/", i, "/1"), "read", last*time.Duration(i)/time.Duration(n))
		o.Taken[0].Of, o.Taken[0].Plan, o.Answered = "g", plan, nil
		h.add(o)
	}
	h.Answered[0].At = 30 * ms
	return h
}

func drained(h History, word Word) History {
	h.Changed = []Change{{"a", word, 0}}
	h.Told = []Told{{0, "a", word, 10 * ms}}
	return h
}

// Each rule finds what breaks it, and only that; what comes near it passes.
func TestTable(t *testing.T) {
	edit := func(class string, f func(*History)) History {
		h := one("r", class, 400*ms)
		f(&h)
		return h
	}
	again := func(h *History, first time.Duration) {
		h.Sent = append(h.Sent, Sent{ID: "r", Node: "b", First: first, Whole: first, Ended: first + 1*ms})
	}
	for _, x := range []struct {
		name, rule string
		h          History
	}{
		{"clean", "", one("r", "write", 0)},
		{"no end", "answer", edit("read", func(h *History) { h.Answered = nil })},
		{"two ends", "answer", edit("read", func(h *History) { h.Answered = append(h.Answered, h.Answered[0]) })},
		{"cut", "answer", edit("read", func(h *History) { h.Answered[0].End = Cut })},
		{"too late", "answer", edit("read", func(h *History) { h.Answered[0].At = 1500 * ms })},
		{"in the slack", "", edit("read", func(h *History) { h.Answered[0].At = 1440 * ms })},
		{"another's", "answer", edit("read", func(h *History) { h.Answered[0].Of = "s" })},
		{"client left", "", edit("read", func(h *History) { h.Answered[0].End = Left })},
		{"killed", "", edit("read", func(h *History) {
			h.Answered[0].End, h.Killed = Unheard, []Span{{Scheduler: 0, From: 403 * ms, To: 900 * ms}}
		})},
		{"another killed", "answer", edit("read", func(h *History) {
			h.Answered[0].End, h.Killed = Unheard, []Span{{Scheduler: 1, From: 403 * ms, To: 900 * ms}}
		})},
		{"ending, sent", "answer", edit("read", func(h *History) { h.Answered[0].End, h.Ending = Unheard, []Span{{Scheduler: 0, From: 0, To: 900 * ms}} })},
		{"ending, unsent", "", edit("read", func(h *History) {
			h.Answered[0].End, h.Ending, h.Sent, h.Executed = Unheard, []Span{{Scheduler: 0, From: 0, To: 900 * ms}}, nil, nil
		})},
		{"ran twice", "unsafe", edit("write", func(h *History) { h.Executed = append(h.Executed, h.Executed[0]) })},
		{"safe ran twice", "", edit("read", func(h *History) { h.Executed = append(h.Executed, h.Executed[0]) })},
		{"sent again", "unsafe", edit("write", func(h *History) { again(h, 405*ms) })},
		{"turned, again", "", edit("write", func(h *History) { h.Sent[0].Turned = true; again(h, 405*ms) })},
		{"cut, again", "", edit("write", func(h *History) { h.Sent[0].Whole = Never; again(h, 405*ms) })},
		{"two out", "two-out", edit("read", func(h *History) { h.Sent[0].Ended = 470 * ms; again(h, 405*ms) })},
		{"one never ended", "two-out", edit("read", func(h *History) { h.Sent[0].Ended = Never; again(h, 405*ms) })},
		{"after its answer", "late", edit("read", func(h *History) { again(h, 460*ms) })},
		{"stray", "stray", edit("read", func(h *History) { h.Sent = append(h.Sent, Sent{ID: "x", Node: "a"}) })},
		{"stray run", "stray", edit("read", func(h *History) { h.Executed = append(h.Executed, Executed{"x", "a", 0}) })},
		{"drains", "drain", drained(one("r", "read", 400*ms), Draining)},
		{"gone", "drain", drained(one("r", "read", 400*ms), Gone)},
		{"in the grace", "", drained(one("r", "read", 300*ms), Draining)},
		{"active again", "", func() History {
			h := drained(one("r", "read", 400*ms), Draining)
			h.Changed = append(h.Changed, Change{"a", Active, 350 * ms})
			return h
		}()},
		{"paused", "", func() History {
			h := drained(one("r", "read", 400*ms), Draining)
			h.Paused = []Span{{Scheduler: 0, From: 5 * ms, To: 300 * ms}}
			return h
		}()},
		{"never told", "drain", History{}.with(one("r", "read", 1310*ms), Change{"a", Gone, 0})},
		{"deaf", "", History{Deaf: []Span{{Scheduler: 0, From: 0, To: 100 * ms}}}.with(one("r", "read", 1310*ms), Change{"a", Gone, 0})},
		{"turned away", "", History{Deaf: []Span{{To: 100 * ms, Turned: true}}}.with(one("r", "read", 3900*ms), Change{"a", Gone, 0})},
		{"too long after", "drain", History{Deaf: []Span{{To: 100 * ms, Turned: true}}}.with(one("r", "read", 4500*ms), Change{"a", Gone, 0})},
		{"late, never given up", "", edit("read", func(h *History) { h.Taken[0].GivesUp, h.Answered[0].At = Never, 1900*ms })},
		{"late, stopped", "", edit("read", func(h *History) { h.Answered[0].At, h.Paused = 1900*ms, []Span{{From: 402 * ms, To: 1500 * ms}} })},
		{"late, stood still", "", edit("read", func(h *History) { h.Answered[0].At, h.Stood = 1500*ms, []Span{{From: 1300 * ms, To: 1400 * ms}} })},
		{"after its client left", "late", edit("read", func(h *History) { h.Answered[0].End = Left; again(h, 460*ms) })},
		{"limit", "limit", many(8, "small")},
		{"in the limit", "", many(6, "small")},
		{"no limit", "", many(60, "basic")},
		{"parts", "", gathered(6, "small", 20*ms)},
		{"parts over the limit", "limit", gathered(8, "small", 20*ms)},
		{"a part after the read's end", "late", gathered(4, "basic", 200*ms)},
		{"a part of nobody", "stray", edit("read", func(h *History) { h.Sent[0].ID = "g/0/1"; h.Executed = nil })},
		{"cold", "cold", History{Cold: []Change{{Node: "a"}}}.with(many(8, "basic"))},
		{"in the budget", "", History{Cold: []Change{{Node: "a"}}}.with(many(7, "basic"))},
	} {
		found := Check(rules, x.h)
		if x.rule == "" && len(found) > 0 || x.rule != "" && (len(found) == 0 || slices.ContainsFunc(found, func(v Violation) bool { return v.Rule != x.rule })) {
			t.Errorf("%s: %v, want %q", x.name, found, x.rule)
		}
	}
}

// Calls that were turned away move what counts as told off to 6 s after the list could be had at most, however
// long rules.ask-within is.
func TestTurnedAwayMovesToldSixSecondsAtMost(t *testing.T) {
	long := rules
	long.AskWithin = 2 * time.Second
	for at, want := range map[time.Duration]int{6 * time.Second: 0, 6600 * ms: 1} {
		h := History{Deaf: []Span{{To: 100 * ms, Turned: true}}}.with(one("r", "read", at), Change{"a", Gone, 0})
		if found := Check(long, h); len(found) != want {
			t.Errorf("sent at %v: %v, want %d", at, found, want)
		}
	}
}

func (h History) with(o History, changed ...Change) History {
	h.add(o)
	h.Changed = changed
	return h
}

// A random legal history passes, and one illegal edit of it is found by its name.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		n := rapid.IntRange(1, 30).Draw(t, "requests")
		drain := time.Duration(rapid.IntRange(0, 2000).Draw(t, "drain")) * ms
		h.Changed = []Change{{"a", Draining, drain}}
		for s := range 3 {
			h.Told = append(h.Told, Told{s, "a", Draining, drain + time.Duration(rapid.IntRange(0, 900).Draw(t, "told"))*ms})
		}
		for i := range n {
			at := time.Duration(i*120) * ms
			o := one(fmt.Sprint("r", i), rapid.SampledFrom([]string{"read", "write"}).Draw(t, "class"), at)
			s := rapid.IntRange(0, 2).Draw(t, "scheduler")
			o.Taken[0].Scheduler = s
			o.Taken[0].Plan = rapid.SampledFrom([]string{"basic", "small"}).Draw(t, "plan")
			if at > h.Told[s].At {
				o.Sent[0].Node, o.Executed[0].Node = "b", "b"
			}
			if rapid.Bool().Draw(t, "turned") { // and served by another
				o.Sent = append(o.Sent, o.Sent[0])
				o.Sent[0].Turned, o.Sent[0].Ended = true, o.Sent[0].First
			}
			h.add(o)
		}
		if found := Check(rules, h); len(found) > 0 {
			t.Fatalf("legal: %v", found)
		}
		i := rapid.IntRange(0, n-1).Draw(t, "which")
		id := h.Taken[i].ID
		k := slices.IndexFunc(h.Sent, func(s Sent) bool { return s.ID == id && !s.Turned })
		want := rapid.SampledFrom([]string{"answer", "unsafe", "two-out", "drain", "limit", "late", "stray"}).Draw(t, "edit")
		switch want {
		case "answer":
			h.Answered[i].End = rapid.SampledFrom([]End{Cut, Unheard}).Draw(t, "end")
		case "unsafe":
			h.Taken[i].Class = "write"
			h.Executed = append(h.Executed, h.Executed[i])
		case "two-out":
			h.Sent[k].Ended += 100 * ms
			h.Sent = append(h.Sent, Sent{ID: id, Node: "c", First: h.Sent[k].First + 2*ms, Whole: Never, Ended: Never})
		case "drain":
			h.Sent[k].Node = "a"
			h.Changed[0].At, h.Told = 0, []Told{{h.Taken[i].Scheduler, "a", Draining, h.Sent[k].First - rules.Grace - rules.Slack - ms}}
			h.Changed[0].At = h.Told[0].At
		case "limit":
			for j := range 40 {
				o := one(fmt.Sprint("more", j), "read", 5*time.Second)
				o.Taken[0].Plan, o.Sent[0].Node = "small", "b"
				h.add(o)
			}
		case "late":
			h.Sent = append(h.Sent, Sent{ID: id, Node: "b", First: h.Answered[i].At + rules.Slack + ms, Turned: true})
		case "stray":
			h.Taken = slices.Delete(h.Taken, i, i+1)
		}
		if !slices.ContainsFunc(Check(rules, h), func(v Violation) bool { return v.Rule == want }) {
			t.Fatalf("%s is not found", want)
		}
	})
}
