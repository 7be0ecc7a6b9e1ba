package address

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	unixAddr = "unix:/run/a"
	ipv6Addr = "[::1]:1"
	ipv4Addr = "127.0.0.1:1"
)

var threeAddresses = []string{ipv4Addr, ipv6Addr, unixAddr}

func (h *harness) requireNoViolation(t *testing.T) {
	t.Helper()
	if h.err != nil {
		t.Fatal(h.err)
	}
}

func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

// serveOne queues one request, which needs a new connection, and lets the node serve it.
func (h *harness) serveOne() Conn {
	h.queueRequest(true)
	if c, _ := h.lastAction(Connect); c != 0 && h.count(Write) == 0 {
		h.connectionUp(c)
	}
	c, _ := h.lastAction(Write)
	h.now += ms
	h.respond(c, VerdictServed)
	return c
}

func TestPrimaryServesWithoutFaults(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	c, to := h.lastAction(Connect)
	assertEqual(t, "first by preference", to, unixAddr)
	h.connectionUp(c)
	_, on := h.lastAction(Write)
	assertEqual(t, "written by", on, unixAddr)
	h.respond(c, VerdictServed)
	h.queueRequest(false)
	reused, _ := h.lastAction(Write)
	assertEqual(t, "the same connection", reused, c)
	assertEqual(t, "connects", len(h.connects), 1)
	h.requireNoViolation(t)
}

// While the node drains, no connect starts and nothing is written. Connections that are established then are closed.
func TestDrainEndsRaces(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	q := h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.advanceTime(250 * ms)
	b, _ := h.lastAction(Connect)
	h.step(Event{Kind: DrainChanged, Draining: true})
	assertEqual(t, "closed", h.count(Close), 2)
	assertEqual(t, "failed", h.failed[q], true)
	for _, c := range []Conn{a, b} {
		h.connectionUp(c)
		assertEqual(t, "late winner closed", h.count(Close), 1)
	}
	q = h.queueRequest(true)
	assertEqual(t, "failed at once", h.failed[q], true)
	h.step(Event{Kind: DrainChanged})
	h.queueRequest(true)
	assertEqual(t, "after the drain", h.count(Connect), 1)
	h.step(Event{Kind: NodeRemoved})
	assertEqual(t, "closed", h.count(Close), 1)
	h.requireNoViolation(t)
}

// When the list changes, requests on a removed address finish, its idle connections are closed, and the other addresses
// keep their state.
func TestChangedListKeepsConnectionsInUse(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.connectionUp(a)
	h.queueRequest(true)
	b, _ := h.lastAction(Connect)
	h.connectionUp(b)
	h.respond(b, VerdictServed) // a is busy, b is idle, both by the Unix socket
	h.queueRequest(true)
	h.respond(b, VerdictServed)
	h.setAddresses(ipv6Addr, ipv4Addr)
	closed, _ := h.lastAction(Close)
	assertEqual(t, "idle ones there are closed", closed, b)
	assertEqual(t, "and no other", h.count(Close), 1)
	assertEqual(t, "primary", h.selector.Primary(), ipv6Addr)
	h.queueRequest(true)
	c, to := h.lastAction(Connect)
	assertEqual(t, "by", to, ipv6Addr)
	h.connectionUp(c)
	h.respond(a, VerdictServed)
	closed, _ = h.lastAction(Close)
	assertEqual(t, "finished, then closed", closed, a)
	h.respond(c, VerdictServed)
	h.setAddresses(ipv4Addr, ipv6Addr, unixAddr) // listed again, and in another order
	assertEqual(t, "nothing is closed", h.count(Close), 0)
	assertEqual(t, "the primary stays", h.selector.Primary(), ipv6Addr)
	h.requireNoViolation(t)
	h.setAddresses()
	q := h.queueRequest(true)
	assertEqual(t, "no address: failed at once", h.failed[q], true)
	h.requireNoViolation(t)
}

// A request waits again if its reused connection was found ended before a byte was written, and not if a part was written.
func TestUnwrittenRequestWaitsAgain(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	c := h.serveOne()
	q := h.queueRequest(true)
	h.breakConn(c, ReasonUnwritten)
	d, to := h.lastAction(Connect)
	assertEqual(t, "by a new connection to", to, unixAddr)
	h.connectionUp(d)
	w, _ := h.lastAction(Write)
	assertEqual(t, "written", h.requestOn[w], q)
	h.respond(w, VerdictServed)
	h.queueRequest(true)
	h.breakConn(w, ReasonCutOff)
	assertEqual(t, "no action", len(h.actions), 0)
	assertEqual(t, "one break of a reused connection is no fault", h.selector.Primary(), unixAddr)
	h.requireNoViolation(t)
}

func TestSettingsOutOfBoundsAreRejected(t *testing.T) {
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
