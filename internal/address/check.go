package address

import (
	"errors"
	"fmt"
	"slices"
)

// connTotals counts connections by phase.
type connTotals struct {
	conns, connecting, unproven, inUse int
	requests                           map[Req]bool // on busy connections
}

// Check returns an error if an invariant does not hold. Tests call it after any Step.
func (s *Selector) Check() error {
	totals := connTotals{requests: map[Req]bool{}}
	for i := range s.conns {
		if c := &s.conns[i]; c.phase != unused {
			if err := s.checkConn(c, &totals); err != nil {
				return fmt.Errorf("connection %d: %w", c.id, err)
			}
		}
	}
	if totals.conns != s.connCount || totals.connecting != s.connectingCount || totals.unproven != s.unprovenCount || totals.conns+len(s.freeSlots) != len(s.conns) {
		return fmt.Errorf("counted %+v and %d free slots; stored counts are %d, %d, %d", totals, len(s.freeSlots), s.connCount, s.connectingCount, s.unprovenCount)
	}
	if s.connectTokens < -1e-9 || s.connectTokens > float64(s.settings.ConnectBurst) {
		return fmt.Errorf("%v connect tokens are out of bounds", s.connectTokens)
	}
	if err := s.checkWaiting(totals); err != nil {
		return err
	}
	return s.checkEntries()
}

// checkConn checks a connection and adds it to the totals.
func (s *Selector) checkConn(c *conn, totals *connTotals) error {
	totals.conns++
	if c.unproven {
		totals.unproven++
	}
	if c.trial != (c.entry.trialConn == c) {
		return fmt.Errorf("trial is %v, but the trial connection of its address is %v", c.trial, c.entry.trialConn)
	}
	if listed := slices.Contains(c.entry.idle, c); listed != (c.phase == idle) {
		return fmt.Errorf("phase %d, listed as idle: %v", c.phase, listed)
	}
	switch c.phase {
	case connecting:
		totals.connecting++
		if s.draining || s.closing || c.entry.removed {
			return errors.New("connecting although its node drains or its address was removed")
		}
		if c.race != nil && !slices.Contains(s.races, c.race) {
			return errors.New("connecting for a race that is over")
		}
	case busy:
		totals.inUse++
		if c.req == 0 || totals.requests[c.req] {
			return fmt.Errorf("request %d is on two connections, or a busy connection has no request", c.req)
		}
		totals.requests[c.req] = true
	case idle, resting:
		if c.phase == resting {
			totals.inUse++ // ConnRested follows
		}
		if c.entry.removed || s.closing {
			return errors.New("idle although its node or address was removed")
		}
	}
	return nil
}

func (s *Selector) checkWaiting(totals connTotals) error {
	for _, w := range s.waiting {
		if totals.requests[w.req] {
			return fmt.Errorf("request %d waits twice, or is written", w.req)
		}
		totals.requests[w.req] = true
	}
	n := len(s.waiting)
	switch {
	case n > s.settings.MaxWaiting+s.settings.MaxConns: // requests that could not be written are queued again
		return fmt.Errorf("%d requests wait", n)
	case n > 0 && (s.draining || s.closing):
		return fmt.Errorf("%d requests wait for a node that drains or was removed", n)
	case n > 0 && totals.connecting == 0 && totals.inUse == 0 && s.Next() == never:
		return fmt.Errorf("%d requests wait, but there is no connect, no request in flight and no timer", n)
	}
	return nil
}

func (s *Selector) checkEntries() error {
	if (s.primary == nil) != (len(s.entries) == 0) || s.primary != nil && !slices.Contains(s.entries, s.primary) {
		return fmt.Errorf("primary %v is not listed", s.Primary())
	}
	for _, e := range s.entries {
		if e.state != Healthy && e.state != Untried && !e.onProbation || e.timelyConns > s.settings.MinReturnConns || e.removed {
			return fmt.Errorf("%v: %+v", e.Addr, *e)
		}
	}
	return nil
}
