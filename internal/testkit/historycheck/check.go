// Package historycheck checks the history of a test run with several processes against the rules of the
// platform. The history lists requests, attempts, executions, responses and notifications, and is collected by
// the tests (see internal/testkit/cluster). Check is a pure function.
//
// The rules and their names:
//
//	answer     Each request that a scheduler received has exactly one complete final response, to that request,
//	           before its client's deadline. Excused: the client disconnected; the scheduler was killed, or was
//	           shutting down before any attempt was sent; a late response if the scheduler was stopped by a signal
//	           or the test process itself stalled.
//	unsafe     A non-idempotent request is executed at most once. It is not sent again after an attempt was
//	           received completely by a node that did not reject it.
//	two-out    Without hedging, no request has two attempts in flight at once.
//	drain      No attempt starts at a node later than Grace after its scheduler was notified that the node is
//	           draining or was removed. The scheduler counts as notified at the latest AskWithin after the list
//	           was available, or four times that after rejected calls.
//	limit      For each volume, all schedulers together stay within a token bucket of size Burst that fills at Cap,
//	           plus a tenth or one largest request.
//	cold       A node in slow start receives at most N + 3 sqrt(N) + 3 average requests within SlowStartWindow, plus
//	           CreditShare of the units that it has answered.
//	late       No attempt starts at a node after its request's final response or its client's disconnect.
//	stray      No node receives a request ID that no client sent.
//
// All time limits are extended by Slack, because a node sees an event later than the scheduler that caused it.
package historycheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Never is the time of an event that has not happened.
const Never = time.Duration(math.MaxInt64)

// Request is a request that a client sent to a scheduler.
type Request struct {
	ID, Class, Plan, Volume string
	Units                   float64
	Scheduler               int
	At, Deadline            time.Duration
	ParentID                string // for a part of a gathered read, the client's request, whose outcome is also the part's; "": not a part
}

// Attempt is an attempt as seen by its node. LastByte and EndedAt are Never if they did not happen.
type Attempt struct {
	ID, Node                     string
	FirstByte, LastByte, EndedAt time.Duration
	Rejected                     bool // the node rejected the attempt without executing it
}

// Execution is one execution of a request.
type Execution struct {
	ID, Node string
	At       time.Duration
}

// OutcomeKind is how a request ended for its client.
type OutcomeKind int

// The kinds of outcomes.
const (
	Complete     OutcomeKind = iota // a complete response with any status
	Truncated                       // the connection ended within the response
	NoResponse                      // the connection ended or the deadline passed before the first byte of a response
	Disconnected                    // the client disconnected
)

// Outcome is the end of a request.
type Outcome struct {
	ID         string
	At         time.Duration
	Kind       OutcomeKind
	ResponseID string // request ID in the response; "": none
}

// NodeStatus is a node's status in the endpoint list.
type NodeStatus int

// The statuses.
const (
	Active NodeStatus = iota
	Draining
	Removed
)

// Notification is an entry of the endpoint list as it was sent to a scheduler.
type Notification struct {
	Scheduler int
	Node      string
	Status    NodeStatus
	At        time.Duration
}

// Change is a change of the endpoint list at the discovery service.
type Change struct {
	Node   string
	Status NodeStatus
	At     time.Duration
}

// Interval is a period of time of one scheduler.
type Interval struct {
	Scheduler int
	From, To  time.Duration
	Rejected  bool // for History.ListOutages: the scheduler's calls were rejected
}

// History lists the events of a test run. All times are measured from the same start.
type History struct {
	Requests      []Request
	Attempts      []Attempt
	Executions    []Execution
	Outcomes      []Outcome
	Notifications []Notification
	Changes       []Change
	SlowStarts    []Change   // starts of nodes in slow start; the status is not used
	ListOutages   []Interval // the endpoint list was not available
	Killed        []Interval // from the kill until the scheduler served again
	Terminating   []Interval // from SIGTERM until the scheduler served again
	Paused        []Interval // from SIGSTOP until SIGCONT
	HarnessStalls []Interval // the test process itself got no CPU time; Scheduler is not used
}

