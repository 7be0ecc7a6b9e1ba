package address

import (
	"math"
	"slices"
	"time"
)

// race is the way to one more connection: connects to one address after the other, staggered,
// until one comes up.
type race struct {
	tried   []*entry
	live    int // connects under way
	stopped bool
	next    time.Duration // of the next connect
}

const never = time.Duration(math.MaxInt64)

// delay is the time from one connect of a race to the next.
func (b *Selector) delay() time.Duration {
	if !b.connectMeasured {
		return b.settings.Delay
	}
	return min(max(time.Duration(b.connectMean+4*b.connectDeviation), b.settings.MinDelay), b.settings.MaxDelay)
}

// measure takes the time of a connect, smoothed as RFC 6298 section 2 has it.
func (b *Selector) measure(took time.Duration) {
	x := float64(took)
	if !b.connectMeasured {
		b.connectMeasured, b.connectMean, b.connectDeviation = true, x, x/2
		return
	}
	b.connectDeviation += (math.Abs(b.connectMean-x) - b.connectDeviation) / 4
	b.connectMean += (x - b.connectMean) / 8
}

// token says whether a connect may start now.
func (b *Selector) token() bool {
	b.tokens = min(b.tokens+(b.now-b.tokensFilledAt).Seconds()*b.settings.ConnectRate, float64(b.settings.ConnectBurst))
	b.tokensFilledAt = b.now
	return b.tokens >= 1
}

// room says whether one more connection may be opened. The last is for trials and second
// opinions: hung ones must not take the place of the one that shows the way out.
func (b *Selector) room(trial bool) bool {
	return len(b.freeSlots) > 1 || trial && len(b.freeSlots) > 0
}

// tokenAt is when the next one may, if none may now.
func (b *Selector) tokenAt() time.Duration {
	return b.now + time.Duration(math.Ceil((1-b.tokens)/b.settings.ConnectRate*1e9))
}

// candidate is the address that a race goes to next, or nil.
func (b *Selector) candidate(r *race) *entry {
	var best *entry
	down := b.down()
	for _, e := range b.entries {
		rank := b.rank(e)
		switch {
		case slices.Contains(r.tried, e) || e.trying != nil && b.guarded(e):
			continue
		case rank == rankDown && !(down && e.state == Down):
			continue
		case best == nil:
			best = e
		case down: // in turn, so that none is starved
			if e.tried < best.tried {
				best = e
			}
		case rank < b.rank(best) || rank == b.rank(best) && e == b.primary:
			best = e
		}
	}
	return best
}

// startRace opens the way to one more connection. Where it may not, wait says whether what
// waits is to wait on.
func (b *Selector) startRace() (started, wait bool) {
	switch {
	case !b.room(b.down()):
		return false, b.connectingCount > 0
	case b.down() && (b.now < b.nextDownTrial || b.connectingCount > 0 || b.tryingAny()):
		return false, false
	case b.unprovenCount >= b.maxUnproven:
		return false, true
	}
	if b.down() {
		b.nextDownTrial = b.now + b.jitter(b.settings.DownTrialInterval)
	}
	r := &race{}
	if n := len(b.freeRaces); n > 0 {
		r, b.freeRaces = b.freeRaces[n-1], b.freeRaces[:n-1]
	}
	*r = race{tried: r.tried[:0], next: b.now}
	if b.candidate(r) == nil {
		b.freeRaces = append(b.freeRaces, r)
		return false, false
	}
	b.races = append(b.races, r)
	b.advance(r)
	return true, true
}

func (b *Selector) tryingAny() bool {
	for _, e := range b.entries {
		if e.trying != nil {
			return true
		}
	}
	return false
}

// advance leads a race on: the next connect if it is due, or its end.
func (b *Selector) advance(r *race) {
	for r.next <= b.now {
		r.next = never
		e := b.candidate(r)
		idle := len(b.waiting) == 0 && r.live == 0 // nobody waits for it any more
		switch {
		case r.stopped || e == nil || idle || !b.room(b.guarded(e)):
			if r.live == 0 {
				b.lose(r)
			}
			return
		case b.down() && b.connectingCount > 0:
			return // one at a time; its failure leads on
		case !b.token():
			r.next = b.tokenAt()
			return
		}
		r.tried = append(r.tried, e)
		r.live++
		b.startConnect(e, r, b.guarded(e))
		if !b.down() {
			r.next = b.now + b.delay()
		}
	}
}

// lose ends a race that brought nothing. One of those that wait ends with it.
func (b *Selector) lose(r *race) {
	b.endRace(r)
	if len(b.waiting) > len(b.races) {
		b.emit(Action{Kind: Fail, Req: b.waiting[0].req})
		b.waiting = slices.Delete(b.waiting, 0, 1)
	}
}

// hurry leads on the races that wait for a connect to an address that has since been blamed.
func (b *Selector) hurry() {
	best := b.best()
	for _, r := range b.races {
		hope := false
		for i := range b.conns {
			c := &b.conns[i]
			hope = hope || c.phase == connecting && c.race == r && b.rank(c.entry) <= best
		}
		if !hope {
			r.next = min(r.next, b.now)
		}
	}
}

