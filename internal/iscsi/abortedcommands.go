package iscsi

// maxAbortedCommands is the maximum number of aborted commands whose late PDUs are recognized.
const maxAbortedCommands = 256

// abortedCommands holds the commands whose abort the storage target has confirmed, the last ones of one nexus. A storage target that goes on
// with such a command may still send PDUs for it.
type abortedCommands struct {
	byTag map[uint32]*command
	tags  []uint32 // in the order of their aborts
}

// add adds a command, and removes the oldest one if there are too many.
func (a *abortedCommands) add(c *command) {
	if a.byTag == nil {
		a.byTag = map[uint32]*command{}
	}
	if len(a.tags) >= maxAbortedCommands {
		a.remove(a.tags[0])
		a.tags = a.tags[1:]
	}
	a.byTag[c.itt] = c
	a.tags = append(a.tags, c.itt)
}

// ignores reports whether a PDU belongs to an aborted command. A response settles what the command may still do.
func (a *abortedCommands) ignores(q *pdu) bool {
	c := a.byTag[q.tag()]
	if c == nil {
		return false
	}
	switch q.op() {
	case opSCSIResponse:
		delete(a.byTag, c.itt)
		c.transfer.effect.abortedAttemptFinished()
	case opDataIn, opR2T:
	default:
		return false
	}
	return true
}

// connectionEnded removes all commands, whose responses cannot come any more.
func (a *abortedCommands) connectionEnded() {
	for _, tag := range a.tags {
		a.remove(tag)
	}
	a.tags = nil
}

// remove removes a command whose response is not recognized any more.
func (a *abortedCommands) remove(tag uint32) {
	if c := a.byTag[tag]; c != nil {
		delete(a.byTag, tag)
		c.transfer.effect.abortedAttemptLost()
	}
}
