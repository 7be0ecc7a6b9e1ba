package iscsi

import (
	"net"
	"time"

	"wheatsaddle/internal/datarate"
	"wheatsaddle/internal/progress"
)

// pacedPieceSize is the number of bytes whose write has one deadline.
const pacedPieceSize = 16 << 10

var (
	// peerWriteLimits bound the waits for a storage target that reads.
	peerWriteLimits = datarate.Limits{StallTimeout: progress.MaxSilence, MinBytesPerSecond: 32 << 10}
	// initiatorWriteLimits bound the waits for an initiator that reads.
	initiatorWriteLimits = datarate.Limits{StallTimeout: 10 * time.Second, MinBytesPerSecond: 32 << 10}
)

// writePaced writes b to a connection within limits, which bound the silence of the peer and its average rate. A peer that
// reads slowly but steadily is not cut off, however long b is. After an error, n is the number of bytes written, and the caller
// must end the connection.
func writePaced(conn net.Conn, b []byte, limits datarate.Limits) (n int, err error) {
	transfer := datarate.NewTransfer(limits)
	for n < len(b) {
		start := time.Now()
		if err := conn.SetWriteDeadline(start.Add(transfer.Allowance())); err != nil {
			return n, err
		}
		written, err := conn.Write(b[n:min(len(b), n+pacedPieceSize)])
		n += written
		if err != nil {
			return n, err
		}
		transfer.Record(time.Since(start), written)
	}
	return n, nil
}
