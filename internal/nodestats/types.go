// Package nodestats collects what the scheduler processes of one fleet observe of the storage nodes, in a state that can
// be merged with those of other processes. Each process (origin) has a record made of cells, which only it updates. A
// state contains the newest cells of every origin, and its views aggregate them over the origins. Clocks of different
// processes are never compared: messages contain ages, and the receiver adds to them the time since their arrival.
// docs/design/observations.md names the sources.
//
// Invariants:
//   - Merging is commutative, associative and idempotent, also at the bounds: any order, tree and number of merges of
//     the same messages gives the same state, apart from ages.
//   - An older incarnation or sequence never replaces a newer one, and does not come back once the newer has expired.
//   - Where at least three origins report a key, none has over ClipFactor times the median's weight or values in a view.
//   - When a node is replaced by another one of the same name, the statistics of the earlier one are not used for it.
//   - A process that receives cells of its own name from another incarnation starts a later incarnation.
//   - A message that cannot be decoded, or is of a later version, changes nothing but a count.
//   - Origins, nodes, classes and message bytes stay within Settings; what exceeds them is counted.
//
// The package does not send, read a clock or lock: package gossip does.
package nodestats

import (
	"math"
	"time"
)

// Outcome is the result of an attempt, as far as it concerns the node.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota // counts in Sums and in the sketch
	Rejected                // the node had no capacity
	Failed                  // an error, a reset, or no connection
	TimedOut                // no answer by the deadline
	numOutcomes
)

// Key identifies what is measured: a class of requests on one run of a node.
type Key struct {
	Node      string
	StartTime int64 // of the node's run, Unix ms, as in the endpoint list
	Class     string
}

// Sums are decayed sums over served requests: the number N, the work units X and the service times Y in milliseconds,
// with their squares and products. The sums of several origins can be added.
type Sums struct{ N, X, Y, XX, XY, YY float64 }

// Add returns the sums over the requests of s and o.
func (s Sums) Add(o Sums) Sums {
	return Sums{s.N + o.N, s.X + o.X, s.Y + o.Y, s.XX + o.XX, s.XY + o.XY, s.YY + o.YY}
}

// Scale returns s with each weight multiplied by n, each request's units by x and its milliseconds by y.
func (s Sums) Scale(n, x, y float64) Sums {
	return Sums{s.N * n, s.X * n * x, s.Y * n * y, s.XX * n * x * x, s.XY * n * x * y, s.YY * n * y * y}
}

// Health is the state of a node as one process sees it.
type Health struct {
	Type      string // hardware type from the endpoint list or the settings; empty: unknown
	Shard     int
	WarmingUp bool
	Window    float64 // requests that the process may have in flight
	Queue     float64 // requests queued for the node
}

// View aggregates the reports of all processes on one key.
type View struct {
	Key
	Type                       string // hardware type; empty: unknown
	Shard                      int
	Sums                       Sums    // over origins, each clipped
	Rejected, Failed, TimedOut float64 // decayed counts
	WarmingUp                  bool
	Window, Queue              float64       // means over origins
	Sketch                     []byte        // merged sketch of latencies in milliseconds; read by Quantile
	Origins                    int           // number of origins that report the key
	Age                        time.Duration // of the newest report
}

// ListVersion is the version of the endpoint list that an origin uses.
type ListVersion struct {
	Origin  string
	Version int64
	Age     time.Duration
}

// Settings configure a State.
type Settings struct {
	MaxOrigins      int           // other processes stored; which of them are stored depends only on their names
	MaxNodes        int           // nodes that an origin reports
	MaxClasses      int           // classes that an origin reports on each node
	MaxMessageBytes int           // of one message
	HalfLife        time.Duration // of an observation's weight
	ExpireAfter     time.Duration // age at which a cell that was not updated is dropped
	ClipFactor      float64       // how far one origin's weight and values may exceed the median
}

// Defaults returns settings for about thirty processes.
func Defaults() Settings {
	return Settings{MaxOrigins: 32, MaxNodes: 256, MaxClasses: 16, MaxMessageBytes: 1200,
		HalfLife: 1500 * time.Millisecond, ExpireAfter: 5 * time.Minute, ClipFactor: 2}
}

const (
	maxNameBytes    = 64      // of a name
	maxMessageBytes = 1 << 16 // of a message that is decoded
	minMessageLimit = 1200    // bytes: the least value of MaxMessageBytes; the largest cell fits
)

// Check returns a SettingError for the first setting out of its range.
func (s Settings) Check() error {
	for _, b := range []struct {
		key             string
		value, min, max float64
	}{
		{"origins", float64(s.MaxOrigins), 1, 1024},
		{"nodes", float64(s.MaxNodes), 1, 65536},
		{"classes", float64(s.MaxClasses), 1, 1024},
		{"bytes", float64(s.MaxMessageBytes), minMessageLimit, maxMessageBytes},
		{"half_life_ms", toMilliseconds(s.HalfLife), 1, 1e9},
		{"expire_ms", toMilliseconds(s.ExpireAfter), toMilliseconds(s.HalfLife), 1e10},
		{"clip", s.ClipFactor, 1, 1e6},
	} {
		if !(b.value >= b.min && b.value <= b.max) { // also true for NaN
			return &SettingError{Key: b.key, Value: b.value, Min: b.min, Max: b.max}
		}
	}
	return nil
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
