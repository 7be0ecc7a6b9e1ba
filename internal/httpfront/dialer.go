package httpfront

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/connreuse"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/mailbox"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// Dialer creates the actors of storage nodes, which share one limit on open connections.
type Dialer struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	Memory         *memory.Account    // of the connections and the responses on them; nil: no limit
	MaxConns       int64              // limit of open connections over all nodes
	FreeConnWait   time.Duration      // how long an attempt waits for a busy connection before another is opened
	dialEstimate   dialEstimate       // estimated duration of a dial
	Idempotent     map[string]bool    // idempotent classes, for requests without Settings
	Reuse          connreuse.Settings // when a connection may carry its next request; zero: at once
	Addresses      *AddressConfig     // for nodes with several addresses; nil: the defaults
	Log            logrus.FieldLogger // nil: no log
	Events         *eventlog.Log      // of the closes of connections; may be nil
	open           atomic.Int64       // connections that are open or being opened
	limit          connLimit          // a lower limit than MaxConns, while another process needs sockets
	idle           idleSet
	unrequested    atomic.Int64                                                                                 // connections on which unrequested bytes arrived
	dial           func(context.Context, address.Addr, time.Duration) (transport.Stream, address.Reason, error) // nil: transport.Dial
}

// Connect starts the actor of one storage node.
func (d *Dialer) Connect(name string, addresses []address.Addr) core.NodeClient {
	n := &node{dialer: d, name: name, mailbox: mailbox.New[nodeMessage](nodeMailboxSize), busy: map[*core.Attempt]*conn{},
		waiting: connqueue.New[*core.Attempt](connqueue.Settings{FreeConnWait: d.FreeConnWait, ConnectTimeout: d.ConnectTimeout}),
		reuse:   connreuse.NewHistory(d.Reuse),
		started: time.Now()}
	n.setAddresses(addresses)
	go n.run()
	return n
}

// UnrequestedBytes returns on how many connections storage nodes have sent bytes that no request asked for. Any goroutine may
// call it.
func (d *Dialer) UnrequestedBytes() int64 { return d.unrequested.Load() }

// idempotent reports whether a request is idempotent according to the settings with which it was decoded.
func (d *Dialer) idempotent(r *core.Request) bool {
	if r.Settings == nil {
		return d.Idempotent[r.Class]
	}
	k, ok := r.Settings.Class(r.Class)
	return ok && k.Effect == policy.Idempotent
}
