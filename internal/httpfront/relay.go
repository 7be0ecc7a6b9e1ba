package httpfront

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// streamSpan is how long a read of a relayed body may wait for the node: nodes write in
	// pieces, and what they still give must not be cut off.
	streamSpan = 3 * time.Second
	// pieceSpan is how long a write of a relayed piece may wait for the client: one that reads at
	// all is never cut.
	pieceSpan = 5 * time.Second
)

var errCut = errors.New("answer: the node's body ended before its end")

// relay is a node's long answer on its way to a client: the first piece is held, the rest is
// read from the node's connection as the client takes it. The connection belongs to the relay
// until it is closed; then wait tells whether the body was read to its end.
type relay struct {
	first  []byte
	rest   io.Reader             // the node's body, framing taken off
	client net.Conn              // whose write deadline each piece moves on; nil: none
	finish func(whole bool) bool // tells whether the connection may carry another
	once   sync.Once
	mu     sync.Mutex
	cut    func() // closes the node's connection; nil once the relay is closed
	done   chan bool
	back   chan struct{} // the connection is its node actor's again
	out    bool          // handed on: its connection waits for it
	read   int64
	whole  bool
}

func newRelay(first []byte, rest io.Reader, finish func(bool) bool) *relay {
	return &relay{first: first, rest: rest, finish: finish, done: make(chan bool, 1), back: make(chan struct{})}
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	if r.client != nil {
		_ = r.client.SetWriteDeadline(time.Now().Add(pieceSpan))
	}
	if len(r.first) > 0 {
		n := copy(p, r.first)
		r.first = r.first[n:]
		r.read += int64(n)
		return n, nil
	}
	n, err := r.rest.Read(p)
	r.read += int64(n)
	if errors.Is(err, io.EOF) {
		r.whole = true
		return n, io.EOF
	}
	if err != nil {
		// Not EOF: the server must not end the client's answer as if it were whole.
		return n, errors.Join(errCut, err)
	}
	return n, nil
}

// Close implements io.Closer: the server is through with it, or nobody will read it. It returns
// once the node actor has the connection back, so that the next send finds it free.
func (r *relay) Close() error {
	r.once.Do(func() {
		r.mu.Lock()
		r.cut = nil // the connection is its node actor's from here
		r.mu.Unlock()
		r.done <- r.finish(r.whole)
		if r.out {
			<-r.back
		}
	})
	return nil
}

// Cut ends a Read that is under way in another goroutine; the relay is closed all the same.
func (r *relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil {
		r.cut()
	}
}

// handOut marks the relay as given to the core; its connection's goroutine waits for it.
func (r *relay) handOut() { r.out = true }

// wait blocks until the relay is closed and tells whether its connection may carry another.
func (r *relay) wait() bool { return <-r.done }

// handed tells the relay that its node actor has the connection back.
func (r *relay) handed() { close(r.back) }
