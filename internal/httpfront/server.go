package httpfront

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/scattergather"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	readyPath         = "/health/ready"
	maxHeadSize       = 8 << 10
	idleTimeout       = 90 * time.Second        // the listener closes idle ones sooner when it is half full
	readTimeout       = 2500 * time.Millisecond // from the connection's start, or a request's first byte
	writeMargin       = time.Second
	overflowConns     = 8                     // connections past the cap, taken to be refused; of the descriptors kept back
	shedRetryAfter    = 50 * time.Millisecond // a usual answer or two
	minRetryAfter     = 10 * time.Millisecond // a refusal always says when to come back
	closeIdleInterval = 5 * time.Millisecond
	minBodyRate       = 32 << 10 // bytes a second of a client's body, half of the slowest named
)

// Server answers the platform's clients.
type Server struct {
	Core       *core.Core
	http       *fasthttp.Server
	ln         atomic.Pointer[transport.Listener]
	lastBounds atomic.Pointer[bounds] // of the core's settings as last seen
	// BodyMemory is the room that request bodies over 64 KiB share while they are held; nil: none
	// is counted.
	BodyMemory          *semaphore.Weighted
	reserveIdle         atomic.Bool // some connections free
	closeAfterResponses atomic.Bool // each answer closes its connection
	rejectIncoming      atomic.Bool // what is still arriving is refused, and each answer closes its connection, also where unread bytes wait

	scatterGather atomic.Pointer[scattergather.Service] // nil: reads are not gathered
}

// NewServer makes the front; conns caps the clients' connections. Set is for what is answered before its head was read; all
// else goes by the core's settings as they are then.
func NewServer(c *core.Core, set policy.Settings, conns int, log logrus.FieldLogger) *Server {
	s := &Server{Core: c}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.reject, Concurrency: 2 * (conns + overflowConns), MaxRequestBodySize: maxRequestBody, StreamRequestBody: true,
		HeaderReceived: s.requestTimeouts,
		ReadBufferSize: maxHeadSize, WriteBufferSize: 4096, ReadTimeout: readTimeout, WriteTimeout: maxDeadline(set) + writeMargin, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		SecureErrorLogMessage: true, DisablePreParseMultipartForm: true, Logger: debugLogger{log}, ConnState: trackState,
	}
	return s
}

// requestTimeouts are those of one request, by its head.
func (s *Server) requestTimeouts(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if string(h.RequestURI()) == readyPath { // it asks nothing of the core
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout(h)}
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyTimeout(h), WriteTimeout: s.bounds().maxDeadline + writeMargin}
}

// bodyTimeout is the time for the first part of a body, which the server reads before the handler:
// the head had readTimeout from its first byte, and a client may send at 64 kB a second. The
// handler then gives each further piece pieceRead.
func bodyTimeout(h *fasthttp.RequestHeader) time.Duration {
	size := max(h.ContentLength(), 0)
	if h.ContentLength() == -1 { // chunked
		size = maxBufferedBody
	}
	return bodyReadTimeout + time.Duration(size)*time.Second/minBodyRate
}

// trackState records which connections are between requests.
func trackState(nc net.Conn, st fasthttp.ConnState) {
	c, ok := nc.(*transport.Conn)
	if !ok {
		return
	}
	switch st { // a new one is neither: nothing has come yet
	case fasthttp.StateIdle:
		c.ResponseDone()
	case fasthttp.StateActive:
		c.SetIdle(false)
	}
}

// debugLogger logs the messages of the HTTP server at debug level, as clients can cause many.
type debugLogger struct{ log logrus.FieldLogger }

func (q debugLogger) Printf(form string, args ...any) { q.log.Debugf(form, args...) }

// reject answers a message that could not be read.
func (s *Server) reject(ctx *fasthttp.RequestCtx, err error) {
	code := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &late) && late.Timeout() && s.rejectIncoming.Load():
		s.rejectIncomplete(ctx)
		return
	case errors.As(err, &late) && late.Timeout():
		code = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(code), code)
	closeDiscardingInput(ctx)
}

