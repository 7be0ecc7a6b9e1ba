package coldstart

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/operr"
)

// Settings is what a start knows before it hears anything.
type Settings struct {
	Schedulers            int
	Name                  string        // slots come from it
	ListCallsPriced       bool          // calls of the list cost its service: they are spread over the fleet
	MaxListCallsPerSecond float64       // calls a second that all hosts may make, 0: DefaultMaxListCallsPerSecond
	StalenessBound        time.Duration // what the list says counts as told after this, 0: the protocol's 6 s
	SlowStartUnits        float64       // units a node that has just started bears from all hosts within OverloadWindow
	OverloadWindow        time.Duration
	SlowStartDuration     time.Duration // after which a node is warm
	LatencyObjective      time.Duration // the tightest: a request may wait this long for the list
	MinRetryAfter         time.Duration // Retry-After is between these, 0: 50 ms and 1 s
	MaxRetryAfter         time.Duration
	Preconnects           int // nodes to which a connection is opened ahead, 0: none
	MayCheckHealth        bool
	MaxNodes              int // nodes held, 0: 4096
}

// Figures.
const (
	DefaultMaxListCallsPerSecond = 40.0                   // calls of the list a second, where the settings name none
	maxStalenessBound            = 6 * time.Second        // the protocol's
	stalenessBoundShare          = 5.0 / 6                // first calls are spread over this part of it, and ready is said then: the rest is for the answer
	usualListRequestTime         = 100 * time.Millisecond // a call of the list takes this long, as a rule
	cachedListDelay              = time.Second            // a list that is not priced is waited for this long before the held one serves
	readyDelay                   = time.Second            // with the held list in use ready is said after this
	listRequestInterval          = 300 * time.Millisecond // between calls that are not priced
	maxListBackoffFactor         = 8                      // calls turned away stretch the gap to this multiple at most
	learningDuration             = 3 * time.Second        // learning lasts this long after the list, and while a node is cold
	preconnectWindow             = time.Second            // connections ahead are opened within this
	minBackoff                   = 100 * time.Millisecond // a node that was full or slow rests this long, doubling ...
	maxBackoff                   = time.Second            // ... to this
	defaultMaxNodes              = 4096
)

// SettingError is a setting that cannot be.
type SettingError struct {
	Key   string
	Value any
	Want  string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("start: %s is %v, and must be %s", e.Key, e.Value, e.Want)
}

// Code is stable.
func (e *SettingError) Code() string { return "coldstart-setting" }

// Advice says what to do.
func (e *SettingError) Advice() string {
	return "correct the key in the configuration; until then start without the section start"
}

func init() { operr.Register(&SettingError{"hosts", 0, "1 or more"}) }

func (s *Settings) check() error {
	if s.Schedulers < 1 {
		return &SettingError{"hosts", s.Schedulers, "1 or more"}
	}
	for _, k := range []struct {
		key string
		v   float64
	}{{"list_most", s.MaxListCallsPerSecond}, {"cold_units", s.SlowStartUnits}, {"told", s.StalenessBound.Seconds()}, {"tip_span", s.OverloadWindow.Seconds()},
		{"cold_span", s.SlowStartDuration.Seconds()}, {"aim", s.LatencyObjective.Seconds()}, {"connects", float64(s.Preconnects)},
		{"retry_least", s.MinRetryAfter.Seconds()}, {"retry_most", s.MaxRetryAfter.Seconds()}, {"nodes_most", float64(s.MaxNodes)}} {
		if math.IsNaN(k.v) || math.IsInf(k.v, 0) || k.v < 0 {
			return &SettingError{k.key, k.v, "0 or more"}
		}
	}
	if s.MaxListCallsPerSecond == 0 {
		s.MaxListCallsPerSecond = DefaultMaxListCallsPerSecond
	}
	if s.StalenessBound == 0 || s.StalenessBound > maxStalenessBound {
		s.StalenessBound = maxStalenessBound
	}
	if s.MaxRetryAfter == 0 {
		s.MaxRetryAfter = time.Second
	}
	if s.MinRetryAfter == 0 {
		s.MinRetryAfter = 50 * time.Millisecond
	}
	s.MinRetryAfter = min(s.MinRetryAfter, s.MaxRetryAfter)
	if s.MaxNodes == 0 {
		s.MaxNodes = defaultMaxNodes
	}
	return nil
}

// SlowStartShare is the part of a cold node's budget that a process uses which starts beside its whole
// fleet: turns are drawn, and estimates of who else works with a node are noisy while all are new.
const SlowStartShare = 0.8

// Slot is where a name stands in a span, by its hash: even over any set of names.
func Slot(span time.Duration, parts ...string) time.Duration {
	d := xxhash.New()
	for _, p := range parts {
		d.WriteString(p)
		d.Write([]byte{0})
	}
	return time.Duration(float64(span) * (float64(d.Sum64()>>11) / (1 << 53)))
}

// ListCallSpread is the span over which the hosts' first calls of the list fall: as long as the service
// needs for the whole fleet, within the bound of the list's clock. None, where calls cost nothing.
func (s *Settings) ListCallSpread() time.Duration {
	if !s.ListCallsPriced {
		return 0
	}
	need := time.Duration(float64(s.Schedulers) / s.MaxListCallsPerSecond * float64(time.Second))
	return min(need, time.Duration(stalenessBoundShare*float64(s.StalenessBound)))
}

// ReadyDeadline is when ready is said at the latest, whatever is heard.
func (s *Settings) ReadyDeadline() time.Duration {
	return time.Duration(stalenessBoundShare * float64(s.StalenessBound))
}
