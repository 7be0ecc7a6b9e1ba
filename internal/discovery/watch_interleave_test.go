//go:build interleave

package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/steps"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/policy"
)

// interleavedWatcher is a watcher with two list services: each call reads the texts of its address, and then stays
// open until it is closed, or ends.
type interleavedWatcher struct {
	w                  *Watcher
	ctx                context.Context
	stop               func()
	texts              map[string][]string
	ends               bool // the old service's calls end after their texts
	wake               chan time.Time
	now                time.Duration
	due                time.Duration
	open               int // number of open calls
	stopped            bool
	ended              bool // Run has returned
	received           []int
	stopAtLastVersion  bool              // stop when version 4 was received
	oldCalls           []context.Context // of the calls at the old address
	newAddressAnswered bool              // a call at the new address brought a message
}

func version(n int, full bool) string {
	return listText(n, full, strings.Replace(sampleEntry, "s-1", fmt.Sprint("s-", n), 1)) + "\n"
}

func newInterleavedWatcher(texts map[string][]string, ends bool) *interleavedWatcher {
	log, _ := logtest.NewNullLogger()
	d := &interleavedWatcher{texts: texts, ends: ends, wake: make(chan time.Time)}
	d.w = &Watcher{Address: "old", Log: log, OnUpdate: d.onUpdate, Timer: watchtimer.Settings{Pushed: true}}
	d.w.elapsed, d.w.openWatch = func() time.Duration { return d.now }, d.call
	ctx, cancel := steps.Root(context.Background())
	d.ctx, d.stop = ctx, func() { cancel(); d.stopped = true }
	return d
}

func (d *interleavedWatcher) onUpdate(n core.ListUpdate) {
	if d.ended {
		il.Fail("update after the watcher ended")
	}
	if n.Kind == policy.ListFailed {
		return
	}
	if n.Nodes[0].Zone == "late" {
		il.Fail("update with a message from after the stop")
	}
	v := 0
	if _, err := fmt.Sscanf(n.Nodes[0].ID, "s-%d", &v); err != nil {
		il.Fail("unexpected update %+v", n)
	}
	if len(d.received) > 0 && v < d.received[len(d.received)-1] {
		il.Fail("received version %d after %v", v, d.received)
	}
	if d.received = append(d.received, v); v == 4 && d.stopAtLastVersion {
		d.stop()
	}
}

// call replaces only the network: readLines of the watcher reads the lines.
func (d *interleavedWatcher) call(ctx context.Context, address string, _ int64, put func(callMessage)) error {
	d.open++
	defer func() { d.open-- }()
	if address == "old" {
		d.oldCalls = append(d.oldCalls, ctx)
	}
	return d.w.readLines(&scriptedStream{d, ctx, address, d.texts[address]}, func(l callMessage) {
		if d.stopped && l.list != nil {
			l.list.Nodes[0].Zone = "late"
		}
		d.newAddressAnswered = d.newAddressAnswered || address == "new"
		put(l)
	})
}

type scriptedStream struct {
	*interleavedWatcher
	ctx     context.Context
	address string
	left    []string
}

func (s *scriptedStream) Read(p []byte) (n int, err error) {
	if len(s.left) == 0 {
		if s.ends && s.address == "old" {
			return 0, io.EOF
		}
		sync.Recv(s.ctx.Done())
		return 0, io.ErrClosedPipe
	}
	n = copy(p, s.left[0])
	s.left = s.left[1:]
	return n, nil
}

// oldCallStaysOpen checks that the old address's call, once it brought a list, stays open until the new one is answered.
func (d *interleavedWatcher) oldCallStaysOpen() error {
	if len(d.received) > 0 && len(d.oldCalls) > 0 && d.oldCalls[0].Err() != nil && !d.newAddressAnswered {
		return errors.New("the old call was closed before the new one was answered")
	}
	return nil
}

func (d *interleavedWatcher) run() {
	d.w.runWithTimer(d.ctx, d.wake, func(at time.Duration) { d.due = at })
	d.ended = true
}

