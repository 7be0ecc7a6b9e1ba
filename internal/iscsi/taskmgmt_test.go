package iscsi

import (
	"errors"
	"io"
	"testing"
	"time"

	"wheatsaddle/internal/taskset"
	"wheatsaddle/policy"
)

// requestFunction sends a task management function for LUN 0 without waiting for its response.
func (c *fakeInitiator) requestFunction(function byte, itt uint32) {
	c.t.Helper()
	c.requestFunctionAt(0, function, itt)
}

func (c *fakeInitiator) requestFunctionAt(lun uint16, function byte, itt uint32) {
	c.t.Helper()
	q := newPDU(opTaskMgmtReq, 9000+itt)
	q.bhs[0] |= flagImmediate
	q.bhs[1] = flagFinal | function
	encodeLUN(q.bhs[8:], lun)
	q.put32(20, itt)
	q.put32(24, c.cmdSN)
	c.send(q)
}

// awaitFunction receives the response to a function.
func (c *fakeInitiator) awaitFunction() byte {
	c.t.Helper()
	r := c.read()
	if r.op() != opTaskMgmtResp {
		c.t.Fatalf("received %v, want a task management response", r)
	}
	return r.bhs[2]
}

// requestLogout sends a logout without waiting for its response.
func (c *fakeInitiator) requestLogout(reason byte) {
	c.t.Helper()
	q := newPDU(opLogoutReq, 50)
	q.bhs[0] |= flagImmediate
	q.bhs[1] = flagFinal | reason
	q.put32(24, c.cmdSN)
	c.send(q)
}

// awaitLogout receives the response to a logout, and the end of the session if there is one.
func (c *fakeInitiator) awaitLogout(ends bool) byte {
	c.t.Helper()
	r := c.read()
	if r.op() != opLogoutResp {
		c.t.Fatalf("received %v, want a logout response", r)
	}
	if ends {
		if _, err := c.receiveFraming.read(c.reader); !errors.Is(err, io.EOF) {
			c.t.Errorf("after the logout: reading a PDU returned error %v, want EOF", err)
		}
	}
	return r.bhs[2]
}

// expectSilence fails if the target under test sends something within a while.
func (c *fakeInitiator) expectSilence() {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if b, err := c.reader.Peek(bhsLen); err == nil {
		c.t.Fatalf("received PDU 0x%02x, want none", b[0]&0x3f)
	}
	_ = c.conn.SetReadDeadline(time.Time{})
}

// startDelayedWrite starts a write that the fake target executes after a while, and returns once the fake target has its data.
func (env *testEnv) startDelayedWrite(c *fakeInitiator, r reaction) (itt uint32) {
	c.t.Helper()
	received := make(chan struct{}, 8)
	env.mu.Lock()
	env.react = func(int) reaction { received <- struct{}{}; return r }
	env.mu.Unlock()
	data := pattern(1024)
	itt = c.startWrite(0, data)
	c.answerR2T(c.read(), data)
	<-received
	return itt
}

// awaitAborts waits until the fake target has received a number of ABORT TASK requests.
func (env *testEnv) awaitAborts(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(testWait); ; time.Sleep(time.Millisecond) {
		env.mu.Lock()
		aborts := env.aborts
		env.mu.Unlock()
		if aborts == count {
			return
		}
		if aborts > count || time.Now().After(end) {
			t.Fatalf("the storage target received %d ABORT TASK requests, want %d", aborts, count)
		}
	}
}

var abortingFunctions = map[string]byte{"ABORT TASK": tmAbortTask, "ABORT TASK SET": tmAbortTaskSet, "CLEAR TASK SET": tmClearTaskSet,
	"LOGICAL UNIT RESET": tmLUNReset, "TARGET WARM RESET": tmWarmReset, "TARGET COLD RESET": tmColdReset}

// Guards against the response "function complete" over a write that the storage target still has.
func TestAbortWaitsForTheOutcomeOfAWrite(t *testing.T) {
	for name, function := range abortingFunctions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, longObjective, false)
			client := env.initiator(t)
			itt, _ := env.startHeldWrite(client)
			client.requestFunction(function, itt)
			client.expectSilence()
			close(env.hold)
			if e := client.awaitResponse(itt, nil); e.status != statusGood { // it ran before the abort had an effect
				t.Errorf("the write ended as %+v", e)
			}
			if code := client.awaitFunction(); code != tmComplete {
				t.Errorf("response %d", code)
			}
			if received, executed := env.counts(); received != 1 || executed != 1 {
				t.Errorf("%d commands received, %d executed", received, executed)
			}
			if function == tmColdReset {
				return
			}
			if client.requestFunction(tmAbortTask, itt); client.awaitFunction() != tmNoTask {
				t.Error("the ended write is still known")
			}
		})
	}
}