// closeDiscardingInput closes the connection of a request that is answered while the rest of it may still come.
func closeDiscardingInput(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*transport.Conn); ok {
		c.DiscardInput()
	}
	ctx.SetConnectionClose()
}

// rejectIncomplete rejects a request that was still arriving when the program stops.
func (s *Server) rejectIncomplete(ctx *fasthttp.RequestCtx) {
	writeAnswer(ctx, core.Answer{Kind: core.Rejected, RetryAfter: shedRetryAfter})
	closeDiscardingInput(ctx)
}

// Serve runs until Shutdown.
func (s *Server) Serve(ln net.Listener, conns int) error {
	l := transport.LimitWithOverflow(ln, conns, overflowConns)
	s.ln.Store(l)
	return s.http.Serve(l)
}

// StopAccepting closes the listening socket; connections that are open are served on. It
// returns how many those are.
func (s *Server) StopAccepting() int {
	l := s.ln.Load()
	if l == nil {
		return 0
	}
	l.StopAccepting()
	return l.OpenCount()
}

// ReserveIdleConns refuses from now on what would take the last free connections: clients open no more
// to a program that stops, and one that finds all of its in use takes it for gone.
func (s *Server) ReserveIdleConns() { s.reserveIdle.Store(true) }

// CloseAfterResponses closes each connection with its next answer: another process takes the clients' new ones. One on which a
// further request waits already is answered first, as closing over unread bytes would reset it.
func (s *Server) CloseAfterResponses() { s.closeAfterResponses.Store(true) }

// CloseIdle closes the connections that were quiet for so long, and returns how many are open.
func (s *Server) CloseIdle(quiet time.Duration) int {
	if l := s.ln.Load(); l != nil {
		return l.CloseIdle(quiet)
	}
	return 0
}

// RejectIncoming refuses what is still arriving: the program is about to be killed, and a request must not be read to its end
// by a process that can't answer it any more. It may be called again.
func (s *Server) RejectIncoming() {
	s.rejectIncoming.Store(true)
	if l := s.ln.Load(); l != nil {
		l.InterruptReads()
	}
}

// countParsed tells the connection how much of what was read from it is the request's.
func countParsed(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*transport.Conn)
	if !ok {
		return
	}
	h := &ctx.Request.Header
	const blanksAndEnd = len("  \r\n") // of the first line
	line := len(h.Method()) + len(h.RequestURI()) + len(h.Protocol()) + blanksAndEnd
	c.CountParsed(line + len(h.RawHeaders()) + max(h.ContentLength(), 0))
}

// closeAfterResponse closes the connection with the answer, unless a further request was read with this one.
func closeAfterResponse(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*transport.Conn); !ok || !c.HasUnparsed() {
		ctx.SetConnectionClose()
	}
}

// closeIfLeaving closes the connection with the response if the server is stopping or another process takes over.
func (s *Server) closeIfLeaving(ctx *fasthttp.RequestCtx) {
	if s.rejectIncoming.Load() {
		closeAfterResponse(ctx)
		return
	}
	if !s.closeAfterResponses.Load() {
		return
	}
	if c, ok := ctx.Conn().(*transport.Conn); !ok || !c.HasPendingInput() {
		closeAfterResponse(ctx)
	}
}

// Shutdown stops accepting, closes connections between requests and waits for the answers, also to requests that were
// read ahead.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.ln.Load(); l != nil {
		s.rejectIncoming.Store(true)
		l.StopAccepting()
		_ = l.Close()                                             // StopAccepting has closed the socket
		for l.CloseIdle(0) > 0 && sleep(ctx, closeIdleInterval) { // the server's own shutdown drops what comes as it closes an idle one
		}
	}
	return s.http.ShutdownWithContext(ctx)
}

