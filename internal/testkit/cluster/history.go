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

// History returns what has happened so far. An attempt has ended once its node has answered, or once the
// node or the link in front of it saw its sender disconnect.
func (f *Fleet) History() historycheck.History {
	f.mu.Lock()
	h := f.history
	h.Requests, h.Outcomes, h.Notifications = slices.Clone(h.Requests), slices.Clone(h.Outcomes), slices.Clone(h.Notifications)
	h.Changes, h.SlowStarts, h.ListOutages = slices.Clone(h.Changes), slices.Clone(h.SlowStarts), slices.Clone(h.ListOutages)
	h.Killed, h.Terminating, h.Paused = slices.Clone(h.Killed), slices.Clone(h.Terminating), slices.Clone(h.Paused)
	h.HarnessStalls = slices.Clone(h.HarnessStalls)
	for i := range f.procs {
		if s, ok := f.downSince[i]; ok {
			ended := historycheck.Interval{Scheduler: i, From: s.from, To: historycheck.Never}
			if s.killed {
				h.Killed = append(h.Killed, ended)
			} else {
				h.Terminating = append(h.Terminating, ended)
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
	type linkConn struct { // a connection and the scheduler that opened it
		link.Conn
		scheduler int
	}
	recordPart := partRecorder(h.Requests)
	for j, n := range f.nodes {
		conns := map[string][]linkConn{} // by address seen by the node, in order of opening, as a port may be reused
		for i := range f.storageLinks {
			if f.storageLinks[i][j] == nil {
				continue
			}
			for _, c := range f.storageLinks[i][j].Conns() {
				conns[c.OutboundAddr] = append(conns[c.OutboundAddr], linkConn{c, i})
			}
		}
		name := f.opt.Nodes[j].Name
		for _, a := range n.Attempts() {
			s := historycheck.Attempt{ID: a.ID, Node: name, FirstByte: at(a.FirstByte), LastByte: at(a.LastByte), EndedAt: at(a.EndedAt), Rejected: a.Rejected}
			for _, c := range slices.Backward(conns[a.From]) {
				if c.Opened.After(a.FirstByte) {
					continue
				}
				if !c.Ended.IsZero() {
					s.EndedAt = min(s.EndedAt, max(at(c.Ended), s.FirstByte))
				}
				if t, ok := recordPart(a.ID, c.scheduler, s.FirstByte); ok {
					h.Requests = append(h.Requests, t)
				}
				break
			}
			h.Attempts = append(h.Attempts, s)
			if !a.ExecutedAt.IsZero() {
				h.Executions = append(h.Executions, historycheck.Execution{ID: a.ID, Node: name, At: at(a.ExecutedAt)})
			}
		}
	}
	slices.SortStableFunc(h.Attempts, func(a, b historycheck.Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	return h
}

// partRecorder returns a function that turns a part of a gathered read, which no client sent, into a request of the scheduler
// that sent it. It does so once for each part ID, which consists of the client's request ID, a slash and a suffix.
func partRecorder(requests []historycheck.Request) func(id string, scheduler int, at time.Duration) (historycheck.Request, bool) {
	byID := map[string]historycheck.Request{}
	for _, t := range requests {
		byID[t.ID] = t
	}
	return func(id string, scheduler int, at time.Duration) (historycheck.Request, bool) {
		parentID, _, isPart := strings.Cut(id, "/")
		t, known := byID[parentID]
		if _, seen := byID[id]; seen || !isPart || !known {
			return t, false
		}
		t.ID, t.ParentID, t.Scheduler, t.At = id, parentID, scheduler, at
		byID[id] = t
		return t, true
	}
}

// Rules returns the rules against which the audit checks the history, derived from the daemons' settings.
func (f *Fleet) Rules() historycheck.Rules {
	settings := f.settings
	section := func(name string) map[string]any { m, _ := settings[name].(map[string]any); return m }
	number := func(m map[string]any, key string) float64 {
		switch v := m[key].(type) {
		case int:
			return float64(v)
		case float64:
			return v
		}
		return 0
	}
	milliseconds := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	rules, extra := section("rules"), section("extra")
	hedging, _ := section("ceilings")["second-copies"].(bool)
	r := historycheck.Rules{NonIdempotent: map[string]bool{}, Hedging: hedging, Grace: milliseconds(number(rules, "stop-sending-within")), AskWithin: milliseconds(number(rules, "ask-within")),
		Plans: map[string]historycheck.Plan{}, MeanUnits: number(extra, "usual-units"), SlowStartLimit: number(extra, "young-limit"), SlowStartWindow: milliseconds(number(rules, "overload-for")),
		CreditShare: number(rules, "tip-multiple") / 2, Slack: auditSlack}
	for _, p := range settingObjects(settings["profiles"]) {
		r.NonIdempotent[fmt.Sprint(p["name"])] = p["repeat"] == "unsafe"
	}
	for _, p := range settingObjects(settings["contracts"]) {
		if limit := number(p, "cap"); limit > 0 {
			r.Plans[fmt.Sprint(p["name"])] = historycheck.Plan{Cap: limit, Burst: number(p, "burst")}
		}
	}
	return r
}

const auditSlack = 50 * time.Millisecond // allowance for timing differences between the daemons and the recorded history

func settingObjects(v any) []map[string]any { l, _ := v.([]map[string]any); return l }

// Audit checks the history so far against the rules.
func (f *Fleet) Audit() []historycheck.Violation { return historycheck.Check(f.Rules(), f.History()) }

const minStall, stallCheckInterval = 25 * time.Millisecond, 5 * time.Millisecond

// watchStalls records when this program itself stalled for more than minStall, as its clients, links and nodes then observe
// events later than they happened.
func (f *Fleet) watchStalls() {
	defer f.background.Done()
	t := time.NewTicker(stallCheckInterval)
	defer t.Stop()
	last := f.now()
	for {
		select {
		case <-f.done:
			return
		case <-t.C:
		}
		now := f.now()
		if now-last > minStall {
			f.mu.Lock()
			f.history.HarnessStalls = append(f.history.HarnessStalls, historycheck.Interval{From: last, To: now})
			f.mu.Unlock()
		}
		last = now
	}
}
