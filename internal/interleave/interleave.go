// Package interleave runs a few threads of real code through every order of their steps. A step is
// what one thread can see of another: a lock, an atomic, a channel, or what the code names as one
// (a file). Exactly one thread runs at a time and gives way before each step; the orders are walked
// depth first, each from a fresh world.
//
// Invariants:
//   - Without a bound every state that some order reaches is visited: sleep sets leave out orders
//     that differ only in steps that commute, and so no state, deadlock or outcome (Godefroid,
//     "Partial-Order Methods for the Verification of Concurrent Systems", LNCS 1032, chapter 5).
//   - With a bound on preemptions every order within it is run, none left out (Musuvathi and Qadeer,
//     "Iterative Context Bounding", PLDI 2007): sleep sets and a bound together would lose orders.
//   - Two accesses of which one writes and that nothing orders are found in every order in which they
//     are made, next to each other or not: vector clocks (FastTrack, PLDI 2009).
//   - The same text replays the same order. Code that does not do the same in the same order is
//     told of as such, not walked.
//
// It does not walk weak memory: atomics are sequentially consistent, as Go's are. What the code
// leaves outside the types of internal/interleave/sync (go statements, timers, sockets) is not seen.
package interleave

import (
	"fmt"
	"slices"
	"strings"
)

// Thread is one thread of a world.
type Thread struct {
	Name string
	Run  func()
}

// World is what one order runs in; it is made afresh for each.
type World struct {
	Threads []Thread
	Always  func() error // holds after each step; it runs outside the threads, may be nil
	Check   func() error // holds when all threads have ended; may be nil
	Outcome func() string
	End     func() // frees what the world holds, also when its order was cut; may be nil
}

// Options bound a walk.
type Options struct {
	Bounded     bool // only orders with so many preemptions at most, and of those all
	Preemptions int
	Whole       bool // no reduction
	Steps       int  // of one order; 0: 2000
	Schedules   int  // of the walk, cut ones too; 0: 2 million
}

// Report is what a walk found.
type Report struct {
	Schedules int // run to their end
	Cut       int // given up: what would follow differs from one walked only in steps that commute
	Steps     int // of the longest
	Outcomes  map[string]int
	Failure   *Failure // nil: none
}

func (r Report) String() string {
	return fmt.Sprintf("%d schedules, %d more cut short, %d steps the longest", r.Schedules, r.Cut, r.Steps)
}

// Failure is an order that breaks an invariant.
type Failure struct {
	What     string
	Schedule string   // for Replay
	Trace    []string // its steps
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%s\nschedule: %s\n  %s", f.What, f.Schedule, strings.Join(f.Trace, "\n  "))
}

// node is a point of the order at which there was a choice.
type node struct {
	choice  int    // the thread, or the option
	options uint32 // enabled threads; or options of Choose
	sleep   uint32
	done    uint32
	free    bool // an option of Choose
	last    int  // the thread before
	used    int  // preemptions before
	op      string
}

// may are the options not taken yet.
func (n *node) may(o Options) uint32 {
	m := n.options &^ n.done
	if n.free {
		return m
	}
	m &^= n.sleep
	if o.Bounded && n.used >= o.Preemptions && n.last >= 0 && n.options&(1<<n.last) != 0 {
		m &= 1 << n.last
	}
	return m
}

func (n *node) take(o Options) bool {
	m := n.may(o)
	if m == 0 {
		return false
	}
	if !n.free && n.last >= 0 && m&(1<<n.last) != 0 {
		n.choice = n.last // the thread that runs runs on
		return true
	}
	for n.choice = 0; m&(1<<n.choice) == 0; n.choice++ {
	}
	return true
}

// Explore walks the orders until one fails or none is left.
func Explore(o Options, make func() World) (rep Report) {
	if o.Steps == 0 {
		o.Steps = 2000
	}
	if o.Schedules == 0 {
		o.Schedules = 2_000_000
	}
	rep.Outcomes = map[string]int{}
	var path []node
	for {
		if rep.Schedules+rep.Cut >= o.Schedules {
			rep.Failure = &Failure{What: fmt.Sprintf("over %d schedules: state a bound on preemptions, or a smaller world", o.Schedules)}
			return rep
		}
		r := &run{opt: o, path: path}
		out, err := r.play(make())
		path = r.path
		if err != nil {
			text := encode(path, r.names())
			rep.Failure = &Failure{What: err.Error(), Schedule: text}
			if again := Replay(make, text); again != nil {
				rep.Failure.Trace = again.Trace
			}
			return rep
		}
		if r.cut {
			rep.Cut++
		} else {
			rep.Schedules++
			rep.Outcomes[out]++
		}
		rep.Steps = max(rep.Steps, r.steps)
		for len(path) > 0 {
			top := &path[len(path)-1]
			top.done |= 1 << top.choice
			if top.take(o) {
				break
			}
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return rep
		}
	}
}

// Replay runs the one order of a text; nil: it holds.
func Replay(make func() World, text string) *Failure {
	r := &run{opt: Options{Whole: true, Steps: 1 << 20}, text: strings.Fields(text), replays: true}
	_, err := r.play(make())
	if err == nil {
		return nil
	}
	return &Failure{What: err.Error(), Schedule: text, Trace: slices.Clone(r.trace)}
}

// encode writes an order: a thread's name, * and how many steps it makes in a row; ? and an option.
func encode(path []node, names []string) string {
	var out []string
	for i := 0; i < len(path); {
		if path[i].free {
			out = append(out, fmt.Sprintf("?%d", path[i].choice))
			i++
			continue
		}
		j := i
		for j < len(path) && !path[j].free && path[j].choice == path[i].choice {
			j++
		}
		if j-i == 1 {
			out = append(out, names[path[i].choice])
		} else {
			out = append(out, fmt.Sprintf("%s*%d", names[path[i].choice], j-i))
		}
		i = j
	}
	return strings.Join(out, " ")
}
