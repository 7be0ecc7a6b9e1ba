package interleave_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/steps"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// identicalThreads returns a program of n threads that run the same function.
func identicalThreads(n int, run func(i int)) (program il.Program) {
	for i := range n {
		program.Threads = append(program.Threads, il.Thread{Name: fmt.Sprintf("t%d", i), Run: func() { run(i) }})
	}
	return program
}

// The number of schedules is the known one: (nk)!/(k!)^n for n threads of k steps; with a bound on preemptions, those
// within the bound; with sleep sets, one if all steps commute.
func TestScheduleCounts(t *testing.T) {
	count := func(o il.Options, n, k int, shared bool) int {
		return il.Explore(o, func() il.Program {
			all := make([]steps.Int64, n)
			return identicalThreads(n, func(i int) {
				if shared {
					i = 0
				}
				for range k {
					all[i].Add(1)
				}
			})
		}).Schedules
	}
	for _, c := range []struct {
		o      il.Options
		n, k   int
		shared bool
		want   int
		reason string
	}{
		{il.Options{NoReduction: true}, 2, 3, true, 20, "6!/(3!)^2"},
		{il.Options{NoReduction: true}, 3, 2, true, 90, "6!/(2!)^3"},
		{il.Options{NoReduction: true}, 4, 2, false, 2520, "8!/(2!)^4"},
		{il.Options{}, 3, 2, true, 90, "no two steps commute"},
		{il.Options{}, 4, 3, false, 1, "all steps commute"},
		{il.Options{Bounded: true}, 3, 4, true, 6, "3! orders of threads that run without preemption"},
		{il.Options{Bounded: true, Preemptions: 1}, 2, 4, true, 8, "2 without preemption, and 3 positions to preempt either thread"},
		{il.Options{Bounded: true, Preemptions: 100}, 2, 4, true, 70, "8!/(4!)^2"},
	} {
		if got := count(c.o, c.n, c.k, c.shared); got != c.want {
			t.Errorf("%d threads of %d steps, %+v: %d schedules, want %d: %s", c.n, c.k, c.o, got, c.want, c.reason)
		}
	}
}

// randomProgram draws a program of threads with a few steps each on two atomics, two locks and two channels. Its outcome
// is the values that each thread observed and the final values of the atomics.
func randomProgram(t *rapid.T) func() il.Program {
	// Operations from 12 on block, and end most programs in a deadlock.
	maxOperation := rapid.SampledFrom([]int{7, 11, 11, 15}).Draw(t, "max operation")
	operations := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, maxOperation), 2, 4), 2, 3).Draw(t, "operations")
	return func() il.Program {
		var x [2]steps.Int64
		var mu [2]steps.RWMutex
		chans := [2]chan int{make(chan int, 1), make(chan int)}
		observed := make([][]int64, len(operations))
		w := identicalThreads(len(operations), func(i int) {
			for n, op := range operations[i] {
				o, v := op%2, int64(10*i+n+1)
				switch op / 2 {
				case 0:
					v = x[o].Load()
				case 1:
					x[o].Store(v)
				case 2:
					mu[o].Lock()
					x[1].Store(x[0].Load() + v)
					mu[o].Unlock()
				case 3:
					mu[o].RLock()
					v = x[1-o].Load()
					mu[o].RUnlock()
				case 4:
					steps.TrySend(chans[o], int(v))
				case 5:
					got, ok, had := steps.TryRecv(chans[o])
					if v = int64(got); had && !ok {
						v = -1
					}
				case 6:
					steps.Send(chans[o], int(v))
				case 7:
					a, b, first := steps.Either(chans[0], chans[1])
					if v = int64(a + b); first {
						v = -v
					}
				}
				observed[i] = append(observed[i], v)
			}
		})
		w.Outcome = func() string { return fmt.Sprint(observed, x[0].Load(), x[1].Load()) }
		return w
	}
}

