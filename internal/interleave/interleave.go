// Package interleave is a checker for concurrent code: it runs a few threads of real code in every
// order of their steps. A step is an operation that other threads can observe: on a lock, an atomic or
// a channel, or one that the code declares as a step (on a file, for example). Exactly one thread runs
// at a time and yields before each step. The schedules (orders of steps) are explored depth first, and
// each starts from a newly made program.
//
// Invariants:
//   - Without a bound, every state that some schedule reaches is visited. Sleep sets leave out only
//     schedules that differ in the order of commuting steps, so no state, deadlock or outcome is lost
//     (Godefroid, "Partial-Order Methods for the Verification of Concurrent Systems", LNCS 1032, chapter 5).
//   - With a bound on preemptions, every schedule within the bound is run (Musuvathi and Qadeer,
//     "Iterative Context Bounding", PLDI 2007). Sleep sets are off then: with a bound they would lose schedules.
//   - A data race (two unordered accesses, at least one of them a write) is found in every schedule in
//     which both accesses are made, adjacent or not, by vector clocks (FastTrack, PLDI 2009).
//   - The same schedule text replays the same schedule. Code that behaves differently under the same
//     schedule is reported as nondeterministic and not explored further.
//
// Weak memory is not modelled: atomics are sequentially consistent, as in Go. Operations outside the
// types of internal/interleave/sync (go statements, timers, sockets) are not seen.
package interleave

import (
	"fmt"
	"slices"
	"strings"
)

// Thread is one thread of a program.
type Thread struct {
	Name string
	Run  func()
}

// Program is what one schedule runs, with its checks. It is made anew for each schedule.
type Program struct {
	Threads   []Thread
	Invariant func() error  // an invariant, checked after each step and outside the threads; may be nil
	Check     func() error  // checked when all threads have ended; may be nil
	Outcome   func() string // describes the final state, counted in Report.Outcomes; may be nil
	Cleanup   func()        // frees the program's resources, also when its schedule was pruned or failed; may be nil
}

// Options bound an exploration.
type Options struct {
	Bounded      bool // run exactly the schedules with at most Preemptions preemptions
	Preemptions  int
	NoReduction  bool // no sleep sets: run schedules that differ only in commuting steps too
	MaxSteps     int  // of one schedule; 0: 2000
	MaxSchedules int  // of the exploration, including pruned ones; 0: 2 million
}

// Report is the result of an exploration.
type Report struct {
	Schedules       int // run to the end
	Pruned          int // given up: each continuation differs from an explored schedule only in the order of commuting steps
	LongestSchedule int // the number of steps of the longest schedule
	Outcomes        map[string]int
	Failure         *Failure // nil: none
}

func (r Report) String() string {
	return fmt.Sprintf("%d schedules, %d more pruned, at most %d steps", r.Schedules, r.Pruned, r.LongestSchedule)
}

// Failure is a schedule that fails: by a broken invariant, a data race, a deadlock, a panic or too many steps. It also
// reports a program that is not deterministic, or an exploration with too many schedules.
type Failure struct {
	Message  string
	Schedule string   // for Replay
	Trace    []string // one line for each step
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%s\nschedule: %s\n  %s", f.Message, f.Schedule, strings.Join(f.Trace, "\n  "))
}

// choicePoint is a point of a schedule at which a thread, or an option of Choose, was selected.
type choicePoint struct {
	choice         int    // the selected thread or option
	options        uint32 // bit set of the enabled threads, or of the options of Choose
	sleepSet       uint32 // bit set of the threads that need no exploration here, because earlier schedules cover them
	explored       uint32 // bit set of the options explored before
	isOption       bool   // a choice of Choose, not of a thread
	previousThread int    // the thread that made the step before; -1: none
	preemptions    int    // in the schedule up to this point
	operation      string // the selected thread's step, as describe returns it
}

// remaining returns the bit set of the options that are still to be explored.
func (n *choicePoint) remaining(options Options) uint32 {
	m := n.options &^ n.explored
	if n.isOption {
		return m
	}
	m &^= n.sleepSet
	if options.Bounded && n.preemptions >= options.Preemptions && n.previousThread >= 0 && n.options&(1<<n.previousThread) != 0 {
		m &= 1 << n.previousThread
	}
	return m
}

// takeNext selects the next option to explore; false: none remains.
func (n *choicePoint) takeNext(options Options) bool {
	m := n.remaining(options)
	if m == 0 {
		return false
	}
	if !n.isOption && n.previousThread >= 0 && m&(1<<n.previousThread) != 0 {
		n.choice = n.previousThread // the running thread continues: no preemption
		return true
	}
	for n.choice = 0; m&(1<<n.choice) == 0; n.choice++ {
	}
	return true
}

// Explore runs schedules until one fails or none is left.
func Explore(options Options, newProgram func() Program) (rep Report) {
	if options.MaxSteps == 0 {
		options.MaxSteps = 2000
	}
	if options.MaxSchedules == 0 {
		options.MaxSchedules = 2_000_000
	}
	rep.Outcomes = map[string]int{}
	var path []choicePoint
	for {
		if rep.Schedules+rep.Pruned >= options.MaxSchedules {
			rep.Failure = &Failure{Message: fmt.Sprintf("over %d schedules: set a bound on preemptions, or use a smaller program", options.MaxSchedules)}
			return rep
		}
		r := &run{options: options, path: path}
		out, err := r.execute(newProgram())
		path = r.path
		if err != nil {
			text := encode(path, r.threadNames())
			rep.Failure = &Failure{Message: err.Error(), Schedule: text}
			if again := Replay(newProgram, text); again != nil {
				rep.Failure.Trace = again.Trace
			}
			return rep
		}
		if r.pruned {
			rep.Pruned++
		} else {
			rep.Schedules++
			rep.Outcomes[out]++
		}
		rep.LongestSchedule = max(rep.LongestSchedule, r.steps)
		for len(path) > 0 {
			top := &path[len(path)-1]
			top.explored |= 1 << top.choice
			if top.takeNext(options) {
				break
			}
			path = path[:len(path)-1]
		}
		if len(path) == 0 {
			return rep
		}
	}
}

// Replay runs the one schedule that the text describes; nil: it does not fail.
func Replay(newProgram func() Program, schedule string) *Failure {
	r := &run{options: Options{NoReduction: true, MaxSteps: 1 << 20}, replayLeft: strings.Fields(schedule), replaying: true}
	_, err := r.execute(newProgram())
	if err == nil {
		return nil
	}
	return &Failure{Message: err.Error(), Schedule: schedule, Trace: slices.Clone(r.trace)}
}

// encode returns the text of a schedule. "name*n" stands for n steps in a row of a thread ("name" for
// one step), "?k" for option k of Choose.
func encode(path []choicePoint, names []string) string {
	var out []string
	for i := 0; i < len(path); {
		if path[i].isOption {
			out = append(out, fmt.Sprintf("?%d", path[i].choice))
			i++
			continue
		}
		j := i
		for j < len(path) && !path[j].isOption && path[j].choice == path[i].choice {
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
