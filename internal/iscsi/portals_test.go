package iscsi

import (
	"net"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// stop makes a portal refuse: its listener and its sessions end.
func (s *standin) stop() {
	s.ln.Close()
	s.mu.Lock()
	last := s.last
	s.mu.Unlock()
	if last != nil {
		last.conn.Close()
	}
}

// start makes it accept again.
func (s *standin) start() {
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

// until reads until a condition holds; each read must be served.
func until(t *testing.T, c *initiator, what string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if e := c.readBlocks(0, 1); e.status != statusGood {
			continue // caught on the way
		}
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal(what, ": it never came to it")
}

func (s *standin) logged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logins
}

func (s *standin) came1() int { came, _ := s.counts(); return came }

// New commands go by the next portal when one refuses, and back once it is good again.
func TestPortals(t *testing.T) {
	a, b := newStandin(t), newStandin(t)
	p := pathTo(t, 30e3, false, a, b)
	c := p.initiator(t)
	for range 5 {
		if e := c.readBlocks(0, 1); e.status != statusGood {
			t.Fatalf("%+v", e)
		}
	}
	if a.came1() != 5 || b.came1() != 0 {
		t.Fatalf("%d and %d commands", a.came1(), b.came1())
	}
	a.stop()
	until(t, c, "the next portal", func() bool { return b.came1() > 0 })
	before := a.came1()
	for range 20 {
		if e := c.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("%+v", e)
		}
	}
	if a.came1() != before {
		t.Error("commands went to a portal that is gone")
	}
	a.start()
	until(t, c, "the way back", func() bool { return a.came1() > before })
	after := b.came1()
	for range 20 {
		c.readBlocks(0, 1)
	}
	if b.came1() != after {
		t.Error("commands go by both")
	}
}

// A portal falls silent with a write in flight: the write is not sent by another, and ends on its
// own session; new commands go by the next portal meanwhile.
func TestPortalHangsWithWriteInFlight(t *testing.T) {
	a, b := newStandin(t), newStandin(t)
	p := pathTo(t, 30e3, false, a, b)
	c := p.initiator(t)
	c.readBlocks(0, 1)
	itt, _ := p.heldWrite(c)
	other := p.another(t)
	for b.came1() == 0 && b.logged() == 0 {
		time.Sleep(time.Millisecond) // its silence is seen without another command
	}
	for range 2 { // after more answers the module gives the write up for lost
		if e := other.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("%+v", e)
		}
	}
	close(p.hold)
	a.mu.Lock()
	a.hold = nil
	a.mu.Unlock()
	if e := c.finish(itt, nil); e.status != statusGood {
		t.Errorf("the write ended %+v", e)
	}
	for _, s := range []*standin{a, b} {
		s.mu.Lock()
		if n := len(s.disk); s == a && n != 2 || s == b && n != 0 {
			t.Errorf("%d blocks written", n)
		}
		s.mu.Unlock()
	}
}

// A portal at which another target answers refuses the login: it is wrong, and the rest serve.
func TestPortalOfAnotherTarget(t *testing.T) {
	a, b := newStandin(t), newStandin(t)
	a.refuse = loginNotFound
	p := pathTo(t, 30e3, false, a, b)
	c := p.initiator(t)
	for range 10 {
		if e := c.readBlocks(0, 1); e.status != statusGood {
			t.Fatalf("%+v", e)
		}
	}
	if a.came1() != 0 || b.came1() != 10 {
		t.Errorf("%d and %d commands", a.came1(), b.came1())
	}
	a.mu.Lock()
	a.refuse = 0
	a.mu.Unlock()
	until(t, c, "the way back", func() bool { return a.came1() > 0 })
}

// The configuration is read again with other portals: the session moves, and what is out ends
// where it is.
func TestPortalsChange(t *testing.T) {
	a, b := newStandin(t), newStandin(t)
	p := pathTo(t, 30e3, true, a)
	c := p.initiator(t)
	itt, _ := p.heldWrite(c)
	conf := *p.target.conf
	conf.Storage = append(conf.Storage[:0:0], conf.Storage...)
	d := pathTo(t, 30e3, true, b).target.conf.Storage[0].Addresses
	conf.Storage[0].Addresses = d
	p.dialer.Update(&conf)
	p.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: Nodes(&conf)})
	other := p.another(t)
	for range 5 {
		if e := other.readBlocks(0, 1); e.status != statusGood {
			t.Errorf("%+v", e)
		}
	}
	if b.came1() != 5 {
		t.Errorf("%d commands by the new portal", b.came1())
	}
	close(p.hold)
	if e := c.finish(itt, nil); e.status != statusGood {
		t.Errorf("the write ended %+v", e)
	}
	<-a.logouts
}
