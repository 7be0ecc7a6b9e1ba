// Package historycheck checks the history of a test run with several processes against the rules of the
// platform. The history lists requests, attempts, executions, responses and notifications, and is collected by
// the tests (see internal/testkit/cluster). Check is a pure function.
//
// The rules and their names follow. Grace, AskWithin, SlowStartWindow, CreditShare and Slack are fields of Rules, N is
// SlowStartLimit, Burst and Cap are fields of Plan.
//
//	answer     Each request that a scheduler received has exactly one complete final response, to that request,
//	           before its client's deadline. Excused: the client disconnected; the scheduler was killed, or was
//	           shutting down before any attempt was sent; a late or missing response if the scheduler was paused by
//	           a signal; a late response if the test process itself stalled.
//	unsafe     A non-idempotent request is executed at most once. It is not sent again after an attempt was
//	           received completely by a node that did not reject it.
//	two-out    Without hedging, no request has two attempts in flight at once.
//	drain      No attempt starts at a node later than Grace after its scheduler was notified that the node is
//	           draining or was removed. The scheduler counts as notified at the latest AskWithin after the list
//	           was available, or four times that (but at most 6 s, unless AskWithin is longer) after rejected calls.
//	limit      For each volume, all schedulers together stay within a token bucket of size Burst that fills at Cap,
//	           plus a tenth or the largest request, whichever is more.
//	cold       A node in slow start receives at most N + 3 sqrt(N) + 3 average requests within SlowStartWindow, plus
//	           CreditShare of the units that it has answered.
//	late       No attempt starts at a node after its request's final response or its client's disconnect. Excused: the
//	           test process stalled within 500 ms after that.
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
	Units                   float64 // of work, by which plans limit volumes
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

// Plan is a plan's limit for one volume: Cap in units per second, Burst in units.
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

