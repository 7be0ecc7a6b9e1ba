// Package taskset knows which write commands of initiators may still have an effect at a storage target, and decides when a function may be
// answered that promises that they have none: ABORT TASK and its relatives, a logout, or the login of an initiator whose earlier session
// has ended. It has no I/O and no clock: it is told of commands, their attempts and the time, and returns decisions.
//
// A command may still have an effect while a further attempt of it may begin, while one of its attempts runs, and for the lost period after
// the connection of an attempt was lost or its abort confirmed, because neither stops a storage target.
//
// Invariants:
//   - A function is decided exactly once, at its limit at the latest.
//   - A function is decided as NoEffect only if no command that it covers may still have an effect.
//   - At most MaxCommands commands are kept. Those beyond are counted by session, of at most MaxOverflows sessions, and may each have any
//     LUN and tag: they may have an effect until the lost period after their end.
//
// Sources: SAM-5, task management functions; RFC 7143, 6.3.5 (session reinstatement), 11.5, 11.6 and 11.14.
package taskset

import (
	"fmt"
	"slices"
	"time"
)

// MaxCommands is the maximum number of commands that are kept.
const MaxCommands = 8192

// Command identifies a write command by the session that sent it.
type Command struct {
	Session   uint64 // unique among all sessions
	Initiator string
	Nexus     string // initiator port and target
	Target    string
	LUN       uint16
	Tag       uint32 // initiator task tag
}

// ID identifies a command within a Set.
type ID struct {
	number   uint64    // zero: the command is not kept
	overflow *overflow // to which a command belongs that is not kept
}

// IsKept reports whether the command is kept.
func (id ID) IsKept() bool { return id.number != 0 }

// FunctionID identifies a function. The caller chooses it.
type FunctionID uint64

// Outcome is the decision about a function.
type Outcome int

// The outcomes.
const (
	NoEffect    Outcome = iota // the commands will have no further effect
	MayStillRun                // one of them may still run
)

// Decision is the decision about one function.
type Decision struct {
	Function FunctionID
	Outcome  Outcome
}

// commandState is what is known of a command.
type commandState struct {
	Command
	open      bool // a further attempt may begin
	running   int  // attempts whose outcome is awaited
	lost      int  // attempts whose outcome may not become known
	lostUntil time.Duration
	cutOff    bool // the connection of a lost attempt has ended, so that its outcome will not become known
	orphaned  bool // its session has ended
}

// mayRun reports whether a further attempt may begin or an outcome is awaited.
func (c *commandState) mayRun() bool { return c.open || c.running > 0 }

// mayHaveEffect reports whether the command may still have an effect.
func (c *commandState) mayHaveEffect(now time.Duration) bool {
	return c.mayRun() || c.lost > 0 && now < c.lostUntil
}

// functionState is a function that is not decided.
type functionState struct {
	scope   Scope
	pending map[ID]bool // covered commands that may still have an effect
	limit   time.Duration
}

// Set keeps the commands and functions. It must not be used by several goroutines at once. Times are durations since a fixed origin and
// never decrease.
type Set struct {
	lostPeriod time.Duration
	lastNumber uint64
	commands   map[ID]*commandState
	overflows  map[uint64]*overflow // by session
	functions  map[FunctionID]*functionState
	decisions  []Decision
}

// New returns an empty set. lostPeriod is how long an attempt may still run whose connection was lost.
func New(lostPeriod time.Duration) *Set {
	return &Set{lostPeriod: lostPeriod, commands: map[ID]*commandState{}, overflows: map[uint64]*overflow{}, functions: map[FunctionID]*functionState{}}
}

// Begin adds a command, of which attempts may begin from now on.
func (s *Set) Begin(now time.Duration, c Command) ID {
	if len(s.commands) >= MaxCommands {
		s.dropExpired(now)
	}
	if len(s.commands) >= MaxCommands {
		return ID{overflow: s.beginOverflow(c)}
	}
	s.lastNumber++
	id := ID{number: s.lastNumber}
	s.commands[id] = &commandState{Command: c, open: true}
	return id
}

// End records that no further attempt of a command begins. Attempts that run go on.
func (s *Set) End(now time.Duration, id ID) {
	if !id.IsKept() {
		id.overflow.end(now + s.lostPeriod)
		return
	}
	if c := s.commands[id]; c != nil {
		c.open = false
	}
	s.settle(now, id)
}

// AttemptBegan records that an attempt of a command is about to be sent.
func (s *Set) AttemptBegan(id ID) {
	if c := s.commands[id]; c != nil {
		c.running++
	}
}

// AttemptFinished records that an attempt that runs will have no further effect: it was not sent, or the storage target has responded.
func (s *Set) AttemptFinished(now time.Duration, id ID) {
	if c := s.commands[id]; c != nil {
		c.running--
	}
	s.settle(now, id)
}

// AttemptAborted records that the storage target has confirmed the abort of an attempt that runs. It may go on with it nevertheless, and
// respond.
func (s *Set) AttemptAborted(now time.Duration, id ID) { s.lose(now, id, false) }

// AttemptLost records that the outcome of an attempt that runs will not become known, because its connection has ended.
func (s *Set) AttemptLost(now time.Duration, id ID) { s.lose(now, id, true) }

