package taskset

import (
	"math"
	"time"
)

// FormerWrites are writes of an initiator's sessions with a former process that may still have an effect.
type FormerWrites struct {
	Initiator string        `json:"initiator"`
	Target    string        `json:"target"`
	LUN       uint16        `json:"lun"`
	AnyLUN    bool          `json:"any_lun"` // the LUN is not known
	Remaining time.Duration `json:"remaining_ns"`
}

// formerKey is what former writes have in common.
type formerKey struct {
	initiator, target string
	lun               uint16
	anyLUN            bool
}

// FormerWrites returns the commands that may still have an effect, for the process that replaces this one, which ends now: the outcomes of
// attempts that run will not become known.
func (s *Set) FormerWrites(now time.Duration) (writes []FormerWrites) {
	remaining := map[formerKey]time.Duration{}
	add := func(key formerKey, period time.Duration) { remaining[key] = max(remaining[key], period) }
	for _, c := range s.commands {
		key := formerKey{c.Initiator, c.Target, c.LUN, false}
		switch {
		case c.mayRun():
			add(key, s.lostPeriod)
		case c.mayHaveEffect(now):
			add(key, c.lostUntil-now)
		}
	}
	for _, o := range s.overflows {
		key := formerKey{o.Initiator, o.Target, 0, true}
		switch {
		case o.openCommands > 0:
			add(key, s.lostPeriod)
		case o.mayHaveEffect(now):
			add(key, o.until-now)
		}
	}
	for key, longest := range remaining {
		writes = append(writes, FormerWrites{key.initiator, key.target, key.lun, key.anyLUN, longest})
	}
	return writes
}

// AddFormerWrites adds the writes of the process that this one replaces. Their sessions have ended.
func (s *Set) AddFormerWrites(now time.Duration, writes []FormerWrites) {
	for _, w := range writes {
		c := Command{Initiator: w.Initiator, Target: w.Target, LUN: w.LUN}
		if !w.AnyLUN && len(s.commands) < MaxCommands {
			s.lastNumber++
			s.commands[ID{number: s.lastNumber}] = &commandState{Command: c, lost: 1, lostUntil: now + w.Remaining, cutOff: true, orphaned: true}
			continue
		}
		c.Session = math.MaxUint64 - uint64(len(s.overflows)) // no session of this process has it
		o := s.beginOverflow(c)
		o.orphaned = true
		o.end(max(o.until, now+w.Remaining))
	}
}
