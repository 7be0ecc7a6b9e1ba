package transport

import (
	"cmp"
	"slices"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

const (
	// Times in phase fresh or idle. A listener at its capacity may evict a connection after evictableAfter, when a
	// request that was sent right after the connect has arrived. After idleEvictAfter it may evict an idle one also
	// below its capacity.
	evictableAfter = 30 * time.Millisecond
	idleEvictAfter = 100 * time.Millisecond
	evictInterval  = 50 * time.Millisecond
	// idleEvictShare is the share of the capacity above which idle connections are closed. Clients have connection
	// limits of their own, and an idle connection may keep one of them from opening another.
	idleEvictShare   = 0.4
	silentEvictAfter = 500 * time.Millisecond // a connection that sent nothing for this long is evicted before all others
	// stalledRequestAfter is the wait for the next byte of a request after which a listener at its capacity interrupts the
	// request, if it can evict no connection.
	stalledRequestAfter = time.Second
)

// candidate is a connection that may be evicted.
type candidate struct {
	conn *Conn
	rank int // the highest is evicted first
	age  time.Duration
}

// The ranks of candidates.
const (
	rankNone    = iota - 1 // may not be evicted
	rankAtLimit            // evicted only at the capacity
	rankIdle               // evicted also below the capacity, if many connections have had a request
	rankSilent             // evicted only at the capacity, and before all others
)

// rankOf returns the rank of a connection that has been in its phase for age.
func rankOf(phase int32, age time.Duration) int {
	switch {
	case phase == fresh && age >= silentEvictAfter:
		return rankSilent
	case phase == idle && age >= idleEvictAfter:
		return rankIdle
	case (phase == fresh || phase == idle) && age >= evictableAfter:
		return rankAtLimit
	}
	return rankNone
}

// evictionNeed is how many connections a listener should evict.
type evictionNeed struct {
	surplus int // idle connections beyond idleEvictShare of the capacity
	any     int // connections of any rank: one at the capacity, more after the capacity was lowered
}

// candidates returns the connections that may be evicted, and how many should be.
func (l *Listener) candidates(now time.Time) (evictable []candidate, need evictionNeed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	if len(l.open) >= l.capacity || l.noDescriptor.Load() || l.isUnderMemoryPressure() {
		need.any = max(1, len(l.open)-l.capacity-l.overflow)
	}
	requested := 0
	for _, c := range l.open {
		age := c.phaseAge(now)
		if rank := rankOf(c.phase.Load(), age); rank != rankNone {
			evictable = append(evictable, candidate{c, rank, age})
		}
		if p := c.phase.Load(); p == active || p == idle {
			requested++
		}
	}
	need.surplus = requested - int(idleEvictShare*float64(l.capacity))
	return evictable, need
}

// evictForCapacity closes the longest idle connections while more than idleEvictShare of the capacity have had a request. At
// the capacity, or without a free descriptor, it closes one more: a silent one if possible, else an idle one, else any
// evictable one. If there is none, it interrupts the request that has waited longest for its next byte.
func (l *Listener) evictForCapacity(now time.Time) {
	evictable, need := l.candidates(now)
	if need.surplus <= 0 && need.any <= 0 {
		return
	}
	slices.SortFunc(evictable, func(a, b candidate) int { return cmp.Or(b.rank-a.rank, cmp.Compare(b.age, a.age)) })
	for _, m := range evictable {
		if overShare := m.rank == rankIdle && need.surplus > 0; (overShare || need.any > 0) && m.conn.evict() {
			need.any--
			if m.rank == rankIdle {
				need.surplus--
			}
		}
	}
	if need.any > 0 {
		l.interruptLongestStalled(now)
	}
}

// interruptLongestStalled interrupts the request that has stopped arriving for the longest time, if any has for
// stalledRequestAfter. No attempt of it was sent, so the server can reject it, and its client can retry safely.
func (l *Listener) interruptLongestStalled(now time.Time) {
	if !l.answersInterrupted {
		return
	}
	if c := l.longestStalled(now); c != nil && c.interruptRead(now, stalledRequestAfter) {
		l.interruptedRequests.Add(1)
	}
}

// longestStalled returns the connection on which the server has waited longest for the rest of a request, or nil.
func (l *Listener) longestStalled(now time.Time) (longest *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sync.Reads(&l.open)
	longestWait := time.Duration(0)
	for _, c := range l.open {
		if wait := c.requestRead.waitingFor(now); wait > longestWait {
			longest, longestWait = c, wait
		}
	}
	return longest
}

// CloseIdle closes the connections that have been fresh or idle for at least minIdle and have no input to read. It returns the
// number of connections that stay open.
func (l *Listener) CloseIdle(minIdle time.Duration) int {
	now := time.Now()
	var closable []*Conn
	l.mu.Lock()
	sync.Reads(&l.open)
	for _, c := range l.open {
		if p := c.phase.Load(); (p == fresh || p == idle) && c.phaseAge(now) >= minIdle {
			closable = append(closable, c)
		}
	}
	l.mu.Unlock()
	for _, c := range closable {
		c.evict()
	}
	return l.OpenCount()
}

// evictPeriodically evicts also while no connection arrives, because a client that has reached its own connection limit opens
// none.
func (l *Listener) evictPeriodically() {
	tick := time.NewTicker(evictInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case now := <-tick.C:
			if !l.stopped.Load() {
				l.evictForCapacity(now)
			}
		}
	}
}
