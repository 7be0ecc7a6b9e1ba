package soak

import (
	"testing"
	"time"
)

const (
	floodDuration     = 5 * time.Second
	longFloodDuration = 20 * time.Second // new names have filled the memory by then where tables have no bound
	maxFloodLog       = 10 << 10         // bytes a second; a line has some 300
	maxFloodSeries    = 40               // new reasons of ends and closes
)

// Guards against other clients' late answers, and against memory, log lines and metrics that grow without end, while one client
// sends small or unsound requests at full speed on one connection, under ever new names.
func TestFloodCostsOthersLittle(t *testing.T) {
	for kind, duration := range map[FloodKind]time.Duration{
		SmallReads: floodDuration, NewVolumes: floodDuration, ShortDeadlines: longFloodDuration, UnknownClasses: floodDuration,
		UnsoundHeads: floodDuration, MixedFlood: floodDuration,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			d := start(t, Options{Objective: 250 * time.Millisecond, Deadline: time.Second, MemoryMB: leastMemoryMB, Metrics: true})
			result := Flood{Kind: kind, Duration: duration}.Play(d)
			t.Log(result)
			if peak := result.Sound.Peak.Resident; peak >= leastMemoryMB*bytesPerMB {
				t.Errorf("%d bytes resident, limit %d MB", peak, leastMemoryMB)
			}
			sound := result.Sound
			count := sound.Served + sound.Rejected + sound.Unanswered
			if sound.Unanswered > 0 || float64(sound.Served) < minServedSound*float64(count) {
				t.Errorf("of %d sound requests %d were served and %d not answered in time", count, sound.Served, sound.Unanswered)
			}
			if limit := maxFloodLog * int(duration/time.Second); result.LogBytes > limit || result.SeriesAdded > maxFloodSeries {
				t.Errorf("%d bytes of log, limit %d; %d series added, limit %d", result.LogBytes, limit, result.SeriesAdded, maxFloodSeries)
			}
		})
	}
}
