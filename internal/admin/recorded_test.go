package admin

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"wheatsaddle/internal/testkit/recorded"
)

// responseRecorder records the responses of an endpoint.
type responseRecorder struct {
	recorded.Script
	t       *testing.T
	address string
}

// record makes a call and records its status, headers and body.
func (r *responseRecorder) record(text string) {
	r.t.Helper()
	resp := rawCall(r.t, r.address, text)
	h := resp.header
	r.Add(text, resp.status, h.Get("Content-Type"), h.Get("Allow"), h.Get("Retry-After"), h.Get("Connection"), h.Get("Server"), h.Get("Date"), resp.body)
}

// call records a call with a body; "": without one.
func (r *responseRecorder) call(method, path, body string) {
	r.t.Helper()
	head := method + " " + path + " HTTP/1.1\r\nHost: op\r\n"
	if body != "" {
		head += fmt.Sprintf("Content-Length: %02d\r\n", len(body))
	}
	r.record(head + "\r\n" + body)
}

// all records valid and invalid calls of each path with four methods.
func (r *responseRecorder) all() {
	r.t.Helper()
	for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
		for _, path := range []string{"/api/ready", "/api/telemetry", "/api/exclude", "/api/exclude?who=s-1", "/api/include?who=s-1",
			"/api/include?who=s-busy", "/api/exclude?who=s-9", "/api/exclude?who=", "/api/exclude?who=a&who=b", "/api/exclude?who=%20",
			"/api/estimate", "/api/nothing", "/", "/api/exclude?who=" + strings.Repeat("n", 257)} {
			r.call(method, path, "")
		}
	}
	for _, body := range []string{"coded", "plain", "good", strings.Repeat("x", 65)} {
		r.call("POST", "/api/estimate", body)
	}
}

// fakeEstimate returns an error with or without a code, or a response, as the body says.
func fakeEstimate(body []byte) ([]byte, error) {
	switch string(body) {
	case "coded":
		return nil, &NodeIDError{}
	case "plain":
		return nil, errors.New("no estimate")
	}
	return []byte(`{"ok":true}`), nil
}

// Status, headers and body of the responses to all calls, valid and invalid, equal the recorded ones.
func TestRecordedResponses(t *testing.T) {
	r := &responseRecorder{t: t}
	for _, withEstimate := range []bool{false, true} {
		e, ready, _ := newTestEndpoint()
		if withEstimate {
			e.Estimate = NewEstimate(fakeEstimate, 64, 1)
		}
		r.address = serve(t, e)
		r.call("GET", "/api/ready", "")
		ready.Store(true)
		r.all()
		if withEstimate {
			if !e.Estimate.slots.TryAcquire(1) {
				t.Fatal("an estimate is still in progress")
			}
			r.call("POST", "/api/estimate", "good")
			e.Estimate.slots.Release(1)
		}
		r.record("nonsense\r\n\r\n")
		r.record("GET /" + strings.Repeat("x", 5000) + " HTTP/1.1\r\n\r\n")
	}
	r.Check(t, "responses")
}
