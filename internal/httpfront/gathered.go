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

// The header fields of gathered reads: of client requests, of parts and of responses.
const (
	hdrGather  = "X-Gather"
	hdrToken   = "X-Gather-Token"
	hdrPartial = "X-Gather-Partial"
	hdrRows    = "X-Gather-Rows"
	hdrLimited = "X-Gather-Limited"
	hdrResult  = "X-Gather-Result"
)

const maxShardsText = 8 << 10 // limits both the bytes of a shard list and the number of shards in it

var (
	errClientClosed = errors.New("gathered read: client disconnected")
	errIncomplete   = errors.New("gathered read: ended without a result")
)

// SetScatterGather sets the service of gathered reads; nil turns them off. Reads in flight continue with the previous service.
func (s *Server) SetScatterGather(svc *scattergather.Service) { s.scatterGather.Store(svc) }

// PartPayload returns the message to the nodes for a part: the client's read under the part's id, with its shard, units and
// number of rows.
func PartPayload(client, part *core.Request, rows int) any {
	head := client.Payload.(*nodeRequest).head
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	_, key, hasKey := bytes.Cut(rest, []byte("\r\nIdempotency-Key: "))
	payload := &nodeRequest{}
	payload.head = append(append(append(payload.head, line...), "\r\nX-Request-Id: "...), part.ID...)
	if hasKey { // a key of its own, so that parts are not deduplicated against each other
		payload.head = append(append(payload.head, "\r\nIdempotency-Key: "...), key...)
		payload.head = strconv.AppendInt(append(payload.head, '/'), int64(part.Shard), 10)
	}
	payload.head = append(append(payload.head, "\r\nIO-Info: volume="...), part.Volume...)
	payload.head = strconv.AppendFloat(append(payload.head, ",units="...), part.Units, 'g', -1, 64)
	payload.head = strconv.AppendInt(append(payload.head, ",shard="...), int64(part.Shard), 10)
	payload.head = strconv.AppendInt(append(payload.head, ",hosts="...), int64(part.Schedulers), 10)
	payload.head = strconv.AppendInt(append(payload.head, "\r\n"+hdrRows+": "...), int64(rows), 10)
	return payload
}

// PartBody returns the body of a node's response to a part.
func PartBody(payload any) scattergather.Body {
	rep := payload.(*nodeResponse)
	if rep.relay == nil {
		rep.memory.Release() // from now on the body counts for the gathered read
		return scattergather.Body{Data: rep.body, Limited: rep.limited}
	}
	return scattergather.Body{Rest: rep.relay, Abort: rep.relay.Abort, Limited: rep.limited}
}

// decodeGather decodes the query of a client's gathered read.
func decodeGather(h *fasthttp.RequestHeader, b *bounds) (q scattergather.Query, err error) {
	if !h.IsGet() {
		return q, &scattergather.NotGatherable{Why: "writes are never gathered"}
	}
	if string(h.Protocol()) != "HTTP/1.1" {
		return q, &scattergather.NotGatherable{Why: "rows need HTTP/1.1"}
	}
	for _, name := range []string{hdrGather, hdrToken, hdrPartial, hdrRows} {
		if len(h.PeekAll(name)) > 1 {
			return q, &scattergather.NotGatherable{Why: name + " twice"}
		}
	}
	q.Token, q.Partial = string(h.Peek(hdrToken)), string(h.Peek(hdrPartial)) == "1"
	if text := string(h.Peek(hdrRows)); q.Partial && text != "" {
		if q.Rows, err = strconv.Atoi(text); err != nil || q.Rows < 0 {
			return q, &scattergather.NotGatherable{Why: hdrRows + " is not a number of rows"}
		}
	}
	text := string(h.Peek(hdrGather))
	if q.All = text == "all"; q.All {
		return q, nil
	}
	invalidShards := func(why string) (scattergather.Query, error) {
		return q, &scattergather.InvalidShards{Shards: text, Why: why}
	}
	if len(text) > maxShardsText {
		return invalidShards("is too long")
	}
	for _, item := range strings.Split(text, ",") {
		from, to, isRange := strings.Cut(strings.TrimSpace(item), "-")
		first, err := strconv.ParseUint(from, 10, 20)
		last := first
		if isRange && err == nil {
			last, err = strconv.ParseUint(to, 10, 20)
		}
		switch {
		case err != nil:
			return invalidShards("is not like 0,3,7-9, or all")
		case last < first:
			return invalidShards("a range ends before it begins")
		case b.shards > 0 && last >= uint64(b.shards):
			return invalidShards("there is no shard " + strconv.FormatUint(last, 10))
		case last-first+uint64(len(q.Shards)) >= maxShardsText:
			return invalidShards("are too many")
		}
		for ; first <= last; first++ {
			q.Shards = append(q.Shards, int(first))
		}
	}
	return q, nil
}

