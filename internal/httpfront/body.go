package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/datarate"
)

const (
	minClientRate = 32 << 10 // bytes per second of a request or response body, half the rate of the slowest supported client
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

// requestBody is the body of a request with its share of the body memory.
type requestBody struct {
	body   []byte
	memory *bodyMemory // nil: the body needs none
}

// release returns the share of the body memory. The body must not be used any more.
func (b *requestBody) release() {
	b.body = nil
	if b.memory != nil {
		b.memory.release()
	}
}

// readBody reads the body of a request, within bodyLimits. A body longer than maxBufferedBody acquires memory from budget as
// it grows, and fails with errNoBodyMemory if none is free. After an error release need not be called.
func readBody(ctx *fasthttp.RequestCtx, budget *MemoryBudget) (requestBody, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return requestBody{body: append([]byte(nil), ctx.Request.Body()...)}, nil
	}
	size := ctx.Request.Header.ContentLength()
	memory := &bodyMemory{budget: budget, size: size}
	result := requestBody{memory: memory}
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

// extendBody enlarges the buffer of a body for another read. It acquires the memory of the whole buffer, by half of its size
// more if that is free, so that a long body is not copied often.
func extendBody(body []byte, memory *bodyMemory) ([]byte, error) {
	needed := len(body) + bodyReadSize
	if needed > maxRequestBody+bodyReadSize {
		return nil, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	}
	size := min(max(needed, cap(body)+cap(body)/2), maxRequestBody+bodyReadSize)
	if memory.grow(int64(size)) != nil {
		size = needed
		if err := memory.grow(int64(size)); err != nil {
			return nil, err
		}
	}
	grown := make([]byte, len(body), size)
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
