package httpfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/scattergather"
	"wheatsaddle/internal/transport"
)

// The fields of gathered reads: a client's, a part's, and what comes back.
const (
	hdrGather  = "X-Gather"
	hdrToken   = "X-Gather-Token"
	hdrPartial = "X-Gather-Partial"
	hdrRows    = "X-Gather-Rows"
	hdrLimited = "X-Gather-Limited"
	hdrResult  = "X-Gather-Result"
)

const maxShardsText = 8 << 10 // longest list of shards

var (
	errClientClosed = errors.New("gathered: its client takes no more")
	errIncomplete   = errors.New("gathered: it ended without its result")
)

// SetScatterGather takes the service of gathered reads from now on; nil: they are off. Reads under way end as they began.
func (s *Server) SetScatterGather(svc *scattergather.Service) { s.scatterGather.Store(svc) }

// PartPayload is what the nodes are sent for a part: the client's read under the part's id, with its shard, units and rows.
func PartPayload(client, part *core.Request, rows int) any {
	head := client.Payload.(*nodeRequest).head
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	_, key, keyed := bytes.Cut(rest, []byte("\r\nIdempotency-Key: "))
	c := &nodeRequest{}
	c.head = append(append(append(c.head, line...), "\r\nX-Request-Id: "...), part.ID...)
	if keyed { // parts are not each other's repeats
		c.head = append(append(c.head, "\r\nIdempotency-Key: "...), key...)
		c.head = strconv.AppendInt(append(c.head, '/'), int64(part.Shard), 10)
	}
	c.head = append(append(c.head, "\r\nIO-Info: volume="...), part.Volume...)
	c.head = strconv.AppendFloat(append(c.head, ",units="...), part.Units, 'g', -1, 64)
	c.head = strconv.AppendInt(append(c.head, ",shard="...), int64(part.Shard), 10)
	c.head = strconv.AppendInt(append(c.head, ",hosts="...), int64(part.Schedulers), 10)
	c.head = strconv.AppendInt(append(c.head, "\r\n"+hdrRows+": "...), int64(rows), 10)
	return c
}

// PartBody is a node's answer to a part.
func PartBody(payload any) scattergather.Body {
	rep := payload.(*nodeResponse)
	if rep.relay == nil {
		return scattergather.Body{Data: rep.body, Limited: rep.limited}
	}
	return scattergather.Body{Rest: rep.relay, Cut: rep.relay.Cut, Limited: rep.limited}
}

// decodeGather reads what a client asks of a gathered read.
func decodeGather(h *fasthttp.RequestHeader, b *bounds) (q scattergather.Query, err error) {
	if !h.IsGet() {
		return q, &scattergather.NotRead{Why: "writes are never gathered"}
	}
	if string(h.Protocol()) != "HTTP/1.1" {
		return q, &scattergather.NotRead{Why: "rows need HTTP/1.1"}
	}
	for _, name := range []string{hdrGather, hdrToken, hdrPartial, hdrRows} {
		if len(h.PeekAll(name)) > 1 {
			return q, &scattergather.NotRead{Why: name + " twice"}
		}
	}
	q.Token, q.Partial = string(h.Peek(hdrToken)), string(h.Peek(hdrPartial)) == "1"
	if text := string(h.Peek(hdrRows)); q.Partial && text != "" {
		if q.Rows, err = strconv.Atoi(text); err != nil || q.Rows < 0 {
			return q, &scattergather.NotRead{Why: hdrRows + " is not a number of rows"}
		}
	}
	text := string(h.Peek(hdrGather))
	if q.All = text == "all"; q.All {
		return q, nil
	}
	bad := func(why string) (scattergather.Query, error) {
		return q, &scattergather.ShardsBad{Shards: text, Why: why}
	}
	if len(text) > maxShardsText {
		return bad("is too long")
	}
	for _, one := range strings.Split(text, ",") {
		from, to, ranged := strings.Cut(strings.TrimSpace(one), "-")
		first, err := strconv.ParseUint(from, 10, 20)
		last := first
		if ranged && err == nil {
			last, err = strconv.ParseUint(to, 10, 20)
		}
		switch {
		case err != nil:
			return bad("is not like 0,3,7-9, or all")
		case last < first:
			return bad("a range ends before it begins")
		case b.shards > 0 && last >= uint64(b.shards):
			return bad("there is no shard " + strconv.FormatUint(last, 10))
		case last-first+uint64(len(q.Shards)) >= maxShardsText:
			return bad("are too many")
		}
		for ; first <= last; first++ {
			q.Shards = append(q.Shards, int(first))
		}
	}
	return q, nil
}

