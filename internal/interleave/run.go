package interleave

import (
	"errors"
	"fmt"
	"iter"
	"math/bits"
	"path"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
)

// threadsMost bounds the threads of a world, those that its threads start included.
const threadsMost = 16

// Mode is how a step meets others on the same object.
type Mode uint8

// The modes.
const (
	Write   Mode = iota // commutes with none, orders what is before and after it
	Read                // commutes with Read and Release; sees what Write and Release left
	Release             // commutes with the same; what follows a Write is after it
)

// Op is a step.
type Op struct {
	Kind  string
	On    any         // what it touches: a pointer, or any other key; nil: everything
	More  []any       // what else
	Mode  Mode        //
	Ready func() bool // it may be made; nil: always
}

func (o *Op) commutes(p *Op) bool {
	if o.On == nil || p.On == nil {
		return false
	}
	if o.Mode != Write && p.Mode != Write {
		return true
	}
	for i := -1; i < len(o.More); i++ {
		for j := -1; j < len(p.More); j++ {
			if o.on(i) == p.on(j) {
				return false
			}
		}
	}
	return true
}

func (o *Op) on(i int) any {
	if i < 0 {
		return o.On
	}
	return o.More[i]
}

type thread struct {
	run   *run
	id    int
	name  string
	g     uintptr
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	op    Op
	live  bool
	kids  int
	clock clock
}

// run is one order being run.
type run struct {
	opt     Options
	threads []*thread
	path    []node
	depth   int
	last    int
	used    int
	steps   int
	sleep   uint32
	cut     bool
	aborts  bool
	failed  error
	objects map[any]*object
	local   map[any]any
	text    []string // of a replay, what is left of it
	replays bool
	trace   []string
}

type abort struct{}

var errText = errors.New("the text is of another program")

// now is the thread that runs, if one does.
var now atomic.Pointer[thread]

// self is the thread whose goroutine asks; nil: it is none, and the real thing is to be used.
func self() *thread {
	t := now.Load()
	if t == nil || t.g != goroutine() {
		return nil
	}
	return t
}

// On says that the caller is a thread under the checker.
func On() bool { return self() != nil }

// Step gives way to the other threads; when it returns, the step is the caller's to make, whole
// and at once. Outside a walk it does nothing.
func Step(o Op) {
	if t := self(); t != nil {
		t.step(o)
	}
}

func (t *thread) step(o Op) {
	if t.run.aborts {
		panic(abort{})
	}
	t.op = o
	if !t.yield(struct{}{}) || t.run.aborts {
		panic(abort{})
	}
	t.run.order(t)
	if t.run.replays {
		t.run.note(t, o.Kind)
	}
}

// Choose picks one of n options, each in some order: what the code leaves to chance.
func Choose(n int) int {
	t := self()
	if t == nil || n < 2 {
		return 0
	}
	r := t.run
	if r.aborts {
		panic(abort{})
	}
	if r.replays {
		if len(r.text) == 0 || r.text[0][0] != '?' {
			panic(errText)
		}
		k, err := strconv.Atoi(r.text[0][1:])
		if err != nil || k < 0 || k >= n {
			panic(errText)
		}
		r.text = r.text[1:]
		r.note(t, "chooses "+strconv.Itoa(k))
		return k
	}
	if r.depth == len(r.path) {
		r.path = append(r.path, node{options: 1<<n - 1, free: true})
	}
	at := &r.path[r.depth]
	if !at.free || at.options != 1<<n-1 {
		Fail("not the same in the same order: another choice")
	}
	r.depth++
	return at.choice
}

// Go starts a thread from a thread; outside a walk, a goroutine.
func Go(f func()) {
	t := self()
	if t == nil {
		go f()
		return
	}
	t.step(Op{Kind: "go", On: t.run, Mode: Write}) // the order of starts gives the ids
	t.kids++
	t.run.start(fmt.Sprintf("%s.%d", t.name, t.kids), f, t)
	t.clock[t.id]++ // what follows is not before the new thread
	now.Store(t)
}

// Fail ends the run with a broken invariant.
func Fail(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// Local is what an instrumented type keeps of a key for one run.
func Local(key any, make func() any) any {
	t := self()
	if t.run.local == nil {
		t.run.local = map[any]any{}
	}
	v, ok := t.run.local[key]
	if !ok {
		v = make()
		t.run.local[key] = v
	}
	return v
}

// Moved tells from now on whether another thread has made a step since.
func Moved() func() bool {
	r := self().run
	from := r.steps
	return func() bool { return r.steps > from }
}

// start makes a thread and runs it up to its first step.
func (r *run) start(name string, f func(), from *thread) {
	if len(r.threads) == threadsMost {
		panic(fmt.Errorf("over %d threads", threadsMost))
	}
	t := &thread{run: r, id: len(r.threads), name: name, live: true}
	if from != nil {
		t.clock = from.clock
	}
	t.clock[t.id]++
	r.threads = append(r.threads, t)
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.g, t.yield = goroutine(), yield
		defer func() {
			t.live = false
			switch p := recover().(type) {
			case nil, abort:
			case error:
				r.fail(fmt.Errorf("%s: %w", t.name, p))
			default:
				r.fail(fmt.Errorf("%s: panic: %v", t.name, p))
			}
		}()
		f()
	})
	r.resume(t)
}

