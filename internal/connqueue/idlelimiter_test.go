package connqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestIdleBoundsAfterRejectedAndLateConnects(t *testing.T) {
	const ms, sec = time.Millisecond, time.Second
	for name, script := range map[string]struct {
		connects string        // one every 100 ms: r rejected, l late, t timely, b timely but started before the previous one
		limited  time.Duration // how long the limit applies after the last of them
	}{
		"no connects": {"", 0}, "timely connects": {"tttt", 0}, "one rejection": {"r", 2 * sec}, "two late": {"ll", 0}, "three late": {"lll", 2 * sec},
		"late with a timely one between": {"lltll", 0}, "late with a timely one that started before them": {"llbl", 2 * sec}, "a rejection and two late": {"rll", 2*sec - 200*ms},
		"two rejections": {"rr", 4 * sec}, "five rejections": {"rrrrr", 16 * sec}, "a rejection, then timely connects": {"rtt", 2*sec - 200*ms},
	} {
		var limiter IdleLimiter
		now := time.Duration(0)
		for i, c := range script.connects {
			now = time.Duration(i) * 100 * ms
			switch c {
			case 'r':
				limiter.ConnectRejected(now)
			case 'l':
				limiter.ConnectLate(now)
			case 't':
				limiter.ConnectTimely(now)
			case 'b':
				limiter.ConnectTimely(now - 150*ms) // started before the previous one
			}
		}
		if n, _ := limiter.IdleBounds(now+script.limited, 9, 9*sec); n != 9 {
			t.Errorf("%s: limited for longer than %v", name, script.limited)
		}
		if n, timeout := limiter.IdleBounds(now+script.limited-1, 9, 9*sec); script.limited > 0 && (n != LimitedIdleConns || timeout != LimitedIdleTimeout) {
			t.Errorf("%s: limited for too short a time: %d idle connections for %v", name, n, timeout)
		}
	}
	var limiter IdleLimiter
	limiter.ConnectRejected(0)
	limiter.ConnectRejected(5 * sec) // a sign long after the previous one counts as the first
	if n, _ := limiter.IdleBounds(7*sec, 9, 9*sec); n != 9 {
		t.Error("a sign long after the previous one doubles the limit's duration")
	}
}

// Without a sign, and MaxLimitDuration after the last one, there is no limit. For MinLimitDuration after a sign the limit applies.
func TestIdleLimiterKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var limiter IdleLimiter
		now, lastSign, lateInRow, signs := time.Duration(0), time.Duration(0), 0, 0
		rt.Repeat(map[string]func(*rapid.T){
			"rejected": func(*rapid.T) { limiter.ConnectRejected(now); lastSign, lateInRow, signs = now, 0, signs+1 },
			"late": func(*rapid.T) {
				limiter.ConnectLate(now)
				if lateInRow++; lateInRow == MaxLateConnects {
					lastSign, lateInRow, signs = now, 0, signs+1
				}
			},
			"timely":       func(*rapid.T) { limiter.ConnectTimely(now); lateInRow = 0 },
			"advance time": func(rt *rapid.T) { now += time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms")) * time.Millisecond },
			"": func(rt *rapid.T) {
				usual := rapid.IntRange(1, 64).Draw(rt, "idle connections without a limit")
				n, timeout := limiter.IdleBounds(now, usual, time.Minute)
				switch {
				case signs == 0 || now >= lastSign+MaxLimitDuration:
					if n != usual || timeout != time.Minute {
						rt.Fatalf("still limited %v after the last sign: %d of %d idle connections, for %v", now-lastSign, n, usual, timeout)
					}
				case now < lastSign+MinLimitDuration && (n != LimitedIdleConns || timeout != LimitedIdleTimeout), n < LimitedIdleConns, timeout < LimitedIdleTimeout:
					rt.Fatalf("%v after the last sign: %d idle connections for %v, want the limited ones or, later, at least these", now-lastSign, n, timeout)
				}
			},
		})
	})
}
