package nodestats

import (
	"math"
	"time"
)

// rebaseInterval is the number of half-lives after which a recorder's weights are scaled back to 1. The short-term weight
// of a new outcome has grown to about a million by then.
const rebaseInterval = 20

// Recorder records outcomes of one class on one run of a node. Callers may use it indefinitely: after it has expired or
// its node was replaced, Record attaches it again or counts the outcome as over the limit.
//
// It uses forward decay (Cormode, Shkapenyuk, Srivastava, Xu, ICDE 2009): the weights of new outcomes grow with time
// instead of all sums shrinking, so that recording an outcome updates only one latency bin.
type Recorder struct {
	state        *State
	key          Key
	attached     bool          // belongs to its node's recorders
	changed      bool          // has unpublished outcomes
	weightBase   time.Duration // time at which an outcome's weight is 1
	lastRecorded time.Duration
	lastReset    time.Duration
	stats        classStats // in weights relative to weightBase
}

// Recorder returns the recorder of a key, and creates it if needed. It is never nil. Outcomes of a key that exceeds a
// limit, or of an earlier run of the node, are counted in Counts.OverLimit.
func (s *State) Recorder(now time.Duration, key Key) *Recorder {
	if n := s.localNodes[key.Node]; n != nil && n.startTime == key.StartTime {
		for _, r := range n.recorders {
			if r.key.Class == key.Class {
				return r
			}
		}
	}
	r := &Recorder{state: s, key: key}
	r.attach(now)
	return r
}

// attach adds the recorder to its node. It returns false if a limit is reached, the run is an earlier one, or the key has
// another recorder.
func (r *Recorder) attach(now time.Duration) bool {
	if !validName(r.key.Node) || !validName(r.key.Class) {
		return false
	}
	n := r.state.localNodeFor(now, r.key.Node, r.key.StartTime, false)
	if n == nil {
		return false
	}
	for _, other := range n.recorders {
		if other.key.Class == r.key.Class {
			return false
		}
	}
	if len(n.recorders) >= r.state.settings.MaxClasses {
		return false
	}
	r.attached = true
	r.weightBase, r.lastRecorded, r.lastReset = now, now, now
	r.stats = classStats{startTime: r.key.StartTime}
	n.recorders = append(n.recorders, r)
	return true
}

// Record records the outcome of one attempt with its work in units and its service time.
func (r *Recorder) Record(now time.Duration, units, millis float64, outcome Outcome) {
	if !r.attached && !r.attach(now) {
		r.state.counts.OverLimit++
		return
	}
	inRange := units >= 0 && units <= maxUnits && millis >= 0 && millis <= maxLatencyMs
	if outcome >= numOutcomes || outcome == Served && !inRange {
		r.state.counts.Invalid++
		return
	}
	at := max(now, r.lastRecorded)
	halfLives := float64(at-r.weightBase) / float64(r.state.settings.HalfLife)
	if halfLives > rebaseInterval {
		r.rebase(at)
		halfLives = 0
	}
	w := math.Exp2(halfLives / longHalfLives)
	r.stats.record(w, units, millis, outcome)
	r.lastRecorded, r.changed = at, true
}

// record adds an outcome with the long-term weight w.
func (c *classStats) record(w, units, millis float64, outcome Outcome) {
	short := w * w * w * w // w to the power of longHalfLives
	switch outcome {
	case Served:
		c.long.sums.addServed(w, units, millis)
		c.short.sums.addServed(short, units, millis)
		c.bins[binOf(millis)] += short
	case Rejected:
		c.long.rejected += w
		c.short.rejected += short
	case Failed:
		c.long.failed += w
		c.short.failed += short
	case TimedOut:
		c.long.timedOut += w
		c.short.timedOut += short
	}
}

func (s *Sums) addServed(w, x, y float64) {
	wx, wy := w*x, w*y
	s.N += w
	s.X += wx
	s.Y += wy
	s.XX += wx * x
	s.XY += wx * y
	s.YY += wy * y
}

func (r *Recorder) rebase(at time.Duration) {
	r.stats.scale(at-r.weightBase, r.state.settings.HalfLife)
	r.weightBase = at
}

// resetIfChanged drops all outcomes if the short-term and the long-term statistics deviate so far that the node must have
// changed, because outcomes from before the change would hide it. Other processes decide for their own records.
func (r *Recorder) resetIfChanged(now time.Duration) {
	if now-r.lastReset < resetInterval*r.state.settings.HalfLife {
		return
	}
	stats := r.stats
	stats.decay(max(now, r.lastRecorded)-r.weightBase, r.state.settings.HalfLife)
	if stats.short.weight() >= resetMinWeight && deviation(&stats.short, &stats.long, true) > resetDeviation {
		r.lastReset, r.weightBase = now, now
		r.lastRecorded = max(now, r.lastRecorded)
		r.stats = classStats{startTime: r.key.StartTime}
		r.state.counts.Resets++
	}
}

// statsAt returns the statistics with weights relative to now.
func (r *Recorder) statsAt(now time.Duration) classStats {
	stats := r.stats
	stats.scale(max(now, r.lastRecorded)-r.weightBase, r.state.settings.HalfLife)
	return stats
}
