// Package client implements the platform's protocol as a client of a card app does. It sends one request at a
// time on a connection, reuses idle connections and opens others as needed. It sends a request a second
// time, on a new connection, only if the server closed a reused connection while the request was on its
// way. It does not limit its rate.
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

// ErrNoFreeConn reports that all connections are in use and the limit of connections is reached.
var ErrNoFreeConn = errors.New("client: connection limit reached and no connection is idle")

// Message is one request of the protocol.
type Message struct {
	ID, Class, Plan, Extent, Volume, Key string
	Units                                float64
	Shard, Hosts                         int
	Write                                bool // PUT with a body
	Retry                                bool // a retry by the client itself
	Body                                 []byte
	Deadline                             time.Duration // from the intended time of sending
}

// Outcome is how a request ended from the client's view.
type Outcome int

// Outcomes of a request.
const (
	Served   Outcome = iota // 200 with the complete body
	Rejected                // 429 or 503
	Failed                  // any other answer
	Reset                   // the connection closed without an answer
	TimedOut                // no answer within the deadline
	NoConn                  // no connection could be opened, or none was free
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{"served", "refused", "failed", "reset", "timed out", "no connection"}

func (o Outcome) String() string {
	if o >= 0 && o < OutcomeCount {
		return outcomeNames[o]
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Answer is the result of a request.
type Answer struct {
	Outcome          Outcome
	Code             int
	Body             []byte
	RetryAfter       time.Duration // 0: none given
	Sent             time.Time     // when writing began; zero: never
	Ended            time.Time
	RetriedOnNewConn bool // the request was sent again after the server closed a reused connection
}

// Pool holds the connections to one scheduler.
type Pool struct {
	Network, Address string
	MaxConns         int                                     // limit of open connections; 0: none
	Dial             func(context.Context) (net.Conn, error) // nil: dial Address on Network
	mu               sync.Mutex
	idle             []*conn // the most recently used is the last
	openConns        int     // idle, in use or being dialed
	totalOpened      int     // so far, including failed dials
}

type conn struct {
	net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	used bool
}

// Opened returns how many connections have been opened, including those whose dial failed.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalOpened
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.openConns--
	}
	p.idle = nil
}

func (p *Pool) get(ctx context.Context, newConn bool) (*conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !newConn {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	if p.MaxConns > 0 && p.openConns >= p.MaxConns {
		p.mu.Unlock()
		return nil, ErrNoFreeConn
	}
	p.openConns++
	p.totalOpened++
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
		p.release()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReader(nc), bw: bufio.NewWriter(nc)}, nil
}

func (p *Pool) release() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// Do sends a message and waits for its end. Its deadline counts from the intended time of sending.
func (p *Pool) Do(m *Message, intended time.Time) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), intended.Add(m.Deadline))
	defer cancel()
	answer := Answer{}
	for attempt := 0; ; attempt++ {
		retry := p.attempt(ctx, m, &answer, attempt > 0)
		if !retry || attempt > 0 {
			break
		}
		answer.RetriedOnNewConn = true
	}
	answer.Ended = time.Now()
	return answer
}

// attempt sends the message on one connection. It returns true if that was a reused connection and failed before any byte of
// the answer arrived, as one does that the server has closed.
func (p *Pool) attempt(ctx context.Context, m *Message, answer *Answer, newConn bool) (retry bool) {
	connection, err := p.get(ctx, newConn)
	if err != nil {
		answer.Outcome = NoConn
		if ctx.Err() != nil {
			answer.Outcome = TimedOut
		}
		return false
	}
	reusable := false
	defer func() {
		if !reusable {
			connection.Close()
			p.release()
			return
		}
		p.mu.Lock()
		p.idle = append(p.idle, connection)
		p.mu.Unlock()
	}()
	deadline, _ := ctx.Deadline()
	if connection.SetDeadline(deadline) != nil {
		answer.Outcome = Reset
		return connection.used
	}
	answer.Sent = time.Now()
	if _, err = connection.bw.Write(m.Append(nil)); err == nil {
		err = connection.bw.Flush()
	}
	var r fasthttp.Response
	if err == nil {
		if _, err = connection.br.Peek(1); err != nil {
			retry = connection.used && ctx.Err() == nil // nothing came back on a reused connection
		} else {
			err = r.Read(connection.br)
		}
	} else {
		retry = connection.used
	}
	if err != nil {
		answer.Outcome = Reset
		var netErr net.Error
		if ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, fasthttp.ErrTimeout) {
			answer.Outcome = TimedOut
			return false
		}
		return retry
	}
	connection.used = true
	reusable = !r.ConnectionClose() && connection.br.Buffered() == 0
	answer.Code = r.StatusCode()
	switch answer.Code {
	case fasthttp.StatusOK:
		answer.Outcome, answer.Body = Served, append([]byte(nil), r.Body()...)
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		answer.Outcome = Rejected
	default:
		answer.Outcome = Failed
	}
	if s, err := strconv.ParseFloat(string(r.Header.Peek("Retry-After")), 64); err == nil && s > 0 {
		answer.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return false
}

// Append encodes the message. The query repeats the shard for fake storage nodes.
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
