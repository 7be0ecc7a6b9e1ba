package connqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A script of signs, and what is kept after each.
func TestIdleBoundsAfterSigns(t *testing.T) {
	const ms, sec = time.Millisecond, time.Second
	for name, x := range map[string]struct {
		signs  string // r refused, l late, t timely, b timely and begun before, each a tenth of a second after the other
		scarce time.Duration
	}{
		"none": {"", 0}, "timely": {"tttt", 0}, "one refusal": {"r", 2 * sec}, "two late": {"ll", 0}, "three late": {"lll", 2 * sec},
		"late, but one in time": {"lltll", 0}, "late, one in time begun before": {"llbl", 2 * sec}, "a refusal and two late": {"rll", 2*sec - 200*ms},
		"two refusals": {"rr", 4 * sec}, "five": {"rrrrr", 16 * sec}, "timely after": {"rtt", 2*sec - 200*ms},
	} {
		var s IdleLimiter
		now := time.Duration(0)
		for i, c := range x.signs {
			now = time.Duration(i) * 100 * ms
			switch c {
			case 'r':
				s.ConnectRejected(now)
			case 'l':
				s.ConnectLate(now)
			case 't':
				s.ConnectTimely(now)
			case 'b':
				s.ConnectTimely(now - 150*ms) // begun before the last
			}
		}
		if n, _ := s.IdleBounds(now+x.scarce, 9, 9*sec); n != 9 {
			t.Errorf("%s: scarce for longer than %v", name, x.scarce)
		}
		if n, span := s.IdleBounds(now+x.scarce-1, 9, 9*sec); x.scarce > 0 && (n != LimitedIdleConns || span != LimitedIdleTimeout) {
			t.Errorf("%s: %d for %v", name, n, span)
		}
	}
	var s IdleLimiter
	s.ConnectRejected(0)
	s.ConnectRejected(5 * sec) // one sign long after another is a first again
	if n, _ := s.IdleBounds(7*sec, 9, 9*sec); n != 9 {
		t.Error("as long as after a second sign")
	}
}

// The invariants of the page, over any signs.
func TestIdleLimiterKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s IdleLimiter
		now, last, row, signs := time.Duration(0), time.Duration(0), 0, 0
		rt.Repeat(map[string]func(*rapid.T){
			"refused": func(*rapid.T) { s.ConnectRejected(now); last, row, signs = now, 0, signs+1 },
			"late": func(*rapid.T) {
				s.ConnectLate(now)
				if row++; row == MaxLateConnects {
					last, row, signs = now, 0, signs+1
				}
			},
			"timely": func(*rapid.T) { s.ConnectTimely(now); row = 0 },
			"pass":   func(rt *rapid.T) { now += time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond },
			"": func(rt *rapid.T) {
				usual := rapid.IntRange(1, 64).Draw(rt, "usual")
				n, span := s.IdleBounds(now, usual, time.Minute)
				switch {
				case signs == 0 || now >= last+MaxLimitDuration:
					if n != usual || span != time.Minute {
						rt.Fatalf("given back %v after the last sign: %d of %d, %v", now-last, n, usual, span)
					}
				case now < last+MinLimitDuration && (n != LimitedIdleConns || span != LimitedIdleTimeout), n < LimitedIdleConns, span < LimitedIdleTimeout:
					rt.Fatalf("%v after the last sign: %d for %v", now-last, n, span)
				}
			},
		})
	})
}
