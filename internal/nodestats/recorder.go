package nodestats

import (
	"math"
	"time"
)

// The own record: weights grow with time instead of all sums shrinking (forward decay: Cormode,
// Shkapenyuk, Srivastava, Xu, ICDE 2009), so that recording touches one bucket alone.
const rebaseInterval = 20 // half-lives: the weights then reach a million

// localNode is what this process holds of a node's present life.
type localNode struct {
	startTime     int64
	health        Health
	healthSetAt   time.Duration // when health was set
	hasHealth     bool
	healthChanged bool // health is to be sent
	recorders     []*Recorder
}

// Recorder is where one class on one node is recorded. It stays the caller's; once the node is another or the
// slot was not used for long it finds its place again by itself, or counts what it cannot hold.
type Recorder struct {
	state        *State
	key          Key
	attached     bool
	changed      bool
	weightBase   time.Duration // weights are 1 here
	lastRecorded time.Duration
	lastReset    time.Duration // when it last forgot all
	stats        classStats    // in weights of base
}

// Recorder finds or makes the place of a key. It never is nil: what has no place, by the bounds or as an
// earlier life of its node, is counted in Beyond as it is recorded.
func (s *State) Recorder(now time.Duration, k Key) *Recorder {
	if n := s.localNodes[k.Node]; n != nil && n.startTime == k.StartTime {
		for _, l := range n.recorders {
			if l.key.Class == k.Class {
				return l
			}
		}
	}
	l := &Recorder{state: s, key: k}
	l.attach(now)
	return l
}

func (l *Recorder) attach(now time.Duration) bool {
	if !validName(l.key.Node) || !validName(l.key.Class) {
		return false
	}
	n := l.state.localNodeFor(now, l.key.Node, l.key.StartTime, false)
	if n == nil {
		return false
	}
	for _, o := range n.recorders {
		if o.key.Class == l.key.Class {
			return false // another slot of the same key took it
		}
	}
	if len(n.recorders) >= l.state.settings.MaxClasses {
		return false
	}
	l.attached, l.weightBase, l.lastRecorded, l.lastReset, l.stats = true, now, now, now, classStats{startTime: l.key.StartTime}
	n.recorders = append(n.recorders, l)
	return true
}

// localNodeFor is a node's own record, made where there is room. Of two lives the later stays, unless the list
// itself names the other.
func (s *State) localNodeFor(now time.Duration, name string, since int64, listed bool) *localNode {
	n := s.localNodes[name]
	switch {
	case n == nil && len(s.localNodes) >= s.settings.MaxNodes:
		s.expireLocal(now)
		if len(s.localNodes) >= s.settings.MaxNodes {
			return nil
		}
		fallthrough
	case n == nil:
		n = &localNode{startTime: since}
		s.localNodes[name] = n
		s.localOrder = append(s.localOrder, name)
	case n.startTime == since:
	case since > n.startTime || listed:
		for _, l := range n.recorders {
			l.attached = false
		}
		*n = localNode{startTime: since}
	default:
		return nil
	}
	return n
}

