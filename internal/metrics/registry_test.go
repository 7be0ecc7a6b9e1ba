package metrics

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"
)

// A nil Registry can be used in every way and has no goroutine. An enabled one serves each series once, limits their number,
// and stops at Close.
func TestRegistry(t *testing.T) {
	defer goleak.VerifyNone(t)
	log, hook := logtest.NewNullLogger()
	disabled := Serve(nil, log)
	disabled.Counter("x_total").Inc()
	disabled.Histogram("h").Update(1)
	disabled.Gauge(func() float64 { return 1 }, "g")
	disabled.Close()
	goleak.VerifyNone(t)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := Serve(ln, log)
	m.Counter("merges_total", "rule", `a"b\`, "end", "cut").Inc()
	m.Counter("merges_total", "rule", `a"b\`, "end", "cut").Add(2)
	m.Gauge(func() float64 { return 7 }, "peers")
	m.Histogram("wait_seconds").Update(0.5)
	for i := range maxSeries {
		m.Counter("many_total", "n", fmt.Sprint(i)).Inc()
	}
	code, text := get(t, ln.Addr().String(), "/metrics")
	for _, line := range []string{`wheatsaddle_merges_total{rule="a\"b\\",end="cut"} 3`, "wheatsaddle_peers 7", "wheatsaddle_wait_seconds_count 1",
		"wheatsaddle_meter_left_out 3"} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("status %d, the metrics do not have the line %s: %.600s", code, line, text)
		}
	}
	if n := strings.Count(text, "wheatsaddle_many_total{"); code != 200 || n != maxSeries-3 {
		t.Errorf("status %d, %d series of many_total, want those within maxSeries", code, n)
	}
	if code, _ := get(t, ln.Addr().String(), "/"); code != 404 {
		t.Errorf("another path: status %d, want 404", code)
	}
	m.Close()
	if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		nc.Close()
		t.Error("still listening after Close")
	}
	if len(hook.AllEntries()) != 0 {
		t.Errorf("unexpected log entry: %v", hook.LastEntry())
	}
}

// get requests a path on a new connection and returns the status and the body.
func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, string(body)
}
