package address

import (
	"testing"
	"time"
)

// A race starts its next connect at once if a connect fails, and after the connect delay if there is no result. The first
// established connection carries the request. The other connects are closed, including one that succeeds later.
func TestFirstConnectOfARaceWins(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	assertEqual(t, "timer before a connect time was measured", h.selector.Next(), 250*ms)
	h.advanceTime(249 * ms)
	assertEqual(t, "connects before the delay", h.countActions(Connect), 0)
	h.advanceTime(ms)
	b, to := h.lastAction(Connect)
	assertEqual(t, "address of the second connect", to, ipv6Addr)
	h.failConnect(b, ReasonRefused)
	c, to := h.lastAction(Connect)
	assertEqual(t, "address of the third connect, at once", to, ipv4Addr)
	h.establish(c)
	w, _ := h.lastAction(Write)
	assertEqual(t, "connection of the request", w, c)
	closed, _ := h.lastAction(Close)
	assertEqual(t, "closed connection", closed, a)
	h.establish(a)
	closed, _ = h.lastAction(Close)
	assertEqual(t, "closed connection that was established too late", closed, a)
	assertEqual(t, "primary after the first address was overtaken", h.selector.Primary(), ipv4Addr)
	h.requireNoViolation(t)
}

// The delay between connects follows the measured connect time, within the bounds of RFC 8305 section 5.
func TestConnectDelayFollowsConnectTimes(t *testing.T) {
	for _, x := range []struct{ took, want time.Duration }{{ms / 10, 100 * ms}, {80 * ms, 240 * ms}, {3 * time.Second, 2 * time.Second}} {
		s := Defaults()
		s.MinReturnConns = 1
		h := newHarness(s, ipv4Addr)
		h.queueRequest(true)
		c, _ := h.lastAction(Connect)
		h.now += x.took
		h.establish(c)
		assertEqual(t, "delay between connects", h.selector.connectDelay(), x.want)
		h.requireNoViolation(t)
	}
}

// While all addresses are down, there is one connect at a time, and requests fail at once. After an address has recovered,
// the number of connections doubles with each round of responses.
func TestConnectsDoubleAfterAllAddressesWereDown(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 5*ms, allIdempotent)
	s.resetCounts()
	for _, a := range threeAddresses {
		s.modes[a] = "refused"
	}
	for _, c := range append([]Conn(nil), s.busy...) {
		s.breakConn(c, ReasonReset)
	}
	for i := range s.selector.conns { // the driver finds the connections closed
		if c := &s.selector.conns[i]; c.phase == idle {
			s.step(Event{Kind: IdleConnClosed, Conn: c.id})
		}
	}
	s.run(5*time.Second, ms, allIdempotent)
	s.requireNoViolation(t)
	if n := len(s.connects); n > 3*(50+15)+5 { // one race over three addresses per DownTrialInterval, which jitter shortens
		t.Errorf("%d connects in 5 s while all were down, more than the races at DownTrialInterval need", n)
	}
	if open := len(s.connecting); open > 1 {
		t.Errorf("%d connects at a time while all were down, want at most 1", open)
	}
	assertEqual(t, "waiting requests while all were down", s.selector.Waiting(), 0)
	s.modes[ipv4Addr] = "slow connect" // the address has recovered, and its connects take 150 ms
	s.resetCounts()
	s.run(400*ms, ms, allIdempotent)
	if n := s.connectsTo[ipv4Addr]; n > 1+2+4 { // rounds of 150 ms
		t.Errorf("%d connects in the first 400 ms after the recovery, want at most 7", n)
	}
	assertEqual(t, "primary after the recovery", s.selector.Primary(), ipv4Addr)
	s.run(5*time.Second, ms, allIdempotent)
	s.requireNoViolation(t)
	if counts := s.outcomeCounts(); counts["served"] < 4000 {
		t.Errorf("outcomes after the recovery: %v, want at least 4000 served", counts)
	}
}

// If the process runs out of descriptors, no fault of the address is recorded, the race starts no further connect, and a
// pending connect may still win.
func TestLackOfResourcesIsNoFault(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.advanceTime(250 * ms)
	b, _ := h.lastAction(Connect)
	h.failConnect(b, ReasonNoResource)
	assertEqual(t, "further connects", h.countActions(Connect), 0)
	h.advanceTime(10 * time.Second)
	assertEqual(t, "further connects after 10 s", h.countActions(Connect), 0)
	h.establish(a)
	assertEqual(t, "written requests", h.countActions(Write), 1)
	q := h.queueRequest(true)
	c, _ := h.lastAction(Connect)
	h.failConnect(c, ReasonNoResource)
	assertEqual(t, "request failed without being written", h.failed[q], true)
	for _, x := range h.selector.AppendStatus(nil) {
		if x.State != Untried && x.State != Healthy {
			t.Errorf("a lack of descriptors was recorded as a fault of %+v", x)
		}
	}
	h.requireNoViolation(t)
}

// An address whose family this machine does not support is skipped for UnsupportedBackoff.
func TestUnsupportedFamilyIsSkipped(t *testing.T) {
	h := newHarness(Defaults(), ipv6Addr, ipv4Addr)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.failConnect(a, ReasonNoFamily)
	_, to := h.lastAction(Connect)
	assertEqual(t, "address of the next connect", to, ipv4Addr)
	assertEqual(t, "state of the address with the unsupported family", h.selector.AppendStatus(nil)[0].State, Unsupported)
	b, _ := h.lastAction(Connect)
	h.establish(b)
	h.respond(b, VerdictServed)
	for range 100 {
		h.advanceTime(100 * ms)
		h.queueRequest(true)
		c, _ := h.lastAction(Write)
		h.respond(c, VerdictServed)
	}
	assertEqual(t, "connects", len(h.connects), 2)
	h.requireNoViolation(t)
}

// Connects are bounded by the burst and the rate of the token bucket. Without a token, a connect waits.
func TestConnectsAreBounded(t *testing.T) {
	settings := Defaults()
	settings.ConnectBurst, settings.ConnectRate = 4, 10
	h := newHarness(settings, threeAddresses...)
	for range 20 {
		h.queueRequest(true)
	}
	assertEqual(t, "connects at once", len(h.connects), 4)
	for len(h.connects) < 10 {
		next := h.selector.Next()
		if next == never || next <= h.now && len(h.connects) < 4 {
			t.Fatal("connects wait for a token, but no timer is set")
		}
		h.advanceTime(next - h.now)
	}
	if h.now < 550*ms {
		t.Errorf("10 connects within %v, more than the rate allows", h.now)
	}
	h.requireNoViolation(t)
}
