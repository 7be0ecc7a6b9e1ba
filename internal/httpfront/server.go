package httpfront

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"wheatsaddle/choice"
	"wheatsaddle/internal/core"
)

const (
	readyPath   = "/health/ready"
	headMost    = 16 << 10
	idleTimeout = 90 * time.Second
	readTimeout = 20 * time.Second
	acceptPause = 5 * time.Millisecond
	retryLeast  = 10 * time.Millisecond // a refusal always says when to come back
)

// Server answers the platform's clients.
type Server struct {
	Core *core.Core
	http *fasthttp.Server
	keys map[string]bool
}

// NewServer makes the front; conns caps the clients' connections.
func NewServer(c *core.Core, set choice.Settings, conns int, log logrus.FieldLogger) *Server {
	s := &Server{Core: c, keys: map[string]bool{}}
	for _, k := range set.Classes {
		s.keys[k.Name] = k.Effect == choice.Keyed
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: reject, Concurrency: 2 * conns, MaxRequestBodySize: bodyMost,
		ReadBufferSize: headMost, WriteBufferSize: 4096, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		SecureErrorLogMessage: true, Logger: quiet{log},
	}
	return s
}

// quiet keeps the server's lines, of which a client can cause many, at debug level.
type quiet struct{ log logrus.FieldLogger }

func (q quiet) Printf(form string, args ...any) { q.log.Debugf(form, args...) }

// reject answers a message that could not be read.
func reject(ctx *fasthttp.RequestCtx, err error) {
	code := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		code = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &late) && late.Timeout():
		code = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(code), code)
	ctx.SetConnectionClose()
}

// Serve runs until Shutdown.
func (s *Server) Serve(ln net.Listener, conns int) error {
	return s.http.Serve(&listener{Listener: ln, most: conns, open: map[*clientConn]bool{}})
}

// Shutdown stops accepting, closes connections between requests and waits for the answers.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == readyPath && ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	r, err := decode(&ctx.Request, func(class string) bool { return s.keys[class] })
	if err != nil {
		code := fasthttp.StatusBadRequest
		var m *Malformed
		if errors.As(err, &m) {
			code = m.Code
		}
		ctx.Error(err.Error(), code)
		return
	}
	r.Arrived = time.Now()
	got := make(chan core.Answer, 1)
	r.Answer = func(a core.Answer) { got <- a }
	cc, _ := ctx.Conn().(*clientConn)
	left := cc.watch()
	s.Core.Submit(r)
	select {
	case a := <-got:
		cc.unwatch()
		write(ctx, a)
	case <-left:
		s.Core.Depart(r)
		cc.unwatch()
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499) // nobody reads it
	}
}

// write encodes the final answer.
func write(ctx *fasthttp.RequestCtx, a core.Answer) {
	switch a.Kind {
	case core.Served:
		ctx.Response.SetBodyRaw(a.Payload.(*reply).body)
	case core.Refused:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		wait := max(a.RetryAfter, retryLeast)
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	case core.Failed:
		code := fasthttp.StatusBadGateway
		switch a.Cause {
		case core.CauseUnknown:
			code = fasthttp.StatusNotFound
		case core.CauseTwice:
			code = fasthttp.StatusConflict
		case core.CauseLate:
			code = fasthttp.StatusGatewayTimeout
		}
		ctx.SetStatusCode(code)
		ctx.SetBodyString(a.Cause)
	}
}

// listener survives a lack of descriptors and caps the open connections. At the cap it
// leaves newcomers in the backlog until one is closed.
type listener struct {
	net.Listener
	most int
	mu   sync.Mutex
	open map[*clientConn]bool
}

func (l *listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) >= l.most
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		for l.full() {
			time.Sleep(acceptPause)
		}
		nc, err := l.Listener.Accept()
		if err == nil {
			c := &clientConn{TCPConn: nc.(*net.TCPConn), from: l}
			l.mu.Lock()
			l.open[c] = true
			l.mu.Unlock()
			return c, nil
		}
		// The server takes most errors as its end; a lack of descriptors passes.
		for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
			if errors.Is(err, passing) {
				err = nil
			}
		}
		if err != nil {
			return nil, err
		}
		time.Sleep(acceptPause)
	}
}

// clientConn is a client's connection; while a request is at work it is watched for the
// client's going, which the server itself would see only when it writes.
type clientConn struct {
	*net.TCPConn
	from  *listener
	ended chan struct{}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.from.mu.Lock()
	delete(c.from.open, c)
	c.from.mu.Unlock()
	return c.TCPConn.Close()
}

// watch returns a channel that closes when the client has gone. It takes no bytes: what a
// client sends ahead stays for the server. The server does not read meanwhile.
func (c *clientConn) watch() <-chan struct{} {
	if c == nil {
		return nil
	}
	left := make(chan struct{})
	ended := make(chan struct{})
	c.ended = ended
	go func() {
		defer close(ended)
		raw, err := c.SyscallConn()
		if err != nil {
			return
		}
		gone := false
		err = raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
				return false
			}
			gone = err != nil || n == 0
			return true
		})
		if err == nil && gone {
			close(left)
		}
	}()
	return left
}

// unwatch ends the watch before the server uses the connection again.
func (c *clientConn) unwatch() {
	if c == nil || c.ended == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.ended
	c.ended = nil
	_ = c.SetReadDeadline(time.Time{})
}
