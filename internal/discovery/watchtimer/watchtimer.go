// Package watchtimer decides when a scheduler calls for the node list: it records when each call last brought a
// message, detects silent calls, opens a replacement beside a silent call, and keeps the staleness bound, the
// time by which a change in the list must be known. discovery.Watcher drives it. It does not interpret lists, reads
// no clock and does no I/O: events and the time come in through Step, and actions go out.
//
// A call is one watch: it stays open, brings a message at least every HeartbeatInterval, and brings each change.
// There are two modes. Pushed: an agent on the scheduler's own machine serves the list, answers at once and at
// no cost, and its list counts as known whether or not a call is open. Pulled: one service of fixed capacity
// serves the whole fleet; calls queue there, and a call that times out in the queue has used up capacity for
// nothing.
//
// Invariants:
//   - A call without a message for its silence timeout (2.5 s pushed, 3 s pulled) is silent, and another call is
//     opened beside it. The silent call is closed only when the other call brings a message, so that at each
//     moment some open call may bring a change.
//   - Pushed: with no live call, one is opened at once and then every RetryInterval until one is answered.
//     The interval neither grows nor varies, because a call to the local agent is free. An unanswered call stays
//     open until newer calls need its place, because a returning agent may answer calls that waited.
//   - A rejected call counts as a failed call.
//   - Pulled: a call is given up after ResponseTimeout. Backoff is drawn at random and doubles with each
//     consecutive failed call, up to MaxBackoffFactor times the first, so that all schedulers whose calls fail make at
//     most FleetCallsPerSecond calls a second together.
//   - Pulled: however a call ended (rejected, failed, given up, unanswered), while no call is live the next
//     one is opened at most StalenessBound less the answer reserve after it. A change that the service could
//     deliver is therefore known StalenessBound later. This bound takes precedence over FleetCallsPerSecond:
//     a fleet of more than FleetCallsPerSecond * (StalenessBound - answer reserve) schedulers calls more often, each
//     scheduler about once in that time, spread evenly.
//   - Pulled: after a live call ended or fell silent, the next call is open before StalenessBound has passed
//     since the last message. After a call that fell silent, one repeat is opened beside an unanswered
//     replacement. Here too the bound takes precedence over the spread of the fleet's calls.
//   - Externally paced (pulled only): until the first message, the caller decides when to call (RequestDue) and is
//     notified of each call that failed (ReportMissed). The staleness bound since the start still holds: a call is
//     opened in time for it without RequestDue, ahead of any other wait.
//   - At most MaxOpenCalls calls are open. When a new call needs a place, the oldest unanswered call stays open
//     until its response timeout, so that the answer of a slow agent still arrives.
//   - After a change of address, a call at the old address stays valid until one at the new address is answered.
//   - Each call is opened once and closed or ended once; no event or action names it afterwards.
package watchtimer

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two messages of a watch while nothing changes, set by the protocol.
	HeartbeatInterval = 2 * time.Second
	// PushedSilenceTimeout is the time without a message after which a pushed call is silent: one heartbeat
	// interval and the delay that a busy machine may add.
	PushedSilenceTimeout = HeartbeatInterval + pushedHeartbeatSlack
	// StalenessBound is the time after which a change in the list must be known, set by the protocol. Settings
	// may name a shorter one.
	StalenessBound = 6 * time.Second
	// MaxOpenCalls bounds the calls open at once.
	MaxOpenCalls = 8
	// ResponseTimeout is how long a pulled call may stay without its first message.
	ResponseTimeout = 3 * time.Second
	// FleetCallsPerSecond is the rate at which all schedulers whose calls fail should call together, as far as the
	// staleness bound permits. A list of some tens of nodes costs a service milliseconds, so this rate leaves it
	// capacity for other calls.
	FleetCallsPerSecond = 40
	// MaxBackoffFactor bounds the doubling of the backoff.
	MaxBackoffFactor = 8

	pushedHeartbeatSlack = 500 * time.Millisecond
	// pulledHeartbeatSlack is longer, as the service may be busy and each replacement call adds to its load.
	pulledHeartbeatSlack = time.Second
	// longPollSlack is how long after its permitted wait a silent long poll must have been replaced.
	longPollSlack = 2 * time.Second
	// drainGraceDivisor: a quarter of the drain rule's grace may pass between two calls to the agent. The remainder
	// is for the answer, its decoding and requests already on their way.
	drainGraceDivisor = 4
	minRetryInterval  = 20 * time.Millisecond
	maxRetryInterval  = 100 * time.Millisecond
	// downReportDelay is the time from a call's silence to the report that no call is live.
	downReportDelay = time.Second
	minBackoff      = 200 * time.Millisecond
	// jitterFraction: a backoff is drawn from 1-jitterFraction to 1+jitterFraction times its mean.
	jitterFraction = 0.5
	// maxAnswerReserve and maxRepeatReserve are the parts of the staleness bound reserved for the answer to a call
	// and to its one repeat. Of a shorter bound each is at most the part given by reserveDivisor.
	maxAnswerReserve = time.Second
	maxRepeatReserve = 500 * time.Millisecond
	reserveDivisor   = 4
	// deadlineJitterDivisor: the open deadline is drawn from the part of the answer reserve before it that this
	// divisor gives, so that schedulers that called at one instant do not call again at one instant.
	deadlineJitterDivisor = 4

	never = time.Duration(1<<63 - 1)
)

