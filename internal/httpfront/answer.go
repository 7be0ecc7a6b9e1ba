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
	maxInterim = 16 // 1xx answers before a final one
	// answerStallTimeout bounds each read of an answer that has begun. Nodes write an answer in one go, and a
	// damaged one may stop halfway while its connection stays open.
	answerStallTimeout = 500 * time.Millisecond
	lastReadTimeout    = 5 * time.Millisecond
	headTimeout        = 500 * time.Millisecond // for the heads of an answer together
)

// errMalformedAnswer says that an answer breaks the protocol, or that its end cannot be told from a cut.
var errMalformedAnswer = errors.New("answer: cannot be read")

// uniqueAnswerFields are the header fields that an answer may have once at most.
var uniqueAnswerFields = fieldSet()

// timedReader reads from a connection. While inAnswer is set each read has a deadline.
type timedReader struct {
	socket      net.Conn
	inAnswer    bool
	headsUntil  time.Time     // deadline of the heads; zero: in the body
	readTimeout time.Duration // of each read of a body; 0: answerStallTimeout
}

// Read implements io.Reader.
func (s *timedReader) Read(p []byte) (int, error) {
	if !s.inAnswer {
		return s.socket.Read(p)
	}
	until := s.headsUntil
	if until.IsZero() {
		until = time.Now().Add(cmp.Or(s.readTimeout, answerStallTimeout))
	}
	if err := s.socket.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err := s.socket.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// The process may have been suspended past the deadline: what has come meanwhile still counts.
		if err = s.socket.SetReadDeadline(time.Now().Add(lastReadTimeout)); err == nil {
			n, err = s.socket.Read(p)
		}
	}
	return n, err
}

// endLimits removes the deadline at the end of an answer.
func (s *timedReader) endLimits() error {
	s.inAnswer, s.readTimeout = false, 0
	return s.socket.SetReadDeadline(time.Time{})
}

// readAnswer reads one answer; clean says that the connection may carry another request. An error says that the
// answer may be cut, or may hold bytes of another one: its attempt may have run, and nothing of it is served.
func (c *conn) readAnswer() (rep *nodeResponse, clean bool, err error) {
	if _, err = c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	c.timed.inAnswer, c.timed.headsUntil = true, time.Now().Add(headTimeout)
	for range maxInterim {
		lines, err := c.readHead()
		if err != nil {
			return nil, false, err
		}
		f, err := checkHead(lines, uniqueAnswerFields)
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
			return nil, false, errMalformedAnswer
		case code < 200:
			continue // the answer is still to come
		case code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified:
		case !f.length && !f.chunked:
			return nil, false, errMalformedAnswer // it would end with the connection, and so would a cut one
		default:
			c.timed.headsUntil = time.Time{}
			if rep, err = c.readBody(f); err != nil {
				return nil, false, err
			}
		}
		if rep.relay != nil {
			return rep, !c.response.ConnectionClose(), nil // the relay calls endLimits
		}
		if err = c.timed.endLimits(); err != nil {
			rep.Release()
			return nil, false, err
		}
		return rep, !c.response.ConnectionClose() && c.reader.Buffered() == 0, nil
	}
	return nil, false, errMalformedAnswer
}

// readHead waits for a whole head and returns the lines after its status line, which it checks. It consumes
// nothing of the reader.
func (c *conn) readHead() ([]byte, error) {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return nil, err // also for a head that is longer than the buffer
		}
		b, _ := c.reader.Peek(c.reader.Buffered())
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			continue
		}
		status, lines, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
		if len(status) < 12 || string(status[:9]) != "HTTP/1.1 " || !isLength(status[9:12]) ||
			len(status) > 12 && status[12] != ' ' || bytes.IndexByte(status, '\n') >= 0 {
			return nil, errMalformedAnswer
		}
		return lines, nil
	}
}

// readBody reads a body. One of up to maxBufferedBody is read whole; a longer one becomes a relay, which reads the rest
// as fast as the client takes it.
func (c *conn) readBody(f framing) (*nodeResponse, error) {
	rep := &nodeResponse{}
	if size := c.response.Header.ContentLength(); !f.chunked && size <= maxBufferedBody {
		if err := c.response.ReadBody(c.reader, maxBufferedBody); err != nil {
			return nil, err
		}
		rep.body = bytes.Clone(c.response.Body())
		return rep, nil
	}
	c.response.StreamBody = true
	if err := c.response.ReadBody(c.reader, 0); err != nil {
		return nil, err
	}
	stream := c.response.BodyStream()
	first := make([]byte, maxBufferedBody+1)
	n, err := readUpTo(stream, first)
	switch {
	case err == io.EOF: //nolint:errorlint // a wrapped io.EOF is an error of the body, not its end
		// All of it came within the first piece.
		if cerr := c.response.CloseBodyStream(); cerr != nil {
			return nil, cerr
		}
		rep.body = first[:n]
		return rep, nil
	case err != nil:
		return nil, err
	}
	rep.relay = c.relay(first, stream)
	return rep, nil
}

// relay makes the relay of a long answer. The connection belongs to it until it is closed.
func (c *conn) relay(first []byte, rest io.Reader) *relay {
	c.timed.readTimeout = relayReadTimeout
	finish := func(whole bool) bool {
		if err := c.response.CloseBodyStream(); err != nil {
			whole = false
		}
		c.response.Reset()
		if whole {
			whole = c.timed.endLimits() == nil && c.reader.Buffered() == 0
		}
		if !whole {
			c.socket.Close() // the rest of the body is not read, so the connection cannot be used again
		}
		return whole
	}
	r := newRelay(first, rest, finish)
	r.closeConn = func() { c.socket.Close() }
	return r
}

// readUpTo fills piece from a body; io.EOF says that the body ended, whole, before that. io.ReadFull does not
// serve here: it returns io.ErrUnexpectedEOF for a whole body that is shorter than the piece, as the body does
// where it is cut.
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
