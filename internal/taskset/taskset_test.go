package taskset

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const (
	limit      = 5 * time.Second
	lostPeriod = 30 * time.Second
)

// command returns a command of a session with the given number, whose initiator has the same number.
func command(session int, lun uint16, tag uint32) Command {
	return Command{Session: uint64(session), Initiator: fmt.Sprint("i", session%2), Nexus: fmt.Sprint("n", session%3), Target: "t", LUN: lun, Tag: tag}
}

// expect fails unless the decisions since the last call are those.
func expect(t *testing.T, s *Set, want ...Decision) {
	t.Helper()
	if got := s.Decisions(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("decisions %v, want %v", got, want)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

// Guards against an answer to ABORT TASK while the storage target still has the write.
func TestFunctionWaitsForRunningAttempt(t *testing.T) {
	s := New(lostPeriod)
	id := s.Begin(0, command(1, 0, 7))
	s.AttemptBegan(id)
	if covered := s.Await(0, 1, Task(1, 0, 7), limit); covered != 1 {
		t.Errorf("%d commands covered, want 1", covered)
	}
	s.End(time.Second, id)
	expect(t, s)
	s.AttemptFinished(2*time.Second, id)
	expect(t, s, Decision{1, NoEffect})
	if s.Len() != 0 {
		t.Errorf("%d commands are kept", s.Len())
	}
	s.Await(3*time.Second, 2, Task(1, 0, 7), 3*time.Second+limit)
	expect(t, s, Decision{2, NoEffect})
}

// A function is decided at its limit, and at once if the outcome of an attempt will not be known by then.
func TestFunctionOverUnknownOutcome(t *testing.T) {
	s := New(lostPeriod)
	running, lost := s.Begin(0, command(1, 0, 7)), s.Begin(0, command(1, 1, 8))
	s.AttemptBegan(running)
	s.AttemptBegan(lost)
	s.Await(0, 1, Task(1, 0, 7), limit)
	s.Await(0, 2, Task(1, 1, 8), limit)
	s.AttemptLost(time.Second, lost)
	expect(t, s, Decision{2, MayStillRun})
	s.End(time.Second, lost)
	s.Expire(limit - 1)
	expect(t, s)
	s.Expire(limit)
	expect(t, s, Decision{1, MayStillRun})
	s.Await(time.Second+lostPeriod-limit+1, 3, Task(1, 1, 8), time.Second+lostPeriod+1)
	expect(t, s) // by the limit the attempt can have no effect any more
	s.Expire(time.Second + lostPeriod)
	expect(t, s, Decision{3, NoEffect})
}

// A late response of a storage target settles an attempt whose abort it had confirmed. Without one the function fails, at once if the
// connection ends.
func TestAbortedAttempt(t *testing.T) {
	s := New(lostPeriod)
	responds, cutOff := s.Begin(0, command(1, 0, 7)), s.Begin(0, command(1, 1, 8))
	for _, id := range []ID{responds, cutOff} {
		s.AttemptBegan(id)
		s.End(0, id)
		s.AttemptAborted(0, id)
	}
	s.Await(0, 1, Unit("t", 0), limit)
	s.Await(0, 2, Unit("t", 1), limit)
	expect(t, s)
	s.AbortedAttemptFinished(time.Second, responds)
	expect(t, s, Decision{1, NoEffect})
	s.AbortedAttemptLost(time.Second, cutOff)
	expect(t, s, Decision{2, MayStillRun})
	s.Await(lostPeriod, 3, Unit("t", 1), lostPeriod+limit)
	expect(t, s, Decision{3, NoEffect})
}

func TestScopes(t *testing.T) {
	for name, x := range map[string]struct {
		scope   Scope
		covered int
	}{
		"a task":              {Task(1, 0, 1), 1},
		"an unknown task":     {Task(1, 0, 9), 0},
		"a task elsewhere":    {Task(1, 3, 1), 0},
		"a session's unit":    {SessionUnit(1, 0), 2},
		"a session":           {Session(1), 3},
		"a unit":              {Unit("t", 0), 3},
		"another target":      {Unit("u", 0), 0},
		"a target":            {Target("t"), 5},
		"a login":             {FormerSessions("i1", "t", "none"), 1},
		"a reinstated nexus":  {FormerSessions("i1", "t", "n1"), 4},
		"another initiator's": {FormerSessions("i2", "t", "n1"), 0},
	} {
		s := New(lostPeriod)
		s.Begin(0, command(1, 0, 1))
		s.Begin(0, command(1, 0, 2))
		s.Begin(0, command(1, 1, 3))
		s.Begin(0, command(2, 0, 1))
		s.Begin(0, command(3, 1, 1))
		s.SessionEnded(3)
		if covered := s.Await(0, 1, x.scope, limit); covered != x.covered {
			t.Errorf("%s: %d commands covered, want %d", name, covered, x.covered)
		}
	}
}

// Guards against a login that is confirmed while an attempt of a former session, whose outcome will not become known, may still run.
func TestLoginWaitsForLostAttempts(t *testing.T) {
	s := New(lostPeriod)
	id := s.Begin(0, command(1, 0, 7))
	s.AttemptBegan(id)
	s.End(0, id)
	s.SessionEnded(1)
	s.Await(0, 1, FormerSessions("i1", "t", "n9"), limit)
	expect(t, s)
	s.AttemptLost(time.Second, id)
	expect(t, s, Decision{1, MayStillRun})
	s.Await(time.Second, 2, FormerSessions("i1", "t", "n9"), time.Second+limit)
	s.Await(time.Second, 3, FormerSessions("i0", "t", "n9"), time.Second+limit)
	expect(t, s, Decision{2, MayStillRun}, Decision{3, NoEffect})
	s.Await(time.Second+lostPeriod, 4, FormerSessions("i1", "t", "n9"), time.Second+lostPeriod+limit)
	expect(t, s, Decision{4, NoEffect})
}

// Guards against a login that is confirmed while an attempt of a former session, whose abort was confirmed, may still run.
func TestLoginWaitsForAbortedAttempts(t *testing.T) {
	for _, responds := range []bool{true, false} {
		s := New(lostPeriod)
		id := s.Begin(0, command(1, 0, 7))
		s.AttemptBegan(id)
		s.End(0, id)
		s.SessionEnded(1)
		s.AttemptAborted(0, id)
		s.Await(0, 1, FormerSessions("i1", "t", "n9"), limit)
		s.Expire(limit - 1)
		expect(t, s)
		if responds {
			s.AbortedAttemptFinished(limit-1, id)
			expect(t, s, Decision{1, NoEffect})
			continue
		}
		s.Expire(limit)
		expect(t, s, Decision{1, MayStillRun})
		s.Await(lostPeriod, 2, FormerSessions("i1", "t", "n9"), lostPeriod+limit)
		expect(t, s, Decision{2, NoEffect})
	}
}

// fill begins commands of a session until no further one is kept, and returns the first one that is not.
func fill(s *Set, session int) ID {
	for i := range MaxCommands {
		s.Begin(0, command(session, 0, uint32(i)))
	}
	return s.Begin(0, command(session, 0, MaxCommands))
}

// Commands beyond the bound count as covered by every function that covers their session.
func TestCommandsBeyondTheBound(t *testing.T) {
	s := New(lostPeriod)
	last := fill(s, 1)
	if last.IsKept() || s.Len() != MaxCommands {
		t.Fatalf("%d commands are kept, the last as %+v", s.Len(), last)
	}
	s.AttemptBegan(last)
	s.AttemptLost(0, last)
	s.Await(0, 1, Task(1, 3, 9), limit)
	s.Await(0, 2, Task(2, 3, 9), limit)
	s.Await(0, 3, Unit("t", 3), limit)
	s.Await(0, 4, FormerSessions("i1", "t", "n9"), limit)
	expect(t, s, Decision{1, MayStillRun}, Decision{2, NoEffect}, Decision{3, MayStillRun}, Decision{4, NoEffect})
	s.SessionEnded(1)
	s.End(time.Second, last)
	s.Await(lostPeriod, 5, Task(1, 3, 9), lostPeriod+limit)
	s.Await(lostPeriod, 6, FormerSessions("i1", "t", "n9"), lostPeriod+limit)
	s.Await(lostPeriod, 7, FormerSessions("i0", "t", "n9"), lostPeriod+limit)
	expect(t, s, Decision{5, MayStillRun}, Decision{6, MayStillRun}, Decision{7, NoEffect})
	s.Await(time.Second+lostPeriod, 8, Task(1, 3, 9), time.Second+lostPeriod+limit)
	expect(t, s, Decision{8, NoEffect})
}

// The commands of further sessions that are not kept count as covered by every function.
func TestSessionsBeyondTheBound(t *testing.T) {
	s := New(lostPeriod)
	fill(s, 1)
	for session := 2; session <= MaxOverflows; session++ {
		s.Begin(0, command(session, 0, 1))
	}
	s.Await(0, 1, Task(5000, 0, 1), limit)
	expect(t, s, Decision{1, NoEffect})
	further := s.Begin(0, command(5000, 0, 1))
	s.Begin(0, command(5002, 0, 1))
	s.Await(0, 2, Task(5004, 0, 1), limit)
	expect(t, s, Decision{2, MayStillRun})
	s.End(0, further)
	s.Await(lostPeriod, 3, FormerSessions("i1", "t", "n9"), lostPeriod+limit)
	expect(t, s, Decision{3, MayStillRun})
}

// A function that is forgotten is not decided, and the end of the program decides all others.
func TestForgottenAndExpiredFunctions(t *testing.T) {
	s := New(lostPeriod)
	s.Begin(0, command(1, 0, 7))
	s.Await(0, 1, Session(1), limit)
	s.Await(0, 2, Session(1), limit)
	s.Forget(1)
	s.ExpireAll(time.Second)
	expect(t, s, Decision{2, MayStillRun})
}

// modelCommand is a command as the random test knows it. runsAt are the times at which its lost attempts run, unknown to the set.
type modelCommand struct {
	Command
	id       ID
	open     bool
	running  int
	lostRuns []time.Duration
	aborted  int // among them
}

// randomEvents plays random events against a set, and checks that no command runs after a function that covered it was decided as NoEffect.
type randomEvents struct {
	t         *testing.T
	set       *Set
	rng       *rand.Rand
	now       time.Duration
	commands  []*modelCommand
	functions map[FunctionID][]*modelCommand // covered
	limits    map[FunctionID]time.Duration
	over      map[*modelCommand]FunctionID // covered by a function that was decided as NoEffect
	last      FunctionID
	covered   int // commands that became covered so
}

func (r *randomEvents) ran(c *modelCommand) {
	if id, over := r.over[c]; over {
		r.t.Fatalf("at %v: command %+v runs after function %d was decided as NoEffect", r.now, c.id, id)
	}
}

func (r *randomEvents) step() {
	r.now += time.Duration(r.rng.Intn(300)) * time.Millisecond
	for _, c := range r.commands {
		c.lostRuns = slices.DeleteFunc(c.lostRuns, func(at time.Duration) bool {
			if at <= r.now {
				r.ran(c)
			}
			return at <= r.now
		})
	}
	r.takeDecisions()
	switch choice := r.rng.Intn(20); {
	case choice == 0:
		c := &modelCommand{Command: command(r.rng.Intn(4), uint16(r.rng.Intn(2)), uint32(r.rng.Intn(6))), open: true}
		c.id = r.set.Begin(r.now, c.Command)
		r.commands = append(r.commands, c)
	case choice < 4:
		r.addFunction()
	case len(r.commands) > 0:
		r.changeCommand(r.commands[max(0, len(r.commands)-1-r.rng.Intn(8))])
	}
	r.set.Expire(r.now)
	r.takeDecisions()
	if err := r.set.Check(); err != nil {
		r.t.Fatal(err)
	}
}

// changeCommand starts or ends an attempt of a command, or ends the command.
func (r *randomEvents) changeCommand(c *modelCommand) {
	choice := r.rng.Intn(7)
	switch {
	case choice == 0 && c.open:
		c.open = false
		r.set.End(r.now, c.id)
	case choice == 1 && c.open:
		c.running++
		r.set.AttemptBegan(c.id)
		r.ran(c)
	case choice == 2 && c.running > 0:
		c.running--
		r.ran(c)
		r.set.AttemptFinished(r.now, c.id)
	case choice == 3 && c.running > 0:
		c.running--
		c.lostRuns = append(c.lostRuns, r.now+time.Duration(r.rng.Int63n(int64(lostPeriod))))
		r.set.AttemptLost(r.now, c.id)
	case choice == 4 && c.running > 0:
		c.running--
		c.aborted++
		c.lostRuns = append(c.lostRuns, r.now+time.Duration(r.rng.Int63n(int64(lostPeriod))))
		r.set.AttemptAborted(r.now, c.id)
	case choice == 5 && c.aborted > 0 && len(c.lostRuns) == 1:
		c.aborted, c.lostRuns = 0, nil
		r.ran(c)
		r.set.AbortedAttemptFinished(r.now, c.id)
	case choice == 6 && c.aborted > 0:
		r.set.AbortedAttemptLost(r.now, c.id)
	}
}

func (r *randomEvents) addFunction() {
	r.last++
	scope := []Scope{Task(uint64(r.rng.Intn(4)), 0, uint32(r.rng.Intn(6))), SessionUnit(uint64(r.rng.Intn(4)), 1), Session(uint64(r.rng.Intn(4))),
		Unit("t", 0), Target("t"), FormerSessions(fmt.Sprint("i", r.rng.Intn(2)), "t", fmt.Sprint("n", r.rng.Intn(3)))}[r.rng.Intn(6)]
	for _, c := range r.commands {
		if scope.covers(&commandState{Command: c.Command}) {
			r.functions[r.last] = append(r.functions[r.last], c)
		}
	}
	r.limits[r.last] = r.now + time.Duration(r.rng.Int63n(int64(limit)))
	r.set.Await(r.now, r.last, scope, r.limits[r.last])
}

func (r *randomEvents) takeDecisions() {
	for _, d := range r.set.Decisions() {
		covered, known := r.functions[d.Function], r.limits[d.Function] > 0
		if !known {
			r.t.Fatalf("function %d was decided twice or does not exist", d.Function)
		}
		delete(r.functions, d.Function)
		delete(r.limits, d.Function)
		if d.Outcome == MayStillRun {
			continue
		}
		for _, c := range covered {
			if r.over[c] == 0 {
				r.over[c] = d.Function
				r.covered++
			}
		}
	}
	for id, at := range r.limits {
		if r.now > at+time.Second {
			r.t.Fatalf("function %d was not decided by its limit", id)
		}
	}
}

// Guards against a run of a command after a function that promised that there would be none.
func TestNoRunAfterNoEffect(t *testing.T) {
	for seed := range int64(50) {
		r := &randomEvents{t: t, set: New(lostPeriod), rng: rand.New(rand.NewSource(seed)), functions: map[FunctionID][]*modelCommand{},
			limits: map[FunctionID]time.Duration{}, over: map[*modelCommand]FunctionID{}}
		for range 4500 {
			r.step()
		}
		if r.covered < 20 {
			t.Errorf("seed %d: only %d commands were covered by a function that was decided as NoEffect", seed, r.covered)
		}
	}
}
