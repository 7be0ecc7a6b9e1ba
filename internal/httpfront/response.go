package httpfront

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/progress"
)

const (
	maxInterimResponses = 16 // 1xx responses before the final one
	finalReadTimeout    = 5 * time.Millisecond
)

// errMalformedResponse reports a response that violates the protocol.
var errMalformedResponse = errors.New("read response: malformed message")

// errAmbiguousResponse reports a response that is followed by more bytes on a connection that has carried an earlier request.
var errAmbiguousResponse = errors.New("read response: more bytes follow it")

// uniqueResponseFields are the header fields that a response may contain at most once.
var uniqueResponseFields = fieldSet()

// timedReader reads from a connection. A read of an attempt's response waits as the progress of the attempt allows. There is no limit
// on the total time of a response: the deadline of its attempt is one.
type timedReader struct {
	socket      net.Conn
	inResponse  bool      // a byte of the response has come
	delivery    *delivery // of the attempt; nil: there is none, as for a probe
	hasDeadline bool      // the socket has a read deadline
}

// Read implements io.Reader.
func (s *timedReader) Read(p []byte) (int, error) {
	n, err := s.read(p)
	if n > 0 && s.delivery != nil {
		s.delivery.heard()
	}
	return n, err
}

// read reads, and ends when the node has rested for too long.
func (s *timedReader) read(p []byte) (int, error) {
	for {
		if err := s.setDeadline(s.wait()); err != nil {
			return 0, err
		}
		n, err := s.socket.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if s.delivery != nil && s.delivery.mayRest() {
			continue
		}
		// The process may have been suspended past the deadline: data that arrived in the meantime still counts.
		if err := s.setDeadline(finalReadTimeout); err != nil {
			return 0, err
		}
		return s.socket.Read(p)
	}
}

// wait returns how long a read may wait, or progress.Unlimited.
func (s *timedReader) wait() time.Duration {
	switch {
	case s.delivery != nil:
		return s.delivery.wait()
	case s.inResponse:
		return progress.MaxSilence
	}
	return progress.Unlimited
}

// setDeadline sets the deadline of the next read.
func (s *timedReader) setDeadline(wait time.Duration) error {
	if wait == progress.Unlimited {
		if !s.hasDeadline {
			return nil
		}
		s.hasDeadline = false
		return s.socket.SetReadDeadline(time.Time{})
	}
	s.hasDeadline = true
	return s.socket.SetReadDeadline(time.Now().Add(wait))
}

// clearDeadline removes the read deadline at the end of a response.
func (s *timedReader) clearDeadline() error {
	s.inResponse, s.delivery = false, nil
	return s.setDeadline(progress.Unlimited)
}

// readResponse reads one response to its end; first says that no other one was read on the connection, and reusable reports
// whether the connection may carry another request. d passes a long response on before its end; it is nil for a response that
// is read as a whole. After an error the response may be truncated or mixed with bytes of another one: the attempt may have run,
// and nothing of the response is served, unless it was passed on before; the caller releases rep, if it is not nil.
func (c *conn) readResponse(first bool, d *delivery) (rep *nodeResponse, reusable bool, err error) {
	c.timedReader.delivery = d
	if _, err = c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	c.timedReader.inResponse = true
	for range maxInterimResponses {
		lines, err := c.readHead()
		if err != nil {
			return nil, false, err
		}
		f, err := checkHead(lines, uniqueResponseFields)
		if err != nil {
			return nil, false, err
		}
		c.response.Reset()
		if err := c.response.Header.Read(c.reader); err != nil {
			return nil, false, err
		}
		rep = &nodeResponse{}
		switch code := c.response.StatusCode(); {
		case code == fasthttp.StatusSwitchingProtocols || code < 100:
			return nil, false, errMalformedResponse
		case code < 200:
			continue // an interim response; the final one follows
		case code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified:
		default:
			if rep, err = c.readBody(f, d); err != nil {
				return rep, false, err
			}
		}
		reusable, err = c.finishResponse(first, rep)
		return rep, reusable, err
	}
	return nil, false, errMalformedResponse
}