// gather answers a gathered read. What goes wrong before the first row has a code of its own; after it, the answer is either
// whole with its result or cut.
func (s *Server) gather(ctx *fasthttp.RequestCtx, r *core.Request, svc *scattergather.Service, b *bounds) {
	q, err := decodeGather(&ctx.Request.Header, b)
	if err != nil {
		writeFinal(ctx, scattergather.Final{Kind: scattergather.Invalid, Err: err})
		return
	}
	conn := ctx.Conn().(*transport.Conn)
	run, leave := context.WithCancel(context.Background())
	g := &gatherStream{conn: conn, cancel: leave, head: &ctx.Response.Header, writeDeadline: r.ReceivedAt.Add(r.Timeout + writeMargin),
		pieces: make(chan []byte), consumed: make(chan struct{}, 1), closed: make(chan struct{}), result: make(chan scattergather.Final, 1), readDone: make(chan struct{})}
	g.peerClosed = conn.Watch()
	r.ClientDisconnected = g.abandoned
	go func() {
		defer close(g.readDone)
		g.result <- svc.Read(run, r, q, g.write)
	}()
	select {
	case g.piece = <-g.pieces:
		g.pending = true
	case f := <-g.result:
		if f.Kind != scattergather.Served {
			_ = g.Close()
			writeFinal(ctx, f)
			return
		}
		g.result <- f // no rows, and the result
	case <-g.peerClosed:
		_ = g.Close()
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499) // no one reads it
		return
	}
	if err := g.head.SetTrailer(hdrResult); err != nil {
		_ = g.Close()
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(g, -1) // chunked: a cut answer lacks its last chunk
}

// gatherStream is a gathered read on its way to its client: Read and Close are the server's goroutine's, write is the read's.
type gatherStream struct {
	conn          *transport.Conn
	peerClosed    <-chan struct{}
	cancel        context.CancelFunc
	head          *fasthttp.ResponseHeader
	writeDeadline time.Time // after which nobody takes anything
	pieces        chan []byte
	consumed      chan struct{}
	closed        chan struct{} // closed with the gathering
	result        chan scattergather.Final
	readDone      chan struct{} // closed when the read has returned
	piece         []byte
	pending       bool // a piece is being taken
	closeOnce     sync.Once
}

// abandoned says that nobody takes the answer any more.
func (g *gatherStream) abandoned() bool {
	select {
	case <-g.closed:
		return true
	default:
		return g.conn.PeerClosed()
	}
}

// write gives rows and waits until the server has taken them: back-pressure.
func (g *gatherStream) write(rows []byte) error {
	select {
	case g.pieces <- rows:
	case <-g.closed:
		return errClientClosed
	}
	select {
	case <-g.consumed:
		return nil
	case <-g.closed:
		return errClientClosed
	}
}

// Read implements io.Reader.
func (g *gatherStream) Read(p []byte) (int, error) {
	_ = g.conn.SetWriteDeadline(g.writeDeadline)
	for len(g.piece) == 0 {
		if g.pending {
			g.pending = false
			g.consumed <- struct{}{}
		}
		select {
		case g.piece = <-g.pieces:
			g.pending = true
		case f := <-g.result:
			if f.Kind != scattergather.Served && f.Kind != scattergather.Short {
				return 0, errIncomplete // not EOF: the server must not end the answer as if it had its result
			}
			g.head.Set(hdrResult, string(f.Report(true).JSON()))
			return 0, io.EOF
		case <-g.peerClosed:
			return 0, errClientClosed
		}
	}
	n := copy(p, g.piece)
	g.piece = g.piece[n:]
	return n, nil
}

// Close implements io.Closer: the server is through with it. It returns once all parts were called off.
func (g *gatherStream) Close() error {
	g.closeOnce.Do(func() {
		close(g.closed)
		g.cancel()
		<-g.readDone
		g.conn.Unwatch()
	})
	return nil
}

// writeFinal answers a read of which no row went out.
func writeFinal(ctx *fasthttp.RequestCtx, f scattergather.Final) {
	code := fasthttp.StatusBadGateway
	switch f.Kind {
	case scattergather.Invalid:
		code = fasthttp.StatusBadRequest
	case scattergather.Refused:
		code = fasthttp.StatusServiceUnavailable
		f.RetryAfter = max(f.RetryAfter, minRetryAfter)
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	case scattergather.Late:
		code = fasthttp.StatusGatewayTimeout
	case scattergather.Short:
		for _, p := range f.Result.Parts {
			var failed *scattergather.Failed
			switch {
			case errors.As(p.Why, &failed):
				code = failureStatus(core.Cause(failed.Cause))
			case errors.As(p.Why, new(*scattergather.OutOfTime)):
				code = fasthttp.StatusGatewayTimeout
			default:
				continue
			}
			break
		}
	}
	ctx.SetStatusCode(code)
	ctx.SetContentType("application/json")
	ctx.SetBody(f.Report(false).JSON())
}
