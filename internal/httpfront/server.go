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

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/scattergather"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	readyPath         = "/health/ready"
	maxHeadSize       = 8 << 10
	idleTimeout       = 90 * time.Second        // the listener closes idle connections sooner when it is half full
	readTimeout       = 2500 * time.Millisecond // from the start of the connection, or from the first byte of a request
	writeMargin       = time.Second
	overflowConns     = 8                     // connections accepted above the cap in order to reject their requests; they use reserved descriptors
	rejectRetryAfter  = 50 * time.Millisecond // the time of one or two typical requests
	minRetryAfter     = 10 * time.Millisecond // a rejection always has a positive Retry-After
	closeIdleInterval = 5 * time.Millisecond

	// writeBufferSize holds a piece of a body that is passed on while it arrives, which the server reads with 4 KiB, and its
	// framing, so that each is one write.
	writeBufferSize = 4<<10 + 64

	// The memory of a head that is longer than a usual one.
	usualHeadSize = 1 << 10 // bytes
	usualFields   = 20
	headCopies    = 3
	fieldBytes    = 96 // of a parsed field
)

// Server accepts client connections and answers their requests.
type Server struct {
	Core       *core.Core
	http       *fasthttp.Server
	ln         atomic.Pointer[transport.Listener]
	lastBounds atomic.Pointer[bounds] // bounds of the last seen settings of the core
	// Memory is the account of the clients' connections, their requests and bodies; nil means no limit. It is set before Serve.
	Memory              *memory.Account
	reserveIdle         atomic.Bool // reject the requests that would use the last idle connections
	closeAfterResponses atomic.Bool // close each connection with its next response
	rejectIncoming      atomic.Bool // reject requests that are still arriving; each response closes its connection, even if unread bytes wait

	scatterGather atomic.Pointer[scattergather.Service] // nil: gathered reads are off

	timedOutRequests atomic.Int64
	pacer            *bulkPacer // of the long responses
	// Events records the closes of clients' connections; nil: they are not recorded. It is set before Serve.
	Events *eventlog.Log
}

// The reasons for the close of a client's connection that the server gives.
const (
	reasonMalformedRequest   eventlog.Reason = "malformed-request"
	reasonRequestTimeout     eventlog.Reason = "request-timeout"
	reasonRequestInterrupted eventlog.Reason = "request-interrupted" // for another client, or because the program stops
	reasonNoMemory           eventlog.Reason = "no-memory"
	reasonOverCapacity       eventlog.Reason = "over-capacity"
	reasonClientGone         eventlog.Reason = "client-disconnected"
	reasonServerStopping     eventlog.Reason = "stopping"
	reasonResponseTruncated  eventlog.Reason = "response-truncated"
)

// NewServer returns a server for at most conns client connections. The given settings determine the write timeout of responses
// that are sent before a request head was read; everything else follows the current settings of the core.
func NewServer(c *core.Core, settings policy.Settings, conns int, log logrus.FieldLogger) *Server {
	s := &Server{Core: c, pacer: newBulkPacer()}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.reject, Concurrency: 2 * (conns + overflowConns), MaxRequestBodySize: maxRequestBody, StreamRequestBody: true,
		HeaderReceived: s.requestTimeouts,
		ReadBufferSize: maxHeadSize, WriteBufferSize: writeBufferSize, ReadTimeout: readTimeout, WriteTimeout: responseTimeout(maxDeadline(settings)), IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		ReduceMemoryUsage:     true, // a connection without a request has no buffers
		SecureErrorLogMessage: true, DisablePreParseMultipartForm: true, Logger: debugLogger{log}, ConnState: s.trackState,
	}
	return s
}

// requestTimeouts returns the timeouts of one request, which depend on its head. The head has readTimeout from its first byte.
// The read timeout begins at the end of the head and ends when fasthttp has read the first piece of the body; from then on
// readBody bounds the waits.
func (s *Server) requestTimeouts(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if string(h.RequestURI()) == readyPath { // the readiness check does not use the core
		return fasthttp.RequestConfig{ReadTimeout: firstPieceTimeout}
	}
	return fasthttp.RequestConfig{ReadTimeout: firstPieceTimeout, WriteTimeout: responseTimeout(s.bounds().maxDeadline)}
}

