package scatter

import (
	"fmt"
	"sync"
	"time"

	"wheatsaddle/choice"
	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
)

// Core makes each asking a request of core, with an id of its own: the client's, the part's and the asking's number.
// It serves one gathered read. Off may wait for core's mailbox.
type Core struct {
	Core    *core.Core
	Client  choice.Request            // the client's: class, plan, volume and hosts are the parts' too, the key with the part's name
	Units   func(gather.Part) float64 // of a part
	Payload func(Ask) any             // what the nodes' front sends for it
	Body    func(any) ([]byte, error) // of what it made of the node's answer; *gather.Limited where there is more
	mu      sync.Mutex
	out     map[string]*core.Request
}

func (c *Core) id(a Ask) string { return fmt.Sprintf("%s/%s/%d", c.Client.ID, a.Part.ID, a.Copy) }

// Ask implements Asker.
func (c *Core) Ask(a Ask, until time.Time, to *Sink) {
	now := time.Now()
	r := &core.Request{Request: c.Client, Arrived: now, Patience: until.Sub(now), Payload: c.Payload(a)}
	r.ID, r.Shard, r.Units = c.id(a), a.Part.Shard, c.Units(a.Part)
	if r.Key != "" { // the module knows a repeat by it: parts are not each other's
		r.Key += "/" + a.Part.ID
	}
	r.Answer = func(x core.Answer) {
		c.take(r.ID)
		switch x.Kind {
		case core.Served:
			to.End(c.Body(x.Payload))
		case core.Refused:
			to.End(nil, &Refusal{x.RetryAfter})
		default:
			to.End(nil, &Failed{a.Part.ID, x.Cause, x.Cause == core.CauseGivenUp || x.Cause == core.CauseBroken})
		}
	}
	c.mu.Lock()
	if c.out == nil {
		c.out = map[string]*core.Request{}
	}
	c.out[r.ID] = r
	c.mu.Unlock()
	c.Core.Submit(r)
}

// Off implements Asker: to core the part's client has gone.
func (c *Core) Off(a Ask) {
	if r := c.take(c.id(a)); r != nil {
		c.Core.Depart(r)
	}
}

func (c *Core) take(id string) *core.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.out[id]
	delete(c.out, id)
	return r
}
