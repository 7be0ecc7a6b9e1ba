package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"
)

const (
	// pieceRead is how long a client may stand still within a body: it may send at 64 kB a
	// second, in pieces cut anywhere.
	pieceRead = readTimeout
	roomStep  = 256 << 10 // room is taken in steps of this while a chunked body comes
	readStep  = 32 << 10
)

var (
	errNoRoom = errors.New("body: no room for it now")
	errStill  = errors.New("body: the client stood still")
)

// held is a request's body that takes part of the room; free gives it back.
type held struct {
	body []byte
	free func()
}

// readBody reads a request's body as it comes, each piece with a deadline of its own. Up to
// bodyMost it is read into memory freely; past that it takes room as it grows, and where none
// is free the body is given up.
func readBody(ctx *fasthttp.RequestCtx, room *semaphore.Weighted) (held, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return held{body: append([]byte(nil), ctx.Request.Body()...), free: func() {}}, nil
	}
	size := ctx.Request.Header.ContentLength()
	taken := int64(0)
	h := held{free: func() {
		if room != nil && taken > 0 {
			room.Release(taken)
			taken = 0
		}
	}}
	grow := func(want int64) error {
		if want <= bodyMost || want <= taken || room == nil {
			return nil
		}
		more := max(want-taken, roomStep)
		if size > 0 {
			more = want - taken // the whole of it at once
		}
		if !room.TryAcquire(more) {
			return errNoRoom
		}
		taken += more
		return nil
	}
	switch {
	case size > bodyLargest:
		return h, &Malformed{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	case size > 0:
		if err := grow(int64(size)); err != nil {
			return h, err
		}
		h.body = make([]byte, 0, size)
	}
	nc := ctx.Conn()
	for {
		if size >= 0 && len(h.body) == size {
			_ = nc.SetReadDeadline(time.Time{})
			return h, nil // all that it said it has
		}
		if len(h.body) == cap(h.body) {
			if err := grow(int64(len(h.body)) + readStep); err != nil {
				h.free()
				return h, err
			}
			if len(h.body)+readStep > bodyLargest+1 {
				h.free()
				return h, &Malformed{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
			}
			grown := make([]byte, len(h.body), max(2*cap(h.body), len(h.body)+readStep))
			copy(grown, h.body)
			h.body = grown
		}
		_ = nc.SetReadDeadline(time.Now().Add(pieceRead))
		n, err := stream.Read(h.body[len(h.body):cap(h.body)])
		h.body = h.body[:len(h.body)+n]
		if err == io.EOF && size >= 0 && len(h.body) < size {
			err = io.ErrUnexpectedEOF // the stream of a body with a length does not tell that it was cut
		}
		if err == io.EOF {
			_ = nc.SetReadDeadline(time.Time{})
			return h, nil
		}
		if err != nil {
			h.free()
			var late net.Error
			if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &late) && late.Timeout() {
				return h, errStill
			}
			return h, err
		}
	}
}
