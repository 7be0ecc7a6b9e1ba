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

// interleavedWatcher is a watcher with two fake list services. Each call receives the texts of its address, and then ends
// or stays open until it is closed.
type interleavedWatcher struct {
	watcher            *Watcher
	ctx                context.Context
	stop               func()
	textsByAddress     map[string][]string
	oldCallsEnd        bool // calls to the old address end after their texts
	wake               chan time.Time
	now                time.Duration
	nextTimer          time.Duration // when the watcher's timer is to fire
	openCalls          int           // number of calls that have not returned
	stopped            bool
	ended              bool // Run has returned
	received           []int
	stopAtLastVersion  bool              // stop when version 4 was received
	oldCalls           []context.Context // contexts of the calls to the old address
	newAddressAnswered bool              // a call to the new address received a message
}

// versionText returns the line of a list of version n, whose only node is s-n.
func versionText(n int, full bool) string {
	return listText(n, full, strings.Replace(sampleEntry, "s-1", fmt.Sprint("s-", n), 1)) + "\n"
}

func newInterleavedWatcher(texts map[string][]string, ends bool) *interleavedWatcher {
	log, _ := logtest.NewNullLogger()
	w := &interleavedWatcher{textsByAddress: texts, oldCallsEnd: ends, wake: make(chan time.Time)}
	w.watcher = &Watcher{Address: "old", Log: log, OnUpdate: w.onUpdate, Timer: watchtimer.Settings{Pushed: true}}
	w.watcher.elapsed, w.watcher.openWatch = func() time.Duration { return w.now }, w.call
	ctx, cancel := steps.RootContext(context.Background())
	w.ctx, w.stop = ctx, func() { cancel(); w.stopped = true }
	return w
}

// onUpdate checks that updates arrive in the order of their versions, and none after the stop.
func (w *interleavedWatcher) onUpdate(update core.ListUpdate) {
	if w.ended {
		il.Fail("update after the watcher ended")
	}
	if update.Kind == policy.ListFailed {
		return
	}
	if update.Nodes[0].Zone == "late" {
		il.Fail("update with a message from after the stop")
	}
	v := 0
	if _, err := fmt.Sscanf(update.Nodes[0].ID, "s-%d", &v); err != nil {
		il.Fail("unexpected update %+v", update)
	}
	if len(w.received) > 0 && v < w.received[len(w.received)-1] {
		il.Fail("received version %d after %v", v, w.received)
	}
	if w.received = append(w.received, v); v == 4 && w.stopAtLastVersion {
		w.stop()
	}
}

// call replaces only the network. The lines are still read by the watcher's readLines. Lists that are read after the stop get
// the zone "late", by which onUpdate detects them.
func (w *interleavedWatcher) call(ctx context.Context, address string, _ int64, put func(callMessage)) error {
	w.openCalls++
	defer func() { w.openCalls-- }()
	if address == "old" {
		w.oldCalls = append(w.oldCalls, ctx)
	}
	return w.watcher.readLines(&scriptedStream{w, ctx, address, w.textsByAddress[address]}, func(message callMessage) {
		if w.stopped && message.list != nil {
			message.list.Nodes[0].Zone = "late"
		}
		w.newAddressAnswered = w.newAddressAnswered || address == "new"
		put(message)
	})
}

// scriptedStream is the response to one call.
type scriptedStream struct {
	*interleavedWatcher
	ctx       context.Context
	address   string
	remaining []string
}

func (s *scriptedStream) Read(p []byte) (n int, err error) {
	if len(s.remaining) == 0 {
		if s.oldCallsEnd && s.address == "old" {
			return 0, io.EOF
		}
		sync.Recv(s.ctx.Done())
		return 0, io.ErrClosedPipe
	}
	n = copy(p, s.remaining[0])
	s.remaining = s.remaining[1:]
	return n, nil
}

// oldCallStaysOpen checks that a call to the old address that has received a list stays open until a call to the new
// address is answered.
func (w *interleavedWatcher) oldCallStaysOpen() error {
	if len(w.received) > 0 && len(w.oldCalls) > 0 && w.oldCalls[0].Err() != nil && !w.newAddressAnswered {
		return errors.New("the old call was closed before the new one was answered")
	}
	return nil
}

