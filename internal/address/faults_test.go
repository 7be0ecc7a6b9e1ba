package address

import (
	"testing"
	"time"
)

// An address that accepts and does not respond: requests that it has taken end by their own time limit, the others go by the
// next address at once. Trials are single connections with one idempotent request.
func TestSilentAddressIsLeft(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, twoThirdsIdempotent)
	assertEqual(t, "before", s.selector.Primary(), unixAddr)
	s.resetCounts()
	s.modes[unixAddr] = "silent"
	s.run(10*time.Second, 10*ms, twoThirdsIdempotent)
	s.requireNoViolation(t)
	counts := s.outcomeCounts()
	if caught := counts["late"]; caught > 14 || counts["failed"] > 0 || counts["served"] < 960 { // about 6 in 50 ms, and the trials
		t.Errorf("%v", counts)
	}
	assertEqual(t, "now", s.selector.Primary(), ipv6Addr)
	// After that only trials go there, one at a time and ever less often.
	if n := s.connectsTo[unixAddr]; n > 14 {
		t.Errorf("%d connects to the silent address", n)
	}
	for q, to := range s.sentTo {
		if to == unixAddr && s.outcome[q] == "late" && int(q) > 125 && !twoThirdsIdempotent(int(q)-100) {
			t.Errorf("request %d, which is not idempotent, went by the silent address", q)
		}
	}
	s.modes[unixAddr] = "ok"
	s.run(40*time.Second, 10*ms, twoThirdsIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "in the end", s.selector.Primary(), unixAddr)
}

// A port that another node has taken over rejects requests that name a shard: the address leads to the wrong node.
func TestAddressOfAnotherNodeIsLeft(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.modes[unixAddr] = "wrong"
	s.resetCounts()
	s.run(4*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	if counts := s.outcomeCounts(); counts["rejected"] > 100 || counts["served"] < 300 {
		t.Errorf("%v", counts)
	}
	if snap := s.selector.Snapshot(nil); snap[0].State != WrongNode || snap[1].State != Healthy {
		t.Errorf("%+v", snap)
	}
	s.modes[unixAddr] = "ok"
	s.run(60*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after its own node has the port again", s.selector.Primary(), unixAddr)
}

// A response by which the node names itself as another one is enough.
func TestNodeThatNamesAnotherIDIsWrongAtOnce(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	c := h.serveOne()
	h.queueRequest(true)
	h.respond(c, VerdictWrongNode)
	assertEqual(t, "closed", h.count(Close), 1)
	assertEqual(t, "state", h.selector.Snapshot(nil)[0].State, WrongNode)
	assertEqual(t, "primary", h.selector.Primary(), ipv6Addr)
	h.requireNoViolation(t)
}

// A full node rejects by all its addresses: none of them leads to another node.
func TestFullNodeIsNotWrong(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	for _, a := range threeAddresses {
		s.modes[a] = "wrong"
	}
	s.run(3*time.Second, 10*ms, allIdempotent)
	for _, x := range s.selector.Snapshot(nil) {
		if x.State == WrongNode || x.State == Down {
			t.Errorf("%+v", x)
		}
	}
	s.requireNoViolation(t)
}

// A node that pauses is silent by all its addresses. A short pause changes nothing.
func TestPausesOfTheNodeAreNoFault(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.resetCounts()
	s.responseTime = 120 * ms
	s.run(150*ms, 10*ms, allIdempotent)
	s.responseTime = 5 * ms
	s.run(time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after a pause of 120 ms", s.selector.Primary(), unixAddr)
	assertEqual(t, "changes of the primary", len(s.primaryChanges), 0)
	// The bound of silence follows a node that is slow by all its addresses, so that connects do not repeat.
	s.responseTime = 300 * ms
	s.run(2*time.Second, 20*ms, allIdempotent)
	s.resetCounts()
	s.run(5*time.Second, 20*ms, allIdempotent)
	s.requireNoViolation(t)
	if n := len(s.connects); n > 25 {
		t.Errorf("%d connects while the node is slow", n)
	}
	if counts := s.outcomeCounts(); counts["served"] < 230 {
		t.Errorf("%v", counts)
	}
}

// An address whose responses come late is left, though it is not silent.
func TestSlowAddressIsLeft(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.resetCounts()
	s.modes[unixAddr] = "slow"
	s.run(10*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	slow := 0
	for q, to := range s.sentTo {
		if to == unixAddr && s.outcome[q] == "served" && q > 100 {
			slow++
		}
	}
	if slow > 12 || s.selector.Primary().String() != ipv6Addr {
		t.Errorf("%d went by the slow address; primary %v", slow, s.selector.Primary())
	}
}

// An address that accepts and closes at once is left, though no byte of a request was written.
func TestAddressThatAcceptsAndClosesIsSuspect(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	c, _ := h.lastAction(Connect)
	h.connectionUp(c)
	h.breakConn(c, ReasonUnwritten)
	_, to := h.lastAction(Connect)
	assertEqual(t, "goes by", to, ipv6Addr)
	assertEqual(t, "state", h.selector.Snapshot(nil)[0].State, Suspect)
	h.requireNoViolation(t)
}

// At the end of a node's pause the responses come by all addresses at about the same time: the address in doubt has a grace
// period.
func TestSilentAddressHasGraceAfterPause(t *testing.T) {
	h := newHarness(Defaults(), unixAddr, ipv6Addr)
	a := h.serveOne()
	h.queueRequest(true)
	h.advanceTime(60 * ms) // in doubt
	h.queueRequest(true)
	for len(h.connecting) > 0 {
		h.connectionUp(h.connecting[0])
	}
	var b Conn
	for c, q := range h.requestOn {
		if h.addrOf[c].kind == IPv6 && q != 0 {
			b = c
		}
	}
	if b == 0 { // its connection was established when the first was already free
		h.queueRequest(true)
		b, _ = h.lastAction(Write)
	}
	assertEqual(t, "asked by", h.addrOf[b], ipv6Addr)
	h.now += 5 * ms
	h.respond(b, VerdictServed)
	h.advanceTime(9 * ms)
	h.respond(a, VerdictServed)
	h.advanceTime(100 * ms)
	assertEqual(t, "primary", h.selector.Primary(), unixAddr)
	assertEqual(t, "state", h.selector.Snapshot(nil)[0].State, Healthy)
	h.requireNoViolation(t)
}
