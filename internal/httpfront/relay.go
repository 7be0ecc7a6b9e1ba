package httpfront

import (
	"errors"
	"io"
	"sync"
	"time"

	"wheatsaddle/internal/memory"
)

const (
	minRelayBuffer = 4 << 10                 // bytes, which a relay always has; the buffer grows with the body
	maxRelayBuffer = maxBufferedBody + 4<<10 // bytes; above maxBufferedBody, so that a body is seen to exceed that
)

// passedOnBuffer is the size of the buffer of a response that is passed on, in bytes.
const passedOnBuffer = 8 << 10

var (
	errBodyTruncated = errors.New("relay response: body from the node is truncated")
	errRelayClosed   = errors.New("relay response: the client's side is closed")
)

// relay passes a long response from a node to a client through a bounded buffer. The goroutine of the node's connection fills it
// as the body arrives, and waits while it is full. The client's server reads from it. Once the body is in the buffer as a whole,
// the node's connection is free, whatever the client still has to read.
type relay struct {
	pace        responsePace // write deadlines of the client's connection
	pacer       *bulkPacer   // of all long responses; nil: none
	unpaced     int          // bytes read since the last pass of the pacer
	onTruncated func()       // called when the node's body ends early; may be nil
	closeConn   func()       // closes the node's connection

	mu       sync.Mutex // guards the fields below
	change   *sync.Cond // they have changed
	buffer   []byte
	start    int   // of the bytes in buffer that are not read yet
	err      error // io.EOF: the body is complete; any other: it is truncated; nil: more may come
	closed   bool  // nothing more is read
	passedOn bool
	memory   memory.Share
}

// newRelay returns a relay with an empty buffer. closeConn makes a pending read of the node's body fail. The buffer grows within
// the account.
func newRelay(closeConn func(), account *memory.Account) *relay {
	r := &relay{closeConn: closeConn, memory: account.NewShare(memory.Response)}
	r.change = sync.NewCond(&r.mu)
	return r
}

// space returns a part of the buffer for the next bytes, which no other method uses until received. It waits while the buffer
// is full, and returns nil once the relay is closed.
func (r *relay) space() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && !r.makeSpace() {
		r.change.Wait()
	}
	if r.closed {
		return nil
	}
	return r.buffer[len(r.buffer):cap(r.buffer)]
}

// isFull reports whether the buffer has no space and cannot grow, so that space would wait.
func (r *relay) isFull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.closed && !r.makeSpace()
}

// makeSpace reports whether the buffer has space, if need be by moving its bytes or by growing it. The caller holds the mutex.
func (r *relay) makeSpace() bool {
	if r.passedOn && cap(r.buffer) > passedOnBuffer {
		return r.shrink()
	}
	switch {
	case r.start == len(r.buffer):
		r.buffer, r.start = r.buffer[:0], 0
	case len(r.buffer) == cap(r.buffer) && r.start > 0:
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
		r.start = 0
	}
	if len(r.buffer) < cap(r.buffer) {
		return true
	}
	size := max(minRelayBuffer, min(2*cap(r.buffer), r.maxBuffer()))
	if size <= cap(r.buffer) || !r.memory.Grow(int64(size-minRelayBuffer)) {
		return false
	}
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	return true
}

// shrink replaces a buffer that has become too large, once its bytes fit into a smaller one. The caller holds the mutex.
func (r *relay) shrink() bool {
	unread := r.buffer[r.start:]
	if len(unread) >= passedOnBuffer {
		return false
	}
	r.buffer, r.start = append(make([]byte, 0, passedOnBuffer), unread...), 0
	r.memory.Shrink(passedOnBuffer - minRelayBuffer)
	return true
}

// maxBuffer returns the size to which the buffer may grow.
func (r *relay) maxBuffer() int {
	if r.passedOn {
		return passedOnBuffer
	}
	return maxRelayBuffer
}

// markPassedOn is called when the response is passed on. From then on a small buffer is enough.
func (r *relay) markPassedOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passedOn = true
}

// received adds size bytes that were read into the space, and the end of the body, if err is not nil.
func (r *relay) received(size int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.buffer = r.buffer[:len(r.buffer)+size]
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Join(errBodyTruncated, err) // never io.EOF, as the server would end the client's response as if it were complete
	}
	r.err = err
	r.change.Broadcast()
}

// takeBody returns the buffered body of a response that is not passed on early, with its memory.
func (r *relay) takeBody() ([]byte, memory.Share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.memory
	r.memory = memory.Share{}
	return r.buffer[r.start:], share
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) {
	r.pace.pieceRequested()
	n, err := r.readPiece(p)
	if r.unpaced += n; r.unpaced >= pacedBytes {
		r.unpaced = 0
		r.pacer.pass()
	}
	r.pace.passPiece(n, time.Time{})
	if err != nil && !errors.Is(err, io.EOF) && r.onTruncated != nil {
		r.onTruncated()
	}
	return n, err
}

// readPiece waits for bytes or the end of the body.
func (r *relay) readPiece(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.start == len(r.buffer) && r.err == nil && !r.closed {
		r.change.Wait()
	}
	if r.closed {
		return 0, errRelayClosed
	}
	n := copy(p, r.buffer[r.start:])
	r.start += n
	r.change.Broadcast()
	if n == 0 {
		return 0, r.err
	}
	return n, nil
}

// share makes the relay share the processor with the other long responses of a pacer.
func (r *relay) share(pacer *bulkPacer) {
	r.pacer = pacer
	pacer.begin()
}

// Close implements io.Closer. A body that is still arriving is given up, and the node's connection closed.
func (r *relay) Close() error {
	r.mu.Lock()
	unfinished := r.err == nil && !r.closed
	if !r.closed {
		r.pacer.end()
	}
	r.closed, r.buffer, r.start = true, nil, 0
	r.memory.Release()
	r.change.Broadcast()
	r.mu.Unlock()
	if unfinished {
		r.closeConn()
	}
	return nil
}

// Abort makes a Read in another goroutine fail. Close must still be called.
func (r *relay) Abort() { _ = r.Close() }
