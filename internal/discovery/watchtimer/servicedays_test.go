package watchtimer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// watchTimer is what is under test: the module, or what it took the place of.
type watchTimer interface {
	Step(now time.Duration, e Event) []Action
	NextTimer() time.Duration
}

// watches is one call as the list's service sees it.
type watch struct {
	openedAt          time.Duration // it was opened
	addressGeneration int
	silent            bool // fell silent: nothing comes on it any more
	lastMessage       time.Duration
}

// serviceDay is one day of a list's service, in virtual time: when open watches fall silent, when it is
// down, when the scheduler starts and when it is told of another address.
type serviceDay struct {
	silentFrom     time.Duration // all watches that are open fall silent; never: not
	down, up       time.Duration // it says nothing in between
	answersPending bool          // calls that came while it was down are answered at its return
	addressChange  time.Duration // another address counts from 4 s after it
	resets         time.Duration // all watches are reset
	latency        time.Duration
}

const step = 5 * time.Millisecond

// notificationDeadline is when a drain that begins at d must be known, before the grace.
func (s *serviceDay) notificationDeadline(d time.Duration, c *dayResult) time.Duration {
	at := d
	if d >= s.down && d < s.up {
		at = s.up // it learns nothing meanwhile
	}
	if s.silentFrom != never && d >= s.silentFrom && d < s.silentFrom+StalenessBound {
		// An open watch that fell silent misses it. One opened since has it at once, as does who has none.
		at = max(at, s.silentFrom+StalenessBound)
	}
	return at
}

// dayResult is the outcome of a day: when the state of each moment was known to the scheduler.
type dayResult struct {
	receivedAt []time.Duration // by step: the first word that carries what the service had then
	opens      int
	maxOpen    int // open at once
}

// run runs a clock through the day, and notes for each step of time when a change made then is heard.
func (s *serviceDay) run(c watchTimer, length time.Duration) *dayResult {
	p := &dayResult{receivedAt: make([]time.Duration, int(length/step)+1)}
	calls := map[int]*watch{}
	addressChanges, received := 0, -1
	do := func(now time.Duration, acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case OpenCall:
				p.opens++
				calls[a.Call] = &watch{openedAt: now, addressGeneration: addressChanges, lastMessage: -1}
			case CloseCall:
				delete(calls, a.Call)
			}
		}
		p.maxOpen = max(p.maxOpen, len(calls))
	}
	do(0, c.Step(0, Event{Kind: Started}))
	for now := time.Duration(0); now < length; now += step {
		if now == s.silentFrom {
			for _, w := range calls {
				w.silent = true
			}
		}
		if now == s.resets {
			for id := range calls {
				delete(calls, id)
				do(now, c.Step(now, Event{Kind: CallEnded, Call: id}))
			}
		}
		if now == s.addressChange {
			addressChanges++
			do(now, c.Step(now, Event{Kind: AddressChanged}))
		}
		ids := []int{}
		for id := range calls {
			ids = append(ids, id)
		}
		for _, id := range ids {
			w := calls[id]
			old := now >= s.addressChange && w != nil && w.addressGeneration == 0
			switch {
			case w == nil || w.silent || now < w.openedAt+s.latency:
				continue
			case now >= s.down && now < s.up:
				continue
			case w.lastMessage < 0 && w.openedAt >= s.down && w.openedAt < s.up && !s.answersPending:
				continue // never answered
			case old && now >= s.addressChange+4*time.Second:
				w.silent = true
				continue
			}
			// It has all that the service had a moment ago: changes come at once, else a beat.
			if received < int(now/step) {
				for i := received + 1; i <= int(now/step); i++ {
					p.receivedAt[i] = now
				}
				received = int(now / step)
			}
			if w.lastMessage < 0 || now-w.lastMessage >= HeartbeatInterval {
				w.lastMessage = now
				do(now, c.Step(now, Event{Kind: MessageReceived, Call: id}))
			}
		}
		for c.NextTimer() <= now {
			do(now, c.Step(now, Event{Kind: TimerFired}))
		}
	}
	for i := received + 1; i < len(p.receivedAt); i++ {
		p.receivedAt[i] = length
	}
	return p
}

// latestDelay is how far past notificationDeadline + grace the first message about a drain came, over drains begun at each 50 ms.
func (s *serviceDay) latestDelay(p *dayResult, grace, length time.Duration) (worst, at time.Duration) {
	for d := time.Duration(0); d < length-12*time.Second; d += 50 * time.Millisecond {
		if over := p.receivedAt[int(d/step)] - s.notificationDeadline(d, p) - grace; over > worst {
			worst, at = over, d
		}
	}
	return worst, at
}

// exponentialBackoff is the scheme this package replaced: silence after 3 s, then a wait that is drawn and grows
// with the fleet, though the agent's list counts at once.
type exponentialBackoff struct {
	schedulers, id, factor int
	call                   int
	lastReceived, next     time.Duration
	wasAnswered            bool
	rng                    *rand.Rand
}

