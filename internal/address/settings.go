package address

import (
	"fmt"
	"time"
)

// Settings steer a Book. The words in the errors are the keys of the file that gives them.
type Settings struct {
	Preference []Kind // families, the most wanted first

	// Of a race, after RFC 8305 section 5.
	Delay    time.Duration // between connects before any was measured
	MinDelay time.Duration
	MaxDelay time.Duration

	Backoff            time.Duration // of the first failure; doubled at each further one
	MaxBackoff         time.Duration
	Jitter             float64       // share of a back-off that is drawn, 0 to 1
	WrongNodeBackoff   time.Duration // first back-off of an address that leads to another node
	UnsupportedBackoff time.Duration // ... of one whose family this machine lacks
	DownTrialInterval  time.Duration // between walks over the addresses while all are down

	MinSuspectAfter      time.Duration // a request may be unanswered this long before its address is suspect
	MaxSuspectAfter      time.Duration
	SuspectLatencyFactor float64 // ... and this multiple of the usual answer, between the two
	// SecondOpinionAfter, and that multiple, is the silence after which one request goes by another
	// address: if that answers while this one stays silent, it is not the node that pauses.
	SecondOpinionAfter time.Duration

	TrialInterval time.Duration // between trials of an address that shows itself good again
	TrialPatience time.Duration // after which a trial takes also work that must not be repeated

	MinReturnConns int           // good connections before a preferred address is primary again
	MinReturnDelay time.Duration // least time from any change of the primary to such a return
	MaxReturnDelay time.Duration // ... which doubles to this while returns do not last

	MaxRejections   int           // requests turned away in a row ...
	RejectionWindow time.Duration // ... and none served for some answers' time, at most this, make an address suspect

	ConnectRate  float64 // connects started a second
	ConnectBurst int     // ... and at once

	MaxConns   int // connections, with those coming up
	MaxWaiting int // requests that wait
}

// Defaults are the settings that a file need not name.
func Defaults() Settings {
	return Settings{
		Preference: []Kind{Unix, IPv6, IPv4},
		Delay:      250 * time.Millisecond, MinDelay: 100 * time.Millisecond, MaxDelay: 2 * time.Second,
		Backoff: time.Second, MaxBackoff: 15 * time.Second, Jitter: 0.3,
		WrongNodeBackoff: 5 * time.Second, UnsupportedBackoff: time.Minute, DownTrialInterval: 100 * time.Millisecond,
		MinSuspectAfter: 200 * time.Millisecond, MaxSuspectAfter: time.Second, SuspectLatencyFactor: 4, SecondOpinionAfter: 50 * time.Millisecond,
		TrialInterval: 100 * time.Millisecond, TrialPatience: 5 * time.Second,
		MinReturnConns: 3, MinReturnDelay: 2 * time.Second, MaxReturnDelay: time.Minute,
		MaxRejections: 2, RejectionWindow: 100 * time.Millisecond,
		ConnectRate: 50, ConnectBurst: 64, MaxConns: 64, MaxWaiting: 512,
	}
}

// The bounds of RFC 8305 section 5 for the delay between connects: "MUST NOT be less than 10
// milliseconds", at most 2 s recommended.
const (
	rfcMinDelay = 10 * time.Millisecond
	rfcMaxDelay = 2 * time.Second
)

// Check names the first key that is out of bounds.
func (s *Settings) Check() error {
	seen := [kindCount]bool{}
	if len(s.Preference) == 0 {
		return &SettingError{"preference", "names no family"}
	}
	for _, k := range s.Preference {
		if k >= kindCount || seen[k] {
			return &SettingError{"preference", fmt.Sprintf("%v is unknown or there twice", k)}
		}
		seen[k] = true
	}
	for _, x := range []struct {
		key         string
		is          time.Duration
		least, most time.Duration
	}{
		{"delay_least_ms", s.MinDelay, rfcMinDelay, rfcMaxDelay},
		{"delay_most_ms", s.MaxDelay, s.MinDelay, rfcMaxDelay},
		{"delay_ms", s.Delay, s.MinDelay, s.MaxDelay},
		{"backoff_ms", s.Backoff, time.Millisecond, time.Hour},
		{"backoff_most_ms", s.MaxBackoff, s.Backoff, time.Hour},
		{"wrong_ms", s.WrongNodeBackoff, time.Millisecond, time.Hour},
		{"absent_ms", s.UnsupportedBackoff, time.Millisecond, 24 * time.Hour},
		{"down_every_ms", s.DownTrialInterval, time.Millisecond, time.Minute},
		{"suspect_least_ms", s.MinSuspectAfter, time.Millisecond, time.Hour},
		{"suspect_most_ms", s.MaxSuspectAfter, s.MinSuspectAfter, time.Hour},
		{"doubt_ms", s.SecondOpinionAfter, time.Millisecond, time.Hour},
		{"trial_gap_ms", s.TrialInterval, time.Millisecond, time.Hour},
		{"trial_patience_ms", s.TrialPatience, 0, time.Hour},
		{"return_span_ms", s.MinReturnDelay, time.Millisecond, time.Hour},
		{"return_most_ms", s.MaxReturnDelay, s.MinReturnDelay, 24 * time.Hour},
		{"wrong_span_ms", s.RejectionWindow, 0, time.Hour},
	} {
		if x.is < x.least || x.is > x.most {
			return &SettingError{x.key, fmt.Sprintf("%d is not from %d to %d", x.is.Milliseconds(), x.least.Milliseconds(), x.most.Milliseconds())}
		}
	}
	for _, x := range []struct {
		key             string
		is, least, most float64
	}{
		{"jitter", s.Jitter, 0, 1}, {"suspect_times", s.SuspectLatencyFactor, 1, 1000},
		{"return_after", float64(s.MinReturnConns), 1, 1000}, {"wrong_after", float64(s.MaxRejections), 1, 1000},
		{"connects_per_second", s.ConnectRate, 0.1, 1e6}, {"connects_at_once", float64(s.ConnectBurst), 1, 1e6},
		{"connections", float64(s.MaxConns), 2, 4096}, {"requests", float64(s.MaxWaiting), 1, 1 << 20},
	} {
		if !(x.is >= x.least && x.is <= x.most) {
			return &SettingError{x.key, fmt.Sprintf("%v is not from %v to %v", x.is, x.least, x.most)}
		}
	}
	return nil
}
