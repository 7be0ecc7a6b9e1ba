package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// settingsChanges are changes of testSettings(). For each, same tells whether a request of class read and plan basic that
// was decoded before the change has the same meaning after it.
var settingsChanges = []struct {
	name   string
	change func(*policy.Settings)
	same   bool
}{
	{"reordered", func(s *policy.Settings) { s.Classes[0], s.Classes[1] = s.Classes[1], s.Classes[0] }, true},
	{"another class added before it", func(s *policy.Settings) {
		s.Classes = append([]policy.Class{{Name: "new", LatencyObjective: 1e3, Deadline: 2e3, PriorityWeight: 1}}, s.Classes...)
	}, true},
	{"another plan added before it", func(s *policy.Settings) {
		s.Plans = append([]policy.Plan{{Name: "new", Rate: 1, RateLimit: 1, LimitBurst: 1}}, s.Plans...)
	}, true},
	{"class renamed", func(s *policy.Settings) { s.Classes[0].Name = "renamed" }, false},
	{"class removed", func(s *policy.Settings) { s.Classes = s.Classes[1:] }, false},
	{"names swapped", func(s *policy.Settings) { s.Classes[0].Name, s.Classes[1].Name = "record", "read" }, false},
	{"another effect", func(s *policy.Settings) { s.Classes[0].Effect = policy.NonIdempotent }, false},
	{"another deadline", func(s *policy.Settings) { s.Classes[0].Deadline = 90e3 }, false},
	{"plan renamed", func(s *policy.Settings) { s.Plans[0].Name = "renamed" }, false},
	{"another limit", func(s *policy.Settings) { s.Plans[0].RateLimit, s.Plans[0].LimitBurst = 5, 5 }, false},
	{"a smaller largest request", func(s *policy.Settings) { s.MaxUnits = 2 }, false},
	{"fewer processes", func(s *policy.Settings) { s.Schedulers = 2 }, false},
}

// A request that was decoded before a change of the settings and arrives after it is served if it has the same meaning with
// both versions. Otherwise it fails at once.
func TestRequestDecodedUnderOldSettings(t *testing.T) {
	for _, tc := range settingsChanges {
		t.Run(tc.name, func(t *testing.T) {
			core := startCore(t, testSettings())
			core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
			decoded, next := core.Settings(), testSettings()
			tc.change(&next)
			if err := core.Reconfigure(next); err != nil {
				t.Fatal(err)
			}
			if now := core.Settings(); now == decoded || now.Version != decoded.Version+1 {
				t.Fatalf("version %d after %d", now.Version, decoded.Version)
			}
			request, answers := core.newRequest("a", "read", time.Minute)
			request.Settings = decoded
			core.Submit(request)
			if tc.same {
				(<-core.node("n").sent).Done(Result{Status: policy.OK})
				expectAnswer(t, answers, Served)
				return
			}
			if answer := expectAnswer(t, answers, Failed); answer.Cause != CauseSettingsChanged && answer.Cause != CauseUnknownClass {
				t.Errorf("answer %+v, want a cause that names the settings change or the unknown class", answer)
			}
			if n := len(core.node("n").sent); n > 0 {
				t.Errorf("%d attempts were dispatched, want 0", n)
			}
		})
	}
}

// A request that arrives before a change of the settings in the same iteration is decided by the old settings.
func TestArrivalBeforeReconfigureInOneIteration(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	next := testSettings()
	next.Classes[0].Effect = policy.NonIdempotent
	release := core.blockActor()
	_, before := core.submit("before", "read")
	reconfigured := make(chan error)
	core.post(call(func() { go func(err error) { reconfigured <- err }(core.reconfigure(next)) }))
	_, after := core.submit("after", "read")
	release()
	if err := <-reconfigured; err != nil {
		t.Fatal(err)
	}
	sent := core.node("n").sent
	for range 2 {
		(<-sent).Done(Result{Status: policy.ConnectionReset}) // it may have been executed
	}
	core.OpenRequests() // returns once both results are handled; their step runs before the next call is handled
	core.OpenRequests()
	if len(sent) != 1 {
		t.Fatalf("%d requests are retried, want only the one that arrived before the change", len(sent))
	}
	retry := <-sent // only the request that was idempotent at its arrival is retried
	if retry.Request.ID != "before" || retry.Number != 1 {
		t.Errorf("request %s is retried with attempt %d, want request before with attempt 1", retry.Request.ID, retry.Number)
	}
	expectAnswer(t, after, Failed)
	retry.Done(Result{Status: policy.OK})
	expectAnswer(t, before, Served)
}

// Settings that the decision module rejects change nothing in the core.
func TestRejectedSettingsChangeNothing(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	before, invalid := core.Settings(), testSettings()
	invalid.Classes[0].Name, invalid.MaxAttempts = "renamed", -1
	if err := core.Reconfigure(invalid); err == nil {
		t.Fatal("invalid settings were accepted")
	}
	if core.Settings() != before {
		t.Error("the version has changed")
	}
	_, answers := core.submit("a", "read")
	(<-core.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
}
