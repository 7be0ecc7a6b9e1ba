package transport

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxArrivalMarks is the maximum number of times that are kept of the input of one connection.
	maxArrivalMarks = 64
	// idleArrivalMarks is the number for which an idle connection keeps memory.
	idleArrivalMarks = 4
)

// arrivalMark says that all bytes before a position of a connection's input had arrived at a time.
type arrivalMark struct {
	end int64 // bytes since the connection was accepted
	at  time.Time
}

// arrivalLog keeps when the bytes of a connection's input are known to have arrived. Bytes may wait for long until the server reads them,
// or handles those that it has read. Any goroutine may call its methods.
type arrivalLog struct {
	mu       sync.Mutex // guards the fields below
	received int64      // bytes read from the socket
	marks    []arrivalMark
}

// read records that bytes were read from the socket.
func (l *arrivalLog) read(size int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received += int64(size)
	l.mark(l.received, at)
}

// queued records that bytes wait in the socket.
func (l *arrivalLog) queued(size int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mark(l.received+int64(size), at)
}

// mark adds a mark, unless the bytes are known to have arrived earlier. If there are too many, the last one is given up, so that some bytes
// count as arrived later than they have.
func (l *arrivalLog) mark(end int64, at time.Time) {
	last := len(l.marks) - 1
	switch {
	case last >= 0 && l.marks[last].end >= end:
	case len(l.marks) >= maxArrivalMarks:
		l.marks[last] = arrivalMark{end, at}
	default:
		l.marks = append(l.marks, arrivalMark{end, at})
	}
}

// arrivedAt returns when all bytes before a position were first known to have arrived. It forgets what is known of earlier bytes.
func (l *arrivalLog) arrivedAt(end int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	earlier := 0
	for earlier < len(l.marks) && l.marks[earlier].end < end {
		earlier++
	}
	l.marks = slices.Delete(l.marks, 0, earlier)
	if len(l.marks) == 0 {
		return time.Now()
	}
	return l.marks[0].at
}

// idle releases memory that a connection without a request does not need.
func (l *arrivalLog) idle(delivered int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.marks) - 1
	if cap(l.marks) > idleArrivalMarks && (last < 0 || l.marks[last].end <= delivered) {
		l.marks = nil
	}
}

// RequestArrivedAt returns when the last byte of the current request arrived, as far as is known: at the latest when it was read, and
// earlier if it waited behind an earlier request. The wait of a new connection until it is accepted is not known. The server's goroutine
// calls it once it has read the request.
func (c *Conn) RequestArrivedAt() time.Time { return c.readAhead.arrivals.arrivedAt(c.delivered) }

// recordQueue records the bytes that wait in the socket.
func (c *Conn) recordQueue() {
	if raw := c.raw(); raw != nil {
		_ = raw.Control(c.readAhead.recordQueue) // after an error nothing is known
	}
}
