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

const pieceMost = 32 << 10 // bytes of a long body that wait for the merge at once

// Body is a node's answer to an asking.
type Body struct {
	Data    []byte        // all of it, or its beginning
	Rest    io.ReadCloser // nil: Data is all. An error but io.EOF is a cut
	Cut     func()        // ends a Read of Rest, from another goroutine
	Limited bool          // it stopped at the rows it was asked for
}

// Core makes each asking a request of core, with an id of its own: the client's, the part's and the asking's number.
// It serves one gathered read. Off may wait for core's mailbox.
type Core struct {
	Core     *core.Core
	Client   policy.Request               // the client's: class, plan, volume and hosts are the parts' too, the key with the part's name
	Settings *core.Settings               // that the client's was decoded under; nil: those that count when a part comes
	Units    func(gather.Part) float64    // of a part
	Payload  func(*core.Request, Ask) any // what the nodes' front sends for it
	Body     func(any) Body               // of what it made of the node's answer
	PartMost int                          // bytes of a part's body; 0: any
	Gone     func() bool                  // says whether the client has gone; nil: that is not known
	mu       sync.Mutex
	out      map[string]*asked
	tried    map[string]*core.AttemptedNodes // of all askings
}

// asked is an asking that is out.
type asked struct {
	req *core.Request // nil: core has answered
	cut func()        // of its long body
}

func (c *Core) id(a Ask) string { return fmt.Sprintf("%s/%s/%d", c.Client.ID, a.Part.ID, a.Copy) }

// Ask implements Asker.
func (c *Core) Ask(a Ask, until time.Time, to *Sink) {
	now := time.Now()
	r := &core.Request{Request: c.Client, Settings: c.Settings, ReceivedAt: now, Timeout: until.Sub(now), ClientDisconnected: c.Gone}
	r.ID, r.Shard, r.Units = c.id(a), a.Part.Shard, c.Units(a.Part)
	if r.Key != "" { // the module knows a repeat by it: parts are not each other's
		r.Key += "/" + a.Part.ID
	}
	r.Payload, r.AttemptedNodes = c.Payload(r, a), &core.AttemptedNodes{}
	r.Answer = func(x core.Answer) {
		switch x.Kind {
		case core.Served:
			b := c.Body(x.Payload)
			switch {
			case b.Rest == nil:
				c.take(r.ID)
				to.End(b.Data, b.end())
			case c.streams(r.ID, b.Cut):
				go c.stream(a, b, to)
			default: // it was called off meanwhile
				b.Cut()
				go b.Rest.Close()
				to.End(nil, io.ErrUnexpectedEOF)
			}
			return
		case core.Rejected:
			to.End(nil, &Refusal{x.RetryAfter})
		default:
			to.End(nil, &Failed{a.Part.ID, string(x.Cause), x.Cause == core.CauseNotServed || x.Cause == core.CauseInternal})
		}
		c.take(r.ID)
	}
	c.mu.Lock()
	if c.out == nil {
		c.out, c.tried = map[string]*asked{}, map[string]*core.AttemptedNodes{}
	}
	c.out[r.ID], c.tried[r.ID] = &asked{req: r}, r.AttemptedNodes
	for _, no := range a.Past {
		if t := c.tried[c.id(Ask{Part: a.Part, Copy: no})]; t != nil {
			r.AvoidNodes = append(r.AvoidNodes, t)
		}
	}
	c.mu.Unlock()
	c.Core.Submit(r)
}

func (b *Body) end() error {
	if b.Limited {
		return &gather.Limited{}
	}
	return nil
}

// streams notes that an asking's body comes in pieces; false: it was called off.
func (c *Core) streams(id string, cut func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.out[id]
	if x != nil {
		x.req, x.cut = nil, cut
	}
	return x != nil
}

// stream gives a long body as the merge has room: what it does not take stays with the node.
func (c *Core) stream(a Ask, b Body, to *Sink) {
	defer c.take(c.id(a))
	defer b.Rest.Close()
	got, piece := 0, b.Data
	buf := make([]byte, pieceMost)
	for {
		if got += len(piece); c.PartMost > 0 && got > c.PartMost {
			to.End(piece[:len(piece)-(got-c.PartMost)], &PartLong{a.Part.ID, c.PartMost})
			return
		}
		if len(piece) > 0 && !to.Piece(piece) {
			to.End(nil, io.ErrUnexpectedEOF)
			return
		}
		n, err := b.Rest.Read(buf)
		if piece = buf[:n]; err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			to.End(piece, &Failed{a.Part.ID, "body cut: " + err.Error(), true})
			return
		}
		if got += n; c.PartMost > 0 && got > c.PartMost {
			to.End(piece[:n-(got-c.PartMost)], &PartLong{a.Part.ID, c.PartMost})
			return
		}
		to.End(piece, b.end())
		return
	}
}

// Off implements Asker: to core the part's client has gone.
func (c *Core) Off(a Ask) {
	switch x := c.take(c.id(a)); {
	case x == nil:
	case x.req != nil:
		c.Core.Cancel(x.req)
	default:
		x.cut()
	}
}

func (c *Core) take(id string) *asked {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.out[id]
	delete(c.out, id)
	return x
}
