// Package discovery maintains the endpoint list. It starts with a cached list and receives changes through a watch at the
// list service. Package watchtimer decides when a watch is opened, replaced or closed.
//
// Invariants:
//   - Updates are reported by one goroutine in the order in which they are applied. None is reported after the context of
//     Run has ended.
//   - Only a full list can decrease the version.
//   - A full list of an older version ends no drain and restores no removed node unless the node has restarted.
//   - An invalid entry does not remove its node and does not affect the other entries.
//   - After a call that ended, sent a malformed list or fell silent, the next call requests the changes after the current
//     version.
//
// The package does not apply exclusions and does not connect to nodes.
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

// invalidListLogInterval is the minimum interval between logged lists with invalid parts.
const invalidListLogInterval = time.Second

// Watcher maintains the endpoint list through a watch. The caller sets the exported fields before Run and does not change
// them afterwards. Only the goroutine of Run applies the messages of the calls, so that the list needs no lock.
type Watcher struct {
	Address     string                // host:port of the list service; updated by Run after SetAddress
	Version     int64                 // version of the current list; updated by Run
	CachedNodes []core.Node           // the list before the first call
	OnUpdate    func(core.ListUpdate) // receives each change and failure of the list; must not block for long
	Log         logrus.FieldLogger
	Timer       watchtimer.Settings
	Pacer       StartPacer // decides when a starting process calls; if nil, the timer decides
	OnUnchanged func()     // called when a watch reports no changes after the current version; may be nil

	nodes             map[string]core.Node // the current list; nil before the first use
	removedStartTimes map[string]float64   // start times of removed nodes, at most maxRemovedNodes

	initOnce       sync.Once
	addressChanges chan string
	received       chan callMessage

	timer              *watchtimer.Timer
	calls              map[int]context.CancelFunc // open calls by the id that the timer gave them
	lastInvalidListLog atomic.Int64               // elapsed time when an invalid list was last logged; 0 if never

	elapsed   func() time.Duration // time since the start of Run
	openWatch func(ctx context.Context, address string, version int64, put func(callMessage)) error
}

// StartPacer decides when a starting process calls the list service, until the first message arrives. Its methods must not
// block.
type StartPacer interface {
	CallDue() <-chan struct{} // the channel is ready when a call must be made
	CallFailed()              // called when a call was rejected, failed or stayed unanswered
}

// callMessage is a message that a call received, or the end of the call.
type callMessage struct {
	call      int
	list      *List // nil for a heartbeat and for the end of the call
	unchanged bool  // a heartbeat came before any list, so nothing has changed since the requested version
	err       error // set if the call has ended
}

// initChannels creates the channels at the first use, because SetAddress may be called before Run.
func (w *Watcher) initChannels() {
	w.initOnce.Do(func() { w.addressChanges, w.received = make(chan string), make(chan callMessage, 1) })
}

// SetAddress changes the address of the list service. The current call remains valid until a call to the new address
// receives a message or the current call ends. SetAddress returns false if the context ends before Run accepts the address.
func (w *Watcher) SetAddress(ctx context.Context, address string) bool {
	w.initChannels()
	return sync.SendOr(w.addressChanges, address, ctx.Done())
}

// Run maintains the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	start := time.Now()
	w.elapsed, w.openWatch = func() time.Duration { return time.Since(start) }, w.runCall
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	w.runWithTimer(ctx, wake.C, func(at time.Duration) { wake.Reset(at - w.elapsed()) })
}

// runWithTimer is Run with a timer of the caller. reset sets the elapsed time at which wake must fire.
func (w *Watcher) runWithTimer(ctx context.Context, wake <-chan time.Time, reset func(time.Duration)) {
	const ( // positions of the arguments of First5; 0 is the end of the context and 4 the pacer
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
		if ctx.Err() != nil { // First5 may have chosen another ready channel, but nothing may be reported after the end
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

// handleCallMessage applies a message of a call or its end. Messages of calls that are already closed are ignored.
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

// stepTimer passes an event to the timer and carries out its actions. If the timer reports that no call is live, cause is
// logged as the reason.
func (w *Watcher) stepTimer(ctx context.Context, e watchtimer.Event, cause error) {
	for _, a := range w.timer.Step(w.elapsed(), e) {
		switch a.Kind {
		case watchtimer.OpenCall:
			w.startCall(ctx, a.Call)
		case watchtimer.CloseCall:
			w.calls[a.Call]()
			delete(w.calls, a.Call)
		case watchtimer.ReportDown:
			// The timer reports this once until a call receives a message again, and not for each failed call.
			w.Log.WithFields(operr.Fields(cause)).Warn("endpoint list watch ended, reconnecting")
			w.OnUpdate(core.ListUpdate{Kind: policy.ListFailed})
		case watchtimer.ReportCallFailed:
			w.Pacer.CallFailed()
		}
	}
}

// handleMessage applies the list of a message, if it has one. A list older than the current one is applied only if it is a
// full list.
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
	update.Version = w.Version
	w.OnUpdate(update)
}

// startCall starts a call to the current address that requests the changes after the current version.
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
		var coded operr.Coded
		if !errors.As(err, &coded) {
			err = &CallError{address, err}
		}
		put(callMessage{err: err})
	})
}

// logInvalidParts logs the entries and addresses of a list that were ignored.
func (w *Watcher) logInvalidParts(list *List) {
	if len(list.InvalidEntries)+len(list.InvalidAddresses) == 0 || !w.allowInvalidListLog() {
		return
	}
	for _, err := range list.InvalidEntries {
		w.Log.WithFields(operr.Fields(err)).Warn("invalid entry of the endpoint list ignored")
	}
	for _, err := range list.InvalidAddresses {
		w.Log.WithFields(operr.Fields(err)).Warn("invalid address of an endpoint ignored")
	}
}

// allowInvalidListLog reports whether an invalid list may be logged now. At most one is logged per invalidListLogInterval,
// because an agent may be called many times a second and serve the same invalid list each time.
func (w *Watcher) allowInvalidListLog() bool {
	now, last := int64(w.elapsed()), w.lastInvalidListLog.Load()
	return (last == 0 || now-last >= int64(invalidListLogInterval)) && w.lastInvalidListLog.CompareAndSwap(last, max(now, 1))
}
