package progress

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// For any pieces at any times: a short response is never passed on early, a long one is after BufferLimit bytes, at the first late
// piece and at the deadline, and not before either.
func TestResponseIsPassedOnByItsPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Int64Range(UnknownLength, 4*BufferLimit).Draw(t, "length")
		headAt := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "headAt"))
		a := NewAttempt(0)
		a.Written(0)
		a.HeadEnded(headAt, length)
		long := length < 0 || length > BufferLimit
		if a.PassOnAtDeadline() != long {
			t.Fatalf("a response of %d bytes is passed on at the deadline: %v", length, a.PassOnAtDeadline())
		}
		now, received := headAt, int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "pieces") {
			now += time.Duration(rapid.Int64Range(0, int64(SlowAfter)).Draw(t, "pause"))
			size := rapid.IntRange(0, BufferLimit).Draw(t, "size")
			if rapid.Bool().Draw(t, "heard") {
				a.Heard(now)
			}
			passedOn := a.Received(now, size)
			received += int64(size)
			want := long && size > 0 && (received > BufferLimit || now >= headAt+SlowAfter)
			if passedOn != want {
				t.Fatalf("%d bytes, %v after the head: passed on is %v", received, now-headAt, passedOn)
			}
			if a.PassOnAtDeadline() != long {
				t.Fatalf("%d bytes: passed on at the deadline: %v", received, a.PassOnAtDeadline())
			}
		}
	})
}

// Guards against a phase in which a node may rest for less, or without end: in each phase and both directions it may rest for MaxSilence
// since its last byte, and any byte of either direction begins that time anew.
func TestRestIsBoundedAlikeInEveryPhase(t *testing.T) {
	phases := map[Phase]func(*Attempt, time.Duration){
		Sending:   func(a *Attempt, now time.Duration) { a.Taken(now) },
		Head:      func(a *Attempt, now time.Duration) { a.Written(now); a.Heard(now) },
		ShortBody: func(a *Attempt, now time.Duration) { a.Heard(now); a.HeadEnded(now, 10); a.Received(now, 1) },
		LongBody:  func(a *Attempt, now time.Duration) { a.Heard(now); a.HeadEnded(now, UnknownLength); a.Received(now, 1) },
		Relaying:  func(a *Attempt, now time.Duration) { a.Heard(now); a.HeadEnded(now, UnknownLength); a.PassedOn() },
	}
	const at = 40 * time.Second // an attempt that has transferred for long
	for phase, enter := range phases {
		a := NewAttempt(1 << 20)
		enter(&a, at)
		if a.Phase() != phase {
			t.Fatalf("phase %v, want %v", a.Phase(), phase)
		}
		limit := MaxSilence
		if phase == Relaying {
			limit = MaxRelaySilence
		}
		if a.Allowance(at+limit-1) != 1 || a.Allowance(at+limit) != 0 {
			t.Errorf("%v: allowance %v and %v", phase, a.Allowance(at+limit-1), a.Allowance(at+limit))
		}
	}
	a := NewAttempt(0)
	a.Written(at)
	if a.Phase() != Working || a.Allowance(time.Hour) != Unlimited || a.Wait(time.Hour) != Unlimited {
		t.Errorf("a working node may rest for %v, wait %v", a.Allowance(time.Hour), a.Wait(time.Hour))
	}
}

// Guards against a decision module that is not told of a transfer, or told of each fast one: it is told once, when a transfer in either
// direction has taken NoticeAfter, and of a written request while the node's machine has not taken it or may still hold it unread.
func TestSlowTransferIsNoticedOnce(t *testing.T) {
	for name, x := range map[string]struct {
		size        int64
		enter       func(*Attempt)
		undelivered bool
		after       time.Duration // Unlimited: never
	}{
		"sending":                {1, func(*Attempt) {}, false, NoticeAfter},
		"undelivered":            {1, func(a *Attempt) { a.Written(0) }, true, NoticeAfter},
		"long request":           {BufferLimit + 1, func(a *Attempt) { a.Written(0) }, false, SlowAfter},
		"short request":          {BufferLimit, func(a *Attempt) { a.Written(0) }, false, Unlimited},
		"head":                   {0, func(a *Attempt) { a.Written(0); a.Heard(0) }, false, NoticeAfter},
		"short body":             {0, func(a *Attempt) { a.Heard(0); a.HeadEnded(0, 1) }, false, NoticeAfter},
		"passed on":              {0, func(a *Attempt) { a.Heard(0); a.HeadEnded(0, -1); a.PassedOn() }, false, Unlimited},
		"long body, not noticed": {0, func(a *Attempt) { a.Heard(0); a.HeadEnded(0, -1) }, false, NoticeAfter},
	} {
		a := NewAttempt(x.size)
		x.enter(&a)
		if x.after == Unlimited {
			if a.Notice(time.Hour, x.undelivered) {
				t.Errorf("%s: noticed", name)
			}
			continue
		}
		if a.Notice(x.after-1, x.undelivered) || !a.Notice(x.after, x.undelivered) || a.Notice(x.after, x.undelivered) {
			t.Errorf("%s: not noticed once at %v", name, x.after)
		}
	}
}
