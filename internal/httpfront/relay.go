package httpfront

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// relayReadTimeout bounds each read of a relayed body from the node. Nodes write long bodies in pieces, with pauses.
	relayReadTimeout = 3 * time.Second
	// relayWriteTimeout bounds each write of a relayed piece to the client; a client that goes on reading is never cut.
	relayWriteTimeout = 5 * time.Second
)

var errBodyCut = errors.New("answer: the node's body ended before its end")

// relay passes a node's long answer to a client: the first piece is in memory, the rest is read from the
// node's connection as the client takes it. The connection belongs to the relay until Close; after that
// wait returns whether it may be used again.
type relay struct {
	first     []byte
	remaining io.Reader             // the node's body, decoded
	client    net.Conn              // whose write deadline each piece moves on; nil: none
	finish    func(whole bool) bool // ends the read of the body; true: the connection may carry another request
	closeOnce sync.Once
	mu        sync.Mutex
	closeConn func() // closes the node's connection; nil once the relay is closed
	done      chan bool
	returned  chan struct{} // closed when the node's actor has the connection back
	handedOut bool          // handed to the core: its connection's goroutine waits for it
	read      int64
	complete  bool
}

// newRelay makes a relay; finish is called once, at its end.
func newRelay(first []byte, rest io.Reader, finish func(bool) bool) *relay {
	return &relay{first: first, remaining: rest, finish: finish, done: make(chan bool, 1), returned: make(chan struct{})}
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	if r.client != nil {
		_ = r.client.SetWriteDeadline(time.Now().Add(relayWriteTimeout))
	}
	if len(r.first) > 0 {
		n := copy(p, r.first)
		r.first = r.first[n:]
		r.read += int64(n)
		return n, nil
	}
	n, err := r.remaining.Read(p)
	r.read += int64(n)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		// Not io.EOF: the server would end the client's answer as if it were whole.
		return n, errors.Join(errBodyCut, err)
	}
	return n, nil
}

// Close implements io.Closer. It returns once the node's actor has the connection back, so that the core's next
// send finds it free.
func (r *relay) Close() error {
	r.closeOnce.Do(func() {
		r.mu.Lock()
		r.closeConn = nil // from here the connection is its node actor's
		r.mu.Unlock()
		r.done <- r.finish(r.complete)
		if r.handedOut {
			<-r.returned
		}
	})
	return nil
}

// Cut makes a Read in another goroutine fail. Close is to be called all the same.
func (r *relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closeConn != nil {
		r.closeConn()
	}
}

// handOut marks the relay as handed to the core; its connection's goroutine calls wait after that.
func (r *relay) handOut() { r.handedOut = true }

// wait waits for Close and returns whether the connection may carry another request.
func (r *relay) wait() bool { return <-r.done }

// connReturned says that the node's actor has the connection back.
func (r *relay) connReturned() { close(r.returned) }
