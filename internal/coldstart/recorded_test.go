package coldstart

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// recordActions records one step: the time, the phase and the actions by the recording's words.
func recordActions(script *recorded.Script, now time.Duration, s *Startup, actions []Action) {
	fields := []any{int64(now), int(s.Phase())}
	for _, action := range actions {
		switch a := action.(type) {
		case RequestList:
			fields = append(fields, "list")
		case UseCachedList:
			fields = append(fields, "cached")
		case LimitColdNode:
			fields = append(fields, "limit", a.Node, a.Units, int64(a.StartedAt))
		case LiftColdLimit:
			fields = append(fields, "lift", a.Node)
		case Restore:
			fields = append(fields, "restore", a.Node)
		case Connect:
			fields = append(fields, "connect", a.Node)
		case CheckHealth:
			fields = append(fields, "check", a.Node)
		case ReportReady:
			fields = append(fields, "ready")
		case Reject:
			fields = append(fields, "reject", int64(a.RetryAfter))
		case SetTimer:
			fields = append(fields, "timer", int64(a.At))
		default:
			fields = append(fields, "unknown")
		}
	}
	script.Add(fields...)
}

// recordedSettings returns the settings of a script by its number. They cover fleets of several sizes, list requests with
// and without a price, and given and default bounds.
func recordedSettings(i int) Settings {
	s := Settings{Schedulers: []int{1, 3, 80, 1000}[i%4], Name: fmt.Sprint("scheduler-", i), ListRequestsPriced: i%2 == 0,
		SlowStartUnits: 39, OverloadWindow: 3 * time.Second, SlowStartDuration: 17 * time.Second,
		LatencyObjective: time.Duration(50+100*(i%5)) * time.Millisecond, Preconnects: i % 5, MayCheckHealth: i%2 == 1, MaxNodes: []int{0, 4}[i/2%2]}
	if i%3 == 1 {
		s.MaxListRequestsPerSecond, s.StalenessBound = 100, 3*time.Second
		s.MinRetryAfter, s.MaxRetryAfter = 20*time.Millisecond, 400*time.Millisecond
	}
	return s
}

// randomEvent draws the next event. Lists and failed list requests are rare, so that each phase covers many events.
func randomEvent(rng *rand.Rand, now time.Duration, nodes func() []Node) Event {
	id := []string{"a", "b", "c", "d", "e", "f", ""}[rng.Intn(7)]
	switch n := rng.Intn(60); {
	case n < 2:
		return ListReceived{nodes()}
	case n < 6:
		return ListRequestFailed{}
	case n < 12:
		return NodeFull{id}
	case n < 18:
		return ConnectFailed{id}
	case n < 22:
		return RequestServed{id}
	case n < 34:
		return RequestRejected{id}
	case n < 38:
		return PeerReported{Node{id, float64(rng.Intn(3)), now - time.Duration(rng.Intn(3000))*time.Millisecond}}
	case n < 40:
		return SnapshotReceived{nodes()}
	case n == 40:
		return Started{nodes(), nodes()} // a second start has no effect
	}
	return RequestArrived{id}
}

// The decisions under random events equal those of the recording.
func TestRecordedDecisions(t *testing.T) {
	for i := range 40 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			rng := rand.New(rand.NewSource(int64(500 + i)))
			var script recorded.Script
			now, timer := time.Duration(0), time.Duration(-1)
			nodes := func() (list []Node) {
				for range rng.Intn(7) {
					list = append(list, Node{[]string{"a", "b", "c", "d", "e", "f"}[rng.Intn(6)], float64(rng.Intn(6) / 4), now - time.Duration(rng.Intn(30000))*time.Millisecond})
				}
				return list
			}
			s, err := New(recordedSettings(i))
			if err != nil {
				t.Fatal(err)
			}
			step := func(e Event) {
				actions := s.Step(now, e)
				for _, a := range actions {
					if set, ok := a.(SetTimer); ok {
						timer = set.At
					}
				}
				recordActions(&script, now, s, actions)
			}
			if rng.Intn(3) == 0 { // events before the start
				step(RequestArrived{"a"})
				step(TimerFired{})
			}
			var cached []Node
			if i%3 != 2 {
				cached = nodes()
			}
			step(Started{cached, nodes()})
			for range 400 {
				to := now + time.Duration(rng.Intn(300))*time.Millisecond
				for timer > now && timer <= to {
					now = timer
					step(TimerFired{})
				}
				now = to
				if rng.Intn(50) == 0 {
					now += 5 * time.Second // a stall
				}
				step(randomEvent(rng, now, nodes))
			}
			script.Check(t, fmt.Sprintf("events-%02d", i))
		})
	}
}
