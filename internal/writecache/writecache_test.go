package writecache

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const initiator = "iqn.a"

var (
	unitOfA = Unit{"a", 0}
	unitOfB = Unit{"b", 0}
	units   = []Unit{unitOfA, unitOfB}
	all     = Range{0, EndOfUnit}
)

// synchronize begins a SYNCHRONIZE CACHE and confirms all of its steps.
func synchronize(t *Tracker, r Range) (steps []Step, mayHaveLost bool) {
	steps, mayHaveLost = t.Begin(initiator, units, r)
	for _, s := range steps {
		t.Synchronized(s, r)
	}
	return steps, mayHaveLost
}

// The first command reaches all storage targets, and later ones those with a write since.
func TestStepsAreThoseWithAWriteSince(t *testing.T) {
	tracker := New()
	tracker.Written(unitOfA, Range{0, 8}, initiator)
	if steps, _ := synchronize(tracker, Range{8, 16}); len(steps) != 2 || steps[0].Required || steps[1].Required {
		t.Errorf("the first command for a part has the steps %+v", steps)
	}
	synchronize(tracker, Range{0, 8})
	if steps, _ := synchronize(tracker, all); len(steps) != 2 || steps[0].Required || steps[1].Required {
		t.Errorf("the first command has the steps %+v", steps)
	}
	if steps, _ := synchronize(tracker, all); len(steps) != 0 {
		t.Errorf("without a write, the steps are %+v", steps)
	}
	tracker.Written(unitOfB, Range{8, 16}, initiator)
	if steps, _ := synchronize(tracker, Range{16, 24}); len(steps) != 0 {
		t.Errorf("for other blocks, the steps are %+v", steps)
	}
	if steps, _ := synchronize(tracker, Range{0, 9}); len(steps) != 1 || steps[0].Unit != unitOfB || !steps[0].Required {
		t.Errorf("for a part of the blocks, the steps are %+v", steps)
	}
	if steps, _ := synchronize(tracker, all); len(steps) != 1 {
		t.Errorf("after a command for a part of the blocks, the steps are %+v", steps)
	}
	if steps, _ := synchronize(tracker, all); len(steps) != 0 {
		t.Errorf("after a command for all blocks, the steps are %+v", steps)
	}
}

// Guards against a command that counts for a write that was acknowledged while it ran.
func TestWriteDuringAStepStaysUnsynchronized(t *testing.T) {
	tracker := New()
	tracker.Written(unitOfA, Range{0, 8}, initiator)
	steps, _ := tracker.Begin(initiator, units[:1], all)
	tracker.Written(unitOfA, Range{0, 8}, initiator)
	tracker.Synchronized(steps[0], all)
	if steps, _ = tracker.Begin(initiator, units[:1], all); len(steps) != 1 || !steps[0].Required {
		t.Errorf("the next command has the steps %+v", steps)
	}
}

// Guards against a command that a storage target confirms after a restart, when its cache is empty.
func TestConfirmationAfterARestartDoesNotCount(t *testing.T) {
	tracker := New()
	tracker.Written(unitOfA, Range{0, 8}, initiator)
	steps, _ := tracker.Begin(initiator, units[:1], all)
	tracker.Restarted("a")
	if tracker.Synchronized(steps[0], all) {
		t.Error("the confirmation counts")
	}
	if _, lost := tracker.Begin(initiator, units[:1], all); !lost {
		t.Error("the initiator is not told of the loss")
	}
}

// Each initiator with a write that may have been lost is told once, and no other.
func TestLossIsReportedOnceToEachWriter(t *testing.T) {
	tracker := New()
	tracker.Written(unitOfA, Range{0, 8}, initiator)
	tracker.Written(unitOfA, Range{8, 16}, "iqn.b")
	if !tracker.Restarted("a") || tracker.Restarted("a") || tracker.Restarted("b") {
		t.Error("a restart is not a loss exactly once")
	}
	for _, x := range []struct {
		initiator string
		blocks    Range
		want      bool
	}{
		{"iqn.c", all, false}, {initiator, Range{16, 32}, false}, {initiator, Range{0, 2}, true}, {initiator, Range{15, 16}, true},
		{initiator, Range{3, 4}, true}, {initiator, all, true}, {initiator, all, false},
		{"iqn.b", all, true}, {"iqn.b", all, false},
	} {
		if _, lost := tracker.Begin(x.initiator, units, x.blocks); lost != x.want {
			t.Errorf("%s is told of a loss in %v: %v", x.initiator, x.blocks, lost)
		}
	}
}

