package address

import (
	"testing"
	"time"
)

// A race continues at once after a failed connect, and after the delay without a result. The first connection carries the
// request. The other connects are closed, also one that succeeds later.
func TestFirstConnectOfARaceWins(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	assertEqual(t, "before the first sample", h.selector.Next(), 250*ms)
	h.advanceTime(249 * ms)
	assertEqual(t, "too early", h.count(Connect), 0)
	h.advanceTime(ms)
	b, to := h.lastAction(Connect)
	assertEqual(t, "second", to, ipv6Addr)
	h.connectFails(b, ReasonRefused)
	c, to := h.lastAction(Connect)
	assertEqual(t, "third, at once", to, ipv4Addr)
	h.connectionUp(c)
	w, _ := h.lastAction(Write)
	assertEqual(t, "written on the first connection", w, c)
	closed, _ := h.lastAction(Close)
	assertEqual(t, "closed", closed, a)
	h.connectionUp(a)
	closed, _ = h.lastAction(Close)
	assertEqual(t, "the late winner is closed", closed, a)
	assertEqual(t, "the overtaken address is not primary", h.selector.Primary(), ipv4Addr)
	h.requireNoViolation(t)
}

// The delay between connects follows the time that connects take, within the bounds of the RFC.
func TestConnectDelayFollowsConnectTimes(t *testing.T) {
	for _, x := range []struct{ took, want time.Duration }{{ms / 10, 100 * ms}, {80 * ms, 240 * ms}, {3 * time.Second, 2 * time.Second}} {
		s := Defaults()
		s.MinReturnConns = 1
		h := newHarness(s, ipv4Addr)
		h.queueRequest(true)
		c, _ := h.lastAction(Connect)
		h.now += x.took
		h.connectionUp(c)
		assertEqual(t, "delay", h.selector.connectDelay(), x.want)
		h.requireNoViolation(t)
	}
}

// While all addresses are down, there is one connect at a time, and requests fail at once. After one has recovered, the
// number of connections doubles with each round of responses.
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
	for i := range s.selector.conns { // the driver finds the connections ended
		if c := &s.selector.conns[i]; c.phase == idle {
			s.step(Event{Kind: IdleConnClosed, Conn: c.id})
		}
	}
	s.run(5*time.Second, ms, allIdempotent)
	s.requireNoViolation(t)
	if n := len(s.connects); n > 3*(50+15)+5 { // a race over three addresses in each DownTrialInterval, less the jitter
		t.Errorf("%d connects in 5 s while all were down", n)
	}
	if open := len(s.connecting); open > 1 {
		t.Errorf("%d connects at a time", open)
	}
	assertEqual(t, "waiting", s.selector.Waiting(), 0)
	s.modes[ipv4Addr] = "late" // it has recovered, and connects take 150 ms
	s.resetCounts()
	s.run(400*ms, ms, allIdempotent)
	if n := s.connectsTo[ipv4Addr]; n > 1+2+4 { // rounds of 150 ms
		t.Errorf("%d connects in the first 400 ms of its recovery", n)
	}
	assertEqual(t, "primary", s.selector.Primary(), ipv4Addr)
	s.run(5*time.Second, ms, allIdempotent)
	s.requireNoViolation(t)
	if counts := s.outcomeCounts(); counts["served"] < 4000 {
		t.Errorf("%v", counts)
	}
}

// If descriptors run out, the address has no fault, the race starts no further connect, and a pending connect may still win.
func TestLackOfResourcesIsNoFault(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	a, _ := h.lastAction(Connect)
	h.advanceTime(250 * ms)
	b, _ := h.lastAction(Connect)
	h.connectFails(b, ReasonNoResource)
	assertEqual(t, "no more connects", h.count(Connect), 0)
	h.advanceTime(10 * time.Second)
	assertEqual(t, "still none", h.count(Connect), 0)
	h.connectionUp(a)
	assertEqual(t, "written", h.count(Write), 1)
	q := h.queueRequest(true)
	c, _ := h.lastAction(Connect)
	h.connectFails(c, ReasonNoResource)
	assertEqual(t, "failed without being written", h.failed[q], true)
	for _, x := range h.selector.Snapshot(nil) {
		if x.State != Untried && x.State != Healthy {
			t.Errorf("fault of %+v", x)
		}
	}
	h.requireNoViolation(t)
}

// An address whose family the machine lacks is passed over for long.
func TestUnsupportedFamilyIsPassedOver(t *testing.T) {
	s := newHarness(Defaults(), ipv6Addr, ipv4Addr)
	s.queueRequest(true)
	a, _ := s.lastAction(Connect)
	s.connectFails(a, ReasonNoFamily)
	_, to := s.lastAction(Connect)
	assertEqual(t, "at once by", to, ipv4Addr)
	assertEqual(t, "state", s.selector.Snapshot(nil)[0].State, Unsupported)
	b, _ := s.lastAction(Connect)
	s.connectionUp(b)
	s.respond(b, VerdictServed)
	for range 100 {
		s.advanceTime(100 * ms)
		s.queueRequest(true)
		c, _ := s.lastAction(Write)
		s.respond(c, VerdictServed)
	}
	assertEqual(t, "connects", len(s.connects), 2)
	s.requireNoViolation(t)
}

// Connects are bounded by the burst and the rate. Without a token, a connect waits for one.
func TestConnectsAreBounded(t *testing.T) {
	settings := Defaults()
	settings.ConnectBurst, settings.ConnectRate = 4, 10
	h := newHarness(settings, threeAddresses...)
	for range 20 {
		h.queueRequest(true)
	}
	assertEqual(t, "at once", len(h.connects), 4)
	for len(h.connects) < 10 {
		next := h.selector.Next()
		if next == never || next <= h.now && len(h.connects) < 4 {
			t.Fatal("no timer is set")
		}
		h.advanceTime(next - h.now)
	}
	if h.now < 550*ms {
		t.Errorf("10 connects in %v", h.now)
	}
	h.requireNoViolation(t)
}
