package address

import (
	"testing"
	"time"
)

// A trial carries a non-idempotent request only if no idempotent one has arrived within TrialPatience.
func TestTrialCarriesNonIdempotentRequestsOnlyAfterPatience(t *testing.T) {
	settings := Defaults()
	s := newSimulation(settings, unixAddr, ipv6Addr)
	s.modes[unixAddr] = "silent"
	s.run(time.Second, 20*ms, func(int) bool { return false })
	s.modes[unixAddr] = "ok"
	s.resetCounts()
	s.run(2*time.Second, 20*ms, func(int) bool { return false })
	assertEqual(t, "primary before TrialPatience has passed", s.selector.Primary(), ipv6Addr)
	s.run(30*time.Second, 20*ms, func(int) bool { return false })
	s.requireNoViolation(t)
	assertEqual(t, "primary after a trial with a non-idempotent request", s.selector.Primary(), unixAddr)
}

// If an address fails, the primary changes at once. A return needs timely connections and the return delay, which grows if
// the previous return was followed by another fault.
func TestReturnsThatDoNotLastAreDelayed(t *testing.T) {
	settings := Defaults()
	settings.Backoff, settings.MaxBackoff, settings.TrialInterval = 20*ms, 20*ms, ms // so that only the return delay delays returns
	s := newSimulation(settings, threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	var returns []time.Duration
	for i := range 120 { // the preferred address fails or recovers every half second
		s.modes[unixAddr] = []string{"refused", "ok"}[i%2]
		for j := range s.selector.conns {
			if c := &s.selector.conns[j]; i%2 == 0 && c.phase == idle && c.entry.family == Unix {
				s.step(Event{Kind: IdleConnClosed, Conn: c.id})
				break
			}
		}
		s.run(500*ms, 10*ms, allIdempotent)
	}
	s.requireNoViolation(t)
	for _, change := range s.primaryChanges {
		if change.to.family == Unix && !change.from.IsZero() {
			returns = append(returns, change.at)
		}
	}
	for i := 1; i < len(returns); i++ {
		if gap := returns[i] - returns[i-1]; gap < settings.MinReturnDelay {
			t.Errorf("the primary returned at %v and %v, within MinReturnDelay", returns[i-1], returns[i])
		}
	}
	if len(returns) == 0 || len(returns) > 15 {
		t.Errorf("%d returns in a minute, want 1 to 15: %v", len(returns), returns)
	}
}

// A preferred address becomes the primary again only after MinReturnConns timely connections, even if the return delay is
// very short.
func TestReturnNeedsTimelyConnections(t *testing.T) {
	settings := Defaults()
	settings.MinReturnDelay, settings.MaxReturnDelay, settings.Backoff, settings.MaxBackoff, settings.MinReturnConns = ms, ms, 20*ms, 20*ms, 5
	s := newSimulation(settings, threeAddresses...)
	s.modes[unixAddr] = "refused"
	s.run(time.Second, 10*ms, allIdempotent)
	assertEqual(t, "primary without the preferred address", s.selector.Primary(), ipv6Addr)
	s.modes[unixAddr] = "ok"
	s.resetCounts()
	for s.selector.Primary().family != Unix {
		if s.run(10*ms, 10*ms, allIdempotent); s.now > time.Minute {
			t.Fatal("the preferred address did not become primary within a minute")
		}
	}
	if n := s.connectsTo[unixAddr]; n < 5 {
		t.Errorf("the address became primary after %d connections, want at least 5", n)
	}
	s.requireNoViolation(t)
}

// A preferred address that is added to the list has to serve requests before it becomes the primary. The same applies to an
// address whose last response was long before a return is allowed.
func TestAddedAddressServesBeforeItIsPrimary(t *testing.T) {
	settings := Defaults()
	settings.MinReturnConns, settings.MinReturnDelay, settings.MaxReturnDelay = 5, 500*ms, time.Minute
	s := newSimulation(settings, ipv4Addr)
	s.run(time.Second, 10*ms, allIdempotent)
	s.setAddresses(threeAddresses...)
	s.resetCounts()
	for s.selector.Primary().family != Unix {
		if s.run(10*ms, 10*ms, allIdempotent); s.now > time.Minute {
			t.Fatal("the added address did not become primary within a minute")
		}
	}
	if n := s.connectsTo[unixAddr]; n < 5 {
		t.Errorf("the address became primary after %d connections, want at least 5", n)
	}
	s.selector.earliestReturn = s.now + 20*time.Second
	s.selector.primary = s.selector.entries[2] // no return is allowed for 20 s
	s.run(19*time.Second, 10*ms, allIdempotent)
	s.modes[unixAddr] = "silent"
	s.run(3*time.Second, 10*ms, allIdempotent)
	if s.selector.Primary().family == Unix {
		t.Error("the primary returned to an address that last served 20 s ago")
	}
	s.requireNoViolation(t)
}

// While all addresses are down and an idle connection still serves requests, the other addresses are tried alternately.
func TestAddressesAreTriedAlternatelyWhileAllAreDown(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.modes[unixAddr], s.modes[ipv6Addr] = "refused", "refused"
	s.run(time.Second, 10*ms, allIdempotent)
	assertEqual(t, "primary that serves", s.selector.Primary(), ipv4Addr)
	s.modes[ipv4Addr] = "refused" // only new connections are refused; the idle one still serves
	s.run(100*ms, ms, allIdempotent)
	assertEqual(t, "all addresses are down", s.selector.allDown(), true)
	s.run(2*time.Second, 10*ms, allIdempotent)
	s.modes[ipv6Addr] = "ok"
	s.run(time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after a recovery", s.selector.Primary(), ipv6Addr)
}

// A trial fails if its response comes too late, even if no timer fired before the response.
func TestSlowTrialFails(t *testing.T) {
	settings := Defaults()
	h := newHarness(settings, unixAddr, ipv6Addr)
	a := h.serveOne()
	h.queueRequest(true)
	h.respond(a, VerdictWrongNode)
	h.serveOne()
	h.now += time.Minute
	h.queueRequest(true)
	trial, to := h.lastAction(Connect)
	assertEqual(t, "address of the trial", to, unixAddr)
	h.establish(trial)
	h.queueRequest(true)
	if h.requestOn[trial] == 0 {
		t.Fatal("the trial connection carries no request")
	}
	h.now += 400 * ms
	h.respond(trial, VerdictServed)
	if x := h.selector.AppendStatus(nil)[0]; x.State != WrongNode || x.Until <= h.now {
		t.Errorf("state after the slow trial: %+v at %v, want WrongNode with a backoff", x, h.now)
	}
	h.requireNoViolation(t)
}

// A non-idempotent request remains non-idempotent when its connection was found closed and it is queued again.
func TestUnwrittenRequestStaysNonIdempotent(t *testing.T) {
	settings := Defaults()
	h := newHarness(settings, unixAddr, ipv6Addr)
	a := h.serveOne()
	h.queueRequest(true)
	h.breakConn(a, ReasonReset) // one break of a reused connection is no fault
	h.queueRequest(true)
	a, _ = h.lastAction(Connect)
	h.establish(a)
	h.breakConn(a, ReasonReset)
	assertEqual(t, "state of the broken address", h.selector.AppendStatus(nil)[0].State, Suspect)
	b := h.serveOne()
	h.now += settings.MaxBackoff
	q := h.queueRequest(false) // uses the other address, and a trial starts
	trial, to := h.lastAction(Connect)
	assertEqual(t, "address of the trial", to, unixAddr)
	h.breakConn(b, ReasonUnwritten)
	h.establish(trial)
	if h.requestOn[trial] == q {
		t.Error("the trial connection carries a non-idempotent request")
	}
	h.requireNoViolation(t)
}
