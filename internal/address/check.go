package address

import (
	"fmt"
	"slices"
)

// Check says which invariant does not hold; it is for tests, after any Step.
func (s *Selector) Check() error {
	used, coming, unproven, busies := 0, 0, 0, 0
	reqs := map[Req]bool{}
	for i := range s.conns {
		c := &s.conns[i]
		if c.phase == none {
			continue
		}
		used++
		if c.unproven {
			unproven++
		}
		if c.trial != (c.entry.trialConn == c) {
			return fmt.Errorf("connection %d: trial %v, and its address tries %v", c.id, c.trial, c.entry.trialConn)
		}
		if idles := slices.Contains(c.entry.idle, c); idles != (c.phase == idle) {
			return fmt.Errorf("connection %d: phase %d, idle %v", c.id, c.phase, idles)
		}
		switch c.phase {
		case connecting:
			coming++
			if s.draining || s.closing || c.entry.removed {
				return fmt.Errorf("connection %d comes up for a node or an address that goes", c.id)
			}
			if c.race != nil && !slices.Contains(s.races, c.race) {
				return fmt.Errorf("connection %d is of a race that is over", c.id)
			}
		case busy:
			busies++
			if c.req == 0 || reqs[c.req] {
				return fmt.Errorf("connection %d: request %d on none or two", c.id, c.req)
			}
			reqs[c.req] = true
		case idle:
			if c.entry.removed || s.closing {
				return fmt.Errorf("connection %d idles for a node or an address that went", c.id)
			}
		}
	}
	if used != s.connCount || coming != s.connectingCount || unproven != s.unprovenCount || used+len(s.freeSlots) != len(s.conns) {
		return fmt.Errorf("counts: %d %d %d %d, kept as %d %d %d", used, coming, unproven, len(s.freeSlots), s.connCount, s.connectingCount, s.unprovenCount)
	}
	if s.tokens < -1e-9 || s.tokens > float64(s.settings.ConnectBurst) {
		return fmt.Errorf("tokens: %v", s.tokens)
	}
	for _, w := range s.waiting {
		if reqs[w.req] {
			return fmt.Errorf("request %d is in twice", w.req)
		}
		reqs[w.req] = true
	}
	if n := len(s.waiting); n > s.settings.MaxWaiting+s.settings.MaxConns { // what is found unwritten waits again
		return fmt.Errorf("%d wait", n)
	} else if n > 0 && (s.draining || s.closing) {
		return fmt.Errorf("%d wait for a node that goes", n)
	} else if n > 0 && coming == 0 && busies == 0 && s.Next() == never {
		return fmt.Errorf("%d wait, and nothing will wake the book", n)
	}
	if (s.primary == nil) != (len(s.entries) == 0) || s.primary != nil && !slices.Contains(s.entries, s.primary) {
		return fmt.Errorf("primary %v is not on the list", s.Primary())
	}
	for _, e := range s.entries {
		if e.state != Healthy && e.state != Untried && !e.onProbation || e.timelyConns > s.settings.MinReturnConns || e.removed {
			return fmt.Errorf("%v: %+v", e.Addr, *e)
		}
	}
	return nil
}
