package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/core"
)

// serve starts an endpoint on the loopback interface and returns its address.
func serve(t *testing.T, endpoint *Endpoint) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = endpoint.Serve(ln) }()
	t.Cleanup(func() { _ = endpoint.Close() })
	return ln.Addr().String()
}

// call makes one call on a new connection and returns the status and the body.
func call(t *testing.T, address, method, path string) (int, string) {
	t.Helper()
	r := rawCall(t, address, method+" "+path+" HTTP/1.1\r\nHost: op\r\n\r\n")
	return r.status, r.body
}

// response is the response to one call.
type response struct {
	status int
	header http.Header
	body   string
}

// rawCall writes the bytes of a call to a new connection and returns the response.
func rawCall(t *testing.T, address, text string) response {
	t.Helper()
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, text) // the connection of a rejected request may be closed before the write completes
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("no valid response to %.60q: %v", text, err)
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("incomplete body of the response to %.60q: %v", text, err)
	}
	return response{r.StatusCode, r.Header, string(body)}
}

// newTestEndpoint returns an endpoint that knows the node s-1, the flag for its readiness, and its record of changes.
func newTestEndpoint() (*Endpoint, *atomic.Bool, *[]string) {
	var ready atomic.Bool
	changes := &[]string{}
	endpoint := &Endpoint{Ready: ready.Load,
		Counters: func() core.CounterSnapshot {
			return core.CounterSnapshot{Served: map[string]int64{"balance-read": 812}, Rejected: map[string]int64{"balance-read": 3},
				Failed: map[string]int64{"balance-read": 1}, Attempts: map[string]int64{"balance-read": 820}, InProgress: 14, Nodes: 8, AvoidedNodes: 1, Reloads: 2, ReloadErrors: 1}
		},
		Exclude: func(id string) error {
			if id != "s-1" {
				return ErrUnknownNode
			}
			*changes = append(*changes, "exclude "+id)
			return nil
		},
		Include: func(id string) error {
			if id == "s-busy" {
				return &core.BusyError{}
			}
			*changes = append(*changes, "include "+id)
			return nil
		}}
	return endpoint, &ready, changes
}

// Each path accepts its method only, a rejection has a reason, a code and advice, and the telemetry has the core's counters.
func TestPathsAndMethods(t *testing.T) {
	endpoint, ready, changes := newTestEndpoint()
	address := serve(t, endpoint)
	if code, _ := call(t, address, "GET", "/api/ready"); code != 503 {
		t.Fatalf("/api/ready before the process serves: status %d, want 503", code)
	}
	ready.Store(true)
	if code, _ := call(t, address, "GET", "/api/ready"); code != 200 {
		t.Fatalf("/api/ready once the process serves: status %d, want 200", code)
	}
	code, body := call(t, address, "GET", "/api/telemetry")
	if code != 200 || gjson.Get(body, "passed.balance-read").Int() != 812 || gjson.Get(body, "upstream_tries").Int() != 820 ||
		gjson.Get(body, "in_progress").Int() != 14 || gjson.Get(body, "known_storage_nodes").Int() != 8 ||
		gjson.Get(body, "skipped_storage_nodes").Int() != 1 || gjson.Get(body, "load_errors").Int() != 1 ||
		gjson.Get(body, "dropped.balance-read").Int() != 3 || gjson.Get(body, "bad_gateway.balance-read").Int() != 1 {
		t.Fatalf("/api/telemetry does not have the core's counters: status %d, body %s", code, body)
	}
	for _, c := range []struct {
		method, path string
		code         int
	}{
		{"PUT", "/api/exclude?who=s-1", 200},
		{"PUT", "/api/exclude?who=s-9", 404},     // never listed
		{"PUT", "/api/exclude", 400},             // no argument
		{"PUT", "/api/exclude?who=", 400},        // an empty id
		{"PUT", "/api/exclude?who=a&who=b", 400}, // two ids
		{"GET", "/api/exclude?who=s-1", 405},
		{"PUT", "/api/ready", 405},
		{"GET", "/api/nothing", 404},
		{"PUT", "/api/include?who=s-busy", 503},
		{"PUT", "/api/include?who=s-1", 200},
	} {
		code, body := call(t, address, c.method, c.path)
		lines := strings.Split(strings.TrimSpace(body), "\n")
		if code != c.code || code != 200 && (lines[0] == "" || len(lines) != 3 || !strings.HasPrefix(lines[1], "code: ") || !strings.HasPrefix(lines[2], "advice: ")) {
			t.Errorf("%s %s: status %d, body %q, want %d, and unless 200 a reason, a code and advice", c.method, c.path, code, body, c.code)
		}
	}
	if strings.Join(*changes, ",") != "exclude s-1,include s-1" {
		t.Fatalf("accepted changes: %v, want the exclusion and the inclusion of s-1", *changes)
	}
}

// A call is answered while other clients hold connections without a complete request.
func TestSlowClientsDoNotBlockOthers(t *testing.T) {
	endpoint, ready, _ := newTestEndpoint()
	ready.Store(true)
	address := serve(t, endpoint)
	var slow []net.Conn
	defer func() {
		for _, nc := range slow {
			_ = nc.Close()
		}
	}()
	for range 3 * maxConns {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(nc, "GET /api/ready HTTP/1.1\r\nHo")
		slow = append(slow, nc)
	}
	for range 5 {
		if code, _ := call(t, address, "GET", "/api/ready"); code != 200 {
			t.Fatalf("/api/ready with slow clients: status %d, want 200", code)
		}
	}
}

// A connection beyond the limit closes the oldest one, so that slow clients use at most as many descriptors as the limit.
func TestConnLimitClosesOldest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	limited := limitConns(ln, 4)
	var dialed, accepted []net.Conn
	for range 10 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		dialed = append(dialed, nc)
		got, err := limited.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, got)
	}
	defer func() {
		for _, nc := range append(dialed, accepted...) {
			_ = nc.Close()
		}
	}()
	limited.mu.Lock()
	open := len(limited.open)
	limited.mu.Unlock()
	if open != 4 {
		t.Fatalf("%d connections are open, the limit is 4", open)
	}
	for i, nc := range dialed {
		wait := 5 * time.Second // the FIN of a closed connection has arrived already
		if i >= 6 {
			wait = 50 * time.Millisecond
		}
		if err := nc.SetReadDeadline(time.Now().Add(wait)); err != nil {
			t.Fatal(err)
		}
		_, err := nc.Read(make([]byte, 1))
		if closed := errors.Is(err, io.EOF); closed != (i < 6) {
			t.Fatalf("connection %d: read %v; the first six are to be closed, the last four open", i, err)
		}
	}
}
