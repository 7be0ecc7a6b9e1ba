package node

import (
	"bufio"
	"net"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Attempt is one request as seen by a recording node, from its first byte on.
type Attempt struct {
	ID         string // empty if the head was truncated before the request ID
	From       string // remote address
	FirstByte  time.Time
	LastByte   time.Time // receipt of the last byte; zero: the request was truncated
	ExecutedAt time.Time // start of execution; zero: not executed
	Duplicate  bool      // a repeated key: answered without execution
	Rejected   bool      // rejected with X-Not-Run
	EndedAt    time.Time // the response was written or the sender's disconnect was noticed; zero: neither
}

const (
	maxRecordedHead         = 4 << 10 // bytes
	disconnectCheckInterval = 2 * time.Millisecond
)

var idLine = regexp.MustCompile(`(?i)\r\nX-Request-Id: ([^\r]+)\r`)

// recorder records one connection: it copies the head of each request as it is read, so that the ID of a truncated
// request is known, and tracks the current attempt.
type recorder struct {
	n                   *Node
	nc                  net.Conn
	head                []byte
	attempt             *Attempt // under n.mu
	stopDisconnectCheck func()   // ends the disconnect check
}

func (r *recorder) Read(p []byte) (int, error) {
	k, err := r.nc.Read(p)
	if free := maxRecordedHead - len(r.head); free > 0 {
		r.head = append(r.head, p[:min(k, free)]...)
	}
	return k, err
}

// begin waits for a request's first byte.
func (r *recorder) begin(br *bufio.Reader) error {
	r.head = r.head[:0]
	if _, err := br.Peek(1); err != nil {
		return err
	}
	r.n.mu.Lock()
	r.attempt = &Attempt{From: r.nc.RemoteAddr().String(), FirstByte: time.Now()}
	r.n.attempts = append(r.n.attempts, r.attempt)
	r.n.mu.Unlock()
	return nil
}

// requestRead records that a request was received or truncated.
func (r *recorder) requestRead(q *fasthttp.Request, err error, c *conn) {
	r.update(func(a *Attempt) {
		if err != nil {
			if m := idLine.FindSubmatch(r.head); m != nil {
				a.ID = string(m[1])
			}
			a.EndedAt = time.Now()
			return
		}
		a.ID, a.LastByte = string(q.Header.Peek("X-Request-Id")), time.Now()
	})
	if err != nil {
		return
	}
	done := make(chan struct{})
	var once sync.Once
	r.stopDisconnectCheck = func() { once.Do(func() { close(done) }) }
	a := r.attempt
	r.n.wg.Add(1)
	go func() { // notices a sender that disconnects while the request waits or runs
		defer r.n.wg.Done()
		t := time.NewTicker(disconnectCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if c.disconnected() {
					r.n.mu.Lock()
					if a.EndedAt.IsZero() {
						a.EndedAt = time.Now()
					}
					r.n.mu.Unlock()
					return
				}
			}
		}
	}()
}

// update changes the current attempt. It does nothing if recording is off.
func (r *recorder) update(f func(*Attempt)) {
	if r == nil || r.attempt == nil {
		return
	}
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	f(r.attempt)
}

// end records that a response was written or the connection has ended.
func (r *recorder) end() {
	if r == nil || r.stopDisconnectCheck == nil {
		return
	}
	r.stopDisconnectCheck()
	r.update(func(a *Attempt) {
		if a.EndedAt.IsZero() {
			a.EndedAt = time.Now()
		}
	})
}

// Attempts returns all attempts that a recording node has received.
func (n *Node) Attempts() []Attempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		all = append(all, *a)
	}
	return slices.Clip(all)
}
