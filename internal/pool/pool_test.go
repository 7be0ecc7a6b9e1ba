package pool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The wait is in step with the price, none without one, and bounded.
func TestWait(t *testing.T) {
	for _, x := range []struct {
		price float64
		want  time.Duration
	}{{0, 0}, {-1, 0}, {0.08, 32 * time.Millisecond}, {0.5, 100 * time.Millisecond}, {7, 100 * time.Millisecond}} {
		if got := Wait(x.price, 400*time.Millisecond); got != x.want {
			t.Errorf("price %v: %v, want %v", x.price, got, x.want)
		}
	}
}

// A model of the line: who waits, since when. All invariants of the package's page.
func TestLine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 50).Draw(rt, "wait"))
		p := New[int](wait)
		now, inUse, next := time.Duration(0), 0, 0
		since := map[int]time.Duration{}
		var line []int
		out := func(item int) {
			if len(line) == 0 || line[0] != item {
				rt.Fatalf("%d given out of turn; the line is %v", item, line)
			}
			line = line[1:]
			delete(since, item)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"want": func(rt *rapid.T) {
				next++
				waits := p.Want(now, next, inUse)
				if waits && (wait == 0 || len(line) >= inUse) {
					rt.Fatalf("%d waits with %d before it and %d in use, wait %v", next, len(line), inUse, wait)
				}
				if waits {
					line, since[next] = append(line, next), now
				} else {
					inUse++
				}
			},
			"free": func(rt *rapid.T) {
				item, ok := p.Free()
				if ok != (len(line) > 0) {
					rt.Fatalf("free: %v with %v waiting", ok, line)
				}
				if ok {
					out(item)
				} else if inUse > 0 {
					inUse--
				}
			},
			"broken": func(*rapid.T) {
				if inUse > 0 {
					inUse--
				}
			},
			"remove": func(rt *rapid.T) {
				if next == 0 {
					return
				}
				item := rapid.IntRange(1, next).Draw(rt, "item")
				_, held := since[item]
				if p.Remove(item) != held {
					rt.Fatalf("remove %d: held %v", item, held)
				}
				delete(since, item)
				line = slices.DeleteFunc(line, func(x int) bool { return x == item })
			},
			"pass": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms"))
			},
			"due": func(*rapid.T) {
				for _, item := range p.Due(now, inUse) {
					out(item)
					inUse++
				}
				for item, at := range since {
					if now >= at+wait {
						rt.Fatalf("%d waits since %v, it is %v", item, at, now)
					}
				}
				if len(line) > inUse {
					rt.Fatalf("%v wait for %d connections", line, inUse)
				}
			},
			"": func(rt *rapid.T) {
				at, ok := p.Next()
				if ok != (len(line) > 0) || ok && at != since[line[0]]+wait || p.Len() != len(line) {
					rt.Fatalf("next %v %v, the line is %v", at, ok, line)
				}
			},
		})
	})
}
