package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// rawCall writes a call's bytes on a connection of its own and returns the response.
func rawCall(t *testing.T, address, text string) (*http.Response, string) {
	t.Helper()
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	return resp, string(body)
}

// Status, headers and body of each call and of each error are those of the recording.
func TestRecordedResponses(t *testing.T) {
	var script recorded.Script
	for _, withEstimate := range []bool{false, true} {
		d, ready, _ := newTestEndpoint()
		if withEstimate {
			d.Estimate = NewEstimate(func(body []byte) ([]byte, error) {
				switch string(body) {
				case "coded":
					return nil, &NodeIDError{}
				case "plain":
					return nil, errors.New("no estimate")
				}
				return []byte(`{"ok":true}`), nil
			}, 64, 1)
		}
		address := serve(t, d)
		record := func(text string) {
			t.Helper()
			resp, body := rawCall(t, address, text)
			script.Add(text, resp.StatusCode, resp.Header.Get("Content-Type"), resp.Header.Get("Allow"), resp.Header.Get("Retry-After"),
				resp.Header.Get("Connection"), resp.Header.Get("Server"), resp.Header.Get("Date"), body)
		}
		call := func(method, path, body string) string {
			head := method + " " + path + " HTTP/1.1\r\nHost: op\r\n"
			if body == "" {
				return head + "\r\n"
			}
			return head + "Content-Length: " + string(rune('0'+len(body)/10)) + string(rune('0'+len(body)%10)) + "\r\n\r\n" + body
		}
		record(call("GET", "/api/ready", ""))
		ready.Store(true)
		for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
			for _, path := range []string{"/api/ready", "/api/telemetry", "/api/exclude", "/api/exclude?who=s-1", "/api/include?who=s-1",
				"/api/include?who=s-busy", "/api/exclude?who=s-9", "/api/exclude?who=", "/api/exclude?who=a&who=b", "/api/exclude?who=%20",
				"/api/estimate", "/api/nothing", "/", "/api/exclude?who=" + strings.Repeat("n", 257)} {
				record(call(method, path, ""))
			}
		}
		for _, body := range []string{"coded", "plain", "good", strings.Repeat("x", 65)} {
			record(call("POST", "/api/estimate", body))
		}
		if withEstimate {
			if !d.Estimate.slots.TryAcquire(1) {
				t.Fatal("an estimate is still being made")
			}
			record(call("POST", "/api/estimate", "good"))
			d.Estimate.slots.Release(1)
		}
		record("nonsense\r\n\r\n")
		record("GET /" + strings.Repeat("x", 5000) + " HTTP/1.1\r\n\r\n")
	}
	script.Check(t, "responses")
}
