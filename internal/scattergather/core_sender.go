package scattergather

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const maxPieceBytes = 32 << 10 // bytes of a long body that are buffered for the merge at once

// Body is a node's response to an attempt.
type Body struct {
	Data    []byte        // the whole body, or its beginning
	Rest    io.ReadCloser // nil: Data is the whole body. An error other than io.EOF means that the body was truncated
	Abort   func()        // aborts a Read of Rest, from another goroutine
	Limited bool          // the node stopped at the requested number of rows
}

// CoreSender submits each attempt to core as a request. The request's ID consists of the client's request ID, the part's ID and
// the attempt's number. A CoreSender serves one gathered read. Cancel may wait for core's mailbox.
type CoreSender struct {
	Core               *core.Core
	Client             policy.Request                   // the client's request; the parts inherit it, and their keys get the part's ID appended
	Settings           *core.Settings                   // under which the client's request was decoded; nil: those in effect when a part is submitted
	Units              func(gather.Part) float64        // units of a part
	Payload            func(*core.Request, Attempt) any // payload that the nodes' front sends for an attempt
	Body               func(any) Body                   // body of a node's response payload
	MaxPartBytes       int                              // bytes of a part's body; 0: unlimited
	ClientDisconnected func() bool                      // reports whether the client has disconnected; nil: unknown
	mu                 sync.Mutex
	inFlight           map[string]*inFlightRequest
	attemptedNodes     map[string]*core.AttemptedNodes // nodes of all attempts, by request ID
}

// inFlightRequest is an attempt in flight.
type inFlightRequest struct {
	req   *core.Request // nil: core has answered
	abort func()        // aborts its long body
}

func (c *CoreSender) requestID(a Attempt) string {
	return fmt.Sprintf("%s/%s/%d", c.Client.ID, a.Part.ID, a.Number)
}

// Send implements Sender.
func (c *CoreSender) Send(a Attempt, until time.Time, to *Sink) {
	now := time.Now()
	r := &core.Request{Request: c.Client, Settings: c.Settings, ReceivedAt: now, Timeout: until.Sub(now), ClientDisconnected: c.ClientDisconnected}
	r.ID, r.Shard, r.Units = c.requestID(a), a.Part.Shard, c.Units(a.Part)
	if r.Key != "" { // core recognises a repeated request by its key, so each part needs its own
		r.Key += "/" + a.Part.ID
	}
	if r.IdempotencyKey != "" { // as in the payload, where parts are not deduplicated against each other
		r.IdempotencyKey += "/" + a.Part.ID
	}
	r.Payload, r.AttemptedNodes = c.Payload(r, a), &core.AttemptedNodes{}
	r.Answer = func(x core.Answer) {
		switch x.Kind {
		case core.Served:
			b := c.Body(x.Payload)
			switch {
			case b.Rest == nil:
				c.remove(r.ID)
				to.End(b.Data, b.endError())
			case c.startStreaming(r.ID, b.Abort):
				go c.stream(a, b, to)
			default: // cancelled in the meantime
				b.Abort()
				go b.Rest.Close()
				to.End(nil, io.ErrUnexpectedEOF)
			}
			return
		case core.Rejected:
			to.End(nil, &Rejection{x.RetryAfter})
		default:
			to.End(nil, &PartFailed{a.Part.ID, string(x.Cause), x.Cause == core.CauseNotServed || x.Cause == core.CauseInternal})
		}
		c.remove(r.ID)
	}
	c.mu.Lock()
	if c.inFlight == nil {
		c.inFlight, c.attemptedNodes = map[string]*inFlightRequest{}, map[string]*core.AttemptedNodes{}
	}
	c.inFlight[r.ID], c.attemptedNodes[r.ID] = &inFlightRequest{req: r}, r.AttemptedNodes
	for _, number := range a.AvoidNodesOf {
		if nodes := c.attemptedNodes[c.requestID(Attempt{Part: a.Part, Number: number})]; nodes != nil {
			r.AvoidNodes = append(r.AvoidNodes, nodes)
		}
	}
	c.mu.Unlock()
	c.Core.Submit(r)
}

func (b *Body) endError() error {
	if b.Limited {
		return &gather.Limited{}
	}
	return nil
}

// startStreaming records that an attempt's body arrives in pieces. It returns false if the attempt was cancelled.
func (c *CoreSender) startStreaming(id string, abort func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.inFlight[id]
	if attempt != nil {
		attempt.req, attempt.abort = nil, abort
	}
	return attempt != nil
}

// stream delivers a long body at the rate at which the merge consumes it. Bytes that the merge does not consume stay with the node.
func (c *CoreSender) stream(a Attempt, b Body, to *Sink) {
	defer c.remove(c.requestID(a))
	defer b.Rest.Close()
	received, piece := 0, b.Data
	buf := make([]byte, maxPieceBytes)
	for {
		if received += len(piece); c.MaxPartBytes > 0 && received > c.MaxPartBytes {
			to.End(piece[:len(piece)-(received-c.MaxPartBytes)], &PartTooLong{a.Part.ID, c.MaxPartBytes})
			return
		}
		if len(piece) > 0 && !to.Deliver(piece) {
			to.End(nil, io.ErrUnexpectedEOF)
			return
		}
		n, err := b.Rest.Read(buf)
		if piece = buf[:n]; err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			to.End(piece, &PartFailed{a.Part.ID, "read body: " + err.Error(), true})
			return
		}
		if received += n; c.MaxPartBytes > 0 && received > c.MaxPartBytes {
			to.End(piece[:n-(received-c.MaxPartBytes)], &PartTooLong{a.Part.ID, c.MaxPartBytes})
			return
		}
		to.End(piece, b.endError())
		return
	}
}

// Cancel implements Sender. To core, the part's client has disconnected.
func (c *CoreSender) Cancel(a Attempt) {
	switch attempt := c.remove(c.requestID(a)); {
	case attempt == nil:
	case attempt.req != nil:
		c.Core.Cancel(attempt.req)
	default:
		attempt.abort()
	}
}

func (c *CoreSender) remove(id string) *inFlightRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.inFlight[id]
	delete(c.inFlight, id)
	return attempt
}
