package admin

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"wheatsaddle/internal/operr"
)

const estimatePath = "/api/estimate"

// Estimate is the call POST /api/estimate: the estimate of plans. Each is work, so few are made at once and
// one more is turned away; it is never waited for.
type Estimate struct {
	estimate func(body []byte) ([]byte, error)
	maxBytes int // bytes of a question
	slots    *semaphore.Weighted
}

// NewEstimate makes the call of a func that turns a question's text into an answer's, for questions of up
// to most bytes, atOnce at a time. An error of the func is the asker's fault.
func NewEstimate(estimate func(body []byte) ([]byte, error), maxBytes, maxConcurrent int) *Estimate {
	return &Estimate{estimate: estimate, maxBytes: maxBytes, slots: semaphore.NewWeighted(int64(maxConcurrent))}
}

func (d *Endpoint) maxBodyBytes() int {
	if d.Estimate == nil {
		return maxHeadBytes
	}
	return max(maxHeadBytes, d.Estimate.maxBytes)
}

func (e *Estimate) serve(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	if len(body) > e.maxBytes {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "", &BodyTooLongError{estimatePath, e.maxBytes})
		return
	}
	if !e.slots.TryAcquire(1) {
		ctx.Response.Header.Set("Retry-After", "1")
		writeError(ctx, fasthttp.StatusServiceUnavailable, "", &EstimatesBusyError{})
		return
	}
	defer e.slots.Release(1)
	text, err := e.estimate(body)
	ctx.SetContentType("application/json")
	if err == nil {
		ctx.SetBody(text)
		return
	}
	fault := struct {
		Error  string `json:"error"`
		Code   string `json:"code,omitempty"`
		Advice string `json:"advice,omitempty"`
	}{Error: err.Error()}
	var coded operr.Coded
	if errors.As(err, &coded) {
		fault.Code, fault.Advice = coded.Code(), coded.Advice()
	}
	text, _ = json.Marshal(fault)
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	ctx.SetBody(text)
}
