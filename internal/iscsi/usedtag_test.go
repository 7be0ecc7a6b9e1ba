package iscsi

import (
	"bytes"
	"testing"
)

// A second response of a storage target to a command that has ended, while the next command is outstanding, is never taken for
// the response to that one: its task tag is not in use.
func TestResponseWithUsedTagIsDropped(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	first, second := pattern(512), bytes.Repeat([]byte("2"), 512)
	client.write(0, first)
	client.write(1, second)
	for range 5 {
		if e := client.readBlocks(0, 1); e.status != statusGood || !bytes.Equal(e.data, first) {
			t.Fatalf("first read ended with status 0x%x, %.20q", e.status, e.data)
		}
		hold := make(chan struct{})
		env.mu.Lock()
		session, usedTag := env.lastSession, env.lastTag
		env.hold = hold
		env.mu.Unlock()
		cdb := block{lba: 1, blocks: 1}.cdb()
		itt := client.startCommand(cdb[:], 0, 0x40, 512)
		<-env.holding
		session.respond(usedTag, false, first, statusGood, nil)
		env.mu.Lock()
		env.hold = nil
		env.mu.Unlock()
		close(hold)
		if e := client.awaitResponse(itt, nil); e.status != statusGood || !bytes.Equal(e.data, second) {
			t.Errorf("second read ended with status 0x%x, %.20q, want its own data", e.status, e.data)
		}
	}
}
