// Package watchtimer decides when a scheduler calls the list service. It records when each call last received a message,
// detects silent calls and opens a replacement while the silent call stays open. It ensures the staleness bound, which is
// the time within which a change of the list must be received. It is driven by discovery.Watcher. It does not interpret lists,
// reads no clock and does no I/O: Step receives events and the time, and returns actions.
//
// A call is a watch. It stays open and receives each change, and a message at least every HeartbeatInterval. There are two
// modes:
//   - Pushed: an agent on the scheduler's own machine serves the list. It answers at once and at no cost, and its list
//     counts as known whether or not a call is open.
//   - Pulled: a service of fixed capacity serves the whole fleet. Calls are queued there, and a call that times out in the
//     queue wastes capacity.
//
// Invariants:
//   - A call that received no message for its silence timeout (2.5 s pushed, 3 s pulled) is silent, and another call is
//     opened. The silent call is closed only when the other call receives a message, so that there is always an open call
//     that may receive a change.
//   - Pushed: while no call is live, one is opened at once and then one every RetryInterval until one is answered. The
//     interval is constant, because a call to the local agent is free. An unanswered call stays open until MaxOpenCalls
//     is reached, because an agent that recovers may answer calls made during its outage.
//   - A rejected call counts as a failed call.
//   - Pulled: an unanswered call is closed after ResponseTimeout. The backoff is random and doubles with each consecutive
//     failed call, up to MaxBackoffFactor times the first one, so that all schedulers whose calls fail together make at
//     most FleetCallsPerSecond calls a second.
//   - Pulled: while no call is live, the next call is opened at most StalenessBound less the answer reserve after the
//     previous one, whether that was rejected, failed, was closed or is still unanswered. A change that the service can
//     deliver is therefore received within StalenessBound. This bound takes precedence over FleetCallsPerSecond: in a
//     fleet of more than FleetCallsPerSecond * (StalenessBound - answer reserve) schedulers, each scheduler calls about
//     once in that time, and the calls are evenly spread.
//   - Pulled: after a live call ended or fell silent, the next call is opened before StalenessBound has passed since the
//     last message. If the replacement of a silent call stays unanswered, one more call is opened. Here too the bound
//     takes precedence over the spread of the fleet's calls.
//   - Externally paced (pulled only): until the first message, the caller decides when to call (RequestDue) and is
//     notified of each failed call (ReportCallFailed). The staleness bound, counted from the start, still applies: if
//     needed, a call is opened without RequestDue and regardless of any other wait.
//   - At most MaxOpenCalls calls are open. If another call must be closed for a new one, the oldest unanswered call stays
//     open until its response timeout, so that the answer of a slow agent can still arrive.
//   - After an address change, a call to the old address stays valid until a call to the new address is answered.
//   - Each call is opened once, and closed or ended once. No later event or action refers to it.
package watchtimer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the interval between messages of a watch while nothing changes. The protocol sets it.
	HeartbeatInterval = 2 * time.Second
	// PushedSilenceTimeout is the time without a message after which a pushed call is silent. It is one heartbeat
	// interval plus the delay that a busy machine may add.
	PushedSilenceTimeout = HeartbeatInterval + pushedHeartbeatSlack
	// StalenessBound is the time within which a change of the list must be received. The protocol sets it. Settings may
	// set a shorter one.
	StalenessBound = 6 * time.Second
	// MaxOpenCalls is the maximum number of open calls.
	MaxOpenCalls = 8
	// ResponseTimeout is how long a pulled call may go without its first message.
	ResponseTimeout = 3 * time.Second
	// FleetCallsPerSecond is the maximum total call rate of all schedulers whose calls fail, as far as the staleness bound
	// permits. A list of some tens of nodes costs the service milliseconds, so this rate leaves it capacity for other
	// calls.
	FleetCallsPerSecond = 40
	// MaxBackoffFactor bounds the doubling of the backoff.
	MaxBackoffFactor = 8

	pushedHeartbeatSlack = 500 * time.Millisecond
	// pulledHeartbeatSlack is longer than pushedHeartbeatSlack, because the service may be busy and each replacement call
	// adds to its load.
	pulledHeartbeatSlack = time.Second
	// longPollSlack is the time after LongPollWait within which a silent long poll must have been replaced.
	longPollSlack = 2 * time.Second
	// drainGraceDivisor sets the part of the drain grace period that may pass between two calls to the agent. The rest
	// is left for the answer, its decoding and requests that are already in flight.
	drainGraceDivisor = 4
	minRetryInterval  = 20 * time.Millisecond
	maxRetryInterval  = 100 * time.Millisecond
	// downReportDelay is the time from the silence of a call to the report that no call is live.
	downReportDelay = time.Second
	minBackoff      = 200 * time.Millisecond
	// jitterFraction sets the range of a backoff: from 1-jitterFraction to 1+jitterFraction times its mean.
	jitterFraction = 0.5
	// maxAnswerReserve and maxRepeatReserve are the parts of the staleness bound that are reserved for the answer to a
	// call and to the repeated call. Neither is longer than the staleness bound divided by reserveDivisor.
	maxAnswerReserve = time.Second
	maxRepeatReserve = 500 * time.Millisecond
	reserveDivisor   = 4
	// deadlineJitterDivisor sets the random part of the open deadline. The deadline is made earlier by up to the answer
	// reserve divided by deadlineJitterDivisor, so that schedulers that called at the same instant do not call again at
	// the same instant.
	deadlineJitterDivisor = 4

	never = time.Duration(1<<63 - 1)
)

