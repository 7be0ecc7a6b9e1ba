package core

import (
	"testing"

	"wheatsaddle/policy"
)

// Requests that arrive after Finish, even in the same iteration, are rejected at once and not dispatched.
func TestArrivalsAfterFinishAreRejected(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	_, open := core.submit("open", "read")
	<-core.node("n").sent
	release := core.blockActor()
	_, before := core.submit("before", "read")
	core.Finish()
	_, after := core.submit("behind", "read")
	release()
	expectAnswer(t, open, Failed)
	expectAnswer(t, before, Rejected)
	expectAnswer(t, after, Rejected)
	_, later := core.submit("later", "read")
	expectAnswer(t, later, Rejected)
	if n := len(core.node("n").sent); n > 0 {
		t.Errorf("%d attempts were dispatched after Finish, want 0", n)
	}
	if open := core.TableSizes().Requests; open != 1 { // the request with an outstanding attempt
		t.Errorf("%d requests in the table, want 1", open)
	}
}

// Every submitted request gets an answer, including one that is in the mailbox when the actor ends and one that arrives
// after that.
func TestStopAnswersAllRequests(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: nullLog()})
	if err != nil {
		t.Fatal(err)
	}
	core := &fixture{Core: c, t: t}
	release := core.blockActor()
	answersByRequest := make([]chan Answer, 8)
	for i := range answersByRequest {
		_, answersByRequest[i] = core.submit("waits", "read")
	}
	close(c.stop)
	release()
	<-c.ended
	c.rejectRemaining() // as Stop does
	for i, answers := range answersByRequest {
		select {
		case <-answers:
		default:
			t.Errorf("request %d has no answer", i)
		}
	}
	for range 2 * mailboxSize { // more than the capacity of the mailbox
		_, answers := core.submit("late", "read")
		select {
		case answer := <-answers:
			if answer.Kind != Rejected {
				t.Fatalf("answer %+v, want a rejection", answer)
			}
		default:
			t.Fatal("a request after the end of the actor has no answer")
		}
	}
}
