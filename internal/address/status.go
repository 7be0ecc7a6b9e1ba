package address

import "time"

// MayBeWrongNode reports whether a rejection on a connection probably does not come from this node: its address leads to
// another node, or has recently served nothing while another address is healthy. A node that is only short of capacity still
// serves some requests on every address. MayBeWrongNode is called before the response is passed to Step.
func (s *Selector) MayBeWrongNode(now time.Duration, id Conn) bool {
	c := s.connByID(id)
	if c == nil {
		return false
	}
	s.now = max(s.now, now)
	e := c.entry
	return e.state == WrongNode || e.rejectionsInRow > 0 && e.reason == ReasonRejecting && e.unusable() || c.namesShard && s.servesNothing(e)
}

// Primary returns the address that requests use now, or the zero Addr.
func (s *Selector) Primary() Addr {
	if s.primary == nil {
		return Addr{}
	}
	return s.primary.Addr
}

// HasBetter reports whether another address should be used instead of this one.
func (s *Selector) HasBetter(current Addr) bool {
	if s.primary == nil || s.primary.Addr == current {
		return false
	}
	for _, e := range s.entries {
		if e.Addr == current {
			return s.rank(s.primary) == rankGood
		}
	}
	return true // the address is no longer listed
}

// Waiting returns the number of requests that wait for a connection.
func (s *Selector) Waiting() int { return len(s.waiting) }

// Status is the present state of one address.
type Status struct {
	Addr    Addr
	State   State
	Primary bool
	Conns   int
	Until   time.Duration // end of its backoff
}

// AppendStatus appends the status of each address to dst, in the order of preference.
func (s *Selector) AppendStatus(dst []Status) []Status {
	for _, e := range s.entries {
		dst = append(dst, Status{e.Addr, e.state, e == s.primary, e.conns, e.backoffUntil})
	}
	return dst
}