// Settings configure a Clock.
type Settings struct {
	Pushed          bool          // an agent on this machine serves the list, at once and at no cost
	Schedulers      int           // schedulers that call the same service; 0: only this one
	StalenessBound  time.Duration // time by which a change must be known; 0 or longer than the constant: the constant
	DrainGrace      time.Duration // of the drain rule; 0: not known
	ExternallyPaced bool          // until the first message the caller decides when to call
	LongPollWait    time.Duration // a call may stay without a message for this long; 0: it sends heartbeats
	Seed            uint64
}

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	Started         Kind = iota // the process has started
	MessageReceived             // a call brought a list or a heartbeat
	CallEnded                   // a call's connection has ended, was never established, or the call was rejected
	AddressChanged              // the list is served at another address from now on
	TimerFired                  // the time named by NextTimer has come
	RequestDue                  // ExternallyPaced: the caller asks for a call
)

// Event is one thing that happened.
type Event struct {
	Kind Kind
	Call int // of MessageReceived and CallEnded
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	OpenCall     ActionKind = iota // open a call at the current address
	CloseCall                      // close a call
	ReportDown                     // no call is live; given once until one brings a message
	ReportMissed                   // ExternallyPaced: a call failed or stayed unanswered
)

// Action is one thing for the driver to do.
type Action struct {
	Kind ActionKind
	Call int // of OpenCall and CloseCall
}

// call is one open call.
type call struct {
	id                int
	openedAt          time.Duration
	lastMessage       time.Duration
	answered          bool // it brought at least one message
	addressGeneration int  // of the address it was opened at
	silent            bool // answered, and past its silence timeout
}

