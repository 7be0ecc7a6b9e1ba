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

// walked is one gathered read: parts whose askings bring their rows in pieces that the sender uses again at
// once, a client's writer that takes its time, and a clock that goes on when a thread says so.
type walked struct {
	parts, rows int
	fails       bool // the writer: the client has left
	whole       bool // nothing is in the way of it
	now, due    time.Duration
	wake        chan time.Time
	over        chan struct{}
	ended       bool
	got         []byte
	final       Final
}

// Ask implements Asker: each asking is a thread of its own.
func (d *walked) Ask(a Ask, _ time.Time, to *Sink) {
	sync.Go(func() {
		text := body(a.Part.Shard, d.parts, d.rows)
		if a.Copy > 1 {
			to.End(text, nil)
			return
		}
		first := len(text) - 2 // within a row
		piece := bytes.Clone(text[:first])
		more := to.Piece(nil) && to.Piece(piece) // an empty one is taken at once
		sync.Writes(&piece[0])
		for i := range piece { // it is the sender's again
			piece[i] = 'x'
		}
		if more {
			to.End(text[first:], nil)
		} else {
			to.End(nil, errCut)
		}
	})
}

// Off implements Asker.
func (d *walked) Off(Ask) {}

func (d *walked) write(rows []byte) error {
	was := bytes.Clone(rows)
	sync.Point("write", "client")
	if d.ended {
		il.Fail("written after the final answer")
	}
	if !bytes.Equal(rows, was) {
		il.Fail("the rows changed under the writer")
	}
	if d.got = append(d.got, rows...); d.fails {
		return errors.New("left")
	}
	return nil
}

// goes lets the time come that is waited for, so many times.
func (d *walked) goes(times int) {
	for range times {
		sync.Point("time", "passes")
		d.now = d.due
		if !sync.SendOr(d.wake, time.Time{}, d.over) {
			return
		}
	}
}

// holds: whole where the answer says so, and in no case anything but the beginning of the rows.
func (d *walked) holds() error {
	want := body(0, 1, d.parts*d.rows)
	switch {
	case !bytes.HasPrefix(want, d.got):
		return fmt.Errorf("rows %q", d.got)
	case d.final.Kind == Served && d.final.Result.Whole != bytes.Equal(want, d.got):
		return fmt.Errorf("%+v with the rows %q", d.final, d.got)
	case d.whole && d.final.Kind != Served:
		return fmt.Errorf("not whole: %+v", d.final)
	case d.fails && d.final.Kind == Served:
		return errors.New("served, and the client has left")
	}
	return nil
}

// A part, its second copy, the timer, the client's going and the writer, a few at a time: one final
// answer, no row lost, doubled or changed, nothing written after it, and every goroutine ends.
func TestInterleaveRun(t *testing.T) {
	rules := Rules{Merge: mergeRules(t, "all", ""), Share: .1, AtOnce: 4, Again: 1, Safe: true}
	for _, x := range []struct {
		name        string
		parts, rows int
		silent      time.Duration
		fails       bool
		most        int // preemptions
		add         func(d *walked, leave func()) []il.Thread
		lost        []mutant.Mutant
	}{
		{"copy", 1, 1, ms, false, 1, func(d *walked, _ func()) []il.Thread {
			return []il.Thread{{Name: "timer", Run: func() { d.goes(1) }}}
		}, []mutant.Mutant{
			{File: "run.go", Old: "			p.from.held = p.data\n", New: "			p.from.held = p.data\n			sync.TrySend(p.from.took, struct{}{})\n", Want: "data race: "},
			{File: "run.go", Old: "make(chan ending, len(g.parts)*(1+max(g.r.Again, copiesMost)+moreMost+refusedMost))", New: "make(chan ending)", Want: "deadlock: "}}},
		{"leave", 1, 150, 0, false, 1, func(_ *walked, leave func()) []il.Thread {
			return []il.Thread{{Name: "client", Run: leave}}
		}, []mutant.Mutant{
			{File: "run.go", Old: "sync.SendOrEither(s.pieces, piece{s, data}, s.off, s.done)", New: "sync.SendOr(s.pieces, piece{s, data}, make(chan int))", Want: "deadlock: "},
			{File: "run.go", Old: "sync.First3(s.took, s.off, s.done)", New: "sync.First3(s.took, (chan struct{})(nil), (chan struct{})(nil))", Want: "deadlock: "}}},
		{"write", 1, 150, 0, true, 1, func(*walked, func()) []il.Thread { return nil }, []mutant.Mutant{
			{File: "run.go", Old: "			sync.Send(wrote, opt.Write(b))\n", New: "			opt.Write(b)\n			sync.Send(wrote, error(nil))\n", Want: "served, and the client has left"}}},
		{"parts", 2, 100, 0, false, 0, func(*walked, func()) []il.Thread { return nil }, []mutant.Mutant{
			{File: "run.go", Old: "				if busy {\n", New: "				if false {\n", Want: "written after the final answer"},
			{File: "run.go", Old: "			s.held = s.held[n:]\n", New: "			s.held = nil\n", Want: "not whole"},
			{File: "run.go", Old: "	if len(data) == 0 {\n		return true\n	}\n", New: "", Want: "deadlock: "}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := rules
			r.Silent = x.silent
			var parts []gather.Part
			for i := range x.parts {
				parts = append(parts, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
			}
			il.Check(t, il.Options{Bounded: true, Preemptions: x.most}, func() il.World {
				d := &walked{parts: x.parts, rows: x.rows, fails: x.fails, whole: x.name == "copy" || x.name == "parts", wake: make(chan time.Time), over: make(chan struct{})}
				ctx, leave := steps.Root(context.Background())
				g, err := New(r, time.Second, parts)
				if err != nil {
					t.Fatal(err)
				}
				return il.World{
					Threads: append([]il.Thread{{Name: "run", Run: func() {
						d.final = run(ctx, g, d, Options{PartMost: 1 << 10, Write: d.write},
							clock{func() time.Duration { return d.now }, d.wake, func(at time.Duration) { d.due = at }})
						d.ended = true
						sync.Close(d.over)
					}}}, x.add(d, leave)...),
					Check: d.holds,
				}
			})
			mutant.Found(t, x.lost...)
		})
	}
}
