package watchtimer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// timerScheme is the Timer or another scheme that it is compared with.
type timerScheme interface {
	Step(now time.Duration, e Event) []Action
	NextTimer() time.Duration
}

// watch is a call as the list service sees it.
type watch struct {
	openedAt          time.Duration
	addressGeneration int
	silent            bool // it sends no more messages
	lastMessage       time.Duration
}

// agentScenario holds the faults of a local agent that serves the list, in virtual time.
type agentScenario struct {
	silentFrom      time.Duration // when all open watches fall silent, or never
	down, up        time.Duration // the agent sends nothing from down to up
	answersPending  bool          // calls made while the agent was down are answered when it is up again
	addressChangeAt time.Duration // when the address changes; the old one is served for another 4 s
	resetAt         time.Duration // when all watches are reset
	latency         time.Duration
}

// step is the resolution of the simulated time.
const step = 5 * time.Millisecond

// notificationDeadline returns when a drain that began at drainAt must be received, without the grace period.
func (s *agentScenario) notificationDeadline(drainAt time.Duration) time.Duration {
	at := drainAt
	if drainAt >= s.down && drainAt < s.up {
		at = s.up
	}
	if s.silentFrom != never && drainAt >= s.silentFrom && drainAt < s.silentFrom+StalenessBound {
		// A watch that fell silent misses the drain. A call that was opened afterwards receives it at once.
		at = max(at, s.silentFrom+StalenessBound)
	}
	return at
}

// scenarioResult is the result of a run: when the scheduler received the list of each time step.
type scenarioResult struct {
	receivedAt []time.Duration // by time step: when the first message with the list of that step or a later one arrived
	opens      int
	maxOpen    int // maximum number of calls open at the same time
}

// scenarioRun is the run of a timer through a scenario.
type scenarioRun struct {
	*agentScenario
	*scenarioResult
	timer          timerScheme
	now            time.Duration
	calls          map[int]*watch
	addressChanges int
	lastReceived   int // time step whose list the scheduler has
}

// run runs a timer through the scenario and records for each time step when a change made in it is received.
func (s *agentScenario) run(timer timerScheme, length time.Duration) *scenarioResult {
	r := &scenarioRun{agentScenario: s, scenarioResult: &scenarioResult{receivedAt: make([]time.Duration, int(length/step)+1)},
		timer: timer, calls: map[int]*watch{}, lastReceived: -1}
	r.apply(Event{Kind: Started})
	for r.now = 0; r.now < length; r.now += step {
		r.applyFaults()
		for _, id := range slices.Collect(maps.Keys(r.calls)) {
			if watch := r.calls[id]; watch != nil && r.sends(watch) {
				r.send(id, watch)
			}
		}
		for timer.NextTimer() <= r.now {
			r.apply(Event{Kind: TimerFired})
		}
	}
	for i := r.lastReceived + 1; i < len(r.receivedAt); i++ {
		r.receivedAt[i] = length
	}
	return r.scenarioResult
}

// apply passes an event to the timer and carries out its actions.
func (r *scenarioRun) apply(e Event) {
	for _, a := range r.timer.Step(r.now, e) {
		switch a.Kind {
		case OpenCall:
			r.opens++
			r.calls[a.Call] = &watch{openedAt: r.now, addressGeneration: r.addressChanges, lastMessage: -1}
		case CloseCall:
			delete(r.calls, a.Call)
		}
	}
	r.maxOpen = max(r.maxOpen, len(r.calls))
}

// applyFaults applies the faults that begin at the current time step.
func (r *scenarioRun) applyFaults() {
	if r.now == r.silentFrom {
		for _, w := range r.calls {
			w.silent = true
		}
	}
	if r.now == r.resetAt {
		for id := range r.calls {
			delete(r.calls, id)
			r.apply(Event{Kind: CallEnded, Call: id})
		}
	}
	if r.now == r.addressChangeAt {
		r.addressChanges++
		r.apply(Event{Kind: AddressChanged})
	}
}

// sends reports whether the agent can send on a watch now.
func (r *scenarioRun) sends(w *watch) bool {
	switch {
	case w.silent || r.now < w.openedAt+r.latency:
		return false
	case r.now >= r.down && r.now < r.up:
		return false
	case w.lastMessage < 0 && w.openedAt >= r.down && w.openedAt < r.up && !r.answersPending:
		return false // never answered
	case w.addressGeneration == 0 && r.now >= r.addressChangeAt && r.now-r.addressChangeAt >= 4*time.Second:
		w.silent = true
		return false
	}
	return true
}

// send sends on a watch. Changes are received at once, and heartbeats are sent in between.
func (r *scenarioRun) send(id int, w *watch) {
	for ; r.lastReceived < int(r.now/step); r.lastReceived++ {
		r.receivedAt[r.lastReceived+1] = r.now
	}
	if w.lastMessage < 0 || r.now-w.lastMessage >= HeartbeatInterval {
		w.lastMessage = r.now
		r.apply(Event{Kind: MessageReceived, Call: id})
	}
}

