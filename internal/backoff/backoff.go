// Package backoff owns when a scheduler asks the list's service again after a watch of it ended
// or was turned away. The service is one for the whole fleet and of fixed capacity: calls wait in
// turn there, and a call that waits too long fails and was served for nothing. So what one
// scheduler may do alone (ask again in a moment) keeps the list from all when each does it.
//
// Invariants:
//   - All hosts together ask at most CallsMost times a second in the mean, however the watches end.
//   - Each call in a row that is turned away doubles the wait, up to GrowMost times the first.
//   - Waits are drawn: hosts whose watches end at one instant do not ask at one instant.
//   - A watch that spoke ends the growth: the service had room for it.
//
// It knows no clock and does no I/O. It does not decide what a list means, nor where it is asked.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// CallsMost is what all hosts may ask in a second once their watches have ended. A list of
	// some tens of nodes costs a service milliseconds; a few tens a second leave it room.
	CallsMost = 40
	// Least is the first wait of a small fleet.
	Least = 200 * time.Millisecond
	// GrowMost bounds the doubling.
	GrowMost = 8
	// Longest bounds any wait: a scheduler must hear of its nodes now and then.
	Longest = 20 * time.Second
)

// Backoff is the memory of one scheduler.
type Backoff struct {
	first  time.Duration
	factor int
	rng    *rand.Rand
}

// New makes the memory of one of so many hosts.
func New(hosts int, seed uint64) *Backoff {
	first := max(Least, time.Duration(hosts)*time.Second/CallsMost)
	return &Backoff{first: min(first, Longest), factor: 1, rng: rand.New(rand.NewPCG(seed, 0x6c697374))}
}

// Spoke notes that a watch was answered with a list or a sign of life.
func (b *Backoff) Spoke() { b.factor = 1 }

// Next is the wait before the list is asked for again; each call without Spoke between doubles it.
func (b *Backoff) Next() time.Duration {
	wait := min(b.first*time.Duration(b.factor), Longest)
	b.factor = min(2*b.factor, GrowMost)
	return wait/2 + time.Duration(b.rng.Int64N(int64(wait)))
}
