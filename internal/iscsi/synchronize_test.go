package iscsi

import (
	"bytes"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// newCachingTarget returns a fake target that has a volatile cache.
func newCachingTarget(t *testing.T) *fakeTarget {
	s := newFakeTarget(t)
	s.cache = map[uint64][]byte{}
	return s
}

// newCachingEnv returns an environment whose storage target has a volatile cache.
func newCachingEnv(t *testing.T, objective float64) *testEnv {
	t.Helper()
	return newTestEnvWithPortals(t, objective, true, newCachingTarget(t))
}

func (s *fakeTarget) flushCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flushes
}

// synchronizeCDB returns a SYNCHRONIZE CACHE of either length.
func synchronizeCDB(opcode byte, lba uint64, blocks uint32) []byte {
	cdb := make([]byte, 16)
	cdb[0] = opcode
	if opcode == scsiSyncCache10 {
		be.PutUint32(cdb[2:], uint32(lba))
		be.PutUint16(cdb[7:], uint16(blocks))
		return cdb
	}
	be.PutUint64(cdb[2:], lba)
	be.PutUint32(cdb[10:], blocks)
	return cdb
}

func (c *fakeInitiator) synchronize(opcode byte, lba uint64, blocks uint32) outcome {
	c.t.Helper()
	return c.awaitResponse(c.startCommand(synchronizeCDB(opcode, lba, blocks), 0, 0, 0), nil)
}

// Guards against GOOD for SYNCHRONIZE CACHE, or for a write with FUA, whose data the storage target has in its cache only.
func TestSynchronizedWritesSurviveARestart(t *testing.T) {
	for name, acknowledge := range map[string]func(c *fakeInitiator, data []byte) outcome{
		"SYNCHRONIZE CACHE(10) of the unit": func(c *fakeInitiator, data []byte) outcome {
			c.write(8, data)
			return c.synchronize(scsiSyncCache10, 0, 0)
		},
		"SYNCHRONIZE CACHE(16) of the blocks": func(c *fakeInitiator, data []byte) outcome {
			c.write(8, data)
			return c.synchronize(scsiSyncCache16, 8, 2)
		},
		"a write with FUA": func(c *fakeInitiator, data []byte) outcome {
			cdb := block{write: true, lba: 8, blocks: 2, cacheBits: cdbForceUnitAccess}.cdb()
			return c.awaitResponse(c.startCommand(cdb[:], 0, 0x20, 1024), data)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newCachingEnv(t, longObjective)
			client := env.initiator(t)
			data := pattern(1024)
			if e := acknowledge(client, data); e.status != statusGood {
				t.Fatalf("ended with status 0x%x, sense key %x", e.status, e.senseKey)
			}
			env.restart()
			if e := client.readBlocks(8, 2); e.status != statusGood || !bytes.Equal(e.data, data) {
				t.Errorf("after the restart, the read ended with status 0x%x, and its data are those written: %v", e.status, bytes.Equal(e.data, data))
			}
		})
	}
}

// Guards against GOOD for SYNCHRONIZE CACHE although a storage target with a write has not confirmed it.
func TestSynchronizeFailsUnlessItIsConfirmed(t *testing.T) {
	for name, r := range map[string]reaction{
		"an error":          {status: statusCheckCondition, sense: sense{0x3, 0x0c00}.encodeFixed()},
		"busy":              {status: statusBusy},
		"not supported":     {status: statusCheckCondition, sense: senseBadOpcode.encodeFixed()},
		"a lost connection": {ending: cuts},
		"silence":           {ending: hangs},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const objective, limit = 400, 2 * time.Second // ms; the deadline is 0.8 s
			env := newCachingEnv(t, objective)
			env.flushReaction = r
			client := env.initiator(t)
			client.write(0, pattern(512))
			started := time.Now()
			e := client.synchronize(scsiSyncCache10, 0, 0)
			if e.status != statusCheckCondition || e.senseKey != senseAborted || time.Since(started) > limit {
				t.Errorf("ended with status 0x%x, sense key %x after %v", e.status, e.senseKey, time.Since(started))
			}
			if n := env.flushCount(); n != 1 {
				t.Errorf("the storage target got %d commands", n)
			}
		})
	}
}

