// Package discovery maintains the list of nodes: it begins with a cached list and follows changes through a watch at
// the list's service. watchtimer decides when a watch is opened, replaced or closed.
//
// Invariants:
//   - Updates are reported by one goroutine, in the order in which they are applied, and none after Run's context ended.
//   - The version never goes back, except by a full list.
//   - A full list of an older version ends no drain and restores no removed node unless the node has restarted.
//   - An invalid entry neither removes its node nor affects the other entries.
//   - Whenever a call ends, is malformed or falls silent, the next one requests the changes after the current version.
//
// It keeps no exclusions and does not connect to nodes.
package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// invalidListLogInterval is the minimum time between log lines about invalid lists.
const invalidListLogInterval = time.Second

// Watcher maintains the list of nodes through a watch. The exported fields are set before Run and not changed after it.
// The goroutine of Run alone applies what calls read, so that the list needs no lock.
type Watcher struct {
	Address     string                // host:port of the list's service; Run sets it at an address change
	Version     int64                 // of the current list
	CachedNodes []core.Node           // the list before the first call
	OnUpdate    func(core.ListUpdate) // receives each change and failure of the list; must not block for long
	Log         logrus.FieldLogger
	Timer       watchtimer.Settings
	Pacer       StartPacer // decides when a starting process calls; nil: the timer does
	OnUnchanged func()     // called when a watch reports that nothing followed the current version; may be nil

	nodes             map[string]core.Node // the current list; nil before its first use
	removedStartTimes map[string]float64   // start times of removed nodes, at most maxRemovedNodes

	initOnce       sync.Once
	addressChanges chan string
	received       chan callMessage

	timer              *watchtimer.Timer
	calls              map[int]context.CancelFunc // open calls, by the timer's number
	lastInvalidListLog atomic.Int64               // elapsed time of the last log line about an invalid list; 0: none

	elapsed   func() time.Duration // since the start
	openWatch func(ctx context.Context, address string, version int64, put func(callMessage)) error
}

// StartPacer decides when a starting process calls for the list, until the first message. Its methods must not block.
type StartPacer interface {
	CallDue() <-chan struct{} // ready when a call is to be made
	CallFailed()              // a call was rejected, failed or stayed unanswered
}

// callMessage is one message that a call read, or the call's end.
type callMessage struct {
	call      int
	list      *List // nil: a heartbeat, or the end
	unchanged bool  // a heartbeat before any list: nothing followed the requested version
	err       error // the call has ended
}

// initChannels makes the channels at first use, as SetAddress may be called before Run.
func (w *Watcher) initChannels() {
	w.initOnce.Do(func() { w.addressChanges, w.received = make(chan string), make(chan callMessage, 1) })
}

// SetAddress changes the address of the list's service. The current call remains valid until a call at the new address
// brings a message or the current one ends. Move returns false if the context ended first.
func (w *Watcher) SetAddress(ctx context.Context, address string) bool {
	w.initChannels()
	return sync.SendOr(w.addressChanges, address, ctx.Done())
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	start := time.Now()
	w.elapsed, w.openWatch = func() time.Duration { return time.Since(start) }, w.runCall
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	w.runWithTimer(ctx, wake.C, func(at time.Duration) { wake.Reset(at - w.elapsed()) })
}

// runWithTimer is Run with the caller's timer: reset sets the time at which wake must fire.
func (w *Watcher) runWithTimer(ctx context.Context, wake <-chan time.Time, reset func(time.Duration)) {
	const ( // the order of the arguments of First5; 0 is the stop, 4 the pacer
		addressChanged  = 1
		timerFired      = 2
		messageReceived = 3
	)
	w.initChannels()
	settings := w.Timer
	var due <-chan struct{}
	if w.Pacer != nil {
		settings.ExternallyPaced, due = true, w.Pacer.CallDue()
	}
	w.timer, w.calls = watchtimer.New(settings), map[int]context.CancelFunc{}
	w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.Started}, nil)
	for {
		reset(w.timer.NextTimer())
		_, address, _, message, _, which := sync.First5(ctx.Done(), w.addressChanges, wake, w.received, due)
		if ctx.Err() != nil { // the select may have chosen another ready case; nothing is reported after the stop
			return
		}
		switch which {
		case addressChanged:
			if address != w.Address {
				w.Address = address
				w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.AddressChanged}, nil)
			}
		case timerFired:
			w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.TimerFired}, &WatchSilentError{})
		case messageReceived:
			w.handleCallMessage(ctx, message)
		default:
			w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.RequestDue}, nil)
		}
	}
}

