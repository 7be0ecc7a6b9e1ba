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

// While a process starts, the list service is called when the pacer is due, whether or not the service answers. The pacer
// is notified of each failed call. The time does not advance, so the staleness bound requires no call.
func TestCallsWhenPacerIsDue(t *testing.T) {
	service, requests := newListService(t)
	pacer := testPacer{make(chan struct{}), make(chan bool, 100)}
	watcher := startWatcher(t, &Watcher{Address: service.Addr(), Pacer: pacer, Timer: watchtimer.Settings{Schedulers: 1000}})
	for i, fault := range []discovery.Fault{{RejectCalls: true}, {Down: true}, {RejectCalls: true}} {
		if err := service.SetFault(fault); err != nil {
			t.Fatal(err)
		}
		if len(requests) > 0 {
			t.Fatalf("fault number %d: the service was called before the pacer was due", i)
		}
		pacer.due <- struct{}{}
		if fault.Down {
			watcher.advance(watchtimer.ResponseTimeout)
		}
		<-pacer.failed
		for len(requests) > 0 {
			<-requests
		}
	}
	if update := <-watcher.updates; update.Kind != policy.ListFailed {
		t.Errorf("update %+v, want a failure of the list", update)
	}
	if err := service.SetFault(discovery.Fault{}); err != nil {
		t.Fatal(err)
	}
	pacer.due <- struct{}{}
	if update := <-watcher.updates; update.Kind != policy.ListReceived || len(pacer.failed) > 0 {
		t.Errorf("update %+v and %d more failed calls, want the list and none", update, len(pacer.failed))
	}
}
