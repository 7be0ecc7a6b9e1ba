package admin

import (
	"testing"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/testkit/fake/refuser"
)

// The endpoint's responses are complete on connections where splice and sendfile fail, and it calls neither.
func TestResponsesWithoutZeroCopy(t *testing.T) {
	ln, err := refuser.Listen()
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &Endpoint{Ready: func() bool { return true }, Counters: func() core.CounterSnapshot { return core.CounterSnapshot{} }}
	ended := make(chan error, 1)
	go func() { ended <- endpoint.Serve(ln) }()
	for path, want := range map[string]string{"/api/ready": "ready\n", "/api/telemetry": string(EncodeTelemetry(core.CounterSnapshot{}))} {
		if code, body, err := fasthttp.Get(nil, "http://"+ln.Addr().String()+path); err != nil || code != 200 || string(body) != want {
			t.Errorf("%s: status %d, body %q, error %v", path, code, body, err)
		}
	}
	if err := endpoint.Close(); err != nil || <-ended != nil {
		t.Error(err)
	}
	if n := ln.Count(); n > 0 {
		t.Errorf("%d calls of splice or sendfile", n)
	}
}
