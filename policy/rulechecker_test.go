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

func (b *ruleChecker) recordAnswer(id string) {
	r := b.requests[id]
	if r == nil || r.answered {
		b.fail("%s answered twice, or not a request", id)
	}
	r.answered = true
}

func (b *ruleChecker) checkActions(actions []Action, nodes map[string]Node) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			b.checkSend(a, nodes)
		case Reject:
			r := b.requests[a.ID]
			b.recordAnswer(a.ID)
			mayRetryAnywhere := r.class == nil || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll
			if !mayRetryAnywhere && len(r.mayHaveRun) > 0 {
				b.fail("rejected %s, which may have run", a.ID)
			}
			if a.Wait < 0 || a.Wait > b.settings.MaxRetryAfter {
				b.fail("Retry-After of %v", a.Wait)
			}
		case Fail:
			b.recordAnswer(a.ID)
		case SetTimer:
			if a.Wait <= 0 {
				b.fail("timer with a wait of %v", a.Wait)
			}
			b.timers = append(b.timers, dueTimer{b.now + a.Wait, a.Tag})
		case Gossip:
			if !b.settings.MayGossip || len(a.Data) > 256 {
				b.fail("gossip where not allowed, or too large")
			}
		case CheckHealth, Cancel:
			b.fail("health check or cancellation where not allowed")
		}
	}
}

// checkSend checks a Send against the rules and records it.
func (b *ruleChecker) checkSend(a Action, nodes map[string]Node) {
	r, n := b.requests[a.ID], nodes[a.Node]
	if r == nil || r.answered || r.disconnected {
		b.fail("sent %s, which has ended or does not exist", a.ID)
	}
	if n.ID == "" {
		b.fail("sent to unlisted node %q", a.Node)
	}
	if at, ok := b.notUpSince[a.Node]; ok && b.now > at+b.settings.DrainGrace {
		b.fail("sent to %s, reported as not up at %.0f", a.Node, at)
	}
	if r.sends >= b.settings.MaxAttempts || !b.settings.MayHedge && r.inFlight > 0 {
		b.fail("attempt %d of %s with %d in flight", r.sends, a.ID, r.inFlight)
	}
	b.checkEffect(a, r, n)
	if r.sends > 0 {
		b.checkRetryBudget()
		b.retryTimes = append(b.retryTimes, b.now)
	}
	b.checkOrder(a, r)
	b.checkRateLimit(r)
	b.openAttempts[fmt.Sprint(a.ID, "#", r.sends)] = &trackedAttempt{a.ID, r.sends, n, b.now}
	r.sends++
	r.inFlight++
}

// checkEffect checks that another attempt is allowed after attempts that may have run.
func (b *ruleChecker) checkEffect(a Action, r *trackedRequest, n Node) {
	for _, f := range r.mayHaveRun {
		switch {
		case r.class.Effect == NonIdempotent:
			b.fail("non-idempotent %s sent again", a.ID)
		case r.class.Effect == IdempotentByKey && (b.now > f.sent+r.class.DedupWindow ||
			r.class.DedupScope == DedupZone && f.node.Zone != n.Zone ||
			r.class.DedupScope == DedupShard && f.node.Shard != n.Shard):
			b.fail("%s, idempotent by key, sent outside its deduplication scope or window", a.ID)
		}
	}
}

func (b *ruleChecker) checkRetryBudget() {
	if b.settings.RetryBudgetWindow <= 0 {
		return
	}
	retries, requests := 1.0, 0.0
	for _, t := range b.retryTimes {
		if t >= b.now-b.settings.RetryBudgetWindow {
			retries++
		}
	}
	for _, t := range b.requestTimes {
		if t > b.now-b.settings.RetryBudgetWindow {
			requests++
		}
	}
	if retries > b.settings.RetryBudgetMin+b.settings.RetryBudgetShare*requests+1e-9 {
		b.fail("retry %v is over the budget", retries)
	}
}

// checkOrder checks that the requests of an ordered key run one after another.
func (b *ruleChecker) checkOrder(a Action, r *trackedRequest) {
	if !r.class.Ordered || r.request.Key == "" {
		return
	}
	for _, id := range b.byKey[r.request.Key] {
		if id == a.ID {
			break
		}
		if earlier := b.requests[id]; !earlier.answered && !earlier.disconnected || earlier.inFlight > 0 {
			b.fail("%s overtakes %s", a.ID, id)
		}
	}
	if r.sends == 0 && b.now < b.keyBackoffUntil[r.request.Key] {
		b.fail("%s sent within the backoff of its key", a.ID)
	}
}

func (b *ruleChecker) checkRateLimit(r *trackedRequest) {
	if r.request.Plan != "capped" || r.sends > 0 {
		return
	}
	b.limitedUnits[r.request.Volume] += r.request.Units
	share := 1 / float64(r.request.Schedulers)
	if b.limitedUnits[r.request.Volume] > share*(40+20*(b.now-b.startedAt)/1000)+1e-6 {
		b.fail("rate limit of %s exceeded: %v", r.request.Volume, b.limitedUnits[r.request.Volume])
	}
}
