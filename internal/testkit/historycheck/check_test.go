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

var testRules = Rules{NonIdempotent: map[string]bool{"write": true}, Grace: 250 * ms, AskWithin: 1000 * ms, Plans: map[string]Plan{"small": {Cap: 10, Burst: 5}},
	MeanUnits: 1, SlowStartLimit: 1, SlowStartWindow: 3000 * ms, Slack: 50 * ms}

func singleRequest(id, class string, at time.Duration) History {
	return History{
		Requests:   []Request{{ID: id, Class: class, Plan: "basic", Volume: "v", Units: 1, At: at, Deadline: at + 1000*ms}},
		Attempts:   []Attempt{{ID: id, Node: "a", FirstByte: at + 1*ms, LastByte: at + 1*ms, EndedAt: at + 5*ms}},
		Executions: []Execution{{id, "a", at + 2*ms}},
		Outcomes:   []Outcome{{id, at + 6*ms, Complete, id}},
	}
}

func (h *History) add(o History) {
	h.Requests, h.Attempts = append(h.Requests, o.Requests...), append(h.Attempts, o.Attempts...)
	h.Executions, h.Outcomes = append(h.Executions, o.Executions...), append(h.Outcomes, o.Outcomes...)
}

// requestsOnPlan returns n requests 1 ms apart on a plan.
func requestsOnPlan(n int, plan string) (h History) {
	for i := range n {
		o := singleRequest(fmt.Sprint("m", i), "read", time.Duration(i)*ms)
		o.Requests[0].Plan = plan
		h.add(o)
	}
	return h
}

// gatheredRead returns a read with n parts that were sent evenly over the duration last.
func gatheredRead(n int, plan string, duration time.Duration) (h History) {
	h = singleRequest("g", "read", 0)
	h.Attempts, h.Executions = nil, nil
	for i := range n {
		o := singleRequest(fmt.Sprint("g/", i, "/1"), "read", duration*time.Duration(i)/time.Duration(n))
		o.Requests[0].ParentID, o.Requests[0].Plan, o.Outcomes = "g", plan, nil
		h.add(o)
	}
	h.Outcomes[0].At = 30 * ms
	return h
}

func withDrain(h History, status NodeStatus) History {
	h.Changes = []Change{{"a", status, 0}}
	h.Notifications = []Notification{{0, "a", status, 10 * ms}}
	return h
}

