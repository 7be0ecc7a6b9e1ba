package nodestats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// changed plays a node that six processes see, two of them often, and that turns slower by a factor after half a minute.
// It gives the mean time in the view of one that sees nothing itself, over the truth: at the change, 5 s after it, 60 s
// after it; and the answers that the view rests on at the change.
func changed(t rapid.TB, seed uint64, times float64, lost string) (at, soon, late, answers float64) {
	r := rand.New(rand.NewPCG(seed, 6))
	set := Defaults()
	const change, step = 30 * time.Second, 50 * time.Millisecond
	me := state(t, set, "me", 1, lost)
	var all6 []*State
	for i := range 6 {
		all6 = append(all6, state(t, set, fmt.Sprint("p", i), 1, lost))
	}
	k := Key{"n", 1, "c"}
	truth := 4.0
	view := func(now time.Duration) View {
		for _, p := range all6 {
			feed(me, now, all(t, p, now)...)
		}
		return me.Views(now)[0]
	}
	mean := func(v View) float64 { return v.Sums.Y / v.Sums.N / truth }
	for now := time.Duration(0); now <= change+60*time.Second; now += step {
		if now == change {
			v := view(now)
			at, answers = mean(v), v.Sums.N
			truth *= times
		}
		for i, p := range all6 {
			rate := 1.25
			if i < 2 {
				rate = 13
			}
			if r.Float64() < rate*step.Seconds() {
				p.Recorder(now, k).Record(now, 1+2*r.Float64(), truth*math.Exp(0.47*r.NormFloat64()-0.11), Served)
			}
			if (now/step)%10 == time.Duration(i) {
				p.publishChanges(now)
			}
		}
		if now == change+5*time.Second {
			soon = mean(view(now))
		}
	}
	return at, soon, mean(view(change + 60*time.Second)), answers
}

// Two memories: steady while nothing changes, right 5 s after a change to slower or to faster, and steady again. Without
// one of the two rules that choose, or with the long memory alone, a change shows late.
func TestAChangeShowsSoon(t *testing.T) {
	worst := func(lost string) (soon, steady, answers float64) {
		for seed := range uint64(20) {
			for _, times := range []float64{5, 0.2} {
				at, s, late, n := changed(t, seed, times, lost)
				soon, steady = max(soon, math.Abs(math.Log(s))), max(steady, math.Abs(math.Log(at)), math.Abs(math.Log(late)))
				answers += n / 40
			}
		}
		return soon, steady, answers
	}
	soon, steady, answers := worst("")
	t.Logf("worst of 40: %.3f 5 s after a change, %.3f in steady times, on %.0f answers", soon, steady, answers)
	if soon > 0.25 || steady > 0.15 || answers < 90 { // the clip leaves some 108; of one short memory it left 43
		t.Error("late, not steady, or on few answers")
	}
	for _, lost := range []string{"anew", "lately"} {
		if s, _, _ := worst(lost); s < 0.25 {
			t.Errorf("without the rule %q nothing is noticed: %.3f", lost, s)
		} else {
			t.Logf("without %q: %.3f", lost, s)
		}
	}
}

// A node that turns requests away shows as soon as one that is slow; one answer out of all bounds is no change.
func TestWhatIsAChange(t *testing.T) {
	play := func(last time.Duration, of func(now time.Duration) (float64, Outcome)) *State {
		s := state(t, Defaults(), "me", 1, "")
		for now := time.Duration(0); now < 30*time.Second+last; now += 50 * time.Millisecond {
			millis, o := 4.0+float64(now/(50*time.Millisecond)%3), Served
			if now >= 30*time.Second {
				millis, o = of(now - 30*time.Second)
			}
			s.Recorder(now, Key{"n", 1, "c"}).Record(now, 1, millis, o)
			s.publishChanges(now)
		}
		return s
	}
	away := play(3*time.Second, func(now time.Duration) (float64, Outcome) {
		return 5, []Outcome{Served, Rejected}[now/(50*time.Millisecond)%2]
	})
	v := away.Views(33 * time.Second)[0]
	if p := v.Rejected / (v.Rejected + v.Sums.N); p < 0.4 || away.Counts().Resets != 1 {
		t.Errorf("%.2f turned away, %d times anew", p, away.Counts().Resets)
	}
	one := play(3*time.Second, func(now time.Duration) (float64, Outcome) {
		if now == 0 {
			return 3000, Served
		}
		return 5, Served
	})
	if n := one.Counts().Resets; n != 0 {
		t.Errorf("anew %d times after one long answer", n)
	}
}

// The short memory is a part of the long one, whatever is recorded when; a message that says otherwise is refused.
func TestTheShortMemoryIsAPartOfTheLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7))
		s, now := state(t, Defaults(), "p", 1, ""), time.Duration(0)
		l := s.Recorder(0, Key{"n", 1, "c"})
		for range r.IntN(200) {
			now += time.Duration(r.ExpFloat64() * r.Float64() * float64(20*time.Second))
			l.Record(now, r.Float64()*9, r.ExpFloat64()*20, Outcome(r.IntN(4)))
			if r.IntN(4) == 0 {
				s.publishChanges(now)
			}
		}
		me := state(t, Defaults(), "me", 1, "")
		for _, m := range all(t, s, now) {
			if err := me.Merge(now, m); err != nil {
				t.Fatal(err)
			}
		}
	})
	f := classStats{long: decayedCounts{sums: Sums{10, 10, 10, 10, 10, 10}}, short: decayedCounts{sums: Sums{11, 11, 11, 11, 11, 11}}}
	s := state(t, Defaults(), "me", 1, "")
	if err := s.Merge(0, forge("p", 1, wireCell{cellID{"n", "c"}, 1, 0, f.append(nil)})); err == nil || s.Counts().Unreadable != 1 {
		t.Error("a short memory of more than the long one was taken")
	}
}
