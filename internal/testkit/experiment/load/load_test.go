package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/fake/server"
	"wheatsaddle/internal/testkit/loadvalidity"
	"wheatsaddle/internal/testkit/workload"
)

const ms = time.Millisecond

// The first response starts a goroutine of fasthttp that never ends. Writing one here starts it
// outside the synctest bubbles, which could not end otherwise.
func TestMain(m *testing.M) {
	var r fasthttp.Response
	if err := r.Write(bufio.NewWriter(io.Discard)); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// runLoad runs a shape against a simulated server in virtual time, over in-memory connections.
func runLoad(t *testing.T, opt server.Options, mode server.Mode, s workload.Shape, length time.Duration, change func(*Options)) (*Results, *server.Server) {
	t.Helper()
	srv := server.New(opt)
	srv.SetMode(mode)
	src, err := workload.New(s, 1, length)
	if err != nil {
		t.Fatal(err)
	}
	pool := &client.Pool{Dial: func(context.Context) (net.Conn, error) {
		a, b := net.Pipe()
		srv.ServeConn(b)
		return a, nil
	}}
	o := Options{Shape: s, Source: src, Pools: []*client.Pool{pool}, RequestIDPrefix: "t", MaxOpen: 10000, Bounds: loadvalidity.Defaults()}
	if change != nil {
		change(&o)
	}
	res, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	pool.Close()
	srv.Close()
	return res, srv
}

// constantRateShape is a shape of one class at a constant rate.
func constantRateShape(rate float64) workload.Shape {
	s := workload.Default()
	s.Process, s.Rate, s.Surges = "constant", rate, nil
	s.Classes = []workload.Class{{Name: "balance-read", Share: 1, Deadline: 1500, Aim: 250, Worth: 3, LateWorth: 1}}
	return s
}

// The server stalls for 200 ms every 2 s. Latency percentiles measured from the intended send time
// must match the computed ones. A closed-loop client, which waits for each answer before the next
// request, hides the stall (coordinated omission).
func TestStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		opt := server.Options{ServiceTime: 20 * ms, StallDuration: 200 * ms, StallInterval: 2 * time.Second}
		s := constantRateShape(400)
		s.Steps = []workload.Step{{At: 0, Times: 0}, {At: 2000, Times: 1}}
		res, srv := runLoad(t, opt, server.Answer, s, 22*time.Second, nil)
		all := res.All()
		if all.Arrivals < 7990 || all.ByOutcome[client.Served] != all.Arrivals || !res.Generator.Evaluate().Valid {
			t.Fatalf("outcomes %+v, verdict %v", all.ByOutcome, res.Generator.Evaluate())
		}
		for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
			got, want := all.Latency.Quantile(q), srv.Quantile(q)
			if off := math.Abs(float64(got-want)) / float64(want); off > 0.03 {
				t.Errorf("quantile %v: measured %v, computed %v", q, got, want)
			}
		}
		closed := newHistogram(significantDigits)
		for at := 2 * time.Second; at < 22*time.Second; {
			took := srv.ExpectedResponseTime(at)
			closed.Record(took)
			at += took
		}
		if got := closed.Quantile(0.9); got > srv.Quantile(0.95) || closed.Quantile(0.98) > srv.Quantile(0.99)/2 {
			t.Errorf("the latencies of the closed loop should hide the stall, but show it: p90 %v, p98 %v", got, closed.Quantile(0.98))
		}
	})
}

// Each way in which a server misbehaves is counted under its own outcome, and no request waits forever.
func TestOutcomes(t *testing.T) {
	for _, x := range []struct {
		mode               server.Mode
		retry              bool
		want               client.Outcome
		requestsPerArrival int // requests at the server per arrival
	}{
		{server.Hang, true, client.TimedOut, 1}, {server.Reset, false, client.Reset, 1}, {server.Delayed, false, client.TimedOut, 1},
		{server.Reject, false, client.Rejected, 1}, {server.Reject, true, client.Rejected, 2}, {server.Answer, true, client.Served, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			res, srv := runLoad(t, server.Options{ServiceTime: ms, RetryAfter: 250 * ms, Delay: 2 * time.Second}, x.mode, constantRateShape(50), 2*time.Second,
				func(o *Options) { o.Retry = x.retry })
			all, c := res.All(), srv.Counts()
			if all.ByOutcome[x.want] != all.Arrivals || c.Requests != x.requestsPerArrival*int(all.Arrivals) || (c.Retries > 0) != (x.requestsPerArrival == 2) || all.WorthEarned > all.WorthDue {
				t.Errorf("%+v: outcomes %+v, server counted %+v", x, all.ByOutcome, c)
			}
			if x.requestsPerArrival == 2 && all.Retried != all.Arrivals {
				t.Errorf("%d of %d arrivals were retried", all.Retried, all.Arrivals)
			}
		})
	}
}

// Requests that are not sent because of the limit on open requests are counted under its name and make the run invalid.
func TestOpenLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		res, _ := runLoad(t, server.Options{}, server.Hang, constantRateShape(100), time.Second, func(o *Options) { o.MaxOpen = 10 })
		all, v := res.All(), res.Generator.Evaluate()
		if all.Unsent != all.Arrivals-10 || res.Generator.Unsent[UnsentAtOpenLimit] != all.Unsent || v.Valid || !strings.Contains(strings.Join(v.Reasons, ";"), UnsentAtOpenLimit) {
			t.Errorf("outcomes %+v, verdict %v", all, v)
		}
	})
}

// The results of two workers, encoded as JSON and merged, equal those of one worker that sends everything.
func TestWorkersMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := workload.Default()
		opt := server.Options{ServiceTime: 7 * ms, StallDuration: 100 * ms, StallInterval: time.Second}
		one, _ := runLoad(t, opt, server.Answer, s, 5*time.Second, nil)
		var sum *Results
		for w := range 2 {
			part, _ := runLoad(t, opt, server.Answer, s, 5*time.Second, func(o *Options) { o.Worker, o.Workers = w, 2 })
			text, err := json.Marshal(part)
			if err != nil {
				t.Fatal(err)
			}
			got := &Results{}
			if err := json.Unmarshal(text, got); err != nil {
				t.Fatal(err)
			}
			if sum == nil {
				sum = got
			} else if err := sum.Merge(got); err != nil {
				t.Fatal(err)
			}
		}
		for name, p := range one.Classes {
			o := sum.Classes[name]
			if p.Arrivals != o.Arrivals || p.ByOutcome != o.ByOutcome || !p.Latency.Equals(o.Latency.Histogram) || p.InAim != o.InAim {
				t.Errorf("%s: counts of one worker (%d arrivals) differ from those of two workers merged (%d arrivals)", name, p.Arrivals, o.Arrivals)
			}
		}
		if len(sum.Seconds) != len(one.Seconds) {
			t.Errorf("%d seconds merged, %d by one worker", len(sum.Seconds), len(one.Seconds))
		}
	})
}

// Recording a time must not allocate.
func TestRecordAllocates(t *testing.T) {
	h := newHistogram(significantDigits)
	if n := testing.AllocsPerRun(1000, func() { h.Record(1234 * time.Microsecond) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkRecord(b *testing.B) {
	h := newHistogram(significantDigits)
	b.ReportAllocs()
	for b.Loop() {
		h.Record(1234 * time.Microsecond)
	}
}
