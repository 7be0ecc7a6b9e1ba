package address

import (
	"fmt"
	"time"
)

// State is what is known of an address.
type State uint8

// The states.
const (
	Untried State = iota
	Healthy
	Suspect     // silent, broken connections, or all requests rejected: the fault may be the address's or the node's
	Down        // its connects or its last trial failed
	WrongNode   // it leads to another node
	Unsupported // this machine does not support its address family
	stateCount
)

var stateNames = [stateCount]string{"untried", "good", "suspect", "down", "wrong", "absent"}

func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprint("state ", uint8(s))
}

// entry is one address of the node.
type entry struct {
	Addr
	state            State
	reason           Reason        // of the last fault
	removed          bool          // no longer in the list
	onProbation      bool          // recovered, but with too few timely connections so far
	onlyConnectsFail bool          // only new connects fail, so established connections may be used
	failures         int           // in a row, for the backoff
	backoffUntil     time.Duration // for a healthy address, the time of its next trial

	conns       int
	idle        []*conn // the most recently used one last
	trialConn   *conn
	lastConnect time.Duration

	timelyConns       int // connections in a row whose first response was timely
	breaksInRow       int // connections broken since the last response
	rejectionsInRow   int // requests rejected since the last served one
	lastServed        time.Duration
	lastResponse      time.Duration
	usualResponseTime float64       // smoothed, in nanoseconds; 0: not measured
	crossCheckSince   time.Duration // start of the cross-check of a silent address; 0: there is none
	suspectAt         time.Duration // another address has responded, so this one is suspect if still silent at this time; 0: not set
}

// The ranks of addresses, the best first.
const (
	rankGood = iota
	rankProbation
	rankSuspect
	rankBackoffOver // down, leads to another node or unsupported, and its backoff has ended
	rankDown        // the same, and its backoff has not ended
)

// rank returns how well an address can serve now.
func (s *Selector) rank(e *entry) int {
	switch e.state {
	case Untried:
		return rankGood
	case Healthy:
		if e.onProbation {
			return rankProbation
		}
		return rankGood
	case Suspect:
		return rankSuspect
	}
	if s.now >= e.backoffUntil {
		return rankBackoffOver
	}
	return rankDown
}

// unusable reports whether connections of the address cannot be used.
func (e *entry) unusable() bool {
	return (e.state == Suspect || e.state == Down || e.state == WrongNode) && !e.onlyConnectsFail
}

// bestRank returns the rank of the best address.
func (s *Selector) bestRank() int {
	best := rankDown
	for _, e := range s.entries {
		best = min(best, s.rank(e))
	}
	return best
}

// allDown reports whether no address is known to be usable.
func (s *Selector) allDown() bool { return s.bestRank() >= rankBackoffOver }

// isTrialOnly reports whether an address may have only one connection at a time, for a trial.
func (s *Selector) isTrialOnly(e *entry) bool {
	r := s.rank(e)
	return r >= rankBackoffOver || r > s.bestRank()
}

// hasAlternative reports whether another address has the rank of a healthy address.
func (s *Selector) hasAlternative(e *entry) bool {
	for _, o := range s.entries {
		if o != e && s.rank(o) == rankGood {
			return true
		}
	}
	return false
}
