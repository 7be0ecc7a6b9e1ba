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

// The call exists only if it is configured. One request more than allowed at once is rejected and delays no other call;
// a long body and an invalid one are rejected with the reason.
func TestEstimateCall(t *testing.T) {
	d, ready, _ := newTestEndpoint()
	ready.Store(true)
	if code, _ := post(t, serve(t, d), "{}"); code != 404 {
		t.Errorf("not configured: %d", code)
	}
	d, ready, _ = newTestEndpoint()
	ready.Store(true)
	entered, leave := make(chan struct{}), make(chan struct{})
	d.Estimate = NewEstimate(func(body []byte) ([]byte, error) {
		switch string(body) {
		case "wait":
			entered <- struct{}{}
			<-leave
		case "bad":
			return nil, errors.New("plans.0: no root")
		}
		return body, nil
	}, 5000, 1)
	at := serve(t, d)
	done := make(chan int)
	go func() {
		code, _ := post(t, at, "wait")
		done <- code
	}()
	<-entered
	if code, text := post(t, at, "x"); code != 503 || text == "" {
		t.Errorf("beside another: %d %q", code, text)
	}
	if code, _ := call(t, at, "GET", "/api/ready"); code != 200 {
		t.Errorf("ready beside an estimate: %d", code)
	}
	close(leave)
	if code := <-done; code != 200 {
		t.Errorf("the first: %d", code)
	}
	for body, want := range map[string]int{"x": 200, strings.Repeat("x", 5000): 200, strings.Repeat("x", 5001): 400, "bad": 400} {
		if code, text := post(t, at, body); code != want || text == "" || body == "bad" && !strings.Contains(text, "plans.0: no root") {
			t.Errorf("%.9s of %d: %d %q, want %d", body, len(body), code, text, want)
		}
	}
	if code, _ := call(t, at, "GET", "/api/estimate"); code != 405 {
		t.Errorf("GET: %d", code)
	}
}
