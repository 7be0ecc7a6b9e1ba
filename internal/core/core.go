// Package core runs the decision module (policy.Scheduler) in one actor goroutine. It keeps the open
// requests, their attempts and the timers, passes events to the module and executes the module's
// actions. It has no wire format: fronts submit requests, and node clients carry attempts to nodes.
//
// Invariants:
//   - Each request gets exactly one final answer, also if the module forgets it, panics or the actor ends. Only a request
//     that is cancelled may get none.
//   - An update of the list is applied before any message that waits in the mailbox.
//   - No attempt is claimed after its request was answered, its client disconnected, its deduplication window ended, or
//     the cutoff of its draining node passed, however late the actor is.
//   - A panic of the module fails the open requests and replaces the module; the process goes on.
//
// Methods of Core that are not exported run in the actor unless their comment states otherwise.
package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/deadline"
	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/policy"
)

// Options configure a Core.
type Options struct {
	Settings        policy.Settings
	Seed            int64
	NewNodeClient   func(name string, addresses []address.Addr) NodeClient // called once for each node that joins the list
	OnListRequested func()                                                 // called when the module requests the list; must not block
	Log             logrus.FieldLogger
	// OnAttemptEnded is called at the end of each attempt with the start time that its node had at the dispatch. It must
	// not block.
	OnAttemptEnded func(node string, startTime int64, class string, units, latencyMs float64, status policy.Status)
	// Excluded is the state of the exclusions that the scheduler's last process stored.
	Excluded     exclusion.State
	StartLimiter StartLimiter // limits load while the process starts; nil: no limit
}

// Core is the actor that runs the module. The fields are the actor's alone unless they say otherwise.
type Core struct {
	options Options
	mailbox chan message  // any goroutine sends
	control chan message  // any goroutine sends: list updates and operators' calls, handled before the mailbox
	stop    chan struct{} // closed by Stop
	ended   chan struct{} // closed when the actor has ended

	origin   time.Time // start of the process; constant, as is originMs
	originMs float64   // Unix milliseconds at origin

	scheduler *policy.Scheduler
	events    []policy.Event  // for the module's next step
	actions   []policy.Action // of the last step
	batch     []message       // of the current iteration
	timers    timerHeap

	requests        map[string]*requestState // by id: not answered, or with attempts outstanding
	deferred        []*requestState          // arrived in this iteration, with nodes to avoid
	rejectsArrivals bool                     // Finish was called

	clients     map[string]NodeClient // by node of the list, as are nodes, cutoffs and nodeUses
	nodes       map[string]Node       // as listed, without the exclusions
	cutoffs     map[string]*cutoff    // set while a node drains and is still used
	nodeUses    map[string]nodeUse
	listCurrent bool // the last update of the list came by a call or an open watch
	exclusions  *exclusion.Set

	pendingRestore policy.Learned // given to the module after the next step
	handedOver     bool           // another process fills the token buckets; also applies to a module that replaces this one

	counters           *Counters // any goroutine reads
	lastCountMs        float64   // when the nodes that the module avoids were last counted
	timerLag           deadline.LagGauge
	lastLateLog        time.Time // time of the last log line about a late answer
	suppressedLateLogs int       // late answers since then

	settings atomic.Pointer[Settings] // any goroutine reads
}

// New checks the settings and starts the actor.
func New(opt Options) (*Core, error) {
	mod, err := policy.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, err
	}
	book, err := exclusion.New(exclusion.Defaults)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &Core{
		options:    opt,
		scheduler:  mod,
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
		exclusions: book,
	}
	book.Load(c.moduleTime(now), opt.Excluded)
	first := newSettings(1, opt.Settings)
	c.settings.Store(first)
	c.counters = newCounters(first.names())
	go c.run()
	return c, nil
}

// moduleTime converts t to the module's time: Unix milliseconds at the start of the process plus the time
// that the monotonic clock has measured since. So a list's start times need no conversion, and a
// change of the system clock has no effect. It may be called from any goroutine.
func (c *Core) moduleTime(t time.Time) float64 {
	return c.originMs + float64(t.Sub(c.origin).Microseconds())/1000
}

// sinceOrigin is the time from the start of the process to the module's time at.
func (c *Core) sinceOrigin(at float64) time.Duration {
	return time.Duration((at - c.originMs) * float64(time.Millisecond))
}

// wallTime is the inverse of moduleTime.
func (c *Core) wallTime(at float64) time.Time {
	return c.origin.Add(c.sinceOrigin(at))
}

// Counters returns the counters of this core.
func (c *Core) Counters() *Counters { return c.counters }

// OpenRequests returns the number of requests without a final answer; 0 once the actor has ended.
func (c *Core) OpenRequests() int {
	open, _ := ask(c, func() int {
		open := 0
		for _, e := range c.requests {
			if !e.answered {
				open++
			}
		}
		return open
	})
	return open
}

// TableSizes counts the entries for requests: in the core's table, in the module's, and guard timers.
type TableSizes struct{ Requests, Module, Guards int }

// TableSizes returns the present sizes: all are 0 once every request has ended and its guard timer has fired.
func (c *Core) TableSizes() TableSizes {
	sizes, _ := ask(c, func() TableSizes {
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