func (w *interleavedWatcher) run() {
	w.watcher.runWithTimer(w.ctx, w.wake, func(at time.Duration) { w.nextTimer = at })
	w.ended = true
}

func (w *interleavedWatcher) allCallsClosed() error {
	if w.openCalls != 0 {
		return fmt.Errorf("%d calls are still open", w.openCalls)
	}
	return nil
}

// Calls end or fall silent, the timer fires, the address changes and the watcher is stopped, in every order. No message
// that arrives after the stop is reported, no call stays open, and no goroutine blocks forever.
func TestInterleaveWatchStop(t *testing.T) {
	fireTimer := func(watcher *interleavedWatcher) {
		sync.Step("time", "passes")
		watcher.now = watcher.nextTimer
		sync.SendOr(watcher.wake, time.Time{}, watcher.ctx.Done())
	}
	changeAddress := func(watcher *interleavedWatcher) {
		if !watcher.watcher.SetAddress(watcher.ctx, "new") && watcher.ctx.Err() == nil {
			il.Fail("the address change was not accepted")
		}
	}
	for _, tc := range []struct {
		name        string
		run         func(*interleavedWatcher)
		ends        bool
		preemptions int
		texts       map[string][]string
		mutants     []mutant.Mutant
	}{
		{"ends", fireTimer, true, 0, map[string][]string{"old": {versionText(1, true)}}, nil},
		{"silent", fireTimer, false, 1, map[string][]string{"old": {versionText(1, true)}}, []mutant.Mutant{
			{File: "watch.go", Old: "		if ctx.Err() != nil { //", New: "		if which == 0 { //", Want: "update with a message from after the stop"},
			{File: "watch.go", Old: "			sync.SendOr(w.received, message, callCtx.Done())", New: "			sync.Send(w.received, message)", Want: "deadlock: watch.1 at send"}}},
		{"change", changeAddress, false, 1, map[string][]string{"new": {versionText(3, true)}}, []mutant.Mutant{
			{File: "watch.go", Old: "	return sync.SendOr(w.addressChanges, address, ctx.Done())", New: "	sync.Send(w.addressChanges, address)\n	return true",
				Want: "deadlock: change at send"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			il.Check(t, il.Options{Bounded: true, Preemptions: tc.preemptions}, func() il.Program {
				watcher := newInterleavedWatcher(tc.texts, tc.ends)
				return il.Program{
					Threads: []il.Thread{
						{Name: "watch", Run: watcher.run},
						{Name: tc.name, Run: func() { tc.run(watcher) }},
						{Name: "stop", Run: watcher.stop},
					},
					Check: watcher.allCallsClosed,
				}
			})
			mutant.AssertDetected(t, tc.mutants...)
		})
	}
}

// After an address change the call to the old address is valid until a call to the new address is answered. After that
// nothing of the old call is reported, and no message of the new call is lost.
func TestInterleaveAddressChange(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		watcher := newInterleavedWatcher(map[string][]string{"old": {versionText(1, true), versionText(2, false)}, "new": {versionText(3, true), versionText(4, false)}}, false)
		watcher.stopAtLastVersion = true
		return il.Program{
			Threads: []il.Thread{
				{Name: "watch", Run: watcher.run},
				{Name: "change", Run: func() { watcher.watcher.SetAddress(watcher.ctx, "new") }},
			},
			Invariant: watcher.oldCallStaysOpen,
			Check: func() error {
				if got := fmt.Sprint(watcher.received); got != "[3 4]" && got != "[1 3 4]" && got != "[1 2 3 4]" {
					return fmt.Errorf("received %s", got)
				}
				return watcher.allCallsClosed()
			},
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "watch.go", Old: "	case w.calls[message.call] == nil: // the call is over\n	case message.err != nil:",
			New: "	case message.err != nil && w.calls[message.call] != nil:", Want: "received [2 3 4]"},
		mutant.Mutant{File: "watch.go", Old: "	address, version := w.Address, w.Version\n	sync.Go(func() {\n",
			New: "	address := w.Address\n	sync.Go(func() {\n		sync.Reads(&w.Version)\n		version := w.Version\n", Want: "data race: "},
		mutant.Mutant{File: "watch.go", Old: "				w.Address = address\n", New: "				w.Address = address\n				w.calls[1]()\n",
			Want: "the old call was closed before the new one was answered"},
	)
}
