package watchtimer

import (
	"container/heap"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// response is how a fake list service responds to calls.
type response int

const (
	answers  response = iota
	rejects           // the call ends at once
	fails             // the connection is reset
	drops             // no connection is established: the call ends after connectWait
	silences          // the call is never answered
)

const connectWait = time.Second

// outage is an interval in which the service does not answer.
type outage struct {
	from, to time.Duration
	response response
}

// serviceFaults are the faults of a fake list service, in virtual time.
type serviceFaults struct {
	outages    []outage
	silentFrom time.Duration // when the open watches fall silent for good; 0 if they do not
	resetAt    time.Duration // when the open watches are reset; 0 if they are not
	latency    time.Duration // time from a call to its answer
	startAt    time.Duration // when the schedulers start
}

func (f *serviceFaults) response(now time.Duration) (response, time.Duration) {
	for _, o := range f.outages {
		if now >= o.from && now < o.to {
			return o.response, o.to
		}
	}
	return answers, now
}

// reachableFrom returns the first time at or after at when a call is answered.
func (f *serviceFaults) reachableFrom(at time.Duration) time.Duration {
	for {
		r, until := f.response(at)
		if r == answers {
			return at
		}
		at = until
	}
}

// lastSilenceBefore returns when the watches that were open shortly before at fell silent. It returns false if they did not
// fall silent within the StalenessBound before at.
func (f *serviceFaults) lastSilenceBefore(at time.Duration) (time.Duration, bool) {
	candidates := []time.Duration{f.silentFrom}
	for _, o := range f.outages {
		if o.response == silences {
			candidates = append(candidates, o.from)
		}
	}
	for _, silentFrom := range candidates {
		if silentFrom > 0 && at >= silentFrom && at < silentFrom+StalenessBound {
			return silentFrom, true
		}
	}
	return 0, false
}

// notificationDeadline returns when a scheduler must have received a drain that began at drainAt.
//   - Pushed: as soon as the agent can be reached.
//   - Pulled: StalenessBound after the service had the change and could be reached. A failed call shows that it could not.
//   - A change that a silent watch missed: StalenessBound after the watch fell silent, if no call was lost meanwhile.
func (f *fleet) notificationDeadline(drainAt time.Duration, s *scheduler, pushed bool, wait time.Duration) time.Duration {
	at := f.reachableFrom(max(drainAt, f.startAt))
	silencedAt, silenced := f.lastSilenceBefore(drainAt)
	for _, interval := range s.received {
		silenced = silenced && !(interval.from > silencedAt && interval.from <= drainAt) // another watch was opened since
	}
	if pushed {
		if silenced {
			return max(at, silencedAt+StalenessBound)
		}
		return at
	}
	lost := false
	for _, outage := range f.outages {
		for _, openedAt := range s.opened {
			if openedAt < outage.from || openedAt >= outage.to || openedAt >= at+StalenessBound {
				continue
			}
			lost = lost || openedAt >= at || silenced && openedAt >= silencedAt
			if openedAt >= at {
				at = outage.to
			}
		}
	}
	if silenced && !lost {
		return silencedAt + max(StalenessBound, wait+longPollSlack)
	}
	return at + StalenessBound
}

// interval is a period in which a scheduler received each change at once.
type interval struct{ from, to time.Duration }

// scheduler is a timer and its open calls.
type scheduler struct {
	timer             *Timer
	calls             map[int]bool
	watches           map[int]int // index in received of each answered call
	received          []interval
	opened            []time.Duration
	wake              time.Duration
	wakesAtOneInstant int // consecutive timer events at the same instant
}

// event is a function that is called at a certain time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet is a number of schedulers and their list service.
type fleet struct {
	serviceFaults
	now           time.Duration
	pending       events
	scheduled     int
	queue         *discovery.Queue // models the service's capacity; nil if it is unlimited
	schedulers    []*scheduler
	callsBySecond map[time.Duration]int // number of calls in each second
	rejected      int                   // calls rejected for lack of capacity
}

func (f *fleet) schedule(at time.Duration, do func()) {
	f.scheduled++
	heap.Push(&f.pending, event{at, f.scheduled, do})
}

// run simulates the fleet until the given end.
func (f *fleet) run(schedulers int, settings Settings, end time.Duration) {
	f.callsBySecond = map[time.Duration]int{}
	for i := range schedulers {
		settings.Schedulers, settings.Seed = max(schedulers, settings.Schedulers), uint64(i+1)
		s := &scheduler{timer: New(settings), calls: map[int]bool{}, watches: map[int]int{}, wake: never}
		f.schedulers = append(f.schedulers, s)
		f.schedule(f.startAt, func() { f.step(s, Event{Kind: Started}) })
	}
	if f.silentFrom > 0 {
		f.schedule(f.silentFrom, f.silenceAll)
	}
	if f.resetAt > 0 {
		f.schedule(f.resetAt, f.resetAll)
	}
	for _, o := range f.outages {
		if o.response == silences {
			f.schedule(o.from, f.silenceAll)
		} else {
			f.schedule(o.from, f.resetAll)
		}
	}
	for len(f.pending) > 0 && f.pending[0].at <= end {
		e := heap.Pop(&f.pending).(event)
		f.now = e.at
		e.do()
	}
}

func (f *fleet) silenceAll() {
	for _, s := range f.schedulers {
		for id := range s.calls {
			f.endInterval(s, id)
		}
	}
}

func (f *fleet) resetAll() {
	for _, s := range f.schedulers {
		for id := range s.timer.lastCallID + 1 {
			if _, open := s.watches[id]; open {
				f.endCall(s, id)
			}
		}
	}
}

// endInterval ends the interval in which a scheduler receives changes through a watch.
func (f *fleet) endInterval(s *scheduler, id int) {
	if i, ok := s.watches[id]; ok && s.received[i].to == never {
		s.received[i].to = f.now
	}
}

// endCall ends a call if it is open.
func (f *fleet) endCall(s *scheduler, id int) {
	if !s.calls[id] {
		return
	}
	f.endInterval(s, id)
	delete(s.calls, id)
	delete(s.watches, id)
	f.step(s, Event{Kind: CallEnded, Call: id})
}

// step passes an event to a scheduler's timer and carries out the actions.
func (f *fleet) step(s *scheduler, e Event) {
	for _, a := range s.timer.Step(f.now, e) {
		switch a.Kind {
		case OpenCall:
			s.calls[a.Call] = true
			s.opened = append(s.opened, f.now)
			f.callsBySecond[f.now/time.Second]++
			f.call(s, a.Call)
		case CloseCall:
			f.endInterval(s, a.Call)
			delete(s.calls, a.Call)
			delete(s.watches, a.Call)
		}
	}
	if at := s.timer.NextTimer(); at != s.wake && at != never {
		s.wake = at
		if s.wakesAtOneInstant++; at > f.now {
			s.wakesAtOneInstant = 0
		}
		if s.wakesAtOneInstant > 2*MaxOpenCalls {
			panic("the timer fires repeatedly at the same instant")
		}
		f.schedule(at, func() {
			if s.wake == at {
				s.wake = never
				f.step(s, Event{Kind: TimerFired})
			}
		})
	}
}

// call handles a call at the service.
func (f *fleet) call(s *scheduler, id int) {
	switch r, _ := f.response(f.now); r {
	case rejects, fails:
		f.schedule(f.now+f.latency, func() { f.endCall(s, id) })
	case drops:
		f.schedule(f.now+connectWait, func() { f.endCall(s, id) })
	case answers:
		at, outcome := f.now, discovery.Served
		if f.queue != nil {
			at, outcome = f.queue.Call(f.now)
		}
		f.schedule(at+f.latency, func() {
			if outcome != discovery.Served {
				f.rejected++
				f.endCall(s, id)
				return
			}
			f.answerCall(s, id)
		})
	}
}

// answerCall answers a call, which then receives heartbeats.
func (f *fleet) answerCall(s *scheduler, id int) {
	if !s.calls[id] {
		return
	}
	if r, until := f.response(f.now); r != answers { // an outage began before the answer was sent
		if r != silences {
			f.schedule(until, func() { f.endCall(s, id) })
		}
		return
	}
	s.watches[id] = len(s.received)
	s.received = append(s.received, interval{f.now, never})
	f.heartbeat(s, id)
}

func (f *fleet) heartbeat(s *scheduler, id int) {
	i, open := s.watches[id]
	if !open || s.received[i].to != never {
		return
	}
	f.step(s, Event{Kind: MessageReceived, Call: id})
	f.schedule(f.now+HeartbeatInterval, func() { f.heartbeat(s, id) })
}

// receivedAt returns when the scheduler receives a change that is made at d.
func (s *scheduler) receivedAt(changedAt time.Duration) time.Duration {
	for _, interval := range s.received {
		if interval.to > changedAt {
			return max(interval.from, changedAt)
		}
	}
	return never
}

// worstDelay returns the longest delay past the notification deadline and the grace period, for a drain every 50 ms, and the
// time of that drain.
func (f *fleet) worstDelay(settings Settings, until time.Duration) (worst, at time.Duration) {
	for _, s := range f.schedulers {
		for drainAt := time.Duration(0); drainAt < until; drainAt += 50 * time.Millisecond {
			if delay := s.receivedAt(drainAt) - f.notificationDeadline(drainAt, s, settings.Pushed, settings.LongPollWait) - settings.DrainGrace; delay > worst {
				worst, at = delay, drainAt
			}
		}
	}
	return worst, at
}
