package discovery

import (
	"testing"

	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/policy"
)

// testPacer is a StartPacer that the test controls.
type testPacer struct {
	due    chan struct{}
	failed chan bool
}

func (p testPacer) CallDue() <-chan struct{} { return p.due }
func (p testPacer) CallFailed()              { p.failed <- true }

// While a process starts, the list is called for when the pacer is due, whether or not the service answers, and the
// pacer is notified of each call that failed. The time does not advance, so the staleness bound requires no call.
func TestCallsWhenPacerIsDue(t *testing.T) {
	s, requests := newListService(t)
	p := testPacer{make(chan struct{}), make(chan bool, 100)}
	w := startWatcher(t, &Watcher{Address: s.Addr(), Pacer: p, Timer: watchtimer.Settings{Schedulers: 1000}})
	for i, f := range []discovery.Fault{{Refuse: true}, {Down: true}, {Refuse: true}} {
		if err := s.Set(f); err != nil {
			t.Fatal(err)
		}
		if len(requests) > 0 {
			t.Fatalf("%d: called before it was due", i)
		}
		p.due <- struct{}{}
		if f.Down {
			w.advance(watchtimer.ResponseTimeout)
		}
		<-p.failed
		for len(requests) > 0 {
			<-requests
		}
	}
	if n := <-w.updates; n.Kind != policy.ListFailed {
		t.Errorf("%+v", n)
	}
	if err := s.Set(discovery.Fault{}); err != nil {
		t.Fatal(err)
	}
	p.due <- struct{}{}
	if n := <-w.updates; n.Kind != policy.ListReceived || len(p.failed) > 0 {
		t.Errorf("%+v, %d more failed", n, len(p.failed))
	}
}
