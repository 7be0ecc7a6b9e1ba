package address

import (
	"fmt"
	"time"
)

// Settings steer a Book. The words in the errors are the keys of the file that gives them.
type Settings struct {
	Preference []Kind // families, the most wanted first

	// Of a race, after RFC 8305 section 5.
	Delay      time.Duration // between connects before any was measured
	DelayLeast time.Duration
	DelayMost  time.Duration

	Backoff     time.Duration // of the first failure; doubled at each further one
	BackoffMost time.Duration
	Jitter      float64       // share of a back-off that is drawn, 0 to 1
	WrongFor    time.Duration // first back-off of an address that leads to another node
	AbsentFor   time.Duration // ... of one whose family this machine lacks
	DownEvery   time.Duration // between walks over the addresses while all are down

	SuspectLeast time.Duration // a request may be unanswered this long before its address is suspect
	SuspectMost  time.Duration
	SuspectTimes float64 // ... and this multiple of the usual answer, between the two
	// DoubtAfter, and that multiple, is the silence after which one request goes by another
	// address: if that answers while this one stays silent, it is not the node that pauses.
	DoubtAfter time.Duration

	TrialGap      time.Duration // between trials of an address that shows itself good again
	TrialPatience time.Duration // after which a trial takes also work that must not be repeated

	ReturnAfter int           // good connections before a preferred address is primary again
	ReturnSpan  time.Duration // least time from any change of the primary to such a return
	ReturnMost  time.Duration // ... which doubles to this while returns do not last

	WrongAfter int           // requests turned away in a row ...
	WrongSpan  time.Duration // ... and none served for some answers' time, at most this, make an address suspect

	Rate  float64 // connects started a second
	Burst int     // ... and at once

	Conns    int // connections, with those coming up
	Requests int // requests that wait
}

// Defaults are the settings that a file need not name.
func Defaults() Settings {
	return Settings{
		Preference: []Kind{Unix, IPv6, IPv4},
		Delay:      250 * time.Millisecond, DelayLeast: 100 * time.Millisecond, DelayMost: 2 * time.Second,
		Backoff: time.Second, BackoffMost: 15 * time.Second, Jitter: 0.3,
		WrongFor: 5 * time.Second, AbsentFor: time.Minute, DownEvery: 100 * time.Millisecond,
		SuspectLeast: 200 * time.Millisecond, SuspectMost: time.Second, SuspectTimes: 4, DoubtAfter: 50 * time.Millisecond,
		TrialGap: 100 * time.Millisecond, TrialPatience: 5 * time.Second,
		ReturnAfter: 3, ReturnSpan: 2 * time.Second, ReturnMost: time.Minute,
		WrongAfter: 2, WrongSpan: 100 * time.Millisecond,
		Rate: 50, Burst: 64, Conns: 64, Requests: 512,
	}
}

// The bounds of RFC 8305 section 5 for the delay between connects: "MUST NOT be less than 10
// milliseconds", at most 2 s recommended.
const (
	rfcDelayLeast = 10 * time.Millisecond
	rfcDelayMost  = 2 * time.Second
)

// Check names the first key that is out of bounds.
func (s *Settings) Check() error {
	seen := [kinds]bool{}
	if len(s.Preference) == 0 {
		return &SettingError{"preference", "names no family"}
	}
	for _, k := range s.Preference {
		if k >= kinds || seen[k] {
			return &SettingError{"preference", fmt.Sprintf("%v is unknown or there twice", k)}
		}
		seen[k] = true
	}
	for _, x := range []struct {
		key         string
		is          time.Duration
		least, most time.Duration
	}{
		{"delay_least_ms", s.DelayLeast, rfcDelayLeast, rfcDelayMost},
		{"delay_most_ms", s.DelayMost, s.DelayLeast, rfcDelayMost},
		{"delay_ms", s.Delay, s.DelayLeast, s.DelayMost},
		{"backoff_ms", s.Backoff, time.Millisecond, time.Hour},
		{"backoff_most_ms", s.BackoffMost, s.Backoff, time.Hour},
		{"wrong_ms", s.WrongFor, time.Millisecond, time.Hour},
		{"absent_ms", s.AbsentFor, time.Millisecond, 24 * time.Hour},
		{"down_every_ms", s.DownEvery, time.Millisecond, time.Minute},
		{"suspect_least_ms", s.SuspectLeast, time.Millisecond, time.Hour},
		{"suspect_most_ms", s.SuspectMost, s.SuspectLeast, time.Hour},
		{"doubt_ms", s.DoubtAfter, time.Millisecond, time.Hour},
		{"trial_gap_ms", s.TrialGap, time.Millisecond, time.Hour},
		{"trial_patience_ms", s.TrialPatience, 0, time.Hour},
		{"return_span_ms", s.ReturnSpan, time.Millisecond, time.Hour},
		{"return_most_ms", s.ReturnMost, s.ReturnSpan, 24 * time.Hour},
		{"wrong_span_ms", s.WrongSpan, 0, time.Hour},
	} {
		if x.is < x.least || x.is > x.most {
			return &SettingError{x.key, fmt.Sprintf("%d is not from %d to %d", x.is.Milliseconds(), x.least.Milliseconds(), x.most.Milliseconds())}
		}
	}
	for _, x := range []struct {
		key             string
		is, least, most float64
	}{
		{"jitter", s.Jitter, 0, 1}, {"suspect_times", s.SuspectTimes, 1, 1000},
		{"return_after", float64(s.ReturnAfter), 1, 1000}, {"wrong_after", float64(s.WrongAfter), 1, 1000},
		{"connects_per_second", s.Rate, 0.1, 1e6}, {"connects_at_once", float64(s.Burst), 1, 1e6},
		{"connections", float64(s.Conns), 2, 4096}, {"requests", float64(s.Requests), 1, 1 << 20},
	} {
		if !(x.is >= x.least && x.is <= x.most) {
			return &SettingError{x.key, fmt.Sprintf("%v is not from %v to %v", x.is, x.least, x.most)}
		}
	}
	return nil
}