// Each rule reports its violations and no others. Histories just within the limits pass.
func TestRules(t *testing.T) {
	edited := func(class string, f func(*History)) History {
		h := singleRequest("r", class, 400*ms)
		f(&h)
		return h
	}
	resend := func(h *History, first time.Duration) {
		h.Attempts = append(h.Attempts, Attempt{ID: "r", Node: "b", FirstByte: first, LastByte: first, EndedAt: first + 1*ms})
	}
	for _, x := range []struct {
		name, rule string
		h          History
	}{
		{"one executed and answered write", "", singleRequest("r", "write", 0)},
		{"no outcome", "answer", edited("read", func(h *History) { h.Outcomes = nil })},
		{"two outcomes", "answer", edited("read", func(h *History) { h.Outcomes = append(h.Outcomes, h.Outcomes[0]) })},
		{"truncated response", "answer", edited("read", func(h *History) { h.Outcomes[0].Kind = Truncated })},
		{"response after the deadline", "answer", edited("read", func(h *History) { h.Outcomes[0].At = 1500 * ms })},
		{"response within the slack", "", edited("read", func(h *History) { h.Outcomes[0].At = 1440 * ms })},
		{"response to another request", "answer", edited("read", func(h *History) { h.Outcomes[0].ResponseID = "s" })},
		{"client disconnected", "", edited("read", func(h *History) { h.Outcomes[0].Kind = Disconnected })},
		{"no response of a killed scheduler", "", edited("read", func(h *History) {
			h.Outcomes[0].Kind, h.Killed = NoResponse, []Interval{{Scheduler: 0, From: 403 * ms, To: 900 * ms}}
		})},
		{"no response while another scheduler was killed", "answer", edited("read", func(h *History) {
			h.Outcomes[0].Kind, h.Killed = NoResponse, []Interval{{Scheduler: 1, From: 403 * ms, To: 900 * ms}}
		})},
		{"shutdown after an attempt was sent", "answer", edited("read", func(h *History) {
			h.Outcomes[0].Kind, h.Terminating = NoResponse, []Interval{{Scheduler: 0, From: 0, To: 900 * ms}}
		})},
		{"shutdown before an attempt was sent", "", edited("read", func(h *History) {
			h.Outcomes[0].Kind, h.Terminating, h.Attempts, h.Executions = NoResponse, []Interval{{Scheduler: 0, From: 0, To: 900 * ms}}, nil, nil
		})},
		{"non-idempotent request executed twice", "unsafe", edited("write", func(h *History) { h.Executions = append(h.Executions, h.Executions[0]) })},
		{"idempotent request executed twice", "", edited("read", func(h *History) { h.Executions = append(h.Executions, h.Executions[0]) })},
		{"non-idempotent request sent again", "unsafe", edited("write", func(h *History) { resend(h, 405*ms) })},
		{"sent again after a rejection", "", edited("write", func(h *History) { h.Attempts[0].Rejected = true; resend(h, 405*ms) })},
		{"sent again after a truncated attempt", "", edited("write", func(h *History) { h.Attempts[0].LastByte = Never; resend(h, 405*ms) })},
		{"two attempts in flight", "two-out", edited("read", func(h *History) { h.Attempts[0].EndedAt = 470 * ms; resend(h, 405*ms) })},
		{"first attempt never ended", "two-out", edited("read", func(h *History) { h.Attempts[0].EndedAt = Never; resend(h, 405*ms) })},
		{"attempt after the response", "late", edited("read", func(h *History) { resend(h, 460*ms) })},
		{"attempt of an unknown request", "stray", edited("read", func(h *History) { h.Attempts = append(h.Attempts, Attempt{ID: "x", Node: "a"}) })},
		{"execution of an unknown request", "stray", edited("read", func(h *History) { h.Executions = append(h.Executions, Execution{"x", "a", 0}) })},
		{"attempt at a draining node after the grace period", "drain", withDrain(singleRequest("r", "read", 400*ms), Draining)},
		{"attempt at a removed node after the grace period", "drain", withDrain(singleRequest("r", "read", 400*ms), Removed)},
		{"attempt at a draining node within the grace period", "", withDrain(singleRequest("r", "read", 300*ms), Draining)},
		{"attempt at a node that is active again", "", func() History {
			h := withDrain(singleRequest("r", "read", 400*ms), Draining)
			h.Changes = append(h.Changes, Change{"a", Active, 350 * ms})
			return h
		}()},
		{"attempt of a scheduler that was paused when it was notified", "", func() History {
			h := withDrain(singleRequest("r", "read", 400*ms), Draining)
			h.Paused = []Interval{{Scheduler: 0, From: 5 * ms, To: 300 * ms}}
			return h
		}()},
		{"scheduler without a notification, after AskWithin", "drain", History{}.with(singleRequest("r", "read", 1310*ms), Change{"a", Removed, 0})},
		{"AskWithin counted from when the list was available", "", History{ListOutages: []Interval{{Scheduler: 0, From: 0, To: 100 * ms}}}.with(singleRequest("r", "read", 1310*ms), Change{"a", Removed, 0})},
		{"within four times AskWithin after rejected list calls", "", History{ListOutages: []Interval{{To: 100 * ms, Rejected: true}}}.with(singleRequest("r", "read", 3900*ms), Change{"a", Removed, 0})},
		{"later than four times AskWithin after rejected list calls", "drain", History{ListOutages: []Interval{{To: 100 * ms, Rejected: true}}}.with(singleRequest("r", "read", 4500*ms), Change{"a", Removed, 0})},
		{"late response without a deadline", "", edited("read", func(h *History) { h.Requests[0].Deadline, h.Outcomes[0].At = Never, 1900*ms })},
		{"late response of a paused scheduler", "", edited("read", func(h *History) { h.Outcomes[0].At, h.Paused = 1900*ms, []Interval{{From: 402 * ms, To: 1500 * ms}} })},
		{"late response during a stall of the test process", "", edited("read", func(h *History) {
			h.Outcomes[0].At, h.HarnessStalls = 1500*ms, []Interval{{From: 1300 * ms, To: 1400 * ms}}
		})},
		{"attempt after the client disconnected", "late", edited("read", func(h *History) { h.Outcomes[0].Kind = Disconnected; resend(h, 460*ms) })},
		{"plan's limit exceeded", "limit", requestsOnPlan(8, "small")},
		{"within the plan's limit", "", requestsOnPlan(6, "small")},
		{"plan without a limit", "", requestsOnPlan(60, "basic")},
		{"gathered read's parts within the plan's limit", "", gatheredRead(6, "small", 20*ms)},
		{"gathered read's parts over the plan's limit", "limit", gatheredRead(8, "small", 20*ms)},
		{"part sent after the read ended", "late", gatheredRead(4, "basic", 200*ms)},
		{"part without a read", "stray", edited("read", func(h *History) { h.Attempts[0].ID = "g/0/1"; h.Executions = nil })},
		{"slow start budget exceeded", "cold", History{SlowStarts: []Change{{Node: "a"}}}.with(requestsOnPlan(8, "basic"))},
		{"within the slow start budget", "", History{SlowStarts: []Change{{Node: "a"}}}.with(requestsOnPlan(7, "basic"))},
	} {
		found := Check(testRules, x.h)
		if x.rule == "" && len(found) > 0 || x.rule != "" && (len(found) == 0 || slices.ContainsFunc(found, func(v Violation) bool { return v.Rule != x.rule })) {
			t.Errorf("%s: violations %v, want only of rule %q (empty: none)", x.name, found, x.rule)
		}
	}
}