// Guards against GOOD for a SYNCHRONIZE CACHE after a write that was lost with the cache, and whose repeat the storage target dropped and
// answered with GOOD.
func TestSynchronizeReportsTheLossOfADroppedRepeat(t *testing.T) {
	set := testSettings(longObjective)
	set.Classes[1].DedupScope = policy.DedupAll
	env := newTestEnvWithSettings(t, set, true, newCachingTarget(t))
	client := env.initiator(t)
	env.mu.Lock()
	env.cutStage, env.cutsLeft = cutExecuted, 1 // the write is in the cache, and its response is lost
	env.mu.Unlock()
	data := pattern(512)
	itt := client.startWrite(0, data)
	client.answerR2T(client.read(), data)
	for deadline := time.Now().Add(testWait); ; time.Sleep(time.Millisecond) {
		env.mu.Lock()
		executed := env.executed == 1
		if executed {
			clear(env.cache)
		}
		env.mu.Unlock()
		if executed {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the write was not executed")
		}
	}
	if e := client.awaitResponse(itt, data); e.status != statusGood {
		t.Fatalf("the write ended as %+v", e)
	}
	if e := client.synchronize(scsiSyncCache16, 0, 0); e.status != statusCheckCondition || e.senseKey != senseHardware {
		t.Errorf("SYNCHRONIZE CACHE ended as %+v, though the write is lost", e)
	}
	if e := client.synchronize(scsiSyncCache16, 0, 0); e.status != statusGood {
		t.Errorf("after the loss was reported: %+v", e)
	}
}

// Guards against GOOD for SYNCHRONIZE CACHE after the storage target has lost acknowledged writes with its cache.
func TestSynchronizeReportsALossOnceToEachWriter(t *testing.T) {
	env := newCachingEnv(t, longObjective)
	writer, other := env.initiator(t), connect(t, env.address)
	if status := other.login(stageOperational<<2|stageFull, pair{"InitiatorName", "iqn.other"}, pair{"TargetName", targetName}); status != 0 {
		t.Fatalf("login ended with status 0x%04x", status)
	}
	writer.write(0, pattern(512))
	env.restart()
	if e := other.readBlocks(0, 1); e.status != statusGood { // on a new session
		t.Fatalf("a read ended with status 0x%x", e.status)
	}
	if e := other.synchronize(scsiSyncCache10, 0, 0); e.status != statusGood {
		t.Errorf("an initiator without a write got status 0x%x, sense key %x", e.status, e.senseKey)
	}
	if e := writer.synchronize(scsiSyncCache10, 0, 0); e.status != statusCheckCondition || e.senseKey != senseHardware {
		t.Errorf("the writer got status 0x%x, sense key %x", e.status, e.senseKey)
	}
	writer.write(0, pattern(512))
	if e := writer.synchronize(scsiSyncCache10, 0, 0); e.status != statusGood {
		t.Errorf("after the next write, the writer got status 0x%x, sense key %x", e.status, e.senseKey)
	}
}

// A storage target without a write since is not asked again, and may be unreachable.
func TestSynchronizeReachesTargetsWithAWriteSince(t *testing.T) {
	env := newCachingEnv(t, longObjective)
	client := env.initiator(t)
	for _, x := range []struct {
		writes bool
		want   int // flushes in all
	}{{false, 1}, {false, 1}, {true, 2}, {false, 2}} {
		if x.writes {
			client.write(0, pattern(512))
		}
		if e := client.synchronize(scsiSyncCache16, 0, 0); e.status != statusGood || env.flushCount() != x.want {
			t.Errorf("status 0x%x, sense key %x, %d commands at the storage target, want %d", e.status, e.senseKey, env.flushCount(), x.want)
		}
	}
	if e := client.synchronize(scsiSyncCache10, 4096, 1); e.senseKey != senseIllegalRequest {
		t.Errorf("beyond the unit's end: status 0x%x, sense key %x", e.status, e.senseKey)
	}
	unreachable := newCachingTarget(t)
	unreachable.cutStage, unreachable.cutsLeft = cutLogin, 1000
	client = newTestEnvWithPortals(t, longObjective, true, unreachable).initiator(t)
	if e := client.synchronize(scsiSyncCache10, 0, 0); e.status != statusGood {
		t.Errorf("without a write, an unreachable target made it end with status 0x%x, sense key %x", e.status, e.senseKey)
	}
}

