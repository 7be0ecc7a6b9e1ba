package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/policy"
)

// startCoreSharingIDs starts a core with a node n whose ids are in the registry.
func startCoreSharingIDs(t *testing.T, ids *requestid.Registry) *fixture {
	t.Helper()
	core := &fixture{t: t}
	c, err := New(Options{Settings: testSettings(), Seed: 7, Log: nullLog(), NewNodeClient: core.newNodeClient, IDs: ids})
	if err != nil {
		t.Fatal(err)
	}
	core.Core = c
	t.Cleanup(c.Stop)
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	return core
}

func newIDs() *requestid.Registry { return requestid.NewRegistry(memory.NewAccount(1 << 20)) }

// expectRefusedID submits an id and expects the answer to an id that is owned.
func (f *fixture) expectRefusedID(id, class string) {
	f.t.Helper()
	_, answers := f.submit(id, class)
	if a := expectAnswer(f.t, answers, Failed); a.Cause != CauseDuplicateID {
		f.t.Errorf("id %s: answer %+v, want cause %s", id, a, CauseDuplicateID)
	}
}

// Guards against an id that runs again after its client has left: it stays owned until its window ends.
func TestIDStaysOwnedAfterDisconnect(t *testing.T) {
	for _, class := range []string{"read", "record"} {
		synctest.Test(t, func(t *testing.T) {
			core := startCoreSharingIDs(t, newIDs())
			request, _ := core.submit("a", class)
			first := <-core.node("n").sent
			if !first.Claim() {
				t.Fatal("the attempt was not granted")
			}
			core.Cancel(request)
			core.expectRefusedID("a", class)
			first.Done(Result{Status: policy.Cancelled})
			core.expectRefusedID("a", class)
			time.Sleep(time.Minute + idWindow)
			core.submit("a", class)
			<-core.node("n").sent
		})
	}
}

// Guards against an id that runs again after its answer, at the same front or at the other one.
func TestIDStaysOwnedAfterItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := newIDs()
		core, otherFront := startCoreSharingIDs(t, ids), startCoreSharingIDs(t, ids)
		_, answers := core.submit("a", "record")
		attempt := <-core.node("n").sent
		otherFront.expectRefusedID("a", "record")
		attempt.Claim()
		attempt.Done(Result{Status: policy.OK})
		expectAnswer(t, answers, Served)
		core.expectRefusedID("a", "record")
		otherFront.expectRefusedID("a", "record")
	})
}

// An id whose request has never run is free at once, so its client may send it again.
func TestIDThatNeverRanIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := newIDs()
		core := startCoreSharingIDs(t, ids)
		request, _, disconnected := core.newDisconnectingRequest("a", "record")
		core.Submit(request)
		first := <-core.node("n").sent
		disconnected.Store(true)
		if first.Claim() {
			t.Fatal("the attempt was granted after its client had disconnected")
		}
		first.Done(Result{Status: policy.Abandoned})
		core.Cancel(request)
		core.checkTablesEmpty()
		if counts, _ := ids.Counts(); counts.Owned != 0 {
			t.Errorf("%+v after a request that has never run", counts)
		}
		core.submit("a", "record")
		<-core.node("n").sent
	})
}

// Ids of open requests stay owned when the decision module is replaced, as their attempts may run.
func TestIDsStayOwnedOverARestartOfTheModule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := startCoreSharingIDs(t, newIDs())
		_, answers := core.submit("a", "record")
		(<-core.node("n").sent).Claim()
		core.panicModule()
		expectAnswer(t, answers, Failed)
		core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
		core.expectRefusedID("a", "record")
	})
}

// openJournalIn opens a journal that the registry shares its ids by.
func openJournalIn(t *testing.T, folder string) *requestid.Journal {
	t.Helper()
	journal, err := requestid.OpenJournal(folder, "127.0.0.1:8443")
	if err != nil {
		t.Fatal(err)
	}
	return journal
}

// Guards against an id that runs at both processes of an upgrade.
func TestIDRunsAtOneProcessOfAnUpgrade(t *testing.T) {
	folder := t.TempDir()
	cores := make([]*fixture, 2)
	for i := range cores {
		ids := newIDs()
		ids.SetJournal(openJournalIn(t, folder))
		t.Cleanup(ids.Close)
		cores[i] = startCoreSharingIDs(t, ids)
	}
	for _, class := range []string{"read", "record"} {
		request, _ := cores[0].submit(class, class)
		(<-cores[0].node("n").sent).Claim()
		cores[0].Cancel(request)
		cores[1].expectRefusedID(class, class)
		select {
		case <-cores[1].node("n").sent:
			t.Errorf("%s: the other process has sent an attempt", class)
		default:
		}
	}
}

// While ids cannot be shared and another process is there, only requests that may be repeated run.
func TestUnsharedIDRunsOnlyIfItMayBeRepeated(t *testing.T) {
	folder := t.TempDir()
	other := openJournalIn(t, folder)
	if _, err := other.Publish(requestid.KeyOf("other"), time.Minute, false); err != nil {
		t.Fatal(err)
	}
	journal := openJournalIn(t, folder)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	ids := newIDs()
	ids.SetJournal(journal)
	core := startCoreSharingIDs(t, ids)
	_, answers := core.submit("once", "record")
	if a := expectAnswer(t, answers, Rejected); a.Reason != ReasonUnpublished || a.RetryAfter <= 0 {
		t.Errorf("answer %+v", a)
	}
	core.submit("repeatable", "read")
	<-core.node("n").sent
	if _, failed := ids.Counts(); failed != 2 {
		t.Errorf("%d failed publications are counted, want 2", failed)
	}
	if ids.TakeError() == nil || ids.TakeError() != nil {
		t.Error("want the first error once")
	}
}
