package soak

import (
	"testing"
	"time"
)

const (
	minServedSound  = 0.9 // share of the sound requests
	crowdDuration   = 5 * time.Second
	soundInterval   = 25 * time.Millisecond
	crowdConns      = 480 // nearly all that 1,024 descriptors allow
	crowdDaemonIdle = 300 * time.Millisecond
)

// Guards against a process that passes its memory limit because of what clients make it hold: bodies that arrive slowly or stop,
// heads of many fields, answers that are read slowly. Sound clients are served meanwhile.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	for name, crowd := range map[string]Crowd{
		"slow writers":                    {SlowWriters: crowdConns},
		"clients that stop":               {Stoppers: crowdConns},
		"heads of many fields":            {ManyFields: crowdConns},
		"slow readers":                    {SlowReaders: crowdConns / 2},
		"all kinds":                       {SlowWriters: crowdConns / 4, Stoppers: crowdConns / 4, ManyFields: crowdConns / 4, SlowReaders: crowdConns / 4},
		"slow readers on all connections": {SlowReaders: crowdConns},
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t, Options{Objective: 250 * time.Millisecond, Deadline: time.Second, MemoryMB: leastMemoryMB})
			time.Sleep(crowdDaemonIdle)
			crowd.Duration, crowd.SoundInterval = crowdDuration, soundInterval
			result := crowd.Play(d)
			t.Log(result)
			if result.Peak.Resident >= leastMemoryMB*bytesPerMB {
				t.Errorf("%d bytes resident, limit %d MB", result.Peak.Resident, leastMemoryMB)
			}
			sound := result.Served + result.Rejected + result.Unanswered
			if result.Unanswered > 0 || float64(result.Served) < minServedSound*float64(sound) {
				t.Errorf("of %d sound requests %d were served and %d not answered in time", sound, result.Served, result.Unanswered)
			}
		})
	}
}

// Guards against a process that passes its memory limit right after a start, when a crowd comes at once.
func TestStartIntoACrowdStaysWithinMemoryLimit(t *testing.T) {
	d := start(t, Options{Objective: 250 * time.Millisecond, Deadline: time.Second, MemoryMB: leastMemoryMB})
	crowd := Crowd{SlowWriters: crowdConns / 4, Stoppers: crowdConns / 4, ManyFields: crowdConns / 4, SlowReaders: crowdConns / 4,
		Duration: 2 * crowdDuration, SoundInterval: soundInterval, Kills: 4}
	result := crowd.Play(d)
	t.Log(result)
	if result.Peak.Resident >= leastMemoryMB*bytesPerMB {
		t.Errorf("%d bytes resident, limit %d MB", result.Peak.Resident, leastMemoryMB)
	}
	if result.Served == 0 {
		t.Error("no sound request was served")
	}
}
