package taskset

// scopeKind is what a scope covers.
type scopeKind int

const (
	oneTask scopeKind = iota
	sessionUnit
	session
	unit
	target
	formerSessions
)

// Scope tells which commands a function covers.
type Scope struct {
	kind    scopeKind
	command Command // the fields that the kind compares
}

// Task covers the commands of a session with one tag at a logical unit.
func Task(sessionID uint64, lun uint16, tag uint32) Scope {
	return Scope{oneTask, Command{Session: sessionID, LUN: lun, Tag: tag}}
}

// SessionUnit covers the commands of a session at a logical unit.
func SessionUnit(sessionID uint64, lun uint16) Scope {
	return Scope{sessionUnit, Command{Session: sessionID, LUN: lun}}
}

// Session covers the commands of a session.
func Session(sessionID uint64) Scope { return Scope{session, Command{Session: sessionID}} }

// Unit covers the commands of all sessions at a logical unit.
func Unit(targetName string, lun uint16) Scope {
	return Scope{unit, Command{Target: targetName, LUN: lun}}
}

// Target covers the commands of all sessions with a target.
func Target(targetName string) Scope { return Scope{target, Command{Target: targetName}} }

// FormerSessions covers the commands of an initiator's sessions with a target that have ended, or that end because the initiator logs in
// again under the same nexus.
func FormerSessions(initiator, targetName, nexus string) Scope {
	return Scope{formerSessions, Command{Initiator: initiator, Target: targetName, Nexus: nexus}}
}

// covers reports whether the scope covers a command.
func (s Scope) covers(c *commandState) bool {
	switch s.kind {
	case oneTask:
		return c.Session == s.command.Session && c.LUN == s.command.LUN && c.Tag == s.command.Tag
	case sessionUnit:
		return c.Session == s.command.Session && c.LUN == s.command.LUN
	case session:
		return c.Session == s.command.Session
	case unit:
		return c.Target == s.command.Target && c.LUN == s.command.LUN
	case target:
		return c.Target == s.command.Target
	case formerSessions:
		return c.Initiator == s.command.Initiator && c.Target == s.command.Target && (c.orphaned || c.Nexus == s.command.Nexus)
	}
	return true
}

// mayCover reports whether the scope covers a command whose LUN and tag are not known, if they are those of the scope.
func (s Scope) mayCover(c *commandState) bool {
	matching := *c
	matching.LUN, matching.Tag = s.command.LUN, s.command.Tag
	return s.covers(&matching)
}
