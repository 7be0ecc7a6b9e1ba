package coldstart

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/operr"
)

// Settings are those of one process's start.
type Settings struct {
	Name       string // of the scheduler; its slots are derived from it
	Schedulers int    // in the fleet, with this one

	// The endpoint list.
	ListCallsPriced       bool          // list requests cost the list's service, so they are spread over the fleet
	MaxListCallsPerSecond float64       // list requests of the whole fleet; 0: DefaultMaxListCallsPerSecond
	StalenessBound        time.Duration // after which a change of the list counts as received; 0: the protocol's 6 s

	// Cold nodes.
	SlowStartUnits    float64       // that a node which has just started can take from the whole fleet within OverloadWindow
	OverloadWindow    time.Duration // of SlowStartUnits
	SlowStartDuration time.Duration // from a node's start until it is warmed up

	// Clients' requests.
	LatencyObjective time.Duration // the shortest of the classes; a request may wait half as long for the list
	MinRetryAfter    time.Duration // 0: 50 ms
	MaxRetryAfter    time.Duration // 0: 1 s

	Preconnects    int  // nodes to which a connection is opened ahead of need
	MayCheckHealth bool // whether a connection opened ahead carries a health check
	MaxNodes       int  // nodes held; 0: 4096
}

// DefaultMaxListCallsPerSecond is used where the settings give no MaxListCallsPerSecond.
const DefaultMaxListCallsPerSecond = 40.0

const (
	maxStalenessBound    = 6 * time.Second        // by the protocol of the list
	stalenessBoundShare  = 5.0 / 6                // for first list requests and for ready; the rest is for the answer
	usualListRequestTime = 100 * time.Millisecond // of one list request
	cachedListDelay      = time.Second            // before the cached list is used, where list requests are not priced
	readyDelay           = time.Second            // from the use of the cached list to ready
	listRequestInterval  = 300 * time.Millisecond // between list requests that are not priced
	maxListBackoffFactor = 8
	learningDuration     = 3 * time.Second // after the list, at least
	preconnectWindow     = time.Second     // within which connections are opened ahead
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = time.Second
	maxTimer             = time.Hour
	defaultMaxNodes      = 4096

	defaultMinRetryAfter = 50 * time.Millisecond
	defaultMaxRetryAfter = time.Second
)

// SettingError reports a setting that is out of its bounds.
type SettingError struct {
	Key   string
	Value any
	Want  string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("start: %s is %v, and must be %s", e.Key, e.Value, e.Want)
}

// Code implements operr.Coded.
func (e *SettingError) Code() string { return "coldstart-setting" }

// Advice implements operr.Coded.
func (e *SettingError) Advice() string {
	return "Correct the key in the section start of the configuration; until then, start without that section."
}

func init() { operr.Register(&SettingError{"hosts", 0, "1 or more"}) }

// check reports the first setting that is out of its bounds, and sets the defaults.
func (s *Settings) check() error {
	if s.Schedulers < 1 {
		return &SettingError{"hosts", s.Schedulers, "1 or more"}
	}
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"list_most", s.MaxListCallsPerSecond}, {"cold_units", s.SlowStartUnits}, {"told", s.StalenessBound.Seconds()},
		{"tip_span", s.OverloadWindow.Seconds()}, {"cold_span", s.SlowStartDuration.Seconds()}, {"aim", s.LatencyObjective.Seconds()},
		{"connects", float64(s.Preconnects)}, {"retry_least", s.MinRetryAfter.Seconds()}, {"retry_most", s.MaxRetryAfter.Seconds()},
		{"nodes_most", float64(s.MaxNodes)},
	} {
		if math.IsNaN(setting.value) || math.IsInf(setting.value, 0) || setting.value < 0 {
			return &SettingError{setting.key, setting.value, "0 or more"}
		}
	}
	if s.MaxListCallsPerSecond == 0 {
		s.MaxListCallsPerSecond = DefaultMaxListCallsPerSecond
	}
	if s.StalenessBound == 0 || s.StalenessBound > maxStalenessBound {
		s.StalenessBound = maxStalenessBound
	}
	if s.MaxRetryAfter == 0 {
		s.MaxRetryAfter = defaultMaxRetryAfter
	}
	if s.MinRetryAfter == 0 {
		s.MinRetryAfter = defaultMinRetryAfter
	}
	s.MinRetryAfter = min(s.MinRetryAfter, s.MaxRetryAfter)
	if s.MaxNodes == 0 {
		s.MaxNodes = defaultMaxNodes
	}
	return nil
}

// SlowStartShare is the part of its share of a cold node's budget that a process uses when it starts together with its whole
// fleet. The rest is a reserve: nodes are drawn at random, and no process knows well yet which others use a node.
const SlowStartShare = 0.8

// Slot is the position of a name within a duration, by its hash. The positions of different names are spread evenly.
func Slot(within time.Duration, parts ...string) time.Duration {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part) // a hash takes everything
		_, _ = hash.Write([]byte{0})
	}
	return time.Duration(float64(within) * (float64(hash.Sum64()>>11) / (1 << 53)))
}

// ListCallSpread is the duration over which the first list requests of the fleet are spread: what the list's service needs
// for the whole fleet, within the staleness bound. It is 0 where list requests are not priced.
func (s *Settings) ListCallSpread() time.Duration {
	if !s.ListCallsPriced {
		return 0
	}
	need := time.Duration(float64(s.Schedulers) / s.MaxListCallsPerSecond * float64(time.Second))
	return min(need, s.ReadyDeadline())
}

// ReadyDeadline is when ready is reported at the latest, even if nothing was received.
func (s *Settings) ReadyDeadline() time.Duration {
	return time.Duration(stalenessBoundShare * float64(s.StalenessBound))
}
