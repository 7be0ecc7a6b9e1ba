package address

import "time"

// MayBeWrongNode reports whether a refusal on a connection probably does not come from this node, because its address leads
// to another node, or has served nothing lately while other addresses might. A node that is only full continues to
// serve requests by every address. It is called before the answer is given to Step.
func (b *Selector) MayBeWrongNode(now time.Duration, id Conn) bool {
	c := b.connByID(id)
	if c == nil {
		return false
	}
	b.now = max(b.now, now)
	e := c.entry
	return e.state == WrongNode || e.turned > 0 && e.why == ReasonRejecting && e.shut() || c.named && b.unserving(e)
}

// Primary is the address that requests use now, or the zero Addr.
func (b *Selector) Primary() Addr {
	if b.primary == nil {
		return Addr{}
	}
	return b.primary.Addr
}

// HasBetter reports whether another address should be used in place of this one.
func (b *Selector) HasBetter(than Addr) bool {
	if b.primary == nil || b.primary.Addr == than {
		return false
	}
	for _, e := range b.entries {
		if e.Addr == than {
			return b.rank(b.primary) == rankGood
		}
	}
	return true // it is no longer listed
}

// Waiting is the number of requests without a connection.
func (b *Selector) Waiting() int { return len(b.waiting) }

// Status is the present state of one address.
type Status struct {
	Addr    Addr
	State   State
	Primary bool
	Conns   int
	Until   time.Duration // end of its backoff
}

// Snapshot appends the status of each address, in the order of preference.
func (b *Selector) Snapshot(dst []Status) []Status {
	for _, e := range b.entries {
		dst = append(dst, Status{e.Addr, e.state, e == b.primary, e.conns, e.until})
	}
	return dst
}
