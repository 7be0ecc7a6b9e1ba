package cluster

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"wheatsaddle/internal/testkit/historycheck"
)

var daemonPath string // built once for all tests

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "procs")
	if err == nil {
		daemonPath, err = Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	findLeaks := func() error {
		return goleak.Find(goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
	}
	for end := time.Now().Add(10 * time.Second); findLeaks() != nil && time.Now().Before(end); { // a memberlist health check may still be waiting for its answer
		time.Sleep(pollInterval)
	}
	if err := findLeaks(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	_ = os.RemoveAll(dir)
	if previousDir != "" {
		_ = os.RemoveAll(previousDir)
	}
	os.Exit(code)
}

const scenarioTimeout = 60 * time.Second

var scenarioSlots = make(chan struct{}, 4) // limits concurrent scenarios, as answers are late on an overloaded host

// fixture is a running fleet, by default of three daemons and two shards with two nodes each.
type fixture struct {
	*Fleet
	t           *testing.T
	ctx         context.Context
	stopTraffic func()
}

func newFixture(t *testing.T, opt Options) *fixture {
	t.Helper()
	return newFixtureWithService(t, opt, 2*time.Millisecond)
}

// beginScenario waits for a scenario slot, which is held until the test ends, and returns the context of the scenario.
func beginScenario(t *testing.T) context.Context {
	t.Helper()
	if testing.Short() {
		t.Skip("starts several processes")
	}
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newFixtureWithService(t *testing.T, opt Options, serviceTime time.Duration) *fixture {
	t.Helper()
	ctx := beginScenario(t)
	opt.Daemon, opt.Seed = daemonPath, 7
	if opt.Daemons == 0 {
		opt.Daemons = 3
	}
	for j := range 4 {
		if len(opt.Nodes) > j { // the scenario defines its own nodes
			break
		}
		opt.Nodes = append(opt.Nodes, StorageNode{Name: fmt.Sprint("s", j), Shard: j / 2,
			ServiceTime: func(*fasthttp.Request) time.Duration { return serviceTime }})
	}
	f, err := Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &fixture{Fleet: f, t: t, ctx: ctx}
}

// mixedRequest returns requests to both shards, of which a third are non-idempotent writes.
func mixedRequest(_, client, n int) ClientRequest {
	request := ClientRequest{Shard: (n + client) % 2, Volume: client}
	if n%3 == 0 {
		request.Class, request.Write, request.BodySize = "write", true, 2000
	}
	return request
}

func (w *fixture) startTraffic() {
	w.stopTraffic = w.Run(w.ctx, Load{Clients: 3, Pause: 30 * time.Millisecond, Request: mixedRequest})
}

// startOverlappingTraffic starts load of which several requests at a time concern one shard, so that each of its nodes gets some: a
// request goes to the first of the nodes with the fewest units in flight.
func (w *fixture) startOverlappingTraffic() (stop func()) {
	return w.Run(w.ctx, Load{Clients: 6, Pause: 5 * time.Millisecond, Request: mixedRequest})
}

func (w *fixture) must(err error) {
	w.t.Helper()
	if err != nil {
		h := w.History()
		w.t.Log("outcomes of the last requests: ", h.Outcomes[max(0, len(h.Outcomes)-6):], "answers by code: ", w.answersByCode)
		w.t.Fatal(err)
	}
}

// waitUntil waits until a condition holds.
func (w *fixture) waitUntil(description string, cond func() bool) {
	w.t.Helper()
	w.must(w.Wait(w.ctx, description, func() error {
		if cond() {
			return nil
		}
		return fmt.Errorf("condition does not hold yet")
	}))
}

// waitServed waits until each daemon, without the one in except if that is given, has served this many more requests.
func (w *fixture) waitServed(count int, except ...int) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		if len(except) > 0 && except[0] == i {
			continue
		}
		base := w.Served(i)
		w.waitUntil(fmt.Sprint("daemon ", i, " serves"), func() bool { return w.Served(i) >= base+count })
	}
}

// stopAndAudit stops the traffic and fails the test if the audit of the history finds violations.
func (w *fixture) stopAndAudit() {
	w.t.Helper()
	w.stopTraffic()
	found := w.Audit()
	for i, v := range found {
		if i < 5 {
			w.t.Error(v)
			for _, s := range w.History().Attempts {
				if s.ID == v.ID {
					w.t.Logf("%+v", s)
				}
			}
		}
	}
	if h := w.History(); len(h.Executions) == 0 || w.t.Failed() {
		w.t.Errorf("the audit found %d violations in %d requests, %d attempts and %d executions\n%s", len(found), len(h.Requests), len(h.Attempts), len(h.Executions), w.Logs())
	}
}

func TestDrainUnderTraffic(t *testing.T) {
	w := newFixture(t, Options{})
	w.startTraffic()
	w.waitServed(30)
	w.must(w.SetNodeStatus(0, "leaving"))
	w.waitServed(60)
	w.stopAndAudit()
}

// A client that was connected to a killed process reconnects to the next one. Otherwise it would send a request on a
// connection that no running process reads, which the audit would report as a violation.
func TestClientReconnectsAfterKill(t *testing.T) {
	w := newFixture(t, Options{})
	w.startTraffic()
	client := w.Dial(0)
	defer client.Close()
	w.waitUntil("the first request is served", func() bool { return client.Send(ClientRequest{}).Code == fasthttp.StatusOK })
	w.must(w.Kill(0))
	w.must(w.Restart(w.ctx, 0))
	if o := client.Send(ClientRequest{}); o.End != historycheck.Complete {
		t.Errorf("request to the restarted process got no complete answer: %+v", o)
	}
	w.waitServed(minServed)
	w.stopAndAudit()
}
