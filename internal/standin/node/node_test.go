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
	return r, r.Read(bufio.NewReader(nc))
}

func three(t *testing.T, n *Node) (all []address.Addr) {
	t.Helper()
	for _, text := range []string{"unix:" + filepath.Join(t.TempDir(), "s"), "[::1]:0", "127.0.0.1:0"} {
		a, err := n.Listen(text)
		if err != nil {
			if a.Kind() == address.IPv6 {
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
