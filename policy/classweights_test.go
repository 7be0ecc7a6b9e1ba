package policy

import (
	"math"
	"testing"
)

func TestAdaptationMovesWeightToTheWorstClass(t *testing.T) {
	h := newHarness(t, testSettings())
	a, b := h.s.classes[0], h.s.classes[1]
	a.sampleSum, a.sampleCount, b.sampleSum, b.sampleCount = 800, 1, 40, 1
	if !h.s.adapt() || a.weight <= 0.5 || math.Abs(a.weight+b.weight-1) > 1e-9 {
		t.Errorf("weights %v and %v", a.weight, b.weight)
	}
	// A donation is limited so that the predicted delay of the donor stays within its objective.
	if got := 40 + (0.5-b.weight)*80; got > (1-epsilon)*b.LatencyObjective+1e-9 {
		t.Errorf("predicted delay of the donor is %v", got)
	}
}