// gather answers a gathered read. A failure before the first row has its own status code. After the first row the response
// either ends with its result or is truncated.
func (s *Server) gather(ctx *fasthttp.RequestCtx, r *core.Request, svc *scattergather.Service, b *bounds) {
	q, err := decodeGather(&ctx.Request.Header, b)
	if err != nil {
		writeFinal(ctx, scattergather.Final{Kind: scattergather.Invalid, Err: err})
		return
	}
	conn := ctx.Conn().(*transport.Conn)
	readCtx, cancel := context.WithCancel(context.Background())
	g := &gatherStream{conn: conn, cancel: cancel, head: &ctx.Response.Header, pace: newResponsePace(conn), writeDeadline: r.ReceivedAt.Add(r.Timeout + writeMargin),
		pieces: make(chan []byte), consumed: make(chan struct{}, 1), closed: make(chan struct{}), result: make(chan scattergather.Final, 1), readDone: make(chan struct{})}
	g.peerClosed = conn.Watch()
	r.ClientDisconnected = g.abandoned
	go func() {
		defer close(g.readDone)
		g.result <- svc.Read(readCtx, r, q, g.write)
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
		g.result <- f // there are no rows, and Read needs the result
	case <-g.peerClosed:
		_ = g.Close()
		ctx.SetConnectionClose()
		ctx.SetStatusCode(499) // the client has disconnected and does not see it
		return
	}
	if err := g.head.SetTrailer(hdrResult); err != nil {
		_ = g.Close()
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(g, -1) // chunked, so that a truncated response lacks its last chunk
}

// gatherStream passes the rows of a gathered read to its client. The server's goroutine calls Read and Close, the goroutine of
// the gathered read calls write.
type gatherStream struct {
	conn          *transport.Conn
	peerClosed    <-chan struct{}
	cancel        context.CancelFunc
	head          *fasthttp.ResponseHeader
	pace          responsePace
	writeDeadline time.Time // time after which the client no longer waits
	pieces        chan []byte
	consumed      chan struct{}
	closed        chan struct{} // closed by Close
	result        chan scattergather.Final
	readDone      chan struct{} // closed when the read has returned
	piece         []byte
	pending       bool // piece is not yet confirmed to write
	closeOnce     sync.Once
}

// abandoned reports whether the client no longer reads the response.
func (g *gatherStream) abandoned() bool {
	select {
	case <-g.closed:
		return true
	default:
		return g.conn.PeerClosed()
	}
}

// write passes rows to the server and waits until they are consumed, which gives back-pressure.
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
	g.pace.pieceRequested()
	n, err := g.readPiece(p)
	g.pace.passPiece(n, g.writeDeadline)
	return n, err
}

// readPiece waits for rows or the result.
func (g *gatherStream) readPiece(p []byte) (int, error) {
	for len(g.piece) == 0 {
		if g.pending {
			g.pending = false
			g.consumed <- struct{}{}
		}
		select {
		case g.piece = <-g.pieces:
			g.pending = true
		case f := <-g.result:
			if f.Kind != scattergather.Served && f.Kind != scattergather.EndedEarly {
				return 0, errIncomplete // not io.EOF, as the server would end the response as if it were complete
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

// Close implements io.Closer. It returns once all parts are cancelled.
func (g *gatherStream) Close() error {
	g.closeOnce.Do(func() {
		close(g.closed)
		g.cancel()
		<-g.readDone
		g.conn.Unwatch()
	})
	return nil
}

// writeFinal answers a gathered read of which no row was sent.
func writeFinal(ctx *fasthttp.RequestCtx, f scattergather.Final) {
	code := fasthttp.StatusBadGateway
	switch f.Kind {
	case scattergather.Invalid:
		code = fasthttp.StatusBadRequest
	case scattergather.Rejected:
		code = fasthttp.StatusServiceUnavailable
		f.RetryAfter = max(f.RetryAfter, minRetryAfter)
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	case scattergather.DeadlineExceeded:
		code = fasthttp.StatusGatewayTimeout
	case scattergather.EndedEarly:
		for _, p := range f.Result.Parts {
			var failed *scattergather.PartFailed
			switch {
			case errors.As(p.Why, &failed):
				code = failureStatus(core.Cause(failed.Cause))
			case errors.As(p.Why, new(*scattergather.PartDeadlineExceeded)):
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
