package connreuse

import (
	"testing"
	"time"
)

// A node is suspect from its first unrequested bytes until it has sent none for SuspectTime.
func TestSuspectNodeRestsLonger(t *testing.T) {
	s := Settings{Rest: 50 * time.Millisecond, SuspectRest: 200 * time.Millisecond, SuspectTime: time.Minute}
	h := NewHistory(s)
	expectRest := func(now, want time.Duration) {
		t.Helper()
		if got := h.Rest(now); got != want {
			t.Errorf("at %v connections rest for %v, want %v", now, got, want)
		}
	}
	expectRest(0, s.Rest)
	h.RecordUnrequested(time.Second)
	expectRest(time.Second, s.SuspectRest)
	h.RecordUnrequested(31 * time.Second)
	expectRest(90*time.Second, s.SuspectRest)
	expectRest(91*time.Second, s.Rest)
	if h.Unrequested() != 2 {
		t.Errorf("%d connections counted, want 2", h.Unrequested())
	}
}

// The rest of a suspect node is never shorter than that of others, and the zero settings need none.
func TestRestBounds(t *testing.T) {
	h := NewHistory(Settings{Rest: time.Second, SuspectTime: time.Minute})
	if h.RecordUnrequested(0); h.Rest(0) != time.Second {
		t.Errorf("a suspect node's connections rest for %v, want %v", h.Rest(0), time.Second)
	}
	none := NewHistory(Settings{})
	if none.RecordUnrequested(0); none.Rest(0) != 0 {
		t.Errorf("connections rest for %v without settings, want 0", none.Rest(0))
	}
	d := Defaults()
	if d.Rest <= 0 || d.SuspectRest < d.Rest || d.SuspectTime <= 0 {
		t.Errorf("defaults %+v", d)
	}
}