// trackState records which connections are between requests, and sets the deadlines of a request at its first byte. fasthttp
// leaves those of the connection's start or of the previous response in place, which may be over soon.
func (s *Server) trackState(nc net.Conn, st fasthttp.ConnState) {
	c, ok := nc.(*transport.Conn)
	if !ok {
		return
	}
	switch st { // a new connection is neither idle nor active until its first byte arrives
	case fasthttp.StateIdle:
		c.ResponseDone()
	case fasthttp.StateActive:
		c.SetIdle(false)
		headEnd := time.Now().Add(s.http.ReadTimeout)
		_ = c.SetReadDeadline(headEnd)
		_ = c.SetWriteDeadline(headEnd.Add(writeMargin)) // of 100 Continue
	}
}

// debugLogger logs the messages of the HTTP server at debug level, as clients can cause many.
type debugLogger struct{ log logrus.FieldLogger }

func (l debugLogger) Printf(format string, args ...any) { l.log.Debugf(format, args...) }

// reject answers a request that could not be read.
func (s *Server) reject(ctx *fasthttp.RequestCtx, err error) {
	_ = ctx.Conn().SetWriteDeadline(time.Now().Add(writeMargin)) // fasthttp sets none
	code := fasthttp.StatusBadRequest
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &bufferErr) || errors.Is(err, transport.ErrTooManyFields):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout() && s.rejectsIncomplete(ctx):
		s.rejectIncomplete(ctx)
		return
	case errors.As(err, &netErr) && netErr.Timeout():
		s.timedOutRequests.Add(1)
		code = fasthttp.StatusRequestTimeout
		setCloseReason(ctx, reasonRequestTimeout)
	}
	setCloseReason(ctx, reasonMalformedRequest)
	ctx.Error(fasthttp.StatusMessage(code), code)
	closeDiscardingInput(ctx)
}

// setCloseReason sets why the connection will be closed. The first reason counts.
func setCloseReason(ctx *fasthttp.RequestCtx, reason eventlog.Reason) {
	if c, ok := ctx.Conn().(*transport.Conn); ok {
		c.SetCloseReason(reason)
	}
}

// closeDiscardingInput closes the connection after the response and discards the rest of the request, which may still arrive.
func closeDiscardingInput(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*transport.Conn); ok {
		c.DiscardInput()
	}
	ctx.SetConnectionClose()
}

// rejectsIncomplete reports whether the read of a request timed out early, because the program stops or the connection is
// needed for another client.
func (s *Server) rejectsIncomplete(ctx *fasthttp.RequestCtx) bool {
	conn, ok := ctx.Conn().(*transport.Conn)
	return s.rejectIncoming.Load() || ok && (conn.Interrupted() || conn.LacksMemory())
}

// rejectIncomplete rejects a request of which no more is read.
func (s *Server) rejectIncomplete(ctx *fasthttp.RequestCtx) {
	setCloseReason(ctx, reasonRequestInterrupted)
	a := core.Answer{Kind: core.Rejected, RetryAfter: rejectRetryAfter}
	if s.Core != nil && !s.Core.MayReject(headOnly(ctx)) {
		a = core.Answer{Kind: core.Failed, Cause: core.CauseDuplicateID}
	}
	writeResponse(ctx, a)
	closeDiscardingInput(ctx)
}

// headOnly returns a request with what its head says of its id and class, as far as it was read.
func headOnly(ctx *fasthttp.RequestCtx) *core.Request {
	class, _, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	return &core.Request{Request: policy.Request{ID: string(ctx.Request.Header.Peek("X-Request-Id")), Class: class}}
}

// Serve accepts and serves connections until Shutdown.
func (s *Server) Serve(ln net.Listener, conns int) error {
	l := transport.LimitWithOverflow(ln, conns, overflowConns)
	l.RecordCloses(s.Events)
	if s.Memory != nil {
		l.LimitMemory(s.Memory, transport.HTTPConnMemory)
	}
	s.ln.Store(l)
	return s.http.Serve(l)
}

// StopAccepting closes the listening socket; open connections are still served. It
// returns their number.
func (s *Server) StopAccepting() int {
	l := s.ln.Load()
	if l == nil {
		return 0
	}
	l.StopAccepting()
	return l.OpenCount()
}

// ReserveIdleConns makes the server reject requests that would use the last idle connections. Clients open no new connections to
// a stopping program, and a client whose connections are all busy would take the program for dead.
func (s *Server) ReserveIdleConns() { s.reserveIdle.Store(true) }