// After rejected list calls, a scheduler counts as notified at most 6 s after the list was available, however long
// rules.ask-within is.
func TestRejectedCallsDelayNotificationBySixSecondsAtMost(t *testing.T) {
	long := testRules
	long.AskWithin = 2 * time.Second
	for at, want := range map[time.Duration]int{6 * time.Second: 0, 6600 * ms: 1} {
		h := History{ListOutages: []Interval{{To: 100 * ms, Rejected: true}}}.with(singleRequest("r", "read", at), Change{"a", Removed, 0})
		if found := Check(long, h); len(found) != want {
			t.Errorf("sent at %v: violations %v, want %d", at, found, want)
		}
	}
}

func (h History) with(o History, changed ...Change) History {
	h.add(o)
	h.Changes = changed
	return h
}

// A random valid history passes. An edit that violates one rule is reported under that rule's name.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		n := rapid.IntRange(1, 30).Draw(t, "requests")
		drain := time.Duration(rapid.IntRange(0, 2000).Draw(t, "drain")) * ms
		h.Changes = []Change{{"a", Draining, drain}}
		for s := range 3 {
			h.Notifications = append(h.Notifications, Notification{s, "a", Draining, drain + time.Duration(rapid.IntRange(0, 900).Draw(t, "notified after"))*ms})
		}
		for i := range n {
			at := time.Duration(i*120) * ms
			o := singleRequest(fmt.Sprint("r", i), rapid.SampledFrom([]string{"read", "write"}).Draw(t, "class"), at)
			s := rapid.IntRange(0, 2).Draw(t, "scheduler")
			o.Requests[0].Scheduler = s
			o.Requests[0].Plan = rapid.SampledFrom([]string{"basic", "small"}).Draw(t, "plan")
			if at > h.Notifications[s].At {
				o.Attempts[0].Node, o.Executions[0].Node = "b", "b"
			}
			if rapid.Bool().Draw(t, "rejected") { // the first attempt is rejected, a second one is served
				o.Attempts = append(o.Attempts, o.Attempts[0])
				o.Attempts[0].Rejected, o.Attempts[0].EndedAt = true, o.Attempts[0].FirstByte
			}
			h.add(o)
		}
		if found := Check(testRules, h); len(found) > 0 {
			t.Fatalf("violations in a valid history: %v", found)
		}
		i := rapid.IntRange(0, n-1).Draw(t, "edited request")
		id := h.Requests[i].ID
		k := slices.IndexFunc(h.Attempts, func(s Attempt) bool { return s.ID == id && !s.Rejected })
		want := rapid.SampledFrom([]string{"answer", "unsafe", "two-out", "drain", "limit", "late", "stray"}).Draw(t, "violated rule")
		switch want {
		case "answer":
			h.Outcomes[i].Kind = rapid.SampledFrom([]OutcomeKind{Truncated, NoResponse}).Draw(t, "outcome")
		case "unsafe":
			h.Requests[i].Class = "write"
			h.Executions = append(h.Executions, h.Executions[i])
		case "two-out":
			h.Attempts[k].EndedAt += 100 * ms
			h.Attempts = append(h.Attempts, Attempt{ID: id, Node: "c", FirstByte: h.Attempts[k].FirstByte + 2*ms, LastByte: Never, EndedAt: Never})
		case "drain":
			h.Attempts[k].Node = "a"
			h.Changes[0].At, h.Notifications = 0, []Notification{{h.Requests[i].Scheduler, "a", Draining, h.Attempts[k].FirstByte - testRules.Grace - testRules.Slack - ms}}
			h.Changes[0].At = h.Notifications[0].At
		case "limit":
			for j := range 40 {
				o := singleRequest(fmt.Sprint("more", j), "read", 5*time.Second)
				o.Requests[0].Plan, o.Attempts[0].Node = "small", "b"
				h.add(o)
			}
		case "late":
			h.Attempts = append(h.Attempts, Attempt{ID: id, Node: "b", FirstByte: h.Outcomes[i].At + testRules.Slack + ms, Rejected: true})
		case "stray":
			h.Requests = slices.Delete(h.Requests, i, i+1)
		}
		if !slices.ContainsFunc(Check(testRules, h), func(v Violation) bool { return v.Rule == want }) {
			t.Fatalf("violation of rule %s not reported", want)
		}
	})
}
