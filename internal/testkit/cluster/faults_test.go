package cluster

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/historycheck"
)

const minServed = 20 // served requests after which a daemon counts as serving

// waitDrainNotified waits until each daemon has been notified that node 0 is draining and has served requests since.
func (w *fixture) waitDrainNotified() {
	w.t.Helper()
	w.waitUntil("each daemon is notified of the drain", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for i := range w.opt.Daemons {
			if !slices.ContainsFunc(w.history.Notifications, func(x historycheck.Notification) bool {
				return x.Scheduler == i && x.Node == "s0" && x.Status == historycheck.Draining
			}) {
				return false
			}
		}
		return true
	})
	w.waitServed(minServed)
}

func (w *fixture) setListFaults(f ListFault) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		w.must(w.SetListFault(i, f))
	}
}

// waitWatchRequests waits until each daemon, one after the other, has sent this many more watch requests.
func (w *fixture) waitWatchRequests(count int) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		base := w.List(i).WatchRequests()
		w.waitUntil("the daemon requests the list again", func() bool { return w.List(i).WatchRequests() >= base+count })
	}
}

// setStorageFault sets a fault of the links from all daemons to node 0 and waits until it has occurred on each.
func (w *fixture) setStorageFault(f link.Fault, occurred func(*link.Link) bool) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		w.must(w.StorageLink(i, 0).SetFault(link.Forward, f))
	}
	if occurred != nil {
		for i := range w.opt.Daemons {
			w.waitUntil("the fault occurs", func() bool { return occurred(w.StorageLink(i, 0)) })
		}
	}
}

func (w *fixture) countOutcomes(e historycheck.OutcomeKind) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.history.Outcomes {
		if a.Kind == e {
			n++
		}
	}
	return n
}

