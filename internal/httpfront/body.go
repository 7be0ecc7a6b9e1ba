package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/datarate"
	"wheatsaddle/internal/memory"
)

const (
	minClientRate = 32 << 10 // bytes per second of a request or response body, half the rate of the slowest supported client
	minSegment    = 8 << 10  // bytes
	maxSegment    = 64 << 10 // bytes

	// bodyAccountShare is the share of the account that bodies may fill, and completeBodyBonus what is added to it for the
	// received part of a body.
	bodyAccountShare  = 0.7
	completeBodyBonus = 0.1

	// firstPieceSize is the part of a body that fasthttp reads before it calls the handler, in bytes.
	firstPieceSize = 8 << 10
	// firstPieceTimeout is the read timeout of the first firstPieceSize bytes of a body. It
	// does not depend on the length that the client declares, because no more than that is read within it.
	firstPieceTimeout = readTimeout
)

// bodyLimits bound the waits for the client while a request body arrives.
var bodyLimits = datarate.Limits{StallTimeout: readTimeout, MinBytesPerSecond: minClientRate}

var (
	errNoMemory    = errors.New("read request: no memory is free for it")
	errBodyStalled = errors.New("body: the client stood still")
)

// requestBody is the body of a request, in segments, with the memory that it has acquired. The segments are allocated as the body
// arrives: what a client only declares takes no memory.
type requestBody struct {
	segments [][]byte
	size     int
	declared int // Content-Length; negative: chunked
	memory   memory.Share
}

// newRequestBody returns an empty body.
func newRequestBody(account *memory.Account, declared int) *requestBody {
	return &requestBody{declared: declared, memory: account.NewShare(memory.RequestBody)}
}

// release returns the memory. The body must not be used any more.
func (b *requestBody) release() {
	b.segments, b.size = nil, 0
	b.memory.Release()
}

// space returns the free part of the last segment, or of a new one. It fails if the account has no memory for that.
func (b *requestBody) space() ([]byte, error) {
	if n := len(b.segments); n > 0 {
		if last := b.segments[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	size := b.nextSegment()
	if !b.memory.GrowWithin(b.memory.Held()+int64(size), b.accountShare()) {
		return nil, errNoMemory
	}
	b.segments = append(b.segments, make([]byte, 0, size))
	return b.segments[len(b.segments)-1][:size], nil
}

// nextSegment returns the size of the next segment.
func (b *requestBody) nextSegment() int {
	size := min(max(minSegment, b.size), maxSegment)
	if b.declared >= 0 {
		size = min(size, b.declared-b.size)
	}
	return size
}

// accountShare returns the share of the account up to which the body may grow. It is higher for one that is nearly complete, so
// that bodies which compete for the last memory do not all fail.
func (b *requestBody) accountShare() float64 {
	if b.declared <= 0 {
		return bodyAccountShare
	}
	return bodyAccountShare + completeBodyBonus*float64(b.size)/float64(b.declared)
}

// received adds n bytes that were read into the space.
func (b *requestBody) received(n int) {
	last := &b.segments[len(b.segments)-1]
	*last = (*last)[:len(*last)+n]
	b.size += n
}

// readBody reads the body of a request, within bodyLimits. It fails with errNoMemory if the account has none for it. After an
// error release need not be called.
func readBody(ctx *fasthttp.RequestCtx, account *memory.Account) (*requestBody, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return bufferedBody(account, ctx.Request.Body())
	}
	size := ctx.Request.Header.ContentLength()
	if size > maxRequestBody {
		return nil, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	}
	body := newRequestBody(account, size)
	if err := body.readFrom(stream, ctx.Conn()); err != nil {
		body.release()
		return nil, bodyError(err)
	}
	return body, nil
}

// bufferedBody returns a copy of a body that the server has read as a whole.
func bufferedBody(account *memory.Account, whole []byte) (*requestBody, error) {
	body := newRequestBody(account, len(whole))
	if len(whole) == 0 {
		return body, nil
	}
	if !body.memory.Grow(int64(len(whole))) {
		return nil, errNoMemory
	}
	body.segments, body.size = [][]byte{append([]byte(nil), whole...)}, len(whole)
	return body, nil
}

// readFrom reads the body to its end.
func (b *requestBody) readFrom(stream io.Reader, nc net.Conn) error {
	transfer := datarate.NewTransfer(bodyLimits)
	for {
		if b.declared >= 0 && b.size == b.declared {
			return nc.SetReadDeadline(time.Time{})
		}
		if b.size > maxRequestBody {
			return &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
		}
		space, err := b.space()
		if err != nil {
			return err
		}
		start := time.Now()
		_ = nc.SetReadDeadline(start.Add(transfer.Allowance()))
		n, err := stream.Read(space)
		transfer.Record(time.Since(start), n)
		b.received(n)
		atEnd := errors.Is(err, io.EOF)
		if atEnd && b.declared >= 0 && b.size < b.declared {
			return io.ErrUnexpectedEOF // for a body with Content-Length, fasthttp's stream does not report a truncation
		}
		if atEnd {
			return nc.SetReadDeadline(time.Time{})
		}
		if err != nil {
			return err
		}
	}
}

// bodyError returns errBodyStalled for a timeout, and any other error unchanged.
func bodyError(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errBodyStalled
	}
	return err
}
