package steps

import (
	"reflect"

	il "wheatsaddle/internal/interleave"
)

// channelState is what a run records of a channel: whether it is closed, and which selects wait at it if it is unbuffered.
type channelState struct {
	closed                        bool
	waitingSends, waitingReceives []*waitingCase
}

// waitingCase is one case of a blocked select, queued at its channel.
type waitingCase struct {
	owner *blockedSelect
	index int
	value any // of a send: a pointer to the value that is sent
}

// blockedSelect is one thread's wait at one or more channels. Another thread may complete it.
type blockedSelect struct {
	chosen   int // the case that was executed; -1: none yet
	received any // of a receive that another thread completed: a pointer to the value
}

// takeFirstWaiting removes and returns the first case whose select still waits; nil: there is none.
func takeFirstWaiting(queue *[]*waitingCase) *waitingCase {
	for len(*queue) > 0 {
		o := (*queue)[0]
		if *queue = (*queue)[1:]; o.owner.chosen < 0 {
			return o
		}
	}
	return nil
}

func anyWaiting(queue []*waitingCase) bool {
	for _, o := range queue {
		if o.owner.chosen < 0 {
			return true
		}
	}
	return false
}

// selectCase is one send or receive of a select.
type selectCase struct {
	channel    any
	unbuffered bool
	ready      func() bool
	execute    func()                    // performs the operation, which is ready
	enqueue    func(*blockedSelect, int) // queues the case at its channel
	complete   func(got any)             // takes over the result after another thread has performed the operation
}

// channelKey returns the channel's address, which is the same for each of its directions.
func channelKey(ch any) any { return reflect.ValueOf(ch).UnsafePointer() }

func stateOf(ch any) *channelState {
	return il.PerRun(channelKey(ch), func() any { return &channelState{} }).(*channelState)
}

// isClosed reports whether the channel is closed and has no values left.
func isClosed[T any](ch <-chan T) bool {
	if len(ch) > 0 {
		return false
	}
	select {
	case _, ok := <-ch:
		return !ok
	default:
		return false
	}
}

func receiveCase[T any](ch <-chan T, to *T, ok *bool) selectCase {
	if ch == nil {
		return selectCase{ready: func() bool { return false }}
	}
	e := stateOf(ch)
	return selectCase{channel: channelKey(ch), unbuffered: cap(ch) == 0,
		ready: func() bool { return len(ch) > 0 || anyWaiting(e.waitingSends) || isClosed(ch) },
		execute: func() {
			if o := takeFirstWaiting(&e.waitingSends); o != nil {
				*to, *ok, o.owner.chosen = *o.value.(*T), true, o.index
				return
			}
			*to, *ok = <-ch
		},
		enqueue: func(w *blockedSelect, i int) {
			e.waitingReceives = append(e.waitingReceives, &waitingCase{owner: w, index: i})
		},
		complete: func(got any) { *to, *ok = *got.(*T), true }}
}

func sendCase[T any](ch chan<- T, v T) selectCase {
	if ch == nil {
		return selectCase{ready: func() bool { return false }}
	}
	e := stateOf(ch)
	return selectCase{channel: channelKey(ch), unbuffered: cap(ch) == 0,
		ready: func() bool { return e.closed || len(ch) < cap(ch) || anyWaiting(e.waitingReceives) },
		execute: func() {
			if e.closed {
				il.Fail("send on a closed channel")
			}
			if o := takeFirstWaiting(&e.waitingReceives); o != nil {
				o.owner.received, o.owner.chosen = &v, o.index
				return
			}
			ch <- v
		},
		enqueue: func(w *blockedSelect, i int) {
			e.waitingSends = append(e.waitingSends, &waitingCase{owner: w, index: i, value: &v})
		},
		complete: func(any) {}}
}

// runSelect performs one of the cases and returns its index; -1: none is ready and the select does not block.
// A select with an unbuffered channel first makes a step that is always enabled and queues its cases, so that
// another thread can complete them.
func runSelect(kind string, blocking bool, cases ...selectCase) int {
	op := il.Op{Kind: kind}
	anyUnbuffered := false
	for _, a := range cases {
		anyUnbuffered = anyUnbuffered || a.unbuffered
		if a.channel != nil && op.Object == nil {
			op.Object = a.channel
		} else if a.channel != nil {
			op.OtherObjects = append(op.OtherObjects, a.channel)
		}
	}
	if op.Object == nil {
		op.Object = new(int) // all channels are nil
	}
	blocked := &blockedSelect{chosen: -1}
	readyCases := func() (list []int) {
		for i, a := range cases {
			if a.ready() {
				list = append(list, i)
			}
		}
		return list
	}
	for attempt := 0; ; attempt++ {
		if blocking && (!anyUnbuffered || attempt > 0) {
			op.Ready = func() bool { return blocked.chosen >= 0 || len(readyCases()) > 0 }
		}
		il.Step(op)
		if blocked.chosen >= 0 {
			cases[blocked.chosen].complete(blocked.received)
			return blocked.chosen
		}
		if list := readyCases(); len(list) > 0 {
			i := list[il.Choose(len(list))]
			blocked.chosen = i // invalidates its cases that are queued at other channels
			cases[i].execute()
			return i
		}
		if !blocking {
			return -1
		}
		for i, a := range cases {
			if a.unbuffered {
				a.enqueue(blocked, i)
			}
		}
	}
}