// Record counts the end of one attempt.
func (l *Recorder) Record(now time.Duration, units, millis float64, o Outcome) {
	if !l.attached && !l.attach(now) {
		l.state.counts.OverLimit++
		return
	}
	if o >= numOutcomes || o == Served && !(units >= 0 && units <= maxUnits && millis >= 0 && millis <= maxLatencyMs) {
		l.state.counts.Invalid++
		return
	}
	at := max(now, l.lastRecorded)
	p := float64(at-l.weightBase) / float64(l.state.settings.HalfLife)
	if p > rebaseInterval {
		l.rebase(at)
		p = 0
	}
	w := math.Exp2(p / longHalfLives)
	short := w * w * w * w
	f := &l.stats
	switch o {
	case Served:
		f.long.sums.addServed(w, units, millis)
		f.short.sums.addServed(short, units, millis)
		f.bins[binOf(millis)] += short
	case Rejected:
		f.long.rejected += w
		f.short.rejected += short
	case Failed:
		f.long.failed += w
		f.short.failed += short
	case TimedOut:
		f.long.timedOut += w
		f.short.timedOut += short
	}
	l.lastRecorded, l.changed = at, true
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

func (l *Recorder) rebase(at time.Duration) {
	l.stats.scale(at-l.weightBase, l.state.settings.HalfLife)
	l.weightBase = at
}

// resetIfChanged lets the slot begin anew where its memories tell of two nodes: what it saw before a change would only
// be in the way. Others still know, and say so in their own slots.
func (l *Recorder) resetIfChanged(now time.Duration) {
	if l.state.lost == "anew" || now-l.lastReset < resetInterval*l.state.settings.HalfLife {
		return
	}
	f := l.stats
	f.decay(max(now, l.lastRecorded)-l.weightBase, l.state.settings.HalfLife)
	if f.short.weight() >= resetMinWeight && deviation(&f.short, &f.long, true) > resetDeviation {
		l.lastReset, l.weightBase, l.lastRecorded, l.stats = now, now, max(now, l.lastRecorded), classStats{startTime: l.key.StartTime}
		l.state.counts.Resets++
	}
}

// statsAt is what the slot holds at now.
func (l *Recorder) statsAt(now time.Duration) classStats {
	f := l.stats
	f.scale(max(now, l.lastRecorded)-l.weightBase, l.state.settings.HalfLife)
	return f
}

// SetNodeHealth is the list's word of a node, and this process's own view of it. A node that is told with another
// since starts as unknown.
func (s *State) SetNodeHealth(now time.Duration, node string, since int64, h Health) {
	if !validName(node) || h.Type != "" && !validName(h.Type) || !finite(h.Window) || !finite(h.Queue) {
		s.counts.Invalid++
		return
	}
	n := s.localNodeFor(now, node, since, true)
	if n == nil {
		s.counts.OverLimit++
		return
	}
	h.Window, h.Queue = min(max(h.Window, 0), maxLoad), min(max(h.Queue, 0), maxLoad)
	// The same health is told again in time that it does not expire with the others; windows and queues
	// move all the time, and by little that is no news.
	was := n.health
	if nearlyEqual(h.Window, was.Window) && nearlyEqual(h.Queue, was.Queue) {
		h.Window, h.Queue = was.Window, was.Queue
	}
	if !n.hasHealth || h != was || now-n.healthSetAt > s.settings.ExpireAfter/4 {
		n.healthChanged = true
		n.health, n.healthSetAt, n.hasHealth = h, now, true
	}
}

// nearlyEqual says that a load is what was told of it, within an eighth or half of one.
func nearlyEqual(a, b float64) bool {
	return math.Abs(a-b) <= max(max(a, b)/8, 0.5) && (a == 0) == (b == 0)
}

// SetListVersion tells which version of the list this process holds.
func (s *State) SetListVersion(now time.Duration, v int64) {
	if !s.hasList || v != s.listVersion || now-s.listSetAt > s.settings.ExpireAfter/4 {
		s.listVersion, s.listSetAt, s.hasList, s.listDirty = v, now, true, true
	}
}

// expireLocal drops what this process has not seen for long.
func (s *State) expireLocal(now time.Duration) {
	kept := s.localOrder[:0]
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		slots := n.recorders[:0]
		for _, l := range n.recorders {
			if l.attached = now-l.lastRecorded < s.settings.ExpireAfter; l.attached {
				slots = append(slots, l)
			}
		}
		clear(n.recorders[len(slots):])
		n.recorders = slots
		if len(slots) == 0 && (!n.hasHealth || now-n.healthSetAt >= s.settings.ExpireAfter) {
			delete(s.localNodes, name)
			continue
		}
		kept = append(kept, name)
	}
	s.localOrder = kept
}
