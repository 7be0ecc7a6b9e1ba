package node

import (
	"math"
	"time"
)

// SlowStart describes a node that has just started: its execution times are longer, and it crashes when it
// receives more than its overload limit within Window.
type SlowStart struct {
	InitialSpeed float64       // initial speed as a fraction of a warmed-up node's
	Duration     time.Duration // until warmed up; the speed grows linearly
	InitialUnits float64       // units expected within Window at the start; they grow with the speed and give the overload limit
	MeanUnits    float64       // units of an average request
	Window       time.Duration // in which the load is summed
	RestartDelay time.Duration // a crashed node restarts, in slow start again, after this delay
}

// speed is the speed at an age, as a fraction of a warmed-up node's.
func (s *SlowStart) speed(age time.Duration) float64 {
	return min(1, s.InitialSpeed+(1-s.InitialSpeed)*age.Seconds()/s.Duration.Seconds())
}

// overloadLimit is the number of average requests tolerated within Window: N + 3 sqrt(N) + 3.
func (s *SlowStart) overloadLimit(age time.Duration) float64 {
	n := s.InitialUnits / s.MeanUnits * s.speed(age) / s.InitialSpeed
	return n + 3*math.Sqrt(n) + 3
}

// slowStartState is a node's slow start state, under n.mu.
type slowStartState struct {
	since    time.Time  // start of the slow start; zero: warmed up, or crashed and not restarted yet
	requests []workItem // within Window
	sum      float64    // work of requests
	peakLoad float64    // highest load so far as a fraction of the overload limit
	crashes  int
}

type workItem struct {
	at   time.Time
	work float64 // in average requests
}

// Event is something that Options.OnEvent is notified of.
type Event int

// The events.
const (
	Connected       Event = iota // a connection was accepted
	RequestReceived              // a complete request was received
	Crashed                      // the node crashed because of overload
	Restarted                    // the node restarted in slow start
)

// BeginSlowStart puts the node into slow start from now on.
func (n *Node) BeginSlowStart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowStart = slowStartState{since: time.Now(), peakLoad: n.slowStart.peakLoad, crashes: n.slowStart.crashes}
}

// Crashes returns how often the node crashed and the highest load so far as a fraction of the overload limit.
func (n *Node) Crashes() (times int, peakLoad float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slowStart.crashes, n.slowStart.peakLoad
}

// slowStartAge returns the time since the slow start began and whether it is still under way. The caller holds n.mu.
func (n *Node) slowStartAge(now time.Time) (time.Duration, bool) {
	if n.options.SlowStart == nil || n.slowStart.since.IsZero() {
		return 0, false
	}
	age := now.Sub(n.slowStart.since)
	return age, age < n.options.SlowStart.Duration
}

// scaleServiceTime scales an execution time by the current speed.
func (n *Node) scaleServiceTime(work time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if age, starting := n.slowStartAge(time.Now()); starting {
		return time.Duration(float64(work) / n.options.SlowStart.speed(age))
	}
	return work
}

// countLoad counts a request and reports whether it makes the node crash. Only a node in slow start has a limit.
func (n *Node) countLoad(units float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, state, limits := time.Now(), &n.slowStart, n.options.SlowStart
	age, starting := n.slowStartAge(now)
	if !starting {
		return false
	}
	request := workItem{now, units / limits.MeanUnits}
	state.requests, state.sum = append(state.requests, request), state.sum+request.work
	for now.Sub(state.requests[0].at) > limits.Window {
		state.requests, state.sum = state.requests[1:], state.sum-state.requests[0].work
	}
	load := state.sum / limits.overloadLimit(age)
	state.peakLoad = max(state.peakLoad, load)
	if load <= 1 {
		return false
	}
	state.crashes++
	state.since = time.Time{} // until the restart
	return true
}

// crash refuses connections at all addresses until the node restarts.
func (n *Node) crash() {
	setAll := func(f Fault) bool {
		n.restartMu.Lock() // Close takes this lock too, so that nothing listens after it
		defer n.restartMu.Unlock()
		n.mu.Lock()
		closed, listeners := n.closed, make([]*listener, 0, len(n.listeners))
		for _, l := range n.listeners {
			listeners = append(listeners, l)
		}
		n.mu.Unlock()
		for _, l := range listeners {
			if !closed && l.set(f) != nil {
				return false
			}
		}
		return !closed
	}
	n.notify(Crashed)
	if !setAll(Refused) {
		return
	}
	select {
	case <-time.After(n.options.SlowStart.RestartDelay):
	case <-n.done:
		return
	}
	n.BeginSlowStart()
	if setAll(None) {
		n.notify(Restarted)
	}
}

func (n *Node) notify(event Event) {
	if n.options.OnEvent != nil {
		n.options.OnEvent(event)
	}
}