// Faults of the discovery service, of a node or its links, of clients and of a daemon must not break a rule of the
// audit: nothing is sent to a draining node after the grace period, and no non-idempotent request runs twice.
func TestListAndStorageFaults(t *testing.T) {
	slow := 100 * time.Millisecond
	for _, x := range []struct {
		fault, expected string
		opt             Options
		service         time.Duration
		skip            string
		run             func(*fixture)
	}{
		{fault: "list silent, then a drain", expected: "requested again after the silence; notified once the list answers; nothing sent after that", run: func(w *fixture) {
			w.setListFaults(ListSilent)
			w.waitWatchRequests(1)
			w.must(w.SetNodeStatus(0, "leaving"))
			w.setListFaults(ListHealthy)
			w.waitDrainNotified()
		}},
		{fault: "open watches stalled for good, then a drain", expected: "requested again within rules.ask-within and notified", opt: Options{Settings: map[string]any{
			"rules": map[string]any{"ask-within": 6000}}}, run: func(w *fixture) {
			w.setListFaults(ListStalled)
			w.must(w.SetNodeStatus(0, "leaving"))
			w.waitDrainNotified()
		}},
		{fault: "watches reset, then a drain", expected: "requested again with growing backoff; notified within four times ask-within, 6 s at most", run: func(w *fixture) {
			w.setListFaults(ListReset)
			w.waitWatchRequests(2)
			w.must(w.SetNodeStatus(0, "leaving"))
			w.setListFaults(ListHealthy)
			w.waitDrainNotified()
		}},
		{fault: "list down at start, then a drain", expected: "ready and serving from the configured list; notified once the service is up", opt: Options{ListInConfig: true, ListDown: true},
			run: func(w *fixture) {
				w.must(w.SetNodeStatus(0, "leaving"))
				w.waitServed(minServed)
				w.setListFaults(ListHealthy)
				w.waitDrainNotified()
			}},
		{fault: "connections to a node open late", expected: "served by another node meanwhile; nothing is written for ended requests", opt: Options{Settings: map[string]any{
			"ceilings": map[string]any{"second-copies": true, "connect-timeout": 3000}}}, run: func(w *fixture) {
			for i := range w.opt.Daemons {
				w.StorageLink(i, 0).ResetConns()
			}
			w.setStorageFault(link.Fault{Hold: true}, func(l *link.Link) bool { l.ResetConns(); return l.PendingConnects() > 0 })
			w.waitServed(minServed)
			w.setStorageFault(link.Fault{}, func(l *link.Link) bool { return l.PendingConnects() == 0 && l.OpenConns() > 0 })
			w.waitServed(minServed)
		}},
		{fault: "node silent in the middle of answers", expected: "reads served by another node, writes answered and not retried", run: func(w *fixture) {
			a, err := address.Parse(w.nodeAddresses[0])
			w.must(err)
			w.must(w.Node(0).SetFault(a, node.HalfResponse))
			base := w.Node(0).Counts().Executions
			w.waitUntil("node 0 sends partial answers", func() bool { return w.Node(0).Counts().Executions > base+3 })
			w.waitServed(minServed)
			w.must(w.Node(0).SetFault(a, node.None))
			w.waitServed(minServed)
		}},
		{fault: "reset after 300 bytes of requests", expected: "writes that may have run are answered and not retried", run: func(w *fixture) {
			w.setStorageFault(link.Fault{ResetAfter: 300}, func(l *link.Link) bool { return l.Counts(link.Forward).Reset > 2 })
			w.waitServed(minServed)
			w.setStorageFault(link.Fault{}, nil)
			w.waitServed(minServed)
		}},
		{fault: "clients disconnect early", expected: "nothing more is sent for them; other clients are served", service: slow, run: func(w *fixture) {
			stop := w.Run(w.ctx, Load{Clients: 2, Pause: time.Millisecond, Request: func(_, client, n int) ClientRequest {
				return ClientRequest{Shard: n % 2, Volume: client, DisconnectAfter: time.Duration(1+n%50) * time.Millisecond}
			}})
			w.waitUntil("clients disconnect", func() bool { return w.countOutcomes(historycheck.Disconnected) > 100 })
			w.waitServed(minServed)
			stop()
		}},
		{fault: "a daemon is killed with open requests and restarted", expected: "the others keep serving; it serves again; no non-idempotent request runs twice", service: slow, run: func(w *fixture) {
			w.waitUntil("daemon 0 has open requests", func() bool { return w.openRequests() > 1 })
			w.must(w.Kill(0))
			w.waitServed(minServed, 0)
			w.must(w.Restart(w.ctx, 0))
			w.waitServed(minServed)
		}},
		{fault: "SIGTERM under load with open connections", expected: "all accepted requests are answered, exit 0", service: slow, run: func(w *fixture) {
			w.waitUntil("daemon 0 has open requests", func() bool { return w.openRequests() > 1 })
			w.must(w.Terminate(0))
			w.must(w.Proc(0).Wait(w.ctx))
			w.waitServed(minServed, 0)
			w.must(w.Restart(w.ctx, 0))
			w.waitServed(minServed)
		}},
		{fault: "a daemon is suspended for 1 s during a drain", expected: "it applies the drain when it resumes", run: func(w *fixture) {
			w.must(w.Suspend(0))
			w.must(w.SetNodeStatus(0, "leaving"))
			w.waitServed(minServed, 0)
			time.Sleep(time.Second) // the daemon stays suspended this long
			w.must(w.Resume(0))
			w.waitDrainNotified()
		}},
		{fault: "half-open connections to a node", expected: "reads served by another node, writes answered and not retried", run: func(w *fixture) {
			w.setStorageFault(link.Fault{HalfOpen: true}, func(l *link.Link) bool { return l.Counts(link.Forward).HalfOpen > 2 })
			w.waitServed(minServed)
			w.setStorageFault(link.Fault{}, nil)
			w.waitServed(minServed)
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			if x.skip != "" {
				t.Skip(x.skip)
			}
			w := newFixtureWithService(t, x.opt, max(x.service, 2*time.Millisecond))
			w.startTraffic()
			w.waitServed(minServed)
			x.run(w)
			w.stopAndAudit()
			for i := range w.opt.Daemons {
				if err := w.Proc(i).Signal(syscall.Signal(0)); err != nil {
					t.Errorf("daemon %d is not running at the end of the scenario", i)
				}
			}
		})
	}
}

// openRequests counts the requests of daemon 0's clients that have not ended yet.
func (w *fixture) openRequests() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := map[string]bool{}
	for _, a := range w.history.Outcomes {
		ended[a.ID] = true
	}
	for _, t := range w.history.Requests {
		if t.Scheduler == 0 && !ended[t.ID] {
			n++
		}
	}
	return n
}
