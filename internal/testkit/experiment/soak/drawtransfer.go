package soak

import (
	"math/rand/v2"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// The ranges of transfers, each with the page that gives it.
const (
	// maxRest is the longest rest of a sound node in any phase. Operating days, "Less room": the rest of an answer is lost if it is held
	// back for 2 s.
	maxRest = 1900 * time.Millisecond
	// minTransferDeadline is the shortest deadline of a transfer. Protocol page: a client states any whole number of milliseconds.
	minTransferDeadline = 200 * time.Millisecond
	// Sizes on both sides of 64 KiB. Protocol page: a body has up to 64 KiB; operating days, "Less room": up to 32 MB.
	maxShortBody = 60_000
	minLongBody  = 70_000
	maxLongBody  = 300_000
	maxLumps     = 5 // operating days, "Less room": in pieces cut at any point
)

// drawTransfer draws a request whose node rests while it reads the request, or while it writes the answer, or both: each phase and
// direction, any framing, each effect of a class, deadlines below and above the objective.
func drawTransfer(id string, s Scenario, rng *rand.Rand) Request {
	r := Request{ID: id, Class: ClassRead, Shard: rng.IntN(s.Nodes)}
	r.Deadline = max(minTransferDeadline, s.Deadline/5) + time.Duration(rng.Int64N(int64(s.Deadline*4/5)))
	r.Deadline = min(r.Deadline, s.Deadline)
	if rng.IntN(2) == 0 {
		r.Deadline = s.Deadline
	}
	switch rng.IntN(3) {
	case 0:
		r.Class, r.Body = ClassWrite, drawSize(rng)
	case 1:
		r.Class, r.Body, r.Key = ClassKeyed, drawSize(rng), "key-"+id
	}
	r.Script = pacednode.Script{Pattern: pacednode.Rhythm, Size: drawSize(rng), Work: time.Duration(1+rng.IntN(20)) * time.Millisecond,
		Framing: []pacednode.Framing{pacednode.Length, pacednode.Chunked, pacednode.Close}[rng.IntN(3)]}
	if r.Body > 0 && rng.IntN(2) == 0 {
		r.Script.ReadRests = drawRests(rng, r.Deadline)
	}
	if rng.IntN(3) == 0 {
		r.Script.HeadRest = drawRest(rng, r.Deadline)
	}
	if rng.IntN(3) == 0 {
		r.Script.BodyRest = drawRest(rng, r.Deadline)
	}
	if rng.IntN(3) > 0 {
		r.Script.Rests = drawRests(rng, r.Deadline)
	}
	return r
}

func drawSize(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return 1 + rng.IntN(maxShortBody)
	}
	return minLongBody + rng.IntN(maxLongBody-minLongBody)
}

// drawRest draws a rest: half of them such that a few fit into the deadline.
func drawRest(rng *rand.Rand, deadline time.Duration) time.Duration {
	longest := maxRest
	if rng.IntN(2) == 0 {
		longest = min(maxRest, deadline/3)
	}
	return time.Duration(rng.Int64N(int64(longest)))
}

func drawRests(rng *rand.Rand, deadline time.Duration) (rests []time.Duration) {
	for range 1 + rng.IntN(maxLumps-1) {
		rests = append(rests, drawRest(rng, deadline))
	}
	return rests
}
