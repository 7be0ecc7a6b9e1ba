package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/historycheck"
)

// Ask is one request of a client. Its ID is the fleet's.
type Ask struct {
	Scheduler int
	Class     string // "": read
	Plan      string // "": basic
	Volume    int
	Shard     int
	Units     float64       // 0: 1
	Deadline  time.Duration // 0: 1 s
	Leave     time.Duration // the client goes after this, if no answer has come; 0: it stays
	Write     bool
	Body      int // bytes
}

// Outcome is how it ended.
type Outcome struct {
	ID   string
	End  historycheck.End
	Code int
	None bool // no connection came up: nothing was sent
	At   time.Duration
}

// Refusal is an answer of code 503.
type Refusal struct {
	Scheduler             int
	Asked, At, RetryAfter time.Duration // RetryAfter 0: it has none
}

// Refusals are those of all daemons so far.
func (f *Fleet) Refusals() []Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.refused)
}

// Conn is a client's connection to one scheduler, which it keeps for as long as it can. It never
// sends a request twice.
type Conn struct {
	f     *Fleet
	to    int
	nc    net.Conn
	br    *bufio.Reader
	start int // the start of the scheduler's process that nc was dialed to
}

// Dial makes a client; it connects when it first asks.
func (f *Fleet) Dial(scheduler int) *Conn { return &Conn{f: f, to: scheduler} }

// Close ends its connection.
func (c *Conn) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Ask asks once, on a connection of its own.
func (f *Fleet) Ask(a Ask) Outcome {
	c := f.Dial(a.Scheduler)
	defer c.Close()
	return c.Ask(a)
}

const bodyMarker = " shard="

// Ask asks and waits for the end.
func (c *Conn) Ask(a Ask) Outcome {
	f := c.f
	a.Scheduler = c.to
	if a.Class == "" {
		a.Class = "read"
	}
	if a.Plan == "" {
		a.Plan = thePlan
	}
	if a.Units == 0 {
		a.Units = 1
	}
	if a.Deadline == 0 {
		a.Deadline = time.Second
	}
	f.mu.Lock()
	f.next++
	seq := f.next
	f.mu.Unlock()
	id := fmt.Sprintf("q%06d", seq)
	m := client.Message{ID: id, Class: a.Class, Plan: a.Plan, Extent: fmt.Sprintf("%016x", seq), Volume: fmt.Sprintf("%016x", a.Volume),
		Units: a.Units, Shard: a.Shard, Hosts: f.opt.Daemons, Write: a.Write, Deadline: a.Deadline}
	if a.Write {
		m.Body = []byte(strings.Repeat("x", a.Body))
	}
	if c.nc != nil && c.start != f.procs[c.to].Starts() && !f.opt.Passed {
		c.Close() // the process it was dialed to has ended: no running one can read from it
	}
	if c.nc == nil {
		c.start = f.procs[c.to].Starts()
		nc, err := net.DialTimeout("tcp", f.Front(c.to), a.Deadline)
		if err != nil {
			return Outcome{ID: id, None: true}
		}
		c.nc, c.br = nc, bufio.NewReader(nc)
	}
	t := historycheck.Taken{ID: id, Class: a.Class, Plan: a.Plan, Volume: m.Volume, Units: a.Units, Scheduler: c.to, At: f.now()}
	t.GivesUp = t.At + a.Deadline
	f.mu.Lock()
	f.h.Taken = append(f.h.Taken, t)
	f.mu.Unlock()
	end, code, of, after := c.exchange(m, a, time.Now())
	o := Outcome{ID: id, End: end, Code: code, At: f.now()}
	f.mu.Lock()
	f.h.Answered = append(f.h.Answered, historycheck.Answered{ID: id, At: o.At, End: end, Of: of})
	if code == fasthttp.StatusOK && end == historycheck.Whole {
		f.ok[c.to]++
	}
	f.codes[code]++
	if code == fasthttp.StatusServiceUnavailable {
		f.refused = append(f.refused, Refusal{c.to, t.At, o.At, after})
	}
	f.mu.Unlock()
	return o
}

// patience is how much longer than its deadline a client waits, so that a late answer is seen as one.
const patience = 500 * time.Millisecond

func (c *Conn) exchange(m client.Message, a Ask, start time.Time) (end historycheck.End, code int, of string, after time.Duration) {
	until := start.Add(a.Deadline + patience)
	if a.Leave > 0 {
		until = start.Add(a.Leave)
	}
	if err := c.nc.SetDeadline(until); err != nil {
		c.Close()
		return historycheck.Unheard, 0, "", 0
	}
	gone := func(err error, otherwise historycheck.End) historycheck.End {
		c.Close()
		if a.Leave > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			return historycheck.Left
		}
		return otherwise
	}
	if _, err := c.nc.Write(m.Append(nil)); err != nil {
		return gone(err, historycheck.Unheard), 0, "", 0
	}
	if _, err := c.br.Peek(1); err != nil {
		return gone(err, historycheck.Unheard), 0, "", 0
	}
	var r fasthttp.Response
	if err := r.Read(c.br); err != nil {
		return gone(err, historycheck.Cut), 0, "", 0
	}
	if r.StatusCode() == fasthttp.StatusOK {
		of, _, _ = strings.Cut(string(r.Body()), bodyMarker)
	}
	if s, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64); err == nil {
		after = time.Duration(s * float64(time.Second))
	}
	if c.br.Buffered() > 0 { // more than one answer
		c.Close()
		return historycheck.Cut, r.StatusCode(), of, after
	}
	if r.ConnectionClose() {
		c.Close()
	}
	return historycheck.Whole, r.StatusCode(), of, after
}

// Load is traffic at a rate from clients that keep their connections: each of Clients of each
// scheduler asks, waits for the end, pauses for Gap and asks again.
type Load struct {
	Clients int
	Gap     time.Duration
	Ask     func(scheduler, client, n int) Ask
	Once    bool                     // a connection for each request
	Skip    func(scheduler int) bool // where nothing is to be sent for now; nil: nowhere
}

// Run starts a load that runs until the function it returns is called, which waits for its end.
func (f *Fleet) Run(ctx context.Context, l Load) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, f.opt.Daemons*l.Clients)
	for s := range f.opt.Daemons {
		for k := range l.Clients {
			f.load.Add(1)
			go func() {
				defer f.load.Done()
				defer func() { done <- struct{}{} }()
				c := f.Dial(s)
				defer c.Close()
				for n := 0; ctx.Err() == nil; n++ {
					if l.Skip != nil && l.Skip(s) {
						c.Close() // what is left of it has ended by then
					} else {
						c.Ask(l.Ask(s, k, n))
						if l.Once {
							c.Close()
						}
					}
					select {
					case <-ctx.Done():
					case <-time.After(l.Gap):
					}
				}
			}()
		}
	}
	return func() {
		cancel()
		for range cap(done) {
			<-done
		}
	}
}

// Served is how many answers of code 200 a daemon's clients have had.
func (f *Fleet) Served(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ok[i]
}