// Plan is a plan's limit for one volume, in units.
type Plan struct{ Cap, Burst float64 }

// Rules are the platform's limits.
type Rules struct {
	NonIdempotent   map[string]bool // by class
	Hedging         bool
	Grace           time.Duration   // rules.stop-sending-within
	AskWithin       time.Duration   // rules.ask-within; 0: a scheduler counts as notified only by a notification
	Plans           map[string]Plan // plans with a limit
	MeanUnits       float64         // extra.usual-units
	SlowStartLimit  float64         // extra.young-limit; 0: not checked
	SlowStartWindow time.Duration   // rules.overload-for
	CreditShare     float64         // share of the units answered by a node in slow start that is added to its budget
	Slack           time.Duration
}

// Violation is a violation of a rule.
type Violation struct {
	Rule string // name of the rule
	ID   string // request ID, or ""
	Node string // node, or ""
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %q, node %q: %s", v.Rule, v.ID, v.Node, v.Text)
}

// Check returns all violations. Their order depends only on the history.
func Check(r Rules, h History) []Violation {
	c := &checker{rules: r, history: h, requests: map[string]Request{}, attempts: map[string][]Attempt{}, outcomes: map[string][]Outcome{}}
	for _, t := range h.Requests {
		c.requests[t.ID] = t
	}
	for _, s := range h.Attempts {
		c.attempts[s.ID] = append(c.attempts[s.ID], s)
	}
	for _, list := range c.attempts {
		slices.SortStableFunc(list, func(a, b Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	}
	for _, a := range h.Outcomes {
		c.outcomes[a.ID] = append(c.outcomes[a.ID], a)
	}
	for _, t := range h.Requests {
		if t.ParentID == "" {
			c.checkOutcome(t)
		}
		c.checkAttempts(t)
	}
	c.checkStrays()
	c.checkDrains()
	c.checkLimits()
	c.checkSlowStart()
	return c.violations
}

type checker struct {
	rules      Rules
	history    History
	requests   map[string]Request
	attempts   map[string][]Attempt // by request ID, in order of their first bytes
	outcomes   map[string][]Outcome
	violations []Violation
}

func (c *checker) report(rule, id, node, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, id, node, fmt.Sprintf(format, args...)})
}

// overlaps reports whether an interval of the scheduler overlaps a time range.
func overlaps(all []Interval, scheduler int, from, to time.Duration) bool {
	return slices.ContainsFunc(all, func(s Interval) bool { return s.Scheduler == scheduler && s.From <= to && from <= s.To })
}

// harnessStalled reports whether the test process stalled between two times.
func (c *checker) harnessStalled(from, to time.Duration) bool {
	return slices.ContainsFunc(c.history.HarnessStalls, func(s Interval) bool { return s.From <= to && from <= s.To })
}

func (c *checker) checkOutcome(request Request) {
	outcomes, attempts := c.outcomes[request.ID], c.attempts[request.ID]
	for _, p := range c.history.Requests { // attempts of a request's parts count as its own
		if p.ParentID == request.ID {
			attempts = append(slices.Clip(attempts), c.attempts[p.ID]...)
		}
	}
	if len(outcomes) != 1 {
		c.report("answer", request.ID, "", "%d final outcomes", len(outcomes))
		return
	}
	outcome := outcomes[0]
	killed := overlaps(c.history.Killed, request.Scheduler, request.At, outcome.At)
	paused := overlaps(c.history.Paused, request.Scheduler, request.At, outcome.At)
	stalled := c.harnessStalled(request.At, outcome.At)
	terminatedUnsent := len(attempts) == 0 && overlaps(c.history.Terminating, request.Scheduler, request.At, outcome.At)
	switch {
	case outcome.Kind == Disconnected:
	case outcome.ResponseID != "" && outcome.ResponseID != request.ID:
		c.report("answer", request.ID, "", "received the response to request %q", outcome.ResponseID)
	case outcome.Kind == NoResponse && paused:
	case outcome.Kind != Complete && !killed && !terminatedUnsent:
		c.report("answer", request.ID, "", "no complete response by %v (outcome %d, %d attempts)", outcome.At, outcome.Kind, len(attempts))
	case outcome.Kind == Complete && outcome.At-c.rules.Slack > request.Deadline && !paused && !stalled:
		c.report("answer", request.ID, "", "answered at %v, after the client's deadline at %v", outcome.At, request.Deadline)
	}
}

