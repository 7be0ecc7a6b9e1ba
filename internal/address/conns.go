package address

import (
	"slices"
	"time"
)

// phase is where a connection stands.
type phase uint8

// The phases. none marks a free slot.
const (
	none phase = iota
	connecting
	idle
	busy
)

// conn is one slot for a connection.
type conn struct {
	id             Conn
	entry          *entry
	phase          phase
	trial          bool          // the only connection by which an address is tried again
	anyRequest     bool          // a trial that any request may carry
	unproven       bool          // without an answer yet
	silenceCounted bool          // its address has been blamed for its silence
	safe           bool          // the request on it may be repeated
	named          bool          // the request on it names a shard
	req            Req           // while busy
	race           *race         // while connecting; nil: belongs to no race
	since          time.Duration // start of the phase, or the last sign of life while busy
	generation     uint64        // of the slot; makes the id differ from those of earlier connections in it
}

// connByID is the connection with that id, or nil if it is over.
func (b *Selector) connByID(id Conn) *conn {
	if i := int(id&0xffff) - 1; i >= 0 && i < len(b.conns) && b.conns[i].phase != none && b.conns[i].id == id {
		return &b.conns[i]
	}
	return nil
}

// startConnect starts a connect. The caller has checked that there is a free slot and a token.
func (b *Selector) startConnect(e *entry, r *race, trial bool) *conn {
	i := b.freeSlots[len(b.freeSlots)-1]
	b.freeSlots = b.freeSlots[:len(b.freeSlots)-1]
	c := &b.conns[i]
	generation := c.generation + 1
	*c = conn{id: Conn(generation<<16 | uint64(i+1)), entry: e, phase: connecting, trial: trial, unproven: true, race: r, since: b.now, generation: generation}
	b.connCount++
	b.connectingCount++
	b.unprovenCount++
	b.tokens--
	e.conns++
	e.tried = b.now
	if trial {
		e.trying = c
	}
	b.emit(Action{Kind: Connect, Conn: c.id, Addr: e.Addr})
	return c
}

// releaseConn removes a connection and frees its slot. It does not close it.
func (b *Selector) releaseConn(c *conn) {
	if c.phase == connecting {
		b.connectingCount--
	}
	if c.unproven {
		b.unprovenCount--
	}
	if c.entry.trying == c {
		c.entry.trying = nil
	}
	c.entry.conns--
	b.connCount--
	b.freeSlots = append(b.freeSlots, int(c.id&0xffff)-1)
	*c = conn{generation: c.generation}
}

// closeConn closes a connection and removes it.
func (b *Selector) closeConn(c *conn) {
	if c.phase == idle {
		b.removeIdle(c)
	}
	b.emit(Action{Kind: Close, Conn: c.id})
	b.releaseConn(c)
}

// removeIdle takes a connection out of its address's idle ones.
func (b *Selector) removeIdle(c *conn) {
	if i := slices.Index(c.entry.idle, c); i >= 0 {
		c.entry.idle = slices.Delete(c.entry.idle, i, i+1)
	}
}

// makeIdle adds a connection to its address's idle ones.
func (b *Selector) makeIdle(c *conn) {
	c.phase, c.since, c.req = idle, b.now, 0
	c.entry.idle = append(c.entry.idle, c)
}

// stopConnecting closes all connections that are connecting, and fails all waiting requests.
func (b *Selector) stopConnecting() {
	for i := range b.conns {
		if c := &b.conns[i]; c.phase == connecting {
			b.closeConn(c)
		}
	}
	b.dropRaces()
	b.failWaiting(0)
}

// failWaiting fails all waiting requests except the first keep ones.
func (b *Selector) failWaiting(keep int) {
	for _, w := range b.waiting[min(keep, len(b.waiting)):] {
		b.emit(Action{Kind: Fail, Req: w.req})
	}
	b.waiting = b.waiting[:min(keep, len(b.waiting))]
}
