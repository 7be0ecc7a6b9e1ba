// Package client speaks the platform's protocol as a card app's client does: one request at a
// time on a connection, connections kept and opened as they are needed, and a request sent once
// more, on a new connection, only where a close crossed it on a kept one. It knows nothing of
// rates; what it is given it sends.
package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrNoRoom says that all connections are in use and no more may be opened.
var ErrNoRoom = errors.New("client: no connection is free")

// Message is one request as the protocol has it.
type Message struct {
	ID, Class, Plan, Extent, Volume, Key string
	Units                                float64
	Shard, Hosts                         int
	Write                                bool // PUT with a body
	Retry                                bool // the client's own second try
	Body                                 []byte
	Deadline                             time.Duration // from the intended send
}

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota // 200 and the whole body
	Refused                 // 429 or 503
	Failed                  // any other answer
	Reset                   // the connection ended without one
	TimedOut                // nothing within the deadline
	NoConn                  // no connection came up, or none was free
	Outcomes
)

var words = [Outcomes]string{"served", "refused", "failed", "reset", "timed out", "no connection"}

func (o Outcome) String() string {
	if o >= 0 && o < Outcomes {
		return words[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Answer is what came back.
type Answer struct {
	Outcome    Outcome
	Code       int
	Body       []byte
	RetryAfter time.Duration // 0: not said
	Sent       time.Time     // its first byte was written; zero: never
	Ended      time.Time
	Reopened   bool // a close crossed it on a kept connection, and it went once more
}

// Pool is the connections to one scheduler.
type Pool struct {
	Network, Address string
	Most             int                                     // connections; 0: any number
	Dial             func(context.Context) (net.Conn, error) // nil: by Network and Address
	mu               sync.Mutex
	idle             []*conn // used last at the end
	open             int
	opened           int
}

type conn struct {
	net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	used bool
}

// Opened is how many connections have been opened.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close ends the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}

func (p *Pool) get(ctx context.Context, fresh bool) (*conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !fresh {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if p.Most > 0 && p.open >= p.Most {
		p.mu.Unlock()
		return nil, ErrNoRoom
	}
	p.open++
	p.opened++
	p.mu.Unlock()
	dial := p.Dial
	if dial == nil {
		network := p.Network
		if network == "" {
			network = "tcp"
		}
		dial = func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, p.Address)
		}
	}
	nc, err := dial(ctx)
	if err != nil {
		p.drop()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReader(nc), bw: bufio.NewWriter(nc)}, nil
}

func (p *Pool) drop() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Do sends a message whose time counts from intended, and waits for its end.
func (p *Pool) Do(m *Message, intended time.Time) Answer {
	ctx, stop := context.WithDeadline(context.Background(), intended.Add(m.Deadline))
	defer stop()
	a := Answer{}
	for try := 0; ; try++ {
		again := p.once(ctx, m, &a, try > 0)
		if !again || try > 0 {
			break
		}
		a.Reopened = true
	}
	a.Ended = time.Now()
	return a
}

// once takes one connection; again: a close crossed the request on a kept one.
func (p *Pool) once(ctx context.Context, m *Message, a *Answer, fresh bool) (again bool) {
	c, err := p.get(ctx, fresh)
	if err != nil {
		a.Outcome = NoConn
		if ctx.Err() != nil {
			a.Outcome = TimedOut
		}
		return false
	}
	keep := false
	defer func() {
		if !keep {
			c.Close()
			p.drop()
			return
		}
		p.mu.Lock()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
	}()
	until, _ := ctx.Deadline()
	if c.SetDeadline(until) != nil {
		a.Outcome = Reset
		return c.used
	}
	a.Sent = time.Now()
	if _, err = c.bw.Write(m.Append(nil)); err == nil {
		err = c.bw.Flush()
	}
	var r fasthttp.Response
	if err == nil {
		if _, err = c.br.Peek(1); err != nil {
			again = c.used && ctx.Err() == nil // not a byte came back on a kept connection
		} else {
			err = r.Read(c.br)
		}
	} else {
		again = c.used
	}
	if err != nil {
		a.Outcome = Reset
		var late net.Error
		if ctx.Err() != nil || errors.As(err, &late) && late.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
			a.Outcome = TimedOut
			return false
		}
		return again
	}
	c.used = true
	keep = !r.ConnectionClose() && c.br.Buffered() == 0
	a.Code = r.StatusCode()
	switch a.Code {
	case fasthttp.StatusOK:
		a.Outcome, a.Body = Served, append([]byte(nil), r.Body()...)
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		a.Outcome = Refused
	default:
		a.Outcome = Failed
	}
	if s, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64); err == nil && s > 0 {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return false
}

// Append encodes the message. The shard is also told in the query, for stand-in nodes.
func (m *Message) Append(dst []byte) []byte {
	method := "GET "
	if m.Write {
		method = "PUT "
	}
	dst = append(append(append(append(dst, method...), '/'), m.Class...), "/x?shard="...)
	dst = append(strconv.AppendInt(dst, int64(m.Shard), 10), " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: "...)
	dst = append(append(append(dst, m.ID...), "\r\nTier: "...), m.Plan...)
	dst = append(append(append(dst, "\r\nCookie: extent="...), m.Extent...), "\r\nX-Deadline-Ms: "...)
	dst = append(strconv.AppendInt(dst, m.Deadline.Milliseconds(), 10), "\r\nIO-Info: volume="...)
	dst = append(append(dst, m.Volume...), ",units="...)
	dst = append(strconv.AppendFloat(dst, m.Units, 'g', -1, 64), ",shard="...)
	dst = append(strconv.AppendInt(dst, int64(m.Shard), 10), ",hosts="...)
	dst = strconv.AppendInt(dst, int64(m.Hosts), 10)
	if m.Key != "" {
		dst = append(append(dst, "\r\nIdempotency-Key: "...), m.Key...)
	}
	if m.Retry {
		dst = append(dst, "\r\nX-Retry: 1"...)
	}
	if m.Write {
		dst = strconv.AppendInt(append(dst, "\r\nContent-Length: "...), int64(len(m.Body)), 10)
	}
	return append(append(dst, "\r\n\r\n"...), m.Body...)
}