func (c *checker) checkAttempts(request Request) {
	attempts := c.attempts[request.ID]
	executions := 0
	for _, e := range c.history.Executions {
		if e.ID == request.ID {
			executions++
		}
	}
	if c.rules.NonIdempotent[request.Class] && executions > 1 {
		c.report("unsafe", request.ID, "", "executed %d times", executions)
	}
	for i, s := range attempts {
		for _, earlier := range attempts[:i] {
			if c.rules.NonIdempotent[request.Class] && earlier.LastByte < s.FirstByte && !earlier.Rejected {
				c.report("unsafe", request.ID, s.Node, "sent again at %v, may have been executed at %s", s.FirstByte, earlier.Node)
			}
			if !c.rules.Hedging && earlier.EndedAt != Never && earlier.EndedAt > s.FirstByte+c.rules.Slack || !c.rules.Hedging && earlier.EndedAt == Never {
				c.report("two-out", request.ID, s.Node, "sent at %v while another attempt was in flight at %s", s.FirstByte, earlier.Node)
			}
		}
		for _, a := range c.outcomes[cmp.Or(request.ParentID, request.ID)] {
			if (a.Kind == Complete || a.Kind == Disconnected) && s.FirstByte > a.At+c.rules.Slack && !c.harnessStalled(a.At, min(s.FirstByte, a.At+maxStallExcuse)) {
				c.report("late", request.ID, s.Node, "attempt sent at %v, request ended at %v", s.FirstByte, a.At)
			}
		}
	}
}

func (c *checker) checkStrays() {
	for _, s := range c.history.Attempts {
		if _, ok := c.requests[s.ID]; !ok && s.ID != "" {
			c.report("stray", s.ID, s.Node, "received, but no client sent it")
		}
	}
	for _, e := range c.history.Executions {
		if _, ok := c.requests[e.ID]; !ok {
			c.report("stray", e.ID, e.Node, "executed, but no client sent it")
		}
	}
}

const (
	rejectedCallFactor   = 4               // after rejected calls, rules.ask-within is multiplied by this
	maxRejectedCallDelay = 6 * time.Second // upper bound of the multiplied time, from when the list was available again
)

// notifiedAt returns when a scheduler counts as notified of a change.
func (c *checker) notifiedAt(scheduler int, change Change) time.Duration {
	at := Never
	if c.rules.AskWithin > 0 {
		available, within := change.At, c.rules.AskWithin
		for moved := true; moved; {
			moved = false
			for _, s := range c.history.ListOutages {
				if s.Scheduler == scheduler && s.From <= available && available < s.To {
					available, moved = s.To, true
					if s.Rejected {
						within = max(c.rules.AskWithin, min(rejectedCallFactor*c.rules.AskWithin, maxRejectedCallDelay))
					}
				}
			}
		}
		if available != Never {
			at = available + within
		}
	}
	for _, t := range c.history.Notifications {
		if t.Scheduler == scheduler && t.Node == change.Node && t.Status == change.Status && t.At >= change.At {
			at = min(at, t.At)
		}
	}
	for _, list := range [][]Interval{c.history.Paused, c.history.Killed} { // notifications during these are read at their end
		for _, s := range list {
			if s.Scheduler == scheduler && s.From <= at && at <= s.To {
				at = s.To
			}
		}
	}
	return at
}

