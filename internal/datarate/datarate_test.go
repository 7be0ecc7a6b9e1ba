package datarate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const (
	testStall = 2500 * time.Millisecond
	testRate  = 32 << 10
)

// Guards against a peer that holds a connection for longer than its data justifies, whatever its pieces and pauses.
func TestWaitsAreBoundedByTransferredBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{StallTimeout: testStall, MinBytesPerSecond: rapid.Int64Range(1, 1<<20).Draw(t, "rate")}
		transfer := NewTransfer(limits)
		waited, sent := time.Duration(0), int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "pieces") {
			allowance := transfer.Allowance()
			if allowance < 0 || allowance > testStall {
				t.Fatalf("allowance %v is out of bounds", allowance)
			}
			pause := min(allowance, time.Duration(rapid.Int64Range(0, int64(2*testStall)).Draw(t, "pause")))
			size := rapid.IntRange(0, 64<<10).Draw(t, "size")
			transfer.Record(pause, size)
			waited += pause
			if bound := testStall + limits.AtMinRate(sent); waited > bound {
				t.Fatalf("waited %v for %d bytes, want at most %v", waited, sent, bound)
			}
			sent += int64(size)
		}
	})
}

// A peer that sends at the minimum rate or faster, in pieces of any size with pauses shorter than the stall timeout, is
// never cut off.
func TestSteadyPeerIsNeverCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		transfer := NewTransfer(Limits{StallTimeout: testStall, MinBytesPerSecond: testRate})
		for range rapid.IntRange(1, 200).Draw(t, "pieces") {
			pause := time.Duration(rapid.Int64Range(0, int64(testStall)-1).Draw(t, "pause"))
			if allowance := transfer.Allowance(); allowance <= pause {
				t.Fatalf("allowance %v, but the peer pauses for %v", allowance, pause)
			}
			size := int(pause*testRate/time.Second) + 1
			transfer.Record(pause, size)
		}
	})
}

// The longest request body does not overflow the computation at a low rate.
func TestTimeAtMinRate(t *testing.T) {
	limits := Limits{StallTimeout: testStall, MinBytesPerSecond: 3}
	if got, want := limits.AtMinRate(3*(1<<30)+1), (1<<30)*time.Second+time.Second/3; got != want {
		t.Errorf("%v for 3 GiB and a byte at 3 bytes per second, want %v", got, want)
	}
}
