package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// What a limit's store gained up to a change is by the old limit, also where the module had no step since it was last used.
func TestReconfigureFillsByOldLimitUntilChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := func(limit float64) policy.Settings {
			set := settings()
			set.Plans[0].RateLimit, set.Plans[0].LimitBurst = limit, 2*set.MaxUnits
			return set
		}
		r := startCore(t, limited(1))
		r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		ask := func(id string) {
			q, _ := r.newRequest(id, "read", time.Minute)
			q.Units = settings().MaxUnits
			r.Submit(q)
			synctest.Wait()
		}
		sent := r.node("n").sent
		ask("opening")          // the store is empty until the first request of all
		time.Sleep(time.Minute) // a multiple of the time between two of the module's own steps
		answered := 0
		for _, id := range []string{"first", "second"} {
			ask(id)
			for len(sent) > 0 {
				(<-sent).Done(Result{Status: policy.OK})
				synctest.Wait()
				answered++
			}
		}
		if answered != 3 {
			t.Fatalf("%d sent, want 3 that leave the store empty", answered)
		}
		time.Sleep(90 * time.Millisecond) // less than until its next step
		if err := r.Reconfigure(limited(100)); err != nil {
			t.Fatal(err)
		}
		ask("third")
		if len(sent) > 0 {
			t.Error("sent: the time before the change was filled by the new limit")
		}
		time.Sleep(100 * time.Millisecond)
		if len(sent) != 1 {
			t.Error("not sent, though the new limit has filled the store since")
		}
	})
}