// CloseAfterResponses closes each connection with its next response, as another process accepts the clients' new connections.
// If a further request already waits on the connection it is answered first, because a close with unread input resets the
// connection.
func (s *Server) CloseAfterResponses() { s.closeAfterResponses.Store(true) }

// ConnCounts returns the open client connections by state. Any goroutine may call it.
func (s *Server) ConnCounts() transport.ConnCounts {
	if l := s.ln.Load(); l != nil {
		return l.Counts()
	}
	return transport.ConnCounts{}
}

// TimedOutRequests returns the number of requests that were answered with 408 so far. Any goroutine may call it.
func (s *Server) TimedOutRequests() int64 { return s.timedOutRequests.Load() }

// CloseIdle closes the connections that have been idle for at least minIdle, and returns how many are still open.
func (s *Server) CloseIdle(minIdle time.Duration) int {
	if l := s.ln.Load(); l != nil {
		return l.CloseIdle(minIdle)
	}
	return 0
}

// RejectIncoming rejects requests that are still arriving. It is called shortly before the program is killed, so that it does not
// read a whole request that it can no longer answer. It may be called repeatedly.
func (s *Server) RejectIncoming() {
	s.rejectIncoming.Store(true)
	if l := s.ln.Load(); l != nil {
		l.InterruptReads()
	}
}

// countParsed reports to the connection how many of the bytes read from it belong to the request.
func countParsed(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*transport.Conn)
	if !ok {
		return
	}
	h := &ctx.Request.Header
	const blanksAndEnd = len("  \r\n") // spaces and line end of the request line
	line := len(h.Method()) + len(h.RequestURI()) + len(h.Protocol()) + blanksAndEnd
	c.CountParsed(line + len(h.RawHeaders()) + max(h.ContentLength(), 0))
}

// closeAfterResponse closes the connection with the response, unless a further request was already read together with this one.
func closeAfterResponse(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*transport.Conn); !ok || !c.HasUnparsed() {
		setCloseReason(ctx, reasonServerStopping)
		ctx.SetConnectionClose()
	}
}

// closeIfStopping closes the connection with the response if the server is stopping or another process takes over.
func (s *Server) closeIfStopping(ctx *fasthttp.RequestCtx) {
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

// Shutdown stops accepting, closes idle connections and waits until all requests are answered, including pipelined ones that
// were already read.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.ln.Load(); l != nil {
		s.rejectIncoming.Store(true)
		l.StopAccepting()
		_ = l.Close()                                             // StopAccepting has closed the socket
		for l.CloseIdle(0) > 0 && sleep(ctx, closeIdleInterval) { // fasthttp's shutdown loses a request that arrives while it closes an idle connection
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

// handle answers one request, whose body is still to be read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	countParsed(ctx)
	defer s.closeIfStopping(ctx)
	if c, ok := ctx.Conn().(*transport.Conn); ok {
		c.AwaitTurn()
	}
	if string(ctx.Path()) == readyPath && ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	if c, ok := ctx.Conn().(*transport.Conn); ok && (c.LacksMemory() || !c.GrowRequest(longHeadBytes(&ctx.Request.Header))) {
		s.rejectForMemory(ctx)
		return
	}
	bounds := s.bounds()
	r := s.readRequest(ctx, bounds)
	if r == nil {
		return
	}
	r.ReceivedAt = arrivalOf(ctx)
	pending := newPendingAnswer()
	r.Answer = pending.deliver
	overCapacity := s.ln.Load().OverCapacity()
	if overCapacity || s.reserveIdle.Load() && s.ln.Load().FewIdle() {
		reason := core.ReasonFewIdle
		if overCapacity {
			reason = core.ReasonConnectionCap
		}
		s.Core.Reject(r, rejectRetryAfter, reason)
		writeResponse(ctx, <-pending.answers)
		if overCapacity {
			setCloseReason(ctx, reasonOverCapacity)
			closeAfterResponse(ctx) // the connection is above the cap
		}
		return
	}
	if svc := s.scatterGather.Load(); svc != nil && len(ctx.Request.Header.Peek(hdrGather)) > 0 {
		s.gather(ctx, r, svc, bounds)
		return
	}
	s.submit(ctx, r, pending)
}

// arrivalOf returns when a request that has been read arrived. Its time counts from then.
func arrivalOf(ctx *fasthttp.RequestCtx) time.Time {
	if c, ok := ctx.Conn().(*transport.Conn); ok {
		return c.RequestArrivedAt()
	}
	return time.Now()
}

// longHeadBytes returns the memory of a head beyond that of a usual one: its raw and its decoded copies, and its parsed fields.
func longHeadBytes(h *fasthttp.RequestHeader) int64 {
	size := len(h.RequestURI()) + len(h.RawHeaders())
	return int64(headCopies*max(0, size-usualHeadSize) + fieldBytes*max(0, h.Len()-usualFields))
}

// readRequest reads and decodes a request. If that fails, it answers the request and returns nil. Its result alone refers to
// the body, so that the body's memory is free once core has released the payload.
func (s *Server) readRequest(ctx *fasthttp.RequestCtx, bounds *bounds) *core.Request {
	body, err := readBody(ctx, s.Memory)
	if err != nil {
		s.rejectUnread(ctx, err)
		return nil
	}
	r, err := decodeWith(&ctx.Request, body, bounds)
	if err != nil {
		body.release()
		code := fasthttp.StatusBadRequest
		var m *MalformedError
		if errors.As(err, &m) {
			code = m.Status
		}
		setCloseReason(ctx, reasonMalformedRequest)
		ctx.Error(err.Error(), code)
		closeDiscardingInput(ctx) // the bytes that follow may belong to the malformed request
		return nil
	}
	return r
}

// submit passes a request to core and writes its answer, unless the client disconnects first.
func (s *Server) submit(ctx *fasthttp.RequestCtx, r *core.Request, pending *pendingAnswer) {
	conn := ctx.Conn().(*transport.Conn) // Serve wraps its listener
	peerClosed := conn.Watch()
	r.ClientDisconnected = conn.PeerClosed
	s.Core.Submit(r)
	select {
	case a := <-pending.answers:
		conn.Unwatch()
		if response, ok := a.Payload.(*nodeResponse); ok && response.relay != nil {
			response.relay.share(s.pacer)
		}
		writeResponse(ctx, a)
	case <-peerClosed:
		s.Core.Cancel(r)
		pending.abandon()
		conn.Unwatch()
		conn.SetCloseReason(reasonClientGone)
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499) // the client has disconnected and does not see it
	}
}

