package httpfront

import (
	"errors"
	"io"
	"sync"
	"time"
)

// relayReadTimeout bounds each read of a relayed body from the node, as nodes write long bodies in pieces with pauses.
const relayReadTimeout = 3 * time.Second

var errBodyTruncated = errors.New("relay response: body from the node is truncated")

// relay passes a long response from a node to a client. The first piece is in memory, the rest is read from the
// node's connection as the client reads it. The relay owns the connection until Close; then wait returns whether
// the connection may be reused.
type relay struct {
	buffered    []byte
	remaining   io.Reader                // the node's body, decoded
	pace        responsePace             // write deadlines of the client's connection
	onTruncated func()                   // called when the node's body ends early; may be nil
	finish      func(complete bool) bool // ends the read of the body and reports whether the connection may carry another request
	closeOnce   sync.Once
	mu          sync.Mutex
	closeConn   func() // closes the node's connection; nil once the relay is closed
	done        chan bool
	returned    chan struct{} // closed once the connection is returned to the node's actor
	handedOff   bool          // handed to the core; the goroutine of the connection waits for Close
	bytesRead   int64
	complete    bool
}

// newRelay returns a relay that calls finish once when it is closed.
func newRelay(first []byte, rest io.Reader, finish func(bool) bool) *relay {
	return &relay{buffered: first, remaining: rest, finish: finish, done: make(chan bool, 1), returned: make(chan struct{})}
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	r.pace.pieceRequested()
	n, err := r.readPiece(p)
	r.pace.passPiece(n, time.Time{})
	return n, err
}

// readPiece reads from the first piece, and then from the node.
func (r *relay) readPiece(p []byte) (int, error) {
	if len(r.buffered) > 0 {
		n := copy(p, r.buffered)
		r.buffered = r.buffered[n:]
		r.bytesRead += int64(n)
		return n, nil
	}
	n, err := r.remaining.Read(p)
	r.bytesRead += int64(n)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		if r.onTruncated != nil {
			r.onTruncated()
		}
		// Not io.EOF, as the server would end the client's response as if it were complete.
		return n, errors.Join(errBodyTruncated, err)
	}
	return n, nil
}

// Close implements io.Closer. It returns once the connection is returned to the node's actor, so that the core's
// next send finds it free.
func (r *relay) Close() error {
	r.closeOnce.Do(func() {
		r.mu.Lock()
		r.closeConn = nil // from now on the node's actor owns the connection
		r.mu.Unlock()
		r.done <- r.finish(r.complete)
		if r.handedOff {
			<-r.returned
		}
	})
	return nil
}

// Abort makes a Read in another goroutine fail. Close must still be called.
func (r *relay) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closeConn != nil {
		r.closeConn()
	}
}

// markHandedOff marks the relay as handed to the core; the goroutine of its connection calls wait afterwards.
func (r *relay) markHandedOff() { r.handedOff = true }

// wait waits for Close and returns whether the connection may carry another request.
func (r *relay) wait() bool { return <-r.done }

// connReturned signals that the connection is returned to the node's actor.
func (r *relay) connReturned() { close(r.returned) }