// Settings configures a Timer.
type Settings struct {
	Pushed          bool          // an agent on this machine serves the list, at once and at no cost
	Schedulers      int           // number of schedulers that call the same service; 0 means only this one
	StalenessBound  time.Duration // bound for receiving a change; the constant applies if this is 0 or exceeds the constant
	DrainGrace      time.Duration // grace period of a drain; 0 if not known
	ExternallyPaced bool          // until the first message, the caller decides when to call
	LongPollWait    time.Duration // how long a long poll may go without a message; 0 if calls send heartbeats
	Seed            uint64
}

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	Started         Kind = iota // the process has started
	MessageReceived             // a call received a list or a heartbeat
	CallEnded                   // a call was rejected, could not connect, or its connection has ended
	AddressChanged              // the address of the list service has changed
	TimerFired                  // the time returned by NextTimer has come
	RequestDue                  // with ExternallyPaced: the caller requests a call
)

// Event is an input of Step.
type Event struct {
	Kind Kind
	Call int // id of the call, for MessageReceived and CallEnded
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	OpenCall         ActionKind = iota // open a call to the current address
	CloseCall                          // close a call
	ReportDown                         // no call is live; not repeated until a call receives a message
	ReportCallFailed                   // with ExternallyPaced: a call failed or stayed unanswered
)

// Action is an action that the caller of Step must carry out.
type Action struct {
	Kind ActionKind
	Call int // id of the call, for OpenCall and CloseCall
}

// call is an open call.
type call struct {
	id                int
	openedAt          time.Duration
	lastMessage       time.Duration
	answered          bool // it received at least one message
	addressGeneration int  // number of address changes before it was opened
	silent            bool // answered, and past its silence timeout
}

// Timer holds the state of one scheduler's calls to the list service. It is not safe for concurrent use.
type Timer struct {
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	calls             []call // open calls, the oldest first
	lastCallID        int
	addressGeneration int           // number of address changes so far
	lastMessage       time.Duration // time of the last message of any call
	repeatAt          time.Duration // when one more call is opened if the replacement of a silent call stays unanswered
	openDeadline      time.Duration // when pulled: latest time to open another call while none is live
	nextOpen          time.Duration // when the next call is opened; never if only an event leads to one
	backoffFactor     int
	downReported      bool
	actions           []Action // actions of the current step
}

// New returns the timer of one scheduler.
func New(settings Settings) *Timer {
	if settings.StalenessBound <= 0 || settings.StalenessBound > StalenessBound {
		settings.StalenessBound = StalenessBound
	}
	settings.Schedulers = max(settings.Schedulers, 1)
	return &Timer{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0x6c697374)),
		nextOpen: never, repeatAt: never, openDeadline: never, backoffFactor: 1}
}

// Step applies an event that happened at now and returns the actions to carry out.
func (t *Timer) Step(now time.Duration, e Event) []Action {
	t.now, t.actions = max(now, t.now), nil
	i := t.callIndex(e.Call)
	switch e.Kind {
	case Started:
		if t.lastMessage = t.now; t.externallyPaced() {
			t.nextOpen = t.pacedDeadline()
		} else {
			t.openCall()
		}
	case RequestDue:
		if t.externallyPaced() && !t.callInProgress() {
			t.openCall()
		}
	case AddressChanged:
		t.addressChanged()
	case MessageReceived:
		if i >= 0 {
			t.messageReceived(i)
		}
	case CallEnded:
		if i >= 0 {
			t.callEnded(i)
		}
	}
	t.runTimers()
	return t.actions
}

// NextTimer returns the time at which the caller must pass TimerFired to Step.
func (t *Timer) NextTimer() time.Duration {
	earliest := t.nextOpen
	if !t.settings.Pushed {
		earliest = min(earliest, t.repeatAt)
		if !t.currentAddressLive() {
			earliest = min(earliest, t.openDeadline)
		}
	}
	for i := range t.calls {
		k := &t.calls[i]
		switch {
		case k.answered && !k.silent:
			earliest = min(earliest, k.lastMessage+t.silenceTimeout())
		case k.answered && !t.downReported:
			earliest = min(earliest, k.lastMessage+t.silenceTimeout()+downReportDelay)
		case !k.answered && !t.settings.Pushed:
			earliest = min(earliest, k.openedAt+t.responseTimeout())
		}
	}
	return max(earliest, t.now)
}

// Live reports whether any call, to the current or an earlier address, has been answered and is not silent.
func (t *Timer) Live() bool { return slices.ContainsFunc(t.calls, call.live) }