func (g *exponentialBackoff) NextTimer() time.Duration {
	if g.call > 0 {
		return g.lastReceived + 3*time.Second
	}
	return g.next
}

func (g *exponentialBackoff) Step(now time.Duration, e Event) (acts []Action) {
	ended := false
	switch {
	case e.Kind == MessageReceived && e.Call == g.call:
		g.lastReceived, g.wasAnswered, g.factor = now, true, 1
	case e.Kind == CallEnded && e.Call == g.call:
		ended = true
	case e.Kind == TimerFired && g.call > 0 && now >= g.lastReceived+3*time.Second:
		acts, ended = append(acts, Action{CloseCall, g.call}), true
	}
	if ended {
		maxBackoff := 15 * time.Second
		if g.wasAnswered {
			maxBackoff = 3 * time.Second
		}
		mean := min(max(200*time.Millisecond, time.Duration(g.schedulers)*time.Second/40)*time.Duration(g.factor), maxBackoff)
		g.call, g.wasAnswered, g.factor = 0, false, min(2*g.factor, 8)
		g.next = now + mean/2 + time.Duration(g.rng.Int64N(int64(mean)))
	}
	if g.call == 0 && (e.Kind == Started || e.Kind == AddressChanged || now >= g.next) {
		g.id++
		g.call, g.lastReceived = g.id, now
		acts = append(acts, Action{OpenCall, g.id})
	}
	return acts
}

// serviceDays are what can happen to an agent's list.
func serviceDays() map[string]*serviceDay {
	faultless := func() *serviceDay {
		return &serviceDay{silentFrom: never, down: never, up: never, addressChange: never, resets: never, latency: step}
	}
	all := map[string]*serviceDay{}
	add := func(name string, f func(*serviceDay)) {
		s := faultless()
		f(s)
		all[name] = s
	}
	add("silence", func(s *serviceDay) { s.silentFrom = 2100 * time.Millisecond })
	add("two watches reset", func(s *serviceDay) { s.resets = 2 * time.Second })
	add("start", func(s *serviceDay) {})
	add("start while down", func(s *serviceDay) { s.down, s.up = 0, 8*time.Second })
	for _, pending := range []bool{false, true} {
		add(fmt.Sprint("outage, pending calls answered: ", pending), func(s *serviceDay) {
			s.down, s.up, s.answersPending = 3*time.Second, 11*time.Second, pending
		})
	}
	add("SIGHUP", func(s *serviceDay) { s.addressChange = 4 * time.Second })
	add("SIGHUP in an outage", func(s *serviceDay) { s.addressChange, s.down, s.up = 4*time.Second, 3*time.Second, 9*time.Second })
	return all
}

// No drain is heard of later than the rule allows, whenever it begins and whatever happens to the list,
// at 3 and at 350 hosts. With the waits before, a drain within an outage or a silence is.
func TestNoDispatchAfterNotificationAndGrace(t *testing.T) {
	const length = 30 * time.Second
	broken := map[string]bool{}
	for _, schedulers := range []int{3, 350} {
		for _, grace := range []time.Duration{250 * time.Millisecond, time.Second} {
			for name, s := range serviceDays() {
				c := New(Settings{Pushed: true, Schedulers: schedulers, DrainGrace: grace, Seed: 7})
				p := s.run(c, length)
				if late, at := s.latestDelay(p, grace, length); late > 0 {
					t.Errorf("%s, %d hosts, grace %v: a drain at %v is heard of %v too late", name, schedulers, grace, at, late)
				}
				if p.maxOpen > MaxOpenCalls {
					t.Errorf("%s: %d calls open", name, p.maxOpen)
				}
				for seed := range uint64(8) {
					old := s.run(&exponentialBackoff{schedulers: schedulers, factor: 1, rng: rand.New(rand.NewPCG(seed, 1))}, length)
					if late, _ := s.latestDelay(old, grace, length); late > 0 {
						broken[fmt.Sprint(name, " ", schedulers)] = true
					}
				}
			}
		}
	}
	for _, want := range []string{"silence 350", "outage, pending calls answered: false 350", "start while down 350", "two watches reset 350"} {
		if !broken[want] {
			t.Errorf("%s: the waits before were not late, so this day shows nothing", want)
		}
	}
}

