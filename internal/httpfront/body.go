package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"wheatsaddle/internal/datarate"
)

const (
	minClientRate = 32 << 10  // bytes per second of a request or response body, half the rate of the slowest supported client
	minMemoryStep = 256 << 10 // minimum amount of memory acquired at a time for a chunked body
	bodyReadSize  = 32 << 10
	// firstPieceTimeout is the read timeout of the first 8 KiB of a body, which fasthttp reads before it calls the handler. It
	// does not depend on the length that the client declares, because no more than that is read within it.
	firstPieceTimeout = readTimeout
)

// bodyLimits bound the waits for the client while a request body arrives.
var bodyLimits = datarate.Limits{StallTimeout: readTimeout, MinBytesPerSecond: minClientRate}

var (
	errNoBodyMemory = errors.New("read body: request body memory is exhausted")
	errBodyStalled  = errors.New("body: the client stood still")
)

// requestBody is the body of a request with its share of the body memory; release returns that share.
type requestBody struct {
	body    []byte
	release func()
}

// bodyMemory is the share of the body memory that one body has acquired.
type bodyMemory struct {
	budget   *semaphore.Weighted // nil: no limit
	size     int                 // Content-Length; negative: chunked
	acquired int64
}

// grow acquires the additional memory for a body of size bytes. A body of up to maxBufferedBody needs none.
func (m *bodyMemory) grow(size int64) error {
	if size <= maxBufferedBody || size <= m.acquired || m.budget == nil {
		return nil
	}
	more := max(size-m.acquired, minMemoryStep)
	if m.size > 0 {
		more = size - m.acquired // all of it at once
	}
	if !m.budget.TryAcquire(more) {
		return errNoBodyMemory
	}
	m.acquired += more
	return nil
}

// release returns all acquired memory. Further calls do nothing.
func (m *bodyMemory) release() {
	if m.budget != nil && m.acquired > 0 {
		m.budget.Release(m.acquired)
		m.acquired = 0
	}
}

// readBody reads the body of a request, within bodyLimits. A body longer than maxBufferedBody acquires memory from budget as
// it grows, and fails with errNoBodyMemory if none is free. After an error release need not be called.
func readBody(ctx *fasthttp.RequestCtx, budget *semaphore.Weighted) (requestBody, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return requestBody{body: append([]byte(nil), ctx.Request.Body()...), release: func() {}}, nil
	}
	size := ctx.Request.Header.ContentLength()
	memory := &bodyMemory{budget: budget, size: size}
	result := requestBody{release: memory.release}
	switch {
	case size > maxRequestBody:
		return result, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	case size > 0:
		if err := memory.grow(int64(size)); err != nil {
			return result, err
		}
		result.body = make([]byte, 0, size)
	}
	nc := ctx.Conn()
	transfer := datarate.NewTransfer(bodyLimits)
	for {
		if size >= 0 && len(result.body) == size {
			_ = nc.SetReadDeadline(time.Time{})
			return result, nil // Content-Length is reached
		}
		if len(result.body) == cap(result.body) {
			grown, err := extendBody(result.body, memory)
			if err != nil {
				result.release()
				return result, err
			}
			result.body = grown
		}
		start := time.Now()
		_ = nc.SetReadDeadline(start.Add(transfer.Allowance()))
		n, err := stream.Read(result.body[len(result.body):cap(result.body)])
		transfer.Record(time.Since(start), n)
		result.body = result.body[:len(result.body)+n]
		if err == io.EOF && size >= 0 && len(result.body) < size {
			err = io.ErrUnexpectedEOF // for a body with Content-Length, fasthttp's stream does not report a truncation
		}
		if err == io.EOF {
			_ = nc.SetReadDeadline(time.Time{})
			return result, nil
		}
		if err != nil {
			result.release()
			return result, bodyError(err)
		}
	}
}

// extendBody enlarges the buffer of a body for another read.
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

// bodyError returns errBodyStalled for a timeout, and any other error unchanged.
func bodyError(err error) error {
	var timeout net.Error
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
		return errBodyStalled
	}
	return err
}
