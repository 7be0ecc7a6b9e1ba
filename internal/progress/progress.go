// Package progress is the one notion of an attempt's progress: a byte that the storage node has taken of the request, or given of the
// response. It decides for each phase of an attempt how long the node may rest, when the decision module is told that the node makes
// progress, and when a response that is still arriving is passed on to the client.
//
// A response that is complete, or not passed on yet, can be replaced by another attempt's; one of which the client has received a
// byte cannot. So a response is passed on early only if it may be long and arrives slowly, or if the request's time is nearly over.
//
// Invariants:
//   - A node may rest for MaxSilence between two bytes, whatever the phase or direction, and for MaxRelaySilence once nothing can
//     replace the response. It may work on a request that it has taken for as long as the decision module and the deadline allow.
//   - There is no limit on the total time of an attempt: its deadline is one, until the response is passed on.
//   - The decision module is told at most once, of each attempt that transfers for NoticeAfter.
//   - A response whose stated length is at most BufferLimit is never passed on before it is complete.
//   - Of any other response at most BufferLimit bytes, and the piece that exceeds it, are held back. It is passed on at the first piece
//     that arrives SlowAfter or more after the head, and at the deadline whether or not its node rests just then.
//
// The package reads no clock and does no I/O. The caller passes the time since the attempt began to be written, and the pieces.
package progress

import (
	"math"
	"time"
)

const (
	// BufferLimit is the length up to which a response is buffered as a whole, in bytes.
	BufferLimit = 64 << 10
	// SlowAfter is the time from the head after which a response is one that arrives slowly. Nodes usually send a response at
	// once.
	SlowAfter = 50 * time.Millisecond
	// MaxSilence is how long a node may rest between two bytes of an attempt. A rest of up to 2 s is sound, and a process may be held
	// up for 150 ms.
	MaxSilence = 2200 * time.Millisecond
	// MaxRelaySilence is the same for a response that is passed on, which no other attempt can replace any more.
	MaxRelaySilence = 3 * time.Second
	// NoticeAfter is how long a transfer takes until the decision module is told of it.
	NoticeAfter = 10 * time.Millisecond
	// PauseAfter is the rest of a node after which another attempt may be made beside this one, which stays open.
	PauseAfter = 500 * time.Millisecond
)

// UnknownLength is the length of a response that states none.
const UnknownLength = -1

// Unlimited is the wait for a node that has work to do and nothing to transfer: the decision module and the deadline end it.
const Unlimited = time.Duration(math.MaxInt64)

// Phase is what an attempt waits for.
type Phase uint8

// The phases, in their order. An attempt never returns to an earlier one.
const (
	Sending   Phase = iota // the node has to take bytes of the request
	Working                // the request is written, and no byte of the response has come
	Head                   // a part of the response's head has come
	ShortBody              // the head has come, of a response that is buffered as a whole
	LongBody               // the head has come, of a response that may be passed on before its end
	Relaying               // the response is passed on while it arrives
)

var phaseNames = [...]string{"sending", "working", "head", "short-body", "long-body", "relaying"}

// String returns the name of the phase in log lines and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Attempt is the progress of one attempt. It is not safe for concurrent use.
type Attempt struct {
	phase       Phase
	requestSize int64         // bytes
	lastAt      time.Duration // when the node took or gave a byte last
	beganAt     time.Duration // when the current direction began: the write, or the response
	headAt      time.Duration // when the head was complete
	received    int64         // bytes of the body
	noticed     bool          // the decision module is told
	delivered   bool          // the node's machine has taken the whole request
}

// NewAttempt returns an attempt whose request of a size in bytes begins to be written now, at time 0.
func NewAttempt(requestSize int64) Attempt { return Attempt{requestSize: requestSize} }

// Phase returns the current phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Transferring reports whether the node takes or gives bytes, or may do so unseen: its machine may hold a long request that its program
// still reads.
func (a *Attempt) Transferring() bool { return a.phase != Working || a.requestSize > BufferLimit }

