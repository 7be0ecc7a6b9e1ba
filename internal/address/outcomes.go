package address

import (
	"math"
	"slices"
)

// enqueue adds a request to those that wait for a connection, or fails it if too many wait.
func (b *Selector) enqueue(e Event) {
	if len(b.waiting) >= b.settings.MaxWaiting {
		b.emit(Action{Kind: Fail, Req: e.Req})
		return
	}
	b.newDemand = true
	b.waiting = append(b.waiting, waiter{e.Req, e.Idempotent, e.NamesShard})
}

// dropRequest removes a request that its owner has given up. If it was written, its connection is closed. A trial
// that ends this way before it showed anything may be repeated after TrialInterval.
func (b *Selector) dropRequest(e Event) {
	c := b.connByID(e.Conn)
	if c == nil || c.phase != busy || c.req != e.Req {
		b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.req == e.Req })
		return
	}
	addressEntry, trial, silenceCounted := c.entry, c.trial, c.silenceCounted
	silent := b.now-c.since >= b.silenceBound && addressEntry.heard <= c.since
	b.closeConn(c)
	switch {
	case silent && !silenceCounted:
		b.blame(addressEntry, ReasonSilent, trial)
	case trial && !silenceCounted:
		addressEntry.until = b.now + b.jitter(b.settings.TrialInterval)
	}
}

// connected handles a connection that came up. It wins its race, and the race's other connections are closed.
func (b *Selector) connected(id Conn) {
	c := b.connByID(id)
	if c == nil || c.phase != connecting {
		b.emit(Action{Kind: Close, Conn: id}) // its slot was released before
		return
	}
	b.measure(b.now - c.since)
	if r := c.race; r != nil {
		if !c.trial && c.entry.shut() && b.rank(c.entry) > b.best() { // the address was blamed while it connected
			b.closeConn(c)
			r.live--
			r.next = b.now
			return
		}
		c.race = nil
		c.anyRequest = c.trial // the race had no other address left, so any request may use it
		for i := range b.conns {
			if o := &b.conns[i]; o.phase == connecting && o.race == r {
				slow, trial, outrun := o.entry, o.trial, o.since < c.since
				b.closeConn(o)
				if outrun {
					b.blame(slow, ReasonOvertaken, trial)
				}
			}
		}
		b.endRace(r)
	}
	b.connectingCount--
	b.makeIdle(c)
}

// failed handles a connect that did not come up. A lack of local resources is not blamed on the address.
func (b *Selector) failed(id Conn, why Reason) {
	c := b.connByID(id)
	if c == nil || c.phase != connecting {
		return
	}
	addressEntry, r, trial := c.entry, c.race, c.trial
	b.releaseConn(c)
	if why == ReasonNoResource {
		addressEntry.until = max(addressEntry.until, b.now+b.jitter(b.settings.TrialInterval))
	} else {
		b.blame(addressEntry, why, trial)
	}
	if r != nil {
		r.live--
		r.stopped = r.stopped || why == ReasonNoResource
		r.next = b.now
		b.advance(r)
	}
}

// answered handles a complete answer: it judges the address by it, and keeps or closes the connection.
func (b *Selector) answered(e Event) {
	c := b.connByID(e.Conn)
	if c == nil || c.phase != busy {
		return
	}
	addressEntry, took := c.entry, b.now-c.since
	unproven, trial, silenceCounted := c.unproven, c.trial, c.silenceCounted
	if c.unproven {
		c.unproven = false
		b.unprovenCount--
	}
	c.trial, c.anyRequest, c.req = false, false, 0
	if addressEntry.trying == c {
		addressEntry.trying = nil
	}
	b.judge(addressEntry, took, e.Verdict, c.named, unproven, trial, silenceCounted)
	switch {
	case !e.KeepAlive:
		b.releaseConn(c)
	case addressEntry.gone || b.closing || addressEntry.shut() && b.rank(addressEntry) > b.best():
		b.closeConn(c)
	default:
		b.makeIdle(c)
	}
}

// broken handles a connection that ended with a request on it. A request of which nothing was written waits again, at
// the head; otherwise its owner has been told of the failure.
func (b *Selector) broken(e Event) {
	c := b.connByID(e.Conn)
	if c == nil || c.phase != busy {
		return
	}
	addressEntry, unproven, trial := c.entry, c.unproven, c.trial
	if e.Reason == ReasonUnwritten {
		b.waiting = slices.Insert(b.waiting, 0, waiter{c.req, c.safe, c.named})
		b.newDemand = true
	}
	b.releaseConn(c)
	if addressEntry.gone {
		return
	}
	// A reused connection may break because the peer closed it as idle, so a single break blames nobody.
	if addressEntry.breaks++; unproven || addressEntry.breaks > 1 {
		if e.Reason != ReasonUnwritten || unproven {
			b.blame(addressEntry, ReasonReset, trial)
		}
	} else if trial {
		addressEntry.until = b.now + b.jitter(b.settings.TrialInterval)
	}
}

// setAddresses replaces the addresses. Those that remain keep their state; busy connections of those that went finish
// their requests.
func (b *Selector) setAddresses(addrs []Addr) {
	held := map[Addr]*entry{}
	for _, e := range b.entries {
		held[e.Addr] = e
	}
	next := make([]*entry, 0, len(addrs))
	for _, i := range Interleave(addrs, b.settings.Preference) {
		e := held[addrs[i]]
		if e == nil {
			e = &entry{Addr: addrs[i], heard: math.MinInt64 / 2, tried: math.MinInt64 / 2}
		}
		delete(held, addrs[i])
		next = append(next, e)
	}
	b.entries = next
	for _, e := range held {
		e.gone = true
	}
	for i := range b.conns { // in the order of the slots, so that the same events give the same actions
		if c := &b.conns[i]; c.phase != none && c.entry.gone && c.phase != busy {
			r := c.race
			b.closeConn(c)
			if r != nil {
				r.live--
				r.next = b.now
			}
		}
	}
	if b.primary != nil && b.primary.gone {
		b.primary = nil
	}
	b.choose()
	for _, r := range slices.Clone(b.races) {
		b.advance(r)
	}
}