// A function fails if the outcome of a write does not come in time, or cannot come any more. The write then gets its own response.
func TestAbortFailsOverAWriteThatMayRun(t *testing.T) {
	for name, function := range abortingFunctions {
		t.Run(name+", no response", func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, longObjective, false)
			env.target.effects.limit = 200 * time.Millisecond
			client := env.initiator(t)
			itt, _ := env.startHeldWrite(client)
			client.requestFunction(function, itt)
			if code := client.awaitFunction(); code != tmRejected {
				t.Errorf("response %d", code)
			}
			close(env.hold)
			if function == tmColdReset {
				return
			}
			if e := client.awaitResponse(itt, nil); e.status != statusGood {
				t.Errorf("the write ended as %+v", e)
			}
		})
		t.Run(name+", connection cut", func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, longObjective, false)
			client := env.initiator(t)
			itt := env.startDelayedWrite(client, reaction{delay: 200 * time.Millisecond, executes: true, ending: cuts})
			client.requestFunction(function, itt)
			outcomes := map[byte]*pdu{} // by opcode; they may come in either order
			for range 2 {
				p, err := client.receiveFraming.read(client.reader)
				if err != nil && function == tmColdReset { // the session ends with its response
					break
				}
				outcomes[p.op()] = p
			}
			if r := outcomes[opTaskMgmtResp]; r == nil || r.bhs[2] != tmRejected {
				t.Errorf("received %v, want a failure of the function", r)
			}
			if r := outcomes[opSCSIResponse]; function != tmColdReset && (r == nil || senseKey(r.data[2:]) != senseHardware) {
				t.Errorf("received %v, want HARDWARE ERROR", r)
			}
		})
	}
}

// A write that has a response that it may have run may still run: functions over it fail, or wait for the storage target's late response.
func TestAbortAfterAnAnswerInDoubt(t *testing.T) {
	for name, x := range map[string]struct {
		reaction reaction
		want     byte
	}{
		"connection cut": {reaction{executes: true, ending: cuts}, tmRejected},
		"late response":  {reaction{delay: 1500 * time.Millisecond, executes: true}, tmComplete},
		"no response":    {reaction{ending: hangs}, tmRejected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 500, false) // the deadline is 1 s
			env.target.effects.limit = 2 * time.Second
			client, other := env.initiator(t), env.otherInitiator(t)
			itt := env.startDelayedWrite(client, x.reaction)
			if e := client.awaitResponse(itt, nil); e.senseKey != senseHardware {
				t.Errorf("the write ended as %+v", e)
			}
			other.requestFunction(tmLUNReset, 0)
			client.requestFunction(tmAbortTask, itt)
			wantAbort := x.want
			if wantAbort == tmComplete {
				wantAbort = tmNoTask
			}
			if code := client.awaitFunction(); code != wantAbort {
				t.Errorf("ABORT TASK: response %d, want %d", code, wantAbort)
			}
			if code := other.awaitFunction(); code != x.want {
				t.Errorf("LOGICAL UNIT RESET: response %d, want %d", code, x.want)
			}
			env.mu.Lock()
			env.react = nil
			logins := env.logins
			env.mu.Unlock()
			if e := client.readBlocks(0, 1); e.status != statusGood {
				t.Errorf("the next command ended as %+v", e)
			}
			if x.want == tmComplete && logins != 1 {
				t.Errorf("%d logins at the storage target: its late response broke the connection", logins)
			}
		})
	}
}

// Guards against functions without a bound: an initiator sends resets while a write is held.
func TestFunctionsAreBounded(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	itt, _ := env.startHeldWrite(client)
	const further = 3
	for range maxFunctions + further {
		client.requestFunction(tmLUNReset, 0)
	}
	for range further {
		if code := client.awaitFunction(); code != tmRejected {
			t.Errorf("a reset beyond the bound: response %d", code)
		}
	}
	close(env.hold)
	if e := client.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("the write ended as %+v", e)
	}
	for range maxFunctions {
		if code := client.awaitFunction(); code != tmComplete {
			t.Errorf("a reset within the bound: response %d", code)
		}
	}
}