// finishResponse ends the read of a complete response.
func (c *conn) finishResponse(first bool, rep *nodeResponse) (reusable bool, err error) {
	if err := c.timedReader.clearDeadline(); err != nil {
		return false, err
	}
	if rep.unread {
		return false, nil
	}
	c.unrequested = c.reader.Buffered() > 0
	if c.unrequested && !first { // this may be a second response to an earlier request, and the bytes after it the true one
		return false, errAmbiguousResponse
	}
	return !c.response.ConnectionClose() && !c.unrequested, nil
}

// readHead waits for a complete head, checks its status line and returns the lines that follow. It does not advance
// the reader.
func (c *conn) readHead() ([]byte, error) {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return nil, err // including a head that is longer than the buffer
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			continue
		}
		status, lines, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
		if len(status) < 12 || string(status[:9]) != "HTTP/1.1 " || !isLength(status[9:12]) ||
			len(status) > 12 && status[12] != ' ' || bytes.IndexByte(status, '\n') >= 0 {
			return nil, errMalformedResponse
		}
		return lines, nil
	}
}

// readBody reads a body. One whose length is at most maxBufferedBody is read as a whole.
func (c *conn) readBody(f framing, d *delivery) (*nodeResponse, error) {
	size := c.response.Header.ContentLength()
	short := f.length && size <= maxBufferedBody
	servable := d != nil && c.response.StatusCode() == fasthttp.StatusOK
	if d != nil && (short || !servable) {
		d.headEnded()
	}
	if short {
		rep := &nodeResponse{memory: c.node.dialer.Memory.NewShare(memory.Response)}
		if servable && !rep.memory.Grow(int64(size)) {
			if err := c.awaitShortBody(size, &rep.memory, d); err != nil {
				return nil, err
			}
		}
		if rep.memory.Grow(int64(size)) {
			rep.body = make([]byte, size)
			_, err := io.ReadFull(c.reader, rep.body)
			return rep, err
		}
	}
	stream, err := c.bodyStream(f)
	if err != nil {
		return nil, err
	}
	if !servable {
		return c.readUnused(stream)
	}
	length := int64(progress.UnknownLength) // also that of a short body for which there is no memory, all of which has arrived
	if f.length && !short {
		length = int64(size)
	}
	return c.readLongBody(stream, length, d)
}

// bodyStream returns the decoded body of a response. A body with neither length nor chunks ends with the connection (RFC 9112,
// section 6.3); a reset or a timeout is an error.
func (c *conn) bodyStream(f framing) (io.Reader, error) {
	if !f.length && !f.chunked {
		return c.reader, nil
	}
	c.response.StreamBody = true
	if err := c.response.ReadBody(c.reader, 0); err != nil {
		return nil, err
	}
	return c.response.BodyStream(), nil
}

// readUnused reads and drops a body that is not served. Of one that exceeds maxBufferedBody the rest stays unread.
func (c *conn) readUnused(stream io.Reader) (*nodeResponse, error) {
	var dropped [1 << 10]byte
	for size := 0; size <= maxBufferedBody; {
		n, err := stream.Read(dropped[:])
		size += n
		if errors.Is(err, io.EOF) {
			return &nodeResponse{}, c.response.CloseBodyStream()
		}
		if err != nil {
			return nil, err
		}
	}
	return &nodeResponse{unread: true}, nil
}

// readLongBody reads a body into a relay, and passes the relay on when the delivery decides so. It returns when the body has
// ended. If the response was not passed on by then, the result has the whole body.
func (c *conn) readLongBody(stream io.Reader, length int64, d *delivery) (*nodeResponse, error) {
	socket := c.socket
	r := newRelay(func() { socket.Close() }, c.node.dialer.Memory)
	rep := &nodeResponse{relay: r}
	c.recordIdentity()
	d.begin(length, decodeResponse(&c.response, rep))
	for {
		if r.isFull() && !d.passOn() {
			return rep, errNoMemory
		}
		space := r.space()
		if space == nil {
			return rep, errRelayClosed
		}
		n, err := stream.Read(space)
		if errors.Is(err, io.EOF) {
			err = cmp.Or(c.response.CloseBodyStream(), io.EOF)
		}
		r.received(n, err)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return rep, err
		}
		d.received(n)
	}
	if !d.end() {
		rep.body, rep.memory = r.takeBody()
		rep.relay = nil
	}
	return rep, nil
}
