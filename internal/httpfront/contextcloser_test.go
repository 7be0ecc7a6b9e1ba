package httpfront

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// arrivingDelivery returns the delivery of a response that is arriving, on a connection with a closer, and the attempt's results.
func arrivingDelivery(ctx context.Context, t *testing.T, length int64) (d *delivery, peer net.Conn, results chan core.Result) {
	t.Helper()
	socket, peer := net.Pipe()
	t.Cleanup(func() { _, _ = socket.Close(), peer.Close() })
	results = make(chan core.Result, 1)
	a := core.NewAttempt(&core.Request{}, time.Now().Add(time.Hour), func(r core.Result) { results <- r })
	closer := newContextCloser(ctx, socket)
	d = newDelivery(&node{dialer: &Dialer{}}, job{attempt: a}, closer, nil, 0)
	d.progress.HeadEnded(0, length)
	d.result = core.Result{Status: policy.OK, Payload: &nodeResponse{relay: newRelay(func() {}, nil)}}
	closer.setDelivery(d)
	return d, peer, results
}

// isOpen reports whether the other end of a connection is open.
func isOpen(peer net.Conn) bool {
	_ = peer.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := peer.Read(make([]byte, 1))
	return err != nil && strings.Contains(err.Error(), "timeout")
}

// Guards against a long response that is cut off at the deadline because the timer before it was late on a busy machine: at the
// deadline itself it is passed on, too.
func TestLongResponseIsPassedOnAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, peer, results := arrivingDelivery(ctx, t, progress.UnknownLength)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(results) != 1 || !isOpen(peer) {
			t.Errorf("%d results, connection open: %v; want that the response is passed on", len(results), isOpen(peer))
		}
	})
}

// A short response is not passed on at the deadline, and none is once its client has left: the connection is closed.
func TestConnectionIsClosedWithItsContext(t *testing.T) {
	for name, x := range map[string]struct {
		length int64
		leaves bool
	}{"short response": {10, false}, "client has left": {progress.UnknownLength, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				d, peer, results := arrivingDelivery(ctx, t, x.length)
				if x.leaves {
					cancel()
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if len(results) != 0 || isOpen(peer) || d.closer.detach() {
					t.Errorf("%d results, connection open: %v", len(results), isOpen(peer))
				}
			})
		})
	}
}

// Guards against a connection that is used again though its attempt was cancelled: the end of a context may be known before the watch
// of it has run.
func TestConnectionOfACancelledAttemptIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d, peer, _ := arrivingDelivery(ctx, t, 10)
		cancel() // the watch runs once this goroutine waits
		if d.closer.detach() {
			t.Error("the connection is kept after its context has ended")
		}
		synctest.Wait()
		if isOpen(peer) {
			t.Error("the connection is open after its context has ended")
		}
	})
}
