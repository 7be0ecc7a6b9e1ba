// Package nodestats owns what processes of one fleet share of the nodes behind them: a state that merges. Each
// process (origin) has a record of its own, in cells that only it renews; a state is the newest of every
// origin's record, and views add the origins up. No clock is compared: ages are spans, noted by the
// receiver. docs/design/observations.md has the sources.
//
// Invariants:
//   - merging is commutative, associative and idempotent, also at the bounds: any order, tree and
//     number of merges of the same messages gives the same state, ages apart;
//   - an older incarnation or sequence never goes over a newer one, nor comes back once that has expired;
//   - one origin has at most Clip times the weight and the values of the median in a view, where three
//     or more tell of a key;
//   - a node that is replaced under its name starts as unknown;
//   - a process whose name comes with figures of another life begins a later one;
//   - a message that cannot be read, or is of a later version, changes nothing but a count;
//   - origins, nodes, classes and bytes stay within Settings; what is beyond is counted.
//
// It does not send, read a clock or lock: internal/gossip does.
package nodestats

import (
	"math"
	"time"
)

// Outcome is how an attempt ended, as far as a node's picture needs it.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota // counts in Sums and the sketch
	Rejected                // the node was full
	Failed                  // an error, a reset, no connection
	TimedOut                // out of time
	numOutcomes
)

// Key names what is measured: a class on one life of a node.
type Key struct {
	Node      string
	StartTime int64 // since_ms of the node's start, as the list says it
	Class     string
}

// Sums are decayed counts that add up: of the requests served, of their units X and their
// service times Y in milliseconds.
type Sums struct{ N, X, Y, XX, XY, YY float64 }

// Add is both together.
func (s Sums) Add(o Sums) Sums {
	return Sums{s.N + o.N, s.X + o.X, s.Y + o.Y, s.XX + o.XX, s.XY + o.XY, s.YY + o.YY}
}

// Scale is s with weight times n, units times x and milliseconds times y.
func (s Sums) Scale(n, x, y float64) Sums {
	return Sums{s.N * n, s.X * n * x, s.Y * n * y, s.XX * n * x * x, s.XY * n * x * y, s.YY * n * y * y}
}

// Health is what one process holds of a node.
type Health struct {
	Type      string // hardware, as the list or the settings name it; "": unknown
	Shard     int
	WarmingUp bool
	Window    float64 // what the process may have out there
	Queue     float64 // what waits for it
}

// View is what is known of one key over all processes.
type View struct {
	Key
	Type                       string // hardware; "": unknown
	Shard                      int
	Sums                       Sums    // over origins, each clipped
	Rejected, Failed, TimedOut float64 // decayed counts
	WarmingUp                  bool
	Window, Queue              float64       // mean over origins
	Sketch                     []byte        // of latencies in milliseconds, merged; read by Quantile
	Origins                    int           // that told of the key
	Age                        time.Duration // of the newest
}

// ListVersion is the version of the node list that an origin holds.
type ListVersion struct {
	Origin  string
	Version int64
	Age     time.Duration
}

// Settings are the bounds.
type Settings struct {
	MaxOrigins      int           // other processes held; of more, those of a fixed order stay
	MaxNodes        int           // nodes an origin may tell of
	MaxClasses      int           // classes an origin may tell of, on each
	MaxMessageBytes int           // of one message
	HalfLife        time.Duration // of an observation's weight
	ExpireAfter     time.Duration // what was not told anew for so long goes
	ClipFactor      float64       // how far over the others one origin may stand, in weight and in value
}

// Defaults are good for some thirty processes.
func Defaults() Settings {
	return Settings{MaxOrigins: 32, MaxNodes: 256, MaxClasses: 16, MaxMessageBytes: 1200,
		HalfLife: 1500 * time.Millisecond, ExpireAfter: 5 * time.Minute, ClipFactor: 2}
}

const (
	maxNameBytes    = 64 // bytes of a name
	maxMessageBytes = 1 << 16
	minMessageLimit = 1200
)

// Check names the setting that is wrong.
func (s Settings) Check() error {
	for _, b := range []struct {
		key         string
		value       float64
		least, most float64
	}{
		{"origins", float64(s.MaxOrigins), 1, 1024}, {"nodes", float64(s.MaxNodes), 1, 65536}, {"classes", float64(s.MaxClasses), 1, 1024},
		{"bytes", float64(s.MaxMessageBytes), minMessageLimit, maxMessageBytes}, {"half_life_ms", toMilliseconds(s.HalfLife), 1, 1e9},
		{"expire_ms", toMilliseconds(s.ExpireAfter), toMilliseconds(s.HalfLife), 1e10}, {"clip", s.ClipFactor, 1, 1e6},
	} {
		if !(b.value >= b.least && b.value <= b.most) {
			return &SettingError{Key: b.key, Value: b.value, Min: b.least, Max: b.most}
		}
	}
	return nil
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
