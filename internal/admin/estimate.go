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
	do   func(body []byte) ([]byte, error)
	most int // bytes of a question
	free *semaphore.Weighted
}

// NewEstimate makes the call of a func that turns a question's text into an answer's, for questions of up
// to most bytes, atOnce at a time. An error of the func is the asker's fault.
func NewEstimate(do func(body []byte) ([]byte, error), most, atOnce int) *Estimate {
	return &Estimate{do: do, most: most, free: semaphore.NewWeighted(int64(atOnce))}
}

func (d *Endpoint) bodyMost() int {
	if d.Estimate == nil {
		return callMost
	}
	return max(callMost, d.Estimate.most)
}

func (e *Estimate) answer(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	if len(body) > e.most {
		no(ctx, fasthttp.StatusRequestEntityTooLarge, "", &BodyTooLongError{estimatePath, e.most})
		return
	}
	if !e.free.TryAcquire(1) {
		ctx.Response.Header.Set("Retry-After", "1")
		no(ctx, fasthttp.StatusServiceUnavailable, "", &EstimatesBusyError{})
		return
	}
	defer e.free.Release(1)
	text, err := e.do(body)
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
