package iscsi

import (
	"bufio"
	"net"
	"time"

	"wheatsaddle/internal/datarate"
)

const readBufferSize = 16 << 10

// pduLimits bound the waits for the rest of a PDU. Between two PDUs an initiator may be silent for longer.
var pduLimits = datarate.Limits{StallTimeout: 2500 * time.Millisecond, MinBytesPerSecond: 32 << 10}

// pduReader reads an initiator's PDUs. An initiator that stops within a PDU, or sends it too slowly, gets a timeout.
type pduReader struct {
	conn     net.Conn
	buffered *bufio.Reader
	deadline time.Time // applies in addition to pduLimits; zero: none
	inPDU    bool
	transfer datarate.Transfer // of the current PDU
}

// newPDUReader returns a reader without a deadline.
func newPDUReader(conn net.Conn) *pduReader {
	r := &pduReader{conn: conn}
	r.buffered = bufio.NewReaderSize(r, readBufferSize)
	return r
}

// setDeadline sets the deadline of later reads; zero: none.
func (r *pduReader) setDeadline(at time.Time) { r.deadline = at }

// read reads one PDU. It waits without limit for the first byte, unless a deadline is set.
func (r *pduReader) read(f framing) (*pdu, error) {
	if _, err := r.buffered.Peek(1); err != nil {
		return nil, err
	}
	r.inPDU, r.transfer = true, datarate.NewTransfer(pduLimits)
	defer func() { r.inPDU = false }()
	return f.read(r.buffered)
}

// Read implements io.Reader for the buffer.
func (r *pduReader) Read(b []byte) (int, error) {
	start := time.Now()
	if err := r.conn.SetReadDeadline(r.nextDeadline(start)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	if r.inPDU {
		r.transfer.Record(time.Since(start), n)
	}
	return n, err
}

// nextDeadline returns the deadline of a read that starts now; zero: none.
func (r *pduReader) nextDeadline(now time.Time) time.Time {
	if !r.inPDU {
		return r.deadline
	}
	at := now.Add(r.transfer.Allowance())
	if !r.deadline.IsZero() && r.deadline.Before(at) {
		return r.deadline
	}
	return at
}
