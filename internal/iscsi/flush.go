package iscsi

import (
	"time"

	"wheatsaddle/internal/writecache"
)

// maxFlushes is the maximum number of flushes that wait for a storage target's session, and of those that it has not answered.
const maxFlushes = 256

// flushResult is how a flush ended.
type flushResult int

const (
	flushConfirmed   flushResult = iota // the storage target has answered with GOOD
	flushRefused                        // the storage target has answered otherwise
	flushUnconfirmed                    // no answer
)

// flush is a SYNCHRONIZE CACHE for one storage target.
type flush struct {
	lun      uint16
	lba      uint64
	blocks   uint32 // 0: to the end of the unit
	deadline time.Time
	done     func(flushResult) // called once; does not block
}

// cdb encodes a SYNCHRONIZE CACHE(16) command.
func (f *flush) cdb() (c [16]byte) {
	c[0] = scsiSyncCache16
	be.PutUint64(c[2:], f.lba)
	be.PutUint32(c[10:], f.blocks)
	return c
}

// queueFlush queues a flush until there is a session.
func (p *storagePeer) queueFlush(f *flush) {
	if p.closing || len(p.flushes) >= maxFlushes {
		f.done(flushUnconfirmed)
		return
	}
	p.flushes = append(p.flushes, f)
}

// sendFlushes writes the queued flushes that the command window allows. A storage target that drains still gets them, as it holds the data.
func (p *storagePeer) sendFlushes() {
	switch {
	case len(p.flushes) == 0:
		return
	case p.logoutRequested:
		p.failFlushes()
		return
	case p.current == nil && p.portals != nil:
		p.portals.requestSession()
		return
	case p.current == nil:
		p.dial()
		return
	}
	for len(p.flushes) > 0 && p.current != nil && p.current.windowOpen() {
		p.current.startFlush(takeFirst(&p.flushes))
	}
	if p.current != nil {
		p.current.releaseIfIdle() // the deadlines of all flushes may have passed
	}
}

// failFlushes ends the queued flushes without an answer.
func (p *storagePeer) failFlushes() {
	for _, f := range p.flushes {
		f.done(flushUnconfirmed)
	}
	p.flushes = nil
}

// startFlush writes a flush, unless its deadline has passed.
func (x *nexus) startFlush(f *flush) {
	if !time.Now().Before(f.deadline) || len(x.flushes) >= maxFlushes {
		f.done(flushUnconfirmed)
		return
	}
	q := newPDU(opSCSICommand, x.nextTag())
	q.bhs[1] = flagFinal | simpleTaskAttribute
	encodeLUN(q.bhs[8:], f.lun)
	x.setNumbers(q)
	x.cmdSN++
	cdb := f.cdb()
	copy(q.bhs[32:], cdb[:])
	x.flushes[q.tag()] = f
	if _, ok := x.write(framing{}.append(nil, q)); !ok {
		x.disconnect()
	}
}

// endFlush ends the flush with a tag. It returns false if there is none.
func (x *nexus) endFlush(tag uint32, result flushResult) bool {
	f := x.flushes[tag]
	if f == nil {
		return false
	}
	delete(x.flushes, tag)
	f.done(result)
	return true
}

// handleFlushPDU handles the response to a flush. It returns false if the PDU belongs to something else.
func (x *nexus) handleFlushPDU(q *pdu) bool {
	if q.op() != opSCSIResponse {
		return false
	}
	result := flushRefused
	if q.bhs[2] == 0 && q.bhs[3] == statusGood {
		result = flushConfirmed
	}
	if !x.endFlush(q.tag(), result) {
		return false
	}
	if x.requestID != 0 {
		x.peer.portals.recordProgress(x)
	}
	return true
}

// noteCacheLoss notes that a write may have been in a cache that is lost with the connection. Its repeat is not written again where storage
// targets drop repeats.
func (x *nexus) noteCacheLoss(transfer *transfer) {
	if x.peer.dialer.DeduplicatesWrites && transfer.block.write && !transfer.block.forcesUnitAccess() {
		transfer.mayBeLost.Store(true)
	}
}

// recordWrite records that the storage target has a write, or has acknowledged it, which it may have in its cache only.
func (x *nexus) recordWrite(transfer *transfer) {
	b := transfer.block
	if b.forcesUnitAccess() {
		return
	}
	x.peer.dialer.recordWrite(writecache.Unit{Target: x.peer.name, LUN: transfer.lun}, b.blockRange(), transfer.initiator, transfer.mayBeLost.Load())
}

// hasSession reports whether the storage target has a session with this initiator.
func (p *storagePeer) hasSession() bool {
	if p.current != nil && p.current.conn != nil {
		return true
	}
	for x := range p.retiring {
		if x.conn != nil {
			return true
		}
	}
	return p.portals != nil && p.portals.hasSession()
}
