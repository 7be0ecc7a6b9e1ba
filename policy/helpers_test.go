package policy

import (
	"fmt"
	"slices"
	"testing"
)

// testSettings has one class of each effect and one plan.
func testSettings() Settings {
	return Settings{Schedulers: 2, MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 20, MaxAttempts: 3, MaxRetryAfter: 1000,
		SendsRetryAfter: true, DrainGrace: 1000, PollWithin: 10000, SlowStartShare: 0.2, SlowStartDuration: 10000, OverloadMultiple: 3,
		OverloadWindow: 2000,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "p", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1}}}
}

// harness drives one instance and keeps what it did.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     float64
	actions []Action
}

func newHarness(t *testing.T, set Settings) *harness {
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, s: s, now: 1000}
	r.step(Event{Kind: CachedListLoaded, Nodes: []Node{{ID: "a", Shard: 0}, {ID: "b", Shard: 1}}})
	return r
}

func (r *harness) step(evs ...Event) []Action {
	r.actions = r.s.Step(r.now, evs, nil)
	return r.actions
}

func (r *harness) at(now float64, evs ...Event) []Action {
	r.now = now
	return r.step(evs...)
}

func call(id, class string, shard int, notAfter float64) Event {
	return Event{Kind: RequestArrived, Request: Request{ID: id, Class: class, Plan: "p", Key: "k" + id, Volume: "v",
		Deadline: notAfter, Units: 1, Shard: shard, Schedulers: 1}}
}

func done(id string, attempt int, st Status, finished bool) Event {
	return Event{Kind: AttemptEnded, ID: id, Attempt: attempt, Status: st, Latency: 20, Finished: finished}
}

func countActions(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// volume is the state of volume "v" on the first plan; nil: there is none.
func (r *harness) volume() *volume {
	return r.s.volumes[volumeKey{"v", r.s.settings.Plans[0].Name}]
}

func wasSent(acts []Action, id string) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Send && a.ID == id })
}

func wasRejected(acts []Action, id string) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Reject && a.ID == id })
}

// newFleet makes schedulers with seeds of their own that all know the same nodes.
func newFleet(t *testing.T, set Settings, nodes []Node) []*harness {
	t.Helper()
	set.Schedulers = fleetHosts
	var rigs []*harness
	for i := range fleetHosts {
		set.Instance = i
		s, err := New(set, int64(1000+i))
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, s: s, now: 1000}
		r.step(Event{Kind: CachedListLoaded, Nodes: nodes})
		rigs = append(rigs, r)
	}
	return rigs
}

// newSizedHarness makes an instance whose list has so many nodes, each with a shard of its own.
func newSizedHarness(b testing.TB, nodes int) (*harness, []Node) {
	set := testSettings()
	set.Schedulers, set.Shards = 1024, nodes
	r := &harness{}
	var err error
	if r.s, err = New(set, 1); err != nil {
		b.Fatal(err)
	}
	r.now = 1e6
	list := make([]Node, nodes)
	for i := range list {
		list[i] = Node{ID: fmt.Sprintf("s-%04d", i), Shard: i, Weight: 1}
	}
	r.step(Event{Kind: CachedListLoaded, Nodes: list})
	return r, list
}

// newLimitedHarness makes a harness whose only plan has a rate limit and a burst.
func newLimitedHarness(t *testing.T, limit, burst float64) *harness {
	set := testSettings()
	set.Plans[0].RateLimit, set.Plans[0].LimitBurst = limit, burst
	return newHarness(t, set)
}

// limitedSettings is testSettings with a plan that has a limit.
func limitedSettings(limit, burst float64) Settings {
	set := testSettings()
	set.Plans[0].RateLimit, set.Plans[0].LimitBurst = limit, burst
	return set
}

// countSent sends units of a volume, one request each, and returns how many were sent at once.
func (r *harness) countSent(volume string, hosts, units int) (sent int) {
	for range units {
		ev := call(fmt.Sprint(volume, r.s.lastSequence, "-", sent), "safe", 0, r.now+2000)
		ev.Request.Volume, ev.Request.Schedulers = volume, hosts
		for _, a := range r.step(ev) {
			if a.Kind == Send && a.ID == ev.Request.ID {
				sent++
				r.step(done(ev.Request.ID, 0, OK, true))
			}
		}
	}
	return sent
}

// reconfigure takes settings into the harness's instance.
func (r *harness) reconfigure(set Settings) {
	r.t.Helper()
	if err := r.s.Reconfigure(set); err != nil {
		r.t.Fatal(err)
	}
}
