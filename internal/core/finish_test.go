package core

import (
	"testing"

	"wheatsaddle/policy"
)

// Requests after Finish, also in the same iteration, are rejected at once and not dispatched.
func TestArrivalsAfterFinishAreRejected(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, open := r.submit("open", "read")
	<-r.node("n").sent
	release := r.blockActor()
	_, before := r.submit("before", "read")
	r.Finish()
	_, behind := r.submit("behind", "read")
	release()
	expectAnswer(t, open, Failed)
	expectAnswer(t, before, Rejected)
	expectAnswer(t, behind, Rejected)
	_, later := r.submit("later", "read")
	expectAnswer(t, later, Rejected)
	if n := len(r.node("n").sent); n > 0 {
		t.Errorf("%d dispatched after Finish", n)
	}
	if open := r.TableSizes().Requests; open != 1 { // the one with an outstanding attempt
		t.Errorf("%d requests in the table", open)
	}
}

// Every submitted request gets its answer, also one that waits in the mailbox of an actor that ends, or one that arrives
// after its end.
func TestStopAnswersAllRequests(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: nullLog()})
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{Core: c, t: t}
	release := r.blockActor()
	waits := make([]chan Answer, 8)
	for i := range waits {
		_, waits[i] = r.submit("waits", "read")
	}
	close(c.stop)
	release()
	<-c.ended
	c.rejectRemaining() // as Stop does
	for i, got := range waits {
		select {
		case <-got:
		default:
			t.Errorf("request %d has no answer", i)
		}
	}
	for range 2 * mailboxSize { // also beyond the capacity of the mailbox
		_, got := r.submit("late", "read")
		select {
		case a := <-got:
			if a.Kind != Rejected {
				t.Fatalf("%+v", a)
			}
		default:
			t.Fatal("a request after the end has no answer")
		}
	}
}