// rejectForMemory rejects a request for which there is no memory. If its body was not read, the connection is closed.
func (s *Server) rejectForMemory(ctx *fasthttp.RequestCtx) {
	if size := ctx.Request.Header.ContentLength(); ctx.RequestBodyStream() != nil && (size < 0 || size > firstPieceSize) {
		setCloseReason(ctx, reasonNoMemory)
		closeDiscardingInput(ctx)
	}
	answers := make(chan core.Answer, 1)
	r := headOnly(ctx)
	r.Answer = func(a core.Answer) { answers <- a }
	s.Core.Reject(r, rejectRetryAfter, core.ReasonMemory)
	writeResponse(ctx, <-answers)
}

// rejectUnread answers a request whose body could not be read. The rest of the body is not read, so the connection is closed.
func (s *Server) rejectUnread(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errNoMemory) {
		s.rejectForMemory(ctx)
		return
	}
	closeDiscardingInput(ctx)
	var m *MalformedError
	switch {
	case errors.As(err, &m):
		setCloseReason(ctx, reasonMalformedRequest)
		ctx.Error(m.Problem, m.Status)
	case errors.Is(err, errBodyStalled) && s.rejectsIncomplete(ctx):
		s.rejectIncomplete(ctx)
	case errors.Is(err, errBodyStalled):
		s.timedOutRequests.Add(1)
		setCloseReason(ctx, reasonRequestTimeout)
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
	default:
		setCloseReason(ctx, reasonMalformedRequest)
		ctx.Error("body: "+err.Error(), fasthttp.StatusBadRequest)
	}
}

// writeResponse encodes the final answer as the client's response.
func writeResponse(ctx *fasthttp.RequestCtx, a core.Answer) {
	switch a.Kind {
	case core.Served:
		rep := a.Payload.(*nodeResponse)
		if rep.relay != nil {
			rep.relay.pace = newResponsePace(ctx.Conn())
			rep.relay.onTruncated = func() { setCloseReason(ctx, reasonResponseTruncated) }
			ctx.Response.ImmediateHeaderFlush = true
			ctx.Response.SetBodyStream(rep.relay, -1) // chunked, so that a truncated response lacks its last chunk
			return
		}
		ctx.Response.SetBodyRaw(rep.body)
		if c, ok := ctx.Conn().(*transport.Conn); ok {
			c.AfterResponse(rep.Release)
		}
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
