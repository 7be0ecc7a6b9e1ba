package iscsi

import (
	"net"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// stop makes a portal unreachable: it closes its listener and its last session.
func (s *fakeTarget) stop() {
	s.ln.Close()
	s.mu.Lock()
	session := s.lastSession
	s.mu.Unlock()
	if session != nil {
		session.conn.Close()
	}
}

// start makes the portal accept connections again.
func (s *fakeTarget) start() {
	s.t.Helper()
	ln, err := net.Listen("tcp", s.ln.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln = ln
	s.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
}

// readUntil reads until a condition holds. Reads may fail meanwhile.
func readUntil(t *testing.T, c *fakeInitiator, what string, condition func() bool) {
	t.Helper()
	for range 5000 {
		if e := c.readBlocks(0, 1); e.status != statusGood {
			continue // failed by the change of portal
		}
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(what, ": condition was not met in time")
}

func (s *fakeTarget) loginCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logins
}

func (s *fakeTarget) commandCount() int { received, _ := s.counts(); return received }

// New commands use the next portal when the first is down, and the first again after its recovery.
func TestCommandsMoveBetweenPortals(t *testing.T) {
	a, b := newFakeTarget(t), newFakeTarget(t)
	env := newTestEnvWithPortals(t, 30e3, false, a, b)
	client := env.initiator(t)
	for range 5 {
		if e := client.readBlocks(0, 1); e.status != statusGood {
			t.Fatalf("read ended as %+v", e)
		}
	}
	if a.commandCount() != 5 || b.commandCount() != 0 {
		t.Fatalf("the first and second portal got %d and %d commands, want 5 and 0", a.commandCount(), b.commandCount())
	}
	a.stop()
	readUntil(t, client, "commands on the next portal", func() bool { return b.commandCount() > 0 })
	before := a.commandCount()
	for range 20 {
		if e := client.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("read ended as %+v", e)
		}
	}
	if a.commandCount() != before {
		t.Error("commands reached a portal that is down")
	}
	a.start()
	readUntil(t, client, "recovery of the first portal", func() bool { return a.commandCount() > before })
	after := b.commandCount()
	for range 20 {
		client.readBlocks(0, 1)
	}
	if b.commandCount() != after {
		t.Error("commands still use the second portal after the recovery of the first one")
	}
}

// A portal stops responding with a write in flight. The write is not sent through another portal and ends on
// its own session. New commands use the next portal meanwhile.
func TestPortalStopsRespondingWithWriteInFlight(t *testing.T) {
	a, b := newFakeTarget(t), newFakeTarget(t)
	env := newTestEnvWithPortals(t, 30e3, false, a, b)
	client := env.initiator(t)
	client.readBlocks(0, 1)
	itt, _ := env.startHeldWrite(client)
	other := env.otherInitiator(t)
	for b.commandCount() == 0 && b.loginCount() == 0 {
		time.Sleep(time.Millisecond) // the missing response is detected without another command
	}
	for range 2 { // after more responses the scheduler would treat the write as lost
		if e := other.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("read ended as %+v", e)
		}
	}
	close(env.hold)
	a.mu.Lock()
	a.hold = nil
	a.mu.Unlock()
	if e := client.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("the write ended as %+v", e)
	}
	for _, s := range []*fakeTarget{a, b} {
		s.mu.Lock()
		if n := len(s.disk); s == a && n != 2 || s == b && n != 0 {
			t.Errorf("a portal has %d blocks written, want 2 on the first one and none on the second", n)
		}
		s.mu.Unlock()
	}
}

// A portal that belongs to another target rejects the login. The other portal serves the commands, and the first one is used
// once it accepts logins.
func TestPortalOfAnotherTarget(t *testing.T) {
	a, b := newFakeTarget(t), newFakeTarget(t)
	a.loginStatus = loginNotFound
	env := newTestEnvWithPortals(t, 30e3, false, a, b)
	client := env.initiator(t)
	for range 10 {
		if e := client.readBlocks(0, 1); e.status != statusGood {
			t.Fatalf("read ended as %+v", e)
		}
	}
	if a.commandCount() != 0 || b.commandCount() != 10 {
		t.Errorf("the first and second portal got %d and %d commands, want 0 and 10", a.commandCount(), b.commandCount())
	}
	a.mu.Lock()
	a.loginStatus = 0
	a.mu.Unlock()
	readUntil(t, client, "recovery of the first portal", func() bool { return a.commandCount() > 0 })
}

// After a reload with another portal, new commands use it, and a write in flight ends on its session
// with the old portal.
func TestReloadOfPortals(t *testing.T) {
	a, b := newFakeTarget(t), newFakeTarget(t)
	env := newTestEnvWithPortals(t, 30e3, true, a)
	client := env.initiator(t)
	itt, _ := env.startHeldWrite(client)
	conf := *env.target.conf
	conf.Storage = append(conf.Storage[:0:0], conf.Storage...)
	newAddresses := newTestEnvWithPortals(t, 30e3, true, b).target.conf.Storage[0].Addresses
	conf.Storage[0].Addresses = newAddresses
	env.dialer.Update(&conf)
	env.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: Nodes(&conf)})
	other := env.otherInitiator(t)
	for range 5 {
		if e := other.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("read ended as %+v", e)
		}
	}
	if b.commandCount() != 5 {
		t.Errorf("%d commands on the new portal, want 5", b.commandCount())
	}
	close(env.hold)
	if e := client.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("the write ended as %+v", e)
	}
	<-a.logouts
}
