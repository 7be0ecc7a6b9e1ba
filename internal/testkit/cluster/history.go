package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/historycheck"
)

// History is what has happened so far. An attempt has ended when its node had answered, or when the
// node or the link before it saw its sender go.
func (f *Fleet) History() historycheck.History {
	f.mu.Lock()
	h := f.h
	h.Taken, h.Answered, h.Told = slices.Clone(h.Taken), slices.Clone(h.Answered), slices.Clone(h.Told)
	h.Changed, h.Cold, h.Deaf = slices.Clone(h.Changed), slices.Clone(h.Cold), slices.Clone(h.Deaf)
	h.Killed, h.Ending, h.Paused = slices.Clone(h.Killed), slices.Clone(h.Ending), slices.Clone(h.Paused)
	h.Stood = slices.Clone(h.Stood)
	for i := range f.procs {
		if s, ok := f.down[i]; ok {
			one := historycheck.Span{Scheduler: i, From: s.from, To: historycheck.Never}
			if s.kill {
				h.Killed = append(h.Killed, one)
			} else {
				h.Ending = append(h.Ending, one)
			}
		}
	}
	f.mu.Unlock()
	at := func(t time.Time) time.Duration {
		if t.IsZero() {
			return historycheck.Never
		}
		return t.Sub(f.start)
	}
	type from struct { // in order; a port may come again
		link.Conn
		scheduler int
	}
	parts := partsOf(h.Taken)
	for j, n := range f.nodes {
		conns := map[string][]from{}
		for i := range f.storage {
			if f.storage[i][j] == nil {
				continue
			}
			for _, c := range f.storage[i][j].Conns() {
				conns[c.Out] = append(conns[c.Out], from{c, i})
			}
		}
		name := f.opt.Nodes[j].Name
		for _, a := range n.Attempts() {
			s := historycheck.Sent{ID: a.ID, Node: name, First: at(a.First), Whole: at(a.Whole), Ended: at(a.Ended), Turned: a.Turned}
			for _, c := range slices.Backward(conns[a.From]) {
				if c.Opened.After(a.First) {
					continue
				}
				if !c.Ended.IsZero() {
					s.Ended = min(s.Ended, max(at(c.Ended), s.First))
				}
				if t, ok := parts(a.ID, c.scheduler, s.First); ok {
					h.Taken = append(h.Taken, t)
				}
				break
			}
			h.Sent = append(h.Sent, s)
			if !a.Ran.IsZero() {
				h.Executed = append(h.Executed, historycheck.Executed{ID: a.ID, Node: name, At: at(a.Ran)})
			}
		}
	}
	slices.SortStableFunc(h.Sent, func(a, b historycheck.Sent) int { return cmp.Compare(a.First, b.First) })
	return h
}

// partsOf makes the parts of gathered reads, which no client sent, requests of the scheduler that sent them, one for each of
// their ids (the client's, a slash and more).
func partsOf(taken []historycheck.Taken) func(id string, scheduler int, at time.Duration) (historycheck.Taken, bool) {
	byID := map[string]historycheck.Taken{}
	for _, t := range taken {
		byID[t.ID] = t
	}
	return func(id string, scheduler int, at time.Duration) (historycheck.Taken, bool) {
		of, _, part := strings.Cut(id, "/")
		t, known := byID[of]
		if _, seen := byID[id]; seen || !part || !known {
			return t, false
		}
		t.ID, t.Of, t.Scheduler, t.At = id, of, scheduler, at
		byID[id] = t
		return t, true
	}
}

// Rules are the auditor's figures out of the daemons' settings.
func (f *Fleet) Rules() historycheck.Rules {
	set := f.settings
	section := func(name string) map[string]any { m, _ := set[name].(map[string]any); return m }
	num := func(m map[string]any, key string) float64 {
		switch v := m[key].(type) {
		case int:
			return float64(v)
		case float64:
			return v
		}
		return 0
	}
	span := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	rules, extra := section("rules"), section("extra")
	second, _ := section("ceilings")["second-copies"].(bool)
	r := historycheck.Rules{Unsafe: map[string]bool{}, SecondCopies: second, Grace: span(num(rules, "stop-sending-within")), AskWithin: span(num(rules, "ask-within")),
		Plans: map[string]historycheck.Plan{}, MeanUnits: num(extra, "usual-units"), ColdN: num(extra, "young-limit"), ColdFor: span(num(rules, "overload-for")),
		CreditShare: num(rules, "tip-multiple") / 2, Slack: slack}
	for _, p := range entriesOf(set["profiles"]) {
		r.Unsafe[fmt.Sprint(p["name"])] = p["repeat"] == "unsafe"
	}
	for _, p := range entriesOf(set["contracts"]) {
		if limit := num(p, "cap"); limit > 0 {
			r.Plans[fmt.Sprint(p["name"])] = historycheck.Plan{Cap: limit, Burst: num(p, "burst")}
		}
	}
	return r
}

const slack = 50 * time.Millisecond // the rules' limits are this much longer for an auditor

func entriesOf(v any) []map[string]any { l, _ := v.([]map[string]any); return l }

// Audit asks the auditor about what has happened so far.
func (f *Fleet) Audit() []historycheck.Violation { return historycheck.Check(f.Rules(), f.History()) }

const stoodLeast, standEvery = 25 * time.Millisecond, 5 * time.Millisecond

// watch notes when this program itself stood still: what its clients, links
// and nodes see late then was not late.
func (f *Fleet) watch() {
	defer f.load.Done()
	t := time.NewTicker(standEvery)
	defer t.Stop()
	last := f.now()
	for {
		select {
		case <-f.done:
			return
		case <-t.C:
		}
		now := f.now()
		if now-last > stoodLeast {
			f.mu.Lock()
			f.h.Stood = append(f.h.Stood, historycheck.Span{From: last, To: now})
			f.mu.Unlock()
		}
		last = now
	}
}
