package main

import (
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/limitshare"
	"wheatsaddle/internal/limitshare/ledger"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/transport"
)

const (
	sharingInterval      = 10 * time.Millisecond  // between looks at the other processes' claims
	aloneInterval        = 25 * time.Millisecond  // between looks for another process
	releaseInterval      = 50 * time.Millisecond  // at least, between collections that return memory to the system
	releaseDutyDivisor   = 20                     // they take at most 1/releaseDutyDivisor of the time
	filesInterval        = 500 * time.Millisecond // between sums of the files in $TMPDIR
	ledgerRetryInterval  = time.Second            // after the ledger could not be opened
	maxReplacement       = 10 * time.Second       // from the start of a process to the end of the one that it replaces
	firstUpdateTries     = 20
	claimSlack           = 1_000_000 // bytes by which a claim that cannot be lowered yet exceeds what is resident
	minDrainingNodeConns = 4         // for the requests that a draining process has accepted
	heldGrowthDivisor    = 8         // requests beside what is held have this part of it

	// sharedBaseSockets are the sockets of a process beside another one without any client: the listeners, discovery, the admin
	// endpoint, and the connections that are accepted only to be rejected.
	sharedBaseSockets = 20
)

// processLimits applies the platform's limits on memory and sockets to this process. They hold for all processes of the scheduler
// together: while another process shares the clients' socket, each has what limitshare decides, by the claims that are recorded in
// the ledger. Without a passed socket there is no other process, and no ledger.
//
// A claim is raised before more is used, and lowered once less is.
type processLimits struct {
	account     *memory.Account
	mappedFiles int64
	path        string // of the ledger; "": there is no other process
	log         logrus.FieldLogger
	changed     chan struct{} // the limits or the phase have changed
	done        chan struct{}
	stopOnce    sync.Once

	mu       sync.Mutex // guards the fields below
	limit    limitshare.Amount
	loadedAt time.Duration
	whole    wholeConns
	phase    limitshare.Phase
	front    *httpfront.Server // nil before watch
	dialer   *httpfront.Dialer

	// Only step uses the fields below.
	ledger        *ledger.Ledger // nil: not open
	ledgerRetryAt time.Time
	updatedAt     time.Time // of the last successful update of the ledger
	failed        bool      // the ledger's failure was logged
	lowering      bool      // more is resident than the process may hold
	own           limitshare.Amount
	applied       limitshare.Amount
	shared        bool // another process runs
	nextRelease   time.Time
	filesAt       time.Time
	fileBytes     int64

	processes atomic.Int64 // for the metrics
	allowed   atomic.Int64
	sockets   atomic.Int64
}

// wholeConns are the numbers of connections of a process that has the whole limit, and the sockets of its iSCSI front.
type wholeConns struct{ clients, nodes, iscsi int }

// newProcessLimits applies the limits of a configuration for the first time. The process shares them with those that have the same
// passed socket.
func newProcessLimits(conf *config.Config, log logrus.FieldLogger) *processLimits {
	l := &processLimits{
		account:     memory.NewAccount(0),
		mappedFiles: mappedFiles(),
		log:         log,
		changed:     make(chan struct{}, 1),
		done:        make(chan struct{}),
	}
	if conf.InheritedSocket != "" {
		if address, err := transport.InheritedAddr(conf.InheritedSocket); err == nil { // ListenInherited reports the error
			l.path = ledger.Path(os.TempDir(), address.String())
		}
	}
	l.setLimit(conf)
	l.shared = true
	l.apply(l.inputs(), limitshare.Amount{Memory: memory.MinShare, Sockets: sharedBaseSockets}) // until the ledger was read
	for range firstUpdateTries {                                                                // it may be in use
		if l.step() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return l
}

// setLimit sets the limits of a configuration, without applying them.
func (l *processLimits) setLimit(conf *config.Config) {
	setThreads(conf.Cores)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limitshare.Amount{
		Memory:  memory.AnonymousBytes(conf.MemoryMB, l.mappedFiles),
		Sockets: int64(descriptorLimit(conf.Sockets)),
	}
	l.loadedAt = ledger.Now()
}

// configure applies the limits of a configuration that was read again. A nil processLimits ignores it.
func (l *processLimits) configure(conf *config.Config) {
	if l == nil {
		return
	}
	l.setLimit(conf)
	l.wake()
}

// setWholeConns sets how the connections are divided while the process has the whole limit.
func (l *processLimits) setWholeConns(clients, nodes, iscsi int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = wholeConns{clients, nodes, iscsi}
}

// setPhase sets the phase of the process in a replacement. A nil processLimits ignores it.
func (l *processLimits) setPhase(phase limitshare.Phase) {
	if l == nil {
		return
	}
	l.mu.Lock()
	l.phase = phase
	l.mu.Unlock()
	l.wake()
}

// wake makes the goroutine look at once.
func (l *processLimits) wake() {
	select {
	case l.changed <- struct{}{}:
	default: // it will look anyway
	}
}

// watch starts the goroutine that follows the claims of other processes.
func (l *processLimits) watch(front *httpfront.Server, dialer *httpfront.Dialer) {
	l.mu.Lock()
	l.front, l.dialer = front, dialer
	l.mu.Unlock()
	go l.loop()
}

// stop ends the goroutine. The claim ends with the process.
func (l *processLimits) stop() { l.stopOnce.Do(func() { close(l.done) }) }

func (l *processLimits) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-l.changed:
		case <-timer.C:
		}
		l.step()
		switch {
		case l.shared || l.lowering:
			timer.Reset(sharingInterval)
		case l.path != "":
			timer.Reset(aloneInterval)
		default: // nothing changes by itself
			timer.Stop()
		}
	}
}

