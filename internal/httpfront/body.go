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
	errNoBodyMemory = errors.New("body: no room for it now")
	errBodyStalled  = errors.New("body: the client stood still")
)

// requestBody is a request's body with its part of the shared memory; release returns that part.
type requestBody struct {
	body    []byte
	release func()
}

// bodyMemory is the part of the shared memory that one body has acquired.
type bodyMemory struct {
	budget   *semaphore.Weighted // nil: no bound
	size     int                 // Content-Length; negative: chunked
	acquired int64
}

// grow acquires what a body of size bytes needs beyond what it has; up to maxBufferedBody it needs none.
func (m *bodyMemory) grow(size int64) error {
	if size <= maxBufferedBody || size <= m.acquired || m.budget == nil {
		return nil
	}
	more := max(size-m.acquired, memoryStep)
	if m.size > 0 {
		more = size - m.acquired // all of it at once
	}
	if !m.budget.TryAcquire(more) {
		return errNoBodyMemory
	}
	m.acquired += more
	return nil
}

// release returns all of it; further calls do nothing.
func (m *bodyMemory) release() {
	if m.budget != nil && m.acquired > 0 {
		m.budget.Release(m.acquired)
		m.acquired = 0
	}
}

// readBody reads a request's body, each piece with a deadline of its own. A body longer than maxBufferedBody acquires
// its memory from budget as it grows; where none is free it fails with errNoBodyMemory. On an error release need not be
// called.
func readBody(ctx *fasthttp.RequestCtx, budget *semaphore.Weighted) (requestBody, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return requestBody{body: append([]byte(nil), ctx.Request.Body()...), release: func() {}}, nil
	}
	size := ctx.Request.Header.ContentLength()
	memory := &bodyMemory{budget: budget, size: size}
	h := requestBody{release: memory.release}
	switch {
	case size > maxRequestBody:
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
				h.release()
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
			h.release()
			return h, bodyError(err)
		}
	}
}

// extendBody makes room for another read of a body that fills its buffer.
func extendBody(body []byte, memory *bodyMemory) ([]byte, error) {
	if err := memory.grow(int64(len(body)) + bodyReadSize); err != nil {
		return nil, err
	}
	if len(body)+bodyReadSize > maxRequestBody+1 {
		return nil, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	}
	grown := make([]byte, len(body), max(2*cap(body), len(body)+bodyReadSize))
	copy(grown, body)
	return grown, nil
}

// bodyError is errBodyStalled for a timeout, and any other error as it is.
func bodyError(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errBodyStalled
	}
	return err
}
