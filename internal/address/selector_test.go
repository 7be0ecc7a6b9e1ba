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
	if h.violation != nil {
		t.Fatal(h.violation)
	}
}

func assertEqual(t *testing.T, description string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%s: %v, want %v", description, got, want)
	}
}

// serveOne queues one request, opens a connection for it if needed, and lets the node serve it.
func (h *harness) serveOne() Conn {
	h.queueRequest(true)
	if c, _ := h.lastAction(Connect); c != 0 && h.countActions(Write) == 0 {
		h.establish(c)
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
	assertEqual(t, "address of the first connect", to, unixAddr)
	h.establish(c)
	_, on := h.lastAction(Write)
	assertEqual(t, "address of the request", on, unixAddr)
	h.respond(c, VerdictServed)
	h.queueRequest(false)
	reused, _ := h.lastAction(Write)
	assertEqual(t, "reused connection", reused, c)
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
	assertEqual(t, "closed connections", h.countActions(Close), 2)
	assertEqual(t, "request failed", h.failed[q], true)
	for _, c := range []Conn{a, b} {
		h.establish(c)
		assertEqual(t, "closed connections that were established during the drain", h.countActions(Close), 1)
	}
	q = h.queueRequest(true)
	assertEqual(t, "request failed at once", h.failed[q], true)
	h.step(Event{Kind: DrainChanged})
	h.queueRequest(true)
	assertEqual(t, "connects after the drain", h.countActions(Connect), 1)
	h.step(Event{Kind: NodeRemoved})
	assertEqual(t, "closed connections", h.countActions(Close), 1)
	h.requireNoViolation(t)
}

// When the list changes, requests in flight on a removed address finish, its idle connections are closed, and the other
// addresses keep their state.
func TestChangedListKeepsConnectionsInUse(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.establish(a)
	h.queueRequest(true)
	b, _ := h.lastAction(Connect)
	h.establish(b)
	h.respond(b, VerdictServed) // a is busy and b is idle, both on the Unix socket
	h.queueRequest(true)
	h.respond(b, VerdictServed)
	h.setAddresses(ipv6Addr, ipv4Addr)
	closed, _ := h.lastAction(Close)
	assertEqual(t, "closed idle connection of the removed address", closed, b)
	assertEqual(t, "closed connections", h.countActions(Close), 1)
	assertEqual(t, "primary", h.selector.Primary(), ipv6Addr)
	h.queueRequest(true)
	c, to := h.lastAction(Connect)
	assertEqual(t, "address of the next connect", to, ipv6Addr)
	h.establish(c)
	h.respond(a, VerdictServed)
	closed, _ = h.lastAction(Close)
	assertEqual(t, "connection closed after its request", closed, a)
	h.respond(c, VerdictServed)
	h.setAddresses(ipv4Addr, ipv6Addr, unixAddr) // the Unix socket is listed again, and the order differs
	assertEqual(t, "closed connections after the second change", h.countActions(Close), 0)
	assertEqual(t, "primary after the second change", h.selector.Primary(), ipv6Addr)
	h.requireNoViolation(t)
	h.setAddresses()
	q := h.queueRequest(true)
	assertEqual(t, "request failed at once without an address", h.failed[q], true)
	h.requireNoViolation(t)
}

// A request is queued again if its reused connection was found closed before a byte was written, but not if a part of the
// request was written.
func TestUnwrittenRequestWaitsAgain(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	c := h.serveOne()
	q := h.queueRequest(true)
	h.breakConn(c, ReasonUnwritten)
	d, to := h.lastAction(Connect)
	assertEqual(t, "address of the new connection", to, unixAddr)
	h.establish(d)
	w, _ := h.lastAction(Write)
	assertEqual(t, "request on the new connection", h.requestOn[w], q)
	h.respond(w, VerdictServed)
	h.queueRequest(true)
	h.breakConn(w, ReasonCutOff)
	assertEqual(t, "actions after a partly written request", len(h.actions), 0)
	assertEqual(t, "primary after one break of a reused connection", h.selector.Primary(), unixAddr)
	h.requireNoViolation(t)
}

func TestSettingsOutOfBoundsAreRejected(t *testing.T) {
	for _, x := range []struct {
		errorPrefix string
		set         func(*Settings)
	}{
		{"delay_least_ms: 9 is not from 10 to 2000", func(s *Settings) { s.MinConnectDelay = 9 * ms }},
		{"delay_ms", func(s *Settings) { s.ConnectDelay = 3 * time.Second }},
		{"preference", func(s *Settings) { s.Preference = []Family{Unix, Unix} }},
		{"preference", func(s *Settings) { s.Preference = nil }},
		{"jitter", func(s *Settings) { s.Jitter = 1.5 }},
		{"connects_per_second", func(s *Settings) { s.ConnectRate = 0 }},
		{"backoff_most_ms", func(s *Settings) { s.MaxBackoff = ms }},
	} {
		s := Defaults()
		x.set(&s)
		if _, err := New(s, 1); err == nil || !strings.HasPrefix(err.Error(), x.errorPrefix) {
			t.Errorf("want an error that starts with %s, got %v", x.errorPrefix, err)
		}
	}
}
