package connqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A script of signs, and what is kept after each.
func TestScarcity(t *testing.T) {
	const ms, sec = time.Millisecond, time.Second
	for name, x := range map[string]struct {
		signs  string // r refused, l late, t timely, b timely and begun before, each a tenth of a second after the other
		scarce time.Duration
	}{
		"none": {"", 0}, "timely": {"tttt", 0}, "one refusal": {"r", 2 * sec}, "two late": {"ll", 0}, "three late": {"lll", 2 * sec},
		"late, but one in time": {"lltll", 0}, "late, one in time begun before": {"llbl", 2 * sec}, "a refusal and two late": {"rll", 2*sec - 200*ms},
		"two refusals": {"rr", 4 * sec}, "five": {"rrrrr", 16 * sec}, "timely after": {"rtt", 2*sec - 200*ms},
	} {
		var s Scarcity
		now := time.Duration(0)
		for i, c := range x.signs {
			now = time.Duration(i) * 100 * ms
			switch c {
			case 'r':
				s.Refused(now)
			case 'l':
				s.Late(now)
			case 't':
				s.Timely(now)
			case 'b':
				s.Timely(now - 150*ms) // begun before the last
			}
		}
		if n, _ := s.Keep(now+x.scarce, 9, 9*sec); n != 9 {
			t.Errorf("%s: scarce for longer than %v", name, x.scarce)
		}
		if n, span := s.Keep(now+x.scarce-1, 9, 9*sec); x.scarce > 0 && (n != ScarceKept || span != ScarceIdle) {
			t.Errorf("%s: %d for %v", name, n, span)
		}
	}
	var s Scarcity
	s.Refused(0)
	s.Refused(5 * sec) // one sign long after another is a first again
	if n, _ := s.Keep(7*sec, 9, 9*sec); n != 9 {
		t.Error("as long as after a second sign")
	}
}

// The invariants of the page, over any signs.
func TestScarcityHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Scarcity
		now, last, row, signs := time.Duration(0), time.Duration(0), 0, 0
		rt.Repeat(map[string]func(*rapid.T){
			"refused": func(*rapid.T) { s.Refused(now); last, row, signs = now, 0, signs+1 },
			"late": func(*rapid.T) {
				s.Late(now)
				if row++; row == LateRow {
					last, row, signs = now, 0, signs+1
				}
			},
			"timely": func(*rapid.T) { s.Timely(now); row = 0 },
			"pass":   func(rt *rapid.T) { now += time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond },
			"": func(rt *rapid.T) {
				usual := rapid.IntRange(1, 64).Draw(rt, "usual")
				n, span := s.Keep(now, usual, time.Minute)
				switch {
				case signs == 0 || now >= last+ScarceMost:
					if n != usual || span != time.Minute {
						rt.Fatalf("given back %v after the last sign: %d of %d, %v", now-last, n, usual, span)
					}
				case now < last+ScarceFor && (n != ScarceKept || span != ScarceIdle), n < ScarceKept, span < ScarceIdle:
					rt.Fatalf("%v after the last sign: %d for %v", now-last, n, span)
				}
			},
		})
	})
}
