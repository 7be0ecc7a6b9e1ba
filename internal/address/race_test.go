package address

import (
	"testing"
	"time"
)

// A race continues at once after a failed connect, and after the delay without a result. The first connection carries the
// request. The other connects are closed, also one that succeeds later.
func TestFirstConnectOfARaceWins(t *testing.T) {
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
	want(t, "written on the first connection", w, c)
	closed, _ := r.lastAction(Close)
	want(t, "closed", closed, a)
	r.connectionUp(a)
	closed, _ = r.lastAction(Close)
	want(t, "the late winner is closed", closed, a)
	want(t, "the overtaken address is not primary", r.selector.Primary(), four)
	r.must(t)
}

// The delay between connects follows the time that connects take, within the bounds of the RFC.
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

// While all addresses are down, there is one connect at a time, and requests fail at once. After one has recovered, the
// number of connections doubles with each round of responses.
func TestConnectsGrowSlowlyAfterAllWereDown(t *testing.T) {
	s := newSimulation(Defaults(), three...)
	s.run(time.Second, 5*ms, always)
	s.reset()
	for _, a := range three {
		s.mode[a] = "refused"
	}
	for _, c := range append([]Conn(nil), s.busy...) {
		s.breakConn(c, ReasonReset)
	}
	for i := range s.selector.conns { // the driver finds the connections ended
		if c := &s.selector.conns[i]; c.phase == idle {
			s.step(Event{Kind: IdleConnClosed, Conn: c.id})
		}
	}
	s.run(5*time.Second, ms, always)
	s.must(t)
	if n := len(s.connects); n > 3*(50+15)+5 { // a race over three addresses in each DownTrialInterval, less the jitter
		t.Errorf("%d connects in 5 s while all were down", n)
	}
	if open := len(s.connecting); open > 1 {
		t.Errorf("%d connects at a time", open)
	}
	want(t, "waiting", s.selector.Waiting(), 0)
	s.mode[four] = "late" // it has recovered, and connects take 150 ms
	s.reset()
	s.run(400*ms, ms, always)
	if n := s.connectsTo[four]; n > 1+2+4 { // rounds of 150 ms
		t.Errorf("%d connects in the first 400 ms of its recovery", n)
	}
	want(t, "primary", s.selector.Primary(), four)
	s.run(5*time.Second, ms, always)
	s.must(t)
	if tally := s.outcomeCounts(); tally["served"] < 4000 {
		t.Errorf("%v", tally)
	}
}

// If descriptors run out, the address has no fault, the race starts no further connect, and a pending connect may still win.
func TestLackOfResourcesIsNoFault(t *testing.T) {
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
	want(t, "failed without being written", r.failed[q], true)
	for _, x := range r.selector.Snapshot(nil) {
		if x.State != Untried && x.State != Healthy {
			t.Errorf("fault of %+v", x)
		}
	}
	r.must(t)
}

// An address whose family the machine lacks is passed over for long.
func TestUnsupportedFamilyIsPassedOver(t *testing.T) {
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

// Connects are bounded by the burst and the rate. Without a token, a connect waits for one.
func TestConnectsAreBounded(t *testing.T) {
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
			t.Fatal("no timer is set")
		}
		r.pass(next - r.now)
	}
	if r.now < 550*ms {
		t.Errorf("10 connects in %v", r.now)
	}
	r.must(t)
}