// The reduction by sleep sets loses no outcome and no deadlock, and does not run more schedules than there are.
func TestReductionKeepsOutcomesAndDeadlocks(t *testing.T) {
	var allSchedules, reducedSchedules int
	rapid.Check(t, func(t *rapid.T) {
		newProgram := randomProgram(t)
		o := il.Options{MaxSteps: 100, MaxSchedules: 4000}
		o.NoReduction = true
		all := il.Explore(o, newProgram)
		o.NoReduction = false
		reduced := il.Explore(o, newProgram)
		if all.Failure != nil && strings.HasPrefix(all.Failure.Message, "over") {
			return // too many schedules to run them all
		}
		if (all.Failure == nil) != (reduced.Failure == nil) {
			t.Fatalf("failure among all schedules: %v; with the reduction: %v", all.Failure, reduced.Failure)
		}
		if all.Failure != nil {
			if f := il.Replay(newProgram, reduced.Failure.Schedule); f == nil || f.Message != reduced.Failure.Message {
				t.Fatalf("replayed %q: %v, want %s", reduced.Failure.Schedule, f, reduced.Failure.Message)
			}
			return
		}
		if a, b := slices.Sorted(maps.Keys(all.Outcomes)), slices.Sorted(maps.Keys(reduced.Outcomes)); !slices.Equal(a, b) {
			t.Fatalf("outcomes of all schedules\n%v\nwith the reduction\n%v", a, b)
		}
		if reduced.Schedules > all.Schedules {
			t.Fatalf("the reduction ran %d schedules, more than the %d without it", reduced.Schedules, all.Schedules)
		}
		allSchedules, reducedSchedules = allSchedules+all.Schedules, reducedSchedules+reduced.Schedules
	})
	t.Logf("%d schedules, reduced to %d", allSchedules, reducedSchedules)
}

var errLostUpdate = errors.New("an update was lost")