// Whatever comes, the clock keeps its bounds: calls open, each ended or closed once, no wake that
// stands still, and where lists are pushed no time without a call on its way.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := Settings{Pushed: rapid.Bool().Draw(rt, "pushed"), Schedulers: rapid.IntRange(0, 2000).Draw(rt, "hosts"),
			StalenessBound: time.Duration(rapid.IntRange(0, 12).Draw(rt, "told")) * time.Second,
			DrainGrace:     time.Duration(rapid.IntRange(0, 2000).Draw(rt, "grace")) * time.Millisecond,
			LongPollWait:   time.Duration(rapid.SampledFrom([]int{0, 0, 5}).Draw(rt, "wait")) * time.Second, Seed: rapid.Uint64().Draw(rt, "seed")}
		c := New(set)
		now, opened, open, waking := time.Duration(0), time.Duration(0), map[int]bool{}, 0
		do := func(acts []Action) {
			for _, a := range acts {
				switch {
				case a.Kind == OpenCall && !open[a.Call]:
					open[a.Call], opened = true, now
				case a.Kind == CloseCall && open[a.Call]:
					delete(open, a.Call)
				case a.Kind != ReportDown:
					rt.Fatalf("%v of call %d, open: %v", a.Kind, a.Call, open)
				}
			}
			if len(open) > MaxOpenCalls || len(open) != len(c.calls) {
				rt.Fatalf("%d calls open, %d known", len(open), len(c.calls))
			}
		}
		pick := func() int {
			for i := range c.lastCallID + 1 {
				if open[i] && rapid.Bool().Draw(rt, "this") {
					return i
				}
			}
			return 0
		}
		do(c.Step(0, Event{Kind: Started}))
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				if id := pick(); id > 0 {
					do(c.Step(now, Event{Kind: MessageReceived, Call: id}))
				}
			case 1:
				if id := pick(); id > 0 {
					delete(open, id)
					do(c.Step(now, Event{Kind: CallEnded, Call: id}))
				}
			case 2:
				do(c.Step(now, Event{Kind: AddressChanged}))
			default:
				at := c.NextTimer()
				if at == now {
					if waking++; waking > 2*MaxOpenCalls {
						rt.Fatal("the wake stands still")
					}
				} else {
					waking = 0
				}
				now = max(now, min(at, now+time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms"))*time.Millisecond))
				do(c.Step(now, Event{Kind: TimerFired}))
			}
			here := false
			for _, k := range c.calls {
				here = here || k.live()
			}
			if set.Pushed && !here && c.nextOpen > now+c.RetryInterval() {
				rt.Fatalf("no live call, and the next only %v from now", c.nextOpen-now)
			}
			if !set.Pushed && !here && c.NextTimer() > max(opened+c.settings.StalenessBound, c.lastMessage+c.silentCallBound())-c.answerReserve() {
				rt.Fatalf("no live call, and the next only %v after the last", c.NextTimer()-opened)
			}
		}
	})
}

// Where lists are asked for, a watch that falls silent is replaced, and once more, before what it missed counts
// as told: two calls of each host in 3 s, drawn. After that each host asks at least once in StalenessBound less the
// answer reserve, whatever becomes of its calls, and a fleet keeps to FleetCallsPerSecond where that leaves it the time.
func TestPolledCallsKeepBoundAndSpread(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		for _, schedulers := range []int{4, 80, 350} {
			runSilentFleet(t, schedulers, rejected)
		}
	}
}

// runSilentFleet plays hosts of which nothing is heard again after one word; refused: the watch ends, and each call is
// refused.
func runSilentFleet(t *testing.T, schedulers int, rejected bool) {
	calls := 0
	seconds := map[int]int{}
	for i := range schedulers {
		c := New(Settings{Schedulers: schedulers, Seed: uint64(i)})
		c.Step(0, Event{Kind: Started})
		c.Step(0, Event{Kind: MessageReceived, Call: 1})
		if rejected {
			c.Step(0, Event{Kind: CallEnded, Call: 1})
		}
		opened := []time.Duration{}
		for c.NextTimer() < time.Minute { // nothing is ever heard again
			now := c.NextTimer()
			for _, a := range c.Step(now, Event{Kind: TimerFired}) {
				if a.Kind == OpenCall && rejected {
					c.Step(now, Event{Kind: CallEnded, Call: a.Call})
				}
				if a.Kind == OpenCall {
					opened = append(opened, now)
					seconds[int(now/time.Second)]++
					if now > 30*time.Second {
						calls++
					}
				}
			}
		}
		if !rejected && (len(opened) < 2 || opened[0] > StalenessBound-maxAnswerReserve || opened[1] > StalenessBound-maxRepeatReserve/2) {
			t.Fatalf("host %d of %d asked at %v: twice before %v are over", i, schedulers, opened, StalenessBound)
		}
		for i, at := range opened[1:] {
			if at-opened[i] > StalenessBound-maxAnswerReserve {
				t.Fatalf("host %d of %d asked at %v, and then only at %v", i, schedulers, opened[i], at)
			}
		}
	}
	// A call that is given up is followed by another at any time that StalenessBound leaves then.
	minInterval := StalenessBound - maxAnswerReserve - maxAnswerReserve/deadlineJitterDivisor
	maxCallsPerSecond := max(FleetCallsPerSecond, float64(schedulers)/((ResponseTimeout+minInterval)/2).Seconds())
	if float64(calls) > 30*maxCallsPerSecond {
		t.Errorf("%d hosts ask %d times in the second half minute of an outage", schedulers, calls)
	}
	for s, n := range seconds {
		if n > max(5*schedulers/4, 2*FleetCallsPerSecond) {
			t.Errorf("%d hosts ask %d times in second %d", schedulers, n, s)
		}
	}
}
