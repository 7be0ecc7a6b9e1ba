package iscsi

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/transport"
)

// portals is the part of a peer that keeps to its book of addresses. A connection of the book
// is a session that has logged in; a request of the book is the span in which commands are out
// on one, so that their silence is its silence. New commands go by the session that the book
// named last; those out on another end there.
type portals struct {
	p      *peer
	set    *address.Settings
	book   *transport.AddressLoop
	coming map[address.Conn]context.CancelFunc
	up     map[address.Conn]*nexus
	seq    address.Req
	wanted address.Req // waits for a session; 0: none does
	stay   time.Time   // no move before: the last one came to nothing
}

// portalMail is a login's end.
type portalMail struct {
	conn address.Conn
	link *link // nil: it failed
	why  address.Reason
}

const (
	portalConns    = 6 // sessions with one target, with those that come up or finish
	portalRequests = 4
)

// bookSettings are those given, or the defaults.
func (d *Dialer) bookSettings() *address.Settings {
	if s := d.book.Load(); s != nil {
		return s
	}
	s := address.Defaults()
	d.book.CompareAndSwap(nil, &s)
	return d.book.Load()
}

func newPortals(p *peer) *portals {
	o := &portals{p: p, set: p.d.bookSettings(), coming: map[address.Conn]context.CancelFunc{},
		up: map[address.Conn]*nexus{}}
	set := *o.set
	set.MaxConns, set.MaxWaiting = portalConns, portalRequests
	h := fnv.New64a()
	h.Write([]byte(p.d.Name + p.name))
	book, err := address.New(set, h.Sum64())
	if err != nil { // they were checked when they were read
		panic("address settings: " + err.Error())
	}
	o.book = transport.NewAddressLoop(book, o.do)
	return o
}

// ready says whether the session may take commands: one that rests is asked for anew, which is
// when it may move to another portal.
func (o *portals) ready() bool {
	if x := o.p.cur; x != nil && x.busy != 0 {
		if o.move(); o.wanted == 0 || !o.book.HasBetter(x.link.at) {
			return true
		}
		return false // another portal's session is on its way
	}
	o.want()
	return o.p.cur != nil && o.p.cur.busy != 0
}

// want asks the book for a session.
func (o *portals) want() {
	if o.wanted == 0 {
		o.seq++
		o.wanted = o.seq
		o.book.Step(address.Event{Kind: address.RequestQueued, Req: o.wanted, Idempotent: true, NamesShard: true}) // the login names the target
	}
}

// nudge lets the book try preferred portals again while commands keep the session busy, and
// moves new commands to another portal where the book now prefers it.
func (o *portals) nudge() {
	x := o.p.cur
	if x == nil || x.busy == 0 || o.p.draining.Load() || o.p.leaving {
		return
	}
	o.book.Step(address.Event{Kind: address.DemandContinued})
	o.move()
}

// move asks for a session by the primary where the present one is by another.
func (o *portals) move() {
	if x := o.p.cur; x != nil && x.busy != 0 && time.Now().After(o.stay) && o.book.HasBetter(x.link.at) {
		o.want()
	}
}

// heard tells the book that the session's target answers.
func (o *portals) heard(x *nexus) {
	x.spoke = true
	o.book.Step(address.Event{Kind: address.ProgressSeen, Conn: x.conn})
}

// rest ends the book's request: no command is out any more. Where none was answered, all were
// given up, and the session is of no use.
func (o *portals) rest(x *nexus) {
	q := x.busy
	x.busy = 0
	if x.spoke {
		o.book.Step(address.Event{Kind: address.ResponseReceived, Conn: x.conn, Req: q, Verdict: address.VerdictServed, KeepAlive: true})
	} else {
		o.book.Step(address.Event{Kind: address.RequestDropped, Conn: x.conn, Req: q})
	}
}

