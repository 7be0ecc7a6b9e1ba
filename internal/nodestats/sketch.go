package nodestats

import (
	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// A recorder keeps the counts of DDSketch's bins in an array, because the library's store may allocate. The library's
// mapping gives a value's bin, and its encoded sketch is what a View holds.
const (
	accuracy     = 0.05 // relative, of a quantile
	numBins      = 128
	minLatencyMs = 0.05 // in the first bin; the last one is at about 18 s
	maxLatencyMs = 1e7  // a longer time is invalid
	maxUnits     = 1e9  // more work of one request is invalid
	rankedCount  = 1e6  // to which a sketch's count is scaled for ranks
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

// sketchOf encodes bin counts as the library's sketch; nil: all are zero.
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

// Quantiles returns the latencies in milliseconds, within 5%, below which the shares qs of the requests of a View's
// sketch were served; false: the sketch is empty or not one of this package.
func Quantiles(sketch []byte, qs ...float64) ([]float64, bool) {
	if len(sketch) == 0 {
		return nil, false
	}
	s, err := ddsketch.DecodeDDSketch(sketch, newStore, binMapping)
	if err != nil {
		return nil, false
	}
	// The library's ranks need a count well over 1; decayed counts are often lower.
	if n := s.GetCount(); !(n > 0) || s.Reweight(rankedCount/n) != nil {
		return nil, false
	}
	v, err := s.GetValuesAtQuantiles(qs)
	return v, err == nil
}

// Quantile returns one of the Quantiles.
func Quantile(sketch []byte, q float64) (float64, bool) {
	v, ok := Quantiles(sketch, q)
	if !ok {
		return 0, false
	}
	return v[0], true
}

// NewSketch returns the sketch of latencies of weight 1.
func NewSketch(millis ...float64) []byte {
	var counts [numBins]float64
	for _, m := range millis {
		counts[binOf(m)]++
	}
	return sketchOf(&counts)
}
