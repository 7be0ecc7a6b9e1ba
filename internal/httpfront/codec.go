// Package httpfront implements the platform's protocol, a strict subset of HTTP/1.1: Server receives clients'
// requests and submits them to core, and Dialer creates the node clients that send core's attempts to storage nodes.
//
// Each storage node has one actor goroutine (node), which owns its connections, and each connection
// (conn) one goroutine, which writes one request at a time and reads the response. A node with several
// addresses has an address pool (addressPool) in its actor, whose selector decides on its connections.
package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

const (
	maxBufferedBody = 64 << 10 // longest request or response body that is buffered as a whole
	maxRequestBody  = 32 << 20 // longest request body; a longer one is answered with status 413
	maxIDLength     = 128
	maxTimeout      = 10 * time.Minute
	maxUnits        = 1e6
)

// nodeRequest is the message for the storage nodes. It is decoded once, and encoded for each attempt with that
// attempt's remaining time.
type nodeRequest struct {
	head []byte       // request line and the headers that stay the same
	body *requestBody // nil once it is released
}

// bodySize returns the length of the body.
func (c *nodeRequest) bodySize() int {
	if c.body == nil {
		return 0
	}
	return c.body.size
}

// Release implements core.Releaser. Core calls it when no attempt can use the request any more.
func (c *nodeRequest) Release() {
	if c.body != nil {
		c.body.release()
		c.body = nil
	}
}

// MalformedError describes an invalid request.
type MalformedError struct {
	Status  int
	Problem string
}

// Error implements error.
func (m *MalformedError) Error() string { return m.Problem }