// Send is ch <- v.
func Send[T any](ch chan<- T, v T) {
	if !il.Active() {
		ch <- v
		return
	}
	runSelect("send", true, sendCase(ch, v))
}

// TrySend is a select of ch <- v and default.
func TrySend[T any](ch chan<- T, v T) bool {
	if !il.Active() {
		select {
		case ch <- v:
			return true
		default:
			return false
		}
	}
	return runSelect("trysend", false, sendCase(ch, v)) == 0
}

// Recv is v, ok := <-ch.
func Recv[T any](ch <-chan T) (v T, ok bool) {
	if !il.Active() {
		v, ok = <-ch
		return v, ok
	}
	runSelect("receive", true, receiveCase(ch, &v, &ok))
	return v, ok
}

// TryRecv is a select of v, ok = <-ch and default; had: a value was received, or the channel is closed.
func TryRecv[T any](ch <-chan T) (v T, ok, had bool) {
	if !il.Active() {
		select {
		case v, ok = <-ch:
			return v, ok, true
		default:
			return v, false, false
		}
	}
	had = runSelect("tryreceive", false, receiveCase(ch, &v, &ok)) == 0
	return v, ok, had
}

// Either is a select of two receives; first: a received.
func Either[A, B any](a <-chan A, b <-chan B) (va A, vb B, first bool) {
	if !il.Active() {
		select {
		case va = <-a:
			return va, vb, true
		case vb = <-b:
			return va, vb, false
		}
	}
	var ok bool
	return va, vb, runSelect("either", true, receiveCase(a, &va, &ok), receiveCase(b, &vb, &ok)) == 0
}

// First3 is a select of three receives; which is the index, from 0, of the one that received. A nil channel never does.
func First3[A, B, C any](a <-chan A, b <-chan B, c <-chan C) (va A, vb B, vc C, which int) {
	va, vb, vc, _, _, which = First5(a, b, c, (<-chan struct{})(nil), (<-chan struct{})(nil))
	return va, vb, vc, which
}

// First4 is a select of four receives.
func First4[A, B, C, D any](a <-chan A, b <-chan B, c <-chan C, d <-chan D) (va A, vb B, vc C, vd D, which int) {
	va, vb, vc, vd, _, which = First5(a, b, c, d, (<-chan struct{})(nil))
	return va, vb, vc, vd, which
}

// First5 is a select of five receives.
func First5[A, B, C, D, E any](a <-chan A, b <-chan B, c <-chan C, d <-chan D, e <-chan E) (va A, vb B, vc C, vd D, ve E, which int) {
	if !il.Active() {
		select {
		case va = <-a:
		case vb = <-b:
			which = 1
		case vc = <-c:
			which = 2
		case vd = <-d:
			which = 3
		case ve = <-e:
			which = 4
		}
		return va, vb, vc, vd, ve, which
	}
	var ok bool
	which = runSelect("first", true, receiveCase(a, &va, &ok), receiveCase(b, &vb, &ok), receiveCase(c, &vc, &ok), receiveCase(d, &vd, &ok), receiveCase(e, &ve, &ok))
	return va, vb, vc, vd, ve, which
}

// SendOr is a select of ch <- v and <-done; true: v was sent.
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool {
	if !il.Active() {
		select {
		case ch <- v:
			return true
		case <-done:
			return false
		}
	}
	var d D
	var ok bool
	return runSelect("send or done", true, sendCase(ch, v), receiveCase(done, &d, &ok)) == 0
}

// SendOrEither is a select of ch <- v, <-a and <-b; true: v was sent.
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	if !il.Active() {
		select {
		case ch <- v:
			return true
		case <-a:
		case <-b:
		}
		return false
	}
	var va A
	var vb B
	var ok bool
	return runSelect("send or done", true, sendCase(ch, v), receiveCase(a, &va, &ok), receiveCase(b, &vb, &ok)) == 0
}

// Close is close(ch).
func Close[T any](ch chan<- T) {
	if il.Active() {
		il.Step(il.Op{Kind: "close", Object: channelKey(ch)})
		stateOf(ch).closed = true
	}
	close(ch)
}