func (r *run) fail(err error) {
	if r.failed == nil {
		r.failed = err
	}
}

func (r *run) resume(t *thread) {
	now.Store(t)
	t.next()
	now.Store(nil)
}

// play runs a world in the order that the path begins, and lengthens it.
func (r *run) play(w World) (outcome string, err error) {
	r.last, r.objects = -1, map[any]*object{}
	defer func() {
		r.aborts = true
		for _, t := range r.threads {
			now.Store(t)
			t.stop()
		}
		now.Store(nil)
		if w.End != nil {
			w.End()
		}
	}()
	for i := 0; i < len(w.Threads) && r.failed == nil; i++ {
		r.start(w.Threads[i].Name, w.Threads[i].Run, nil)
	}
	for {
		if r.failed == nil && w.Always != nil {
			r.fail(w.Always())
		}
		if r.failed != nil {
			return "", r.failed
		}
		live, ready := uint32(0), uint32(0)
		for _, t := range r.threads {
			if t.live {
				live |= 1 << t.id
				if t.op.Ready == nil || t.op.Ready() {
					ready |= 1 << t.id
				}
			}
		}
		if live == 0 {
			break
		}
		if ready == 0 {
			return "", r.deadlock()
		}
		if r.steps >= r.opt.Steps {
			return "", fmt.Errorf("no end within %d steps", r.opt.Steps)
		}
		t, err := r.choose(ready)
		if err != nil {
			return "", err
		}
		if t == nil {
			r.cut = true
			return "", nil
		}
		r.steps++
		r.resume(t)
	}
	if r.replays && len(r.text) > 0 {
		return "", errText
	}
	if w.Check != nil {
		if err := w.Check(); err != nil {
			return "", err
		}
	}
	if w.Outcome != nil {
		outcome = w.Outcome()
	}
	return outcome, nil
}

func (r *run) deadlock() error {
	var waits []string
	for _, t := range r.threads {
		if t.live {
			waits = append(waits, t.name+" at "+t.op.Kind)
		}
	}
	return fmt.Errorf("deadlock: %s", strings.Join(waits, ", "))
}

// choose takes the thread that goes next; nil: none that has not been walked.
func (r *run) choose(ready uint32) (*thread, error) {
	if r.replays {
		return r.read(ready)
	}
	if r.depth == len(r.path) {
		n := node{options: ready, sleep: r.sleep, last: r.last, used: r.used}
		if !n.take(r.opt) {
			return nil, nil
		}
		n.op = r.describe(r.threads[n.choice])
		r.path = append(r.path, n)
	}
	n := &r.path[r.depth]
	if r.depth == len(r.path)-1 {
		n.op = r.describe(r.threads[n.choice]) // taken anew by the walk
	}
	t := r.threads[n.choice]
	if n.free || n.options != ready || n.op != r.describe(t) {
		return nil, fmt.Errorf("not the same in the same order: %s was to %s, and is to %s", t.name, n.op, r.describe(t))
	}
	r.depth++
	if r.last >= 0 && r.last != t.id && ready&(1<<r.last) != 0 {
		r.used++
	}
	r.last = t.id
	r.sleep = 0
	if !r.opt.Whole && !r.opt.Bounded {
		for s := (n.sleep | n.done) &^ (1 << t.id); s != 0; s &= s - 1 {
			if u := r.threads[bits.TrailingZeros32(s)]; u.op.commutes(&t.op) {
				r.sleep |= 1 << u.id
			}
		}
	}
	return t, nil
}

// read takes the next thread of a replay.
func (r *run) read(ready uint32) (*thread, error) {
	if len(r.text) == 0 {
		return nil, errText
	}
	name, times, many := strings.Cut(r.text[0], "*")
	left := 1
	if many {
		left, _ = strconv.Atoi(times)
	}
	for _, t := range r.threads {
		if t.name != name {
			continue
		}
		if ready&(1<<t.id) == 0 || left < 1 {
			break
		}
		if left == 1 {
			r.text = r.text[1:]
		} else {
			r.text[0] = fmt.Sprintf("%s*%d", name, left-1)
		}
		return t, nil
	}
	return nil, errText
}

func (r *run) describe(t *thread) string {
	s := t.op.Kind
	for i := -1; i < len(t.op.More) && t.op.On != nil; i++ {
		s += fmt.Sprintf(" %d", r.object(t.op.on(i)).no)
	}
	return s
}

// note keeps a step of a replay, with the line that makes it.
func (r *run) note(t *thread, what string) {
	r.trace = append(r.trace, fmt.Sprintf("%-12s %-14s %s", t.name, what, caller()))
}

// caller is the first line outside the checker and its types.
func caller() string {
	var pcs [16]uintptr
	frames := runtime.CallersFrames(pcs[:runtime.Callers(3, pcs[:])])
	for {
		f, more := frames.Next()
		if dir := path.Base(path.Dir(f.File)); !more ||
			!(strings.Contains(f.File, "internal/interleave/") && !strings.HasSuffix(f.File, "_test.go") ||
				dir == "iter" || dir == "runtime") {
			return fmt.Sprintf("%s:%d", path.Base(f.File), f.Line)
		}
	}
}

func (r *run) names() (names []string) {
	for _, t := range r.threads {
		names = append(names, t.name)
	}
	return names
}
