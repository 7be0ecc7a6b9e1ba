package connqueue

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// The decisions of a queue under random events are those of the recording.
func TestRecordedDecisionsOfAQueue(t *testing.T) {
	const ms = time.Millisecond
	for i := range 12 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			rng := rand.New(rand.NewSource(int64(40 + i)))
			var script recorded.Script
			q := New[int](Settings{FreeConnWait: time.Duration(i%4*15) * ms, ConnectTimeout: time.Duration(40+20*(i%3)) * ms})
			now, late, inUse, items := time.Duration(0), time.Duration(10+5*(i%2))*ms, 0, 0
			var opening []int
			for range 1500 {
				fields := []any{int64(now)}
				result := func(word string, item int, ok bool) bool {
					fields = append(fields, word, item, ok)
					return ok
				}
				takeOpening := func() int {
					at := rng.Intn(len(opening))
					id := opening[at]
					opening = slices.Delete(opening, at, at+1)
					return id
				}
				switch n := rng.Intn(10); {
				case n < 4:
					items++
					q.Enqueue(now, items)
					fields = append(fields, "enqueue", items)
				case n == 4 && inUse > 0:
					item, ok := q.Pop()
					if !result("pop", item, ok) {
						inUse--
					}
				case n == 5 && len(opening) > 0:
					fields = append(fields, int64(q.ConnectSucceeded(now, takeOpening())))
					item, ok := q.Pop()
					if result("up", item, ok) {
						inUse++
					}
				case n == 6 && len(opening) > 0:
					item, ok := q.ConnectFailed(now, takeOpening(), inUse)
					result("failed", item, ok)
				case n == 7 && items > 0:
					item := 1 + max(0, items-rng.Intn(12)-1)
					fields = append(fields, "remove", item, q.Remove(item))
				case n == 8 && inUse > 0:
					inUse--
					fields = append(fields, "broken")
				}
				for {
					item, ok := q.PopExpired(now)
					if !result("expired", item, ok) {
						break
					}
				}
				due := q.ConnectsDue(now, inUse, late)
				fields = append(fields, due)
				for range due {
					if rng.Intn(6) > 0 {
						id := q.ConnectStarted(now)
						opening = append(opening, id)
						fields = append(fields, "started", id)
					} else {
						item, ok := q.DropLast(now, inUse)
						result("dropped", item, ok)
					}
				}
				at, ok := q.Next(now, late)
				fields = append(fields, int64(at), ok, q.Len())
				script.Add(fields...)
				now += time.Duration(rng.Intn(15)) * ms
				if rng.Intn(100) == 0 {
					now += 200 * ms // a stall
				}
			}
			script.Check(t, fmt.Sprintf("queue-%02d", i))
		})
	}
}

// The bounds that a limiter gives under random signs are those of the recording, and so are the waits.
func TestRecordedDecisionsOfALimiter(t *testing.T) {
	rng := rand.New(rand.NewSource(11))
	var script recorded.Script
	var limiter IdleLimiter
	now := time.Duration(0)
	for range 4000 {
		now += time.Duration(rng.Intn(400)) * time.Millisecond
		if rng.Intn(80) == 0 {
			now += time.Duration(rng.Intn(40)) * time.Second
		}
		word := "quiet"
		switch rng.Intn(12) {
		case 0:
			word = "rejected"
			limiter.ConnectRejected(now)
		case 1, 2:
			word = "late"
			limiter.ConnectLate(now)
		case 3:
			word = "timely"
			limiter.ConnectTimely(now - time.Duration(rng.Intn(800))*time.Millisecond)
		}
		count, span := limiter.IdleBounds(now, rng.Intn(9), time.Duration(rng.Intn(2000))*time.Millisecond)
		wait := MaxFreeConnWait(rng.Float64()-0.3, time.Duration(rng.Intn(500))*time.Millisecond)
		script.Add(int64(now), word, count, int64(span), int64(wait))
	}
	script.Check(t, "limiter")
}