// handleCallMessage applies a message of a call, or its end. What arrives from a call already closed is ignored.
func (w *Watcher) handleCallMessage(ctx context.Context, message callMessage) {
	switch {
	case w.calls[message.call] == nil: // the call is over
	case message.err != nil:
		w.calls[message.call]()
		delete(w.calls, message.call)
		w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.CallEnded, Call: message.call}, message.err)
	default:
		w.stepTimer(ctx, watchtimer.Event{Kind: watchtimer.MessageReceived, Call: message.call}, nil)
		w.handleMessage(message)
	}
}

// stepTimer gives the timer an event and carries out its actions; cause is logged if the list goes down.
func (w *Watcher) stepTimer(ctx context.Context, e watchtimer.Event, cause error) {
	for _, a := range w.timer.Step(w.elapsed(), e) {
		switch a.Kind {
		case watchtimer.OpenCall:
			w.startCall(ctx, a.Call)
		case watchtimer.CloseCall:
			w.calls[a.Call]()
			delete(w.calls, a.Call)
		case watchtimer.ReportDown:
			// The timer reports this once for each time the list goes down, not for each failed call.
			w.Log.WithFields(operr.Fields(cause)).Warn("endpoint list watch ended, reconnecting")
			w.OnUpdate(core.ListUpdate{Kind: policy.ListFailed})
		case watchtimer.ReportMissed:
			w.Pacer.CallFailed()
		}
	}
}

// handleMessage applies a list. A list older than the current one is applied only if it is a full one.
func (w *Watcher) handleMessage(message callMessage) {
	if message.unchanged && w.OnUnchanged != nil {
		w.OnUnchanged()
	}
	// A change older than the current version comes from a source that lags behind the watch it replaces.
	if message.list == nil || !message.list.Full && message.list.Version < w.Version {
		return
	}
	if message.list.Full && message.list.Version < w.Version {
		w.preserveDrainsAndRemovals(message.list)
	}
	sync.Writes(&w.Version)
	w.Version = message.list.Version
	update := w.applyList(*message.list)
	update.Index = w.Version
	w.OnUpdate(update)
}

// startCall starts a call at the current address, from the current version.
func (w *Watcher) startCall(ctx context.Context, call int) {
	callCtx, stop := sync.WithCancel(ctx)
	w.calls[call] = stop
	address, version := w.Address, w.Version
	sync.Go(func() {
		put := func(message callMessage) {
			message.call = call
			sync.SendOr(w.received, message, callCtx.Done())
		}
		err := w.openWatch(callCtx, address, version, put)
		var c operr.Coded
		if !errors.As(err, &c) {
			err = &CallError{address, err}
		}
		put(callMessage{err: err})
	})
}

// logInvalidParts logs the entries and addresses of a list that were ignored.
func (w *Watcher) logInvalidParts(l *List) {
	if len(l.InvalidEntries)+len(l.InvalidAddresses) == 0 || !w.allowInvalidListLog() {
		return
	}
	for _, bad := range l.InvalidEntries {
		w.Log.WithFields(operr.Fields(bad)).Warn("invalid entry of the endpoint list ignored")
	}
	for _, bad := range l.InvalidAddresses {
		w.Log.WithFields(operr.Fields(bad)).Warn("invalid address of an endpoint ignored")
	}
}

// allowInvalidListLog limits the log of invalid lists to one in invalidListLogInterval: an agent may be called many times a
// second and serve the same invalid list each time.
func (w *Watcher) allowInvalidListLog() bool {
	now, last := int64(w.elapsed()), w.lastInvalidListLog.Load()
	return (last == 0 || now-last >= int64(invalidListLogInterval)) && w.lastInvalidListLog.CompareAndSwap(last, max(now, 1))
}
