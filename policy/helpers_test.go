package policy

import (
	"fmt"
	"slices"
	"testing"
)

// testSettings returns settings with an idempotent class, a non-idempotent class and one plan.
func testSettings() Settings {
	return Settings{Schedulers: 2, MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 20, MaxAttempts: 3, MaxRetryAfter: 1000,
		SendsRetryAfter: true, DrainGrace: 1000, ListStalenessBound: 10000, SlowStartShare: 0.2, SlowStartDuration: 10000, OverloadMultiple: 3,
		OverloadWindow: 2000,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "p", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1}}}
}

// harness drives one instance and stores the actions of its last step.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     float64
	actions []Action
}

func newHarness(t *testing.T, settings Settings) *harness {
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, s: s, now: 1000}
	h.step(Event{Kind: CachedListLoaded, Nodes: []Node{{ID: "a", Shard: 0}, {ID: "b", Shard: 1}}})
	return h
}

func (h *harness) step(events ...Event) []Action {
	h.actions = h.s.Step(h.now, events, nil)
	return h.actions
}

func (h *harness) at(now float64, events ...Event) []Action {
	h.now = now
	return h.step(events...)
}

func requestArrived(id, class string, shard int, deadline float64) Event {
	return Event{Kind: RequestArrived, Request: Request{ID: id, Class: class, Plan: "p", Key: "k" + id, Volume: "v",
		Deadline: deadline, Units: 1, Shard: shard, Schedulers: 1}}
}

func attemptEnded(id string, attempt int, status Status, finished bool) Event {
	return Event{Kind: AttemptEnded, ID: id, Attempt: attempt, Status: status, Latency: 20, Finished: finished}
}

func countActions(actions []Action, kind ActionKind) (n int) {
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// volume returns the state of volume "v" on the first plan, or nil.
func (h *harness) volume() *volume {
	return h.s.volumes[volumeKey{"v", h.s.settings.Plans[0].Name}]
}

func wasSent(actions []Action, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Send && a.ID == id })
}

func wasRejected(actions []Action, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Reject && a.ID == id })
}

// newFleet returns schedulers with different seeds that all have the same node list.
func newFleet(t *testing.T, settings Settings, nodes []Node) []*harness {
	t.Helper()
	settings.Schedulers = fleetSchedulers
	var fleet []*harness
	for i := range fleetSchedulers {
		settings.Instance = i
		s, err := New(settings, int64(1000+i))
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, s: s, now: 1000}
		h.step(Event{Kind: CachedListLoaded, Nodes: nodes})
		fleet = append(fleet, h)
	}
	return fleet
}

// newSizedHarness returns an instance whose list has a number of nodes, each with its own shard.
func newSizedHarness(b testing.TB, nodeCount int) (*harness, []Node) {
	settings := testSettings()
	settings.Schedulers, settings.Shards = 1024, nodeCount
	h := &harness{}
	var err error
	if h.s, err = New(settings, 1); err != nil {
		b.Fatal(err)
	}
	h.now = 1e6
	list := make([]Node, nodeCount)
	for i := range list {
		list[i] = Node{ID: fmt.Sprintf("s-%04d", i), Shard: i, Weight: 1}
	}
	h.step(Event{Kind: CachedListLoaded, Nodes: list})
	return h, list
}

// newLimitedHarness returns a harness whose only plan has a rate limit and a burst.
func newLimitedHarness(t *testing.T, rateLimit, burst float64) *harness {
	settings := testSettings()
	settings.Plans[0].RateLimit, settings.Plans[0].LimitBurst = rateLimit, burst
	return newHarness(t, settings)
}

// limitedSettings returns testSettings with a rate limit and a burst.
func limitedSettings(rateLimit, burst float64) Settings {
	settings := testSettings()
	settings.Plans[0].RateLimit, settings.Plans[0].LimitBurst = rateLimit, burst
	return settings
}

// sendUnits adds requests of one unit each for a volume, and returns how many of them were sent at once.
func (h *harness) sendUnits(volume string, schedulers, units int) (sent int) {
	for range units {
		ev := requestArrived(fmt.Sprint(volume, h.s.lastSequence, "-", sent), "safe", 0, h.now+2000)
		ev.Request.Volume, ev.Request.Schedulers = volume, schedulers
		for _, a := range h.step(ev) {
			if a.Kind == Send && a.ID == ev.Request.ID {
				sent++
				h.step(attemptEnded(ev.Request.ID, 0, OK, true))
			}
		}
	}
	return sent
}

// reconfigure applies settings to the instance.
func (h *harness) reconfigure(settings Settings) {
	h.t.Helper()
	if err := h.s.Reconfigure(settings); err != nil {
		h.t.Fatal(err)
	}
}
