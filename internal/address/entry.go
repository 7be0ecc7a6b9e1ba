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
	Suspect     // silent, breaking, or turning all away: it may be the address or the node
	Down        // its connects fail, or its trial did
	WrongNode   // it leads to another node
	Unsupported // this machine lacks its family
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
	state        State
	reason       Reason        // of the last fault
	removed      bool          // the list has it no longer
	onProbation  bool          // healthy again, but with too few timely connections yet
	connectsFail bool          // only connects fail: the connections that there are may be used
	failures     int           // in a row, for the backoff
	backoffUntil time.Duration // also the time of the next trial of a healthy address

	conns       int
	idle        []*conn // the last used one at the end
	trialConn   *conn
	lastConnect time.Duration

	timelyConns       int // connections in a row whose first response came in time
	breaksInRow       int // connections broken since the last response
	rejectionsInRow   int // requests rejected since the last served one
	lastServed        time.Duration
	lastResponse      time.Duration
	usualResponseTime float64       // smoothed, in nanoseconds; 0: none measured
	crossCheckSince   time.Duration // silent for so long that another address is asked; 0: not
	suspectAt         time.Duration // another address has responded meanwhile: suspect if silent at this time; 0: not
}

// The ranks of addresses, the best first.
const (
	rankGood = iota
	rankProbation
	rankSuspect
	rankBackoffOver // down, and a trial is due
	rankDown
)

// rank is how well an address can serve now.
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

// unusable reports whether connections of the address are of no use.
func (e *entry) unusable() bool {
	return (e.state == Suspect || e.state == Down || e.state == WrongNode) && !e.connectsFail
}

// bestRank is the rank of the best address.
func (s *Selector) bestRank() int {
	best := rankDown
	for _, e := range s.entries {
		best = min(best, s.rank(e))
	}
	return best
}

// allDown reports whether no address is known to be of use.
func (s *Selector) allDown() bool { return s.bestRank() >= rankBackoffOver }

// isTrialOnly reports whether an address takes one connection at a time, for a trial.
func (s *Selector) isTrialOnly(e *entry) bool {
	r := s.rank(e)
	return r >= rankBackoffOver || r > s.bestRank()
}

// hasAlternative reports whether another address has the rank of a healthy one.
func (s *Selector) hasAlternative(e *entry) bool {
	for _, o := range s.entries {
		if o != e && s.rank(o) == rankGood {
			return true
		}
	}
	return false
}
