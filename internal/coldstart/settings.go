package coldstart

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/operr"
)

// Settings configure the start of one process.
type Settings struct {
	Name       string // of the scheduler, from which its slots are derived
	Schedulers int    // number of schedulers in the fleet, including this one

	// The endpoint list.
	ListRequestsPriced       bool          // list requests load the list's service, so the fleet spreads them over time
	MaxListRequestsPerSecond float64       // of the whole fleet; 0: DefaultMaxListRequestsPerSecond
	StalenessBound           time.Duration // after which every process has received a change of the list; 0: 6 s, the protocol's bound

	// Cold nodes.
	SlowStartUnits    float64       // units that a node can serve for the whole fleet within OverloadWindow just after its start
	OverloadWindow    time.Duration // to which SlowStartUnits refers
	SlowStartDuration time.Duration // from a node's start until it is warmed up

	// Clients' requests.
	LatencyObjective time.Duration // the shortest of all classes; a request may wait for the list for up to half of it
	MinRetryAfter    time.Duration // 0: 50 ms
	MaxRetryAfter    time.Duration // 0: 1 s

	Preconnects    int  // number of nodes to which a connection is opened in advance
	MayCheckHealth bool // whether a health check is sent on a connection that was opened in advance
	MaxNodes       int  // number of nodes whose state is stored; 0: 4096
}

// DefaultMaxListRequestsPerSecond is used where the settings give no MaxListRequestsPerSecond.
const DefaultMaxListRequestsPerSecond = 40.0

const (
	maxStalenessBound    = 6 * time.Second        // defined by the protocol of the list
	stalenessBoundShare  = 5.0 / 6                // by when the first list request is sent and ready is reported; the rest is left for the response
	usualListRequestTime = 100 * time.Millisecond // from a list request to its response
	cachedListDelay      = time.Second            // before the cached list is used if list requests are not priced
	readyDelay           = time.Second            // from the first use of the cached list to ready
	listRequestInterval  = 300 * time.Millisecond // between list requests that are not priced
	maxListBackoffFactor = 8
	learningDuration     = 3 * time.Second // at least, from the receipt of the list
	preconnectWindow     = time.Second     // within which connections are opened in advance
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

// check returns an error for the first setting that is out of its bounds, and sets the defaults.
func (s *Settings) check() error {
	if s.Schedulers < 1 {
		return &SettingError{"hosts", s.Schedulers, "1 or more"}
	}
	for _, setting := range []struct {
		key   string
		value float64
	}{
		{"list_most", s.MaxListRequestsPerSecond}, {"cold_units", s.SlowStartUnits}, {"told", s.StalenessBound.Seconds()},
		{"tip_span", s.OverloadWindow.Seconds()}, {"cold_span", s.SlowStartDuration.Seconds()}, {"aim", s.LatencyObjective.Seconds()},
		{"connects", float64(s.Preconnects)}, {"retry_least", s.MinRetryAfter.Seconds()}, {"retry_most", s.MaxRetryAfter.Seconds()},
		{"nodes_most", float64(s.MaxNodes)},
	} {
		if math.IsNaN(setting.value) || math.IsInf(setting.value, 0) || setting.value < 0 {
			return &SettingError{setting.key, setting.value, "0 or more"}
		}
	}
	if s.MaxListRequestsPerSecond == 0 {
		s.MaxListRequestsPerSecond = DefaultMaxListRequestsPerSecond
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

// SlowStartShare is the fraction of its share of a cold node's budget that a process uses if it starts together with the
// whole fleet. The rest is a reserve, since nodes are chosen at random and no process has a good estimate yet of how many
// others use a node.
const SlowStartShare = 0.8

// Slot returns the position of a name within a duration, derived from its hash. The positions of different names are spread
// evenly.
func Slot(within time.Duration, parts ...string) time.Duration {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part) // writing to a hash never fails
		_, _ = hash.Write([]byte{0})
	}
	return time.Duration(float64(within) * (float64(hash.Sum64()>>11) / (1 << 53)))
}

// ListRequestSpread returns the duration over which the first list requests of the fleet are spread: the time that the list's
// service needs for the requests of the whole fleet, up to ReadyDeadline. It is 0 if list requests are not priced.
func (s *Settings) ListRequestSpread() time.Duration {
	if !s.ListRequestsPriced {
		return 0
	}
	need := time.Duration(float64(s.Schedulers) / s.MaxListRequestsPerSecond * float64(time.Second))
	return min(need, s.ReadyDeadline())
}

// ReadyDeadline returns the time by which ready is reported, even if no list was received.
func (s *Settings) ReadyDeadline() time.Duration {
	return time.Duration(stalenessBoundShare * float64(s.StalenessBound))
}
