package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// A known mix of outcomes gives exactly its figures: served, refused, failed, retried,
// abandoned, and ones of a class that no setting names.
func TestCountsOfAKnownMix(t *testing.T) {
	r := start(t, settings())
	r.list(policy.ListStale, node("n", 0, policy.NodeUp), node("m", 1, policy.NodeDraining))
	f := r.peer("n")

	_, served := r.ask("s", "read", time.Minute) // served at the first attempt
	a := <-f.sent
	a.Written()
	a.Done(Result{Status: policy.OK})
	one(t, served, Served)

	_, again := r.ask("r", "read", time.Minute) // a reset, then served: two tries
	a = <-f.sent
	a.Written()
	a.Done(Result{Status: policy.Reset})
	a = <-f.sent
	a.Written()
	a.Done(Result{Status: policy.OK})
	one(t, again, Served)

	_, bad := r.ask("b", "record", time.Minute) // the node's 400: failed, one try
	a = <-f.sent
	a.Written()
	a.Done(Result{Status: policy.Abandoned, Bad: true})
	one(t, bad, Failed)

	q, gone := r.ask("g", "read", time.Minute) // the client goes: not counted as an answer
	a = <-f.sent
	r.Cancel(q)
	<-f.cancels
	a.Done(Result{Status: policy.Cancelled}) // never written whole: no try

	_, open := r.ask("o", "record", time.Minute) // still out
	out := <-f.sent
	out.Written()

	r.Refuse(&Request{Request: policy.Request{Class: "read"}, Answer: func(Answer) {}}, time.Millisecond)
	_, unknown := r.ask("u", "other", time.Minute) // no setting names it: answered, not counted
	one(t, unknown, Failed)
	r.Counts().Loaded(true)
	r.Counts().Loaded(false)
	r.Counts().Loaded(false)
	r.Open()

	got := r.Counts().Read()
	want := Figures{Passed: map[string]int64{"read": 2, "record": 0}, Dropped: map[string]int64{"read": 1, "record": 0},
		BadGateway: map[string]int64{"read": 0, "record": 1}, Tries: map[string]int64{"read": 3, "record": 2},
		InProgress: 1, Known: 2, Skipped: 1, Loads: 1, LoadErrors: 2}
	if !same(got, want) {
		t.Fatalf("figures\n%+v, want\n%+v", got, want)
	}
	out.Done(Result{Status: policy.OK})
	one(t, open, Served)
	none(t, r, gone)
	r.Open()
	if got := r.Counts().Read(); got.InProgress != 0 || got.Passed["record"] != 1 {
		t.Fatalf("after the last answer: %+v", got)
	}
}

func same(a, b Figures) bool {
	eq := func(x, y map[string]int64) bool {
		if len(x) != len(y) {
			return false
		}
		for k, v := range x {
			if y[k] != v {
				return false
			}
		}
		return true
	}
	return eq(a.Passed, b.Passed) && eq(a.Dropped, b.Dropped) && eq(a.BadGateway, b.BadGateway) && eq(a.Tries, b.Tries) &&
		a.InProgress == b.InProgress && a.Known == b.Known && a.Skipped == b.Skipped && a.Loads == b.Loads && a.LoadErrors == b.LoadErrors
}
