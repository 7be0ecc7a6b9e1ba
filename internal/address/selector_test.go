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

// serveOne plays one request by a connection that has to be opened first.
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
	again, _ := r.lastAction(Write)
	want(t, "the connection again", again, c)
	want(t, "connects", len(r.connects), 1)
	r.must(t)
}

// A race goes on at a failure at once, and at silence after the delay; the first to come up
// carries the request, the other is closed, and a winner that is late is closed as well.
func TestRace(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	a, _ := r.lastAction(Connect)
	want(t, "before the first sample", r.selector.Next(), 250*ms)
	r.pass(249 * ms)
	want(t, "too early", r.count(Connect), 0)
	r.pass(ms)
	b, to := r.lastAction(Connect)
	want(t, "second", to, six)
	r.connectFails(b, ReasonRefused)
	c, to := r.lastAction(Connect)
	want(t, "third, at once", to, four)
	r.connectionUp(c)
	w, _ := r.lastAction(Write)
	want(t, "written on the first that came up", w, c)
	closed, _ := r.lastAction(Close)
	want(t, "closed", closed, a)
	r.connectionUp(a)
	closed, _ = r.lastAction(Close)
	want(t, "the late winner is closed", closed, a)
	want(t, "the outrun address is not primary", r.selector.Primary(), four)
	r.must(t)
}

// The delay between connects follows what connects take, within the bounds of the RFC.
func TestDelayFollowsConnects(t *testing.T) {
	for _, x := range []struct{ took, want time.Duration }{{ms / 10, 100 * ms}, {80 * ms, 240 * ms}, {3 * time.Second, 2 * time.Second}} {
		s := Defaults()
		s.MinReturnConns = 1
		r := newHarness(s, four)
		r.queueRequest(true)
		c, _ := r.lastAction(Connect)
		r.now += x.took
		r.connectionUp(c)
		want(t, "delay", r.selector.connectDelay(), x.want)
		r.must(t)
	}
}

// An address that accepts and hangs: those caught there end by their own time limit, the others
// go by the next address at once, and it is tried again by one connection with one request that
// is safe to repeat.
func TestHungAddress(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, mostly)
	want(t, "before", s.selector.Primary(), unixA)
	s.reset()
	s.mode[unixA] = "silent"
	s.run(10*time.Second, 10*ms, mostly)
	s.must(t)
	tally := s.outcomeCounts()
	if caught := tally["late"]; caught > 14 || tally["failed"] > 0 || tally["served"] < 960 { // some 6 in 50 ms, and the trials
		t.Errorf("%v", tally)
	}
	want(t, "now", s.selector.Primary(), six)
	// After that only trials go there, one at a time, fewer and fewer.
	if n := s.connectsTo[unixA]; n > 14 {
		t.Errorf("%d connects to the hung address", n)
	}
	for q, to := range s.sentTo {
		if to == unixA && s.outcome[q] == "late" && int(q) > 125 && !mostly(int(q)-100) {
			t.Errorf("request %d, not to be repeated, went by the hung address", q)
		}
	}
	s.mode[unixA] = "ok"
	s.run(40*time.Second, 10*ms, mostly)
	s.must(t)
	want(t, "in the end", s.selector.Primary(), unixA)
}

// A trial takes work that must not be repeated only where nothing else comes for long.
func TestTrialWithUnsafeWork(t *testing.T) {
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
	want(t, "not starved", s.selector.Primary(), unixA)
}

// All are down, then one is back: one connect at a time, each request that finds none ends at
// once, and the connections come back one, two, four.
func TestAllDownThenBack(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 5*ms, always)
	s.reset()
	for _, a := range three {
		s.mode[a] = "refused"
	}
	for _, c := range append([]Conn(nil), s.busy...) {
		s.breakConn(c, ReasonReset)
	}
	for i := range s.selector.conns { // the dead node's connections are found ended
		if c := &s.selector.conns[i]; c.phase == idle {
			s.step(Event{Kind: IdleConnClosed, Conn: c.id})
		}
	}
	s.run(5*time.Second, ms, always)
	s.must(t)
	if n := len(s.connects); n > 3*(50+15)+5 { // a walk over three a DownTrialInterval, less the jitter
		t.Errorf("%d connects in 5 s while all were down", n)
	}
	if open := len(s.connecting); open > 1 {
		t.Errorf("%d connects at a time", open)
	}
	want(t, "waiting", s.selector.Waiting(), 0)
	s.mode[four] = "late" // it is back, and connects take 150 ms: what piles up shows
	s.reset()
	s.run(400*ms, ms, always)
	if n := s.connectsTo[four]; n > 1+2+4 { // rounds of 150 ms
		t.Errorf("%d connects in the first 400 ms of its return", n)
	}
	want(t, "primary", s.selector.Primary(), four)
	s.run(5*time.Second, ms, always)
	s.must(t)
	if tally := s.outcomeCounts(); tally["served"] < 4000 {
		t.Errorf("%v", tally)
	}
}

