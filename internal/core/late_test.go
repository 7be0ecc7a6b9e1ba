package core

import (
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/policy"
)

// What ends late is told with its id and where it went; what ends in time is not; no more than a
// line a second.
func TestLateEndsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := logtest.NewNullLogger()
		r := &rig{t: t}
		c, err := New(Options{Settings: settings(), Seed: 7, Log: log, NewNodeClient: r.connect})
		if err != nil {
			t.Fatal(err)
		}
		r.Core = c
		defer c.Stop()
		r.list(policy.ListReceived, Node{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addrs("10.0.0.1:1")})
		ask := func(id string) chan Answer {
			got := make(chan Answer, 1)
			r.Submit(&Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Key: id},
				ReceivedAt: time.Now(), Timeout: 500 * time.Millisecond, Answer: func(a Answer) { got <- a }})
			return got
		}
		<-ask("in-time")
		held := func(ids ...string) {
			var all []chan Answer
			for _, id := range ids {
				all = append(all, ask(id))
			}
			time.Sleep(100 * time.Millisecond)
			r.post(message{call: func() { time.Sleep(time.Second) }}) // the actor stands still past their time
			for _, got := range all {
				<-got
			}
		}
		held("late-1", "late-2", "late-3")
		time.Sleep(2 * time.Second)
		held("late-4")
		r.OpenRequests()
		var told []map[string]any
		for _, e := range lines.AllEntries() {
			if e.Message == "a request ended after its client's time" {
				told = append(told, e.Data)
			}
		}
		if len(told) != 2 || told[1]["id"] != "late-4" || told[1]["others"] != 2 || told[0]["class"] != "read" ||
			told[0]["late_ms"].(int64) < 500 || told[0]["attempts"] == "" || told[0]["timer_late_ms"].(int64) < 50 {
			t.Errorf("%v", told)
		}
	})
}
