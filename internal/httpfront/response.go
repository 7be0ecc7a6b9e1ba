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
)

const (
	maxInterimResponses = 16 // 1xx responses before the final one
	// responseStallTimeout bounds each read of a response that has begun. Nodes write a response at once, and a
	// faulty node may stop halfway while its connection stays open.
	responseStallTimeout = 500 * time.Millisecond
	finalReadTimeout     = 5 * time.Millisecond
	responseHeadTimeout  = 500 * time.Millisecond // for all heads of a response together, including interim ones
)

// errMalformedResponse reports a response that violates the protocol.
var errMalformedResponse = errors.New("read response: malformed message")

// errAmbiguousResponse reports a response that is followed by more bytes on a connection that has carried an earlier request.
var errAmbiguousResponse = errors.New("read response: more bytes follow it")

// uniqueResponseFields are the header fields that a response may contain at most once.
var uniqueResponseFields = fieldSet()

// timedReader reads from a connection. Each read has a deadline while inResponse is set.
type timedReader struct {
	socket       net.Conn
	inResponse   bool
	headDeadline time.Time     // deadline of the heads; zero while the body is read
	readTimeout  time.Duration // limit of each read of a body; 0: responseStallTimeout
}

// Read implements io.Reader.
func (s *timedReader) Read(p []byte) (int, error) {
	if !s.inResponse {
		return s.socket.Read(p)
	}
	deadline := s.headDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(cmp.Or(s.readTimeout, responseStallTimeout))
	}
	if err := s.socket.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := s.socket.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// The process may have been suspended past the deadline: data that arrived in the meantime still counts.
		if err = s.socket.SetReadDeadline(time.Now().Add(finalReadTimeout)); err == nil {
			n, err = s.socket.Read(p)
		}
	}
	return n, err
}

// clearDeadline removes the read deadline at the end of a response.
func (s *timedReader) clearDeadline() error {
	s.inResponse, s.readTimeout = false, 0
	return s.socket.SetReadDeadline(time.Time{})
}

// readResponse reads one response; first says that no other one was read on the connection, and reusable reports whether the connection may carry another request. After an error the
// response may be truncated or mixed with bytes of another one: the attempt may have run, and nothing of the response is served.
func (c *conn) readResponse(first bool) (rep *nodeResponse, reusable bool, err error) {
	if _, err = c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	c.timedReader.inResponse, c.timedReader.headDeadline = true, time.Now().Add(responseHeadTimeout)
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
			c.timedReader.headDeadline = time.Time{}
			if rep, err = c.readBody(f); err != nil {
				return nil, false, err
			}
		}
		if rep.relay != nil {
			return rep, !c.response.ConnectionClose(), nil // the relay calls clearDeadline
		}
		if err = c.timedReader.clearDeadline(); err != nil {
			rep.Release()
			return nil, false, err
		}
		c.unrequested = c.reader.Buffered() > 0
		if c.unrequested && !first { // this may be a second response to an earlier request, and the bytes after it the true one
			rep.Release()
			return nil, false, errAmbiguousResponse
		}
		return rep, !c.response.ConnectionClose() && !c.unrequested, nil
	}
	return nil, false, errMalformedResponse
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

// readBody reads a body. A body of up to maxBufferedBody is read completely; for a longer one it returns a relay, which reads
// the rest as fast as the client does. A body with neither length nor chunks ends with the connection (RFC 9112, section 6.3);
// a reset or a timeout is an error.
func (c *conn) readBody(f framing) (*nodeResponse, error) {
	rep := &nodeResponse{}
	if size := c.response.Header.ContentLength(); f.length && size <= maxBufferedBody {
		if err := c.response.ReadBody(c.reader, maxBufferedBody); err != nil {
			return nil, err
		}
		rep.body = bytes.Clone(c.response.Body())
		return rep, nil
	}
	stream, err := c.bodyStream(f)
	if err != nil {
		return nil, err
	}
	first := make([]byte, maxBufferedBody+1)
	n, err := readUpTo(stream, first)
	switch {
	case err == io.EOF: //nolint:errorlint // a wrapped io.EOF is an error of the body, not its end
		// The whole body fits into the first piece.
		if cerr := c.response.CloseBodyStream(); cerr != nil {
			return nil, cerr
		}
		rep.body = first[:n]
		return rep, nil
	case err != nil:
		return nil, err
	}
	rep.relay = c.relayBody(first, stream)
	return rep, nil
}

// bodyStream returns the decoded body of a response.
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

// relayBody returns the relay of a long response. It owns the connection until it is closed.
func (c *conn) relayBody(first []byte, remaining io.Reader) *relay {
	c.timedReader.readTimeout = relayReadTimeout
	finish := func(complete bool) bool {
		if err := c.response.CloseBodyStream(); err != nil {
			complete = false
		}
		c.response.Reset()
		if complete {
			c.unrequested = c.reader.Buffered() > 0
			complete = c.timedReader.clearDeadline() == nil && !c.unrequested
		}
		if !complete {
			c.closeReason.set(reasonRelayUnfinished)
			c.socket.Close() // the rest of the body is not read, so the connection cannot be used again
		}
		return complete
	}
	r := newRelay(first, remaining, finish)
	r.closeConn = func() { c.socket.Close() }
	return r
}

// readUpTo fills piece from a body and returns io.EOF if the complete body is shorter. io.ReadFull is not suitable: it
// returns io.ErrUnexpectedEOF for a complete but short body, which is also the error of a truncated body.
func readUpTo(body io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = body.Read(piece[n:])
		n += more
	}
	if n == len(piece) && err == io.EOF {
		err = nil // the next read returns it again
	}
	return n, err
}
