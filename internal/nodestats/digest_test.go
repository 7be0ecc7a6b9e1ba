package nodestats

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// The reply to a digest contains the cells that the digest's sender lacks and no others, in messages of limited size.
func TestDiffContainsOnlyMissingCells(t *testing.T) {
	set := smallSettings()
	p, q := newState(t, set, "p", 1), newState(t, set, "q", 1)
	recordRandom(p, rand.New(rand.NewPCG(1, 1)), 0, 100)
	exchange := func() (messages int) {
		diff, err := p.Diff(0, q.Digest(0))
		if err != nil {
			t.Fatal(err)
		}
		merge(q, 0, diff...)
		for _, m := range diff {
			if len(m) > set.MaxMessageBytes {
				t.Errorf("message of %d bytes exceeds MaxMessageBytes", len(m))
			}
		}
		return len(diff)
	}
	if exchange() == 0 || exchange() != 0 {
		t.Error("no cells were sent at first, or cells were sent that the receiver already had")
	}
	p.Recorder(0, Key{"n0", 1, "c0"}).Record(0, 1, 1, Served)
	if exchange() != 1 || exchange() != 0 {
		t.Error("one change was not sent as exactly one message")
	}
}

// A message with the largest possible cell fits into the smallest message size that settings may have.
func TestLargestCellFitsIntoTheSmallestMessage(t *testing.T) {
	huge := decayedCounts{sums: Sums{1e30, 1e30, 1e30, 1e30, 1e30, 1e30}}
	largest := classStats{startTime: math.MinInt64, long: huge, short: huge}
	for i := range largest.bins {
		largest.bins[i] = 1e12
	}
	name := strings.Repeat("n", maxNameBytes)
	if m := encodeMessage(name, maxSequence, wireCell{cellID{name, name}, maxSequence, 1 << 60, largest.encode()}); len(m) > minMessageLimit {
		t.Errorf("message of %d bytes exceeds minMessageLimit", len(m))
	}
}

// Small changes of windows and queues are not published one by one, but the published value stays near the actual one. A
// change to or from zero is always published.
func TestSmallLoadChangesAreNotPublished(t *testing.T) {
	p, q := newState(t, smallSettings(), "p", 1), newState(t, smallSettings(), "q", 1)
	newCells := func(h Health) int64 {
		before := q.Counts().NewCells
		p.SetNodeHealth(0, "n", 1, h)
		merge(q, 0, allMessages(t, p, 0)...)
		return q.Counts().NewCells - before
	}
	published := int64(0)
	for i := range 400 { // from 16 to 8 and back, in steps of a fortieth
		window := 12 + 4*math.Cos(float64(i)*math.Pi/200)
		published += newCells(Health{Window: window, Queue: 0.2})
		if v := q.Views(0)[0]; math.Abs(v.Window-window) > max(v.Window, window)/8 {
			t.Fatalf("window %v, but the published one is %v, more than an eighth off", window, v.Window)
		}
	}
	if published < 8 || published > 20 {
		t.Errorf("%d of 400 changes were published, want 8 to 20", published)
	}
	if newCells(Health{}) != 1 || newCells(Health{Window: 0.3}) != 1 || newCells(Health{Window: 0.3, Type: "ssd"}) != 1 {
		t.Error("a change of the window to zero, from zero, or of the type was not published")
	}
}