func (d *interleavedWatcher) allCallsClosed() error {
	if d.open != 0 {
		return fmt.Errorf("%d calls are still open", d.open)
	}
	return nil
}

// With calls that end or fall silent, timer events, an address change and a stop in any order, no message from after
// the stop is reported, no call stays open, and no goroutine waits forever.
func TestInterleaveWatchStop(t *testing.T) {
	fireTimer := func(d *interleavedWatcher) {
		sync.Point("time", "passes")
		d.now = d.due
		sync.SendOr(d.wake, time.Time{}, d.ctx.Done())
	}
	changeAddress := func(d *interleavedWatcher) {
		if !d.w.SetAddress(d.ctx, "new") && d.ctx.Err() == nil {
			il.Fail("the address change was not accepted")
		}
	}
	for _, x := range []struct {
		name        string
		run         func(*interleavedWatcher)
		ends        bool
		preemptions int
		texts       map[string][]string
		mutants     []mutant.Mutant
	}{
		{"ends", fireTimer, true, 0, map[string][]string{"old": {version(1, true)}}, nil},
		{"silent", fireTimer, false, 1, map[string][]string{"old": {version(1, true)}}, []mutant.Mutant{
			{File: "watch.go", Old: "		if ctx.Err() != nil { //", New: "		if which == 0 { //", Want: "update with a message from after the stop"},
			{File: "watch.go", Old: "			sync.SendOr(w.received, message, callCtx.Done())", New: "			sync.Send(w.received, message)", Want: "deadlock: watch.1 at send"}}},
		{"change", changeAddress, false, 1, map[string][]string{"new": {version(3, true)}}, []mutant.Mutant{
			{File: "watch.go", Old: "	return sync.SendOr(w.addressChanges, address, ctx.Done())", New: "	sync.Send(w.addressChanges, address)\n	return true",
				Want: "deadlock: change at send"}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			il.Check(t, il.Options{Bounded: true, Preemptions: x.preemptions}, func() il.World {
				d := newInterleavedWatcher(x.texts, x.ends)
				return il.World{
					Threads: []il.Thread{
						{Name: "watch", Run: d.run},
						{Name: x.name, Run: func() { x.run(d) }},
						{Name: "stop", Run: d.stop},
					},
					Check: d.allCallsClosed,
				}
			})
			mutant.Found(t, x.mutants...)
		})
	}
}

// After an address change the call at the old address is valid until the new one is answered; after that nothing of it
// is reported, and nothing of the new one is lost.
func TestInterleaveAddressChange(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.World {
		d := newInterleavedWatcher(map[string][]string{"old": {version(1, true), version(2, false)}, "new": {version(3, true), version(4, false)}}, false)
		d.stopAtLastVersion = true
		return il.World{
			Threads: []il.Thread{
				{Name: "watch", Run: d.run},
				{Name: "change", Run: func() { d.w.SetAddress(d.ctx, "new") }},
			},
			Always: d.oldCallStaysOpen,
			Check: func() error {
				if got := fmt.Sprint(d.received); got != "[3 4]" && got != "[1 3 4]" && got != "[1 2 3 4]" {
					return fmt.Errorf("received %s", got)
				}
				return d.allCallsClosed()
			},
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "watch.go", Old: "	case w.calls[message.call] == nil: // the call is over\n	case message.err != nil:",
			New: "	case message.err != nil && w.calls[message.call] != nil:", Want: "received [2 3 4]"},
		mutant.Mutant{File: "watch.go", Old: "	address, version := w.Address, w.Version\n	sync.Go(func() {\n",
			New: "	address := w.Address\n	sync.Go(func() {\n		sync.Reads(&w.Version)\n		version := w.Version\n", Want: "data race: "},
		mutant.Mutant{File: "watch.go", Old: "				w.Address = address\n", New: "				w.Address = address\n				w.calls[1]()\n",
			Want: "the old call was closed before the new one was answered"},
	)
}