// Falling is at once; a return takes good connections and time, and more of it each time that
// it did not last.
func TestNoFlapping(t *testing.T) {
	set := Defaults()
	set.Backoff, set.MaxBackoff, set.TrialInterval = 20*ms, 20*ms, ms // so that it is the rule of returns that holds
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

// A port that another node has taken over turns away what names a shard: the address is wrong,
// and what it turned away last is not the node's word.
func TestWrongNode(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	s.mode[unixA] = "wrong"
	s.reset()
	s.run(4*time.Second, 10*ms, always)
	s.must(t)
	if tally := s.outcomeCounts(); tally["turned"] > 100 || tally["served"] < 300 {
		t.Errorf("%v", tally)
	}
	if snap := s.selector.Snapshot(nil); snap[0].State != WrongNode || snap[1].State != Healthy {
		t.Errorf("%+v", snap)
	}
	s.mode[unixA] = "ok"
	s.run(60*time.Second, 10*ms, always)
	s.must(t)
	want(t, "its own node again", s.selector.Primary(), unixA)
}

// The node's own word that it is another makes the address wrong at once.
func TestMisdirected(t *testing.T) {
	r := newHarness(Defaults(), three...)
	c := r.serveOne()
	r.queueRequest(true)
	r.respond(c, VerdictWrongNode)
	want(t, "closed", r.count(Close), 1)
	want(t, "state", r.selector.Snapshot(nil)[0].State, WrongNode)
	want(t, "primary", r.selector.Primary(), six)
	r.must(t)
}

// A full node turns away by all its addresses: none of them is wrong.
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

// A node that pauses is silent by all its addresses, and a short pause changes nothing.
func TestPauses(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 10*ms, always)
	s.reset()
	s.responseTime = 120 * ms
	s.run(150*ms, 10*ms, always)
	s.responseTime = 5 * ms
	s.run(time.Second, 10*ms, always)
	s.must(t)
	want(t, "primary after a pause of 120 ms", s.selector.Primary(), unixA)
	want(t, "moves", len(s.primaryChanges), 0)
	// A node that is slow by all its addresses for long: the bound follows, and connections are
	// not opened again and again.
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

// An address whose answers come late is left for the others, though it is not silent.
func TestSlowAddress(t *testing.T) {
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

// A preferred address is primary again only after so many good connections, whatever the time.
func TestReturnsAfterGoodConnections(t *testing.T) {
	set := Defaults()
	set.MinReturnDelay, set.MaxReturnDelay, set.Backoff, set.MaxBackoff, set.MinReturnConns = ms, ms, 20*ms, 20*ms, 5
	s := newSimulation(set, three...)
	s.mode[unixA] = "refused"
	s.run(time.Second, 10*ms, always)
	want(t, "fallen", s.selector.Primary(), six)
	s.mode[unixA] = "ok"
	s.reset()
	for s.selector.Primary().kind != Unix {
		if s.run(10*ms, 10*ms, always); s.now > time.Minute {
			t.Fatal("never")
		}
	}
	if n := s.connectsTo[unixA]; n < 5 {
		t.Errorf("back after %d connections", n)
	}
	s.must(t)
}

// A preferred address that the list adds has to show itself good first, too; and one that was
// good long ago, while it could not be returned to, has to show that it still is.
func TestAddedAddressEarnsIt(t *testing.T) {
	set := Defaults()
	set.MinReturnConns, set.MinReturnDelay, set.MaxReturnDelay = 5, 500*ms, time.Minute
	s := newSimulation(set, four)
	s.run(time.Second, 10*ms, always)
	s.setAddresses(three...)
	s.reset()
	for s.selector.Primary().kind != Unix {
		if s.run(10*ms, 10*ms, always); s.now > time.Minute {
			t.Fatal("never")
		}
	}
	if n := s.connectsTo[unixA]; n < 5 {
		t.Errorf("primary after %d connections", n)
	}
	s.selector.earliestReturn = s.now + 20*time.Second
	s.selector.primary = s.selector.entries[2] // away from it, and no way back for long
	s.run(19*time.Second, 10*ms, always)
	s.mode[unixA] = "silent"
	s.run(3*time.Second, 10*ms, always)
	if s.selector.Primary().kind == Unix {
		t.Error("returned to an address that was good 20 s ago")
	}
	s.must(t)
}

// While all are down but a kept connection still serves, the others are tried in turn.
func TestKeptConnectionStarvesNone(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.mode[unixA], s.mode[six] = "refused", "refused"
	s.run(time.Second, 10*ms, always)
	want(t, "serves", s.selector.Primary(), four)
	s.mode[four] = "refused" // for new connections; the one that stands goes on
	s.run(100*ms, ms, always)
	want(t, "down", s.selector.allDown(), true)
	s.run(2*time.Second, 10*ms, always)
	s.mode[six] = "ok"
	s.run(time.Second, 10*ms, always)
	s.must(t)
	want(t, "found", s.selector.Primary(), six)
}

// An address that accepts and closes at once is left, though not a byte of a request was written.
func TestAcceptsAndCloses(t *testing.T) {
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

// At the end of a node's pause the answers come by all addresses within a moment: the one in
// doubt gets its moment.
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
	if b == 0 { // the connection for it came up as another went by the first
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

// A trial whose answer comes too late has failed, though no tick came before it.
func TestSlowTrial(t *testing.T) {
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

// What must not be repeated stays so when its connection is found ended and it waits again.
func TestUnwrittenStaysUnsafe(t *testing.T) {
	set := Defaults()
	r := newHarness(set, unixA, six)
	a := r.serveOne()
	r.queueRequest(true)
	r.breakConn(a, ReasonReset) // kept: says nothing yet
	r.queueRequest(true)
	a, _ = r.lastAction(Connect)
	r.connectionUp(a)
	r.breakConn(a, ReasonReset)
	want(t, "suspect", r.selector.Snapshot(nil)[0].State, Suspect)
	b := r.serveOne()
	r.now += set.MaxBackoff
	q := r.queueRequest(false) // by the other one, and a trial is opened beside
	trial, to := r.lastAction(Connect)
	want(t, "trial", to, unixA)
	r.breakConn(b, ReasonUnwritten)
	r.connectionUp(trial)
	if r.requestOn[trial] == q {
		t.Error("the trial carries what must not be repeated")
	}
	r.must(t)
}

// Nothing is connected or written while the node drains; what comes up then is closed.
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

// A list that changes in place: what is out on an address that went is finished, idle
// connections there end, and the others stay as they are.
func TestListInPlace(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	a, _ := r.lastAction(Connect)
	r.connectionUp(a)
	r.queueRequest(true)
	b, _ := r.lastAction(Connect)
	r.connectionUp(b)
	r.respond(b, VerdictServed) // a is out, b idles; both by the Unix socket
	r.queueRequest(true)
	r.respond(b, VerdictServed)
	r.setAddresses(six, four)
	closed, _ := r.lastAction(Close)
	want(t, "idle ones there end", closed, b)
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
	r.setAddresses(four, six, unixA) // back, and in another order
	want(t, "nothing is closed", r.count(Close), 0)
	want(t, "the primary stays", r.selector.Primary(), six)
	r.must(t)
	r.setAddresses()
	q := r.queueRequest(true)
	want(t, "no address: failed at once", r.failed[q], true)
	r.must(t)
}

// A kept connection found ended gives its request back untouched; one that took a part of it
// does not.
func TestUnwrittenGoesOn(t *testing.T) {
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
	want(t, "nothing goes on", len(r.actions), 0)
	want(t, "one break of a kept connection says nothing", r.selector.Primary(), unixA)
	r.must(t)
}

// Descriptors run out halfway: the address is not blamed, no more is opened of that race, and
// what is coming up may still win.
func TestNoResources(t *testing.T) {
	r := newHarness(Defaults(), three...)
	r.queueRequest(true)
	a, _ := r.lastAction(Connect)
	r.pass(250 * ms)
	b, _ := r.lastAction(Connect)
	r.connectFails(b, ReasonNoResource)
	want(t, "no more connects", r.count(Connect), 0)
	r.pass(10 * time.Second)
	want(t, "still none", r.count(Connect), 0)
	r.connectionUp(a)
	want(t, "written", r.count(Write), 1)
	q := r.queueRequest(true)
	c, _ := r.lastAction(Connect)
	r.connectFails(c, ReasonNoResource)
	want(t, "ended as never ran", r.failed[q], true)
	for _, x := range r.selector.Snapshot(nil) {
		if x.State != Untried && x.State != Healthy {
			t.Errorf("blamed: %+v", x)
		}
	}
	r.must(t)
}

// A family that the machine lacks is passed over for long.
func TestNoFamily(t *testing.T) {
	s := newHarness(Defaults(), six, four)
	s.queueRequest(true)
	a, _ := s.lastAction(Connect)
	s.connectFails(a, ReasonNoFamily)
	_, to := s.lastAction(Connect)
	want(t, "at once by", to, four)
	want(t, "state", s.selector.Snapshot(nil)[0].State, Unsupported)
	b, _ := s.lastAction(Connect)
	s.connectionUp(b)
	s.respond(b, VerdictServed)
	for range 100 {
		s.pass(100 * ms)
		s.queueRequest(true)
		c, _ := s.lastAction(Write)
		s.respond(c, VerdictServed)
	}
	want(t, "connects", len(s.connects), 2)
	s.must(t)
}

// Connects are bounded by the burst and the rate; what finds no token waits for one.
func TestConnectsBounded(t *testing.T) {
	set := Defaults()
	set.ConnectBurst, set.ConnectRate = 4, 10
	r := newHarness(set, three...)
	for range 20 {
		r.queueRequest(true)
	}
	want(t, "at once", len(r.connects), 4)
	for len(r.connects) < 10 {
		next := r.selector.Next()
		if next == never || next <= r.now && len(r.connects) < 4 {
			t.Fatal("nothing wakes it")
		}
		r.pass(next - r.now)
	}
	if r.now < 550*ms {
		t.Errorf("10 connects in %v", r.now)
	}
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
