package retrydetect

import "fmt"

// Gate holds a replay's retries until their first tries have ended.
type Gate struct {
	most  int
	first map[uint64]*firstTry
}

type firstTry struct {
	open    bool
	served  bool
	waiting []uint64 // retries
	left    int      // retries still to come: the first is forgotten with the last
}

// Decision is what becomes of a retry.
type Decision uint8

// The decisions.
const (
	Wait Decision = iota // its first try is still out
	Send                 // it ended without service
	Skip                 // it was served, so that its client would not have asked again
)

// Ended is one retry that was waiting and now is decided.
type Ended struct {
	Retry    uint64
	Decision Decision
}

// NewGate makes a gate that follows so many first tries at most.
func NewGate(most int) *Gate { return &Gate{most: most, first: map[uint64]*firstTry{}} }

// Begin says that a first try was sent, and how many retries of it the recording holds. An error
// says that too many are followed: the retries are then sent as their time comes, and counted.
func (g *Gate) Begin(first uint64, retries int) error {
	if retries < 1 || g.first[first] != nil {
		return nil
	}
	if len(g.first) >= g.most {
		return fmt.Errorf("repeats: %d first tries are followed, no more", g.most)
	}
	g.first[first] = &firstTry{open: true, left: retries}
	return nil
}

// Due says that a retry's time has come.
func (g *Gate) Due(first, retry uint64) Decision {
	f := g.first[first]
	switch {
	case f == nil:
		return Send // an orphan, or beyond the bound
	case f.open:
		f.waiting = append(f.waiting, retry)
		return Wait
	}
	g.spend(first, f, 1)
	if f.served {
		return Skip
	}
	return Send
}

// End says how a first try ended, and decides the retries that wait for it.
func (g *Gate) End(first uint64, served bool, dst []Ended) []Ended {
	f := g.first[first]
	if f == nil || !f.open {
		return dst
	}
	f.open, f.served = false, served
	d := Send
	if served {
		d = Skip
	}
	for _, r := range f.waiting {
		dst = append(dst, Ended{r, d})
	}
	n := len(f.waiting)
	f.waiting = nil
	g.spend(first, f, n)
	return dst
}

func (g *Gate) spend(first uint64, f *firstTry, n int) {
	if f.left -= n; f.left <= 0 {
		delete(g.first, first)
	}
}

// Followed is how many first tries have retries to come.
func (g *Gate) Followed() int { return len(g.first) }