// A storage target that drains holds its data still.
func TestSynchronizeReachesADrainingTarget(t *testing.T) {
	env := newCachingEnv(t, longObjective)
	client := env.initiator(t)
	client.write(0, pattern(512))
	conf, _ := env.dialer.storageTarget("st")
	env.core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{Addresses: conf.Addresses,
		Node: policy.Node{ID: "st", Shard: conf.Shard, State: policy.NodeDraining, Weight: 1}}}})
	if e := client.synchronize(scsiSyncCache10, 0, 0); e.status != statusGood || env.flushCount() != 1 {
		t.Errorf("status 0x%x, sense key %x, %d commands at the storage target", e.status, e.senseKey, env.flushCount())
	}
}

// Guards against a SYNCHRONIZE CACHE with no answer when the process ends, and against BUSY for one that may run.
func TestSynchronizeAtTheEnd(t *testing.T) {
	env := newCachingEnv(t, longObjective)
	env.flushReaction = reaction{ending: hangs}
	client := env.initiator(t)
	client.write(0, pattern(512))
	itt := client.startCommand(synchronizeCDB(scsiSyncCache10, 0, 0), 0, 0, 0)
	for started := time.Now(); env.flushCount() == 0; time.Sleep(time.Millisecond) {
		if time.Since(started) > 5*time.Second {
			t.Fatal("the storage target did not get the command")
		}
	}
	env.target.Finish()
	finished := time.Now()
	e := client.awaitResponse(itt, nil)
	if waited := time.Since(finished); e.status != statusCheckCondition || e.senseKey != senseAborted || waited > time.Second {
		t.Errorf("ended with status 0x%x, sense key %x after %v", e.status, e.senseKey, waited)
	}
}

// Guards against an initiator that does not know of the cache, and so never sends SYNCHRONIZE CACHE.
func TestCachingModePage(t *testing.T) {
	env := newCachingEnv(t, longObjective)
	client := env.initiator(t)
	for _, x := range []struct {
		name  string
		cdb   []byte
		at    int // of the page
		cache byte
	}{
		{"the page", []byte{scsiModeSense6, 0, modePageCaching, 0, 255}, 4, cachingPageWriteCache},
		{"all pages", []byte{scsiModeSense6, 0, modePagesAll, 0, 255}, 4, cachingPageWriteCache},
		{"all pages, 10", []byte{scsiModeSense10, 0, modePagesAll, 0, 0, 0, 0, 0, 255}, 8, cachingPageWriteCache},
		{"changeable values", []byte{scsiModeSense6, 0, modeValuesChangeable<<modePageControlShift | modePageCaching, 0, 255}, 4, 0},
	} {
		cdb := make([]byte, 16)
		copy(cdb, x.cdb)
		e := client.awaitResponse(client.startCommand(cdb, 0, 0x40, 255), nil)
		if e.status != statusGood || len(e.data) != x.at+cachingPageLength || e.data[x.at] != modePageCaching || e.data[x.at+2] != x.cache {
			t.Errorf("%s: status 0x%x, data %x", x.name, e.status, e.data)
		}
	}
	saved := make([]byte, 16)
	copy(saved, []byte{scsiModeSense6, 0, modeValuesSaved<<modePageControlShift | modePageCaching, 0, 255})
	if e := client.awaitResponse(client.startCommand(saved, 0, 0x40, 255), nil); e.senseKey != senseIllegalRequest {
		t.Errorf("saved values: status 0x%x, sense key %x", e.status, e.senseKey)
	}
}
