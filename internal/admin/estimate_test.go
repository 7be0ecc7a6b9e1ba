package admin

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// post makes one POST /api/estimate and returns the status and the body.
func post(t *testing.T, address, body string) (int, string) {
	t.Helper()
	r := rawCall(t, address, fmt.Sprintf("POST /api/estimate HTTP/1.1\r\nHost: op\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	return r.status, r.body
}

// The call exists only if it is configured. A request beyond the maximum number of concurrent ones is rejected, and an
// estimate in progress delays no other call. A body that is too long or invalid is rejected with the reason.
func TestEstimateCall(t *testing.T) {
	endpoint, ready, _ := newTestEndpoint()
	ready.Store(true)
	if code, _ := post(t, serve(t, endpoint), "{}"); code != 404 {
		t.Errorf("estimate that is not configured: status %d, want 404", code)
	}
	endpoint, ready, _ = newTestEndpoint()
	ready.Store(true)
	entered, release := make(chan struct{}), make(chan struct{})
	endpoint.Estimate = NewEstimate(func(body []byte) ([]byte, error) {
		switch string(body) {
		case "wait":
			entered <- struct{}{}
			<-release
		case "bad":
			return nil, errors.New("plans.0: no root")
		}
		return body, nil
	}, 5000, 1)
	address := serve(t, endpoint)
	done := make(chan int)
	go func() {
		code, _ := post(t, address, "wait")
		done <- code
	}()
	<-entered
	if code, text := post(t, address, "x"); code != 503 || text == "" {
		t.Errorf("second estimate while the first is in progress: status %d, body %q, want 503 with a reason", code, text)
	}
	if code, _ := call(t, address, "GET", "/api/ready"); code != 200 {
		t.Errorf("/api/ready during an estimate: status %d, want 200", code)
	}
	close(release)
	if code := <-done; code != 200 {
		t.Errorf("first estimate: status %d, want 200", code)
	}
	for body, want := range map[string]int{"x": 200, strings.Repeat("x", 5000): 200, strings.Repeat("x", 5001): 400, "bad": 400} {
		if code, text := post(t, address, body); code != want || text == "" || body == "bad" && !strings.Contains(text, "plans.0: no root") {
			t.Errorf("body %.9s of %d bytes: status %d, response %q, want %d", body, len(body), code, text, want)
		}
	}
	if code, _ := call(t, address, "GET", "/api/estimate"); code != 405 {
		t.Errorf("GET /api/estimate: status %d, want 405", code)
	}
}
