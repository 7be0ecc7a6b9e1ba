package iscsi

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/transport"
)

// portalSelector chooses among the portals of a storage target by the state machine of package
// address. A connection of the state machine is a session that has logged in. A request is the
// time in which commands are in flight on a session, so commands without a response count as a
// request without one. New commands use the session that the state machine chose last. Commands
// in flight on another session finish there.
type portalSelector struct {
	peer           *storagePeer
	settings       *address.Settings
	selector       *transport.AddressLoop
	connecting     map[address.Conn]context.CancelFunc
	sessions       map[address.Conn]*nexus
	lastRequest    address.Req
	waitingRequest address.Req // the request that waits for a session; 0: none
	noSwitchBefore time.Time   // no session on a better portal is requested before, as the last request failed
}

// portalLogin is the result of a login to a portal.
type portalLogin struct {
	connID address.Conn
	conn   *loggedInConn // nil: the login failed
	reason address.Reason
}

const (
	maxPortalSessions = 6 // sessions with one target, including those that log in or finish
	maxPortalRequests = 4
)

// currentAddressSettings returns the settings given to SetAddressSettings, or the defaults.
func (d *Dialer) currentAddressSettings() *address.Settings {
	if s := d.addressSettings.Load(); s != nil {
		return s
	}
	s := address.Defaults()
	d.addressSettings.CompareAndSwap(nil, &s)
	return d.addressSettings.Load()
}

func newPortalSelector(p *storagePeer) *portalSelector {
	o := &portalSelector{peer: p, settings: p.dialer.currentAddressSettings(), connecting: map[address.Conn]context.CancelFunc{},
		sessions: map[address.Conn]*nexus{}}
	settings := *o.settings
	settings.MaxConns, settings.MaxWaiting = maxPortalSessions, maxPortalRequests
	h := fnv.New64a()
	h.Write([]byte(p.dialer.Name + p.name))
	selector, err := address.New(settings, h.Sum64())
	if err != nil { // the settings were validated when they were read
		panic("address settings: " + err.Error())
	}
	o.selector = transport.NewAddressLoop(selector, o.execute)
	return o
}

// sessionReady reports whether the current session may take commands. If it has no commands in
// flight, a session is requested, which may select another portal.
func (o *portalSelector) sessionReady() bool {
	if x := o.peer.current; x != nil && x.requestID != 0 {
		if o.requestBetterSession(); o.waitingRequest == 0 || !o.selector.HasBetter(x.conn.addr) {
			return true
		}
		return false // a session on a better portal was requested
	}
	o.requestSession()
	return o.peer.current != nil && o.peer.current.requestID != 0
}

// requestSession requests a session from the state machine, unless a request is waiting.
func (o *portalSelector) requestSession() {
	if o.waitingRequest == 0 {
		o.lastRequest++
		o.waitingRequest = o.lastRequest
		o.selector.Step(address.Event{Kind: address.RequestQueued, Req: o.waitingRequest, Idempotent: true, NamesShard: true}) // the login names the target
	}
}

// retryPreferred lets the state machine try preferred portals again while commands are in flight
// on the session, and requests a session on a better portal if there is one.
func (o *portalSelector) retryPreferred() {
	x := o.peer.current
	if x == nil || x.requestID == 0 || o.peer.draining.Load() || o.peer.logoutRequested {
		return
	}
	o.selector.Step(address.Event{Kind: address.DemandContinued})
	o.requestBetterSession()
}

// requestBetterSession requests a session if a better portal than that of the current session is
// available.
func (o *portalSelector) requestBetterSession() {
	if x := o.peer.current; x != nil && x.requestID != 0 && time.Now().After(o.noSwitchBefore) && o.selector.HasBetter(x.conn.addr) {
		o.requestSession()
	}
}

// recordProgress reports to the state machine that the target responds on the session.
func (o *portalSelector) recordProgress(x *nexus) {
	x.answered = true
	o.selector.Step(address.Event{Kind: address.ProgressSeen, Conn: x.connID})
}

// finishRequest ends the session's request, as no command is in flight any more. If no command
// was answered, all were abandoned. The request then ends as cancelled, and the state machine
// closes the session.
func (o *portalSelector) finishRequest(x *nexus) {
	q := x.requestID
	x.requestID = 0
	if x.answered {
		o.selector.Step(address.Event{Kind: address.ResponseReceived, Conn: x.connID, Req: q, Verdict: address.VerdictServed, KeepAlive: true})
	} else {
		o.selector.Step(address.Event{Kind: address.RequestCancelled, Conn: x.connID, Req: q})
	}
}

