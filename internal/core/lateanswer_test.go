package core

import (
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/policy"
)

// A late answer is logged with its id and attempts, at most once a second. An answer in time is not logged.
func TestLateAnswersAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		core := &fixture{t: t}
		c, err := New(Options{Settings: testSettings(), Seed: 7, Log: log, NewNodeClient: core.newNodeClient})
		if err != nil {
			t.Fatal(err)
		}
		core.Core = c
		defer c.Stop()
		core.updateList(policy.ListReceived, Node{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addrs("10.0.0.1:1")})
		submit := func(id string) chan Answer {
			answers := make(chan Answer, 1)
			core.Submit(&Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Key: id},
				ReceivedAt: time.Now(), Timeout: 500 * time.Millisecond, Answer: func(a Answer) { answers <- a }})
			return answers
		}
		<-submit("in-time")
		stall := func(ids ...string) {
			var answersByRequest []chan Answer
			for _, id := range ids {
				answersByRequest = append(answersByRequest, submit(id))
			}
			time.Sleep(100 * time.Millisecond)
			core.post(call(func() { time.Sleep(time.Second) })) // the actor is stalled past their deadlines
			for _, answers := range answersByRequest {
				<-answers
			}
		}
		stall("late-1", "late-2", "late-3")
		time.Sleep(2 * time.Second)
		stall("late-4")
		core.OpenRequests()
		var logged []map[string]any
		for _, e := range hook.AllEntries() {
			if e.Message == "request answered after its client's deadline" {
				logged = append(logged, e.Data)
			}
		}
		if len(logged) != 2 || logged[1]["id"] != "late-4" || logged[1]["suppressed"] != 2 || logged[0]["class"] != "read" ||
			logged[0]["late_ms"].(int64) < 500 || logged[0]["attempts"] == "" || logged[0]["timer_lag_ms"].(int64) < 50 {
			t.Errorf("logged late answers %v", logged)
		}
	})
}
