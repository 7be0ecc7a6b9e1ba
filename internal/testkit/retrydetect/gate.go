package retrydetect

import "fmt"

// Gate holds back a replay's retries until their first attempts have ended.
type Gate struct {
	maxAttempts int
	attempts    map[uint64]*firstAttempt
}

type firstAttempt struct {
	inFlight  bool
	served    bool
	waiting   []uint64 // retries
	remaining int      // retries not decided yet; the first attempt is dropped with the last one
}

// Decision is what to do with a retry.
type Decision uint8

// The decisions.
const (
	Wait Decision = iota // the first attempt is still in flight
	Send                 // the first attempt failed
	Skip                 // the first attempt was served, so its client would not have retried
)

// ReleasedRetry is a waiting retry and the decision on it.
type ReleasedRetry struct {
	Retry    uint64
	Decision Decision
}

// NewGate creates a gate that tracks at most maxAttempts first attempts.
func NewGate(maxAttempts int) *Gate {
	return &Gate{maxAttempts: maxAttempts, attempts: map[uint64]*firstAttempt{}}
}

// Begin records that a first attempt was sent and how many retries of it the recording holds. It returns an error if
// maxAttempts first attempts are tracked already. The retries of this one are then sent when they are due, and the caller
// counts them.
func (g *Gate) Begin(first uint64, retries int) error {
	if retries < 1 || g.attempts[first] != nil {
		return nil
	}
	if len(g.attempts) >= g.maxAttempts {
		return fmt.Errorf("retry gate: limit of %d tracked first attempts reached", g.maxAttempts)
	}
	g.attempts[first] = &firstAttempt{inFlight: true, remaining: retries}
	return nil
}

// Due decides on a retry whose time to be sent has come. After Wait, End returns the decision.
func (g *Gate) Due(first, retry uint64) Decision {
	f := g.attempts[first]
	switch {
	case f == nil:
		return Send // its first attempt is unknown, or Begin reached the limit
	case f.inFlight:
		f.waiting = append(f.waiting, retry)
		return Wait
	}
	g.finishRetries(first, f, 1)
	if f.served {
		return Skip
	}
	return Send
}

// End records how a first attempt ended and appends the decisions on the retries that wait for it to dst.
func (g *Gate) End(first uint64, served bool, dst []ReleasedRetry) []ReleasedRetry {
	f := g.attempts[first]
	if f == nil || !f.inFlight {
		return dst
	}
	f.inFlight, f.served = false, served
	d := Send
	if served {
		d = Skip
	}
	for _, r := range f.waiting {
		dst = append(dst, ReleasedRetry{r, d})
	}
	n := len(f.waiting)
	f.waiting = nil
	g.finishRetries(first, f, n)
	return dst
}

func (g *Gate) finishRetries(first uint64, f *firstAttempt, n int) {
	if f.remaining -= n; f.remaining <= 0 {
		delete(g.attempts, first)
	}
}

// Tracked returns the number of first attempts with retries that are not decided yet.
func (g *Gate) Tracked() int { return len(g.attempts) }
