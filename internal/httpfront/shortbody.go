package httpfront

import (
	"io"
	"os"
	"time"

	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/transport"
)

const (
	memoryPollInterval = 10 * time.Millisecond // between two checks for memory for a short body
	endPollInterval    = 10                    // checks without a new byte until the connection is checked for its end
)

// awaitShortBody waits for a short body of a size for which there is no memory: until there is some, or until all of the body has
// arrived at this machine, so that a client to which it is passed on does not wait for the node. share is of the body's memory. The node
// may rest as in any other phase. The end of the attempt's context closes the connection and so ends the wait.
func (c *conn) awaitShortBody(size int, share *memory.Share, d *delivery) error {
	arrived, unchanged := 0, 0
	for {
		now := c.reader.Buffered() + transport.QueuedInput(c.socket)
		unchanged++
		if now > arrived {
			arrived, unchanged = now, 0
			d.heard()
		}
		switch {
		case now >= size, c.node.dialer.Memory.HasRoom(memory.Response, int64(size)) && share.Grow(int64(size)):
			return nil
		case unchanged%endPollInterval == endPollInterval-1 && transport.InputEnded(c.socket):
			return c.endOfShortBody(size)
		case !d.mayRest():
			return os.ErrDeadlineExceeded
		}
		time.Sleep(memoryPollInterval)
	}
}

// endOfShortBody returns an error unless all of a short body has arrived on a connection on which nothing more can.
func (c *conn) endOfShortBody(size int) error {
	if c.reader.Buffered()+transport.QueuedInput(c.socket) >= size {
		return nil
	}
	return io.ErrUnexpectedEOF
}
