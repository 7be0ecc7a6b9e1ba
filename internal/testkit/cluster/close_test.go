package cluster

import (
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/historycheck"
)

// crossed is how many requests to a daemon that ends were on their way when it first closed a connection, and
// had no answer: before that none had cause to connect anew. The auditor holds that none was sent on.
func (w *world) crossed(i int, from time.Duration) (n int) {
	h := w.History()
	at := map[string]time.Duration{}
	for _, t := range h.Taken {
		if t.Scheduler == i && t.At >= from {
			at[t.ID] = t.At
		}
	}
	first := historycheck.Never
	for _, a := range h.Answered {
		if _, ours := at[a.ID]; ours && a.End == historycheck.Unheard {
			first = min(first, a.At)
		}
	}
	for _, a := range h.Answered {
		if t, ours := at[a.ID]; ours && a.End == historycheck.Unheard && t < first {
			n++
		}
	}
	return n
}

// departures are the requests whose clients went before a first attempt of them was written, and those of
// them that were sent on more than 0.3 s later.
func departures(h historycheck.History) (waited, sentOn int) {
	first := map[string]time.Duration{}
	for _, s := range h.Sent {
		if at, ok := first[s.ID]; !ok || s.First < at {
			first[s.ID] = s.First
		}
	}
	for _, a := range h.Answered {
		at, sent := first[a.ID]
		if a.End != historycheck.Left || sent && at <= a.At {
			continue
		}
		waited++
		if sent && at > a.At+300*time.Millisecond {
			sentOn++
		}
	}
	return waited, sentOn
}

// Closes and goings: what the standing test asks of connections that end. Each row is a fault and what is
// expected of three daemons; the auditor judges each.
func TestCloses(t *testing.T) {
	const slow = 60 * time.Millisecond
	for _, x := range []struct {
		fault, expected string
		opt             Options
		service         time.Duration
		run             func(*world)
	}{
		{fault: "SIGTERM, clients send on while connections stay open", expected: "served until shortly before the kill; what its close crosses is not sent on",
			service: slow, run: func(w *world) {
				w.must(w.ClientLink(0).Set(link.Forward, link.Fault{Delay: 30 * time.Millisecond, Jitter: 20 * time.Millisecond}))
				for crossed := 0; crossed == 0; { // requests are on their way at any time, so a close crosses some
					stop := w.Run(w.ctx, Load{Clients: 10, Gap: time.Millisecond, Ask: usual})
					base := w.Served(0)
					w.until("requests are open there", func() bool { return w.Served(0) > base && w.openRequests() > 5 })
					w.must(w.Term(0))
					told, from := w.Served(0), w.now()
					w.must(w.Proc(0).End(w.ctx))
					if n := w.Served(0) - told; n < some {
						w.t.Errorf("%d served after SIGTERM", n)
					}
					stop()
					crossed = w.crossed(0, from)
					w.must(w.Restart(w.ctx, 0))
					w.t.Logf("served after SIGTERM %d, crossed by the close %d", w.Served(0)-told, crossed)
				}
				w.must(w.ClientLink(0).Set(link.Forward, link.Fault{}))
				w.serves(some)
			}},
		{fault: "SIGTERM, answers trickle to clients", expected: "each that was begun ends whole", run: func(w *world) {
			w.must(w.ClientLink(0).Set(link.Backward, link.Fault{Trickle: 4000}))
			stop := w.Run(w.ctx, Load{Clients: 4, Gap: time.Millisecond, Ask: usual})
			w.until("answers are on their way", func() bool { return w.ClientLink(0).Counts(link.Backward).Trickled > 10 && w.openRequests() > 2 })
			w.must(w.Term(0))
			w.must(w.Proc(0).End(w.ctx))
			stop()
			w.must(w.ClientLink(0).Set(link.Backward, link.Fault{}))
			w.must(w.Restart(w.ctx, 0))
			w.serves(some)
		}},
		{fault: "clients leave while their requests wait for a connection", expected: "of those still waiting none is sent on later", opt: Options{
			Settings: map[string]any{"ceilings": map[string]any{"connect-timeout": 3000}}}, run: func(w *world) {
			all := func(f link.Fault, met func(*link.Link) bool) {
				for i := range w.opt.Daemons {
					for j := range 4 {
						l := w.StorageLink(i, j)
						w.must(l.Set(link.Forward, f))
						if f.Hold {
							l.Reset() // those that stood; no more come up
						}
						w.until("connects", func() bool { return met(l) })
					}
				}
			}
			for most := 20; most <= 40; most += 20 {
				all(link.Fault{Hold: true}, func(l *link.Link) bool { return l.Open() == 0 })
				stop := w.Run(w.ctx, Load{Clients: 4, Gap: 50 * time.Millisecond, Ask: func(_, client, n int) Ask {
					return Ask{Shard: n % 2, Volume: client, Deadline: 3 * time.Second, Leave: 100 * time.Millisecond}
				}})
				w.until("clients leave while their requests wait", func() bool { n, _ := departures(w.History()); return n >= most })
				stop() // at once after that connects come up, up to 1 s later: what still waited would be sent on
				all(link.Fault{}, func(l *link.Link) bool { return l.Waiting() == 0 })
				w.serves(some)
			}
			waited, late := departures(w.History())
			if w.t.Logf("of %d that waited %d were sent on 0.3 s later", waited, late); 4*late > waited {
				w.t.Fail()
			}
		}},
		{fault: "all restarted at once, the list down", expected: "nine in ten are ready within 10 s", opt: Options{Known: true}, run: func(w *world) {
			quick, all := 0, 0
			for range 4 {
				w.lists(ListDown)
				for i := range w.opt.Daemons {
					w.must(w.Kill(i))
				}
				start := time.Now()
				for i := range w.opt.Daemons {
					w.must(w.Proc(i).Start())
				}
				for i := range w.opt.Daemons {
					w.must(w.WaitReady(w.ctx, i))
					if all++; time.Since(start) < 10*time.Second {
						quick++
					}
				}
				w.risen()
				w.lists(ListWell)
				w.serves(some)
			}
			if 10*quick < 9*all {
				w.t.Errorf("%d of %d were ready in time", quick, all)
			}
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			w := beginAt(t, x.opt, max(x.service, 2*time.Millisecond))
			w.traffic()
			w.serves(some)
			x.run(w)
			w.end()
			t.Log(x.expected)
		})
	}
}

// risen notes that all daemons that were down serve again.
func (w *world) risen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.opt.Daemons {
		w.rises(i)
	}
}
