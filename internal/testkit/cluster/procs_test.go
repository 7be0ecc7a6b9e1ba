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

var daemon string // built once for all tests

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "procs")
	if err == nil {
		daemon, err = Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	left := func() error {
		return goleak.Find(goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
	}
	for end := time.Now().Add(10 * time.Second); left() != nil && time.Now().Before(end); { // a probe of memberlist's may still wait for its answer
		time.Sleep(lookEvery)
	}
	if err := left(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	_ = os.RemoveAll(dir)
	if previousDir != "" {
		_ = os.RemoveAll(previousDir)
	}
	os.Exit(code)
}

const rowMost = 60 * time.Second // a row that takes so long has failed

var rows = make(chan struct{}, 4) // that run at once: a starved host makes answers late

// world is a running fleet of three daemons and four nodes, two of each of two shards.
type world struct {
	*Fleet
	t    *testing.T
	ctx  context.Context
	stop func() // of the load
}

func begin(t *testing.T, opt Options) *world { t.Helper(); return beginAt(t, opt, 2*time.Millisecond) }

func beginAt(t *testing.T, opt Options, service time.Duration) *world {
	t.Helper()
	if testing.Short() {
		t.Skip("several processes")
	}
	t.Parallel()
	rows <- struct{}{}
	t.Cleanup(func() { <-rows })
	ctx, cancel := context.WithTimeout(context.Background(), rowMost)
	t.Cleanup(cancel)
	opt.Daemon, opt.Seed = daemon, 7
	if opt.Daemons == 0 {
		opt.Daemons = 3
	}
	for j := range 4 {
		if len(opt.Nodes) > j { // the row's own
			break
		}
		opt.Nodes = append(opt.Nodes, Storage{Name: fmt.Sprint("s", j), Shard: j / 2,
			Service: func(*fasthttp.Request) time.Duration { return service }})
	}
	f, err := Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &world{Fleet: f, t: t, ctx: ctx}
}

// usual is traffic on both shards, a third of it unsafe writes.
func usual(_, client, n int) Ask {
	a := Ask{Shard: (n + client) % 2, Volume: client}
	if n%3 == 0 {
		a.Class, a.Write, a.Body = "write", true, 2000
	}
	return a
}

func (w *world) traffic() {
	w.stop = w.Run(w.ctx, Load{Clients: 3, Gap: 30 * time.Millisecond, Ask: usual})
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		h := w.History()
		w.t.Log("last ends: ", h.Answered[max(0, len(h.Answered)-6):], "last codes: ", w.codes)
		w.t.Fatal(err)
	}
}

// until waits for a condition.
func (w *world) until(what string, cond func() bool) {
	w.t.Helper()
	w.must(w.Wait(w.ctx, what, func() error {
		if cond() {
			return nil
		}
		return fmt.Errorf("not yet")
	}))
}

// serves waits until each daemon has served so many more requests.
func (w *world) serves(more int, but ...int) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		if len(but) > 0 && but[0] == i {
			continue
		}
		base := w.Served(i)
		w.until(fmt.Sprint("daemon ", i, " serves"), func() bool { return w.Served(i) >= base+more })
	}
}

// end stops the traffic and asks the auditor.
func (w *world) end() {
	w.t.Helper()
	w.stop()
	found := w.Audit()
	for i, v := range found {
		if i < 5 {
			w.t.Error(v)
			for _, s := range w.History().Sent {
				if s.ID == v.ID {
					w.t.Logf("%+v", s)
				}
			}
		}
	}
	if h := w.History(); len(h.Executed) == 0 || w.t.Failed() {
		w.t.Errorf("%d violations of %d requests, %d attempts, %d executions\n%s", len(found), len(h.Taken), len(h.Sent), len(h.Executed), w.Logs())
	}
}

func TestPlain(t *testing.T) {
	w := begin(t, Options{})
	w.traffic()
	w.serves(30)
	w.must(w.Mark(0, "leaving"))
	w.serves(60)
	w.end()
}

// A client whose connection was to a killed process asks the next one on a new connection: a request that no
// running process could have read is no violation of it.
func TestAskAfterKill(t *testing.T) {
	w := begin(t, Options{})
	w.traffic()
	client := w.Dial(0)
	defer client.Close()
	w.until("a first request is served", func() bool { return client.Ask(Ask{}).Code == fasthttp.StatusOK })
	w.must(w.Kill(0))
	w.must(w.Restart(w.ctx, 0))
	if o := client.Ask(Ask{}); o.End != historycheck.Whole {
		t.Errorf("asked of the restarted process: %+v", o)
	}
	w.serves(some)
	w.end()
}
