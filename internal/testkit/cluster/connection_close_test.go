package cluster

import (
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/historycheck"
)

// unansweredAtClose counts the requests to a terminating daemon that were in flight when it first closed a connection, and
// got no answer. Until then no client had a reason to reconnect. The audit checks that none of them was forwarded to a node.
func (w *fixture) unansweredAtClose(i int, since time.Duration) (n int) {
	h := w.History()
	sentAt := map[string]time.Duration{}
	for _, t := range h.Requests {
		if t.Scheduler == i && t.At >= since {
			sentAt[t.ID] = t.At
		}
	}
	firstClose := historycheck.Never
	for _, a := range h.Outcomes {
		if _, sent := sentAt[a.ID]; sent && a.Kind == historycheck.NoResponse {
			firstClose = min(firstClose, a.At)
		}
	}
	for _, a := range h.Outcomes {
		if t, sent := sentAt[a.ID]; sent && a.Kind == historycheck.NoResponse && t < firstClose {
			n++
		}
	}
	return n
}

// countDisconnects counts the requests whose clients disconnected before the first attempt was written, and those of
// them that were forwarded to a node more than 0.3 s later.
func countDisconnects(h historycheck.History) (waiting, forwardedLate int) {
	firstAttempt := map[string]time.Duration{}
	for _, s := range h.Attempts {
		if at, ok := firstAttempt[s.ID]; !ok || s.FirstByte < at {
			firstAttempt[s.ID] = s.FirstByte
		}
	}
	for _, a := range h.Outcomes {
		at, sent := firstAttempt[a.ID]
		if a.Kind != historycheck.Disconnected || sent && at <= a.At {
			continue
		}
		waiting++
		if sent && at > a.At+300*time.Millisecond {
			forwardedLate++
		}
	}
	return waiting, forwardedLate
}

// Connections close while requests are in flight or waiting, because a daemon terminates, a client disconnects or all
// daemons restart. The audit of each scenario checks that no request is forwarded to a node after its client has disconnected.
func TestConnectionCloses(t *testing.T) {
	const slow = 60 * time.Millisecond
	for _, x := range []struct {
		fault, expected string
		opt             Options
		service         time.Duration
		run             func(*fixture)
	}{
		{fault: "SIGTERM while clients keep sending on open connections", expected: "served until the connections close; requests in flight at the close are not forwarded",
			service: slow, run: func(w *fixture) {
				w.must(w.ClientLink(0).SetFault(link.Forward, link.Fault{Delay: 30 * time.Millisecond, Jitter: 20 * time.Millisecond}))
				for inFlight := 0; inFlight == 0; { // until at least one request was in flight at the close
					stop := w.Run(w.ctx, Load{Clients: 10, Pause: time.Millisecond, Request: mixedRequest})
					base := w.Served(0)
					w.waitUntil("daemon 0 has open requests", func() bool { return w.Served(0) > base && w.openRequests() > 5 })
					w.must(w.Terminate(0))
					servedBeforeTerm, from := w.Served(0), w.now()
					w.must(w.Proc(0).Wait(w.ctx))
					if n := w.Served(0) - servedBeforeTerm; n < minServed {
						w.t.Errorf("only %d requests were served between SIGTERM and exit", n)
					}
					stop()
					inFlight = w.unansweredAtClose(0, from)
					w.must(w.Restart(w.ctx, 0))
					w.t.Logf("served after SIGTERM: %d, in flight at the close: %d", w.Served(0)-servedBeforeTerm, inFlight)
				}
				w.must(w.ClientLink(0).SetFault(link.Forward, link.Fault{}))
				w.waitServed(minServed)
			}},
		{fault: "SIGTERM while answers trickle to clients", expected: "each answer that has begun is completed", run: func(w *fixture) {
			w.must(w.ClientLink(0).SetFault(link.Backward, link.Fault{BytesPerSecond: 4000}))
			stop := w.Run(w.ctx, Load{Clients: 4, Pause: time.Millisecond, Request: mixedRequest})
			w.waitUntil("answers are in flight", func() bool { return w.ClientLink(0).Counts(link.Backward).RateLimited > 10 && w.openRequests() > 2 })
			w.must(w.Terminate(0))
			w.must(w.Proc(0).Wait(w.ctx))
			stop()
			w.must(w.ClientLink(0).SetFault(link.Backward, link.Fault{}))
			w.must(w.Restart(w.ctx, 0))
			w.waitServed(minServed)
		}},
		{fault: "clients disconnect while their requests wait for a connection", expected: "requests still waiting are not forwarded later", opt: Options{
			Settings: map[string]any{"ceilings": map[string]any{"connect-timeout": 3000}}}, run: func(w *fixture) {
			setLinks := func(f link.Fault, inNewState func(*link.Link) bool) {
				for i := range w.opt.Daemons {
					for j := range 4 {
						l := w.StorageLink(i, j)
						w.must(l.SetFault(link.Forward, f))
						if f.Hold {
							l.ResetConns() // the open connections; no new ones are accepted
						}
						w.waitUntil("the links are in the new state", func() bool { return inNewState(l) })
					}
				}
			}
			for minDisconnects := 20; minDisconnects <= 40; minDisconnects += 20 {
				setLinks(link.Fault{Hold: true}, func(l *link.Link) bool { return l.OpenConns() == 0 })
				stop := w.Run(w.ctx, Load{Clients: 4, Pause: 50 * time.Millisecond, Request: func(_, client, n int) ClientRequest {
					return ClientRequest{Shard: n % 2, Volume: client, Deadline: 3 * time.Second, DisconnectAfter: 100 * time.Millisecond}
				}})
				w.waitUntil("clients disconnect while their requests wait", func() bool { n, _ := countDisconnects(w.History()); return n >= minDisconnects })
				stop() // connections open within 1 s after the next line; requests still waiting would then be forwarded
				setLinks(link.Fault{}, func(l *link.Link) bool { return l.PendingConnects() == 0 })
				w.waitServed(minServed)
			}
			waited, forwardedLate := countDisconnects(w.History())
			if w.t.Logf("%d requests waited when their client disconnected, %d of them were forwarded more than 0.3 s later; at most a quarter may be", waited, forwardedLate); 4*forwardedLate > waited {
				w.t.Fail()
			}
		}},
		{fault: "all daemons restart at once with the list down", expected: "nine in ten are ready within 10 s", opt: Options{ListInConfig: true}, run: func(w *fixture) {
			readyInTime, starts := 0, 0
			for range 4 {
				w.setListFaults(ListDown)
				for i := range w.opt.Daemons {
					w.must(w.Kill(i))
				}
				start := time.Now()
				for i := range w.opt.Daemons {
					w.must(w.Proc(i).Start())
				}
				for i := range w.opt.Daemons {
					w.must(w.WaitReady(w.ctx, i))
					if starts++; time.Since(start) < 10*time.Second {
						readyInTime++
					}
				}
				w.markAllUp()
				w.setListFaults(ListHealthy)
				w.waitServed(minServed)
			}
			if 10*readyInTime < 9*starts {
				w.t.Errorf("%d of %d starts were ready within 10 s, fewer than nine in ten", readyInTime, starts)
			}
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			w := newFixtureWithService(t, x.opt, max(x.service, 2*time.Millisecond))
			w.startTraffic()
			w.waitServed(minServed)
			x.run(w)
			w.stopAndAudit()
			t.Log(x.expected)
		})
	}
}

// markAllUp records that all daemons that were down serve again.
func (w *fixture) markAllUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.opt.Daemons {
		w.markUp(i)
	}
}
