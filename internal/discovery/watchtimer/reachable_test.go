package watchtimer

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// response is what a list's service does with the calls that come.
type response int

const (
	answers  response = iota
	rejects           // at once, by word
	fails             // the connection is reset
	drops             // no connection comes up: the call ends after connectWait
	silences          // the call is never answered
)

const connectWait = time.Second

// outage is a span of time in which a service does not answer.
type outage struct {
	from, to time.Duration
	response response
}

// serviceFaults is what happens to a list's service, in virtual time.
type serviceFaults struct {
	outages    []outage
	silentFrom time.Duration // open watches fall silent for good; 0: not
	resets     time.Duration // open watches are reset; 0: not
	latency    time.Duration // the time of one answer
	startAt    time.Duration // of the schedulers; before it nothing is asked
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

// silencedAt is when a watch that stood at d had fallen silent; false: none had.
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

// staleAfter is when a change at d must be known to a scheduler. Pushed: as soon as the agent may be asked. Pulled:
// StalenessBound after the service had the change and could be reached; a call that came to nothing shows that it
// could not. What a mute watch missed must be known StalenessBound after it fell silent, if no call was lost meanwhile.
func (f *fleet) staleAfter(d time.Duration, s *scheduler, pushed bool, wait time.Duration) time.Duration {
	at := f.reachable(max(d, f.startAt))
	muted, mute := f.silencedAt(d)
	for _, h := range s.received {
		mute = mute && !(h.from > muted && h.from <= d) // another watch stood since
	}
	if pushed {
		if mute {
			return max(at, muted+StalenessBound)
		}
		return at
	}
	lost := false
	for _, o := range f.outages {
		for _, c := range s.opened {
			if c < o.from || c >= o.to || c >= at+StalenessBound {
				continue
			}
			lost = lost || c >= at || mute && c >= muted
			if c >= at {
				at = o.to
			}
		}
	}
	if mute && !lost {
		return muted + max(StalenessBound, wait+longPollSlack)
	}
	return at + StalenessBound
}

// interval is a time in which a scheduler heard each change as it came.
type interval struct{ from, to time.Duration }

// scheduler is one clock and the calls that it has out.
type scheduler struct {
	timer             *Timer
	calls             map[int]bool
	watches           map[int]int // of the calls that stand: the place in heard
	received          []interval
	opened            []time.Duration
	wake              time.Duration
	wakesAtOneInstant int // in a row at one instant
}

// event is something that is due.
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

// endInterval ends what a scheduler hears of a watch.
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

// step gives a clock an event and does what it says.
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
			panic("the wake stands still")
		}
		f.schedule(at, func() {
			if s.wake == at {
				s.wake = never
				f.step(s, Event{Kind: TimerFired})
			}
		})
	}
}

// call has the service take one.
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

// answerCall has a call answered, and stand with its beats.
func (f *fleet) answerCall(s *scheduler, id int) {
	if !s.calls[id] {
		return
	}
	if r, until := f.response(f.now); r != answers { // worked on as the outage began
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

// receivedAt is when a scheduler hears of a change at d.
func (s *scheduler) receivedAt(d time.Duration) time.Duration {
	for _, h := range s.received {
		if h.to > d {
			return max(h.from, d)
		}
	}
	return never
}

// latestDelay is by how much the worst of drains begun at each 50 ms is heard too late, and which that is.
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

// faultScenarios are all that is played.
func faultScenarios() map[string]serviceFaults {
	const ms = time.Millisecond
	all := map[string]serviceFaults{}
	for name, r := range map[string]response{"refused": rejects, "failed": fails, "no connection": drops, "silence": silences} {
		for _, length := range []time.Duration{50 * ms, 700 * ms, 2900 * ms, 4 * time.Second, 8 * time.Second, 25 * time.Second} {
			from := 4100 * ms
			all[fmt.Sprint(name, " for ", length)] = serviceFaults{outages: []outage{{from, from + length, r}}}
			all[fmt.Sprint(name, " at the start for ", length)] = serviceFaults{outages: []outage{{0, length, r}}}
		}
		all["a mute watch, its replacement "+name] = serviceFaults{silentFrom: 4100 * ms, outages: []outage{{6 * time.Second, 9600 * ms, r}}}
		all["a reset, then "+name] = serviceFaults{resets: 4100 * ms, outages: []outage{{4400 * ms, 8 * time.Second, r}}}
		all["refused, then "+name] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, rejects}, {7 * time.Second, 11 * time.Second, r}}}
		all[name+" twice"] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, r}, {7100 * ms, 12 * time.Second, r}}}
	}
	all["mute watches"] = serviceFaults{silentFrom: 4100 * ms}
	all["reset watches"] = serviceFaults{resets: 4100 * ms}
	return all
}

