package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// Up to a change of the settings a token bucket fills by the old limit, also if the module had no step since its last use.
func TestReconfigureFillsByOldLimitUntilChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := func(limit float64) policy.Settings {
			set := testSettings()
			set.Plans[0].RateLimit, set.Plans[0].LimitBurst = limit, 2*set.MaxUnits
			return set
		}
		r := startCore(t, limited(1))
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		submit := func(id string) {
			q, _ := r.newRequest(id, "read", time.Minute)
			q.Units = testSettings().MaxUnits
			r.Submit(q)
			synctest.Wait()
		}
		sent := r.node("n").sent
		submit("opening")       // the bucket is empty until the first request
		time.Sleep(time.Minute) // a multiple of the time between two of the module's own steps
		answered := 0
		for _, id := range []string{"first", "second"} {
			submit(id)
			for len(sent) > 0 {
				(<-sent).Done(Result{Status: policy.OK})
				synctest.Wait()
				answered++
			}
		}
		if answered != 3 {
			t.Fatalf("%d dispatched, want 3 that empty the bucket", answered)
		}
		time.Sleep(90 * time.Millisecond) // less than until its next step
		if err := r.Reconfigure(limited(100)); err != nil {
			t.Fatal(err)
		}
		submit("third")
		if len(sent) > 0 {
			t.Error("dispatched: the bucket was filled by the new limit for the time before the change")
		}
		time.Sleep(100 * time.Millisecond)
		if len(sent) != 1 {
			t.Error("not dispatched, although the new limit has filled the bucket since")
		}
	})
}