// Each of the classic concurrency errors is found, fails in a replay of its schedule, and is not found in the fixed form
// of the program.
func TestKnownConcurrencyErrors(t *testing.T) {
	type plain struct{ n int }
	for name, c := range map[string]struct {
		want       string
		newProgram func(fixed bool) il.Program
	}{
		"lost update": {errLostUpdate.Error(), func(fixed bool) il.Program {
			var x steps.Int64
			w := identicalThreads(2, func(int) {
				if fixed {
					x.Add(1)
					return
				}
				x.Store(x.Load() + 1)
			})
			w.Check = func() error {
				if x.Load() != 2 {
					return errLostUpdate
				}
				return nil
			}
			return w
		}},
		"double-checked locking": {"data race", func(fixed bool) il.Program {
			var mu steps.Mutex
			var set steps.Bool
			var p plain
			return identicalThreads(2, func(int) {
				if !set.Load() {
					mu.Lock()
					if !set.Load() {
						if !fixed {
							set.Store(true) // set before the value that it publishes
						}
						steps.Writes(&p)
						p.n = 1
						set.Store(true)
					}
					mu.Unlock()
				}
				steps.Reads(&p)
			})
		}},
		"locks in opposite orders": {"deadlock: t0 at lock, t1 at lock", func(fixed bool) il.Program {
			var mu [2]steps.Mutex
			return identicalThreads(2, func(i int) {
				if fixed {
					i = 0
				}
				mu[i].Lock()
				defer mu[i].Unlock()
				mu[1-i].Lock()
				defer mu[1-i].Unlock()
			})
		}},
		"missing lock": {"data race", func(fixed bool) il.Program {
			var mu steps.Mutex
			var p plain
			return identicalThreads(2, func(i int) {
				if i == 0 || fixed {
					mu.Lock()
					defer mu.Unlock()
				}
				steps.Writes(&p)
				p.n++
			})
		}},
		"lost wake-up": {"deadlock: t1 at receive", func(fixed bool) il.Program {
			var n steps.Int64
			wake := make(chan int, 1)
			return identicalThreads(2, func(i int) {
				switch {
				case i == 0 && fixed:
					n.Store(1)
					steps.TrySend(wake, 1)
				case i == 0:
					steps.TrySend(wake, 1)
					n.Store(1)
				default:
					for n.Load() == 0 {
						steps.Recv(wake)
					}
				}
			})
		}},
		"recursive read lock with a waiting writer": {"deadlock", func(fixed bool) il.Program {
			var mu steps.RWMutex
			return identicalThreads(2, func(i int) {
				if i == 0 {
					mu.Lock()
					mu.Unlock() //nolint:staticcheck,gocritic // SA2001, badLock: the empty critical section is the step
					return
				}
				mu.RLock()
				defer mu.RUnlock()
				if !fixed {
					mu.RLock()
					defer mu.RUnlock()
				}
			})
		}},
		"two unbuffered sends to each other": {"deadlock", func(fixed bool) il.Program {
			var n = 0
			if fixed {
				n = 1
			}
			ab, ba := make(chan int, n), make(chan int, n)
			return identicalThreads(2, func(i int) {
				out, in := ab, ba
				if i == 1 {
					out, in = ba, ab
				}
				steps.Send(out, i)
				if v, _ := steps.Recv(in); v != 1-i {
					il.Fail("got %d", v)
				}
			})
		}},
		"recursive Once.Do beside a started thread": {"deadlock", func(fixed bool) il.Program {
			var once steps.Once
			return identicalThreads(1, func(int) {
				steps.Go(func() { once.Do(func() {}) })
				once.Do(func() {
					if !fixed {
						once.Do(func() {})
					}
				})
			})
		}},
		"nondeterministic program": {"not deterministic", func(fixed bool) il.Program {
			var x, y steps.Int64
			return identicalThreads(2, func(int) {
				if runCount++; fixed || runCount%3 == 0 {
					x.Add(1)
				} else {
					y.Store(1)
				}
				x.Add(1)
			})
		}},
		"endless loop": {"not finished within", func(fixed bool) il.Program {
			var x steps.Int64
			return identicalThreads(2, func(int) {
				for x.Load() == 0 && !fixed {
				}
			})
		}},
	} {
		faulty := func() il.Program { return c.newProgram(false) }
		rep := il.Explore(il.Options{}, faulty)
		if rep.Failure == nil || !strings.Contains(rep.Failure.Message, c.want) {
			t.Errorf("%s: the error was not detected in %v; failure: %v", name, rep, rep.Failure)
			continue
		}
		if c.want != "not deterministic" && c.want != "not finished within" {
			if f := il.Replay(faulty, rep.Failure.Schedule); f == nil || !strings.Contains(f.Message, c.want) {
				t.Errorf("%s: the replay of %q does not fail in the same way: %v", name, rep.Failure.Schedule, f)
			}
		}
		if rep := il.Explore(il.Options{}, func() il.Program { return c.newProgram(true) }); rep.Failure != nil {
			t.Errorf("%s: the fixed program fails: %v", name, rep.Failure)
		}
	}
	if f := il.Replay(func() il.Program { return identicalThreads(1, func(int) {}) }, "t0 t7*3"); f == nil {
		t.Error("Replay accepted the schedule of another program")
	}
}

var runCount int

// BenchmarkSchedule measures the time per step of schedules of three threads with four steps each.
func BenchmarkSchedule(b *testing.B) {
	schedules, stepsMade := 0, 0
	for b.Loop() {
		rep := il.Explore(il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
			var x steps.Int64
			return identicalThreads(3, func(int) {
				for range 4 {
					x.Add(1)
				}
			})
		})
		schedules, stepsMade = schedules+rep.Schedules, stepsMade+12*rep.Schedules
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(stepsMade), "ns/step")
	b.ReportMetric(float64(schedules)/float64(b.N), "schedules/op")
}
