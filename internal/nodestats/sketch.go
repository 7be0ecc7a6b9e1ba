package nodestats

import (
	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// A recorder counts the bins of a DDSketch in an array, because the library's store may allocate. The library's mapping
// gives the bin of a value, and a View contains the sketch in the library's encoding.
const (
	accuracy     = 0.05 // relative error of a quantile
	numBins      = 128
	minLatencyMs = 0.05 // upper limit of the first bin; the last bin is at about 18 s
	maxLatencyMs = 1e7  // a longer time is invalid
	maxUnits     = 1e9  // more work in one request is invalid
	rankedCount  = 1e6  // count to which a sketch is scaled before quantiles are computed
)

var (
	binMapping = mustMapping()
	firstBin   = binMapping.Index(minLatencyMs)
)

func mustMapping() *mapping.LogarithmicMapping {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // the accuracy is a constant
	}
	return m
}

func binOf(millis float64) int {
	if millis <= minLatencyMs {
		return 0
	}
	return min(max(binMapping.Index(millis)-firstBin, 0), numBins-1)
}

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(numBins) }

// sketchOf encodes bin counts as the library's sketch. It returns nil if all are zero.
func sketchOf(counts *[numBins]float64) []byte {
	s := ddsketch.NewDDSketchFromStoreProvider(binMapping, newStore)
	for i, n := range counts {
		if n > 0 {
			s.GetPositiveValueStore().AddWithCount(firstBin+i, n)
		}
	}
	if s.IsEmpty() {
		return nil
	}
	var b []byte
	s.Encode(&b, true)
	return b
}

// Quantiles returns the quantiles qs of the latencies in a View's sketch, in milliseconds and with an error of at most
// 5%. It returns false if the sketch is empty or was not created by this package.
func Quantiles(sketch []byte, qs ...float64) ([]float64, bool) {
	if len(sketch) == 0 {
		return nil, false
	}
	s, err := ddsketch.DecodeDDSketch(sketch, newStore, binMapping)
	if err != nil {
		return nil, false
	}
	// The library computes ranks correctly only for counts well over 1, and decayed counts are often lower.
	if n := s.GetCount(); !(n > 0) || s.Reweight(rankedCount/n) != nil {
		return nil, false
	}
	v, err := s.GetValuesAtQuantiles(qs)
	return v, err == nil
}

// Quantile returns a single quantile, as Quantiles does.
func Quantile(sketch []byte, q float64) (float64, bool) {
	v, ok := Quantiles(sketch, q)
	if !ok {
		return 0, false
	}
	return v[0], true
}

// NewSketch returns a sketch in which each of the latencies has the weight 1.
func NewSketch(millis ...float64) []byte {
	var counts [numBins]float64
	for _, m := range millis {
		counts[binOf(m)]++
	}
	return sketchOf(&counts)
}
