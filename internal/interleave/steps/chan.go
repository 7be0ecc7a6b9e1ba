package steps

import (
	"reflect"

	il "wheatsaddle/internal/interleave"
)

// ends is what a run keeps of a channel: who waits at an unbuffered one, and whether it is closed.
type ends struct {
	closed       bool
	sends, takes []*offer
}

// offer is one arm of a wait.
type offer struct {
	of  *wait
	arm int
	put any // of a send: a pointer to the value
}

// wait is one thread's wait at one channel or several; another thread may end it.
type wait struct {
	won int
	got any
}

// first takes the first that still waits.
func first(line *[]*offer) *offer {
	for len(*line) > 0 {
		o := (*line)[0]
		if *line = (*line)[1:]; o.of.won < 0 {
			return o
		}
	}
	return nil
}

func waiting(line []*offer) bool {
	for _, o := range line {
		if o.of.won < 0 {
			return true
		}
	}
	return false
}

// arm is one operation of a select.
type arm struct {
	on     any
	paired bool // unbuffered
	ready  func() bool
	do     func()           // it is ready
	offer  func(*wait, int) // it waits
	end    func(got any)    // another thread ended the wait
}

func key(ch any) any { return reflect.ValueOf(ch).UnsafePointer() }

func endsOf(ch any) *ends { return il.Local(key(ch), func() any { return &ends{} }).(*ends) }

func shut[T any](ch <-chan T) bool {
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

func taking[T any](ch <-chan T, to *T, ok *bool) arm {
	if ch == nil {
		return arm{ready: func() bool { return false }}
	}
	e := endsOf(ch)
	return arm{on: key(ch), paired: cap(ch) == 0,
		ready: func() bool { return len(ch) > 0 || waiting(e.sends) || shut(ch) },
		do: func() {
			if o := first(&e.sends); o != nil {
				*to, *ok, o.of.won = *o.put.(*T), true, o.arm
				return
			}
			*to, *ok = <-ch
		},
		offer: func(w *wait, i int) { e.takes = append(e.takes, &offer{of: w, arm: i}) },
		end:   func(got any) { *to, *ok = *got.(*T), true }}
}

func sending[T any](ch chan<- T, v T) arm {
	if ch == nil {
		return arm{ready: func() bool { return false }}
	}
	e := endsOf(ch)
	return arm{on: key(ch), paired: cap(ch) == 0,
		ready: func() bool { return e.closed || len(ch) < cap(ch) || waiting(e.takes) },
		do: func() {
			if e.closed {
				il.Fail("send on a closed channel")
			}
			if o := first(&e.takes); o != nil {
				o.of.got, o.of.won = &v, o.arm
				return
			}
			ch <- v
		},
		offer: func(w *wait, i int) { e.sends = append(e.sends, &offer{of: w, arm: i, put: &v}) },
		end:   func(any) {}}
}

// choose makes one of the arms; -1: none is ready, and it was not to wait.
func choose(kind string, waits bool, arms ...arm) int {
	op := il.Op{Kind: kind}
	paired := false
	for _, a := range arms {
		paired = paired || a.paired
		if a.on != nil && op.On == nil {
			op.On = a.on
		} else if a.on != nil {
			op.More = append(op.More, a.on)
		}
	}
	if op.On == nil {
		op.On = new(int) // nil channels alone
	}
	w := &wait{won: -1}
	ready := func() (list []int) {
		for i, a := range arms {
			if a.ready() {
				list = append(list, i)
			}
		}
		return list
	}
	for turn := 0; ; turn++ {
		if waits && (!paired || turn > 0) {
			op.Ready = func() bool { return w.won >= 0 || len(ready()) > 0 }
		}
		il.Step(op)
		if w.won >= 0 {
			arms[w.won].end(w.got)
			return w.won
		}
		if list := ready(); len(list) > 0 {
			i := list[il.Choose(len(list))]
			w.won = i // its offers elsewhere are over
			arms[i].do()
			return i
		}
		if !waits {
			return -1
		}
		for i, a := range arms {
			if a.paired {
				a.offer(w, i)
			}
		}
	}
}

// Send is ch <- v.
func Send[T any](ch chan<- T, v T) {
	if !il.On() {
		ch <- v
		return
	}
	choose("send", true, sending(ch, v))
}

// TrySend is a select of ch <- v and default.
func TrySend[T any](ch chan<- T, v T) bool {
	if !il.On() {
		select {
		case ch <- v:
			return true
		default:
			return false
		}
	}
	return choose("trysend", false, sending(ch, v)) == 0
}

// Recv is v, ok := <-ch.
func Recv[T any](ch <-chan T) (v T, ok bool) {
	if !il.On() {
		v, ok = <-ch
		return v, ok
	}
	choose("receive", true, taking(ch, &v, &ok))
	return v, ok
}

// TryRecv is a select of v, ok = <-ch and default; had: something came, or the channel is closed.
func TryRecv[T any](ch <-chan T) (v T, ok, had bool) {
	if !il.On() {
		select {
		case v, ok = <-ch:
			return v, ok, true
		default:
			return v, false, false
		}
	}
	had = choose("tryreceive", false, taking(ch, &v, &ok)) == 0
	return v, ok, had
}

// Either is a select of two receives; first: the first one came.
func Either[A, B any](a <-chan A, b <-chan B) (va A, vb B, first bool) {
	if !il.On() {
		select {
		case va = <-a:
			return va, vb, true
		case vb = <-b:
			return va, vb, false
		}
	}
	var ok bool
	return va, vb, choose("either", true, taking(a, &va, &ok), taking(b, &vb, &ok)) == 0
}

// First3 is a select of three receives; which says of them, from 0, which one came. A nil channel never does.
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
	if !il.On() {
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
	which = choose("first", true, taking(a, &va, &ok), taking(b, &vb, &ok), taking(c, &vc, &ok), taking(d, &vd, &ok), taking(e, &ve, &ok))
	return va, vb, vc, vd, ve, which
}

// SendOr is a select of ch <- v and <-done; true: it was sent.
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool {
	if !il.On() {
		select {
		case ch <- v:
			return true
		case <-done:
			return false
		}
	}
	var d D
	var ok bool
	return choose("send or done", true, sending(ch, v), taking(done, &d, &ok)) == 0
}

// SendOrEither is a select of ch <- v, <-a and <-b; true: it was sent.
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	if !il.On() {
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
	return choose("send or done", true, sending(ch, v), taking(a, &va, &ok), taking(b, &vb, &ok)) == 0
}

// Close is close(ch).
func Close[T any](ch chan<- T) {
	if il.On() {
		il.Step(il.Op{Kind: "close", On: key(ch)})
		endsOf(ch).closed = true
	}
	close(ch)
}
