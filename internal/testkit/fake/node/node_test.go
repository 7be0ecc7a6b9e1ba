package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
)

// sendRequest sends one request on a new connection.
func sendRequest(a address.Addr, id, key string, shard int, within time.Duration) (*fasthttp.Response, error) {
	network, to := a.Dial()
	nc, err := net.DialTimeout(network, to, within)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(within))
	fmt.Fprintf(nc, "PUT /new-record/x?shard=%d HTTP/1.1\r\nHost: n\r\nX-Request-Id: %s\r\nIdempotency-Key: %s\r\nX-Deadline-Ms: 1000\r\nContent-Length: 1\r\n\r\nx",
		shard, id, key)
	r := &fasthttp.Response{}
	err = r.Read(bufio.NewReader(nc))
	return r, err
}

func listenOnAllKinds(t *testing.T, n *Node) (all []address.Addr) {
	t.Helper()
	for _, text := range []string{"unix:" + filepath.Join(t.TempDir(), "s"), "[::1]:0", "127.0.0.1:0"} {
		a, err := n.Listen(text)
		if err != nil {
			if a.Family() == address.IPv6 {
				t.Log("IPv6 is not available")
				continue
			}
			t.Fatal(err)
		}
		all = append(all, a)
	}
	t.Cleanup(n.Close)
	return all
}

// The node serves on all its addresses, executes a key once within the deduplication window and rejects requests for
// other shards.
func TestServesDeduplicatesAndRejectsOtherShards(t *testing.T) {
	n := New(Options{Name: "n", Shard: 3, IdentityHeader: "X-Node"})
	for i, a := range listenOnAllKinds(t, n) {
		r, err := sendRequest(a, fmt.Sprint("r", i), "k", 3, time.Minute)
		if err != nil || r.StatusCode() != 200 || string(r.Body()) != fmt.Sprint("r", i) || string(r.Header.Peek("X-Node")) != "n" {
			t.Errorf("%v: error %v, response %v", a, err, r)
		}
		if r, err := sendRequest(a, "o", "k2", 4, time.Minute); err != nil || r.StatusCode() != 503 || string(r.Header.Peek("X-Not-Run")) != "1" {
			t.Errorf("%v: request for another shard: error %v, response %v, want a rejection", a, err, r)
		}
	}
	if c := n.Counts(); c.Executions != 1 || c.Duplicates != c.Requests/2-1 || n.KeyExecutions("k") != 1 || n.KeyExecutions("k2") != 0 {
		t.Errorf("counts %+v, want one execution of the key and every other request for the shard deduplicated", c)
	}
}

// Each fault has its documented effect on each kind of address and ends when it is cleared.
func TestAddressFaults(t *testing.T) {
	const expectTimeout, testTimeout = 300 * time.Millisecond, 30 * time.Second
	n := New(Options{Name: "n", SlowDelay: 2 * expectTimeout})
	for _, a := range listenOnAllKinds(t, n) {
		for _, f := range Faults() {
			n.ResetState()
			if err := n.SetFault(a, f); err != nil {
				t.Fatalf("%v: set fault %v: %v", a, f, err)
			}
			start := time.Now()
			within := map[bool]time.Duration{true: testTimeout, false: expectTimeout}[f == Reset || f == OtherNode || !f.listens() && f != BacklogFull]
			r, err := sendRequest(a, "r", "k", 0, within)
			var netErr net.Error
			timeout := errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
			executions := n.Executions("r")
			ok := false
			switch f {
			case Refused, StaleFile, NotASocket:
				ok = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) && f == Refused
			case Hang:
				ok = timeout && executions == 0
			case Reset:
				ok = err != nil && !timeout && executions == 0
			case BacklogFull:
				ok = timeout || errors.Is(err, syscall.EAGAIN)
			case Slow, NoResponse, HalfResponse:
				ok = timeout && executions == 1
			case OtherNode:
				ok = err == nil && r.StatusCode() == 503 && executions == 0
			}
			if !ok {
				t.Errorf("%v, fault %v: request ended with error %v after %v, %d executions", a, f, err, time.Since(start), executions)
			}
			if err := n.SetFault(a, None); err != nil {
				t.Fatal(err)
			}
			if r, err := sendRequest(a, "after", "", 0, testTimeout); err != nil || r.StatusCode() != 200 {
				t.Errorf("%v: request after fault %v was cleared: error %v", a, f, err)
			}
		}
	}
}

// A node in slow start is slower, crashes above its overload limit and restarts in slow start. A warmed-up node has no
// overload limit.
func TestSlowStart(t *testing.T) {
	const units, serviceTime = 4, 10 * time.Millisecond
	limits := &SlowStart{InitialSpeed: 0.5, Duration: time.Hour, InitialUnits: units, MeanUnits: 1, Window: time.Hour, RestartDelay: serviceTime}
	events := make(chan Event, 100)
	n := New(Options{SlowStart: limits, OnEvent: func(s Event) { events <- s }, ServiceTime: func(*fasthttp.Request) time.Duration { return serviceTime }})
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	for i := range 3 {
		if start := time.Now(); i == 0 {
			if n.scaleServiceTime(serviceTime) != serviceTime {
				t.Error("a warmed-up node takes longer than its service time")
			}
		} else if _, err := sendRequest(a, fmt.Sprint("s", i), "", 0, time.Minute); err != nil || time.Since(start) < 2*serviceTime*9/10 {
			t.Errorf("a node in slow start at half speed answered after %v, error %v, want about twice the service time", time.Since(start), err)
		}
		n.BeginSlowStart()
	}
	waitFor := func(want Event) {
		for s := range events {
			if s == want {
				return
			}
		}
	}
	for restarts := range 2 {
		overloadLimit := int(limits.overloadLimit(0)) // 4 + 3*2 + 3
		if restarts == 0 && overloadLimit != 13 {
			t.Errorf("overload limit %d, want 13", overloadLimit)
		}
		for i := range overloadLimit - restarts { // after the restart one request has been counted already
			if _, err := sendRequest(a, fmt.Sprint(restarts, i), "", 0, time.Minute); err != nil {
				t.Fatalf("after %d crashes, request %d: %v", restarts, i, err)
			}
		}
		if _, err := sendRequest(a, "last", "", 0, time.Minute); err == nil {
			t.Error("a request above the overload limit was served")
		}
		waitFor(Crashed)
		if crashes, peakLoad := n.Crashes(); crashes != restarts+1 || peakLoad <= 1 {
			t.Errorf("%d crashes, peak load %v, want one more crash and a load above 1", crashes, peakLoad)
		}
		waitFor(Restarted)
		if _, err := sendRequest(a, "back", "", 0, time.Minute); err != nil {
			t.Error(err)
		}
	}
	if p := limits.speed(limits.Duration / 2); p != 0.75 {
		t.Errorf("speed after half of the slow start: %v, want 0.75", p)
	}
}
