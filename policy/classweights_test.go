package policy

import (
	"math"
	"testing"
)

func TestAdaptationMovesWeightToTheWorstClass(t *testing.T) {
	r := newHarness(t, testSettings())
	a, b := r.s.classes[0], r.s.classes[1]
	a.sampleSum, a.sampleCount, b.sampleSum, b.sampleCount = 800, 1, 40, 1
	if !r.s.adapt() || a.weight <= 0.5 || math.Abs(a.weight+b.weight-1) > 1e-9 {
		t.Errorf("weights %v %v", a.weight, b.weight)
	}
	// the cap: the donor's predicted delay stays under its objective
	if got := 40 + (0.5-b.weight)*80; got > (1-epsilon)*b.LatencyObjective+1e-9 {
		t.Errorf("donor predicted at %v", got)
	}
}
