package admin

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"wheatsaddle/internal/operr"
)

// Estimate is the call POST /api/estimate, which estimates plans. An estimate takes processor time, so the number of
// concurrent estimates is limited, and further requests are rejected immediately.
type Estimate struct {
	estimate func(body []byte) ([]byte, error)
	maxBytes int // of a request's body
	slots    *semaphore.Weighted
}

// NewEstimate returns the call for a function that computes the body of the response from the body of a request. Bodies may
// have up to maxBytes, and up to maxConcurrent requests are served at once. An error of the function is answered with 400.
func NewEstimate(estimate func(body []byte) ([]byte, error), maxBytes, maxConcurrent int) *Estimate {
	return &Estimate{estimate: estimate, maxBytes: maxBytes, slots: semaphore.NewWeighted(int64(maxConcurrent))}
}

// maxBodyBytes returns the limit of the server for a request's body.
func (e *Endpoint) maxBodyBytes() int {
	if e.Estimate == nil {
		return maxHeadBytes
	}
	return max(maxHeadBytes, e.Estimate.maxBytes)
}

// serve answers one request.
func (e *Estimate) serve(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	if len(body) > e.maxBytes {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "", &BodyTooLongError{estimatePath, e.maxBytes})
		return
	}
	if !e.slots.TryAcquire(1) {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		writeError(ctx, fasthttp.StatusServiceUnavailable, "", &EstimatesBusyError{})
		return
	}
	defer e.slots.Release(1)
	response, err := e.estimate(body)
	ctx.SetContentType("application/json")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		response = encodeError(err)
	}
	ctx.SetBody(response)
}

// encodeError encodes an error with its code and advice, if it has them.
func encodeError(err error) []byte {
	body := struct {
		Error  string `json:"error"`
		Code   string `json:"code,omitempty"`
		Advice string `json:"advice,omitempty"`
	}{Error: err.Error()}
	var coded operr.Coded
	if errors.As(err, &coded) {
		body.Code, body.Advice = coded.Code(), coded.Advice()
	}
	text, _ := json.Marshal(body) // strings always encode
	return text
}