// Guards against memory that grows with the names of initiators, and against a loss that nobody is told of.
func TestWritersAreBounded(t *testing.T) {
	tracker := New()
	for i := range 2 * maxWriters {
		tracker.Written(unitOfA, Range{0, 8}, fmt.Sprint("iqn.", i))
	}
	if n := len(tracker.units[unitOfA].writers); n > maxWriters+1 {
		t.Errorf("%d writers are kept", n)
	}
	tracker.Restarted("a")
	if _, lost := tracker.Begin(fmt.Sprint("iqn.", 2*maxWriters-1), units, all); !lost {
		t.Error("the last writer is not told of the loss")
	}
}

// Guards against a confirmed command whose writes are not on the medium: random writes, restarts and commands against a model that keeps
// each block of each cache.
func TestConfirmedWritesAreOnTheMedium(t *testing.T) {
	const blocks, steps, seeds = 12, 400, 200
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		tracker := New()
		cached := map[Unit]map[uint64]bool{unitOfA: {}, unitOfB: {}}
		lost := map[uint64]bool{} // blocks whose last write was lost, and the initiator was not told
		randomRange := func() Range {
			from := rng.Uint64N(blocks)
			return Range{from, from + 1 + rng.Uint64N(blocks-from)}
		}
		for range steps {
			unit := units[rng.IntN(len(units))]
			r := randomRange()
			switch rng.IntN(4) {
			case 0, 1:
				tracker.Written(unit, r, initiator)
				for b := r.From; b < r.To; b++ {
					cached[unit][b] = true
				}
			case 2:
				tracker.Restarted(unit.Target)
				for b := range cached[unit] {
					lost[b] = true
				}
				clear(cached[unit])
			case 3:
				steps, mayHaveLost := tracker.Begin(initiator, units, r)
				for _, s := range steps {
					for b := r.From; b < r.To; b++ {
						delete(cached[s.Unit], b)
					}
					tracker.Synchronized(s, r)
				}
				for b := r.From; b < r.To; b++ {
					if !mayHaveLost && (lost[b] || cached[unitOfA][b] || cached[unitOfB][b]) {
						t.Fatalf("seed %d: block %d is confirmed, and is not on the medium", seed, b)
					}
				}
				for b := r.From; mayHaveLost && b < r.To; b++ { // told
					delete(lost, b)
				}
			}
		}
	}
}

// Guards against a confirmation after a write that was lost with one cache, and whose repeat another storage target dropped.
func TestLostWriteIsReportedOnceToItsWriter(t *testing.T) {
	tracker, unit := New(), Unit{"a", 0}
	tracker.Written(unit, Range{4, 8}, "i")
	steps, _ := tracker.Begin("j", []Unit{unit}, wholeUnit)
	tracker.Lost(unit, Range{4, 8}, "i")
	if len(steps) != 1 || tracker.Synchronized(steps[0], wholeUnit) {
		t.Errorf("steps %+v: a confirmation counts that began before the loss", steps)
	}
	for _, x := range []struct {
		initiator string
		blocks    Range
		want      bool
	}{{"j", wholeUnit, false}, {"i", Range{0, 4}, false}, {"i", Range{5, 9}, true}, {"i", Range{5, 9}, false}, {"i", wholeUnit, true}} {
		if _, mayHaveLost := tracker.Begin(x.initiator, []Unit{unit}, x.blocks); mayHaveLost != x.want {
			t.Errorf("%+v: loss reported %v", x, mayHaveLost)
		}
	}
}
