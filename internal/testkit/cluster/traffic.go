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

// ClientRequest is one request of a client. The fleet assigns its ID.
type ClientRequest struct {
	Scheduler       int
	Class           string // "": read
	Plan            string // "": defaultPlan
	Volume          int
	Shard           int
	Units           float64       // 0: 1
	Deadline        time.Duration // 0: 1 s
	DisconnectAfter time.Duration // the client disconnects if no answer has come by then; 0: it does not
	Write           bool
	BodySize        int // bytes, of a write
}

// Outcome is how a request ended.
type Outcome struct {
	ID      string
	End     historycheck.OutcomeKind
	Code    int
	NotSent bool // the connection could not be opened
	At      time.Duration
}

// Rejection is an answer with code 503.
type Rejection struct {
	Scheduler              int
	SentAt, At, RetryAfter time.Duration // RetryAfter 0: the answer had none
}

// Rejections returns the rejections by all daemons so far.
func (f *Fleet) Rejections() []Rejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.rejections)
}

// Conn is a client with one connection to a scheduler, which it reuses for as long as possible. It never
// sends a request twice.
type Conn struct {
	f             *Fleet
	scheduler     int
	nc            net.Conn
	br            *bufio.Reader
	processStarts int // Proc.Starts of the scheduler when nc was dialed
}

// Dial returns a client that connects with its first request.
func (f *Fleet) Dial(scheduler int) *Conn { return &Conn{f: f, scheduler: scheduler} }

// Close closes the connection.
func (c *Conn) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Send sends one request on a new connection and waits for its end.
func (f *Fleet) Send(request ClientRequest) Outcome {
	c := f.Dial(request.Scheduler)
	defer c.Close()
	return c.Send(request)
}

const shardMarker = " shard="

// Send sends a request and waits for its end.
func (c *Conn) Send(request ClientRequest) Outcome {
	f := c.f
	request.Scheduler = c.scheduler
	if request.Class == "" {
		request.Class = "read"
	}
	if request.Plan == "" {
		request.Plan = defaultPlan
	}
	if request.Units == 0 {
		request.Units = 1
	}
	if request.Deadline == 0 {
		request.Deadline = time.Second
	}
	f.mu.Lock()
	f.lastSequence++
	seq := f.lastSequence
	f.mu.Unlock()
	id := fmt.Sprintf("q%06d", seq)
	message := client.Message{ID: id, Class: request.Class, Plan: request.Plan, Extent: fmt.Sprintf("%016x", seq), Volume: fmt.Sprintf("%016x", request.Volume),
		Units: request.Units, Shard: request.Shard, Hosts: f.opt.Daemons, Write: request.Write, Deadline: request.Deadline}
	if request.Write {
		message.Body = []byte(strings.Repeat("x", request.BodySize))
	}
	if c.nc != nil && c.processStarts != f.procs[c.scheduler].Starts() && !f.opt.PassedSockets {
		c.Close() // the process to which it was dialed has exited, so no running process reads from it
	}
	if c.nc == nil {
		c.processStarts = f.procs[c.scheduler].Starts()
		nc, err := net.DialTimeout("tcp", f.ClientAddr(c.scheduler), request.Deadline)
		if err != nil {
			return Outcome{ID: id, NotSent: true}
		}
		c.nc, c.br = nc, bufio.NewReader(nc)
	}
	recorded := historycheck.Request{ID: id, Class: request.Class, Plan: request.Plan, Volume: message.Volume, Units: request.Units, Scheduler: c.scheduler, At: f.now()}
	recorded.Deadline = recorded.At + request.Deadline
	f.mu.Lock()
	f.history.Requests = append(f.history.Requests, recorded)
	f.mu.Unlock()
	end, code, responseID, retryAfter := c.exchange(message, request, time.Now())
	outcome := Outcome{ID: id, End: end, Code: code, At: f.now()}
	f.mu.Lock()
	f.history.Outcomes = append(f.history.Outcomes, historycheck.Outcome{ID: id, At: outcome.At, Kind: end, ResponseID: responseID})
	if code == fasthttp.StatusOK && end == historycheck.Complete {
		f.served[c.scheduler]++
	}
	f.answersByCode[code]++
	if code == fasthttp.StatusServiceUnavailable {
		f.rejections = append(f.rejections, Rejection{c.scheduler, recorded.At, outcome.At, retryAfter})
	}
	f.mu.Unlock()
	return outcome
}

// lateAnswerWait is how long a client waits beyond the deadline of its request, so that a late answer is recorded as such.
const lateAnswerWait = 500 * time.Millisecond

func (c *Conn) exchange(m client.Message, request ClientRequest, start time.Time) (end historycheck.OutcomeKind, code int, responseID string, retryAfter time.Duration) {
	deadline := start.Add(request.Deadline + lateAnswerWait)
	if request.DisconnectAfter > 0 {
		deadline = start.Add(request.DisconnectAfter)
	}
	if err := c.nc.SetDeadline(deadline); err != nil {
		c.Close()
		return historycheck.NoResponse, 0, "", 0
	}
	failed := func(err error, otherwise historycheck.OutcomeKind) historycheck.OutcomeKind {
		c.Close()
		if request.DisconnectAfter > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			return historycheck.Disconnected
		}
		return otherwise
	}
	if _, err := c.nc.Write(m.Append(nil)); err != nil {
		return failed(err, historycheck.NoResponse), 0, "", 0
	}
	if _, err := c.br.Peek(1); err != nil {
		return failed(err, historycheck.NoResponse), 0, "", 0
	}
	var r fasthttp.Response
	if err := r.Read(c.br); err != nil {
		return failed(err, historycheck.Truncated), 0, "", 0
	}
	if r.StatusCode() == fasthttp.StatusOK {
		responseID, _, _ = strings.Cut(string(r.Body()), shardMarker)
	}
	if s, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if c.br.Buffered() > 0 { // more bytes than one answer
		c.Close()
		return historycheck.Truncated, r.StatusCode(), responseID, retryAfter
	}
	if r.ConnectionClose() {
		c.Close()
	}
	return historycheck.Complete, r.StatusCode(), responseID, retryAfter
}

// Load is traffic from clients that reuse their connections. Each of them sends a request, waits for its
// end, pauses and sends the next one.
type Load struct {
	Clients           int // per scheduler
	Pause             time.Duration
	Request           func(scheduler, client, n int) ClientRequest
	NewConnPerRequest bool                     // each request uses a new connection
	Skip              func(scheduler int) bool // reports schedulers to which nothing is sent for now; may be nil
}

// Run starts a load and returns a function that stops it and waits until its clients have ended.
func (f *Fleet) Run(ctx context.Context, l Load) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, f.opt.Daemons*l.Clients)
	for scheduler := range f.opt.Daemons {
		for clientIndex := range l.Clients {
			f.background.Add(1)
			go func() {
				defer f.background.Done()
				defer func() { done <- struct{}{} }()
				conn := f.Dial(scheduler)
				defer conn.Close()
				for n := 0; ctx.Err() == nil; n++ {
					if l.Skip != nil && l.Skip(scheduler) {
						conn.Close() // its process has exited
					} else {
						conn.Send(l.Request(scheduler, clientIndex, n))
						if l.NewConnPerRequest {
							conn.Close()
						}
					}
					select {
					case <-ctx.Done():
					case <-time.After(l.Pause):
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

// Served returns how many complete answers with code 200 the clients of daemon i have received.
func (f *Fleet) Served(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served[i]
}
