// Package backoff owns when a scheduler asks the list's service again after a watch of it ended
// or was turned away. The service is one for the whole fleet and of fixed capacity: calls wait in
// turn there, and a call that waits too long fails and was served for nothing. So what one
// scheduler may do alone (ask again in a moment) keeps the list from all when each does it.
//
// Invariants:
//   - Hosts that are turned away ask at most CallsMost times a second together, in the mean.
//   - Each call in a row that is turned away doubles the wait, up to GrowMost times the first.
//   - Waits are drawn: hosts whose watches end at one instant do not ask at one instant.
//   - A watch that spoke ends the growth: the service had room for it. And the wait after its end is
//     bounded by the time after which what the list says counts as told, whether it arrived or not
//     (told): it is over, with time to connect, before that. A call that was turned away moves that
//     time off fourfold (the wire's rules.ask-within), and no wait after one is longer.
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
	// Told is when what the list says counts as told, where the settings name no shorter time:
	// the protocol's figure.
	Told = 6 * time.Second
	// The first part of it may be waited after a watch that stood, the second after a call that
	// was turned away; a wait is drawn from a half to one and a half times that.
	standing, turned = 0.5, 2.5
)

// Backoff is the memory of one scheduler.
type Backoff struct {
	first  time.Duration
	told   time.Duration
	factor int
	stood  bool // the last watch spoke before it ended
	rng    *rand.Rand
}

// New makes the memory of one of so many hosts; told is when the list's word counts as told, 0: Told.
func New(hosts int, told time.Duration, seed uint64) *Backoff {
	if told <= 0 || told > Told {
		told = Told
	}
	return &Backoff{first: max(Least, time.Duration(hosts)*time.Second/CallsMost), told: told, factor: 1,
		rng: rand.New(rand.NewPCG(seed, 0x6c697374))}
}

// Spoke notes that a watch was answered with a list or a sign of life.
func (b *Backoff) Spoke() { b.factor, b.stood = 1, true }

// Next is the wait before the list is asked for again; each call without Spoke between doubles it.
func (b *Backoff) Next() time.Duration {
	most := time.Duration(turned * float64(b.told))
	if b.stood {
		most = time.Duration(standing * float64(b.told))
	}
	b.stood = false
	wait := min(b.first*time.Duration(b.factor), most)
	b.factor = min(2*b.factor, GrowMost)
	return wait/2 + time.Duration(b.rng.Int64N(int64(wait)))
}
