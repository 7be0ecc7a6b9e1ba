// Package server is a fake scheduler for tests of load generators. It answers the platform's clients
// after a known time and can be switched while it runs to stall, reject, reset, hang or limit its rate.
// ExpectedResponseTime and Quantile compute the response times with which a generator's report can be compared.
package server

import (
	"bufio"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Mode is what the server does with a request.
type Mode int32

// The modes.
const (
	Answer  Mode = iota // 200 after Options.ServiceTime, or at the end of a stall
	Reject              // 503 with Options.RetryAfter
	Reset               // the connection is reset
	Hang                // no response
	Delayed             // 200 after Options.Delay
)

// Options configure a server.
type Options struct {
	ServiceTime   time.Duration // response time without a stall
	StallDuration time.Duration // no responses for this long at the start of each StallInterval, except the first
	StallInterval time.Duration // 0: no stalls
	RetryAfter    time.Duration // of rejections
	Delay         time.Duration // response time in mode Delayed
	Rate          float64       // responses per second; requests above the rate are rejected. 0: unlimited
}

// Counts are a server's counters. Retries are requests with X-Retry: 1, Answered are responses with status 200, Rejected
// are those with 503.
type Counts struct{ Conns, Requests, Retries, Answered, Rejected int }

// Server is a running fake scheduler.
type Server struct {
	opt           Options
	mode          atomic.Int32
	start         time.Time
	mu            sync.Mutex
	counts        Counts
	requestCounts map[string]int // by request ID
	conns         map[net.Conn]bool
	tokens        float64 // of the rate limit
	refilledAt    time.Time
	wg            sync.WaitGroup
	closed        bool
}

// New creates a server whose stall intervals begin now.
func New(opt Options) *Server {
	now := time.Now()
	return &Server{opt: opt, start: now, refilledAt: now, requestCounts: map[string]int{}, conns: map[net.Conn]bool{}, tokens: 1}
}

// SetMode switches the mode.
func (s *Server) SetMode(m Mode) { s.mode.Store(int32(m)) }

// Counts returns the counters so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// RequestCount returns how often a request ID has been received.
func (s *Server) RequestCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[id]
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.ServeConn(nc)
	}
}

// ServeConn serves one connection in its own goroutine.
func (s *Server) ServeConn(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		nc.Close()
		return
	}
	s.counts.Conns++
	s.conns[nc] = true
	s.wg.Go(func() {
		s.serve(nc)
		nc.Close()
		s.mu.Lock()
		delete(s.conns, nc)
		s.mu.Unlock()
	})
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// responseAt returns when a request is answered. Both times are measured from the start.
func (s *Server) responseAt(arrival time.Duration) time.Duration {
	end := arrival + s.opt.ServiceTime
	if s.opt.StallInterval > 0 {
		if n := end / s.opt.StallInterval; n > 0 && end-n*s.opt.StallInterval < s.opt.StallDuration {
			end = n*s.opt.StallInterval + s.opt.StallDuration
		}
	}
	return end
}

// ExpectedResponseTime returns the response time of a request that arrives at a time after the start.
func (s *Server) ExpectedResponseTime(arrival time.Duration) time.Duration {
	return s.responseAt(arrival) - arrival
}

// Quantile returns the quantile q of the response time for arrivals spread evenly over whole intervals StallInterval.
func (s *Server) Quantile(q float64) time.Duration {
	if s.opt.StallInterval == 0 {
		return s.opt.ServiceTime
	}
	stalled := float64(s.opt.StallDuration) / float64(s.opt.StallInterval) // share of requests that wait for the rest of a stall
	if q <= 1-stalled {
		return s.opt.ServiceTime
	}
	return s.opt.ServiceTime + time.Duration(math.Round((q-(1-stalled))*float64(s.opt.StallInterval)))
}

func (s *Server) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	bw := bufio.NewWriter(nc)
	for {
		var request fasthttp.Request
		if request.Read(br) != nil {
			return
		}
		arrival := time.Since(s.start)
		id := string(request.Header.Peek("X-Request-Id"))
		s.mu.Lock()
		s.counts.Requests++
		s.requestCounts[id]++
		if string(request.Header.Peek("X-Retry")) == "1" {
			s.counts.Retries++
		}
		overRate := s.exceedsRate()
		s.mu.Unlock()
		var response fasthttp.Response
		mode := Mode(s.mode.Load())
		switch {
		case mode == Reset:
			if t, ok := nc.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		case mode == Hang:
			_, _ = br.Peek(1) // until the client disconnects or the server closes
			return
		case mode == Reject || overRate:
			response.SetStatusCode(fasthttp.StatusServiceUnavailable)
			response.Header.Set("Retry-After", strconv.FormatFloat(s.opt.RetryAfter.Seconds(), 'f', -1, 64))
		case mode == Delayed:
			time.Sleep(s.opt.Delay)
			response.SetBodyString(id)
		default:
			time.Sleep(time.Until(s.start.Add(s.responseAt(arrival))))
			response.SetBodyString(id)
		}
		if response.Write(bw) != nil || bw.Flush() != nil {
			return
		}
		s.mu.Lock()
		if response.StatusCode() == fasthttp.StatusOK {
			s.counts.Answered++
		} else {
			s.counts.Rejected++
		}
		s.mu.Unlock()
	}
}

// exceedsRate reports whether a request exceeds the rate limit, which is a token bucket that holds the responses of 100 ms,
// at least one. Requires s.mu to be locked.
func (s *Server) exceedsRate() bool {
	if s.opt.Rate == 0 {
		return false
	}
	now := time.Now()
	s.tokens = math.Min(math.Max(1, s.opt.Rate/10), s.tokens+now.Sub(s.refilledAt).Seconds()*s.opt.Rate)
	s.refilledAt = now
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}