// worstDelay returns the longest delay of the first message about a drain past notificationDeadline + grace, for a drain
// every 50 ms, and the time of that drain.
func (s *agentScenario) worstDelay(result *scenarioResult, grace, length time.Duration) (worst, at time.Duration) {
	for drainAt := time.Duration(0); drainAt < length-12*time.Second; drainAt += 50 * time.Millisecond {
		if delay := result.receivedAt[int(drainAt/step)] - s.notificationDeadline(drainAt) - grace; delay > worst {
			worst, at = delay, drainAt
		}
	}
	return worst, at
}

// exponentialBackoff is a simpler scheme for comparison. A call is silent after 3 s, and the backoff is random and grows
// with the fleet, even if the list is pushed.
type exponentialBackoff struct {
	schedulers, id, factor int
	call                   int
	lastReceived, next     time.Duration
	wasAnswered            bool
	rng                    *rand.Rand
}

func (b *exponentialBackoff) NextTimer() time.Duration {
	if b.call > 0 {
		return b.lastReceived + 3*time.Second
	}
	return b.next
}

func (b *exponentialBackoff) Step(now time.Duration, e Event) (actions []Action) {
	ended := false
	switch {
	case e.Kind == MessageReceived && e.Call == b.call:
		b.lastReceived, b.wasAnswered, b.factor = now, true, 1
	case e.Kind == CallEnded && e.Call == b.call:
		ended = true
	case e.Kind == TimerFired && b.call > 0 && now >= b.lastReceived+3*time.Second:
		actions, ended = append(actions, Action{CloseCall, b.call}), true
	}
	if ended {
		maxBackoff := 15 * time.Second
		if b.wasAnswered {
			maxBackoff = 3 * time.Second
		}
		mean := min(max(200*time.Millisecond, time.Duration(b.schedulers)*time.Second/40)*time.Duration(b.factor), maxBackoff)
		b.call, b.wasAnswered, b.factor = 0, false, min(2*b.factor, 8)
		b.next = now + mean/2 + time.Duration(b.rng.Int64N(int64(mean)))
	}
	if b.call == 0 && (e.Kind == Started || e.Kind == AddressChanged || now >= b.next) {
		b.id++
		b.call, b.lastReceived = b.id, now
		actions = append(actions, Action{OpenCall, b.id})
	}
	return actions
}

// agentScenarios returns the scenarios of a local agent by name.
func agentScenarios() map[string]*agentScenario {
	faultless := func() *agentScenario {
		return &agentScenario{silentFrom: never, down: never, up: never, addressChangeAt: never, resetAt: never, latency: step}
	}
	scenarios := map[string]*agentScenario{}
	add := func(name string, modify func(*agentScenario)) {
		scenario := faultless()
		modify(scenario)
		scenarios[name] = scenario
	}
	add("silence", func(scenario *agentScenario) { scenario.silentFrom = 2100 * time.Millisecond })
	add("watches reset", func(scenario *agentScenario) { scenario.resetAt = 2 * time.Second })
	add("start", func(*agentScenario) {})
	add("start while down", func(scenario *agentScenario) { scenario.down, scenario.up = 0, 8*time.Second })
	for _, answered := range []bool{false, true} {
		add(fmt.Sprint("outage, pending calls answered: ", answered), func(scenario *agentScenario) {
			scenario.down, scenario.up, scenario.answersPending = 3*time.Second, 11*time.Second, answered
		})
	}
	add("address change", func(scenario *agentScenario) { scenario.addressChangeAt = 4 * time.Second })
	add("address change in an outage", func(scenario *agentScenario) {
		scenario.addressChangeAt, scenario.down, scenario.up = 4*time.Second, 3*time.Second, 9*time.Second
	})
	return scenarios
}

// In every scenario, with 3 and with 350 schedulers, no drain is received later than the grace period after its
// notification deadline, whenever it begins. With exponentialBackoff, drains during an outage or a silence are received too
// late.
func TestAgentDrainsAreReceivedWithinGrace(t *testing.T) {
	const length = 30 * time.Second
	baselineLate := map[string]bool{}
	for _, schedulers := range []int{3, 350} {
		for _, grace := range []time.Duration{250 * time.Millisecond, time.Second} {
			for name, scenario := range agentScenarios() {
				timer := New(Settings{Pushed: true, Schedulers: schedulers, DrainGrace: grace, Seed: 7})
				result := scenario.run(timer, length)
				if late, at := scenario.worstDelay(result, grace, length); late > 0 {
					t.Errorf("%s, %d schedulers, grace %v: a drain at %v is received %v too late", name, schedulers, grace, at, late)
				}
				if result.maxOpen > MaxOpenCalls {
					t.Errorf("%s: %d calls open, more than MaxOpenCalls", name, result.maxOpen)
				}
				for seed := range uint64(8) {
					baseline := scenario.run(&exponentialBackoff{schedulers: schedulers, factor: 1, rng: rand.New(rand.NewPCG(seed, 1))}, length)
					if late, _ := scenario.worstDelay(baseline, grace, length); late > 0 {
						baselineLate[fmt.Sprint(name, " ", schedulers)] = true
					}
				}
			}
		}
	}
	for _, want := range []string{"silence 350", "outage, pending calls answered: false 350", "start while down 350", "watches reset 350"} {
		if !baselineLate[want] {
			t.Errorf("%s: drains are in time with exponentialBackoff too, so the scenario does not test the timer", want)
		}
	}
}
