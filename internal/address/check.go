package address

import (
	"fmt"
	"slices"
)

// Check says which invariant does not hold; it is for tests, after any Step.
func (b *Selector) Check() error {
	used, coming, unproven, busies := 0, 0, 0, 0
	reqs := map[Req]bool{}
	for i := range b.conns {
		c := &b.conns[i]
		if c.phase == none {
			continue
		}
		used++
		if c.unproven {
			unproven++
		}
		if c.trial != (c.entry.trying == c) {
			return fmt.Errorf("connection %d: trial %v, and its address tries %v", c.id, c.trial, c.entry.trying)
		}
		if idles := slices.Contains(c.entry.idle, c); idles != (c.phase == idle) {
			return fmt.Errorf("connection %d: phase %d, idle %v", c.id, c.phase, idles)
		}
		switch c.phase {
		case connecting:
			coming++
			if b.draining || b.closing || c.entry.gone {
				return fmt.Errorf("connection %d comes up for a node or an address that goes", c.id)
			}
			if c.race != nil && !slices.Contains(b.races, c.race) {
				return fmt.Errorf("connection %d is of a race that is over", c.id)
			}
		case busy:
			busies++
			if c.req == 0 || reqs[c.req] {
				return fmt.Errorf("connection %d: request %d on none or two", c.id, c.req)
			}
			reqs[c.req] = true
		case idle:
			if c.entry.gone || b.closing {
				return fmt.Errorf("connection %d idles for a node or an address that went", c.id)
			}
		}
	}
	if used != b.connCount || coming != b.connectingCount || unproven != b.unprovenCount || used+len(b.freeSlots) != len(b.conns) {
		return fmt.Errorf("counts: %d %d %d %d, kept as %d %d %d", used, coming, unproven, len(b.freeSlots), b.connCount, b.connectingCount, b.unprovenCount)
	}
	if b.tokens < -1e-9 || b.tokens > float64(b.settings.ConnectBurst) {
		return fmt.Errorf("tokens: %v", b.tokens)
	}
	for _, w := range b.waiting {
		if reqs[w.req] {
			return fmt.Errorf("request %d is in twice", w.req)
		}
		reqs[w.req] = true
	}
	if n := len(b.waiting); n > b.settings.MaxWaiting+b.settings.MaxConns { // what is found unwritten waits again
		return fmt.Errorf("%d wait", n)
	} else if n > 0 && (b.draining || b.closing) {
		return fmt.Errorf("%d wait for a node that goes", n)
	} else if n > 0 && coming == 0 && busies == 0 && b.Next() == never {
		return fmt.Errorf("%d wait, and nothing will wake the book", n)
	}
	if (b.primary == nil) != (len(b.entries) == 0) || b.primary != nil && !slices.Contains(b.entries, b.primary) {
		return fmt.Errorf("primary %v is not on the list", b.Primary())
	}
	for _, e := range b.entries {
		if e.state != Healthy && e.state != Untried && !e.proving || e.run > b.settings.MinReturnConns || e.gone {
			return fmt.Errorf("%v: %+v", e.Addr, *e)
		}
	}
	return nil
}
