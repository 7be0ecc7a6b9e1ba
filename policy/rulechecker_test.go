package policy

import (
	"fmt"
	"testing"
)

// ruleChecker keeps its own account of what the rules forbid, apart from the scheduler under test.
type ruleChecker struct {
	t               *testing.T
	set             Settings
	now             float64
	requests        map[string]*trackedRequest
	openAttempts    map[string]*trackedAttempt
	notUpSince      map[string]float64 // when a node was told to drain or to be gone
	requestTimes    []float64
	retryTimes      []float64
	keyBackoffUntil map[string]float64
	limitedUnits    map[string]float64 // limited units sent since start, by volume
	startedAt       float64
	byKey           map[string][]string
	timers          []dueTimer
	unanswered      []string // unanswered, in order of arrival
	history         [][]Action
}

type trackedRequest struct {
	request  Request
	class    *Class
	sends    int
	inFlight int
	answered bool
	gone     bool // its client disconnected
	mayRun   []*trackedAttempt
}

type trackedAttempt struct {
	id      string
	attempt int
	node    Node
	sent    float64
}

type dueTimer struct {
	at  float64
	tag string
}

func (b *ruleChecker) fail(format string, args ...any) {
	b.t.Helper()
	b.t.Fatalf("at %.0f: %s", b.now, fmt.Sprintf(format, args...))
}

func (b *ruleChecker) answered(id string) {
	e := b.requests[id]
	if e == nil || e.answered {
		b.fail("second answer, or answer to no request: %s", id)
	}
	e.answered = true
}

func (b *ruleChecker) check(acts []Action, nodes map[string]Node) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			b.send(a, nodes)
		case Reject:
			e := b.requests[a.ID]
			b.answered(a.ID)
			lone := e.class == nil || e.class.Effect == Idempotent || e.class.Effect == IdempotentByKey && e.class.DedupScope == DedupAll
			if !lone && len(e.mayRun) > 0 {
				b.fail("rejected %s, which may have run", a.ID)
			}
			if a.Wait < 0 || a.Wait > b.set.MaxRetryAfter {
				b.fail("Retry-After of %v", a.Wait)
			}
		case Fail:
			b.answered(a.ID)
		case SetTimer:
			if a.Wait <= 0 {
				b.fail("timer %v", a.Wait)
			}
			b.timers = append(b.timers, dueTimer{b.now + a.Wait, a.Tag})
		case Gossip:
			if !b.set.MayGossip || len(a.Data) > 256 {
				b.fail("message not allowed")
			}
		case CheckHealth, Cancel:
			b.fail("health check or cancellation where not allowed")
		}
	}
}

// send checks one Send against every rule, and counts it.
func (b *ruleChecker) send(a Action, nodes map[string]Node) {
	e, n := b.requests[a.ID], nodes[a.Node]
	if e == nil || e.answered || e.gone {
		b.fail("sent %s after its end", a.ID)
	}
	if n.ID == "" {
		b.fail("sent to unlisted %q", a.Node)
	}
	if at, ok := b.notUpSince[a.Node]; ok && b.now > at+b.set.DrainGrace {
		b.fail("sent to %s, reported as not up at %.0f", a.Node, at)
	}
	if e.sends >= b.set.MaxAttempts || !b.set.MayHedge && e.inFlight > 0 {
		b.fail("attempt %d of %s with %d in flight", e.sends, a.ID, e.inFlight)
	}
	b.checkEffect(a, e, n)
	if e.sends > 0 {
		b.checkRetryBudget()
		b.retryTimes = append(b.retryTimes, b.now)
	}
	b.checkOrder(a, e)
	b.checkRateLimit(e)
	b.openAttempts[fmt.Sprint(a.ID, "#", e.sends)] = &trackedAttempt{a.ID, e.sends, n, b.now}
	e.sends++
	e.inFlight++
}

// checkEffect checks that an attempt that may have run allows another one.
func (b *ruleChecker) checkEffect(a Action, e *trackedRequest, n Node) {
	for _, f := range e.mayRun {
		switch {
		case e.class.Effect == NonIdempotent:
			b.fail("non-idempotent %s sent again", a.ID)
		case e.class.Effect == IdempotentByKey && (b.now > f.sent+e.class.DedupWindow ||
			e.class.DedupScope == DedupZone && f.node.Zone != n.Zone ||
			e.class.DedupScope == DedupShard && f.node.Shard != n.Shard):
			b.fail("%s, idempotent by key, sent outside its deduplication scope or window", a.ID)
		}
	}
}

func (b *ruleChecker) checkRetryBudget() {
	if b.set.RetryBudgetWindow <= 0 {
		return
	}
	retries, requests := 1.0, 0.0
	for _, t := range b.retryTimes {
		if t >= b.now-b.set.RetryBudgetWindow {
			retries++
		}
	}
	for _, t := range b.requestTimes {
		if t > b.now-b.set.RetryBudgetWindow {
			requests++
		}
	}
	if retries > b.set.RetryBudgetMin+b.set.RetryBudgetShare*requests+1e-9 {
		b.fail("retry %v is over the budget", retries)
	}
}

// checkOrder checks that requests of one ordered key run one after another.
func (b *ruleChecker) checkOrder(a Action, e *trackedRequest) {
	if !e.class.Ordered || e.request.Key == "" {
		return
	}
	for _, id := range b.byKey[e.request.Key] {
		if id == a.ID {
			break
		}
		if o := b.requests[id]; !o.answered && !o.gone || o.inFlight > 0 {
			b.fail("%s overtakes %s", a.ID, id)
		}
	}
	if e.sends == 0 && b.now < b.keyBackoffUntil[e.request.Key] {
		b.fail("%s sent within the backoff of its key", a.ID)
	}
}

func (b *ruleChecker) checkRateLimit(e *trackedRequest) {
	if e.request.Plan != "capped" || e.sends > 0 {
		return
	}
	b.limitedUnits[e.request.Volume] += e.request.Units
	share := 1 / float64(e.request.Schedulers)
	if b.limitedUnits[e.request.Volume] > share*(40+20*(b.now-b.startedAt)/1000)+1e-6 {
		b.fail("rate limit of %s exceeded: %v", e.request.Volume, b.limitedUnits[e.request.Volume])
	}
}
