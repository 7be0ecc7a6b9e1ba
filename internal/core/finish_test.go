package core

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// What comes after Finish, also in the turn that has it, is refused at once and sent nowhere.
func TestAfterFinishRefused(t *testing.T) {
	r := start(t, settings())
	r.list(policy.CachedListLoaded, node("n", 0, policy.NodeUp))
	_, open := r.ask("open", "read", time.Minute)
	<-r.peer("n").sent
	release := r.hold()
	_, before := r.ask("before", "read", time.Minute)
	r.Finish()
	_, behind := r.ask("behind", "read", time.Minute)
	release()
	one(t, open, Failed)
	one(t, before, Rejected)
	one(t, behind, Rejected)
	_, later := r.ask("later", "read", time.Minute)
	one(t, later, Rejected)
	if n := len(r.peer("n").sent); n > 0 {
		t.Errorf("%d sent after Finish", n)
	}
	if held := r.TableSizes().Requests; held != 1 { // whose attempt is out
		t.Errorf("%d held", held)
	}
}

// Every request that is handed over gets its answer, also one that waits in the mailbox of an actor that ends, or
// comes after its end.
func TestStopAnswersAll(t *testing.T) {
	c, err := New(Options{Settings: settings(), Log: nullLog()})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Core: c, t: t}
	release := r.hold()
	waits := make([]chan Answer, 8)
	for i := range waits {
		_, waits[i] = r.ask("waits", "read", time.Minute)
	}
	close(c.stop)
	release()
	<-c.ended
	c.refuseLeft() // as Stop does
	for i, got := range waits {
		select {
		case <-got:
		default:
			t.Errorf("request %d has no answer", i)
		}
	}
	for range 2 * mailboxSize { // also past what a mailbox holds
		_, got := r.ask("late", "read", time.Minute)
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
