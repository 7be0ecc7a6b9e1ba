package connqueue

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// queueScript applies random events to a queue and records the results.
type queueScript struct {
	queue     *Queue[int]
	rng       *rand.Rand
	now       time.Duration
	lateAfter time.Duration
	inUse     int
	items     int
	pending   []int // ids of pending connects
	fields    []any // of the current step
}

func (s *queueScript) recordResult(word string, item int, ok bool) bool {
	s.fields = append(s.fields, word, item, ok)
	return ok
}

func (s *queueScript) takePending() int {
	i := s.rng.Intn(len(s.pending))
	id := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	return id
}

// randomEvent applies one random event.
func (s *queueScript) randomEvent() {
	switch n := s.rng.Intn(10); {
	case n < 4:
		s.items++
		s.queue.Enqueue(s.now, s.items)
		s.fields = append(s.fields, "enqueue", s.items)
	case n == 4 && s.inUse > 0:
		item, ok := s.queue.Pop()
		if !s.recordResult("pop", item, ok) {
			s.inUse--
		}
	case n == 5 && len(s.pending) > 0:
		s.fields = append(s.fields, int64(s.queue.ConnectSucceeded(s.now, s.takePending())))
		item, ok := s.queue.Pop()
		if s.recordResult("up", item, ok) {
			s.inUse++
		}
	case n == 6 && len(s.pending) > 0:
		item, ok := s.queue.ConnectFailed(s.now, s.takePending(), s.inUse)
		s.recordResult("failed", item, ok)
	case n == 7 && s.items > 0:
		item := 1 + max(0, s.items-s.rng.Intn(12)-1)
		s.fields = append(s.fields, "remove", item, s.queue.Remove(item))
	case n == 8 && s.inUse > 0:
		s.inUse--
		s.fields = append(s.fields, "broken")
	}
}

// startConnects removes expired attempts and starts the connects that are due after an event.
func (s *queueScript) startConnects() {
	for {
		item, ok := s.queue.PopExpired(s.now)
		if !s.recordResult("expired", item, ok) {
			break
		}
	}
	due := s.queue.ConnectsDue(s.now, s.inUse, s.lateAfter)
	s.fields = append(s.fields, due)
	for range due {
		if s.rng.Intn(6) > 0 {
			id := s.queue.ConnectStarted(s.now)
			s.pending = append(s.pending, id)
			s.fields = append(s.fields, "started", id)
		} else {
			item, ok := s.queue.DropLast(s.now, s.inUse)
			s.recordResult("dropped", item, ok)
		}
	}
}

// The decisions of a queue under random events equal those of the recording.
func TestRecordedDecisionsOfAQueue(t *testing.T) {
	const ms = time.Millisecond
	for i := range 12 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			var script recorded.Script
			s := queueScript{rng: rand.New(rand.NewSource(int64(40 + i))), lateAfter: time.Duration(10+5*(i%2)) * ms}
			s.queue = New[int](Settings{FreeConnWait: time.Duration(i%4*15) * ms, ConnectTimeout: time.Duration(40+20*(i%3)) * ms})
			for range 1500 {
				s.fields = []any{int64(s.now)}
				s.randomEvent()
				s.startConnects()
				at, ok := s.queue.Next(s.now, s.lateAfter)
				script.Add(append(s.fields, int64(at), ok, s.queue.Len())...)
				s.now += time.Duration(s.rng.Intn(15)) * ms
				if s.rng.Intn(100) == 0 {
					s.now += 200 * ms // a stall
				}
			}
			script.Check(t, fmt.Sprintf("queue-%02d", i))
		})
	}
}

// The bounds that a limiter returns under random signs equal those of the recording, and so do the waits.
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
		count, timeout := limiter.IdleBounds(now, rng.Intn(9), time.Duration(rng.Intn(2000))*time.Millisecond)
		wait := MaxFreeConnWait(rng.Float64()-0.3, time.Duration(rng.Intn(500))*time.Millisecond)
		script.Add(int64(now), word, count, int64(timeout), int64(wait))
	}
	script.Check(t, "limiter")
}
