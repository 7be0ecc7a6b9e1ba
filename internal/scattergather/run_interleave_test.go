//go:build interleave

package scattergather

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"wheatsaddle/gather"
	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/steps"
	"wheatsaddle/internal/interleave/sync"
)

// simulatedRead is one gathered read. Its attempts deliver their rows in pieces whose buffers the sender reuses at once, its
// client's writer may be preempted, and its clock is advanced by a thread.
type simulatedRead struct {
	parts, rows    int
	writeFails     bool // the writer fails, as if the client had disconnected
	mustBeComplete bool // the test injects no failure
	now, wakeAt    time.Duration
	wake           chan time.Time
	done           chan struct{}
	ended          bool
	got            []byte
	final          Final
}

// Send implements Sender. Each attempt is a thread of its own.
func (r *simulatedRead) Send(a Attempt, _ time.Time, to *Sink) {
	sync.Go(func() {
		text := partRows(a.Part.Shard, r.parts, r.rows)
		if a.Number > 1 {
			to.End(text, nil)
			return
		}
		first := len(text) - 2 // within a row
		piece := bytes.Clone(text[:first])
		wanted := to.Deliver(nil) && to.Deliver(piece) // an empty piece is consumed at once
		sync.Writes(&piece[0])
		for i := range piece { // the sender reuses the buffer
			piece[i] = 'x'
		}
		if wanted {
			to.End(text[first:], nil)
		} else {
			to.End(nil, errTruncated)
		}
	})
}

// Cancel implements Sender.
func (r *simulatedRead) Cancel(Attempt) {}

func (r *simulatedRead) write(rows []byte) error {
	before := bytes.Clone(rows)
	sync.Step("write", "client")
	if r.ended {
		il.Fail("written after the final answer")
	}
	if !bytes.Equal(rows, before) {
		il.Fail("the rows changed under the writer")
	}
	if r.got = append(r.got, rows...); r.writeFails {
		return errors.New("client disconnected")
	}
	return nil
}

// advance moves the clock to the next wake-up time, the given number of times.
func (r *simulatedRead) advance(times int) {
	for range times {
		sync.Step("time", "passes")
		r.now = r.wakeAt
		if !sync.SendOr(r.wake, time.Time{}, r.done) {
			return
		}
	}
}

// check verifies that the written rows are a prefix of the expected rows, and all of them if the answer says complete.
func (r *simulatedRead) check() error {
	want := partRows(0, 1, r.parts*r.rows)
	switch {
	case !bytes.HasPrefix(want, r.got):
		return fmt.Errorf("the written rows are not a prefix of the expected ones: %q", r.got)
	case r.final.Kind == Served && r.final.Result.Whole != bytes.Equal(want, r.got):
		return fmt.Errorf("the final answer %+v does not fit the rows %q", r.final, r.got)
	case r.mustBeComplete && r.final.Kind != Served:
		return fmt.Errorf("incomplete: %+v", r.final)
	case r.writeFails && r.final.Kind == Served:
		return errors.New("served although the client disconnected")
	}
	return nil
}

// Explores the interleavings of a part, its second attempt, the timer, a disconnecting client and the writer, a few at a time.
// There is one final answer, no row is lost, duplicated or changed, nothing is written after the answer, and every goroutine ends.
func TestInterleaveRun(t *testing.T) {
	rules := Rules{Merge: mergeRules(t, "all", ""), MergeTimeShare: .1, MaxConcurrentParts: 4, MaxRetries: 1, Idempotent: true}
	for _, x := range []struct {
		name           string
		parts, rows    int
		silenceTimeout time.Duration
		writeFails     bool
		preemptions    int
		threads        func(read *simulatedRead, disconnect func()) []il.Thread
		mutants        []mutant.Mutant
	}{
		{"second attempt", 1, 1, ms, false, 1, func(read *simulatedRead, _ func()) []il.Thread {
			return []il.Thread{{Name: "timer", Run: func() { read.advance(1) }}}
		}, []mutant.Mutant{
			{File: "run.go", Old: "			p.from.unconsumed = p.data\n", New: "			p.from.unconsumed = p.data\n			sync.TrySend(p.from.consumed, struct{}{})\n", Want: "data race: "},
			{File: "run.go", Old: "make(chan attemptEnd, len(g.parts)*", New: "make(chan attemptEnd, 0*len(g.parts)*", Want: "deadlock: "}}},
		{"client disconnects", 1, 150, 0, false, 1, func(_ *simulatedRead, disconnect func()) []il.Thread {
			return []il.Thread{{Name: "client", Run: disconnect}}
		}, []mutant.Mutant{
			{File: "run.go", Old: "sync.SendOrEither(s.pieces, piece{s, data}, s.cancelled, s.done)", New: "sync.SendOr(s.pieces, piece{s, data}, make(chan int))", Want: "deadlock: "},
			{File: "run.go", Old: "sync.First3(s.consumed, s.cancelled, s.done)", New: "sync.First3(s.consumed, (chan struct{})(nil), (chan struct{})(nil))", Want: "deadlock: "}}},
		{"write fails", 1, 150, 0, true, 1, func(*simulatedRead, func()) []il.Thread { return nil }, []mutant.Mutant{
			{File: "run.go", Old: "			sync.Send(written, opt.Write(b))\n", New: "			opt.Write(b)\n			sync.Send(written, error(nil))\n", Want: "served although the client disconnected"}}},
		{"two parts", 2, 100, 0, false, 0, func(*simulatedRead, func()) []il.Thread { return nil }, []mutant.Mutant{
			{File: "run.go", Old: "				if writing {\n", New: "				if false {\n", Want: "written after the final answer"},
			{File: "run.go", Old: "			s.unconsumed = s.unconsumed[n:]\n", New: "			s.unconsumed = nil\n", Want: "incomplete"},
			{File: "run.go", Old: "	if len(data) == 0 {\n		return true\n	}\n", New: "", Want: "deadlock: "}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := rules
			r.SilenceTimeout = x.silenceTimeout
			var parts []gather.Part
			for i := range x.parts {
				parts = append(parts, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
			}
			il.Check(t, il.Options{Bounded: true, Preemptions: x.preemptions}, func() il.Program {
				read := &simulatedRead{parts: x.parts, rows: x.rows, writeFails: x.writeFails, mustBeComplete: x.name == "second attempt" || x.name == "two parts", wake: make(chan time.Time), done: make(chan struct{})}
				ctx, disconnect := steps.RootContext(context.Background())
				g, err := New(r, time.Second, parts)
				if err != nil {
					t.Fatal(err)
				}
				return il.Program{
					Threads: append([]il.Thread{{Name: "run", Run: func() {
						read.final = run(ctx, g, read, Options{MaxPartBytes: 1 << 10, Write: read.write},
							clock{func() time.Duration { return read.now }, read.wake, func(at time.Duration) { read.wakeAt = at }})
						read.ended = true
						sync.Close(read.done)
					}}}, x.threads(read, disconnect)...),
					Check: read.check,
				}
			})
			mutant.AssertDetected(t, x.mutants...)
		})
	}
}