func (b *Selector) endRace(r *race) {
	if i := slices.Index(b.races, r); i >= 0 {
		b.races = slices.Delete(b.races, i, i+1)
		b.freeRaces = append(b.freeRaces, r)
	}
}

func (b *Selector) dropRaces() {
	b.freeRaces = append(b.freeRaces, b.races...)
	b.races = b.races[:0]
}

// serve brings what waits and what is idle together, and opens the way to more.
func (b *Selector) serve() {
	if b.draining || b.closing {
		b.failWaiting(0)
		return
	}
	taken := 0
	for taken < len(b.waiting) {
		c := b.pick(b.waiting[taken].safe)
		if c == nil {
			break
		}
		b.write(c, b.waiting[taken])
		taken++
	}
	b.waiting = b.waiting[:copy(b.waiting, b.waiting[taken:])]
	if len(b.waiting) == 0 {
		return
	}
	for _, e := range b.entries { // a trial may suit one that came later
		if c := e.trying; c != nil && c.phase == idle {
			if i := slices.IndexFunc(b.waiting, func(w waiter) bool { return w.safe }); i >= 0 {
				b.removeIdle(c)
				b.write(c, b.waiting[i])
				b.waiting = slices.Delete(b.waiting, i, i+1)
			}
		}
	}
	for len(b.races) < len(b.waiting) {
		started, wait := b.startRace()
		if !started {
			if !wait {
				b.failWaiting(len(b.races))
			}
			return
		}
	}
}

// pick takes an idle connection for a request: of an address under trial, of the primary, of
// another good one, or of one that only refuses new ones.
func (b *Selector) pick(safe bool) *conn {
	if b.primary == nil {
		return nil
	}
	for _, e := range b.entries {
		if c := e.trying; c != nil && c.phase == idle &&
			(safe || c.anyRequest || b.now-c.since >= b.settings.TrialPatience || b.best() > rankGood) {
			return b.take(e, c)
		}
	}
	if o := b.second(); o != nil {
		if c := b.top(o); c != nil {
			return c
		}
		if b.nextSecondOpinion <= b.now && b.room(true) && b.token() {
			b.nextSecondOpinion = b.now + b.settings.TrialInterval
			b.startConnect(o, nil, false)
		}
	}
	if c := b.top(b.primary); c != nil { // with none better, or its idle ones would be closed
		return c
	}
	var from *entry
	for _, e := range b.entries {
		if len(e.idle) == 0 || e == b.primary || e.trying != nil && len(e.idle) == 1 && e.idle[0] == e.trying {
			continue
		}
		if b.rank(e) <= b.best() || e.refuses {
			from = e
			break
		}
	}
	if from == nil {
		return nil
	}
	b.home(from)
	return b.top(from)
}

// second is the address to be asked for a second opinion on the primary, one request at a time.
func (b *Selector) second() *entry {
	if b.primary.doubted == 0 || b.primary.refuted > 0 {
		return nil
	}
	var o *entry
	for _, e := range b.entries {
		if e != b.primary && b.rank(e) == rankGood && e.trying == nil {
			o = e
			break
		}
	}
	if o == nil {
		return nil
	}
	for i := range b.conns {
		if c := &b.conns[i]; c.entry == o && c.phase == busy && c.since >= b.primary.doubted {
			return nil // asked
		}
	}
	return o
}

// top takes the connection of an address that was used last.
func (b *Selector) top(e *entry) *conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if c := e.idle[i]; c != e.trying {
			return b.take(e, c)
		}
	}
	return nil
}

func (b *Selector) take(e *entry, c *conn) *conn {
	if n := len(e.idle) - 1; n >= 0 && e.idle[n] == c {
		e.idle = e.idle[:n]
	} else {
		b.removeIdle(c)
	}
	return c
}

// home opens a connection to the primary where work goes by kept ones of a less preferred
// address: one at a time, so that a return is no burst of connects.
func (b *Selector) home(from *entry) {
	if b.rank(b.primary) != rankGood || b.now < b.nextHomeConnect || !b.room(false) ||
		slices.Index(b.entries, b.primary) > slices.Index(b.entries, from) {
		return
	}
	for i := range b.conns {
		if c := &b.conns[i]; c.phase == connecting && c.entry == b.primary {
			return
		}
	}
	if b.token() {
		b.nextHomeConnect = b.now + b.settings.TrialInterval
		b.startConnect(b.primary, nil, false)
	}
}

func (b *Selector) write(c *conn, w waiter) {
	c.phase, c.since, c.req, c.safe, c.named, c.silenceCounted = busy, b.now, w.req, w.safe, w.named, false
	b.nextSilenceCheck = min(b.nextSilenceCheck, b.now+min(b.silenceBound, b.patience()))
	b.emit(Action{Kind: Write, Conn: c.id, Req: w.req})
}
