package transport

import (
	"testing"
	"time"
)

// at returns a time that lies the given seconds after a fixed one.
func at(seconds int) time.Time { return time.Unix(1e9+int64(seconds), 0) }

// Bytes have arrived when they were first seen, in the socket or by a read.
func TestArrivalLog(t *testing.T) {
	var l arrivalLog
	l.read(100, at(0))
	l.queued(250, at(1))
	l.read(150, at(2)) // 250 bytes
	l.queued(100, at(3))
	l.queued(150, at(4)) // 400 bytes
	l.read(150, at(5))
	for _, x := range []struct {
		end  int64
		want time.Time
	}{{50, at(0)}, {100, at(0)}, {101, at(1)}, {350, at(1)}, {351, at(4)}, {400, at(4)}} {
		if got := l.arrivedAt(x.end); !got.Equal(x.want) {
			t.Errorf("the bytes before %d arrived at %v, want %v", x.end, got, x.want)
		}
	}
	if got := time.Since(l.arrivedAt(401)); got < 0 || got > time.Minute {
		t.Errorf("bytes of which nothing is known arrived %v ago", got)
	}
}

// Guards against memory that grows with the pieces of a connection's input, and against bytes that count as arrived too early.
func TestArrivalLogIsBounded(t *testing.T) {
	var l arrivalLog
	for i := range 3 * maxArrivalMarks {
		l.read(1, at(i))
	}
	if len(l.marks) > maxArrivalMarks {
		t.Errorf("%d marks are kept", len(l.marks))
	}
	if l.idle(3*maxArrivalMarks - 1); len(l.marks) == 0 {
		t.Error("marks of bytes that are still to be read are given up")
	}
	for end := int64(1); end <= 3*maxArrivalMarks; end++ {
		if got := l.arrivedAt(end); got.Before(at(int(end) - 1)) {
			t.Fatalf("the bytes before %d arrived at %v, before they were read", end, got)
		}
	}
	if l.idle(3 * maxArrivalMarks); cap(l.marks) > idleArrivalMarks {
		t.Errorf("an idle connection keeps memory for %d marks", cap(l.marks))
	}
}