// limitInputs are what one step works with.
type limitInputs struct {
	limit    limitshare.Amount
	loadedAt time.Duration
	whole    wholeConns
	phase    limitshare.Phase
	front    *httpfront.Server
	dialer   *httpfront.Dialer
}

func (l *processLimits) inputs() limitInputs {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limitInputs{l.limit, l.loadedAt, l.whole, l.phase, l.front, l.dialer}
}

// step reads the other processes' claims, and applies and records this process's next one. It returns false if the ledger was in
// use.
func (l *processLimits) step() bool {
	s := l.inputs()
	if !l.openLedger() {
		l.applyWithoutLedger(s)
		return true
	}
	var decided, raised limitshare.Amount
	updated, err := l.ledger.Update(s.limit, s.loadedAt, func(table ledger.Table) limitshare.Claim {
		decided = l.decide(s, table)
		raised = atLeast(decided, l.own) // lowered below, once less is held
		return limitshare.Claim{Amount: raised, Phase: s.phase}
	})
	if err != nil {
		l.reportFailure(err)
		l.applyWithoutLedger(s)
		return true
	}
	if !updated {
		return false
	}
	l.own, l.failed, l.updatedAt = raised, false, time.Now()
	l.apply(s, decided)
	l.lower(s, decided)
	return true
}

// applyWithoutLedger applies the whole limit, unless another process was there a short time ago: then the claim stays.
func (l *processLimits) applyWithoutLedger(s limitInputs) {
	if l.shared && time.Since(l.updatedAt) < maxReplacement {
		l.apply(s, l.own)
		return
	}
	l.shared = false
	l.own = s.limit
	l.apply(s, s.limit)
	l.releaseUntil(s.limit.Memory)
}

// atLeast returns the larger amount of each resource.
func atLeast(a, b limitshare.Amount) limitshare.Amount {
	return limitshare.Amount{Memory: max(a.Memory, b.Memory), Sockets: max(a.Sockets, b.Sockets)}
}

// decide returns the next claim beside those of a table.
func (l *processLimits) decide(s limitInputs, table ledger.Table) limitshare.Amount {
	l.shared = len(table.Others) > 0
	limit := table.Limit
	if l.shared {
		limit.Memory -= l.sharedFileBytes()
	}
	decided := limitshare.Decide(limitshare.State{
		Limit:  limit,
		Base:   limitshare.Amount{Memory: memory.MinShare, Sockets: int64(sharedBaseSockets + s.whole.iscsi)},
		Own:    limitshare.Claim{Amount: l.own, Phase: s.phase},
		Held:   l.needed(s),
		Others: table.Others,
	})
	l.logProcesses(s.phase, len(table.Others), decided)
	return decided
}

