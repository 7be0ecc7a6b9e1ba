package admin

import (
	"bufio"
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

// serve starts a door on loopback with the given calls.
func serve(t *testing.T, d *Endpoint) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve(ln)
	t.Cleanup(func() { d.Close() })
	return ln.Addr().String()
}

// call makes one call on a connection of its own and returns the status and the body.
func call(t *testing.T, at, method, path string) (int, string) {
	t.Helper()
	nc, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(nc, method+" "+path+" HTTP/1.1\r\nHost: op\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func newTestEndpoint() (*Endpoint, *atomic.Bool, *[]string) {
	var ready atomic.Bool
	done := &[]string{}
	d := &Endpoint{Ready: ready.Load,
		Counters: func() core.CounterSnapshot {
			return core.CounterSnapshot{Served: map[string]int64{"balance-read": 812}, Rejected: map[string]int64{"balance-read": 3},
				Failed: map[string]int64{"balance-read": 1}, Attempts: map[string]int64{"balance-read": 820}, InProgress: 14, Nodes: 8, AvoidedNodes: 1, Reloads: 2, ReloadErrors: 1}
		},
		Exclude: func(id string) error {
			if id != "s-1" {
				return ErrUnknownNode
			}
			*done = append(*done, "exclude "+id)
			return nil
		},
		Include: func(id string) error {
			if id == "s-busy" {
				return &core.BusyError{}
			}
			*done = append(*done, "include "+id)
			return nil
		}}
	return d, &ready, done
}

func TestPathsAndMethods(t *testing.T) {
	d, ready, done := newTestEndpoint()
	at := serve(t, d)
	if code, _ := call(t, at, "GET", "/api/ready"); code != 503 {
		t.Fatalf("ready before the process serves: %d", code)
	}
	ready.Store(true)
	if code, _ := call(t, at, "GET", "/api/ready"); code != 200 {
		t.Fatalf("ready: %d", code)
	}
	code, body := call(t, at, "GET", "/api/telemetry")
	if code != 200 || gjson.Get(body, "passed.balance-read").Int() != 812 || gjson.Get(body, "upstream_tries").Int() != 820 ||
		gjson.Get(body, "in_progress").Int() != 14 || gjson.Get(body, "known_storage_nodes").Int() != 8 ||
		gjson.Get(body, "skipped_storage_nodes").Int() != 1 || gjson.Get(body, "load_errors").Int() != 1 ||
		gjson.Get(body, "dropped.balance-read").Int() != 3 || gjson.Get(body, "bad_gateway.balance-read").Int() != 1 {
		t.Fatalf("telemetry: %d %s", code, body)
	}
	for _, c := range []struct {
		method, path string
		code         int
	}{
		{"PUT", "/api/exclude?who=s-1", 200},
		{"PUT", "/api/exclude?who=s-9", 404},     // never listed
		{"PUT", "/api/exclude", 400},             // no who
		{"PUT", "/api/exclude?who=", 400},        // an empty one
		{"PUT", "/api/exclude?who=a&who=b", 400}, // two
		{"GET", "/api/exclude?who=s-1", 405},
		{"PUT", "/api/ready", 405},
		{"GET", "/api/nothing", 404},
		{"PUT", "/api/include?who=s-busy", 503},
		{"PUT", "/api/include?who=s-1", 200},
	} {
		code, body := call(t, at, c.method, c.path)
		lines := strings.Split(strings.TrimSpace(body), "\n")
		if code != c.code || code != 200 && (lines[0] == "" || len(lines) != 3 || !strings.HasPrefix(lines[1], "code: ") || !strings.HasPrefix(lines[2], "advice: ")) {
			t.Errorf("%s %s: %d %q, want %d with a reason, a code and an advice", c.method, c.path, code, body, c.code)
		}
	}
	if strings.Join(*done, ",") != "exclude s-1,include s-1" {
		t.Fatalf("done: %v", *done)
	}
}

// Guards against callers that hold connections without a whole call: a real call beside them
// is answered.
func TestSlowClientsDoNotBlockOthers(t *testing.T) {
	d, ready, _ := newTestEndpoint()
	ready.Store(true)
	at := serve(t, d)
	var slow []net.Conn
	defer func() {
		for _, nc := range slow {
			nc.Close()
		}
	}()
	for range 3 * maxConns {
		nc, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "GET /api/ready HTTP/1.1\r\nHo")
		slow = append(slow, nc)
	}
	for range 5 {
		if code, _ := call(t, at, "GET", "/api/ready"); code != 200 {
			t.Fatalf("ready beside slow callers: %d", code)
		}
	}
}

// Guards the cap: a newcomer at the cap closes the oldest connection, so slow callers hold
// no more than the cap of descriptors.
func TestConnLimitClosesOldest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := limitConns(ln, 4)
	var dialed, accepted []net.Conn
	for range 10 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		dialed = append(dialed, nc)
		got, err := p.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, got)
	}
	defer func() {
		for _, nc := range append(dialed, accepted...) {
			nc.Close()
		}
	}()
	p.mu.Lock()
	open := len(p.open)
	p.mu.Unlock()
	if open != 4 {
		t.Fatalf("%d open, the cap is 4", open)
	}
	for i, nc := range dialed {
		wait := 5 * time.Second // the kernel has the FIN of a closed one at once
		if i >= 6 {
			wait = 50 * time.Millisecond
		}
		nc.SetReadDeadline(time.Now().Add(wait))
		_, err := nc.Read(make([]byte, 1))
		if closed := err == io.EOF; closed != (i < 6) {
			t.Fatalf("connection %d: read %v; the first six are to be closed, the last four open", i, err)
		}
	}
}
