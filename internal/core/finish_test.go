package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// What comes after Finish, also in the turn that has it, is refused at once and sent nowhere.
func TestArrivalsAfterFinishAreRejected(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, open := r.submit("open", "read", time.Minute)
	<-r.node("n").sent
	release := r.blockActor()
	_, before := r.submit("before", "read", time.Minute)
	r.Finish()
	_, behind := r.submit("behind", "read", time.Minute)
	release()
	expectAnswer(t, open, Failed)
	expectAnswer(t, before, Rejected)
	expectAnswer(t, behind, Rejected)
	_, later := r.submit("later", "read", time.Minute)
	expectAnswer(t, later, Rejected)
	if n := len(r.node("n").sent); n > 0 {
		t.Errorf("%d sent after Finish", n)
	}
	if held := r.TableSizes().Requests; held != 1 { // whose attempt is out
		t.Errorf("%d held", held)
	}
}

// Every request that is handed over gets its answer, also one that waits in the mailbox of an actor that ends, or
// comes after its end.
func TestStopAnswersAllRequests(t *testing.T) {
	c, err := New(Options{Settings: settings(), Log: nullLog()})
	if err != nil {
		t.Fatal(err)
	}
	r := &fixture{Core: c, t: t}
	release := r.blockActor()
	waits := make([]chan Answer, 8)
	for i := range waits {
		_, waits[i] = r.submit("waits", "read", time.Minute)
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
	for range 2 * mailboxSize { // also past what a mailbox holds
		_, got := r.submit("late", "read", time.Minute)
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
