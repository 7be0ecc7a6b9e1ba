package httpfront

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// deadlineConn records the last write deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// SetWriteDeadline implements net.Conn.
func (c *deadlineConn) SetWriteDeadline(at time.Time) error { c.deadline = at; return nil }

// Guards against a client that takes a piece of a long response now and then: each piece restarted the timeout. The time that
// the node takes for a piece does not count.
func TestResponsePaceBoundsSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieceSize, pause = 1 << 10, 4 * time.Second
		conn := &deadlineConn{}
		pace := newResponsePace(conn)
		pieces, waited := 0, time.Duration(0)
		for {
			pace.pieceRequested()
			time.Sleep(time.Minute) // the node is slow
			pace.passPiece(pieceSize, time.Time{})
			pieces++
			if time.Until(conn.deadline) <= pause {
				break // the write would time out
			}
			time.Sleep(pause) // the client is slow
			waited += pause
		}
		if bound := responseLimits.StallTimeout + responseLimits.AtMinRate(int64(pieces*pieceSize)); waited > bound {
			t.Errorf("the client was waited for %v for %d pieces, want at most %v", waited, pieces, bound)
		}
	})
}

// A client that reads at 64 kB a second, in pieces of any size, is never cut off, and a deadline that is given applies.
func TestResponsePaceServesSteadyReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieceSize, rate = 64 << 10, 64e3
		conn := &deadlineConn{}
		pace := newResponsePace(conn)
		for range 500 {
			pace.pieceRequested()
			pace.passPiece(pieceSize, time.Time{})
			took := time.Duration(float64(pieceSize) / rate * float64(time.Second))
			if left := time.Until(conn.deadline); left <= took {
				t.Fatalf("the client has %v for a piece that it reads in %v", left, took)
			}
			time.Sleep(took)
		}
		latest := time.Now().Add(time.Second)
		if pace.passPiece(pieceSize, latest); !conn.deadline.Equal(latest) {
			t.Errorf("the write deadline is %v, want the latest time %v", conn.deadline, latest)
		}
	})
}

// A response that is written at once has until a second after the longest deadline, and no longer than a client at the lowest
// rate needs.
func TestResponseTimeout(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{time.Second: 2 * time.Second, 4 * time.Second: 5 * time.Second, time.Minute: 7 * time.Second} {
		if got := responseTimeout(deadline); got != want {
			t.Errorf("%v with a deadline of %v, want %v", got, deadline, want)
		}
	}
}