// logProcesses logs a changed number of processes, and what this one may hold from now on.
func (l *processLimits) logProcesses(phase limitshare.Phase, others int, decided limitshare.Amount) {
	if int64(others) == l.processes.Swap(int64(others)) {
		return
	}
	l.log.WithFields(logrus.Fields{"processes": others + 1, "phase": phase.String(), "memory_bytes": decided.Memory, "sockets": decided.Sockets}).
		Info("limits shared between the processes of the scheduler")
}

// needed returns what the process needs for what it holds, and for requests beside it: where bodies fill the account, small requests
// find room only above them.
func (l *processLimits) needed(s limitInputs) limitshare.Amount {
	used := l.account.Used()
	needed := limitshare.Amount{Memory: memory.BytesFor(used + used/heldGrowthDivisor), Sockets: int64(sharedBaseSockets + s.whole.iscsi)}
	if s.front != nil {
		needed.Sockets += int64(s.front.OpenConns() + max(s.dialer.OpenConns(), minDrainingNodeConns))
	}
	return needed
}

// apply applies an amount to the account, the collector and the connections.
func (l *processLimits) apply(s limitInputs, amount limitshare.Amount) {
	l.allowed.Store(amount.Memory)
	l.sockets.Store(amount.Sockets)
	l.applyConns(s, int(amount.Sockets))
	if amount.Memory == l.applied.Memory {
		return
	}
	l.applied = amount
	budget := memory.NewSharedBudget(amount.Memory)
	if !l.shared {
		budget = memory.NewBudgetOf(amount.Memory)
	}
	l.account.Resize(budget.Account)
	debug.SetMemoryLimit(budget.CollectorLimit)
}

// applyConns divides a number of sockets between clients and nodes.
func (l *processLimits) applyConns(s limitInputs, sockets int) {
	if s.front == nil {
		return
	}
	clients, nodes := s.whole.clients, s.whole.nodes
	if l.shared {
		conns := max(sockets-sharedBaseSockets-s.whole.iscsi, 2)
		clients = min(clientConns(conns, sockets), clients)
		nodes = min(max(conns-clients, 1), nodes)
	}
	if l.shared && s.phase == limitshare.Draining { // its clients' connections only become fewer
		nodes = min(max(sockets-sharedBaseSockets-s.whole.iscsi-s.front.OpenConns(), minDrainingNodeConns), s.whole.nodes)
	}
	s.front.SetMaxConns(clients)
	s.dialer.SetMaxConns(nodes)
}

// lower lowers the claim to what was decided, or to what the process still holds if that is more.
func (l *processLimits) lower(s limitInputs, decided limitshare.Amount) {
	if l.own == decided {
		return
	}
	next := decided
	if resident := l.releaseUntil(decided.Memory); resident > decided.Memory {
		next.Memory = min(resident+claimSlack, l.own.Memory)
	}
	next.Sockets = min(max(decided.Sockets, l.needed(s).Sockets), l.own.Sockets)
	updated, err := l.ledger.Update(s.limit, s.loadedAt, func(ledger.Table) limitshare.Claim {
		return limitshare.Claim{Amount: next, Phase: s.phase}
	})
	if err == nil && updated { // else the next step tries again
		l.own = next
	}
}

// registerMetrics registers what this process may hold, and how many processes there are.
func (l *processLimits) registerMetrics(m *metrics.Registry) {
	m.Gauge(func() float64 { return float64(l.processes.Load() + 1) }, "limit_processes")
	m.Gauge(func() float64 { return float64(l.allowed.Load()) }, "limit_memory_bytes")
	m.Gauge(func() float64 { return float64(l.sockets.Load()) }, "limit_sockets")
}

// releaseUntil returns memory to the system while more than a size is resident, at intervals. It returns the resident bytes.
func (l *processLimits) releaseUntil(size int64) (resident int64) {
	resident = residentAnonymousBytes()
	if resident > size && !time.Now().Before(l.nextRelease) {
		l.releaseMemory()
		resident = residentAnonymousBytes()
	}
	l.lowering = resident > size
	return resident
}

// releaseMemory collects garbage and returns free memory to the system. The next time is later where that takes long, so that it
// leaves the processor to the requests.
func (l *processLimits) releaseMemory() {
	start := time.Now()
	debug.FreeOSMemory()
	l.nextRelease = time.Now().Add(max(releaseInterval, releaseDutyDivisor*time.Since(start)))
}