// A reset covers the writes of all sessions, and an abort of a task set only those of its own.
func TestResetCoversOtherSessions(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	writer, other := env.initiator(t), env.otherInitiator(t)
	itt, _ := env.startHeldWrite(writer)
	other.requestFunction(tmAbortTaskSet, 0)
	if code := other.awaitFunction(); code != tmComplete {
		t.Errorf("ABORT TASK SET: response %d", code)
	}
	other.requestFunction(tmLUNReset, 0)
	other.expectSilence()
	close(env.hold)
	if e := writer.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("the other session's write ended as %+v", e)
	}
	if code := other.awaitFunction(); code != tmComplete {
		t.Errorf("LOGICAL UNIT RESET: response %d", code)
	}
}

// An aborted command that has no effect gets no response of its own: a read, a write that is not sent, and one whose data are missing.
func TestAbortOfCommandsWithoutEffect(t *testing.T) {
	for name, function := range abortingFunctions {
		if function == tmColdReset {
			continue
		}
		t.Run(name+", read", func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			env.hold = make(chan struct{})
			client := env.initiator(t)
			cdb := block{lba: 0, blocks: 1}.cdb()
			itt := client.startCommand(cdb[:], 0, 0x40, 512)
			<-env.holding
			client.requestFunction(function, itt)
			if code := client.awaitFunction(); code != tmComplete {
				t.Errorf("response %d", code)
			}
			env.awaitAborts(t, 1) // before the storage target responds, which would make them superfluous
			close(env.hold)
			client.expectSilence()
		})
		t.Run(name+", not sent", func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			env.cutStage, env.cutsLeft = cutLogin, 1<<30
			client := env.initiator(t)
			data := pattern(1024)
			itt := client.startWrite(0, data)
			client.answerR2T(client.read(), data)
			time.Sleep(100 * time.Millisecond) // some attempts have failed, and another one waits
			client.requestFunction(function, itt)
			if code := client.awaitFunction(); code != tmComplete {
				t.Errorf("response %d", code)
			}
			env.mu.Lock()
			env.cutsLeft = 0
			env.mu.Unlock()
			client.expectSilence()
			if received, _ := env.counts(); received != 0 {
				t.Errorf("%d commands received after the abort", received)
			}
		})
		t.Run(name+", data missing", func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			client := env.initiator(t)
			data := pattern(1024)
			itt := client.startWrite(0, data)
			r2t := client.read()
			client.requestFunction(function, itt)
			if code := client.awaitFunction(); code != tmComplete {
				t.Errorf("response %d", code)
			}
			client.answerR2T(r2t, data)
			client.expectSilence()
			if received, _ := env.counts(); received != 0 {
				t.Errorf("%d commands received after the abort", received)
			}
			env.waitUntilBuffersAreFree(t)
		})
	}
}

// Guards against a function that cannot be carried out and yet aborts a task: its response says that nothing was done.
func TestFunctionThatIsNotCarriedOutAbortsNothing(t *testing.T) {
	const unknownLUN, unknownFunction = 9, 100
	for name, x := range map[string]struct {
		function byte
		lun      uint16
		want     byte
	}{
		"ABORT TASK SET, unknown LUN":     {tmAbortTaskSet, unknownLUN, tmNoLUN},
		"CLEAR TASK SET, unknown LUN":     {tmClearTaskSet, unknownLUN, tmNoLUN},
		"LOGICAL UNIT RESET, unknown LUN": {tmLUNReset, unknownLUN, tmNoLUN},
		"ABORT TASK, unknown LUN":         {tmAbortTask, unknownLUN, tmNoTask},
		"CLEAR ACA":                       {tmClearACA, 0, tmNotSupported},
		"TASK REASSIGN":                   {tmReassign, 0, tmNoReassign},
		"unknown function":                {unknownFunction, 0, tmNotSupported},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			client := env.initiator(t)
			itt, _ := env.startHeldWrite(client)
			client.requestFunctionAt(x.lun, x.function, itt)
			if code := client.awaitFunction(); code != x.want {
				t.Errorf("response %d, want %d", code, x.want)
			}
			close(env.hold)
			if e := client.awaitResponse(itt, nil); e.status != statusGood {
				t.Errorf("the write ended as %+v", e)
			}
		})
	}
}

