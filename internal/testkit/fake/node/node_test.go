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

// ask sends one request by a new connection.
func ask(a address.Addr, id, key string, shard int, within time.Duration) (*fasthttp.Response, error) {
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

func three(t *testing.T, n *Node) (all []address.Addr) {
	t.Helper()
	for _, text := range []string{"unix:" + filepath.Join(t.TempDir(), "s"), "[::1]:0", "127.0.0.1:0"} {
		a, err := n.Listen(text)
		if err != nil {
			if a.Family() == address.IPv6 {
				t.Log("no IPv6 here")
				continue
			}
			t.Fatal(err)
		}
		all = append(all, a)
	}
	t.Cleanup(n.Close)
	return all
}

// It serves on all its addresses, runs a key once in its memory, and turns other shards away.
func TestServes(t *testing.T) {
	n := New(Options{Name: "n", Shard: 3, Identity: "X-Node"})
	for i, a := range three(t, n) {
		r, err := ask(a, fmt.Sprint("r", i), "k", 3, time.Minute)
		if err != nil || r.StatusCode() != 200 || string(r.Body()) != fmt.Sprint("r", i) || string(r.Header.Peek("X-Node")) != "n" {
			t.Errorf("%v: %v %v", a, err, r)
		}
		if r, err := ask(a, "o", "k2", 4, time.Minute); err != nil || r.StatusCode() != 503 || string(r.Header.Peek("X-Not-Run")) != "1" {
			t.Errorf("%v: another shard: %v %v", a, err, r)
		}
	}
	if c := n.Counts(); c.Ran != 1 || c.Repeats != c.Requests/2-1 || n.RanKey("k") != 1 || n.RanKey("k2") != 0 {
		t.Errorf("%+v", c)
	}
}

// Each fault is seen as what it is named, on each kind of address, and ends when it is lifted.
func TestFaults(t *testing.T) {
	const short, patient = 300 * time.Millisecond, 30 * time.Second
	n := New(Options{Name: "n", Slow: 2 * short})
	for _, a := range three(t, n) {
		for _, f := range Faults() {
			n.Forget()
			if err := n.Set(a, f); err != nil {
				t.Fatalf("%v %v: %v", a, f, err)
			}
			start := time.Now()
			within := map[bool]time.Duration{true: patient, false: short}[f == Reset || f == Other || !f.listens() && f != BacklogFull]
			r, err := ask(a, "r", "k", 0, within)
			var late net.Error
			timeout := errors.As(err, &late) && late.Timeout() || errors.Is(err, fasthttp.ErrTimeout)
			ran := n.Ran("r")
			ok := false
			switch f {
			case Refused, StaleFile, NoSocket:
				ok = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) && f == Refused
			case Hang:
				ok = timeout && ran == 0
			case Reset:
				ok = err != nil && !timeout && ran == 0
			case BacklogFull:
				ok = timeout || errors.Is(err, syscall.EAGAIN)
			case Slow, NoAnswer, Half:
				ok = timeout && ran == 1
			case Other:
				ok = err == nil && r.StatusCode() == 503 && ran == 0
			}
			if !ok {
				t.Errorf("%v %v: %v after %v, ran %d", a, f, err, time.Since(start), ran)
			}
			if err := n.Set(a, None); err != nil {
				t.Fatal(err)
			}
			if r, err := ask(a, "after", "", 0, patient); err != nil || r.StatusCode() != 200 {
				t.Errorf("%v after %v: %v", a, f, err)
			}
		}
	}
}

// A cold node works slower, falls past what it bears, is back cold, and warms; a warm one bears all.
func TestCold(t *testing.T) {
	const units, span = 4, 10 * time.Millisecond
	set := &Cold{Power: 0.5, Span: time.Hour, Units: units, Mean: 1, Within: time.Hour, Back: span}
	saw := make(chan Saw, 100)
	n := New(Options{Cold: set, Saw: func(s Saw) { saw <- s }, Service: func(*fasthttp.Request) time.Duration { return span }})
	a, err := n.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	for i := range 3 {
		if at := time.Now(); i == 0 {
			if n.slower(span) != span {
				t.Error("a warm node is slow")
			}
		} else if _, err := ask(a, fmt.Sprint("s", i), "", 0, time.Minute); err != nil || time.Since(at) < 2*span*9/10 {
			t.Errorf("a cold node takes %v, %v", time.Since(at), err)
		}
		n.Chill()
	}
	until := func(want Saw) {
		for s := range saw {
			if s == want {
				return
			}
		}
	}
	for life := range 2 {
		bears := int(set.bears(0)) // 4 + 3*2 + 3
		if life == 0 && bears != 13 {
			t.Errorf("it bears %d", bears)
		}
		for i := range bears - life { // in the second life one has come before
			if _, err := ask(a, fmt.Sprint(life, i), "", 0, time.Minute); err != nil {
				t.Fatalf("life %d, request %d: %v", life, i, err)
			}
		}
		if _, err := ask(a, "last", "", 0, time.Minute); err == nil {
			t.Error("one more is served")
		}
		until(Fell)
		if falls, worst := n.Falls(); falls != life+1 || worst <= 1 {
			t.Errorf("%d falls at %v", falls, worst)
		}
		until(Returned)
		if _, err := ask(a, "back", "", 0, time.Minute); err != nil {
			t.Error(err)
		}
	}
	if p := set.power(set.Span / 2); p != 0.75 {
		t.Errorf("half warm: %v", p)
	}
}
