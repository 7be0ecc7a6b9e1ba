package address

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	unixA = "unix:/run/a"
	six   = "[::1]:1"
	four  = "127.0.0.1:1"
)

var three = []string{four, six, unixA}

func (r *harness) must(t *testing.T) {
	t.Helper()
	if r.err != nil {
		t.Fatal(r.err)
	}
}

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

// serveOne queues one request, which needs a new connection, and lets the node serve it.
func (r *harness) serveOne() Conn {
	r.queueRequest(true)
	if c, _ := r.lastAction(Connect); c != 0 && r.count(Write) == 0 {
		r.connectionUp(c)
	}
	c, _ := r.lastAction(Write)
	r.now += ms
	r.respond(c, VerdictServed)
	return c
}

func TestPrimaryServesWithoutFaults(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	c, to := r.lastAction(Connect)
	want(t, "first by preference", to, unixA)
	r.connectionUp(c)
	_, on := r.lastAction(Write)
	want(t, "written by", on, unixA)
	r.respond(c, VerdictServed)
	r.queueRequest(false)
	reused, _ := r.lastAction(Write)
	want(t, "the same connection", reused, c)
	want(t, "connects", len(r.connects), 1)
	r.must(t)
}

// While the node drains, no connect starts and nothing is written. Connections that are established then are closed.
func TestDrainDuringRace(t *testing.T) {
	r := newHarness(Defaults(), three...)
	q := r.queueRequest(true)
	a, _ := r.lastAction(Connect)
	r.pass(250 * ms)
	b, _ := r.lastAction(Connect)
	r.step(Event{Kind: DrainChanged, Draining: true})
	want(t, "closed", r.count(Close), 2)
	want(t, "failed", r.failed[q], true)
	for _, c := range []Conn{a, b} {
		r.connectionUp(c)
		want(t, "late winner closed", r.count(Close), 1)
	}
	q = r.queueRequest(true)
	want(t, "failed at once", r.failed[q], true)
	r.step(Event{Kind: DrainChanged})
	r.queueRequest(true)
	want(t, "after the drain", r.count(Connect), 1)
	r.step(Event{Kind: NodeRemoved})
	want(t, "closed", r.count(Close), 1)
	r.must(t)
}

// When the list changes, requests on a removed address finish, its idle connections are closed, and the other addresses
// keep their state.
func TestChangedListKeepsConnectionsInUse(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	a, _ := r.lastAction(Connect)
	r.connectionUp(a)
	r.queueRequest(true)
	b, _ := r.lastAction(Connect)
	r.connectionUp(b)
	r.respond(b, VerdictServed) // a is busy, b is idle, both by the Unix socket
	r.queueRequest(true)
	r.respond(b, VerdictServed)
	r.setAddresses(six, four)
	closed, _ := r.lastAction(Close)
	want(t, "idle ones there are closed", closed, b)
	want(t, "and no other", r.count(Close), 1)
	want(t, "primary", r.selector.Primary(), six)
	r.queueRequest(true)
	c, to := r.lastAction(Connect)
	want(t, "by", to, six)
	r.connectionUp(c)
	r.respond(a, VerdictServed)
	closed, _ = r.lastAction(Close)
	want(t, "finished, then closed", closed, a)
	r.respond(c, VerdictServed)
	r.setAddresses(four, six, unixA) // listed again, and in another order
	want(t, "nothing is closed", r.count(Close), 0)
	want(t, "the primary stays", r.selector.Primary(), six)
	r.must(t)
	r.setAddresses()
	q := r.queueRequest(true)
	want(t, "no address: failed at once", r.failed[q], true)
	r.must(t)
}

// A request waits again if its reused connection was found ended before a byte was written, and not if a part was written.
func TestUnwrittenRequestWaitsAgain(t *testing.T) {
	r := newHarness(Defaults(), three...)
	c := r.serveOne()
	q := r.queueRequest(true)
	r.breakConn(c, ReasonUnwritten)
	d, to := r.lastAction(Connect)
	want(t, "by a new connection to", to, unixA)
	r.connectionUp(d)
	w, _ := r.lastAction(Write)
	want(t, "written", r.requestOn[w], q)
	r.respond(w, VerdictServed)
	r.queueRequest(true)
	r.breakConn(w, ReasonCutOff)
	want(t, "no action", len(r.actions), 0)
	want(t, "one break of a reused connection is no fault", r.selector.Primary(), unixA)
	r.must(t)
}

func TestSettings(t *testing.T) {
	for _, x := range []struct {
		key string
		set func(*Settings)
	}{
		{"delay_least_ms: 9 is not from 10 to 2000", func(s *Settings) { s.MinDelay = 9 * ms }},
		{"delay_ms", func(s *Settings) { s.Delay = 3 * time.Second }},
		{"preference", func(s *Settings) { s.Preference = []Kind{Unix, Unix} }},
		{"preference", func(s *Settings) { s.Preference = nil }},
		{"jitter", func(s *Settings) { s.Jitter = 1.5 }},
		{"connects_per_second", func(s *Settings) { s.ConnectRate = 0 }},
		{"backoff_most_ms", func(s *Settings) { s.MaxBackoff = ms }},
	} {
		s := Defaults()
		x.set(&s)
		if _, err := New(s, 1); err == nil || !strings.HasPrefix(err.Error(), x.key) {
			t.Errorf("%s: %v", x.key, err)
		}
	}
}
