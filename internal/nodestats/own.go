package nodestats

import (
	"math"
	"time"
)

// The own record: weights grow with time instead of all sums shrinking (forward decay: Cormode,
// Shkapenyuk, Srivastava, Xu, ICDE 2009), so that recording touches one bucket alone.
const rebaseAfter = 20 // half-lives: the weights then reach a million

// ownNode is what this process holds of a node's present life.
type ownNode struct {
	since   int64
	health  Health
	told    time.Duration // when health was set
	isTold  bool
	dirty   bool // health is to be sent
	classes []*Recorder
}

// Recorder is where one class on one node is recorded. It stays the caller's; once the node is another or the
// slot was not used for long it finds its place again by itself, or counts what it cannot hold.
type Recorder struct {
	s      *State
	key    Key
	placed bool
	dirty  bool
	base   time.Duration // weights are 1 here
	last   time.Duration
	anew   time.Duration // when it last forgot all
	f      figures       // in weights of base
}

// Recorder finds or makes the place of a key. It never is nil: what has no place, by the bounds or as an
// earlier life of its node, is counted in Beyond as it is recorded.
func (s *State) Recorder(now time.Duration, k Key) *Recorder {
	if n := s.own[k.Node]; n != nil && n.since == k.StartTime {
		for _, l := range n.classes {
			if l.key.Class == k.Class {
				return l
			}
		}
	}
	l := &Recorder{s: s, key: k}
	l.place(now)
	return l
}

func (l *Recorder) place(now time.Duration) bool {
	if !goodName(l.key.Node) || !goodName(l.key.Class) {
		return false
	}
	n := l.s.node(now, l.key.Node, l.key.StartTime, false)
	if n == nil {
		return false
	}
	for _, o := range n.classes {
		if o.key.Class == l.key.Class {
			return false // another slot of the same key took it
		}
	}
	if len(n.classes) >= l.s.set.MaxClasses {
		return false
	}
	l.placed, l.base, l.last, l.anew, l.f = true, now, now, now, figures{since: l.key.StartTime}
	n.classes = append(n.classes, l)
	return true
}

// node is a node's own record, made where there is room. Of two lives the later stays, unless the list
// itself names the other.
func (s *State) node(now time.Duration, name string, since int64, listed bool) *ownNode {
	n := s.own[name]
	switch {
	case n == nil && len(s.own) >= s.set.MaxNodes:
		s.forget(now)
		if len(s.own) >= s.set.MaxNodes {
			return nil
		}
		fallthrough
	case n == nil:
		n = &ownNode{since: since}
		s.own[name] = n
		s.ownOrder = append(s.ownOrder, name)
	case n.since == since:
	case since > n.since || listed:
		for _, l := range n.classes {
			l.placed = false
		}
		*n = ownNode{since: since}
	default:
		return nil
	}
	return n
}

// Record counts the end of one attempt.
func (l *Recorder) Record(now time.Duration, units, millis float64, o Outcome) {
	if !l.placed && !l.place(now) {
		l.s.counts.OverLimit++
		return
	}
	if o >= outcomes || o == Served && !(units >= 0 && units <= unitsMax && millis >= 0 && millis <= millisMax) {
		l.s.counts.Invalid++
		return
	}
	at := max(now, l.last)
	p := float64(at-l.base) / float64(l.s.set.HalfLife)
	if p > rebaseAfter {
		l.rebase(at)
		p = 0
	}
	w := math.Exp2(p / longer)
	short := w * w * w * w
	f := &l.f
	switch o {
	case Served:
		f.long.sums.served(w, units, millis)
		f.short.sums.served(short, units, millis)
		f.bins[bin(millis)] += short
	case Rejected:
		f.long.turned += w
		f.short.turned += short
	case Failed:
		f.long.failed += w
		f.short.failed += short
	case TimedOut:
		f.long.late += w
		f.short.late += short
	}
	l.last, l.dirty = at, true
}

func (s *Sums) served(w, x, y float64) {
	wx, wy := w*x, w*y
	s.N += w
	s.X += wx
	s.Y += wy
	s.XX += wx * x
	s.XY += wx * y
	s.YY += wy * y
}

func (l *Recorder) rebase(at time.Duration) {
	l.f.scale(at-l.base, l.s.set.HalfLife)
	l.base = at
}

// settle lets the slot begin anew where its memories tell of two nodes: what it saw before a change would only
// be in the way. Others still know, and say so in their own slots.
func (l *Recorder) settle(now time.Duration) {
	if l.s.lost == "anew" || now-l.anew < anewPause*l.s.set.HalfLife {
		return
	}
	f := l.f
	f.decay(max(now, l.last)-l.base, l.s.set.HalfLife)
	if f.short.weight() >= anewLeast && apart(&f.short, &f.long, true) > anewApart {
		l.anew, l.base, l.last, l.f = now, now, max(now, l.last), figures{since: l.key.StartTime}
		l.s.counts.Resets++
	}
}

// at is what the slot holds at now.
func (l *Recorder) at(now time.Duration) figures {
	f := l.f
	f.scale(max(now, l.last)-l.base, l.s.set.HalfLife)
	return f
}

// SetNodeHealth is the list's word of a node, and this process's own view of it. A node that is told with another
// since starts as unknown.
func (s *State) SetNodeHealth(now time.Duration, node string, since int64, h Health) {
	if !goodName(node) || h.Type != "" && !goodName(h.Type) || !finite(h.Window) || !finite(h.Queue) {
		s.counts.Invalid++
		return
	}
	n := s.node(now, node, since, true)
	if n == nil {
		s.counts.OverLimit++
		return
	}
	h.Window, h.Queue = min(max(h.Window, 0), loadMost), min(max(h.Queue, 0), loadMost)
	// The same health is told again in time that it does not expire with the others; windows and queues
	// move all the time, and by little that is no news.
	was := n.health
	if near(h.Window, was.Window) && near(h.Queue, was.Queue) {
		h.Window, h.Queue = was.Window, was.Queue
	}
	if !n.isTold || h != was || now-n.told > s.set.ExpireAfter/4 {
		n.dirty = true
		n.health, n.told, n.isTold = h, now, true
	}
}

// near says that a load is what was told of it, within an eighth or half of one.
func near(a, b float64) bool { return math.Abs(a-b) <= max(max(a, b)/8, 0.5) && (a == 0) == (b == 0) }

// SetListVersion tells which version of the list this process holds.
func (s *State) SetListVersion(now time.Duration, v int64) {
	if !s.hasList || v != s.list || now-s.listAt > s.set.ExpireAfter/4 {
		s.list, s.listAt, s.hasList, s.listDirty = v, now, true, true
	}
}

// forget drops what this process has not seen for long.
func (s *State) forget(now time.Duration) {
	kept := s.ownOrder[:0]
	for _, name := range s.ownOrder {
		n := s.own[name]
		slots := n.classes[:0]
		for _, l := range n.classes {
			if l.placed = now-l.last < s.set.ExpireAfter; l.placed {
				slots = append(slots, l)
			}
		}
		clear(n.classes[len(slots):])
		n.classes = slots
		if len(slots) == 0 && (!n.isTold || now-n.told >= s.set.ExpireAfter) {
			delete(s.own, name)
			continue
		}
		kept = append(kept, name)
	}
	s.ownOrder = kept
}
