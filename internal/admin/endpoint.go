// Package admin is the admin endpoint: a second address, solely for operators, with four
// calls (ready, telemetry, exclude, include) and, where it is given one, a fifth (estimate). It decides nothing of the data path; it reads the
// counts of core and hands excludes and includes to whoever holds them.
//
// Every answer is due within a second under any load, beside callers that hold a connection
// for seconds without a whole call. So the endpoint has its own connections, goroutines and caps:
// at most maxConns open, the oldest closed for a newcomer, each with readTimeout to bring its call
// and writeTimeout to take the answer, and one call a connection.
package admin

import (
	"encoding/json"
	"errors"
	"net"
	"slices"
	"sync"
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
	maxHeadBytes = 4 << 10 // bytes of a call's head; calls have no body
)

// Endpoint serves the calls. The funcs must answer within a few hundred milliseconds.
type Endpoint struct {
	Ready    func() bool
	Counters func() core.CounterSnapshot
	Exclude  func(id string) error // nil: done; ErrUnknownNode: a no of 404; else a no of 503
	Include  func(id string) error
	Log      logrus.FieldLogger

	Estimate *Estimate                       // nil: no such call
	server   atomic.Pointer[fasthttp.Server] // Close may come while Serve begins
}

// Serve answers on ln until Close.
func (d *Endpoint) Serve(ln net.Listener) error {
	server := &fasthttp.Server{
		Handler: d.handle, ErrorHandler: rejectMalformed, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxRequestsPerConn: 1, ReadBufferSize: maxHeadBytes, MaxRequestBodySize: d.maxBodyBytes(),
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		DisableKeepalive: true, Logger: debugLogger{d.Log},
	}
	d.server.Store(server)
	return server.Serve(limitConns(ln, maxConns))
}

// Close stops the endpoint; calls under way end.
func (d *Endpoint) Close() error {
	server := d.server.Load()
	if server == nil {
		return nil
	}
	return server.Shutdown()
}

type debugLogger struct{ log logrus.FieldLogger }

func (q debugLogger) Printf(form string, args ...any) {
	if q.log != nil {
		q.log.Debugf(form, args...)
	}
}

func rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	writeError(ctx, fasthttp.StatusBadRequest, "", &MalformedRequestError{err})
}

// writeError answers with what happened in the first line and, where the error has them, its code and
// advice in a line each.
func writeError(ctx *fasthttp.RequestCtx, status int, about string, err error) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(about + operr.Text(err) + "\n")
}

func (d *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	path, method := string(ctx.Path()), string(ctx.Method())
	want := map[string]string{"/api/ready": "GET", "/api/telemetry": "GET", "/api/exclude": "PUT", "/api/include": "PUT"}[path]
	if path == estimatePath && d.Estimate != nil {
		want = "POST"
	}
	switch {
	case want == "":
		writeError(ctx, fasthttp.StatusNotFound, "", &UnknownPathError{path})
		return
	case method != want && !(want == "GET" && method == "HEAD"):
		ctx.Response.Header.Set("Allow", want)
		writeError(ctx, fasthttp.StatusMethodNotAllowed, "", &MethodError{path, method, want})
		return
	}
	if path != estimatePath && len(ctx.PostBody()) > maxHeadBytes {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "", &BodyTooLongError{path, maxHeadBytes})
		return
	}
	switch path {
	case estimatePath:
		d.Estimate.serve(ctx)
	case "/api/ready":
		if !d.Ready() {
			writeError(ctx, fasthttp.StatusServiceUnavailable, "", &NotReadyError{})
			return
		}
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBodyString("ready\n")
	case "/api/telemetry":
		ctx.SetContentType("application/json")
		ctx.SetBody(EncodeTelemetry(d.Counters()))
	default:
		args := ctx.QueryArgs()
		who := args.Peek("who")
		if n := len(args.PeekMulti("who")); n != 1 || !isNodeID(who) {
			writeError(ctx, fasthttp.StatusBadRequest, "", &NodeIDError{n})
			return
		}
		do := d.Exclude
		if path == "/api/include" {
			do = d.Include
		}
		switch err := do(string(who)); {
		case errors.Is(err, ErrUnknownNode):
			writeError(ctx, fasthttp.StatusNotFound, string(who)+": ", err)
		case err != nil:
			writeError(ctx, fasthttp.StatusServiceUnavailable, string(who)+": ", err)
		default:
			ctx.SetContentType("text/plain; charset=utf-8")
			ctx.SetBodyString("done\n")
		}
	}
}

// isNodeID says whether a text may be a storage node's name.
func isNodeID(v []byte) bool {
	if len(v) == 0 || len(v) > 256 {
		return false
	}
	for _, b := range v {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// EncodeTelemetry writes the figures in the form DAYS.md gives.
func EncodeTelemetry(s core.CounterSnapshot) []byte {
	text, _ := json.Marshal(struct {
		Passed     map[string]int64 `json:"passed"`
		Dropped    map[string]int64 `json:"dropped"`
		BadGateway map[string]int64 `json:"bad_gateway"`
		Tries      int64            `json:"upstream_tries"`
		InProgress int64            `json:"in_progress"`
		Known      int64            `json:"known_storage_nodes"`
		Skipped    int64            `json:"skipped_storage_nodes"`
		Loads      int64            `json:"loads"`
		LoadErrors int64            `json:"load_errors"`
	}{s.Served, s.Rejected, s.Failed, sum(s.Attempts), s.InProgress, s.Nodes, s.AvoidedNodes, s.Reloads, s.ReloadErrors})
	return text
}

// limitedListener keeps at most most connections open: a newcomer at the cap closes the oldest, which a
// caller that never finishes its call holds longest.
type limitedListener struct {
	net.Listener
	max  int
	mu   sync.Mutex
	open []*limitedConn
}

type limitedConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
}

func limitConns(ln net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: ln, max: most}
}

// Accept implements net.Listener.
func (c *limitedListener) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &limitedConn{Conn: nc, listener: c}
	c.mu.Lock()
	var oldest *limitedConn
	if len(c.open) >= c.max {
		oldest = c.open[0]
	}
	c.open = append(c.open, h)
	c.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return h, nil
}

// Close implements net.Conn.
func (h *limitedConn) Close() error {
	h.closeOnce.Do(func() {
		h.listener.mu.Lock()
		h.listener.open = slices.DeleteFunc(h.listener.open, func(o *limitedConn) bool { return o == h })
		h.listener.mu.Unlock()
	})
	return h.Conn.Close()
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}
