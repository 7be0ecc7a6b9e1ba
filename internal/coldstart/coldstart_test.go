package coldstart

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

func testSettings(schedulers int, name string, listRequestsPriced bool) Settings {
	return Settings{Schedulers: schedulers, Name: name, ListRequestsPriced: listRequestsPriced, MaxListRequestsPerSecond: 100, SlowStartUnits: 39, OverloadWindow: 3 * time.Second,
		SlowStartDuration: 17 * time.Second, LatencyObjective: 400 * ms, Preconnects: 3}
}

var testNodes = []Node{{ID: "a"}, {ID: "b", StartTime: 7, StartedAt: -time.Hour}, {ID: "c", StartTime: 9, StartedAt: -time.Second}}

// timedAction is an action with the time at which it was carried out.
type timedAction struct {
	doneAt time.Duration
	action Action
}

// runScript drives one start by a script of events, with a TimerFired for each SetTimer, and returns the actions.
func runScript(t *testing.T, s *Startup, until time.Duration, script map[time.Duration]Event) (done []timedAction) {
	t.Helper()
	timer := time.Duration(-1)
	for now := time.Duration(0); now <= until; now += 10 * ms {
		step := func(e Event) {
			for _, a := range s.Step(now, e) {
				if set, ok := a.(SetTimer); ok {
					timer = set.At
					continue
				}
				done = append(done, timedAction{now, a})
			}
		}
		if e, ok := script[now]; ok {
			step(e)
		}
		if timer >= 0 && now >= timer {
			timer = -1
			step(TimerFired{})
		}
	}
	return done
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](done []timedAction) (found []timedAction) {
	for _, d := range done {
		if _, ok := d.action.(A); ok {
			found = append(found, d)
		}
	}
	return found
}

func newStartup(t *testing.T, settings Settings) *Startup {
	t.Helper()
	s, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var testSnapshot = []Node{{ID: "b", StartTime: 7}, {ID: "c", StartTime: 8}} // c has restarted since

// If list requests are priced, the cached list is used at once. Only the node that has not restarted since the snapshot is restored,
// and connections are opened in advance, but not to the node a, which is missing from the snapshot.
func TestCachedListIsUsedAtOnceWhereListRequestsArePriced(t *testing.T) {
	s := newStartup(t, testSettings(300, "h", true))
	done := runScript(t, s, 25*time.Second, map[time.Duration]Event{0: Started{testNodes, testSnapshot},
		2500 * ms: ListReceived{testNodes}, 2600 * ms: RequestServed{"a"}})
	if use := actionsOf[UseCachedList](done); len(use) != 1 || use[0].doneAt != 0 {
		t.Errorf("cached list used: %v, want once at 0", use)
	}
	if restored := actionsOf[Restore](done); len(restored) != 1 || restored[0].action.(Restore).Node != "b" {
		t.Errorf("restored: %v, want b, which has not restarted", restored)
	}
	if lifted := actionsOf[LiftColdLimit](done); len(lifted) != 3 {
		t.Errorf("limits lifted: %v, want 3", lifted)
	}
	if connects := actionsOf[Connect](done); len(connects) == 0 || connects[len(connects)-1].action.(Connect).Node == "a" {
		t.Errorf("connects: %v, want some, the last of them not to a", connects)
	}
	if ready := actionsOf[ReportReady](done); len(ready) != 1 || ready[0].doneAt != readyDelay || s.Phase() != Serving {
		t.Errorf("ready reported: %v, phase %v; want one report after readyDelay and the phase Serving", ready, s.Phase())
	}
}

// A snapshot that is handed over before the list is received is applied when the list is received. A snapshot handed over
// afterwards is applied at once. From then on, connections are opened in advance, except to a node for which a peer reported
// a later start.
func TestSnapshotOfAnotherProcessIsRestored(t *testing.T) {
	for at, want := range map[time.Duration]string{500 * ms: "[b]", 3 * time.Second: "[b]"} {
		s := newStartup(t, testSettings(300, "h", true))
		done := runScript(t, s, 25*time.Second, map[time.Duration]Event{0: Started{CachedList: testNodes}, at: SnapshotReceived{append(testSnapshot[:2:2], Node{ID: "x"})},
			600 * ms: PeerReported{Node{ID: "c", StartTime: 9}}, 700 * ms: PeerReported{Node{ID: "a"}}, 2500 * ms: ListReceived{testNodes}, 4 * time.Second: SnapshotReceived{[]Node{{ID: "a"}}}})
		var restored, connected []string
		for _, d := range actionsOf[Restore](done) {
			restored = append(restored, d.action.(Restore).Node)
		}
		for _, d := range actionsOf[Connect](done) {
			if connected = append(connected, d.action.(Connect).Node); d.doneAt < at {
				t.Errorf("connected at %v, before the snapshot was received at %v", d.doneAt, at)
			}
		}
		if fmt.Sprint(restored) != want || slices.Contains(connected, "c") || !slices.Contains(connected, "b") {
			t.Errorf("snapshot received at %v: restored %v, connected %v; want b restored and connected, but not c", at, restored, connected)
		}
		if lifted := actionsOf[LiftColdLimit](done); len(lifted) != 3 || lifted[0].doneAt != 2500*ms {
			t.Errorf("limits lifted: %v, want 3 once the list was received", lifted)
		}
	}
}

// If list requests are not priced, the list is requested at once, and the cached list is used only after cachedListDelay
// without a received list.
func TestCachedListIsDelayedWhereListRequestsAreFree(t *testing.T) {
	s := newStartup(t, testSettings(300, "h", false))
	done := runScript(t, s, time.Second, map[time.Duration]Event{0: Started{CachedList: testNodes}, 100 * ms: ListRequestFailed{}, 120 * ms: RequestArrived{"a"}})
	if requests := actionsOf[RequestList](done); len(requests) < 2 || requests[0].doneAt != 0 || requests[1].doneAt > 100*ms+listRequestInterval*3/2+10*ms {
		t.Errorf("list requests: %v, want one at 0 and a retry after listRequestInterval", requests)
	}
	if use := actionsOf[UseCachedList](done); len(use) != 1 || use[0].doneAt != cachedListDelay || len(actionsOf[Reject](done)) != 1 {
		t.Errorf("actions: %v, want the cached list used after its delay and one rejection", done)
	}
}

// Without a list and a cached list, ready is reported at its deadline.
func TestReadyIsReportedByItsDeadlineWithoutAList(t *testing.T) {
	s := newStartup(t, testSettings(300, "h", true))
	done := runScript(t, s, 7*time.Second, map[time.Duration]Event{0: Started{}})
	if ready := actionsOf[ReportReady](done); len(ready) != 1 || ready[0].doneAt != s.settings.ReadyDeadline() || s.Phase() != NoList {
		t.Errorf("actions: %v, phase %v; want ready reported once, at its deadline, and the phase NoList", done, s.Phase())
	}
}

func TestSettingsOutOfBoundsAreRejected(t *testing.T) {
	_, err := New(Settings{Schedulers: 3, SlowStartUnits: math.NaN()})
	var c operr.Coded
	if !errors.As(err, &c) || c.Code() != "coldstart-setting" {
		t.Error(err)
	}
}
