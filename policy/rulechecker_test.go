package policy

import (
	"fmt"
	"testing"
)

// ruleChecker checks the actions of a scheduler against the rules, with bookkeeping of its own.
type ruleChecker struct {
	t               *testing.T
	settings        Settings
	now             float64
	requests        map[string]*trackedRequest
	openAttempts    map[string]*trackedAttempt
	notUpSince      map[string]float64 // when a node was first reported as draining or removed
	requestTimes    []float64
	retryTimes      []float64
	keyBackoffUntil map[string]float64
	limitedUnits    map[string]float64 // units sent since the start on the plan with a rate limit, by volume
	startedAt       float64
	byKey           map[string][]string
	timers          []dueTimer
	unanswered      []string // requests without an answer, in order of arrival
	history         [][]Action
}

type trackedRequest struct {
	request      Request
	class        *Class
	sends        int
	inFlight     int
	answered     bool
	disconnected bool
	mayHaveRun   []*trackedAttempt
}

type trackedAttempt struct {
	id      string
	attempt int
	node    Node
	sentAt  float64
}

type dueTimer struct {
	at  float64
	tag string
}

func (c *ruleChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("at %.0f: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *ruleChecker) recordAnswer(id string) {
	r := c.requests[id]
	if r == nil || r.answered {
		c.fail("%s answered twice, or not a request", id)
	}
	r.answered = true
}

func (c *ruleChecker) checkActions(actions []Action, nodes map[string]Node) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			c.checkSend(a, nodes)
		case Reject:
			r := c.requests[a.ID]
			c.recordAnswer(a.ID)
			if !c.clientMayRepeat(r, a.Wait) {
				c.fail("rejected %s, which may have run", a.ID)
			}
			if a.Wait < 0 || a.Wait > c.settings.MaxRetryAfter {
				c.fail("Retry-After of %v", a.Wait)
			}
		case Fail:
			c.recordAnswer(a.ID)
		case SetTimer:
			if a.Wait <= 0 {
				c.fail("timer with a wait of %v", a.Wait)
			}
			c.timers = append(c.timers, dueTimer{c.now + a.Wait, a.Tag})
		case Gossip:
			if !c.settings.MayGossip || len(a.Data) > 256 {
				c.fail("gossip where not allowed, or too large")
			}
		case CheckHealth, Cancel:
			c.fail("health check or cancellation where not allowed")
		}
	}
}

// clientMayRepeat reports whether the client of a rejected request may send it again after a wait. Its repeat may come later by the way
// and a scheduler that is held up.
func (c *ruleChecker) clientMayRepeat(r *trackedRequest, wait float64) bool {
	const delayMs = 200
	if r.class == nil || r.class.Effect == Idempotent {
		return true
	}
	for _, f := range r.mayHaveRun {
		isDiscarded := r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll && c.settings.ClientsKeepKeys &&
			c.now+wait+delayMs <= f.sentAt+r.class.DedupWindow
		if !isDiscarded {
			return false
		}
	}
	return true
}

// checkSend checks a Send against the rules and records it.
func (c *ruleChecker) checkSend(a Action, nodes map[string]Node) {
	r, n := c.requests[a.ID], nodes[a.Node]
	if r == nil || r.answered || r.disconnected {
		c.fail("sent %s, which has ended or does not exist", a.ID)
	}
	if n.ID == "" {
		c.fail("sent to unlisted node %q", a.Node)
	}
	if at, ok := c.notUpSince[a.Node]; ok && c.now > at+c.settings.DrainGrace {
		c.fail("sent to %s, reported as not up at %.0f", a.Node, at)
	}
	if r.sends >= c.settings.MaxAttempts || !c.settings.MayHedge && r.inFlight > 0 {
		c.fail("attempt %d of %s with %d in flight", r.sends, a.ID, r.inFlight)
	}
	c.checkEffect(a, r, n)
	if r.sends > 0 {
		c.checkRetryBudget()
		c.retryTimes = append(c.retryTimes, c.now)
	}
	c.checkOrder(a, r)
	c.checkRateLimit(r)
	c.openAttempts[fmt.Sprint(a.ID, "#", r.sends)] = &trackedAttempt{a.ID, r.sends, n, c.now}
	r.sends++
	r.inFlight++
}

// checkEffect checks that another attempt is allowed after attempts that may have run.
func (c *ruleChecker) checkEffect(a Action, r *trackedRequest, n Node) {
	for _, f := range r.mayHaveRun {
		switch {
		case r.class.Effect == NonIdempotent:
			c.fail("non-idempotent %s sent again", a.ID)
		case r.class.Effect == IdempotentByKey && (c.now > f.sentAt+r.class.DedupWindow ||
			r.class.DedupScope == DedupZone && f.node.Zone != n.Zone ||
			r.class.DedupScope == DedupShard && f.node.Shard != n.Shard):
			c.fail("%s, idempotent by key, sent outside its deduplication scope or window", a.ID)
		}
	}
}

func (c *ruleChecker) checkRetryBudget() {
	if c.settings.RetryBudgetWindow <= 0 {
		return
	}
	retries, requests := 1.0, 0.0
	for _, t := range c.retryTimes {
		if t >= c.now-c.settings.RetryBudgetWindow {
			retries++
		}
	}
	for _, t := range c.requestTimes {
		if t > c.now-c.settings.RetryBudgetWindow {
			requests++
		}
	}
	if retries > c.settings.RetryBudgetMin+c.settings.RetryBudgetShare*requests+1e-9 {
		c.fail("retry %v is over the budget", retries)
	}
}

// checkOrder checks that the requests of an ordered key run one after another.
func (c *ruleChecker) checkOrder(a Action, r *trackedRequest) {
	if !r.class.Ordered || r.request.Key == "" {
		return
	}
	for _, id := range c.byKey[r.request.Key] {
		if id == a.ID {
			break
		}
		if earlier := c.requests[id]; !earlier.answered && !earlier.disconnected || earlier.inFlight > 0 {
			c.fail("%s overtakes %s", a.ID, id)
		}
	}
	if r.sends == 0 && c.now < c.keyBackoffUntil[r.request.Key] {
		c.fail("%s sent within the backoff of its key", a.ID)
	}
}

func (c *ruleChecker) checkRateLimit(r *trackedRequest) {
	if r.request.Plan != "capped" || r.sends > 0 {
		return
	}
	c.limitedUnits[r.request.Volume] += r.request.Units
	share := 1 / float64(r.request.Schedulers)
	if c.limitedUnits[r.request.Volume] > share*(40+20*(c.now-c.startedAt)/1000)+1e-6 {
		c.fail("rate limit of %s exceeded: %v", r.request.Volume, c.limitedUnits[r.request.Volume])
	}
}