// lost tells the book that a session has ended.
func (o *portals) lost(x *nexus) {
	id, q := x.conn, x.busy
	x.conn, x.busy = 0, 0
	delete(o.up, id)
	if q != 0 {
		o.book.Step(address.Event{Kind: address.ConnBroken, Conn: id, Req: q, Reason: address.ReasonReset})
	} else {
		o.book.Step(address.Event{Kind: address.IdleConnClosed, Conn: id})
	}
}

func (o *portals) end() {
	for _, stop := range o.coming {
		stop()
	}
	for _, x := range o.up {
		x.conn = 0
		x.bye()
	}
	o.book.Timer.Stop()
}

// hear takes a login's end.
func (o *portals) hear(m *portalMail) {
	stop := o.coming[m.conn]
	if stop == nil { // the book has closed it
		if m.link != nil {
			m.link.nc.Close()
		}
		return
	}
	stop()
	delete(o.coming, m.conn)
	if m.link == nil {
		o.p.redial = time.Now().Add(redialEvery)
		o.book.Step(address.Event{Kind: address.ConnectFailed, Conn: m.conn, Reason: m.why})
		return
	}
	x := newNexus(o.p, m.link)
	x.conn = m.conn
	o.up[m.conn] = x
	o.book.Step(address.Event{Kind: address.Connected, Conn: m.conn})
	if o.up[m.conn] == x && x.busy == 0 && o.p.cur != nil && o.p.cur != x {
		o.want() // it is a trial: the login was what there was to try
	}
}

// settle tells the book of a drain and of new settings, and sets the timer.
func (o *portals) settle() <-chan time.Time {
	o.book.SetDraining(o.p.draining.Load())
	if s := o.p.d.bookSettings(); s != o.set {
		o.set = s
		o.book.Adjust(*s)
	}
	o.move()
	return o.book.ArmTimer()
}

func (o *portals) do(a address.Action) {
	switch a.Kind {
	case address.Connect:
		ctx, stop := context.WithTimeout(context.Background(), o.p.d.ConnectTimeout)
		o.coming[a.Conn] = stop
		go func() {
			l, why, _ := o.p.login(ctx, a.Addr)
			m := mail{portal: &portalMail{conn: a.Conn, link: l, why: why}}
			select {
			case o.p.mail <- m:
			case <-o.p.done:
				if l != nil {
					l.nc.Close()
				}
			}
		}()
	case address.Write:
		o.give(o.up[a.Conn], a.Req)
	case address.Close:
		if stop := o.coming[a.Conn]; stop != nil {
			stop()
			delete(o.coming, a.Conn)
		} else if x := o.up[a.Conn]; x != nil {
			delete(o.up, a.Conn)
			x.conn, x.busy = 0, 0
			if o.p.cur == x {
				o.p.cur = nil
				o.p.old[x] = true
			}
			if x.live() {
				return // its commands end on it
			}
			x.bye()
		}
	case address.Fail:
		if a.Req == o.wanted {
			o.wanted, o.stay = 0, time.Now().Add(o.set.TrialInterval)
			if o.p.cur == nil {
				o.p.failQueue()
			}
		}
	case address.LogState:
		o.p.d.Log.WithFields(logrus.Fields{"node": o.p.name, "address": a.Addr.String(), "state": a.State.String(), "why": a.Reason.String()}).
			Info("address")
	}
}

// give takes the session that the book names. Beside one that serves, and not by the primary,
// it was a trial, and its login is the answer.
func (o *portals) give(x *nexus, q address.Req) {
	if q == o.wanted {
		o.wanted = 0
	}
	x.busy, x.spoke = q, false
	if cur := o.p.cur; cur != nil && cur != x && cur.link != nil && x.link.at != o.book.Primary() {
		x.busy = 0
		id := x.conn
		x.conn = 0
		delete(o.up, id)
		x.bye()
		o.book.Step(address.Event{Kind: address.ResponseReceived, Conn: id, Req: q, Verdict: address.VerdictServed})
		return
	}
	if o.p.cur != x {
		delete(o.p.old, x)
		o.p.use(x)
	}
}
