package iscsi

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// badClientLimit is the time within which a client that stops gets an error or a close.
const badClientLimit = 3050 * time.Millisecond

// Guards against an initiator that stops within a PDU, or sends it byte by byte: its session stayed open for a minute of
// silence, and at the maximum number of sessions no other initiator could log in.
func TestInitiatorThatStopsWithinPDUIsClosed(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	nop := newPDU(opNopOut, 7)
	nop.bhs[0] |= flagImmediate
	nop.bhs[1] = flagFinal
	nop.data = pattern(4096)
	wire := framing{}.append(nil, nop)
	for name, x := range map[string]struct {
		isid string
		sent int
		drip bool
	}{
		"header":          {"\x80\x00\x00\x00\x00\x11", 20, false},
		"data":            {"\x80\x00\x00\x00\x00\x12", bhsLen + 100, false},
		"data, dripping":  {"\x80\x00\x00\x00\x00\x13", bhsLen + 100, true},
		"last data bytes": {"\x80\x00\x00\x00\x00\x14", len(wire) - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := env.initiatorAs(t, x.isid)
			_, _ = client.conn.Write(wire[:x.sent])
			stopped := time.Now()
			for at := x.sent; x.drip && time.Since(stopped) < badClientLimit; at++ {
				if _, err := client.conn.Write(wire[at : at+1]); err != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			_ = client.conn.SetReadDeadline(stopped.Add(badClientLimit))
			_, err := client.receiveFraming.read(client.reader)
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("reading after %v: %v, want a closed connection", time.Since(stopped), err)
			}
		})
	}
}

// Guards against an initiator that announces write data and stops: the command and its buffer were held until its deadline.
func TestWriteDataThatStopEndInTime(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	started := time.Now()
	itt := client.startWrite(0, pattern(512))
	if q := client.read(); q.op() != opR2T {
		t.Fatalf("received %v, want an R2T", q)
	}
	e := client.awaitResponse(itt, nil)
	if took := time.Since(started); e.status != statusCheckCondition || e.senseKey != senseAborted || took > badClientLimit {
		t.Errorf("write ended as %+v after %v, want a timeout within %v", e, took, badClientLimit)
	}
	env.waitUntilBuffersAreFree(t)
}

// An initiator may be silent between two PDUs, and may send a long PDU at 64 kB per second.
func TestSlowInitiatorIsServed(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	time.Sleep(pduLimits.StallTimeout + 200*time.Millisecond)
	nop := newPDU(opNopOut, 7)
	nop.bhs[0] |= flagImmediate
	nop.bhs[1] = flagFinal
	nop.data = pattern(ownMaxSegment)
	wire := framing{}.append(nil, nop)
	for rest := wire; len(rest) > 0; {
		n := min(len(rest), 6400)
		_, _ = client.conn.Write(rest[:n])
		rest = rest[n:]
		time.Sleep(100 * time.Millisecond)
	}
	if q := client.read(); q.op() != opNopIn {
		t.Errorf("received %v, want a NOP-In", q)
	}
}

// A deadline in addition to the limits applies between PDUs and within one.
func TestPDUReaderDeadline(t *testing.T) {
	for _, sent := range []int{0, 20} {
		client, server := net.Pipe()
		reader := newPDUReader(server)
		reader.setDeadline(time.Now().Add(50 * time.Millisecond))
		go func() { _, _ = client.Write(make([]byte, sent)) }()
		if _, err := reader.read(framing{maxDataSegment: 8192}); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("after %d bytes: %v, want a timeout", sent, err)
		}
		_ = client.Close()
	}
}