// malformed returns a MalformedError with status 400.
func malformed(format string, args ...any) error {
	return &MalformedError{fasthttp.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// isToken reports whether a header value can be copied into another message safely.
func isToken(v []byte, maxLength int) bool {
	if len(v) == 0 || len(v) > maxLength {
		return false
	}
	for _, b := range v {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// isHex16 reports whether v is 16 hexadecimal digits.
func isHex16(v []byte) bool {
	if len(v) != 16 {
		return false
	}
	for _, b := range v {
		if !('0' <= b && b <= '9' || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F') {
			return false
		}
	}
	return true
}

// decode decodes a client's request whose body fasthttp has already read. The result shares no memory with m.
func decode(m *fasthttp.Request, b *bounds) (*core.Request, error) {
	body, err := bufferedBody(nil, m.Body())
	if err != nil {
		return nil, err
	}
	return decodeWith(m, body, b)
}

// decodeWith decodes a client's request with the given body, which belongs to the result's payload. After an error the
// caller releases it.
func decodeWith(m *fasthttp.Request, body *requestBody, b *bounds) (*core.Request, error) {
	h := &m.Header
	r := &core.Request{Settings: b.settings}
	if p := h.Protocol(); string(p) != "HTTP/1.1" && string(p) != "HTTP/1.0" {
		return nil, malformed("version: %.20q", p)
	}
	framing, err := checkHead(h.RawHeaders(), uniqueRequestFields)
	if err != nil {
		return nil, malformed("%v", err)
	}
	if !h.IsGet() && !h.IsPut() {
		return nil, &MalformedError{fasthttp.StatusMethodNotAllowed, "method is neither GET nor PUT"}
	}
	id := h.Peek("X-Request-Id")
	if !isToken(id, maxIDLength) {
		return nil, malformed("X-Request-Id: missing or malformed")
	}
	uri := h.RequestURI()
	if len(uri) < 2 || uri[0] != '/' || !isToken(uri, 4096) {
		return nil, malformed("path: %.40q names no class", uri)
	}
	class := uri[1:]
	if end := bytes.IndexAny(class, "/?#"); end >= 0 {
		class = class[:end]
	}
	tier := h.Peek("Tier")
	if !isToken(tier, maxIDLength) {
		return nil, malformed("Tier: missing or malformed")
	}
	key := h.Cookie("extent")
	if !isHex16(key) {
		return nil, malformed("Cookie: extent: missing or not 16 hex digits")
	}
	timeoutMS, err := strconv.ParseUint(string(h.Peek("X-Deadline-Ms")), 10, 32)
	if err != nil || timeoutMS == 0 || time.Duration(timeoutMS)*time.Millisecond > maxTimeout {
		return nil, malformed("X-Deadline-Ms: missing or not a number of milliseconds")
	}
	if body.size > maxRequestBody {
		return nil, &MalformedError{fasthttp.StatusRequestEntityTooLarge, "body: over 32 MiB"}
	}
	if h.IsGet() && (body.size > 0 || framing.chunked) {
		return nil, malformed("body: a read has none")
	}
	r.ID, r.Class, r.Plan, r.Key = string(id), string(class), string(tier), string(key)
	r.Timeout = time.Duration(timeoutMS) * time.Millisecond
	r.ClientRetry = string(h.Peek("X-Retry")) == "1"
	if err := decodeIOInfo(string(h.Peek("IO-Info")), &r.Request); err != nil {
		return nil, err
	}
	if err := b.apply(&r.Request); err != nil {
		return nil, err
	}
	idempotencyKey := h.Peek("Idempotency-Key")
	if len(idempotencyKey) > 0 && !isToken(idempotencyKey, 1024) || len(idempotencyKey) == 0 && b.idempotentByKey[r.Class] {
		return nil, malformed("Idempotency-Key: missing or malformed")
	}
	r.IdempotencyKey = string(idempotencyKey)
	r.Payload = newNodeRequest(h, id, idempotencyKey, body)
	return r, nil
}

// newNodeRequest encodes the part of the message that is the same for all attempts of a request.
func newNodeRequest(h *fasthttp.RequestHeader, id, idempotencyKey []byte, body *requestBody) *nodeRequest {
	c := &nodeRequest{body: body}
	c.head = append(append(append(c.head, h.Method()...), ' '), h.RequestURI()...)
	c.head = append(append(c.head, " HTTP/1.1\r\nX-Request-Id: "...), id...)
	if len(idempotencyKey) > 0 {
		c.head = append(append(c.head, "\r\nIdempotency-Key: "...), idempotencyKey...)
	}
	if h.IsPut() {
		c.head = strconv.AppendInt(append(c.head, "\r\nContent-Length: "...), int64(c.bodySize()), 10)
	}
	return c
}

// decodeIOInfo decodes the IO-Info field: volume, units, shard and hosts, in any order.
func decodeIOInfo(text string, r *policy.Request) error {
	seen := map[string]bool{}
	for _, part := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seen[name] {
			return malformed("IO-Info: %.20q twice", name)
		}
		seen[name] = true
		var err error
		switch name {
		case "volume":
			if r.Volume = strings.Clone(v); !isHex16([]byte(v)) {
				err = errors.New("not 16 hex digits")
			}
		case "units":
			r.Units, err = strconv.ParseFloat(v, 64)
			if err == nil && !(r.Units > 0 && r.Units <= maxUnits) {
				err = errors.New("not a size")
			}
		case "shard":
			r.Shard, err = strconv.Atoi(v)
			if err == nil && (r.Shard < -1 || r.Shard > 1e6) {
				err = errors.New("not a shard")
			}
		case "hosts":
			r.Schedulers, err = strconv.Atoi(v)
			if err == nil && (r.Schedulers < 1 || r.Schedulers > 1e6) {
				err = errors.New("not a number of hosts")
			}
		}
		if err != nil {
			return malformed("IO-Info: %s: %v", name, err)
		}
	}
	for _, name := range []string{"volume", "units", "shard", "hosts"} {
		if !seen[name] {
			return malformed("IO-Info: %s: missing", name)
		}
	}
	return nil
}

// encodeHead appends the head of an attempt's message; left is the time until the deadline.
func (c *nodeRequest) encodeHead(dst []byte, host string, left time.Duration) []byte {
	dst = append(dst, c.head...)
	dst = append(append(dst, "\r\nHost: "...), host...)
	dst = strconv.AppendInt(append(dst, "\r\nX-Deadline-Ms: "...), max(1, left.Milliseconds()), 10)
	return append(dst, "\r\n\r\n"...)
}

// nodeResponse is the response of a storage node. A long one is passed on while it arrives.
type nodeResponse struct {
	body   []byte
	relay  *relay       // of a response that is passed on while it arrives; nil: body is complete
	memory memory.Share // of body
	unread bool         // the body is too long for a response that is not passed on; it was not read to its end
	// limited reports that a part of a gathered read stopped at the requested number of rows.
	limited bool
}

// Release implements core.Releaser. A response has one owner at a time.
func (r *nodeResponse) Release() {
	r.memory.Release()
	if r.relay != nil {
		_ = r.relay.Close()
	}
}

// decodeResponse decodes a response into the result of its attempt. Only a served result refers to rep.
func decodeResponse(m *fasthttp.Response, rep *nodeResponse) core.Result {
	h := &m.Header
	r := core.Result{Status: policy.Errored, Load: decodeLoad(string(h.Peek("X-Load")))}
	r.PeerUsage, _ = parseNonNegative(h.Peek("Other-Hosts"))
	if used, ok := parseNonNegative(h.Peek("Volume-Load")); ok {
		r.PlanUsage = used + 1
	}
	switch code := m.StatusCode(); {
	case code == fasthttp.StatusOK:
		rep.limited = string(h.Peek(hdrLimited)) == "1"
		r.Status, r.Payload = policy.OK, rep
		return r
	case isCapacityRejection(m):
		r.Status = policy.NodeFull
	case code >= 400 && code < 500 && code != fasthttp.StatusRequestTimeout && code != fasthttp.StatusTooManyRequests:
		r.Status, r.NotPerformed = policy.Abandoned, true
	}
	rep.Release()
	return r
}

// isCapacityRejection reports whether the node rejected the request for lack of capacity, without running it.
func isCapacityRejection(m *fasthttp.Response) bool {
	code := m.StatusCode()
	return (code == 503 || code == 504) && string(m.Header.Peek("X-Not-Run")) == "1"
}

// parseNonNegative parses a non-negative number; anything else counts as absent.
func parseNonNegative(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(bytes.TrimSpace(text)), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e12 {
		return 0, false
	}
	return v, true
}

// decodeLoad decodes a load report such as "inflight=7,queue=2,util=0.61".
func decodeLoad(text string) *policy.Load {
	l, found := &policy.Load{Inflight: -1, Queue: -1, Util: -1}, false
	for _, part := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(x) || x < 0 || x > 1e12 {
			return nil // malformed: none of it is used
		}
		switch name {
		case "inflight", "outstanding":
			l.Inflight, found = x, true
		case "queue", "backlog":
			l.Queue, found = x, true
		case "util", "utilization":
			l.Util, found = x, true
		}
	}
	if !found {
		return nil
	}
	return l
}