// recordSessionEnd reports to the state machine that a session has ended.
func (o *portalSelector) recordSessionEnd(x *nexus) {
	id, q := x.connID, x.requestID
	x.connID, x.requestID = 0, 0
	delete(o.sessions, id)
	if q != 0 {
		o.selector.Step(address.Event{Kind: address.ConnBroken, Conn: id, Req: q, Reason: address.ReasonReset})
	} else {
		o.selector.Step(address.Event{Kind: address.IdleConnClosed, Conn: id})
	}
}

// hasSession reports whether a session has a connection.
func (o *portalSelector) hasSession() bool {
	for _, x := range o.sessions {
		if x.conn != nil {
			return true
		}
	}
	return false
}

func (o *portalSelector) shutDown() {
	for _, stop := range o.connecting {
		stop()
	}
	for _, x := range o.sessions {
		x.connID = 0
		x.logOut()
	}
	o.selector.Timer.Stop()
}

// handleLogin handles the result of a login.
func (o *portalSelector) handleLogin(m *portalLogin) {
	stop := o.connecting[m.connID]
	if stop == nil { // the state machine has closed the connection meanwhile
		if m.conn != nil {
			m.conn.netConn.Close()
		}
		return
	}
	stop()
	delete(o.connecting, m.connID)
	if m.conn == nil {
		o.peer.redialAt = time.Now().Add(redialDelay)
		o.selector.Step(address.Event{Kind: address.ConnectFailed, Conn: m.connID, Reason: m.reason})
		return
	}
	x := newNexus(o.peer, m.conn)
	x.connID = m.connID
	o.sessions[m.connID] = x
	o.selector.Step(address.Event{Kind: address.Connected, Conn: m.connID})
	if o.sessions[m.connID] == x && x.requestID == 0 && o.peer.current != nil && o.peer.current != x {
		o.requestSession() // a trial connection, whose test is the login: use it
	}
}

// syncSelector reports a drain and new settings to the state machine, and sets the timer.
func (o *portalSelector) syncSelector() <-chan time.Time {
	o.selector.SetDraining(o.peer.draining.Load())
	if s := o.peer.dialer.currentAddressSettings(); s != o.settings {
		o.settings = s
		o.selector.Adjust(*s)
	}
	o.requestBetterSession()
	return o.selector.ArmTimer()
}

func (o *portalSelector) execute(a address.Action) {
	switch a.Kind {
	case address.Connect:
		ctx, stop := context.WithTimeout(context.Background(), o.peer.dialer.ConnectTimeout)
		o.connecting[a.Conn] = stop
		go func() {
			l, reason, _ := o.peer.login(ctx, a.Addr)
			m := message{portalLogin: &portalLogin{connID: a.Conn, conn: l, reason: reason}}
			select {
			case o.peer.mailbox <- m:
			case <-o.peer.done:
				if l != nil {
					l.netConn.Close()
				}
			}
		}()
	case address.Write:
		o.assignSession(o.sessions[a.Conn], a.Req)
	case address.Close:
		if stop := o.connecting[a.Conn]; stop != nil {
			stop()
			delete(o.connecting, a.Conn)
		} else if x := o.sessions[a.Conn]; x != nil {
			delete(o.sessions, a.Conn)
			x.connID, x.requestID = 0, 0
			if o.peer.current == x {
				o.peer.current = nil
				o.peer.retiring[x] = true
			}
			if x.hasLiveCommands() {
				return // its commands in flight finish on it
			}
			x.logOut()
		}
	case address.Fail:
		if a.Req == o.waitingRequest {
			o.waitingRequest, o.noSwitchBefore = 0, time.Now().Add(o.settings.TrialInterval)
			if o.peer.current == nil {
				o.peer.failQueue()
			}
		}
	case address.LogState:
		o.peer.dialer.Log.WithFields(logrus.Fields{"node": o.peer.name, "address": a.Addr.String(), "state": a.State.String(), "why": a.Reason.String()}).
			Info("address")
	}
}

// assignSession makes the session that the state machine chose the current one. If another session
// is in use and the new one is not on the primary portal, it was a trial. The successful login
// then counts as the response, and the session is closed.
func (o *portalSelector) assignSession(x *nexus, q address.Req) {
	if q == o.waitingRequest {
		o.waitingRequest = 0
	}
	x.requestID, x.answered = q, false
	if cur := o.peer.current; cur != nil && cur != x && cur.conn != nil && x.conn.addr != o.selector.Primary() {
		x.requestID = 0
		id := x.connID
		x.connID = 0
		delete(o.sessions, id)
		x.logOut()
		o.selector.Step(address.Event{Kind: address.ResponseReceived, Conn: id, Req: q, Verdict: address.VerdictServed})
		return
	}
	if o.peer.current != x {
		delete(o.peer.retiring, x)
		o.peer.makeCurrent(x)
	}
}
