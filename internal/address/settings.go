package address

import (
	"fmt"
	"time"
)

// Settings configure a Selector. Errors name the keys of the configuration file.
type Settings struct {
	Preference []Family // families, the most preferred first

	// Staggered connects of a race (RFC 8305 section 5).
	ConnectDelay    time.Duration // from one connect to the next while no connect time is known
	MinConnectDelay time.Duration
	MaxConnectDelay time.Duration

	// Backoff of addresses with faults.
	Backoff            time.Duration // after the first failure; it doubles with each further one
	MaxBackoff         time.Duration
	Jitter             float64       // random share of a backoff, from 0 to 1
	WrongNodeBackoff   time.Duration // first backoff of an address that leads to another node
	UnsupportedBackoff time.Duration // of an address whose family this machine does not support
	DownTrialInterval  time.Duration // between races or trials while all addresses are down

	// Silence. The bound is SuspectLatencyFactor times the usual response time, within MinSuspectAfter and MaxSuspectAfter.
	MinSuspectAfter      time.Duration
	MaxSuspectAfter      time.Duration
	SuspectLatencyFactor float64
	// After a silence of CrossCheckAfter, or of SuspectLatencyFactor times the usual response time if that is longer, one
	// request is sent by another address as a cross-check. If that address responds while the first one stays silent, the node
	// itself has not stalled, and the first address is suspect.
	CrossCheckAfter time.Duration

	TrialInterval time.Duration // between trials of an address that responds again
	TrialPatience time.Duration // after which a trial connection may also carry non-idempotent requests

	MinReturnConns int           // timely connections until a preferred address becomes the primary again
	MinReturnDelay time.Duration // from any change of the primary to such a return
	MaxReturnDelay time.Duration // upper bound of the delay, which doubles with each return after which the primary soon changes again

	// Rejections. MaxRejections in a row, and no request served within RejectionWindow, make an address suspect.
	MaxRejections   int
	RejectionWindow time.Duration

	ConnectRate  float64 // connects per second
	ConnectBurst int     // connects at once

	MaxConns   int // connections, including those that are connecting
	MaxWaiting int // requests that wait for a connection
}

// Defaults returns the settings that apply to keys missing from the configuration.
func Defaults() Settings {
	return Settings{
		Preference:   []Family{Unix, IPv6, IPv4},
		ConnectDelay: 250 * time.Millisecond, MinConnectDelay: 100 * time.Millisecond, MaxConnectDelay: 2 * time.Second,
		Backoff: time.Second, MaxBackoff: 15 * time.Second, Jitter: 0.3,
		WrongNodeBackoff: 5 * time.Second, UnsupportedBackoff: time.Minute, DownTrialInterval: 100 * time.Millisecond,
		MinSuspectAfter: 200 * time.Millisecond, MaxSuspectAfter: time.Second, SuspectLatencyFactor: 4, CrossCheckAfter: 50 * time.Millisecond,
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

// Check returns a *SettingError for the first setting that is out of its bounds.
func (s *Settings) Check() error {
	if err := s.checkPreference(); err != nil {
		return err
	}
	if err := s.checkDurations(); err != nil {
		return err
	}
	return s.checkNumbers()
}

func (s *Settings) checkPreference() error {
	seen := [familyCount]bool{}
	if len(s.Preference) == 0 {
		return &SettingError{"preference", "contains no address family"}
	}
	for _, k := range s.Preference {
		if k >= familyCount || seen[k] {
			return &SettingError{"preference", fmt.Sprintf("%v is unknown or repeated", k)}
		}
		seen[k] = true
	}
	return nil
}

func (s *Settings) checkDurations() error {
	for _, x := range []struct {
		key      string
		value    time.Duration
		min, max time.Duration
	}{
		{"delay_least_ms", s.MinConnectDelay, rfcMinDelay, rfcMaxDelay},
		{"delay_most_ms", s.MaxConnectDelay, s.MinConnectDelay, rfcMaxDelay},
		{"delay_ms", s.ConnectDelay, s.MinConnectDelay, s.MaxConnectDelay},
		{"backoff_ms", s.Backoff, time.Millisecond, time.Hour},
		{"backoff_most_ms", s.MaxBackoff, s.Backoff, time.Hour},
		{"wrong_ms", s.WrongNodeBackoff, time.Millisecond, time.Hour},
		{"absent_ms", s.UnsupportedBackoff, time.Millisecond, 24 * time.Hour},
		{"down_every_ms", s.DownTrialInterval, time.Millisecond, time.Minute},
		{"suspect_least_ms", s.MinSuspectAfter, time.Millisecond, time.Hour},
		{"suspect_most_ms", s.MaxSuspectAfter, s.MinSuspectAfter, time.Hour},
		{"doubt_ms", s.CrossCheckAfter, time.Millisecond, time.Hour},
		{"trial_gap_ms", s.TrialInterval, time.Millisecond, time.Hour},
		{"trial_patience_ms", s.TrialPatience, 0, time.Hour},
		{"return_span_ms", s.MinReturnDelay, time.Millisecond, time.Hour},
		{"return_most_ms", s.MaxReturnDelay, s.MinReturnDelay, 24 * time.Hour},
		{"wrong_span_ms", s.RejectionWindow, 0, time.Hour},
	} {
		if x.value < x.min || x.value > x.max {
			return &SettingError{x.key, fmt.Sprintf("%d is not from %d to %d", x.value.Milliseconds(), x.min.Milliseconds(), x.max.Milliseconds())}
		}
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	for _, x := range []struct {
		key             string
		value, min, max float64
	}{
		{"jitter", s.Jitter, 0, 1}, {"suspect_times", s.SuspectLatencyFactor, 1, 1000},
		{"return_after", float64(s.MinReturnConns), 1, 1000}, {"wrong_after", float64(s.MaxRejections), 1, 1000},
		{"connects_per_second", s.ConnectRate, 0.1, 1e6}, {"connects_at_once", float64(s.ConnectBurst), 1, 1e6},
		{"connections", float64(s.MaxConns), 2, 4096}, {"requests", float64(s.MaxWaiting), 1, 1 << 20},
	} {
		if !(x.value >= x.min && x.value <= x.max) {
			return &SettingError{x.key, fmt.Sprintf("%v is not from %v to %v", x.value, x.min, x.max)}
		}
	}
	return nil
}