// Timer is the state of one scheduler's calls for the list. It is not safe for concurrent use.
type Timer struct {
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	calls             []call // open, the oldest first
	lastCallID        int
	addressGeneration int           // number of address changes so far
	lastMessage       time.Duration // on any call
	repeatAt          time.Duration // when an unanswered replacement of a silent call is repeated
	openDeadline      time.Duration // pulled: latest time to open another call while none is live
	nextOpen          time.Duration // when the next call is opened; never: only after an event
	backoffFactor     int
	downReported      bool
	actions           []Action // of the current step
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

// Step applies one event that happened at now and returns the actions it leads to.
func (c *Timer) Step(now time.Duration, e Event) []Action {
	c.now, c.actions = max(now, c.now), nil
	i := c.callIndex(e.Call)
	switch e.Kind {
	case Started:
		if c.lastMessage = c.now; c.externallyPaced() {
			c.nextOpen = c.pacedDeadline()
		} else {
			c.openCall()
		}
	case RequestDue:
		if c.externallyPaced() && !c.callInProgress() {
			c.openCall()
		}
	case AddressChanged:
		c.addressChanged()
	case MessageReceived:
		if i >= 0 {
			c.messageReceived(i)
		}
	case CallEnded:
		if i >= 0 {
			c.callEnded(i)
		}
	}
	c.runTimers()
	return c.actions
}

// NextTimer is the time at which the driver must give TimerFired.
func (c *Timer) NextTimer() time.Duration {
	earliest := c.nextOpen
	if !c.settings.Pushed {
		earliest = min(earliest, c.repeatAt)
		if !c.currentAddressLive() {
			earliest = min(earliest, c.openDeadline)
		}
	}
	for i := range c.calls {
		k := &c.calls[i]
		switch {
		case k.answered && !k.silent:
			earliest = min(earliest, k.lastMessage+c.silenceTimeout())
		case k.answered && !c.downReported:
			earliest = min(earliest, k.lastMessage+c.silenceTimeout()+downReportDelay)
		case !k.answered && !c.settings.Pushed:
			earliest = min(earliest, k.openedAt+c.responseTimeout())
		}
	}
	return max(earliest, c.now)
}

// Live reports whether any call, at whichever address, has been answered and is not silent.
func (c *Timer) Live() bool { return slices.ContainsFunc(c.calls, call.live) }

// live reports whether the call has been answered and is not silent.
func (k call) live() bool { return k.answered && !k.silent }

// currentAddressLive reports whether a call at the current address is live.
func (c *Timer) currentAddressLive() bool {
	return slices.ContainsFunc(c.calls, func(k call) bool { return k.addressGeneration == c.addressGeneration && k.live() })
}

// callIndex is the index of the call with the id, or -1.
func (c *Timer) callIndex(id int) int {
	return slices.IndexFunc(c.calls, func(k call) bool { return k.id == id })
}

// emit appends an action to those of the current step.
func (c *Timer) emit(kind ActionKind, id int) { c.actions = append(c.actions, Action{kind, id}) }

// openCall opens a call, and closes another one first if MaxOpenCalls are open.
func (c *Timer) openCall() {
	if len(c.calls) >= MaxOpenCalls {
		c.closeCall(c.callToReplace())
	}
	c.lastCallID++
	c.calls = append(c.calls, call{id: c.lastCallID, openedAt: c.now, lastMessage: c.now, addressGeneration: c.addressGeneration})
	c.emit(OpenCall, c.lastCallID)
	c.nextOpen = never
	if c.settings.Pushed {
		c.nextOpen = c.now + c.RetryInterval()
		return
	}
	reserve := c.answerReserve()
	c.openDeadline = c.now + c.settings.StalenessBound - reserve - c.randomBetween(0, reserve/deadlineJitterDivisor)
}

// callToReplace is the index of the call to close for a new one: the oldest that is not live, except the oldest
// unanswered one until its response timeout. A late answer to that one can then still arrive.
func (c *Timer) callToReplace() int {
	oldestUnanswered := slices.IndexFunc(c.calls, func(k call) bool { return !k.answered })
	if oldestUnanswered >= 0 && c.now >= c.calls[oldestUnanswered].openedAt+c.responseTimeout() {
		oldestUnanswered = -1
	}
	for i, k := range c.calls {
		if i != oldestUnanswered && !k.live() {
			return i
		}
	}
	return 0
}

// closeCall closes the call at the index.
func (c *Timer) closeCall(i int) {
	c.emit(CloseCall, c.calls[i].id)
	c.calls = slices.Delete(c.calls, i, i+1)
}

// addressChanged closes the unanswered calls, and opens one at the new address beside the answered ones.
func (c *Timer) addressChanged() {
	c.addressGeneration++
	for i := len(c.calls) - 1; i >= 0; i-- {
		if !c.calls[i].answered {
			c.closeCall(i)
		}
	}
	c.backoffFactor = 1
	c.openCall()
}

// messageReceived records a message on a call. A message at the current address closes all other calls; one at an
// earlier address closes only the older calls at earlier addresses, as those at the new one may still be answered.
func (c *Timer) messageReceived(i int) {
	k := &c.calls[i]
	k.answered, k.silent, k.lastMessage, c.lastMessage = true, false, c.now, c.now
	c.repeatAt = never
	c.downReported, c.settings.ExternallyPaced = false, false
	id, here := k.id, k.addressGeneration == c.addressGeneration
	for j := len(c.calls) - 1; j >= 0; j-- {
		if o := c.calls[j]; o.id != id && (here || o.addressGeneration < c.addressGeneration && o.id < id) {
			c.closeCall(j)
		}
	}
	if here {
		c.backoffFactor, c.nextOpen, c.openDeadline = 1, never, never
	}
}

// callEnded removes a call that ended and sets the time of the next one.
func (c *Timer) callEnded(i int) {
	k := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	if !c.Live() && !c.downReported && (k.live() || len(c.calls) == 0) {
		c.downReported = true
		c.emit(ReportDown, 0)
	}
	switch {
	case k.addressGeneration < c.addressGeneration: // calls at the new address set nextOpen themselves
	case c.settings.Pushed:
		c.nextOpen = min(c.nextOpen, max(c.now, k.openedAt+c.RetryInterval()))
	case !c.callInProgress() && c.nextOpen == never:
		c.scheduleNextOpen(c.backoff(k.answered))
	}
}

// callInProgress reports whether a call at the current address is unanswered or live.
func (c *Timer) callInProgress() bool {
	return slices.ContainsFunc(c.calls, func(k call) bool { return k.addressGeneration == c.addressGeneration && (!k.answered || !k.silent) })
}

// externallyPaced reports whether the caller currently decides when to call.
func (c *Timer) externallyPaced() bool { return c.settings.ExternallyPaced && !c.settings.Pushed }

// scheduleNextOpen sets the time of the next call after one that failed or ended. Externally paced, the caller is
// notified of the failure and only the deadline is set.
func (c *Timer) scheduleNextOpen(wait time.Duration) {
	if !c.externallyPaced() {
		c.nextOpen = c.now + wait
		return
	}
	c.nextOpen = c.pacedDeadline()
	c.emit(ReportMissed, 0)
}
