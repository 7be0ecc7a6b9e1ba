package deadline

import (
	"math/rand"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// The margins for random lags match the recording.
func TestRecordedMargins(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	var script recorded.Script
	var gauge LagGauge
	at := time.Duration(0)
	for range 3000 {
		at += time.Duration(rng.Intn(900)) * time.Millisecond
		if rng.Intn(60) == 0 {
			at += time.Duration(rng.Intn(15000)) * time.Millisecond // an idle period or a stall
		}
		switch rng.Intn(4) {
		case 0, 1:
			gauge.Record(at, time.Duration(rng.Intn(200)-5)*time.Millisecond/time.Duration(1+rng.Intn(20)))
		case 2:
			gauge.Record(at-time.Duration(rng.Intn(100))*time.Millisecond, time.Duration(rng.Intn(30))*time.Millisecond)
		}
		script.Add(int64(at), int64(gauge.Margin(at, time.Duration(1+rng.Intn(1500))*time.Millisecond)), int64(gauge.Worst()))
	}
	script.Check(t, "margins")
}