// Whatever became of calls (refused, failed, given up, never answered), no drain is heard later than told +
// grace, at any number of schedulers: pushed, from the moment on at which the agent answers again; asked,
// StalenessBound after the service could be reached.
func TestDrainsAreReceivedWhenReachable(t *testing.T) {
	const grace, end = 250 * time.Millisecond, 60 * time.Second
	for name, w := range faultScenarios() {
		for _, set := range []Settings{{Pushed: true, DrainGrace: grace}, {DrainGrace: grace}, {DrainGrace: grace, LongPollWait: 5 * time.Second}} {
			for _, schedulers := range []int{1, 3, 30, 350} {
				if set.LongPollWait > 0 && schedulers > 30 {
					continue
				}
				w.latency = 5 * time.Millisecond
				if !set.Pushed {
					w.latency = 200 * time.Millisecond
				}
				f := &fleet{serviceFaults: w}
				f.run(schedulers, set, end)
				if late, at := f.latestDelay(set, end-20*time.Second); late > 0 {
					t.Errorf("%s, pushed %v, wait %v, %d schedulers: a drain at %v is heard of %v too late", name, set.Pushed, set.LongPollWait, schedulers, at, late)
				}
				for _, s := range f.schedulers {
					if len(s.calls) > MaxOpenCalls {
						t.Errorf("%s: %d calls open", name, len(s.calls))
					}
				}
			}
		}
	}
}

// An agent that answers later than newer calls need the places is heard all the same.
func TestLateAgentIsReceived(t *testing.T) {
	for _, answer := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond} {
		f := &fleet{serviceFaults: serviceFaults{latency: answer, outages: []outage{{0, 8 * time.Second, silences}}}}
		f.run(1, Settings{Pushed: true, DrainGrace: 250 * time.Millisecond}, 30*time.Second)
		if at := f.schedulers[0].receivedAt(0); at > 8*time.Second+StalenessBound {
			t.Errorf("an agent that answers after %v is heard %v after its return", answer, at-8*time.Second)
		}
	}
}

// fleetCapacity is what the service of a fleet is taken to bear, in calls a second of each scheduler: that of
// the measurements of docs/design/coldstart.md.
const fleetCapacity = 0.4

// In the steady part of an outage a fleet asks half as often as its service can answer, in no second more
// often than it can, and spread so evenly; and once the service answers, all have the list within StalenessBound.
func TestLoadStaysWithinCapacity(t *testing.T) {
	for name, r := range map[string]response{"refused": rejects, "failed": fails, "silence": silences, "no connection": drops} {
		for _, schedulers := range []int{30, 80, 160, 350, 1000} {
			const from, to, settled = 4 * time.Second, 44 * time.Second, 20 * time.Second
			capacity := max(fleetCapacity*float64(schedulers), FleetCallsPerSecond)
			f := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond, outages: []outage{{from, to, r}}},
				queue: discovery.NewQueue(time.Duration(float64(time.Second)/capacity), 2*time.Second, 64)}
			f.run(schedulers, Settings{}, 60*time.Second)
			steady, worst, seconds := 0, 0, 0
			for s := (from + settled) / time.Second; s < to/time.Second; s++ {
				steady, worst, seconds = steady+f.calls[s], max(worst, f.calls[s]), seconds+1
			}
			mean := float64(steady) / float64(seconds)
			if mean > 0.65*capacity || float64(worst) > capacity {
				t.Errorf("%s, %d schedulers: %.0f calls a second, %d in the worst, of %.0f", name, schedulers, mean, worst, capacity)
			}
			last := time.Duration(0)
			for _, s := range f.schedulers {
				last = max(last, s.receivedAt(to)-to)
			}
			if last > StalenessBound {
				t.Errorf("%s, %d schedulers: the last has the list %v after the return", name, schedulers, last)
			}
			t.Logf("%s, %d schedulers: %.0f calls a second, %d in the worst, of %.0f; all have the list %v after the return, %d refused",
				name, schedulers, mean, worst, capacity, last, f.rejected)
		}
	}
}

// A fleet that restarts at one instant gets its lists from a service that cannot answer all at once.
func TestRestartedFleetIsServed(t *testing.T) {
	for _, x := range []struct {
		hosts, restarted int
		capacity         float64
		within           time.Duration
	}{{80, 56, 14, 11 * time.Second}, {80, 56, 32, 6 * time.Second}, {350, 245, 140, 6 * time.Second}, {350, 350, 140, 11 * time.Second}} {
		f := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond},
			queue: discovery.NewQueue(time.Duration(float64(time.Second)/x.capacity), 2*time.Second, 64)}
		f.run(x.restarted, Settings{Schedulers: x.hosts}, 40*time.Second)
		served := 0
		last := time.Duration(0)
		for _, s := range f.schedulers {
			if at := s.receivedAt(0); at <= x.within {
				served++
			} else {
				last = max(last, at)
			}
		}
		t.Logf("%d of %d at %.0f calls a second: %d served within %v, the last at %v, %d refused", x.restarted, x.hosts, x.capacity, served, x.within, last, f.rejected)
		if served < x.restarted*9/10 {
			t.Errorf("%d of %d at %.0f calls a second: only %d are served within %v", x.restarted, x.hosts, x.capacity, served, x.within)
		}
	}
}