// If a function fails over one write, the other commands that it aborted get a response: they did not run, or are reads.
func TestFailedFunctionAnswersItsOtherTasks(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	env.target.effects.limit = 300 * time.Millisecond
	client := env.initiator(t)
	held, data := env.startHeldWrite(client)
	cdb := block{lba: 8, blocks: 1}.cdb()
	read := client.startCommand(cdb[:], 0, 0x40, 512)
	<-env.holding
	incomplete := client.startWrite(16, data)
	client.read()
	client.requestFunction(tmLUNReset, 0)
	outcomes := map[uint32]*pdu{}
	for range 3 {
		p := client.read()
		outcomes[p.tag()] = p
	}
	if p := outcomes[9000]; p == nil || p.bhs[2] != tmRejected {
		t.Errorf("LOGICAL UNIT RESET: %v, want a failure", p)
	}
	if p := outcomes[incomplete]; p == nil || p.bhs[3] != statusBusy && p.bhs[3] != statusTaskSetFull {
		t.Errorf("the write whose data are missing: %v, want that it did not run", p)
	}
	if p := outcomes[read]; p == nil || p.bhs[3] != statusCheckCondition || senseKey(p.data[2:]) != senseAborted {
		t.Errorf("the read: %v, want ABORTED COMMAND", p)
	}
	close(env.hold)
	if e := client.awaitResponse(held, nil); e.status != statusGood {
		t.Errorf("the write at the storage target ended as %+v", e)
	}
	client.expectSilence()
}

// Guards against a logout that is confirmed while a write may still run. Error recovery level 0 rejects a logout for recovery.
func TestLogout(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	itt, _ := env.startHeldWrite(client)
	client.requestLogout(2)
	if code := client.awaitLogout(false); code != logoutNoRecovery {
		t.Errorf("logout for recovery: response %d", code)
	}
	client.requestLogout(0)
	client.expectSilence()
	close(env.hold)
	if e := client.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("the write ended as %+v", e)
	}
	if code := client.awaitLogout(true); code != logoutClosed {
		t.Errorf("logout: response %d", code)
	}
	if n := env.core.OpenRequests(); n != 0 {
		t.Errorf("%d requests are still open in the core, want none", n)
	}
}

// A logout reports that its cleanup failed if a write may still run, and ends the session.
func TestLogoutOverAWriteThatMayRun(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	env.target.effects.limit = 200 * time.Millisecond
	client := env.initiator(t)
	env.startHeldWrite(client)
	defer close(env.hold)
	client.requestLogout(0)
	if code := client.awaitLogout(true); code != logoutCleanupFailed {
		t.Errorf("logout: response %d", code)
	}
}

// Guards against a login, by an initiator whose session has ended, that is confirmed while a write of the old session may still run. An
// initiator port that logs in again also ends its old session.
func TestLoginAwaitsWritesOfFormerSessions(t *testing.T) {
	for name, x := range map[string]struct {
		isid   string
		closes bool // the initiator closes the old session
	}{
		"reinstatement":            {"", false},
		"same port after a close":  {"", true},
		"other port after a close": {"\x80\x00\x00\x00\x00\x02", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, longObjective, false)
			old := env.initiator(t)
			env.startHeldWrite(old)
			if x.closes {
				old.conn.Close()
				for deadline := time.Now().Add(time.Minute); env.target.OpenSessions() > 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
			}
			loggedIn := make(chan *fakeInitiator, 1)
			go func() { loggedIn <- env.initiatorAs(t, x.isid) }()
			select {
			case <-loggedIn:
				t.Fatal("logged in while the write may still run")
			case <-time.After(300 * time.Millisecond):
			}
			close(env.hold)
			client := <-loggedIn
			if !x.closes {
				if _, err := old.receiveFraming.read(old.reader); err == nil {
					t.Error("the old session stays open")
				}
			}
			if e := client.readBlocks(0, 1); e.status != statusGood {
				t.Errorf("read ended as %+v", e)
			}
			if n := env.core.OpenRequests(); n != 0 {
				t.Errorf("%d requests are still open in the core, want none", n)
			}
			if _, executed := env.counts(); executed != 2 {
				t.Errorf("%d commands executed, want the write and the read", executed)
			}
		})
	}
}

