package watchtimer

import (
	"container/heap"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// response is what a list's service does with calls.
type response int

const (
	answers  response = iota
	rejects           // the call ends at once
	fails             // the connection is reset
	drops             // no connection is established: the call ends after connectWait
	silences          // the call is never answered
)

const connectWait = time.Second

// outage is a span of time in which a service does not answer.
type outage struct {
	from, to time.Duration
	response response
}

// serviceFaults are the faults of a list's service, in virtual time.
type serviceFaults struct {
	outages    []outage
	silentFrom time.Duration // open watches fall silent for good; 0: they do not
	resets     time.Duration // open watches are reset; 0: they are not
	latency    time.Duration // the time of one answer
	startAt    time.Duration // of the schedulers
}

func (w *serviceFaults) response(now time.Duration) (response, time.Duration) {
	for _, o := range w.outages {
		if now >= o.from && now < o.to {
			return o.response, o.to
		}
	}
	return answers, now
}

// reachable is when a call that begins is answered, from d on.
func (w *serviceFaults) reachable(d time.Duration) time.Duration {
	for {
		r, until := w.response(d)
		if r == answers {
			return d
		}
		d = until
	}
}

// silencedAt is when a watch that was open at d had fallen silent; false: none had.
func (w *serviceFaults) silencedAt(d time.Duration) (time.Duration, bool) {
	at := []time.Duration{w.silentFrom}
	for _, o := range w.outages {
		if o.response == silences {
			at = append(at, o.from)
		}
	}
	for _, m := range at {
		if m > 0 && d >= m && d < m+StalenessBound {
			return m, true
		}
	}
	return 0, false
}

// staleAfter is when a change at d must be known to a scheduler. Pushed: as soon as the agent can be reached. Pulled:
// StalenessBound after the service had the change and could be reached; a call that failed shows that it
// could not. What a silent watch missed must be known StalenessBound after it fell silent, if no call was lost meanwhile.
func (f *fleet) staleAfter(d time.Duration, s *scheduler, pushed bool, wait time.Duration) time.Duration {
	at := f.reachable(max(d, f.startAt))
	silencedAt, silenced := f.silencedAt(d)
	for _, h := range s.received {
		silenced = silenced && !(h.from > silencedAt && h.from <= d) // another watch was open since
	}
	if pushed {
		if silenced {
			return max(at, silencedAt+StalenessBound)
		}
		return at
	}
	lost := false
	for _, o := range f.outages {
		for _, c := range s.opened {
			if c < o.from || c >= o.to || c >= at+StalenessBound {
				continue
			}
			lost = lost || c >= at || silenced && c >= silencedAt
			if c >= at {
				at = o.to
			}
		}
	}
	if silenced && !lost {
		return silencedAt + max(StalenessBound, wait+longPollSlack)
	}
	return at + StalenessBound
}

// interval is a time in which a scheduler received each change at once.
type interval struct{ from, to time.Duration }

// scheduler is one timer and its open calls.
type scheduler struct {
	timer             *Timer
	calls             map[int]bool
	watches           map[int]int // index in received, by answered call
	received          []interval
	opened            []time.Duration
	wake              time.Duration
	wakesAtOneInstant int // timer events in a row
}

// event is a function to run at a time.
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

// fleet is some schedulers and their list's service.
type fleet struct {
	serviceFaults
	now        time.Duration
	due        events
	orders     int
	queue      *discovery.Queue // the service's capacity; nil: calls are free
	schedulers []*scheduler
	calls      map[time.Duration]int // by the second
	rejected   int                   // for want of capacity
}

func (f *fleet) schedule(at time.Duration, do func()) {
	f.orders++
	heap.Push(&f.due, event{at, f.orders, do})
}

// run runs a fleet until the end.
func (f *fleet) run(schedulers int, set Settings, end time.Duration) {
	f.calls = map[time.Duration]int{}
	for i := range schedulers {
		set.Schedulers, set.Seed = max(schedulers, set.Schedulers), uint64(i+1)
		s := &scheduler{timer: New(set), calls: map[int]bool{}, watches: map[int]int{}, wake: never}
		f.schedulers = append(f.schedulers, s)
		f.schedule(f.startAt, func() { f.step(s, Event{Kind: Started}) })
	}
	if f.silentFrom > 0 {
		f.schedule(f.silentFrom, f.silenceAll)
	}
	if f.resets > 0 {
		f.schedule(f.resets, f.resetAll)
	}
	for _, o := range f.outages {
		if o.response == silences {
			f.schedule(o.from, f.silenceAll)
		} else {
			f.schedule(o.from, f.resetAll)
		}
	}
	for len(f.due) > 0 && f.due[0].at <= end {
		e := heap.Pop(&f.due).(event)
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

// endInterval ends the time in which a watch brings changes to a scheduler.
func (f *fleet) endInterval(s *scheduler, id int) {
	if i, ok := s.watches[id]; ok && s.received[i].to == never {
		s.received[i].to = f.now
	}
}

// endCall ends a call, if it is open.
func (f *fleet) endCall(s *scheduler, id int) {
	if !s.calls[id] {
		return
	}
	f.endInterval(s, id)
	delete(s.calls, id)
	delete(s.watches, id)
	f.step(s, Event{Kind: CallEnded, Call: id})
}

// step gives a timer an event and carries out its actions.
func (f *fleet) step(s *scheduler, e Event) {
	for _, a := range s.timer.Step(f.now, e) {
		switch a.Kind {
		case OpenCall:
			s.calls[a.Call] = true
			s.opened = append(s.opened, f.now)
			f.calls[f.now/time.Second]++
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
			panic("the timer fires again and again at one instant")
		}
		f.schedule(at, func() {
			if s.wake == at {
				s.wake = never
				f.step(s, Event{Kind: TimerFired})
			}
		})
	}
}

// call is a call at the service.
func (f *fleet) call(s *scheduler, id int) {
	switch r, _ := f.response(f.now); r {
	case rejects, fails:
		f.schedule(f.now+f.latency, func() { f.endCall(s, id) })
	case drops:
		f.schedule(f.now+connectWait, func() { f.endCall(s, id) })
	case answers:
		at, out := f.now, discovery.Served
		if f.queue != nil {
			at, out = f.queue.Call(f.now)
		}
		f.schedule(at+f.latency, func() {
			if out != discovery.Served {
				f.rejected++
				f.endCall(s, id)
				return
			}
			f.answerCall(s, id)
		})
	}
}

// answerCall answers a call, which then sends heartbeats.
func (f *fleet) answerCall(s *scheduler, id int) {
	if !s.calls[id] {
		return
	}
	if r, until := f.response(f.now); r != answers { // the outage began while the answer was made
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

// receivedAt is when a scheduler receives a change made at d.
func (s *scheduler) receivedAt(d time.Duration) time.Duration {
	for _, h := range s.received {
		if h.to > d {
			return max(h.from, d)
		}
	}
	return never
}

// latestDelay is the longest delay past the bound among drains begun at each 50 ms, and the drain's time.
func (f *fleet) latestDelay(set Settings, until time.Duration) (worst, at time.Duration) {
	for _, s := range f.schedulers {
		for d := time.Duration(0); d < until; d += 50 * time.Millisecond {
			if over := s.receivedAt(d) - f.staleAfter(d, s, set.Pushed, set.LongPollWait) - set.DrainGrace; over > worst {
				worst, at = over, d
			}
		}
	}
	return worst, at
}