// sleep waits for a duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	countParsed(ctx)
	defer s.closeIfLeaving(ctx)
	if string(ctx.Path()) == readyPath && ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	body, err := readBody(ctx, s.BodyMemory)
	if err != nil {
		s.rejectUnread(ctx, err)
		return
	}
	defer body.release()
	bounds := s.bounds()
	r, err := decodeWith(&ctx.Request, body.body, bounds)
	if err != nil {
		code := fasthttp.StatusBadRequest
		var m *MalformedError
		if errors.As(err, &m) {
			code = m.Status
		}
		ctx.Error(err.Error(), code)
		closeDiscardingInput(ctx) // what follows may be the rest of it
		return
	}
	r.ReceivedAt = time.Now()
	got := make(chan core.Answer, 1)
	var gone atomic.Bool
	drop := func() { // of an answer that crosses its client's going
		select {
		case a := <-got:
			if rep, ok := a.Payload.(*nodeResponse); ok {
				rep.Release()
			}
		default:
		}
	}
	r.Answer = func(a core.Answer) {
		got <- a
		if gone.Load() {
			drop()
		}
	}
	crowded := s.ln.Load().OverCapacity()
	if crowded || s.reserveIdle.Load() && s.ln.Load().FewIdle() {
		s.Core.Reject(r, shedRetryAfter)
		writeAnswer(ctx, <-got)
		if crowded {
			closeAfterResponse(ctx) // its place is another's
		}
		return
	}
	if svc := s.scatterGather.Load(); svc != nil && len(ctx.Request.Header.Peek(hdrGather)) > 0 {
		s.gather(ctx, r, svc, bounds)
		return
	}
	conn := ctx.Conn().(*transport.Conn) // Serve wraps its listener
	left := conn.Watch()
	r.ClientDisconnected = conn.PeerClosed
	s.Core.Submit(r)
	select {
	case a := <-got:
		conn.Unwatch()
		writeAnswer(ctx, a)
	case <-left:
		s.Core.Cancel(r)
		gone.Store(true)
		drop()
		conn.Unwatch()
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499) // no one reads it
	}
}

// rejectUnread answers a request whose body could not be read: the rest of it is not read, so the
// connection closes.
func (s *Server) rejectUnread(ctx *fasthttp.RequestCtx, err error) {
	closeDiscardingInput(ctx)
	var m *MalformedError
	switch {
	case errors.Is(err, errNoBodyMemory):
		class, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
		got := make(chan core.Answer, 1)
		s.Core.Reject(&core.Request{Request: policy.Request{Class: class}, Answer: func(a core.Answer) { got <- a }}, shedRetryAfter)
		writeAnswer(ctx, <-got)
	case errors.As(err, &m):
		ctx.Error(m.Problem, m.Status)
	case errors.Is(err, errBodyStalled) && s.rejectIncoming.Load():
		s.rejectIncomplete(ctx)
	case errors.Is(err, errBodyStalled):
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
	}
}

// writeAnswer encodes the final answer.
func writeAnswer(ctx *fasthttp.RequestCtx, a core.Answer) {
	switch a.Kind {
	case core.Served:
		rep := a.Payload.(*nodeResponse)
		if rep.relay != nil {
			rep.relay.client = ctx.Conn()
			ctx.Response.ImmediateHeaderFlush = true
			ctx.Response.SetBodyStream(rep.relay, -1) // chunked: a cut answer lacks its last chunk
			return
		}
		if rep.release == nil {
			ctx.Response.SetBodyRaw(rep.body)
			return
		}
		out := &responseStream{response: rep}
		out.Reset(rep.body)
		ctx.Response.SetBodyStream(out, len(rep.body))
	case core.Rejected:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		wait := max(a.RetryAfter, minRetryAfter)
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	case core.Failed:
		ctx.SetStatusCode(failureStatus(a.Cause))
		ctx.SetBodyString(string(a.Cause))
	}
}

// failureStatus returns the HTTP status of a failed request.
func failureStatus(cause core.Cause) int {
	switch cause {
	case core.CauseInvalidRequest:
		return fasthttp.StatusBadRequest
	case core.CauseUnknownClass:
		return fasthttp.StatusNotFound
	case core.CauseDuplicateID:
		return fasthttp.StatusConflict
	case core.CauseDeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}
