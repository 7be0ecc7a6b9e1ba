package httpfront

import (
	"net"
	"time"

	"wheatsaddle/internal/datarate"
)

// responseLimits bound the waits for a client that receives a response.
var responseLimits = datarate.Limits{StallTimeout: 5 * time.Second, MinBytesPerSecond: minClientRate}

// responseTimeout returns how long the client may take to receive a response that is written at once. A response is useless
// after the longest deadline of a class, and the client is too slow after the time of the longest such response at the
// lowest rate.
func responseTimeout(maxDeadline time.Duration) time.Duration {
	return min(maxDeadline+writeMargin, responseLimits.StallTimeout+responseLimits.AtMinRate(maxBufferedBody))
}

// responsePace sets the write deadlines of a response that the server reads and writes piece by piece. A client that stops
// reading, or reads too slowly, is cut off. Time in which the server waits for the next piece does not count.
type responsePace struct {
	conn      net.Conn // the client's connection; nil: no deadlines are set
	transfer  datarate.Transfer
	passedAt  time.Time // when the last piece was passed to the server
	lastPiece int       // bytes of that piece; 0: it is already recorded
}

// newResponsePace returns the pace of a response of which nothing is written yet.
func newResponsePace(conn net.Conn) responsePace {
	return responsePace{conn: conn, transfer: datarate.NewTransfer(responseLimits)}
}

// pieceRequested is called when the server requests a piece, because it has then written the one before.
func (p *responsePace) pieceRequested() {
	if p.conn != nil && p.lastPiece > 0 {
		p.transfer.Record(time.Since(p.passedAt), p.lastPiece)
		p.lastPiece = 0
	}
}

// passPiece sets the write deadline of a piece that is passed to the server now. The deadline is at most latest, unless
// that is zero.
func (p *responsePace) passPiece(size int, latest time.Time) {
	if p.conn == nil {
		return
	}
	p.passedAt, p.lastPiece = time.Now(), size
	deadline := p.passedAt.Add(p.transfer.Allowance())
	if !latest.IsZero() && latest.Before(deadline) {
		deadline = latest
	}
	_ = p.conn.SetWriteDeadline(deadline)
}
