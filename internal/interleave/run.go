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

// maxThreads bounds the threads of a program, including those that its threads start.
const maxThreads = 16

// Mode is how a step relates to other steps on the same object.
type Mode uint8

// The modes.
const (
	Write   Mode = iota // commutes with none; happens after earlier Writes and Releases, and before later Writes and Reads
	Read                // commutes with Read and Release; happens after earlier Writes
	Release             // commutes with Read and Release; happens before later Writes
)

// Op is a step.
type Op struct {
	Kind         string
	Object       any         // the object it accesses: a pointer, or any other key; nil: everything
	OtherObjects []any       // further objects it accesses
	Mode         Mode        // for all its objects
	Ready        func() bool // whether the step is enabled; nil: always
}

func (o *Op) commutes(p *Op) bool {
	if o.Object == nil || p.Object == nil {
		return false
	}
	if o.Mode != Write && p.Mode != Write {
		return true
	}
	for i := -1; i < len(o.OtherObjects); i++ {
		for j := -1; j < len(p.OtherObjects); j++ {
			if o.objectAt(i) == p.objectAt(j) {
				return false
			}
		}
	}
	return true
}

// objectAt returns an object of the step: Object for -1, else an entry of OtherObjects.
func (o *Op) objectAt(i int) any {
	if i < 0 {
		return o.Object
	}
	return o.OtherObjects[i]
}

type thread struct {
	run       *run
	id        int
	name      string
	goroutine uintptr                 // the value of goroutine() on its goroutine
	next      func() (struct{}, bool) // runs the thread up to its next step
	stop      func()                  // unwinds the thread
	yield     func(struct{}) bool     // called by the thread to return control to the run
	pending   Op                      // its next step
	live      bool                    // has not ended
	children  int                     // threads that it has started
	clock     clock
}

// run is the execution of one schedule.
type run struct {
	options     Options
	threads     []*thread
	path        []choicePoint
	depth       int // position in the path
	lastThread  int // the thread that made the last step; -1: none
	preemptions int
	steps       int
	sleepSet    uint32
	pruned      bool
	aborting    bool // the threads are being unwound
	failure     error
	objects     map[any]*object
	perRun      map[any]any // the values of PerRun
	replayLeft  []string    // of a replay: the words of the schedule that are still to be run
	replaying   bool
	trace       []string // of a replay, a line for each step
}

// abort is the panic that unwinds a thread when its run ends early.
type abort struct{}

var errReplayMismatch = errors.New("the schedule does not match the program")

// running is the thread that runs; nil: none.
var running atomic.Pointer[thread]

// currentThread returns the thread of the calling goroutine; nil: the goroutine is not under the
// checker, and the caller uses the real operation.
func currentThread() *thread {
	t := running.Load()
	if t == nil || t.goroutine != goroutine() {
		return nil
	}
	return t
}

// Active reports whether the caller is a thread under the checker.
func Active() bool { return currentThread() != nil }

// Step yields to the other threads. When it returns, the caller performs the operation, which is
// atomic: no other thread runs before the caller's next step. Outside the checker Step does nothing.
func Step(o Op) {
	if t := currentThread(); t != nil {
		t.step(o)
	}
}

func (t *thread) step(o Op) {
	if t.run.aborting {
		panic(abort{})
	}
	t.pending = o
	if !t.yield(struct{}{}) || t.run.aborting {
		panic(abort{})
	}
	t.run.updateClocks(t)
	if t.run.replaying {
		t.run.recordStep(t, o.Kind)
	}
}

// Choose returns one of n options, for what the code leaves to chance. The exploration covers each option.
func Choose(n int) int {
	t := currentThread()
	if t == nil || n < 2 {
		return 0
	}
	r := t.run
	if r.aborting {
		panic(abort{})
	}
	if r.replaying {
		if len(r.replayLeft) == 0 || r.replayLeft[0][0] != '?' {
			panic(errReplayMismatch)
		}
		k, err := strconv.Atoi(r.replayLeft[0][1:])
		if err != nil || k < 0 || k >= n {
			panic(errReplayMismatch)
		}
		r.replayLeft = r.replayLeft[1:]
		r.recordStep(t, "choose "+strconv.Itoa(k))
		return k
	}
	if r.depth == len(r.path) {
		r.path = append(r.path, choicePoint{options: 1<<n - 1, isOption: true})
	}
	at := &r.path[r.depth]
	if !at.isOption || at.options != 1<<n-1 {
		Fail("not deterministic: the same schedule led to another choice")
	}
	r.depth++
	return at.choice
}

// Go starts a thread from a thread. Outside the checker it starts a goroutine.
func Go(f func()) {
	t := currentThread()
	if t == nil {
		go f()
		return
	}
	t.step(Op{Kind: "go", Object: t.run, Mode: Write}) // a Write, because thread ids follow the order of starts
	t.children++
	t.run.start(fmt.Sprintf("%s.%d", t.name, t.children), f, t)
	t.clock[t.id]++ // later steps of the parent do not happen before the new thread's
	running.Store(t)
}

