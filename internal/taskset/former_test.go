package taskset

import (
	"slices"
	"testing"
	"time"
)

// Guards against a function of the next process that is confirmed over a write of the former one that may still run.
func TestFormerWritesAreAwaitedByTheNextProcess(t *testing.T) {
	former := New(lostPeriod)
	running, lost, ended := former.Begin(0, command(1, 0, 7)), former.Begin(0, command(2, 1, 8)), former.Begin(0, command(3, 2, 9))
	for _, id := range []ID{running, lost, ended} {
		former.AttemptBegan(id)
	}
	former.AttemptLost(0, lost)
	former.AttemptFinished(0, ended)
	former.End(0, lost)
	former.End(0, ended)
	writes := former.FormerWrites(10 * time.Second)
	slices.SortFunc(writes, func(a, b FormerWrites) int { return int(a.LUN) - int(b.LUN) })
	want := []FormerWrites{{Initiator: "i1", Target: "t", LUN: 0, Remaining: lostPeriod}, {Initiator: "i0", Target: "t", LUN: 1, Remaining: lostPeriod - 10*time.Second}}
	if !slices.Equal(writes, want) {
		t.Fatalf("passed on %+v, want %+v", writes, want)
	}
	next := New(lostPeriod)
	next.AddFormerWrites(0, writes)
	next.Await(0, 1, FormerSessions("i1", "t", "n"), limit)
	next.Await(0, 2, Unit("t", 1), limit)
	next.Await(0, 3, Unit("t", 2), limit)
	next.Await(0, 4, FormerSessions("i2", "t", "n"), limit)
	next.Await(0, 5, Session(1), limit)
	expect(t, next, Decision{1, MayStillRun}, Decision{2, MayStillRun}, Decision{3, NoEffect}, Decision{4, NoEffect}, Decision{5, NoEffect})
	next.Await(lostPeriod-10*time.Second, 6, Unit("t", 1), lostPeriod)
	next.Await(lostPeriod-10*time.Second, 7, FormerSessions("i1", "t", "n"), lostPeriod-9*time.Second)
	expect(t, next, Decision{6, NoEffect}, Decision{7, MayStillRun})
	next.Await(lostPeriod, 8, FormerSessions("i1", "t", "n"), lostPeriod+limit)
	expect(t, next, Decision{8, NoEffect})
}

// Writes beyond the bound are passed on without their LUNs, and concern their initiator only.
func TestFormerWritesBeyondTheBound(t *testing.T) {
	former := New(lostPeriod)
	fill(former, 1)
	writes := former.FormerWrites(0)
	if len(writes) != 2 {
		t.Fatalf("passed on %+v", writes)
	}
	next := New(lostPeriod)
	next.AddFormerWrites(0, writes)
	next.Await(0, 1, Unit("t", 5), limit)
	next.Await(0, 2, FormerSessions("i1", "t", "n"), limit)
	next.Await(0, 3, FormerSessions("i0", "t", "n"), limit)
	expect(t, next, Decision{1, MayStillRun}, Decision{2, MayStillRun}, Decision{3, NoEffect})
	next.Await(lostPeriod, 4, Unit("t", 5), lostPeriod+limit)
	expect(t, next, Decision{4, NoEffect})
}
