package address

import (
	"testing"
	"time"
)

// A trial carries a request that is not idempotent only if no other has come for long.
func TestTrialCarriesNonIdempotentRequestsOnlyAfterPatience(t *testing.T) {
	set := Defaults()
	s := newSimulation(set, unixA, six)
	s.mode[unixA] = "silent"
	s.run(time.Second, 20*ms, func(int) bool { return false })
	s.mode[unixA] = "ok"
	s.reset()
	s.run(2*time.Second, 20*ms, func(int) bool { return false })
	want(t, "so far", s.selector.Primary(), six)
	s.run(30*time.Second, 20*ms, func(int) bool { return false })
	s.must(t)
	want(t, "found in the end", s.selector.Primary(), unixA)
}

// The primary leaves an address at once. A return takes timely connections and time, and longer each time that the last one
// did not last.
func TestReturnsThatDoNotLastAreDelayed(t *testing.T) {
	set := Defaults()
	set.Backoff, set.MaxBackoff, set.TrialInterval = 20*ms, 20*ms, ms // so that only the rule of returns delays them
	s := newSimulation(set, three...)
	s.run(time.Second, 10*ms, always)
	var returns []time.Duration
	for i := range 120 { // the preferred address comes and goes every half second
		s.mode[unixA] = []string{"refused", "ok"}[i%2]
		for j := range s.selector.conns {
			if c := &s.selector.conns[j]; i%2 == 0 && c.phase == idle && c.entry.kind == Unix {
				s.step(Event{Kind: IdleConnClosed, Conn: c.id})
				break
			}
		}
		s.run(500*ms, 10*ms, always)
	}
	s.must(t)
	for _, m := range s.primaryChanges {
		if m.to.kind == Unix && !m.from.IsZero() {
			returns = append(returns, m.at)
		}
	}
	for i := 1; i < len(returns); i++ {
		if gap := returns[i] - returns[i-1]; gap < set.MinReturnDelay {
			t.Errorf("returns at %v and %v", returns[i-1], returns[i])
		}
	}
	if len(returns) == 0 || len(returns) > 15 {
		t.Errorf("%d returns in a minute: %v", len(returns), returns)
	}
}

// A preferred address is primary again only after MinReturnConns timely connections, whatever the time.
func TestReturnsAfterGoodConnections(t *testing.T) {
	set := Defaults()
	set.MinReturnDelay, set.MaxReturnDelay, set.Backoff, set.MaxBackoff, set.MinReturnConns = ms, ms, 20*ms, 20*ms, 5
	s := newSimulation(set, three...)
	s.mode[unixA] = "refused"
	s.run(time.Second, 10*ms, always)
	want(t, "without the preferred address", s.selector.Primary(), six)
	s.mode[unixA] = "ok"
	s.reset()
	for s.selector.Primary().kind != Unix {
		if s.run(10*ms, 10*ms, always); s.now > time.Minute {
			t.Fatal("the preferred address never became primary")
		}
	}
	if n := s.connectsTo[unixA]; n < 5 {
		t.Errorf("primary after %d connections", n)
	}
	s.must(t)
}

// A preferred address that the list adds has to serve first as well. So has one that served long ago, before a return was
// allowed.
func TestAddedAddressServesBeforeItIsPrimary(t *testing.T) {
	set := Defaults()
	set.MinReturnConns, set.MinReturnDelay, set.MaxReturnDelay = 5, 500*ms, time.Minute
	s := newSimulation(set, four)
	s.run(time.Second, 10*ms, always)
	s.setAddresses(three...)
	s.reset()
	for s.selector.Primary().kind != Unix {
		if s.run(10*ms, 10*ms, always); s.now > time.Minute {
			t.Fatal("the preferred address never became primary")
		}
	}
	if n := s.connectsTo[unixA]; n < 5 {
		t.Errorf("primary after %d connections", n)
	}
	s.selector.earliestReturn = s.now + 20*time.Second
	s.selector.primary = s.selector.entries[2] // no return is allowed for long
	s.run(19*time.Second, 10*ms, always)
	s.mode[unixA] = "silent"
	s.run(3*time.Second, 10*ms, always)
	if s.selector.Primary().kind == Unix {
		t.Error("returned to an address that last served 20 s ago")
	}
	s.must(t)
}

// While all addresses are down and an idle connection still serves, the others are tried alternately.
func TestAddressesAreTriedAlternatelyWhileAllAreDown(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.mode[unixA], s.mode[six] = "refused", "refused"
	s.run(time.Second, 10*ms, always)
	want(t, "serves", s.selector.Primary(), four)
	s.mode[four] = "refused" // only new connections; the idle one still serves
	s.run(100*ms, ms, always)
	want(t, "down", s.selector.allDown(), true)
	s.run(2*time.Second, 10*ms, always)
	s.mode[six] = "ok"
	s.run(time.Second, 10*ms, always)
	s.must(t)
	want(t, "found", s.selector.Primary(), six)
}

// A trial whose response comes too late has failed, also without a timer before it.
func TestSlowTrialFails(t *testing.T) {
	set := Defaults()
	r := newHarness(set, unixA, six)
	a := r.serveOne()
	r.queueRequest(true)
	r.respond(a, VerdictWrongNode)
	r.serveOne()
	r.now += time.Minute
	r.queueRequest(true)
	trial, to := r.lastAction(Connect)
	want(t, "trial", to, unixA)
	r.connectionUp(trial)
	r.queueRequest(true)
	if r.requestOn[trial] == 0 {
		t.Fatal("the trial carries nothing")
	}
	r.now += 400 * ms
	r.respond(trial, VerdictServed)
	if x := r.selector.Snapshot(nil)[0]; x.State != WrongNode || x.Until <= r.now {
		t.Errorf("%+v at %v", x, r.now)
	}
	r.must(t)
}

// A request that is not idempotent remains so when its connection is found ended and it waits again.
func TestUnwrittenRequestStaysNonIdempotent(t *testing.T) {
	set := Defaults()
	r := newHarness(set, unixA, six)
	a := r.serveOne()
	r.queueRequest(true)
	r.breakConn(a, ReasonReset) // a reused connection: no fault yet
	r.queueRequest(true)
	a, _ = r.lastAction(Connect)
	r.connectionUp(a)
	r.breakConn(a, ReasonReset)
	want(t, "suspect", r.selector.Snapshot(nil)[0].State, Suspect)
	b := r.serveOne()
	r.now += set.MaxBackoff
	q := r.queueRequest(false) // by the other address, and a trial starts
	trial, to := r.lastAction(Connect)
	want(t, "trial", to, unixA)
	r.breakConn(b, ReasonUnwritten)
	r.connectionUp(trial)
	if r.requestOn[trial] == q {
		t.Error("the trial carries a request that is not idempotent")
	}
	r.must(t)
}
