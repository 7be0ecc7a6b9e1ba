package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/fake/pacednode"
)

// maxReported is how many breaches of a test are printed.
const maxReported = 8

// start starts a deployment that ends with the test.
func start(t *testing.T, options Options) *Deployment {
	t.Helper()
	options.Dir = t.TempDir()
	if options.Daemon == "" {
		daemon, err := cluster.Build(t.Context(), options.Dir)
		if err != nil {
			t.Fatal(err)
		}
		options.Daemon = daemon
	}
	d, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// report fails the test if rules were broken.
func report(t *testing.T, broken []Breach) {
	t.Helper()
	for _, b := range broken[:min(len(broken), maxReported)] {
		t.Error(b)
	}
	if len(broken) > maxReported {
		t.Errorf("and %d more", len(broken)-maxReported)
	}
}

// Guards against a node's long answer being cut off while the node is still writing it: at the latency objective, at a pause,
// or at the deadline, and against other requests being rejected because of it.
func TestSlowLongAnswersArePassedOn(t *testing.T) {
	framings := []pacednode.Framing{pacednode.Length, pacednode.Chunked, pacednode.Close}
	for _, x := range []struct {
		pattern  pacednode.Pattern
		size     int
		duration time.Duration
		deadline time.Duration
	}{
		{pacednode.Steady, 190_000, 1400 * time.Millisecond, 2400 * time.Millisecond},
		{pacednode.Lumps, 167_000, 1700 * time.Millisecond, 2400 * time.Millisecond},
		{pacednode.LateBody, 260_000, 800 * time.Millisecond, 2400 * time.Millisecond},
		{pacednode.Steady, 190_000, 1400 * time.Millisecond, 800 * time.Millisecond},
		{pacednode.Lumps, 190_000, 2000 * time.Millisecond, 470 * time.Millisecond},
		{pacednode.LateBody, 260_000, 800 * time.Millisecond, 470 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%s over %v in %v", x.pattern, x.duration, x.deadline), func(t *testing.T) {
			t.Parallel()
			d := start(t, Options{Objective: 250 * time.Millisecond, Deadline: 2400 * time.Millisecond})
			report(t, SlowAnswers{Count: 30, Interval: 50 * time.Millisecond, Deadline: x.deadline, Script: func(i int) pacednode.Script {
				return pacednode.Script{Work: 10 * time.Millisecond, Size: x.size, Framing: framings[i%3], Pattern: x.pattern, Duration: x.duration}
			}}.Play(d, "long"))
		})
	}
}

// Guards against a late final answer where a node reads a long request slowly, or stops reading it.
func TestSlowlyReadRequestsAreAnsweredInTime(t *testing.T) {
	d := start(t, Options{Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond})
	var broken breaches
	var all sync.WaitGroup
	for i := range 24 {
		r := Request{ID: fmt.Sprint("w", i), Class: []string{ClassWrite, ClassKeyed}[i%2], Key: fmt.Sprint("k", i), Shard: i / 2 % 2,
			Deadline: time.Duration(1500-i%3*400) * time.Millisecond, Body: 300 << 10 << (i % 4), Script: pacednode.Script{ReadRate: 64 << 10}}
		all.Go(func() {
			o := d.Send(r)
			took := o.EndedAt.Sub(o.SentAt)
			if !o.Complete || took > r.Deadline+500*time.Millisecond {
				broken.add(ruleFinal, "%s of %d bytes, deadline %v: code %d after %v, %v", r.ID, r.Body, r.Deadline, o.Code, took, o.Err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	report(t, broken.all)
}