func (c *checker) checkDrains() {
	for i, change := range c.history.Changes {
		if change.Status == Active {
			continue
		}
		until := Never // when the node is active again
		for _, next := range c.history.Changes[i+1:] {
			if next.Node == change.Node && next.Status == Active {
				until = next.At
				break
			}
		}
		notified := map[int]time.Duration{}
		for _, s := range c.history.Attempts {
			t, ok := c.requests[s.ID]
			if s.Node != change.Node || !ok || s.FirstByte >= until {
				continue
			}
			at, known := notified[t.Scheduler]
			if !known {
				at = c.notifiedAt(t.Scheduler, change)
				notified[t.Scheduler] = at
			}
			if at != Never && s.FirstByte > at+c.rules.Grace+c.rules.Slack {
				c.report("drain", s.ID, s.Node, "scheduler %d sent at %v, notified at %v", t.Scheduler, s.FirstByte, at)
			}
		}
	}
}

const (
	limitTolerance = 0.1
	maxStallExcuse = 500 * time.Millisecond // a later attempt is not excused by a stall of the test process
)

func (c *checker) checkLimits() {
	type usage struct {
		id    string
		at    time.Duration
		units float64
	}
	byVolume, plans := map[string][]usage{}, map[string]Plan{}
	var volumes []string
	for _, t := range c.history.Requests {
		p, ok := c.rules.Plans[t.Plan]
		if !ok || p.Cap <= 0 || len(c.attempts[t.ID]) == 0 {
			continue
		}
		if _, ok := plans[t.Volume]; !ok {
			volumes = append(volumes, t.Volume)
			plans[t.Volume] = p
		}
		byVolume[t.Volume] = append(byVolume[t.Volume], usage{t.ID, c.attempts[t.ID][0].FirstByte, t.Units})
	}
	for _, v := range volumes {
		all, p := byVolume[v], plans[v]
		slices.SortStableFunc(all, func(a, b usage) int { return cmp.Compare(a.at, b.at) })
		largest := 0.0
		for _, d := range all {
			largest = max(largest, d.units)
		}
		for i := range all {
			sum, exceeded := 0.0, false
			for _, d := range all[i:] {
				sum += d.units
				allowed := p.Burst + p.Cap*(d.at-all[i].at+c.rules.Slack).Seconds()
				if sum > allowed+max(limitTolerance*allowed, largest)+1e-9 {
					c.report("limit", d.id, "", "volume %s used %.1f units from %v to %v, limit %.1f", v, sum, all[i].at, d.at, allowed)
					exceeded = true
					break
				}
			}
			if exceeded {
				break // one violation per volume is enough
			}
		}
	}
}

func (c *checker) checkSlowStart() {
	if c.rules.SlowStartLimit <= 0 {
		return
	}
	budget := (c.rules.SlowStartLimit + 3*math.Sqrt(c.rules.SlowStartLimit) + 3) * cmp.Or(c.rules.MeanUnits, 1)
	for _, start := range c.history.SlowStarts {
		var attempts []Attempt
		for _, s := range c.history.Attempts {
			if s.Node == start.Node && s.FirstByte >= start.At && s.FirstByte <= start.At+c.rules.SlowStartWindow {
				attempts = append(attempts, s)
			}
		}
		slices.SortStableFunc(attempts, func(a, b Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
		sum := 0.0
		for _, s := range attempts {
			sum += c.requests[s.ID].Units
			answered := 0.0
			for _, o := range attempts {
				if o.EndedAt < s.FirstByte && !o.Rejected {
					answered += c.requests[o.ID].Units
				}
			}
			if sum > budget+c.rules.CreditShare*answered+1e-9 {
				c.report("cold", s.ID, s.Node, "%.1f units since the start at %v, budget %.1f", sum, start.At, budget)
				break
			}
		}
	}
}