// LastAt returns when the node took or gave a byte last.
func (a *Attempt) LastAt() time.Duration { return a.lastAt }

// Taken records that the node's machine has taken bytes of the request.
func (a *Attempt) Taken(now time.Duration) { a.lastAt = max(a.lastAt, now) }

// Written records that the request is written to its last byte.
func (a *Attempt) Written(now time.Duration) {
	if a.phase == Sending {
		a.phase = Working
		a.Taken(now)
	}
}

// Heard records that bytes of the response have arrived, whether or not they complete a piece of the body.
func (a *Attempt) Heard(now time.Duration) {
	if a.phase < Head {
		a.phase, a.beganAt = Head, now
	}
	a.lastAt = max(a.lastAt, now)
}

// HeadEnded records that the head of the response is complete, which states a body of length bytes or UnknownLength.
func (a *Attempt) HeadEnded(now time.Duration, length int64) {
	a.phase, a.headAt = ShortBody, now
	if length < 0 || length > BufferLimit {
		a.phase = LongBody
	}
}

// Received records a piece of size bytes of the body. It reports whether the response is to be passed on now.
func (a *Attempt) Received(now time.Duration, size int) (passOn bool) {
	if size <= 0 {
		return false
	}
	a.Heard(now)
	a.received += int64(size)
	return a.phase == LongBody && (a.received > BufferLimit || now-a.headAt >= SlowAfter)
}

// PassOnAtDeadline reports whether the response is to be passed on when the time of its request is nearly over. Then its first byte
// is still in time, and the rest may follow. A node that never goes on makes a failure which the client can detect.
func (a *Attempt) PassOnAtDeadline() bool { return a.phase == LongBody }

// PassedOn records that the response is passed on.
func (a *Attempt) PassedOn() { a.phase = Relaying }

// Notice reports, once, that the decision module has to be told that the node makes progress. undelivered says that the node's machine
// has not taken all bytes that were written.
func (a *Attempt) Notice(now time.Duration, undelivered bool) bool {
	a.delivered = a.delivered || a.phase == Working && !undelivered && now-a.lastAt >= NoticeAfter
	if a.noticed || !a.transfersFor(now, undelivered) {
		return false
	}
	a.noticed = true
	return true
}

// transfersFor reports whether the transfer has taken long enough for a notice.
func (a *Attempt) transfersFor(now time.Duration, undelivered bool) bool {
	switch a.phase {
	case Sending, Head, ShortBody, LongBody:
		return now-a.beganAt >= NoticeAfter
	case Working:
		return undelivered && now-a.lastAt >= NoticeAfter || a.requestSize > BufferLimit && now-a.lastAt >= SlowAfter
	default:
		return false
	}
}

// SetNoticed records that the decision module is told, for whatever reason.
func (a *Attempt) SetNoticed() { a.noticed = true }

// Allowance returns how long the node may still rest, or Unlimited. It is 0 if the node has rested for too long.
func (a *Attempt) Allowance(now time.Duration) time.Duration {
	if a.phase == Working {
		return Unlimited
	}
	limit := MaxSilence
	if a.phase == Relaying {
		limit = MaxRelaySilence
	}
	return max(0, a.lastAt+limit-now)
}

// Wait returns how long to wait for the node until Notice and Allowance have to be called again, or Unlimited.
func (a *Attempt) Wait(now time.Duration) time.Duration {
	allowance := a.Allowance(now)
	switch {
	case a.noticed || a.phase == Relaying:
		return allowance
	case a.phase == Working && (a.requestSize == 0 || a.delivered && a.requestSize <= BufferLimit):
		return Unlimited
	case a.phase == Working && a.delivered:
		return max(time.Millisecond, a.lastAt+SlowAfter-now)
	}
	return min(allowance, NoticeAfter)
}
