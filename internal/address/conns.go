package address

import (
	"slices"
	"time"
)

// phase is the state of a connection slot.
type phase uint8

// The phases. A slot in the phase unused is free.
const (
	unused phase = iota
	connecting
	idle
	busy
	resting // after a response, until ConnRested
)

// conn is a slot for one connection.
type conn struct {
	id             Conn
	entry          *entry
	phase          phase
	trial          bool          // the connection tests whether its address has recovered
	anyRequest     bool          // a trial that may carry any request
	unproven       bool          // no response was received on it so far
	silenceCounted bool          // its silence was recorded as a fault
	idempotent     bool          // the request on it may be repeated
	namesShard     bool          // the request on it names a shard
	req            Req           // while busy
	race           *race         // while connecting; nil: the connect belongs to no race
	since          time.Duration // start of the phase or, while busy, the last time data was received
	generation     uint64        // of the slot; distinguishes the ids of successive connections in one slot
}

// connByID returns the connection with the given id, or nil if it was released.
func (s *Selector) connByID(id Conn) *conn {
	if i := int(id&0xffff) - 1; i >= 0 && i < len(s.conns) && s.conns[i].phase != unused && s.conns[i].id == id {
		return &s.conns[i]
	}
	return nil
}

// startConnect starts a connect. The caller has checked that there is a free slot and a token.
func (s *Selector) startConnect(e *entry, r *race, trial bool) {
	i := s.freeSlots[len(s.freeSlots)-1]
	s.freeSlots = s.freeSlots[:len(s.freeSlots)-1]
	c := &s.conns[i]
	generation := c.generation + 1
	*c = conn{id: Conn(generation<<16 | uint64(i+1)), entry: e, phase: connecting, trial: trial, unproven: true, race: r, since: s.now, generation: generation}
	s.connCount++
	s.connectingCount++
	s.unprovenCount++
	s.connectTokens--
	e.conns++
	e.lastConnect = s.now
	if trial {
		e.trialConn = c
	}
	s.emit(Action{Kind: Connect, Conn: c.id, Addr: e.Addr})
}

// releaseConn removes a connection and frees its slot. It does not close it.
func (s *Selector) releaseConn(c *conn) {
	if c.phase == connecting {
		s.connectingCount--
	}
	if c.unproven {
		s.unprovenCount--
	}
	if c.entry.trialConn == c {
		c.entry.trialConn = nil
	}
	c.entry.conns--
	s.connCount--
	s.freeSlots = append(s.freeSlots, int(c.id&0xffff)-1)
	*c = conn{generation: c.generation}
}

// closeConn closes a connection and removes it.
func (s *Selector) closeConn(c *conn) {
	if c.phase == idle {
		s.removeIdle(c)
	}
	s.emit(Action{Kind: Close, Conn: c.id})
	s.releaseConn(c)
}

// removeIdle removes a connection from the idle ones of its address.
func (s *Selector) removeIdle(c *conn) {
	if i := slices.Index(c.entry.idle, c); i >= 0 {
		c.entry.idle = slices.Delete(c.entry.idle, i, i+1)
	}
}

// makeIdle adds a connection to the idle ones of its address.
func (s *Selector) makeIdle(c *conn) {
	c.phase, c.since, c.req = idle, s.now, 0
	c.entry.idle = append(c.entry.idle, c)
}

// stopConnecting closes all connections that are connecting, and fails all waiting requests.
func (s *Selector) stopConnecting() {
	for i := range s.conns {
		if c := &s.conns[i]; c.phase == connecting {
			s.closeConn(c)
		}
	}
	s.dropRaces()
	s.failWaiting(0)
}

// failWaiting fails all waiting requests except the first keep ones.
func (s *Selector) failWaiting(keep int) {
	for _, w := range s.waiting[min(keep, len(s.waiting)):] {
		s.emit(Action{Kind: Fail, Req: w.req})
	}
	s.waiting = s.waiting[:min(keep, len(s.waiting))]
}
