package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

const (
	transferObjective = 250 * time.Millisecond
	transferDeadline  = 2400 * time.Millisecond // of the classes
)

// ceilingsOfTests are the settings under which each kind of transfer is played.
var ceilingsOfTests = map[string]Ceilings{
	"all_allowed":                 {},
	"no_hedges_one_attempt":       {NoHedges: true, MaxAttempts: 1},
	"no_hedges_cancels_or_others": {NoHedges: true, NoCancels: true, MaxAttempts: 1},
}

// playTransfers plays count requests under each of the ceilings, and fails the test if a rule was broken.
func playTransfers(t *testing.T, count int, draw func(i int, rng *rand.Rand) Request) {
	t.Helper()
	for name, ceilings := range ceilingsOfTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, Options{Objective: transferObjective, Deadline: transferDeadline, Ceilings: ceilings})
			rng := rand.New(rand.NewPCG(49, 0))
			transfers := Transfers{Interval: 30 * time.Millisecond}
			for i := range count {
				r := draw(i, rng)
				if r.Class == "" {
					r.Class = ClassRead
				}
				r.Shard, r.Script.Pattern = i%2, pacednode.Rhythm
				transfers.Requests = append(transfers.Requests, r)
			}
			served, broken := transfers.Play(d, "transfer")
			t.Logf("%d of %d served, %d breaches", served, count, len(broken))
			report(t, broken)
		})
	}
}

// between draws a duration.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)+1))
}

// restsBetween draws rests.
func restsBetween(rng *rand.Rand, count int, least, most time.Duration) (rests []time.Duration) {
	for range count {
		rests = append(rests, between(rng, least, most))
	}
	return rests
}

var allFramings = []pacednode.Framing{pacednode.Length, pacednode.Chunked, pacednode.Close}

// Guards against a long answer being replaced by a rejection at its deadline since its node rests just then.
func TestLongAnswersInLumpsAreServed(t *testing.T) {
	playTransfers(t, 60, func(i int, rng *rand.Rand) Request {
		script := pacednode.Script{Work: 10 * time.Millisecond, Size: 120_000 + rng.IntN(120_000), Framing: allFramings[i%3]}
		script.Rests = restsBetween(rng, 2+rng.IntN(3), 500*time.Millisecond, 1200*time.Millisecond)
		if i%2 == 0 {
			script.BodyRest = 350 * time.Millisecond
		}
		return Request{Deadline: between(rng, 500*time.Millisecond, 920*time.Millisecond), Script: script}
	})
}

// Guards against a short answer, or the head of one, being cut off at the objective or at a rest of its node.
func TestShortAnswersInPiecesAreServed(t *testing.T) {
	playTransfers(t, 40, func(i int, rng *rand.Rand) Request {
		script := pacednode.Script{Work: 10 * time.Millisecond, Size: 30_000, Framing: pacednode.Length}
		switch i % 3 {
		case 0:
			script.Rests = restsBetween(rng, 2, 600*time.Millisecond, 900*time.Millisecond)
		case 1:
			script.HeadRest, script.Rests = between(rng, 600*time.Millisecond, 900*time.Millisecond), restsBetween(rng, 1, 600*time.Millisecond, 900*time.Millisecond)
		default:
			script.BodyRest = between(rng, time.Second, 1900*time.Millisecond)
		}
		return Request{Class: []string{ClassRead, ClassWrite, ClassKeyed}[i/3%3], Body: []int{0, 100, 100}[i/3%3], Key: fmt.Sprint("key", i),
			Deadline: 2400 * time.Millisecond, Script: script}
	})
}

// Guards against a request being given up at the objective while its node reads it slowly, and against small requests being rejected
// because of that.
func TestSlowlyReadRequestsAreServed(t *testing.T) {
	playTransfers(t, 36, func(i int, rng *rand.Rand) Request {
		class := []string{ClassRead, ClassWrite, ClassKeyed}[i%3]
		r := Request{Class: class, Body: 300 << 10, Key: fmt.Sprint("key", i), Deadline: 2 * time.Second,
			Script: pacednode.Script{Work: 10 * time.Millisecond, Size: 100, ReadRate: 300 << 10}}
		if i%2 == 0 {
			r.Script.ReadRate, r.Script.ReadRests = 0, restsBetween(rng, 2, 300*time.Millisecond, 800*time.Millisecond)
		}
		return r
	})
}

// Guards against a final answer that comes after its time where a node reads a request slowly or not at all, or answers before it has
// read all of it.
func TestAnswersOfSlowlyReadRequestsAreInTime(t *testing.T) {
	playTransfers(t, 48, func(i int, rng *rand.Rand) Request {
		r := Request{Class: []string{ClassRead, ClassWrite, ClassKeyed}[i%3], Body: 300 << 10 << (i % 5), Key: fmt.Sprint("key", i),
			Deadline: between(rng, 500*time.Millisecond, 2*time.Second),
			Script:   pacednode.Script{Size: 100, ReadRate: []int{1, 1 << 10, 64 << 10, 256 << 10}[i/3%4], Early: i%4 == 3}}
		if i%8 == 5 {
			r.Script.Size, r.Script.Framing = 150_000, allFramings[i/8%3]
			r.Script.Rests = restsBetween(rng, 2, 500*time.Millisecond, 1200*time.Millisecond)
		}
		return r
	})
}
