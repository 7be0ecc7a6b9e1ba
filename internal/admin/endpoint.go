// Package admin is the admin endpoint: an HTTP server for operators on a separate address, with the calls ready, telemetry,
// exclude, include and, if configured, estimate. It has no state of the data path: it reads the counters of core and passes
// exclusions to it.
//
// Invariants:
//   - Each response is sent within a second under any load, even while clients hold connections without a complete request.
//     Therefore the endpoint has its own connections and goroutines: at most maxConns connections, of which the oldest is
//     closed for a new one, readTimeout for a request, writeTimeout for a response, and one request per connection.
//   - A rejected call changes nothing, and its response has the reason and, if there are any, a code and advice.
package admin

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
)

const (
	maxConns     = 32
	readTimeout  = 700 * time.Millisecond
	writeTimeout = 300 * time.Millisecond
	maxHeadBytes = 4 << 10
	maxIDBytes   = 256 // maximum length of a node's id
)

// The paths of the calls.
const (
	readyPath     = "/api/ready"
	telemetryPath = "/api/telemetry"
	excludePath   = "/api/exclude"
	includePath   = "/api/include"
	estimatePath  = "/api/estimate"
)

const textPlain = "text/plain; charset=utf-8"

// Endpoint serves the calls. Its fields are set before Serve. The functions are called by several goroutines and must
// return within a few hundred milliseconds.
type Endpoint struct {
	Ready    func() bool
	Counters func() core.CounterSnapshot
	Exclude  func(id string) error // ErrUnknownNode is answered with 404, other errors with 503
	Include  func(id string) error // errors are answered like those of Exclude
	Log      logrus.FieldLogger    // nil: nothing is logged
	Estimate *Estimate             // nil: there is no such call

	server atomic.Pointer[fasthttp.Server] // Close may be called while Serve begins
}

// Serve answers calls on ln until Close.
func (e *Endpoint) Serve(ln net.Listener) error {
	server := &fasthttp.Server{
		Handler: e.handle, ErrorHandler: rejectMalformed, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxRequestsPerConn: 1, ReadBufferSize: maxHeadBytes, MaxRequestBodySize: e.maxBodyBytes(),
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		DisableKeepalive: true, Logger: debugLogger{e.Log},
	}
	e.server.Store(server)
	return server.Serve(limitConns(ln, maxConns))
}

// Close stops the endpoint and waits for the calls in progress.
func (e *Endpoint) Close() error {
	server := e.server.Load()
	if server == nil {
		return nil
	}
	return server.Shutdown()
}

// debugLogger logs the server's messages at the debug level.
type debugLogger struct{ log logrus.FieldLogger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	if l.log != nil {
		l.log.Debugf(format, args...)
	}
}

// rejectMalformed answers a request that could not be read.
func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	writeError(ctx, fasthttp.StatusBadRequest, "", &MalformedRequestError{err})
}

// writeError answers with the prefix and the error's text in the first line and, if the error has them, its code and advice
// in a line each.
func writeError(ctx *fasthttp.RequestCtx, status int, prefix string, err error) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(textPlain)
	ctx.SetBodyString(prefix + operr.Text(err) + "\n")
}

// allowedMethod returns the method that a path allows; "": there is no such call.
func (e *Endpoint) allowedMethod(path string) string {
	switch path {
	case readyPath, telemetryPath:
		return fasthttp.MethodGet
	case excludePath, includePath:
		return fasthttp.MethodPut
	case estimatePath:
		if e.Estimate != nil {
			return fasthttp.MethodPost
		}
	}
	return ""
}

// handle checks the path, the method and the length of a request and passes it to its call.
func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	path, method := string(ctx.Path()), string(ctx.Method())
	allowed := e.allowedMethod(path)
	isHead := allowed == fasthttp.MethodGet && method == fasthttp.MethodHead
	switch {
	case allowed == "":
		writeError(ctx, fasthttp.StatusNotFound, "", &UnknownPathError{path})
		return
	case method != allowed && !isHead:
		ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "", &MethodError{path, method, allowed})
		return
	case path != estimatePath && len(ctx.PostBody()) > maxHeadBytes:
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "", &BodyTooLongError{path, maxHeadBytes})
		return
	}
	switch path {
	case estimatePath:
		e.Estimate.serve(ctx)
	case readyPath:
		e.serveReady(ctx)
	case telemetryPath:
		ctx.SetContentType("application/json")
		ctx.SetBody(EncodeTelemetry(e.Counters()))
	case excludePath:
		changeNode(ctx, e.Exclude)
	case includePath:
		changeNode(ctx, e.Include)
	}
}

// serveReady answers whether the process is ready for clients.
func (e *Endpoint) serveReady(ctx *fasthttp.RequestCtx) {
	if !e.Ready() {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "", &NotReadyError{})
		return
	}
	ctx.SetContentType(textPlain)
	ctx.SetBodyString("ready\n")
}

// changeNode excludes or includes the node that the argument "who" names.
func changeNode(ctx *fasthttp.RequestCtx, change func(id string) error) {
	args := ctx.QueryArgs()
	id := args.Peek("who")
	if count := len(args.PeekMulti("who")); count != 1 || !isNodeID(id) {
		writeError(ctx, fasthttp.StatusBadRequest, "", &NodeIDError{count})
		return
	}
	switch err := change(string(id)); {
	case errors.Is(err, ErrUnknownNode):
		writeError(ctx, fasthttp.StatusNotFound, string(id)+": ", err)
	case err != nil:
		writeError(ctx, fasthttp.StatusServiceUnavailable, string(id)+": ", err)
	default:
		ctx.SetContentType(textPlain)
		ctx.SetBodyString("done\n")
	}
}

// isNodeID reports whether a text can be a node's id: printable ASCII without spaces.
func isNodeID(text []byte) bool {
	if len(text) == 0 || len(text) > maxIDBytes {
		return false
	}
	for _, b := range text {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}
