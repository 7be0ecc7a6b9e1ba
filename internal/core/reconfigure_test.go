package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/policy"
)

// Until a change of the settings a token bucket fills by the old limit, even if the decision module has run no step since
// the last request.
func TestReconfigureFillsByOldLimitUntilChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settingsWithLimit := func(limit float64) policy.Settings {
			settings := testSettings()
			settings.Plans[0].RateLimit, settings.Plans[0].LimitBurst = limit, 2*settings.MaxUnits
			return settings
		}
		core := startCore(t, settingsWithLimit(1))
		core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp))
		submit := func(id string) {
			request, _ := core.newRequest(id, "read", time.Minute)
			request.Units = testSettings().MaxUnits
			core.Submit(request)
			synctest.Wait()
		}
		sent := core.node("n").sent
		submit("opening")       // the bucket is empty until the first request
		time.Sleep(time.Minute) // many times the interval between the module's periodic steps
		dispatched := 0
		for _, id := range []string{"first", "second"} {
			submit(id)
			for len(sent) > 0 {
				(<-sent).Done(Result{Status: policy.OK})
				synctest.Wait()
				dispatched++
			}
		}
		if dispatched != 3 {
			t.Fatalf("%d attempts were dispatched, want the 3 that empty the bucket", dispatched)
		}
		time.Sleep(90 * time.Millisecond) // less than the time until the module's next periodic step
		if err := core.Reconfigure(settingsWithLimit(100)); err != nil {
			t.Fatal(err)
		}
		submit("third")
		if len(sent) > 0 {
			t.Error("the request was dispatched, so the bucket was filled by the new limit for the time before the change")
		}
		time.Sleep(100 * time.Millisecond)
		if len(sent) != 1 {
			t.Error("the request was not dispatched, although the new limit has filled the bucket")
		}
	})
}
