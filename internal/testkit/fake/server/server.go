// Package server is a stand-in scheduler for tests of what sends load: it answers the platform's
// clients after a known time, and stalls, refuses, resets, hangs or caps its rate as it is told
// to, while it runs. What it should answer when is computed by Expect, so that what a generator
// reports can be held against it.
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
	Answer Mode = iota // 200 after Service, but for stalls
	Refuse             // 503 with RetryAfter
	Reset              // the connection is reset
	Hang               // nothing comes
	Late               // 200 after LateBy
)

// Options make a server.
type Options struct {
	Service    time.Duration // of an answer
	Stall      time.Duration // it answers nothing for this long ...
	Every      time.Duration // ... at the start of each such span, but the first
	RetryAfter time.Duration
	LateBy     time.Duration
	Rate       float64 // answers a second; what is over is refused. 0: any
}

// Counts are what a server has seen.
type Counts struct{ Conns, Requests, Retries, Answered, Refused int }

// Server is a running stand-in.
type Server struct {
	opt    Options
	mode   atomic.Int32
	start  time.Time
	mu     sync.Mutex
	counts Counts
	ids    map[string]int
	conns  map[net.Conn]bool
	tokens float64
	filled time.Time
	wg     sync.WaitGroup
	closed bool
}

// New makes a server; its stalls count from now.
func New(opt Options) *Server {
	now := time.Now()
	return &Server{opt: opt, start: now, filled: now, ids: map[string]int{}, conns: map[net.Conn]bool{}, tokens: 1}
}

// Set switches the mode.
func (s *Server) Set(m Mode) { s.mode.Store(int32(m)) }

// Counts are those so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Seen is how often an id has come.
func (s *Server) Seen(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.Go(nc)
	}
}

// Go serves one connection.
func (s *Server) Go(nc net.Conn) {
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

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for nc := range s.conns {
		nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// ready is when a request that came at a time after the start is answered.
func (s *Server) ready(came time.Duration) time.Duration {
	at := came + s.opt.Service
	if s.opt.Every > 0 {
		if n := at / s.opt.Every; n > 0 && at-n*s.opt.Every < s.opt.Stall {
			at = n*s.opt.Every + s.opt.Stall
		}
	}
	return at
}

// Expect is the time that an answer takes for a request that comes at a time after the start.
func (s *Server) Expect(came time.Duration) time.Duration { return s.ready(came) - came }

// Quantile is the computed answer for arrivals spread evenly over whole spans: the share q of them
// takes at most this long.
func (s *Server) Quantile(q float64) time.Duration {
	if s.opt.Every == 0 {
		return s.opt.Service
	}
	stalled := float64(s.opt.Stall) / float64(s.opt.Every) // these wait for what is left of the stall
	if q <= 1-stalled {
		return s.opt.Service
	}
	return s.opt.Service + time.Duration(math.Round((q-(1-stalled))*float64(s.opt.Every)))
}

func (s *Server) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	bw := bufio.NewWriter(nc)
	for {
		var q fasthttp.Request
		if q.Read(br) != nil {
			return
		}
		came := time.Since(s.start)
		id := string(q.Header.Peek("X-Request-Id"))
		s.mu.Lock()
		s.counts.Requests++
		s.ids[id]++
		if string(q.Header.Peek("X-Retry")) == "1" {
			s.counts.Retries++
		}
		over := s.over()
		s.mu.Unlock()
		var r fasthttp.Response
		mode := Mode(s.mode.Load())
		switch {
		case mode == Reset:
			if t, ok := nc.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			return
		case mode == Hang:
			_, _ = br.Peek(1) // until its client goes, or the server ends
			return
		case mode == Refuse || over:
			r.SetStatusCode(fasthttp.StatusServiceUnavailable)
			r.Header.Set("Retry-After", strconv.FormatFloat(s.opt.RetryAfter.Seconds(), 'f', -1, 64))
		case mode == Late:
			time.Sleep(s.opt.LateBy)
			r.SetBodyString(id)
		default:
			time.Sleep(time.Until(s.start.Add(s.ready(came))))
			r.SetBodyString(id)
		}
		if r.Write(bw) != nil || bw.Flush() != nil {
			return
		}
		s.mu.Lock()
		if r.StatusCode() == fasthttp.StatusOK {
			s.counts.Answered++
		} else {
			s.counts.Refused++
		}
		s.mu.Unlock()
	}
}

// over says whether a request is beyond the rate.
func (s *Server) over() bool {
	if s.opt.Rate == 0 {
		return false
	}
	now := time.Now()
	s.tokens = math.Min(math.Max(1, s.opt.Rate/10), s.tokens+now.Sub(s.filled).Seconds()*s.opt.Rate)
	s.filled = now
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}