// Fail ends the run and reports a broken invariant.
func Fail(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// PerRun returns the value that an instrumented type keeps under a key for the current run, and makes
// it at the first use.
func PerRun(key any, newValue func() any) any {
	t := currentThread()
	if t.run.perRun == nil {
		t.run.perRun = map[any]any{}
	}
	v, ok := t.run.perRun[key]
	if !ok {
		v = newValue()
		t.run.perRun[key] = v
	}
	return v
}

// StepMadeSince returns a function that reports whether a thread has been scheduled for a step since this call.
func StepMadeSince() func() bool {
	r := currentThread().run
	from := r.steps
	return func() bool { return r.steps > from }
}

// start creates a thread and runs it up to its first step.
func (r *run) start(name string, f func(), parent *thread) {
	if len(r.threads) == maxThreads {
		panic(fmt.Errorf("over %d threads", maxThreads))
	}
	t := &thread{run: r, id: len(r.threads), name: name, live: true}
	if parent != nil {
		t.clock = parent.clock
	}
	t.clock[t.id]++
	r.threads = append(r.threads, t)
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.goroutine, t.yield = goroutine(), yield
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
	if r.failure == nil {
		r.failure = err
	}
}

func (r *run) resume(t *thread) {
	running.Store(t)
	t.next()
	running.Store(nil)
}

// execute runs a program by the schedule that the path begins, and extends the path up to the end.
func (r *run) execute(program Program) (outcome string, err error) {
	r.lastThread, r.objects = -1, map[any]*object{}
	defer func() {
		r.aborting = true
		for _, t := range r.threads {
			running.Store(t)
			t.stop()
		}
		running.Store(nil)
		if program.Cleanup != nil {
			program.Cleanup()
		}
	}()
	for i := 0; i < len(program.Threads) && r.failure == nil; i++ {
		r.start(program.Threads[i].Name, program.Threads[i].Run, nil)
	}
	for {
		if r.failure == nil && program.Invariant != nil {
			r.fail(program.Invariant())
		}
		if r.failure != nil {
			return "", r.failure
		}
		live, ready := uint32(0), uint32(0)
		for _, t := range r.threads {
			if t.live {
				live |= 1 << t.id
				if t.pending.Ready == nil || t.pending.Ready() {
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
		if r.steps >= r.options.MaxSteps {
			return "", fmt.Errorf("not finished within %d steps", r.options.MaxSteps)
		}
		t, err := r.nextThread(ready)
		if err != nil {
			return "", err
		}
		if t == nil {
			r.pruned = true
			return "", nil
		}
		r.steps++
		r.resume(t)
	}
	if r.replaying && len(r.replayLeft) > 0 {
		return "", errReplayMismatch
	}
	if program.Check != nil {
		if err := program.Check(); err != nil {
			return "", err
		}
	}
	if program.Outcome != nil {
		outcome = program.Outcome()
	}
	return outcome, nil
}

func (r *run) deadlock() error {
	var waits []string
	for _, t := range r.threads {
		if t.live {
			waits = append(waits, t.name+" at "+t.pending.Kind)
		}
	}
	return fmt.Errorf("deadlock: %s", strings.Join(waits, ", "))
}

// nextThread selects the thread that makes the next step; nil: every continuation has been explored.
func (r *run) nextThread(ready uint32) (*thread, error) {
	if r.replaying {
		return r.nextReplayed(ready)
	}
	if r.depth == len(r.path) {
		n := choicePoint{options: ready, sleepSet: r.sleepSet, previousThread: r.lastThread, preemptions: r.preemptions}
		if !n.takeNext(r.options) {
			return nil, nil
		}
		n.operation = r.describe(r.threads[n.choice])
		r.path = append(r.path, n)
	}
	n := &r.path[r.depth]
	if r.depth == len(r.path)-1 {
		n.operation = r.describe(r.threads[n.choice]) // takeNext may have selected another thread
	}
	t := r.threads[n.choice]
	if n.isOption || n.options != ready || n.operation != r.describe(t) {
		return nil, fmt.Errorf("not deterministic: under the same schedule %s was at %s before, and is at %s now", t.name, n.operation, r.describe(t))
	}
	r.depth++
	if r.lastThread >= 0 && r.lastThread != t.id && ready&(1<<r.lastThread) != 0 {
		r.preemptions++
	}
	r.lastThread = t.id
	r.sleepSet = 0
	if !r.options.NoReduction && !r.options.Bounded {
		for s := (n.sleepSet | n.explored) &^ (1 << t.id); s != 0; s &= s - 1 {
			if u := r.threads[bits.TrailingZeros32(s)]; u.pending.commutes(&t.pending) {
				r.sleepSet |= 1 << u.id
			}
		}
	}
	return t, nil
}

// nextReplayed returns the next thread of a replayed schedule.
func (r *run) nextReplayed(ready uint32) (*thread, error) {
	if len(r.replayLeft) == 0 {
		return nil, errReplayMismatch
	}
	name, times, many := strings.Cut(r.replayLeft[0], "*")
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
			r.replayLeft = r.replayLeft[1:]
		} else {
			r.replayLeft[0] = fmt.Sprintf("%s*%d", name, left-1)
		}
		return t, nil
	}
	return nil, errReplayMismatch
}

// describe returns a thread's pending step: its kind and the numbers of its objects.
func (r *run) describe(t *thread) string {
	s := t.pending.Kind
	for i := -1; i < len(t.pending.OtherObjects) && t.pending.Object != nil; i++ {
		s += fmt.Sprintf(" %d", r.object(t.pending.objectAt(i)).number)
	}
	return s
}

// recordStep adds a step of a replay to the trace, with the source line that makes it.
func (r *run) recordStep(t *thread, what string) {
	r.trace = append(r.trace, fmt.Sprintf("%-12s %-14s %s", t.name, what, caller()))
}

// caller returns the innermost source line outside the checker and its types.
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

func (r *run) threadNames() (names []string) {
	for _, t := range r.threads {
		names = append(names, t.name)
	}
	return names
}
