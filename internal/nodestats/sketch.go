package nodestats

import (
	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// A slot keeps the counts of DDSketch's own buckets in an array, because the library's store may
// allocate; the library's mapping says which bucket a value is in, and its sketch is what a View
// holds.
const (
	accuracy     = 0.05 // of a quantile, relative
	numBins      = 128
	minLatencyMs = 0.05 // the first bucket; the last is at about 18 s
	maxLatencyMs = 1e7  // a longer time is not one
	maxUnits     = 1e9
	rankedCount  = 1e6
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

// sketchOf is the library's encoded sketch of bucket counts; nil: nothing was counted.
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

// Quantiles are the latencies in milliseconds, within 5%, below which the shares qs of the requests
// of a View's sketch were served. It is for sketches that this package made; of any other, and of none
// at all, false.
func Quantiles(sketch []byte, qs ...float64) ([]float64, bool) {
	if len(sketch) == 0 {
		return nil, false
	}
	s, err := ddsketch.DecodeDDSketch(sketch, newStore, binMapping)
	if err != nil {
		return nil, false
	}
	// The library ranks among count-1 others; decayed counts are often under 1.
	if n := s.GetCount(); !(n > 0) || s.Reweight(rankedCount/n) != nil {
		return nil, false
	}
	v, err := s.GetValuesAtQuantiles(qs)
	return v, err == nil
}

// Quantile is one of Quantiles.
func Quantile(sketch []byte, q float64) (float64, bool) {
	v, ok := Quantiles(sketch, q)
	if !ok {
		return 0, false
	}
	return v[0], true
}

// NewSketch makes a sketch of latencies, for tests of what reads views.
func NewSketch(millis ...float64) []byte {
	var counts [numBins]float64
	for _, m := range millis {
		counts[binOf(m)]++
	}
	return sketchOf(&counts)
}