// An initiator is asked to come again while a write of its old session may still run.
func TestLoginOverAWriteThatMayRun(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	env.target.effects.limit = 200 * time.Millisecond
	env.startHeldWrite(env.initiator(t))
	login := func() uint16 {
		return connect(t, env.address).login(stageOperational<<2|stageFull, pair{"InitiatorName", "iqn.client"}, pair{"TargetName", targetName})
	}
	if status := login(); status != loginBusy {
		t.Errorf("login ended with status 0x%04x, want 0x%04x", status, loginBusy)
	}
	if status := connect(t, env.address).login(stageOperational<<2|stageFull, pair{"InitiatorName", "iqn.other"}, pair{"TargetName", targetName}); status != 0 {
		t.Errorf("login of another initiator ended with status 0x%04x", status)
	}
	close(env.hold)
	for deadline := time.Now().Add(time.Minute); login() != 0; {
		if time.Now().After(deadline) {
			t.Fatal("no login after the write has run")
		}
	}
}

// Guards against a login that is confirmed while a write of a former session, whose connection to the storage target was lost, may still run.
func TestLoginAwaitsAWriteWhoseConnectionWasLost(t *testing.T) {
	const runsAfter, lostPeriod = 700 * time.Millisecond, 1500 * time.Millisecond
	for name, isid := range map[string]string{"same port": "", "other port": "\x80\x00\x00\x00\x00\x02"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, longObjective, false)
			env.target.effects.set = taskset.New(lostPeriod)
			old := env.initiator(t)
			itt := env.startDelayedWrite(old, reaction{delay: runsAfter, executes: true, ending: cutsFirst})
			if e := old.awaitResponse(itt, nil); e.status != statusCheckCondition {
				t.Errorf("the write ended as %+v", e)
			}
			old.conn.Close()
			for status := loginBusy; status != 0; {
				time.Sleep(time.Millisecond)
				c := connect(t, env.address)
				c.isid = isid
				status = int(c.login(stageOperational<<2|stageFull, pair{"InitiatorName", "iqn.client"}, pair{"TargetName", targetName}))
				if status != 0 && status != loginBusy {
					t.Fatalf("login ended with status 0x%04x", status)
				}
			}
			if _, executed := env.counts(); executed != 1 {
				t.Errorf("%d writes had run at the login, want the one whose connection was lost", executed)
			}
		})
	}
}

// Guards against a login or a reset at the process that replaces another one, confirmed over a write of the former one that may still run.
func TestNextProcessAwaitsWritesOfTheFormerOne(t *testing.T) {
	const lostPeriod = 500 * time.Millisecond
	former, next := newTestEnv(t, longObjective, false), newTestEnv(t, longObjective, false)
	former.target.effects.set = taskset.New(lostPeriod)
	former.startHeldWrite(former.initiator(t))
	defer close(former.hold)
	next.target.effects.limit = lostPeriod / 5
	next.target.AddFormerWrites(former.target.FormerWrites())
	login := func(c *fakeInitiator, initiator string) uint16 {
		return c.login(stageOperational<<2|stageFull, pair{"InitiatorName", initiator}, pair{"TargetName", targetName})
	}
	if status := login(connect(t, next.address), "iqn.client"); status != loginBusy {
		t.Errorf("login ended with status 0x%04x, want 0x%04x", status, loginBusy)
	}
	other := connect(t, next.address)
	if status := login(other, "iqn.other"); status != 0 {
		t.Errorf("login of another initiator ended with status 0x%04x", status)
	}
	other.requestFunction(tmLUNReset, 0)
	if code := other.awaitFunction(); code != tmRejected {
		t.Errorf("LOGICAL UNIT RESET: response %d, want %d", code, tmRejected)
	}
	for deadline := time.Now().Add(time.Minute); login(connect(t, next.address), "iqn.client") != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no login after the write can have no effect any more")
		}
	}
}

// A write that repeats what a lost session had open runs after it, and the old one does not run after the new one.
func TestWriteOfAFormerSessionDoesNotOvertake(t *testing.T) {
	set := testSettings(longObjective)
	set.Classes[1].DedupScope = policy.DedupAll
	target := newFakeTarget(t)
	env := newTestEnvWithSettings(t, set, true, target)
	old := env.initiator(t)
	env.startDelayedWrite(old, reaction{delay: 500 * time.Millisecond, executes: true})
	old.conn.Close()
	client := env.initiator(t)
	if _, executed := env.counts(); executed != 1 {
		t.Errorf("%d writes were executed before the login", executed)
	}
	env.mu.Lock()
	env.react = nil
	env.mu.Unlock()
	if e := client.write(0, pattern(1024)); e.status != statusGood {
		t.Errorf("the repeat ended as %+v", e)
	}
	if _, executed := env.counts(); executed != 2 {
		t.Errorf("%d writes were executed", executed)
	}
}
