package address

import (
	"testing"
	"time"
)

// An address that accepts and does not respond: requests that it has taken end by their own time limit, the others go by the
// next address at once. Trials are single connections with one idempotent request.
func TestSilentAddressIsLeft(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, mostly)
	want(t, "before", s.selector.Primary(), unixA)
	s.reset()
	s.mode[unixA] = "silent"
	s.run(10*time.Second, 10*ms, mostly)
	s.must(t)
	tally := s.outcomeCounts()
	if caught := tally["late"]; caught > 14 || tally["failed"] > 0 || tally["served"] < 960 { // about 6 in 50 ms, and the trials
		t.Errorf("%v", tally)
	}
	want(t, "now", s.selector.Primary(), six)
	// After that only trials go there, one at a time and ever less often.
	if n := s.connectsTo[unixA]; n > 14 {
		t.Errorf("%d connects to the silent address", n)
	}
	for q, to := range s.sentTo {
		if to == unixA && s.outcome[q] == "late" && int(q) > 125 && !mostly(int(q)-100) {
			t.Errorf("request %d, which is not idempotent, went by the silent address", q)
		}
	}
	s.mode[unixA] = "ok"
	s.run(40*time.Second, 10*ms, mostly)
	s.must(t)
	want(t, "in the end", s.selector.Primary(), unixA)
}

// A port that another node has taken over rejects requests that name a shard: the address leads to the wrong node.
func TestWrongNode(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	s.mode[unixA] = "wrong"
	s.reset()
	s.run(4*time.Second, 10*ms, always)
	s.must(t)
	if tally := s.outcomeCounts(); tally["rejected"] > 100 || tally["served"] < 300 {
		t.Errorf("%v", tally)
	}
	if snap := s.selector.Snapshot(nil); snap[0].State != WrongNode || snap[1].State != Healthy {
		t.Errorf("%+v", snap)
	}
	s.mode[unixA] = "ok"
	s.run(60*time.Second, 10*ms, always)
	s.must(t)
	want(t, "primary after its own node has the port again", s.selector.Primary(), unixA)
}

// A response by which the node names itself as another one is enough.
func TestNodeThatNamesItselfIsWrongAtOnce(t *testing.T) {
	r := newHarness(Defaults(), three...)
	c := r.serveOne()
	r.queueRequest(true)
	r.respond(c, VerdictWrongNode)
	want(t, "closed", r.count(Close), 1)
	want(t, "state", r.selector.Snapshot(nil)[0].State, WrongNode)
	want(t, "primary", r.selector.Primary(), six)
	r.must(t)
}

// A full node rejects by all its addresses: none of them leads to another node.
func TestFullNodeIsNotWrong(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	for _, a := range three {
		s.mode[a] = "wrong"
	}
	s.run(3*time.Second, 10*ms, always)
	for _, x := range s.selector.Snapshot(nil) {
		if x.State == WrongNode || x.State == Down {
			t.Errorf("%+v", x)
		}
	}
	s.must(t)
}

// A node that pauses is silent by all its addresses. A short pause changes nothing.
func TestPausesOfTheNodeAreNoFault(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	s.reset()
	s.responseTime = 120 * ms
	s.run(150*ms, 10*ms, always)
	s.responseTime = 5 * ms
	s.run(time.Second, 10*ms, always)
	s.must(t)
	want(t, "primary after a pause of 120 ms", s.selector.Primary(), unixA)
	want(t, "changes of the primary", len(s.primaryChanges), 0)
	// The bound of silence follows a node that is slow by all its addresses, so that connects do not repeat.
	s.responseTime = 300 * ms
	s.run(2*time.Second, 20*ms, always)
	s.reset()
	s.run(5*time.Second, 20*ms, always)
	s.must(t)
	if n := len(s.connects); n > 25 {
		t.Errorf("%d connects while the node is slow", n)
	}
	if tally := s.outcomeCounts(); tally["served"] < 230 {
		t.Errorf("%v", tally)
	}
}

// An address whose responses come late is left, though it is not silent.
func TestSlowAddressIsLeft(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	s.reset()
	s.mode[unixA] = "slow"
	s.run(10*time.Second, 10*ms, always)
	s.must(t)
	slow := 0
	for q, to := range s.sentTo {
		if to == unixA && s.outcome[q] == "served" && q > 100 {
			slow++
		}
	}
	if slow > 12 || s.selector.Primary().String() != six {
		t.Errorf("%d went by the slow address; primary %v", slow, s.selector.Primary())
	}
}

// An address that accepts and closes at once is left, though no byte of a request was written.
func TestAddressThatAcceptsAndClosesIsSuspect(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	c, _ := r.lastAction(Connect)
	r.connectionUp(c)
	r.breakConn(c, ReasonUnwritten)
	_, to := r.lastAction(Connect)
	want(t, "goes by", to, six)
	want(t, "state", r.selector.Snapshot(nil)[0].State, Suspect)
	r.must(t)
}

// At the end of a node's pause the responses come by all addresses at about the same time: the address in doubt has a grace
// period.
func TestGraceAfterPause(t *testing.T) {
	r := newHarness(Defaults(), unixA, six)
	a := r.serveOne()
	r.queueRequest(true)
	r.pass(60 * ms) // in doubt
	r.queueRequest(true)
	for len(r.connecting) > 0 {
		r.connectionUp(r.connecting[0])
	}
	var b Conn
	for c, q := range r.requestOn {
		if r.addrOf[c].kind == IPv6 && q != 0 {
			b = c
		}
	}
	if b == 0 { // its connection was established when the first was already free
		r.queueRequest(true)
		b, _ = r.lastAction(Write)
	}
	want(t, "asked by", r.addrOf[b], six)
	r.now += 5 * ms
	r.respond(b, VerdictServed)
	r.pass(9 * ms)
	r.respond(a, VerdictServed)
	r.pass(100 * ms)
	want(t, "primary", r.selector.Primary(), unixA)
	want(t, "state", r.selector.Snapshot(nil)[0].State, Healthy)
	r.must(t)
}
