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

// Attempt is one request as it came to a node that records, from its first byte on.
type Attempt struct {
	ID      string // "": its head was cut before it told
	From    string // the address that it came from
	First   time.Time
	Whole   time.Time // its last byte; zero: it was cut
	Ran     time.Time // zero: it did not run
	Dropped bool      // a repeat of a key: answered, not run
	Turned  bool      // turned away with a word that it did not run
	Ended   time.Time // its answer was written, or its sender's going was seen; zero: neither
}

const (
	headKept = 4 << 10
	lookGone = 2 * time.Millisecond
)

var idLine = regexp.MustCompile(`(?i)\r\nX-Request-Id: ([^\r]+)\r`)

// recorder is the record of one connection: a tee of what its reader reads, and the attempt that
// is on it.
type recorder struct {
	n    *Node
	nc   net.Conn
	head []byte
	now  *Attempt // under n.mu
	stop func()   // of the look-out
}

func (r *recorder) Read(p []byte) (int, error) {
	k, err := r.nc.Read(p)
	if room := headKept - len(r.head); room > 0 {
		r.head = append(r.head, p[:min(k, room)]...)
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
	r.now = &Attempt{From: r.nc.RemoteAddr().String(), First: time.Now()}
	r.n.attempts = append(r.n.attempts, r.now)
	r.n.mu.Unlock()
	return nil
}

// came notes a request that was read, or was cut.
func (r *recorder) came(q *fasthttp.Request, err error, l *link) {
	r.set(func(a *Attempt) {
		if err != nil {
			if m := idLine.FindSubmatch(r.head); m != nil {
				a.ID = string(m[1])
			}
			a.Ended = time.Now()
			return
		}
		a.ID, a.Whole = string(q.Header.Peek("X-Request-Id")), time.Now()
	})
	if err != nil {
		return
	}
	done := make(chan struct{})
	var once sync.Once
	r.stop = func() { once.Do(func() { close(done) }) }
	a := r.now
	r.n.wg.Add(1)
	go func() { // a sender that goes while the request waits or runs
		defer r.n.wg.Done()
		t := time.NewTicker(lookGone)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if l.gone() {
					r.n.mu.Lock()
					if a.Ended.IsZero() {
						a.Ended = time.Now()
					}
					r.n.mu.Unlock()
					return
				}
			}
		}
	}()
}

func (r *recorder) set(f func(*Attempt)) {
	if r == nil || r.now == nil {
		return
	}
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	f(r.now)
}

// end notes that an answer was written or the connection is done with.
func (r *recorder) end() {
	if r == nil || r.stop == nil {
		return
	}
	r.stop()
	r.set(func(a *Attempt) {
		if a.Ended.IsZero() {
			a.Ended = time.Now()
		}
	})
}

// Attempts are all that came to a node that records.
func (n *Node) Attempts() []Attempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Attempt, 0, len(n.attempts))
	for _, a := range n.attempts {
		all = append(all, *a)
	}
	return slices.Clip(all)
}
