package connqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The wait is in step with the price, none without one, and bounded.
func TestMaxFreeConnWaitFollowsThePrice(t *testing.T) {
	for _, x := range []struct {
		price float64
		want  time.Duration
	}{{0, 0}, {-1, 0}, {0.08, 32 * time.Millisecond}, {0.5, 100 * time.Millisecond}, {7, 100 * time.Millisecond}} {
		if got := MaxFreeConnWait(x.price, 400*time.Millisecond); got != x.want {
			t.Errorf("price %v: %v, want %v", x.price, got, x.want)
		}
	}
}

// A model of the line: who waits, since when, and what is being opened. All invariants of the package's page.
func TestQueueKeepsItsInvariants(t *testing.T) {
	const late = 15
	rapid.Check(t, func(rt *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 50).Draw(rt, "wait"))
		patience := time.Duration(rapid.IntRange(20, 60).Draw(rt, "patience"))
		p := New[int](Settings{FreeConnWait: wait, ConnectTimeout: patience})
		now, inUse, next := time.Duration(0), 0, 0
		since, opens := map[int]time.Duration{}, map[int]time.Duration{}
		var line []int
		out := func(item int, ok bool) bool {
			if ok && (len(line) == 0 || line[0] != item) {
				rt.Fatalf("%d given out of turn; the line is %v", item, line)
			}
			if ok {
				line = line[1:]
				delete(since, item)
			}
			return ok
		}
		pick := func() int {
			for id := 1; id <= p.lastID; id++ {
				if _, ok := opens[id]; ok && rapid.Bool().Draw(rt, "this") {
					return id
				}
			}
			return 0
		}
		due := func() (n int) {
			for _, item := range line {
				if now >= since[item]+wait {
					n++
				}
			}
			return max(n, (len(line)-inUse+1)/2)
		}
		tend := func() {
			for out(p.PopExpired(now)) {
			}
			for range p.ConnectsDue(now, inUse, late) {
				if rapid.IntRange(0, 5).Draw(rt, "room") > 0 {
					opens[p.ConnectStarted(now)] = now
				} else {
					if item, ok := p.DropLast(now, inUse); ok {
						if item != line[len(line)-1] {
							rt.Fatalf("%d goes without, of %v", item, line)
						}
						line = line[:len(line)-1]
						delete(since, item)
					}
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"want": func(rt *rapid.T) {
				next++
				p.Enqueue(now, next)
				line, since[next] = append(line, next), now
				tend()
			},
			"free": func(rt *rapid.T) {
				if inUse > 0 && !out(p.Pop()) {
					inUse--
				}
			},
			"broken": func(*rapid.T) {
				if inUse > 0 {
					inUse--
				}
				tend()
			},
			"up": func(rt *rapid.T) {
				if id := pick(); id > 0 {
					if took := p.ConnectSucceeded(now, id); took != now-opens[id] {
						rt.Fatalf("took %v", took)
					}
					delete(opens, id)
					if out(p.Pop()) {
						inUse++
					}
					tend()
				}
			},
			"failed": func(rt *rapid.T) {
				if id := pick(); id > 0 {
					delete(opens, id)
					covered := due() <= len(opens)
					if out(p.ConnectFailed(now, id, inUse)) == covered && len(line) > 0 {
						rt.Fatalf("covered %v, yet %v", covered, line)
					}
					tend()
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
				at, ok := p.Next(now, late)
				now += time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms"))
				if ok {
					now = min(now, max(at, now-60))
				}
				tend()
			},
			"": func(rt *rapid.T) {
				if p.Len() != len(line) || len(p.pendingConnects) != len(opens) {
					rt.Fatalf("%d wait and %d are being opened, want %v and %v", p.Len(), len(p.pendingConnects), line, opens)
				}
				for _, item := range line {
					if now >= since[item]+wait+patience && now > since[item] {
						rt.Fatalf("%d waits since %v, it is %v", item, since[item], now)
					}
				}
			},
		})
	})
}

// An attempt whose connection comes up late takes another's, opened beside it; one whose only
// connection is refused goes without at once.
func TestLateConnectHasOneBeside(t *testing.T) {
	const ms = time.Millisecond
	p := New[string](Settings{ConnectTimeout: 250 * ms})
	p.Enqueue(0, "a")
	if n := p.ConnectsDue(0, 3, 20*ms); n != 1 {
		t.Fatalf("%d opened at first", n)
	}
	slow := p.ConnectStarted(0)
	if at, ok := p.Next(0, 20*ms); !ok || at != 20*ms || p.ConnectsDue(at-1, 3, 20*ms) != 0 || p.ConnectsDue(at, 3, 20*ms) != 1 {
		t.Fatalf("none beside a late one, looked at %v", at)
	}
	quick := p.ConnectStarted(20 * ms)
	if n := p.ConnectsDue(60*ms, 3, 20*ms); n != 0 {
		t.Fatalf("%d more opened, of two already", n)
	}
	if _, ok := p.ConnectFailed(70*ms, slow, 3); ok {
		t.Fatal("given up while another is being opened")
	}
	p.ConnectSucceeded(80*ms, quick)
	if a, ok := p.Pop(); !ok || a != "a" {
		t.Fatal("it did not take the one that came up")
	}
	p.Enqueue(90*ms, "b")
	p.ConnectsDue(90*ms, 3, 20*ms)
	if b, ok := p.ConnectFailed(91*ms, p.ConnectStarted(90*ms), 3); !ok || b != "b" {
		t.Fatal("a refused connection did not end it at once")
	}
}
