package nodestats

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

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
				t.Errorf("a message of %d bytes", len(m))
			}
		}
		return len(diff)
	}
	if exchange() == 0 || exchange() != 0 {
		t.Error("nothing was sent at first, or cells were sent that the receiver held")
	}
	p.Recorder(0, Key{"n0", 1, "c0"}).Record(0, 1, 1, Served)
	if exchange() != 1 || exchange() != 0 {
		t.Error("one change is not one message")
	}
}

func TestLargestCellFitsIntoTheSmallestMessage(t *testing.T) {
	huge := decayedCounts{sums: Sums{1e30, 1e30, 1e30, 1e30, 1e30, 1e30}}
	largest := classStats{startTime: math.MinInt64, long: huge, short: huge}
	for i := range largest.bins {
		largest.bins[i] = 1e12
	}
	name := strings.Repeat("n", maxNameBytes)
	if m := encodeMessage(name, maxSequence, wireCell{cellID{name, name}, maxSequence, 1 << 60, largest.encode()}); len(m) > minMessageLimit {
		t.Errorf("a cell of %d bytes", len(m))
	}
}

// Small changes of windows and queues are not published, however many; what is published stays near the value, and a
// change to or from zero is published at once.
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
		w := 12 + 4*math.Cos(float64(i)*math.Pi/200)
		published += newCells(Health{Window: w, Queue: 0.2})
		if v := q.Views(0)[0]; math.Abs(v.Window-w) > max(v.Window, w)/8 {
			t.Fatalf("window %v, published %v", w, v.Window)
		}
	}
	if published < 8 || published > 20 {
		t.Errorf("published %d times of 400", published)
	}
	if newCells(Health{}) != 1 || newCells(Health{Window: 0.3}) != 1 || newCells(Health{Window: 0.3, Type: "ssd"}) != 1 {
		t.Error("a window of zero, one that opens or a type was not published")
	}
}