// Check returns the violations, for the rule "limit" the first one of each volume and for "cold" of each slow start. Their
// order depends only on the history.
func Check(rules Rules, history History) []Violation {
	c := &checker{rules: rules, history: history, requests: map[string]Request{}, attempts: map[string][]Attempt{}, outcomes: map[string][]Outcome{}}
	for _, request := range history.Requests {
		c.requests[request.ID] = request
	}
	for _, attempt := range history.Attempts {
		c.attempts[attempt.ID] = append(c.attempts[attempt.ID], attempt)
	}
	for _, list := range c.attempts {
		slices.SortStableFunc(list, func(a, b Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	}
	for _, outcome := range history.Outcomes {
		c.outcomes[outcome.ID] = append(c.outcomes[outcome.ID], outcome)
	}
	for _, request := range history.Requests {
		if request.ParentID == "" {
			c.checkOutcome(request)
		}
		c.checkAttempts(request)
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
	return slices.ContainsFunc(all, func(iv Interval) bool { return iv.Scheduler == scheduler && iv.From <= to && from <= iv.To })
}

// harnessStalled reports whether the test process stalled between two times.
func (c *checker) harnessStalled(from, to time.Duration) bool {
	return slices.ContainsFunc(c.history.HarnessStalls, func(iv Interval) bool { return iv.From <= to && from <= iv.To })
}

func (c *checker) checkOutcome(request Request) {
	outcomes, attempts := c.outcomes[request.ID], c.attempts[request.ID]
	for _, part := range c.history.Requests { // attempts of a request's parts count as its own
		if part.ParentID == request.ID {
			attempts = append(slices.Clip(attempts), c.attempts[part.ID]...)
		}
	}
	if len(outcomes) != 1 {
		c.report("answer", request.ID, "", "%d final outcomes, want 1", len(outcomes))
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
	for _, execution := range c.history.Executions {
		if execution.ID == request.ID {
			executions++
		}
	}
	if c.rules.NonIdempotent[request.Class] && executions > 1 {
		c.report("unsafe", request.ID, "", "executed %d times", executions)
	}
	for i, attempt := range attempts {
		for _, earlier := range attempts[:i] {
			if c.rules.NonIdempotent[request.Class] && earlier.LastByte < attempt.FirstByte && !earlier.Rejected {
				c.report("unsafe", request.ID, attempt.Node, "sent again at %v, may have been executed at %s", attempt.FirstByte, earlier.Node)
			}
			if !c.rules.Hedging && earlier.EndedAt != Never && earlier.EndedAt > attempt.FirstByte+c.rules.Slack || !c.rules.Hedging && earlier.EndedAt == Never {
				c.report("two-out", request.ID, attempt.Node, "sent at %v while another attempt was in flight at %s", attempt.FirstByte, earlier.Node)
			}
		}
		for _, outcome := range c.outcomes[cmp.Or(request.ParentID, request.ID)] {
			if (outcome.Kind == Complete || outcome.Kind == Disconnected) && attempt.FirstByte > outcome.At+c.rules.Slack && !c.harnessStalled(outcome.At, min(attempt.FirstByte, outcome.At+maxStallExcuse)) {
				c.report("late", request.ID, attempt.Node, "attempt sent at %v, request ended at %v", attempt.FirstByte, outcome.At)
			}
		}
	}
}

func (c *checker) checkStrays() {
	for _, attempt := range c.history.Attempts {
		if _, ok := c.requests[attempt.ID]; !ok && attempt.ID != "" {
			c.report("stray", attempt.ID, attempt.Node, "received, but no client sent it")
		}
	}
	for _, execution := range c.history.Executions {
		if _, ok := c.requests[execution.ID]; !ok {
			c.report("stray", execution.ID, execution.Node, "executed, but no client sent it")
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
			for _, interval := range c.history.ListOutages {
				if interval.Scheduler == scheduler && interval.From <= available && available < interval.To {
					available, moved = interval.To, true
					if interval.Rejected {
						within = max(c.rules.AskWithin, min(rejectedCallFactor*c.rules.AskWithin, maxRejectedCallDelay))
					}
				}
			}
		}
		if available != Never {
			at = available + within
		}
	}
	for _, notification := range c.history.Notifications {
		if notification.Scheduler == scheduler && notification.Node == change.Node && notification.Status == change.Status && notification.At >= change.At {
			at = min(at, notification.At)
		}
	}
	for _, list := range [][]Interval{c.history.Paused, c.history.Killed} { // notifications during these are read at their end
		for _, interval := range list {
			if interval.Scheduler == scheduler && interval.From <= at && at <= interval.To {
				at = interval.To
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
		for _, attempt := range c.history.Attempts {
			request, ok := c.requests[attempt.ID]
			if attempt.Node != change.Node || !ok || attempt.FirstByte >= until {
				continue
			}
			at, known := notified[request.Scheduler]
			if !known {
				at = c.notifiedAt(request.Scheduler, change)
				notified[request.Scheduler] = at
			}
			if at != Never && attempt.FirstByte > at+c.rules.Grace+c.rules.Slack {
				c.report("drain", attempt.ID, attempt.Node, "scheduler %d sent at %v, notified at %v", request.Scheduler, attempt.FirstByte, at)
			}
		}
	}
}

const (
	limitTolerance = 0.1                    // share by which a plan's limit may be exceeded
	maxStallExcuse = 500 * time.Millisecond // a stall of the test process that begins later after a request's end excuses no attempt
)

func (c *checker) checkLimits() {
	type usage struct {
		id    string
		at    time.Duration
		units float64
	}
	byVolume, plans := map[string][]usage{}, map[string]Plan{}
	var volumes []string
	for _, request := range c.history.Requests {
		plan, ok := c.rules.Plans[request.Plan]
		if !ok || plan.Cap <= 0 || len(c.attempts[request.ID]) == 0 {
			continue
		}
		if _, ok := plans[request.Volume]; !ok {
			volumes = append(volumes, request.Volume)
			plans[request.Volume] = plan
		}
		byVolume[request.Volume] = append(byVolume[request.Volume], usage{request.ID, c.attempts[request.ID][0].FirstByte, request.Units})
	}
	for _, volume := range volumes {
		all, plan := byVolume[volume], plans[volume]
		slices.SortStableFunc(all, func(a, b usage) int { return cmp.Compare(a.at, b.at) })
		largest := 0.0
		for _, u := range all {
			largest = max(largest, u.units)
		}
		for i := range all {
			sum, exceeded := 0.0, false
			for _, u := range all[i:] {
				sum += u.units
				allowed := plan.Burst + plan.Cap*(u.at-all[i].at+c.rules.Slack).Seconds()
				if sum > allowed+max(limitTolerance*allowed, largest)+1e-9 {
					c.report("limit", u.id, "", "volume %s used %.1f units from %v to %v, limit %.1f", volume, sum, all[i].at, u.at, allowed)
					exceeded = true
					break
				}
			}
			if exceeded {
				break // only the first violation of a volume is reported
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
		for _, attempt := range c.history.Attempts {
			if attempt.Node == start.Node && attempt.FirstByte >= start.At && attempt.FirstByte <= start.At+c.rules.SlowStartWindow {
				attempts = append(attempts, attempt)
			}
		}
		slices.SortStableFunc(attempts, func(a, b Attempt) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
		sum := 0.0
		for _, attempt := range attempts {
			sum += c.requests[attempt.ID].Units
			answered := 0.0
			for _, earlier := range attempts {
				if earlier.EndedAt < attempt.FirstByte && !earlier.Rejected {
					answered += c.requests[earlier.ID].Units
				}
			}
			if sum > budget+c.rules.CreditShare*answered+1e-9 {
				c.report("cold", attempt.ID, attempt.Node, "%.1f units since the start at %v, budget %.1f", sum, start.At, budget)
				break
			}
		}
	}
}
