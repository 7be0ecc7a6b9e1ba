// Package core runs the decision module (policy.Scheduler) in one actor goroutine. It keeps the open requests, their
// attempts and the timers, passes events to the decision module and carries out its actions. It has no wire format: fronts
// submit requests, and node clients carry attempts to nodes.
//
// Invariants:
//   - Each request gets exactly one final answer, even if the decision module loses the request or panics, or if the actor
//     ends. Only a cancelled request may get none.
//   - An endpoint list update is applied before any message that is queued in the mailbox.
//   - No attempt is claimed after its request was answered, its client disconnected, its deduplication window ended, or
//     the cutoff of its draining node passed. This holds even if the actor is stalled.
//   - A panic of the decision module fails the open requests and replaces the module. The process continues.
//
// Unexported methods of Core run in the actor unless their comment states otherwise.
package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/deadline"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/policy"
)

// Options configure a Core.
type Options struct {
	Settings        policy.Settings
	Seed            int64
	NewNodeClient   func(name string, addresses []address.Addr) NodeClient // called once for each node that is added to the endpoint list
	OnListRequested func()                                                 // called when the decision module requests the endpoint list; must not block
	Log             logrus.FieldLogger
	Events          *eventlog.Log // of the ends of requests; may be nil
	// OnAttemptEnded is called at the end of each attempt. startTime is the start time of the node at the dispatch. The
	// function must not block.
	OnAttemptEnded func(node string, startTime int64, class string, units, latencyMs float64, status policy.Status)
	// Excluded holds the exclusions that the scheduler's previous process stored.
	Excluded     exclusion.State
	IDs          *requestid.Registry // owned ids, shared with the other front; nil: only ids of open requests are known
	Memory       *memory.Account     // of the decision module's tables; nil: they are not accounted
	StartLimiter StartLimiter        // limits the load while the process starts; nil means no limit
}

// Core is the actor that runs the decision module. Its fields are accessed only in the actor unless their comment states
// otherwise.
type Core struct {
	options Options
	mailbox chan message  // any goroutine may send
	control chan message  // any goroutine may send list updates and operators' calls; handled before the mailbox
	stop    chan struct{} // closed by Stop
	ended   chan struct{} // closed when the actor has ended

	origin   time.Time // start of the process; constant, as is originMs
	originMs float64   // Unix milliseconds at origin

	scheduler *policy.Scheduler
	events    []policy.Event  // queued for the next step of the decision module
	actions   []policy.Action // returned by the last step
	batch     []message       // messages of the current iteration
	timers    timerHeap

	tableBytes int64 // acquired from the account

	requests        map[string]*requestState // by request id; not answered, or with outstanding attempts
	deferred        []*requestState          // requests with nodes to avoid that arrived in this iteration
	rejectsArrivals bool                     // set by Finish

	clients     map[string]NodeClient // by id of the listed node, like nodes, cutoffs and nodeUses
	nodes       map[string]Node       // list entries, without the exclusions applied
	cutoffs     map[string]*cutoff    // each is set while its node drains and is still used
	nodeUses    map[string]nodeUse
	listCurrent bool // the last list update came from a call or an open watch; false after a failure or for a cached list
	exclusions  *exclusion.Set

	pendingRestore policy.Learned // passed to the decision module after the next step
	handedOver     bool           // another process fills the token buckets; a new decision module is notified of this as well

	counters           *Counters // any goroutine may read
	lastCountMs        float64   // when the listed and avoided nodes were last counted
	timerLag           deadline.LagGauge
	lastLateLog        time.Time // time of the last log line about a late answer
	suppressedLateLogs int       // late answers without a log line since lastLateLog

	settings atomic.Pointer[Settings] // any goroutine may read
}

// New checks the settings and starts the actor.
func New(options Options) (*Core, error) {
	scheduler, err := policy.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	exclusions, err := exclusion.New(exclusion.Defaults)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &Core{
		options:    options,
		scheduler:  scheduler,
		mailbox:    make(chan message, mailboxSize),
		control:    make(chan message, controlSize),
		stop:       make(chan struct{}),
		ended:      make(chan struct{}),
		origin:     now,
		originMs:   float64(now.UnixMicro()) / 1000,
		requests:   map[string]*requestState{},
		clients:    map[string]NodeClient{},
		nodes:      map[string]Node{},
		cutoffs:    map[string]*cutoff{},
		nodeUses:   map[string]nodeUse{},
		exclusions: exclusions,
	}
	exclusions.Load(c.moduleTime(now), options.Excluded)
	initial := newSettings(1, options.Settings)
	c.settings.Store(initial)
	c.counters = newCounters(initial.classNames())
	go c.run()
	return c, nil
}

// moduleTime converts t to the decision module's time: Unix milliseconds at the start of the process plus the time that
// the monotonic clock has measured since. Start times in the endpoint list therefore need no conversion, and a change of
// the system clock has no effect. It may be called from any goroutine.
func (c *Core) moduleTime(t time.Time) float64 {
	return c.originMs + float64(t.Sub(c.origin).Microseconds())/1000
}

// sinceOrigin returns the duration from the start of the process to at, which is in the decision module's time.
func (c *Core) sinceOrigin(at float64) time.Duration {
	return time.Duration((at - c.originMs) * float64(time.Millisecond))
}

// wallTime converts at from the decision module's time. It is the inverse of moduleTime.
func (c *Core) wallTime(at float64) time.Time {
	return c.origin.Add(c.sinceOrigin(at))
}

// Counters returns the counters of this core.
func (c *Core) Counters() *Counters { return c.counters }

// OpenRequests returns the number of requests without a final answer. It returns 0 once the actor has ended.
func (c *Core) OpenRequests() int {
	open, _ := query(c, func() int {
		open := 0
		for _, state := range c.requests {
			if !state.answered {
				open++
			}
		}
		return open
	})
	return open
}

// TableSizes holds the number of requests in the core's table, of requests in the decision module, and of guard timers.
type TableSizes struct{ Requests, Module, Guards int }

// TableSizes returns the current sizes. All are 0 once every request has ended.
func (c *Core) TableSizes() TableSizes {
	sizes, _ := query(c, func() TableSizes {
		sizes := TableSizes{Requests: len(c.requests), Module: c.scheduler.RequestCount()}
		for _, timer := range c.timers {
			if timer.guarded != nil {
				sizes.Guards++
			}
		}
		return sizes
	})
	return sizes
}
