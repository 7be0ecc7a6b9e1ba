package iscsi

import (
	"errors"
	"fmt"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// nexus is one session with the storage target by one of its portals: one connection, many
// commands. A command that was written on it ends on it, or with it.
type nexus struct {
	p                     *peer
	link                  *link // nil: it has ended
	byTag                 map[uint32]*command
	zombies               int
	cmdSN, expStatSN, itt uint32
	maxCmdSN              uint32
	heard                 time.Time
	pinged                bool
	logout                time.Time
	conn                  address.Conn // the book's, where there is one
	busy                  address.Req  // the book's, while commands are out; 0: none
	spoke                 bool         // one of those was answered
}

// newNexus takes a link that has logged in, and reads from it.
func newNexus(p *peer, l *link) *nexus {
	x := &nexus{p: p, link: l, byTag: map[uint32]*command{}, cmdSN: 1, maxCmdSN: l.window, heard: time.Now()}
	go func() {
		in := framing{most: ourSegment}
		for {
			q, err := in.read(l.br)
			if err != nil {
				p.post(mail{err: err, from: x})
				return
			}
			p.post(mail{pdu: q, from: x})
		}
	}()
	return x
}

// room says whether the command window takes one more.
func (x *nexus) room() bool { return x.link != nil && int32(x.maxCmdSN-x.cmdSN) >= 0 }

// live says whether commands that somebody waits for are out on it.
func (x *nexus) live() bool { return len(x.byTag) > x.zombies }

// finished ends what is over: the book's request once no command is out, and the session once
// another has taken its place.
func (x *nexus) finished() {
	if x.link == nil || x.live() {
		return
	}
	if x.busy != 0 {
		x.p.portals.rest(x)
	}
	if x.p.old[x] {
		x.bye()
	}
}

// bye logs out and ends the session.
func (x *nexus) bye() {
	if x.link != nil {
		x.sayLogout()
		x.down()
	}
}

// down ends the connection. What was written may have run: one outcome each, reset.
func (x *nexus) down() {
	if x.link == nil {
		return
	}
	x.link.nc.Close()
	x.link = nil
	if x.p.cur == x {
		x.p.cur = nil
		x.p.redial = time.Now().Add(redialEvery)
	}
	delete(x.p.old, x)
	for tag, c := range x.byTag {
		delete(x.byTag, tag)
		x.p.report(c, core.Result{Status: policy.ConnectionReset})
	}
	x.zombies = 0
	if x.conn != 0 {
		x.p.portals.lost(x)
	}
}

// abort asks the target not to run a command that was given up.
func (x *nexus) abort(c *command) {
	if x.zombies++; x.zombies > zombieMost {
		x.down()
		return
	}
	q := newPDU(opTaskMgmtReq, c.itt|1<<31)
	q.bhs[0] |= immediate
	q.bhs[1] = flagF | tmAbortTask
	encodeLUN(q.bhs[8:], c.job.lun)
	q.put32(20, c.itt)
	x.stamp(q)
	q.put32(32, c.cmdSN)
	if _, ok := x.write(framing{}.append(nil, q)); !ok {
		x.down()
	}
}

// write sends bytes; n tells how many went out before an error, which ends the connection.
func (x *nexus) write(b []byte) (n int, ok bool) {
	err := x.link.nc.SetWriteDeadline(time.Now().Add(stallTimeout))
	if err == nil {
		n, err = x.link.nc.Write(b)
	}
	return n, err == nil
}

func (x *nexus) stamp(q *pdu) {
	q.put32(24, x.cmdSN)
	q.put32(28, x.expStatSN)
}

// start writes a command with the data that may go unsolicited.
func (x *nexus) start(c *command) {
	c.on = x
	x.itt++
	if x.itt == noTag {
		x.itt = 1
	}
	c.itt = x.itt
	q := newPDU(opSCSICommand, c.itt)
	q.bhs[1] = 0x01 // simple task attribute
	encodeLUN(q.bhs[8:], c.job.lun)
	q.put32(20, c.job.size)
	x.stamp(q)
	c.cmdSN = x.cmdSN
	x.cmdSN++
	cdb := c.job.block.cdb()
	copy(q.bhs[32:], cdb[:])
	var more []byte
	neg := &x.link.p
	if c.job.block.write {
		q.bhs[1] |= 0x20
		first, at := min(c.job.size, neg.firstBurst), uint32(0)
		if neg.immediateData {
			at = min(first, neg.theirMost)
			q.data = c.job.data[:at]
		}
		if !neg.initialR2T && at < first {
			more = x.dataOut(nil, c, noTag, at, first-at)
		} else {
			q.bhs[1] |= flagF
		}
		if x.p.d.DropsRepeats {
			q.ahs = keyAHS(c.job.key)
		}
	} else {
		q.bhs[1] |= 0x40 | flagF
		c.data = make([]byte, 0, c.job.size)
	}
	b := framing{}.append(nil, q)
	whole := len(b)
	n, ok := x.write(append(b, more...))
	if c.written = n >= whole; !c.written {
		x.p.report(c, core.Result{Status: policy.ConnectFailed})
	} else {
		x.byTag[c.itt] = c
	}
	if !ok {
		x.down()
	}
}

// dataOut encodes a sequence of Data-Out PDUs.
func (x *nexus) dataOut(dst []byte, c *command, ttt, at, n uint32) []byte {
	for sn, end := uint32(0), at+n; at < end; sn++ {
		part := min(end-at, x.link.p.theirMost)
		d := newPDU(opDataOut, c.itt)
		encodeLUN(d.bhs[8:], c.job.lun)
		d.data = c.job.data[at : at+part]
		d.put32(20, ttt)
		d.put32(28, x.expStatSN)
		d.put32(36, sn)
		d.put32(40, at)
		if at += part; at == end {
			d.bhs[1] = flagF
		}
		dst = framing{}.append(dst, d)
	}
	return dst
}

// over forgets a command's tag.
func (x *nexus) over(c *command) {
	if x.byTag[c.itt] == c {
		delete(x.byTag, c.itt)
		if c.try == nil {
			x.zombies--
		}
	}
}

// hear takes a PDU of the storage target; an error ends the connection.
func (x *nexus) hear(q *pdu) error {
	if m := q.u32(32); q.op() != opReject && int32(m-x.maxCmdSN) > 0 {
		x.maxCmdSN = m
	}
	switch q.op() {
	case opSCSIResponse, opTaskMgmtResp, opLogoutResp, opAsync, opReject, opTextResp:
		x.expStatSN = q.u32(24) + 1
	}
	c := x.byTag[q.tag()]
	switch q.op() {
	case opSCSIResponse:
		if c == nil {
			return fmt.Errorf("%w: response to no command", errBroken)
		}
		return x.response(c, q)
	case opDataIn:
		if c == nil {
			return fmt.Errorf("%w: data for no command", errBroken)
		}
		if c.job.block.write || q.u32(36) != c.dataSN || q.u32(40) != uint32(len(c.data)) ||
			uint64(len(c.data))+uint64(len(q.data)) > uint64(c.job.size) {
			return fmt.Errorf("%w: Data-In out of sequence", errBroken)
		}
		c.data, c.dataSN = append(c.data, q.data...), c.dataSN+1
		if q.bhs[1]&0x01 != 0 { // status came with the data
			x.expStatSN = q.u32(24) + 1
			return x.response(c, q)
		}
	case opR2T:
		if c == nil {
			return fmt.Errorf("%w: R2T for no command", errBroken)
		}
		at, n := q.u32(40), q.u32(44)
		if !c.job.block.write || n == 0 || at > c.job.size || n > c.job.size-at {
			return fmt.Errorf("%w: R2T out of bounds", errBroken)
		}
		if c.try == nil {
			return nil // given up: nothing more is sent for it
		}
		if _, ok := x.write(x.dataOut(nil, c, q.u32(20), at, n)); !ok {
			return errors.New("stalled in Data-Out")
		}
	case opTaskMgmtResp:
		if z := x.byTag[q.tag()&^(1<<31)]; z != nil && z.try == nil {
			x.over(z)
		}
	case opNopIn:
		if ttt := q.u32(20); ttt != noTag {
			n := newPDU(opNopOut, noTag)
			n.bhs[0] |= immediate
			n.bhs[1] = flagF
			n.put32(20, ttt)
			x.stamp(n)
			if _, ok := x.write(framing{}.append(nil, n)); !ok {
				return errors.New("stalled in NOP-Out")
			}
		}
	case opAsync:
		if e := q.bhs[36]; e >= 1 && e <= 3 { // it wants us to log out, or drops the session
			x.p.leaving = true
			x.p.tell(policy.NodeDraining, 0)
		}
	case opReject:
		if len(q.data) < bhsLen {
			return fmt.Errorf("%w: reject without a header", errBroken)
		}
		if r := x.byTag[be.Uint32(q.data[16:])]; r != nil {
			x.p.report(r, core.Result{Status: policy.Errored})
			x.over(r)
		}
	case opLogoutResp:
		return errLogout
	default:
		return fmt.Errorf("%w: unexpected %v", errBroken, q)
	}
	return nil
}

// response ends a command: what its status says of whether it ran, and what goes back.
func (x *nexus) response(c *command, q *pdu) error {
	x.over(c)
	if c.try == nil {
		return nil
	}
	if x.busy != 0 {
		x.p.portals.heard(x)
	}
	status, raw := q.bhs[3], []byte(nil)
	if q.op() == opSCSIResponse && len(q.data) >= 2 {
		if n := int(be.Uint16(q.data)); n <= len(q.data)-2 {
			raw = q.data[2 : 2+n]
		}
	}
	r := core.Result{Status: policy.Errored}
	pass := func() { r.Status, r.Payload = policy.OK, &result{status: status, sense: raw, data: c.data} }
	switch {
	case q.op() == opSCSIResponse && q.bhs[2] != 0: // the target failed, not the command
	case status == statusGood:
		if !c.job.block.write && uint32(len(c.data)) != c.job.size {
			break // a short read is no whole answer
		}
		if q.bhs[1]&0x06 != 0 { // a residual: not all of it was moved
			break
		}
		pass()
	case status == statusBusy || status == statusTaskSetFull:
		r.Status = policy.NodeFull
	case status == statusConflict:
		pass()
	case status == statusCheckCondition:
		switch senseKey(raw) {
		case senseIllegalRequest, senseDataProtect:
			pass() // no other try would end otherwise: the client is told as it is
		case senseNotReady, senseUnitAttention:
			r.Status = policy.NodeFull // reported in place of the command, which did not run (SPC-4)
		}
	}
	x.p.report(c, r)
	return nil
}

func (x *nexus) sayLogout() {
	q := newPDU(opLogoutReq, 1<<31)
	q.bhs[0] |= immediate
	q.bhs[1] = flagF // reason 0: close the session
	x.stamp(q)
	x.write(framing{}.append(nil, q))
}

func (x *nexus) tick(now time.Time) {
	if x.link == nil {
		return
	}
	if x.p.leaving && len(x.byTag) == 0 {
		if x.logout.IsZero() {
			x.logout = now
			x.sayLogout()
		} else if now.Sub(x.logout) > logoutWait {
			x.down()
		}
		return
	}
	switch quiet := now.Sub(x.heard); {
	case quiet > peerDeadAfter:
		x.p.d.Log.WithFields(operr.Fields(&Dropped{x.p.name, errSilent})).Warn("storage target: connection dropped")
		x.down()
	case quiet > peerPingAfter && !x.pinged:
		x.pinged = true
		n := newPDU(opNopOut, 1<<31)
		n.bhs[0] |= immediate
		n.bhs[1] = flagF
		n.put32(20, noTag)
		x.stamp(n)
		if _, ok := x.write(framing{}.append(nil, n)); !ok {
			x.down()
		}
	}
}
