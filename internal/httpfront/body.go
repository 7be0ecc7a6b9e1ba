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
	// bodyReadTimeout bounds each read of a body: a client may send as slowly as 64 kB a second, in pieces of any size.
	bodyReadTimeout = readTimeout
	memoryStep      = 256 << 10 // least step in which memory is acquired for a chunked body
	bodyReadSize    = 32 << 10
)

var (
	errNoRoom = errors.New("body: no room for it now")
	errStill  = errors.New("body: the client stood still")
)

// held is a request's body with its part of the shared memory; free returns that part.
type held struct {
	body []byte
	free func()
}

// bodyMemory is the part of the shared memory that one body has acquired.
type bodyMemory struct {
	room  *semaphore.Weighted // nil: no bound
	size  int                 // Content-Length; negative: chunked
	taken int64
}

// grow acquires what a body of want bytes needs beyond what it has; up to bodyMost it needs none.
func (m *bodyMemory) grow(want int64) error {
	if want <= bodyMost || want <= m.taken || m.room == nil {
		return nil
	}
	more := max(want-m.taken, memoryStep)
	if m.size > 0 {
		more = want - m.taken // all of it at once
	}
	if !m.room.TryAcquire(more) {
		return errNoRoom
	}
	m.taken += more
	return nil
}

// release returns all of it; further calls do nothing.
func (m *bodyMemory) release() {
	if m.room != nil && m.taken > 0 {
		m.room.Release(m.taken)
		m.taken = 0
	}
}

// readBody reads a request's body, each piece with a deadline of its own. A body longer than bodyMost acquires
// its memory from room as it grows; where none is free it fails with errNoRoom. On an error free need not be
// called.
func readBody(ctx *fasthttp.RequestCtx, room *semaphore.Weighted) (held, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return held{body: append([]byte(nil), ctx.Request.Body()...), free: func() {}}, nil
	}
	size := ctx.Request.Header.ContentLength()
	memory := &bodyMemory{room: room, size: size}
	h := held{free: memory.release}
	switch {
	case size > bodyLargest:
		return h, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	case size > 0:
		if err := memory.grow(int64(size)); err != nil {
			return h, err
		}
		h.body = make([]byte, 0, size)
	}
	nc := ctx.Conn()
	for {
		if size >= 0 && len(h.body) == size {
			_ = nc.SetReadDeadline(time.Time{})
			return h, nil // its Content-Length is reached
		}
		if len(h.body) == cap(h.body) {
			grown, err := extendBody(h.body, memory)
			if err != nil {
				h.free()
				return h, err
			}
			h.body = grown
		}
		_ = nc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
		n, err := stream.Read(h.body[len(h.body):cap(h.body)])
		h.body = h.body[:len(h.body)+n]
		if err == io.EOF && size >= 0 && len(h.body) < size {
			err = io.ErrUnexpectedEOF // fasthttp's stream of a body with a length does not report a cut
		}
		if err == io.EOF {
			_ = nc.SetReadDeadline(time.Time{})
			return h, nil
		}
		if err != nil {
			h.free()
			return h, bodyError(err)
		}
	}
}

// extendBody makes room for another read of a body that fills its buffer.
func extendBody(body []byte, memory *bodyMemory) ([]byte, error) {
	if err := memory.grow(int64(len(body)) + bodyReadSize); err != nil {
		return nil, err
	}
	if len(body)+bodyReadSize > bodyLargest+1 {
		return nil, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	}
	grown := make([]byte, len(body), max(2*cap(body), len(body)+bodyReadSize))
	copy(grown, body)
	return grown, nil
}

// bodyError is errStill for a timeout, and any other error as it is.
func bodyError(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errStill
	}
	return err
}
