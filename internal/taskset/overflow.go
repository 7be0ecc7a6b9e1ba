package taskset

import "time"

const (
	// MaxOverflows is the maximum number of sessions whose commands that are not kept are counted. Those of further sessions are counted
	// together.
	MaxOverflows = 1024
	// anySession is the key of the overflow of further sessions. No session has it.
	anySession = 0
)

// overflow stands for the commands of a session that are not kept because there are too many.
type overflow struct {
	commandState               // of one of them, without its LUN and tag
	anySession   bool          // the commands are of any sessions
	openCommands int           // whose further attempts may begin
	until        time.Duration // until then an attempt of one that has ended may run
}

// beginOverflow adds a command that is not kept.
func (s *Set) beginOverflow(c Command) *overflow {
	session := c.Session
	if s.overflows[session] == nil && len(s.overflows) >= MaxOverflows {
		session = anySession
	}
	o := s.overflows[session]
	if o == nil {
		o = &overflow{commandState: commandState{Command: c}, anySession: session == anySession}
		s.overflows[session] = o
	}
	o.openCommands++
	return o
}

// end records that no further attempt of one command begins.
func (o *overflow) end(until time.Duration) {
	o.openCommands--
	o.until = until
}

// mayHaveEffect reports whether one of the commands may still have an effect.
func (o *overflow) mayHaveEffect(now time.Duration) bool { return o.openCommands > 0 || now < o.until }

// overflowMayHaveEffect reports whether a command that is not kept, and that the scope may cover, may still have an effect.
func (s *Set) overflowMayHaveEffect(now time.Duration, scope Scope) bool {
	for _, o := range s.overflows {
		if o.mayHaveEffect(now) && (o.anySession || scope.mayCover(&o.commandState)) {
			return true
		}
	}
	return false
}

// dropExpiredOverflows drops the overflows whose commands can have no effect any more.
func (s *Set) dropExpiredOverflows(now time.Duration) {
	for session, o := range s.overflows {
		if !o.mayHaveEffect(now) {
			delete(s.overflows, session)
		}
	}
}
