package httpfront

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/progress"
	"wheatsaddle/internal/transport"
)

const (
	maxRetainedBuffer = 2 << 10  // bytes; a larger write buffer is released after the write
	writePieceSize    = 72 << 10 // piece of a write that may become too late; the clock is read before each piece
	// maxUnpacedWrite is the size of a message that the system accepts as a whole, in bytes. It is written without deadlines.
	maxUnpacedWrite = 4 << 10
)

var (
	// errRequestStalled reports that the node has not taken a byte of the request for progress.MaxSilence.
	errRequestStalled = errors.New("write request: the node has stopped reading")
	// errRespondedEarly reports that the node responds before it has taken the whole request.
	errRespondedEarly = errors.New("write request: the node responds already")
)

// requestWrite writes the message of one attempt. A node may rest while it reads, and may respond before it has read all: then the rest
// is written beside the read of the response.
type requestWrite struct {
	conn     *conn
	attempt  *core.Attempt
	delivery *delivery
	bodySize int
	parts    [][]byte // that are not written yet
	done     chan struct{}
	complete atomic.Bool // the last byte was written
}

// newRequestWrite encodes an attempt's message.
func (c *conn) newRequestWrite(j job, closer *contextCloser) *requestWrite {
	message := j.attempt.Request.Payload.(*nodeRequest)
	w := &requestWrite{conn: c, attempt: j.attempt, bodySize: message.bodySize(), delivery: newDelivery(c.node, j, closer, c.socket, message.bodySize())}
	c.buffer = message.encodeHead(c.buffer[:0], c.host, time.Until(j.attempt.Deadline))
	w.parts = [][]byte{nil}
	if message.bodySize() > 0 {
		w.parts = append(w.parts, message.body.segments...)
	}
	return w
}

// run writes the message. After an error the last byte was not written; after errRespondedEarly finish has to be called.
//
// A node deduplicates a retry only within a time window, and the arrival of the last byte counts. The attempt's StartBy (zero: none)
// therefore applies to the last byte too: if the node reads slowly, bytes that remain then are never written.
func (w *requestWrite) run() error {
	joined := w.conn.node.dialer.Memory.NewShare(memory.NodeConnection)
	defer joined.Release()
	w.joinSegments(&joined)
	w.attempt.SetTransferring(true)
	err := w.writeParts(true)
	if errors.Is(err, errRespondedEarly) {
		w.done = make(chan struct{})
		go w.writeBesideResponse()
	}
	return err
}

// joinSegments appends the first segments of the body to the head, as far as they fit into a piece and the account has memory for them.
// A node with a small receive buffer that gets a long request in small pieces takes it at a fraction of the speed at which it reads.
func (w *requestWrite) joinSegments(joined *memory.Share) {
	c := w.conn
	for len(w.parts) > 1 && joined.Held()+int64(len(w.parts[1])) <= maxBufferedBody && joined.Grow(int64(len(w.parts[1]))) {
		c.buffer = append(c.buffer, w.parts[1]...)
		w.parts = w.parts[1:]
	}
	w.parts[0] = c.buffer
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
}

// writeBesideResponse writes the rest of the message.
func (w *requestWrite) writeBesideResponse() {
	defer close(w.done)
	_ = w.writeParts(false) // complete tells whether the last byte was written
}

// finish ends the write once the response is read or has failed. It reports whether the node's machine has the whole message: another
// request on the connection would have to wait behind the rest of it. If the message was not written to its last byte, the connection is
// closed.
func (w *requestWrite) finish() (delivered bool) {
	if w.done == nil {
		return w.bodySize == 0 || !transport.HasUndelivered(w.conn.socket)
	}
	select {
	case <-w.done:
	default:
		w.conn.socket.Close()
		<-w.done
	}
	return w.complete.Load() && !transport.HasUndelivered(w.conn.socket)
}

// written reports whether the last byte was written.
func (w *requestWrite) written() bool { return w.complete.Load() }

// writeParts writes the parts that remain. With stopAtResponse it ends with errRespondedEarly once the node responds.
func (w *requestWrite) writeParts(stopAtResponse bool) error {
	socket, startBy := w.conn.socket, w.attempt.StartBy
	if len(w.parts) == 1 && len(w.parts[0]) <= maxUnpacedWrite && startBy.IsZero() {
		if _, err := socket.Write(w.parts[0]); err != nil {
			return err
		}
		w.lastByteWritten()
		return nil
	}
	for len(w.parts) > 0 {
		if err := w.writePart(stopAtResponse); err != nil {
			return err
		}
		w.parts = w.parts[1:]
	}
	_ = socket.SetWriteDeadline(time.Time{}) // an error shows up at the next use of the connection
	w.lastByteWritten()
	return nil
}

// lastByteWritten records the end of the write.
func (w *requestWrite) lastByteWritten() {
	w.complete.Store(true)
	w.delivery.written()
}

// writePart writes the first part in pieces. It reads the clock before each, as the timer of a write deadline may fire late.
func (w *requestWrite) writePart(stopAtResponse bool) error {
	socket := w.conn.socket
	for len(w.parts[0]) > 0 {
		deadline, err := w.pieceDeadline()
		if err != nil {
			return err
		}
		if err := socket.SetWriteDeadline(deadline); err != nil {
			return err
		}
		n, err := socket.Write(w.nextPiece())
		w.parts[0] = w.parts[0][n:]
		if n > 0 {
			w.delivery.taken()
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case stopAtResponse && transport.HasInput(socket):
			return errRespondedEarly
		case !w.delivery.mayRest():
			return errRequestStalled
		}
	}
	return nil
}

// nextPiece returns the bytes of the first part that are written by one call.
func (w *requestWrite) nextPiece() []byte {
	if w.attempt.StartBy.IsZero() {
		return w.parts[0]
	}
	return w.parts[0][:min(len(w.parts[0]), writePieceSize)]
}

// pieceDeadline returns until when a piece may wait for the node. It returns os.ErrDeadlineExceeded once the message may no longer be
// written.
func (w *requestWrite) pieceDeadline() (time.Time, error) {
	now, startBy := time.Now(), w.attempt.StartBy
	if !startBy.IsZero() && !now.Before(startBy) {
		return time.Time{}, os.ErrDeadlineExceeded
	}
	deadline := now.Add(min(w.delivery.wait(), progress.SlowAfter))
	if !startBy.IsZero() && startBy.Before(deadline) {
		return startBy, nil
	}
	return deadline, nil
}