func (s *Set) lose(now time.Duration, id ID, cutOff bool) {
	if c := s.commands[id]; c != nil {
		c.running--
		c.lost++
		c.lostUntil = now + s.lostPeriod
		c.cutOff = c.cutOff || cutOff
	}
	s.settle(now, id)
}

// AbortedAttemptLost records that the connection of an aborted attempt has ended.
func (s *Set) AbortedAttemptLost(now time.Duration, id ID) {
	if c := s.commands[id]; c != nil {
		c.cutOff = true
	}
	s.settle(now, id)
}

// AbortedAttemptFinished records that the storage target has responded to an attempt after AttemptAborted.
func (s *Set) AbortedAttemptFinished(now time.Duration, id ID) {
	if c := s.commands[id]; c != nil && c.lost > 0 {
		c.lost--
	}
	s.settle(now, id)
}

// SessionEnded records that the session of commands has ended, so that a login of its initiator waits for them.
func (s *Set) SessionEnded(session uint64) {
	for _, c := range s.commands {
		if c.Session == session {
			c.orphaned = true
		}
	}
	if o := s.overflows[session]; o != nil {
		o.orphaned = true
	}
}

// Await adds a function over the commands that the scope covers now. It is decided by limit at the latest. It returns how many commands
// are covered that may still have an effect.
func (s *Set) Await(now time.Duration, id FunctionID, scope Scope, limit time.Duration) int {
	f := &functionState{scope: scope, pending: map[ID]bool{}, limit: limit}
	s.functions[id] = f
	for commandID, c := range s.commands {
		if scope.covers(c) && c.mayHaveEffect(now) {
			f.pending[commandID] = true
		}
	}
	covered := len(f.pending)
	s.decide(now, id, f)
	return covered
}

// Forget removes a function that nobody waits for any more.
func (s *Set) Forget(id FunctionID) { delete(s.functions, id) }

// Expire decides the functions whose limit has passed, and drops the commands that can have no effect any more.
func (s *Set) Expire(now time.Duration) {
	for _, id := range s.dropExpired(now) {
		s.settle(now, id)
	}
	for id, f := range s.functions {
		s.decide(now, id, f)
	}
}

// ExpireAll decides all functions now, because the program ends.
func (s *Set) ExpireAll(now time.Duration) {
	for _, f := range s.functions {
		f.limit = min(f.limit, now)
	}
	s.Expire(now)
}

// Decisions returns the decisions since the last call, in the order of the functions' ids.
func (s *Set) Decisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	slices.SortFunc(decisions, func(a, b Decision) int { return int(a.Function) - int(b.Function) })
	return decisions
}

// settle removes a command from the functions that need not wait for it any more, and drops it if it can have no effect any more.
func (s *Set) settle(now time.Duration, id ID) {
	c := s.commands[id]
	if c == nil {
		return
	}
	for functionID, f := range s.functions {
		if f.pending[id] {
			s.decide(now, functionID, f)
		}
	}
	if !c.mayHaveEffect(now) {
		delete(s.commands, id)
	}
}

// decide decides a function if its commands can have no effect any more, or if that cannot be known by its limit.
func (s *Set) decide(now time.Duration, id FunctionID, f *functionState) {
	hopeless := s.overflowMayHaveEffect(now, f.scope)
	for commandID := range f.pending {
		c := s.commands[commandID]
		if c == nil || !c.mayHaveEffect(now) {
			delete(f.pending, commandID)
			continue
		}
		hopeless = hopeless || c.cutOff && c.lostUntil > f.limit
	}
	switch {
	case len(f.pending) == 0 && !hopeless:
		s.decisions = append(s.decisions, Decision{id, NoEffect})
	case hopeless || now >= f.limit:
		s.decisions = append(s.decisions, Decision{id, MayStillRun})
	default:
		return
	}
	delete(s.functions, id)
}

// dropExpired drops the commands whose lost attempts can have no effect any more, and returns their ids.
func (s *Set) dropExpired(now time.Duration) (dropped []ID) {
	for id, c := range s.commands {
		if !c.mayHaveEffect(now) {
			delete(s.commands, id)
			dropped = append(dropped, id)
		}
	}
	s.dropExpiredOverflows(now)
	return dropped
}

// Len returns the number of commands that are kept.
func (s *Set) Len() int { return len(s.commands) }

// Check verifies the invariants that concern the state of the set.
func (s *Set) Check() error {
	if len(s.commands) > MaxCommands || len(s.overflows) > MaxOverflows+1 {
		return fmt.Errorf("%d commands are kept, those of %d sessions are not", len(s.commands), len(s.overflows))
	}
	for session, o := range s.overflows {
		if o.openCommands < 0 {
			return fmt.Errorf("session %d has %d open commands that are not kept", session, o.openCommands)
		}
	}
	for id, c := range s.commands {
		if c.running < 0 || c.lost < 0 {
			return fmt.Errorf("command %d has %d running and %d lost attempts", id.number, c.running, c.lost)
		}
	}
	for id, f := range s.functions {
		if len(f.pending) == 0 {
			return fmt.Errorf("function %d waits for nothing", id)
		}
	}
	return nil
}
