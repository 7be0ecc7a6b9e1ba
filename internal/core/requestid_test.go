package core

import (
	"os"
	"path/filepath"
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

// newIDsBesideAnother returns ids that are shared with a process which owns the id "other". prepare is called with their folder
// and journal.
func newIDsBesideAnother(t *testing.T, prepare func(folder string, journal *requestid.Journal)) *requestid.Registry {
	t.Helper()
	folder := t.TempDir()
	other := openJournalIn(t, folder)
	if _, err := other.Publish(requestid.KeyOf("other"), time.Minute, false); err != nil {
		t.Fatal(err)
	}
	journal := openJournalIn(t, folder)
	prepare(folder, journal)
	ids := newIDs()
	ids.SetJournal(journal)
	return ids
}

// fillFiles makes the journal's files so long that nothing more is written to them. They can still be read.
func fillFiles(t *testing.T, folder string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("files %v, %v", paths, err)
	}
	for _, path := range paths {
		if err := os.Truncate(path, 2<<20); err != nil {
			t.Fatal(err)
		}
	}
}

// While ids cannot be shared and another process is there, only requests that may be repeated run.
func TestUnsharedIDRunsOnlyIfItMayBeRepeated(t *testing.T) {
	ids := newIDsBesideAnother(t, func(folder string, _ *requestid.Journal) { fillFiles(t, folder) })
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

// Guards against the rejection of an id that may have run at the other process, whose records cannot be read.
func TestIDThatMayHaveRunElsewhereFails(t *testing.T) {
	core := startCoreSharingIDs(t, newIDsBesideAnother(t, func(_ string, journal *requestid.Journal) {
		if err := journal.Close(); err != nil {
			t.Fatal(err)
		}
	}))
	_, answers := core.submit("once", "record")
	if a := expectAnswer(t, answers, Failed); a.Reason != ReasonUnpublished {
		t.Errorf("answer %+v", a)
	}
	core.submit("repeatable", "read")
	<-core.node("n").sent
}

// Guards against the rejection of an id before its admission while an earlier request under it may have run: its client would send the
// request again under a new id.
func TestOwnedIDIsNotRejectedBeforeAdmission(t *testing.T) {
	reject := map[string]func(*fixture, *Request){
		"by a front": func(core *fixture, r *Request) { core.Reject(r, time.Second, ReasonMemory) },
		"at the end": func(core *fixture, r *Request) { core.Finish(); core.Submit(r) },
	}
	for name, reject := range reject {
		t.Run(name, func(t *testing.T) {
			core := startCoreSharingIDs(t, newIDs())
			for _, class := range []string{"read", "record"} {
				first, _ := core.submit(class, class)
				(<-core.node("n").sent).Claim()
				core.Cancel(first) // its client has left, and sends the request once more
				core.OpenRequests()
			}
			for _, class := range []string{"read", "record"} {
				again, answers := core.newRequest(class, class, time.Minute)
				want := Failed
				if class == "read" {
					want = Rejected // it may run any number of times
				}
				reject(core, again)
				expectAnswer(t, answers, want)
				other, answers := core.newRequest("other "+class, class, time.Minute)
				reject(core, other)
				expectAnswer(t, answers, Rejected)
			}
		})
	}
}
