package address

import (
	"testing"
	"time"
)

// An address accepts connections but does not respond. Requests written to it end by their own deadline, and all others use
// the next address at once. Each trial of the silent address is a single connection with one idempotent request.
func TestSilentAddressStopsBeingPrimary(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, twoThirdsIdempotent)
	assertEqual(t, "primary before the fault", s.selector.Primary(), unixAddr)
	s.resetCounts()
	s.modes[unixAddr] = "silent"
	s.run(10*time.Second, 10*ms, twoThirdsIdempotent)
	s.requireNoViolation(t)
	counts := s.outcomeCounts()
	if cancelled := counts["cancelled"]; cancelled > 14 || counts["failed"] > 0 || counts["served"] < 960 { // about 6 requests in the first 50 ms, and the trials
		t.Errorf("outcomes while the primary became silent: %v; want at most 14 cancelled, none failed and at least 960 served", counts)
	}
	assertEqual(t, "primary after the fault", s.selector.Primary(), ipv6Addr)
	// Afterwards the address gets only trials, one at a time and with growing intervals.
	if n := s.connectsTo[unixAddr]; n > 14 {
		t.Errorf("%d connects to the silent address", n)
	}
	// Before the fault 100 requests were queued, and the first 25 after it may precede its detection.
	for q, to := range s.sentTo {
		if to == unixAddr && s.outcomes[q] == "cancelled" && int(q) > 125 && !twoThirdsIdempotent(int(q)-100) {
			t.Errorf("non-idempotent request %d was sent to the address that is known to be silent", q)
		}
	}
	s.modes[unixAddr] = "ok"
	s.run(40*time.Second, 10*ms, twoThirdsIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after the recovery", s.selector.Primary(), unixAddr)
}

// If another node has taken over an address's port, it rejects requests that name a shard. The address is then marked as
// leading to the wrong node.
func TestAddressOfAnotherNodeStopsBeingPrimary(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.modes[unixAddr] = "rejects"
	s.resetCounts()
	s.run(4*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	if counts := s.outcomeCounts(); counts["rejected"] > 100 || counts["served"] < 300 {
		t.Errorf("outcomes while another node has the port: %v; want at most 100 rejected and at least 300 served", counts)
	}
	if status := s.selector.AppendStatus(nil); status[0].State != WrongNode || status[1].State != Healthy {
		t.Errorf("states %+v, want WrongNode for the first address and Healthy for the second", status)
	}
	s.modes[unixAddr] = "ok"
	s.run(60*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after its own node has the port again", s.selector.Primary(), unixAddr)
}

// One response that contains the id of another node is enough to mark an address as leading to the wrong node.
func TestResponseOfAnotherNodeMarksAddressAtOnce(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	c := h.serveOne()
	h.queueRequest(true)
	h.respond(c, VerdictWrongNode)
	assertEqual(t, "closed connections", h.countActions(Close), 1)
	assertEqual(t, "state of the address", h.selector.AppendStatus(nil)[0].State, WrongNode)
	assertEqual(t, "primary after the response", h.selector.Primary(), ipv6Addr)
	h.requireNoViolation(t)
}

// A full node rejects requests on all its addresses, so none of them is marked as leading to another node.
func TestFullNodeIsNotMarkedAsWrongNode(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	for _, a := range threeAddresses {
		s.modes[a] = "rejects"
	}
	s.run(3*time.Second, 10*ms, allIdempotent)
	for _, x := range s.selector.AppendStatus(nil) {
		if x.State == WrongNode || x.State == Down {
			t.Errorf("state of an address of a full node: %+v", x)
		}
	}
	s.requireNoViolation(t)
}

// A node that stalls is silent on all its addresses. A short stall does not change the primary.
func TestStallsOfTheNodeAreNoFault(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.resetCounts()
	s.responseTime = 120 * ms
	s.run(150*ms, 10*ms, allIdempotent)
	s.responseTime = 5 * ms
	s.run(time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	assertEqual(t, "primary after a stall of 120 ms", s.selector.Primary(), unixAddr)
	assertEqual(t, "changes of the primary", len(s.primaryChanges), 0)
	// If a node is slow on all its addresses, the bound of silence rises, so that connects are not repeated.
	s.responseTime = 300 * ms
	s.run(2*time.Second, 20*ms, allIdempotent)
	s.resetCounts()
	s.run(5*time.Second, 20*ms, allIdempotent)
	s.requireNoViolation(t)
	if n := len(s.connects); n > 25 {
		t.Errorf("%d connects in 5 s while the node is slow, want at most 25", n)
	}
	if counts := s.outcomeCounts(); counts["served"] < 230 {
		t.Errorf("outcomes while the node is slow: %v, want at least 230 served", counts)
	}
}

// An address with slow responses stops being the primary, although it is not silent.
func TestSlowAddressStopsBeingPrimary(t *testing.T) {
	s := newSimulation(Defaults(), threeAddresses...)
	s.run(time.Second, 10*ms, allIdempotent)
	s.resetCounts()
	s.modes[unixAddr] = "slow"
	s.run(10*time.Second, 10*ms, allIdempotent)
	s.requireNoViolation(t)
	slow := 0
	for q, to := range s.sentTo {
		if to == unixAddr && s.outcomes[q] == "served" && q > 100 { // 100 requests were queued before the fault
			slow++
		}
	}
	if slow > 12 || s.selector.Primary().String() != ipv6Addr {
		t.Errorf("%d requests were served by the slow address, want at most 12; primary %v, want the IPv6 address", slow, s.selector.Primary())
	}
}

// An address that accepts connections and closes them at once becomes suspect, although no byte of a request was written.
func TestAddressThatAcceptsAndClosesIsSuspect(t *testing.T) {
	h := newHarness(Defaults(), threeAddresses...)
	h.queueRequest(true)
	c, _ := h.lastAction(Connect)
	h.establish(c)
	h.breakConn(c, ReasonUnwritten)
	_, to := h.lastAction(Connect)
	assertEqual(t, "address of the next connect", to, ipv6Addr)
	assertEqual(t, "state of the address that closed the connection", h.selector.AppendStatus(nil)[0].State, Suspect)
	h.requireNoViolation(t)
}

// When a node continues after a stall, the responses on all addresses arrive at about the same time. The cross-checked
// address therefore has a grace period before it becomes suspect.
func TestSilentAddressHasGraceAfterStall(t *testing.T) {
	h := newHarness(Defaults(), unixAddr, ipv6Addr)
	a := h.serveOne()
	h.queueRequest(true)
	h.advanceTime(60 * ms) // the cross-check starts
	h.queueRequest(true)
	for len(h.connecting) > 0 {
		h.establish(h.connecting[0])
	}
	var b Conn
	for c, q := range h.requestOn {
		if h.addrOf[c].family == IPv6 && q != 0 {
			b = c
		}
	}
	if b == 0 { // the second connection was established only after its request had been written on another one
		h.queueRequest(true)
		b, _ = h.lastAction(Write)
	}
	assertEqual(t, "address of the cross-check", h.addrOf[b], ipv6Addr)
	h.now += 5 * ms
	h.respond(b, VerdictServed)
	h.advanceTime(9 * ms)
	h.respond(a, VerdictServed)
	h.advanceTime(100 * ms)
	assertEqual(t, "primary after the stall", h.selector.Primary(), unixAddr)
	assertEqual(t, "state of the address that responded last", h.selector.AppendStatus(nil)[0].State, Healthy)
	h.requireNoViolation(t)
}
