package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// changes are changes of settings(), and whether a request of class read and plan basic that was decoded before means the
// same afterwards.
var changes = []struct {
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

// A request that was decoded before a change of the settings and arrives after it is served if it means the same under
// both, and fails at once if not.
func TestRequestDecodedUnderOldSettings(t *testing.T) {
	for _, x := range changes {
		t.Run(x.name, func(t *testing.T) {
			r := startCore(t, testSettings())
			r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
			decoded, next := r.Settings(), testSettings()
			x.change(&next)
			if err := r.Reconfigure(next); err != nil {
				t.Fatal(err)
			}
			if now := r.Settings(); now == decoded || now.Version != decoded.Version+1 {
				t.Fatalf("version %d after %d", now.Version, decoded.Version)
			}
			q, got := r.newRequest("a", "read", time.Minute)
			q.Settings = decoded
			r.Submit(q)
			if x.same {
				(<-r.node("n").sent).Done(Result{Status: policy.OK})
				expectAnswer(t, got, Served)
				return
			}
			if a := expectAnswer(t, got, Failed); a.Cause != CauseSettingsChanged && a.Cause != CauseUnknownClass {
				t.Errorf("%+v", a)
			}
			if n := len(r.node("n").sent); n > 0 {
				t.Errorf("%d sent", n)
			}
		})
	}
}

// A request that arrives before a change in the same iteration is decided by the old settings.
func TestArrivalBeforeReconfigureInOneIteration(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	next := testSettings()
	next.Classes[0].Effect = policy.NonIdempotent
	release := r.blockActor()
	_, before := r.submit("before", "read")
	retuned := make(chan error)
	r.post(call(func() { go func(err error) { retuned <- err }(r.reconfigure(next)) }))
	_, after := r.submit("after", "read")
	release()
	if err := <-retuned; err != nil {
		t.Fatal(err)
	}
	sent := r.node("n").sent
	for range 2 {
		(<-sent).Done(Result{Status: policy.ConnectionReset}) // it may have been executed
	}
	r.OpenRequests() // both results have been handled, and are decided before the next call
	r.OpenRequests()
	if len(sent) != 1 {
		t.Fatalf("%d are retried, want the one from before the change", len(sent))
	}
	retry := <-sent // only the idempotent one is retried
	if retry.Request.ID != "before" || retry.Number != 1 {
		t.Errorf("%s is retried, attempt %d", retry.Request.ID, retry.Number)
	}
	expectAnswer(t, after, Failed)
	retry.Done(Result{Status: policy.OK})
	expectAnswer(t, before, Served)
}

// Settings that the module rejects change nothing in the core either.
func TestRejectedSettingsChangeNothing(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	before, invalid := r.Settings(), testSettings()
	invalid.Classes[0].Name, invalid.MaxAttempts = "renamed", -1
	if err := r.Reconfigure(invalid); err == nil {
		t.Fatal("accepted")
	}
	if r.Settings() != before {
		t.Error("the version has changed")
	}
	_, got := r.submit("a", "read")
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
}
