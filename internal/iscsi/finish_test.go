package iscsi

import (
	"testing"
	"time"
)

// finish answers the open commands as the process does at the end of its shutdown.
func (env *testEnv) finish() {
	env.target.Finish()
	env.core.Finish()
}

// Guards against commands without an answer at the end of the process: a storage target hangs, and the deadlines are longer
// than the shutdown.
func TestFinishAnswersEachCommand(t *testing.T) {
	const limit = 2 * time.Second // the deadlines are longObjective and more
	env := newTestEnv(t, longObjective, false)
	env.mu.Lock()
	env.hold = make(chan struct{})
	env.mu.Unlock()
	t.Cleanup(func() { close(env.hold) })
	data := pattern(1024)
	reading, writing, sending := env.initiator(t), env.otherInitiator(t), env.initiatorAs(t, "\x80\x00\x00\x00\x00\x03")
	cdb := block{lba: 0, blocks: 2}.cdb()
	read := reading.startCommand(cdb[:], 0, 0x40, 1024)
	<-env.holding
	write := writing.startWrite(0, data) // runs, and its response is not sent
	writing.answerR2T(writing.read(), data)
	<-env.holding
	incomplete := sending.startWrite(0, data)
	request := sending.read()
	started := time.Now()
	env.finish()
	for name, x := range map[string]struct {
		outcome          outcome
		status, senseKey byte
	}{
		"a read that hangs":              {reading.awaitResponse(read, nil), statusCheckCondition, senseAborted},
		"a write that may have run":      {writing.awaitResponse(write, data), statusCheckCondition, senseHardware},
		"a write whose data are missing": {sending.awaitResponse(incomplete, data), statusBusy, 0},
	} {
		if x.outcome.status != x.status || x.outcome.senseKey != x.senseKey {
			t.Errorf("%s ended with status 0x%x, sense key %x, want 0x%x, %x", name, x.outcome.status, x.outcome.senseKey, x.status, x.senseKey)
		}
	}
	sending.answerR2T(request, data) // the rest of the data arrives too late
	if took := time.Since(started); took > limit {
		t.Errorf("answered after %v, want within %v", took, limit)
	}
	if _, executed := env.counts(); executed != 2 {
		t.Errorf("%d commands ran, want 2", executed)
	}
}

// Commands that arrive after Finish are rejected, and the sessions end once the initiators have had time to log out.
func TestCommandAfterFinishIsRejected(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	env.finish()
	if e := client.write(0, pattern(512)); e.status != statusBusy {
		t.Errorf("write ended with status 0x%x, want 0x%x", e.status, statusBusy)
	}
	env.target.StopAccepting()
	for deadline := time.Now().Add(2 * time.Second); env.target.OpenSessions() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions are open", env.target.OpenSessions())
		}
	}
}

// A function that waits for a write fails at the end of the process, and the write gets its response.
func TestFinishAnswersWaitingFunctions(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	itt, _ := env.startHeldWrite(client)
	t.Cleanup(func() { close(env.hold) })
	client.requestFunction(tmAbortTask, itt)
	client.expectSilence()
	env.finish()
	var response, function byte
	for range 2 {
		switch p := client.read(); p.op() {
		case opSCSIResponse:
			response = senseKey(p.data[2:])
		case opTaskMgmtResp:
			function = p.bhs[2]
		default:
			t.Fatalf("received %v", p)
		}
	}
	if response != senseHardware || function != tmRejected {
		t.Errorf("the write ended with sense key %x, the function with %d", response, function)
	}
}