// live reports whether the call has been answered and is not silent.
func (k call) live() bool { return k.answered && !k.silent }

// currentAddressLive reports whether a call to the current address is live.
func (t *Timer) currentAddressLive() bool {
	return slices.ContainsFunc(t.calls, func(k call) bool { return k.addressGeneration == t.addressGeneration && k.live() })
}

// callIndex returns the index of the call with the id, or -1.
func (t *Timer) callIndex(id int) int {
	return slices.IndexFunc(t.calls, func(k call) bool { return k.id == id })
}

// emit appends an action to those of the current step.
func (t *Timer) emit(kind ActionKind, id int) { t.actions = append(t.actions, Action{kind, id}) }

// openCall opens a call. If MaxOpenCalls are open, it closes another one first.
func (t *Timer) openCall() {
	if len(t.calls) >= MaxOpenCalls {
		t.closeCall(t.callToReplace())
	}
	t.lastCallID++
	t.calls = append(t.calls, call{id: t.lastCallID, openedAt: t.now, lastMessage: t.now, addressGeneration: t.addressGeneration})
	t.emit(OpenCall, t.lastCallID)
	t.nextOpen = never
	if t.settings.Pushed {
		t.nextOpen = t.now + t.RetryInterval()
		return
	}
	reserve := t.answerReserve()
	t.openDeadline = t.now + t.settings.StalenessBound - reserve - t.randomBetween(0, reserve/deadlineJitterDivisor)
}

// callToReplace returns the index of the call to close for a new one. That is the oldest call that is not live. The oldest
// unanswered call is skipped until its response timeout, so that a late answer to it can still arrive.
func (t *Timer) callToReplace() int {
	oldestUnanswered := slices.IndexFunc(t.calls, func(k call) bool { return !k.answered })
	if oldestUnanswered >= 0 && t.now >= t.calls[oldestUnanswered].openedAt+t.responseTimeout() {
		oldestUnanswered = -1
	}
	for i, k := range t.calls {
		if i != oldestUnanswered && !k.live() {
			return i
		}
	}
	return 0
}

// closeCall closes the call at the index.
func (t *Timer) closeCall(i int) {
	t.emit(CloseCall, t.calls[i].id)
	t.calls = slices.Delete(t.calls, i, i+1)
}

// addressChanged closes the unanswered calls and opens one to the new address. Answered calls stay open.
func (t *Timer) addressChanged() {
	t.addressGeneration++
	for i := len(t.calls) - 1; i >= 0; i-- {
		if !t.calls[i].answered {
			t.closeCall(i)
		}
	}
	t.backoffFactor = 1
	t.openCall()
}

// messageReceived records a message on a call. A message at the current address closes all other calls; one at an
// earlier address closes only the older calls at earlier addresses, as those at the new one may still be answered.
func (t *Timer) messageReceived(i int) {
	k := &t.calls[i]
	k.answered, k.silent, k.lastMessage, t.lastMessage = true, false, t.now, t.now
	t.repeatAt = never
	t.downReported, t.settings.ExternallyPaced = false, false
	id, isCurrentAddress := k.id, k.addressGeneration == t.addressGeneration
	for j := len(t.calls) - 1; j >= 0; j-- {
		if o := t.calls[j]; o.id != id && (isCurrentAddress || o.addressGeneration < t.addressGeneration && o.id < id) {
			t.closeCall(j)
		}
	}
	if isCurrentAddress {
		t.backoffFactor, t.nextOpen, t.openDeadline = 1, never, never
	}
}

// callEnded removes a call that has ended and sets the time of the next one.
func (t *Timer) callEnded(i int) {
	k := t.calls[i]
	t.calls = slices.Delete(t.calls, i, i+1)
	if !t.Live() && !t.downReported && (k.live() || len(t.calls) == 0) {
		t.downReported = true
		t.emit(ReportDown, 0)
	}
	switch {
	case k.addressGeneration < t.addressGeneration: // calls to the new address set nextOpen themselves
	case t.settings.Pushed:
		t.nextOpen = min(t.nextOpen, max(t.now, k.openedAt+t.RetryInterval()))
	case !t.callInProgress() && t.nextOpen == never:
		t.scheduleNextOpen(t.backoff(k.answered))
	}
}

// callInProgress reports whether a call to the current address is unanswered or live.
func (t *Timer) callInProgress() bool {
	return slices.ContainsFunc(t.calls, func(k call) bool { return k.addressGeneration == t.addressGeneration && (!k.answered || !k.silent) })
}

// externallyPaced reports whether the caller currently decides when to call.
func (t *Timer) externallyPaced() bool { return t.settings.ExternallyPaced && !t.settings.Pushed }

// scheduleNextOpen sets the time of the next call after one that failed or ended. If the timer is externally paced, it
// notifies the caller of the failure and sets the time at which a call is opened without RequestDue.
func (t *Timer) scheduleNextOpen(wait time.Duration) {
	if !t.externallyPaced() {
		t.nextOpen = t.now + wait
		return
	}
	t.nextOpen = t.pacedDeadline()
	t.emit(ReportCallFailed, 0)
}
