package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	datagramMost = 64 << 10
	behindMost   = 50 * time.Millisecond // a reordered datagram waits so long for another
)

// datagrams carries one direction: what comes at one socket leaves by the other, so that each party
// has the other at one address.
func (l *Link) datagrams(d Direction) {
	defer l.wg.Done()
	rng := rand.New(rand.NewPCG(l.opt.Seed, uint64(d)))
	in, out := l.udp[d], l.udp[1-d]
	var mu sync.Mutex
	var behind func()
	b := make([]byte, datagramMost)
	for {
		n, from, err := in.ReadFrom(b)
		if err != nil {
			select {
			case <-l.done:
				return
			default:
				continue // an ICMP answer to what was sent before
			}
		}
		l.mu.Lock()
		to := l.to
		if d == Forward && l.from == nil {
			l.from = from
		}
		if d == Backward {
			to = l.from
		}
		l.mu.Unlock()
		if to == nil {
			continue // the first party has not spoken, and nobody said where it is
		}
		f, _, _ := l.now(d)
		// Each datagram takes the same draws whatever the fault: switching one moves no other.
		lost, doubled, reordered, late := rng.Float64() < f.Loss, rng.Float64() < f.Double, rng.Float64() < f.Reorder, rng.Float64()
		drop := func(count func(*Counts)) { l.count(d, count) }
		switch {
		case f.Cut:
			drop(func(c *Counts) { c.Cut++ })
			continue
		case f.Silent:
			drop(func(c *Counts) { c.Silenced++ })
			continue
		case lost:
			drop(func(c *Counts) { c.Lost++ })
			continue
		}
		times := 1
		if doubled {
			times = 2
			drop(func(c *Counts) { c.Doubled++ })
		}
		data := append([]byte(nil), b[:n]...)
		send := func() {
			for range times {
				l.send(d, out, data, to)
			}
		}
		if span := f.Delay + time.Duration(late*float64(f.Jitter)); span > 0 {
			drop(func(c *Counts) { c.Delayed++ })
			l.later(span, send)
			continue
		}
		mu.Lock()
		held := behind
		behind = nil
		if reordered && held == nil {
			drop(func(c *Counts) { c.Reordered++ })
			var once sync.Once
			alone := func() { once.Do(send) }
			behind = alone
			mu.Unlock()
			l.later(behindMost, alone)
			continue
		}
		mu.Unlock()
		send()
		if held != nil {
			held()
		}
	}
}

func (l *Link) send(d Direction, out *net.UDPConn, data []byte, to net.Addr) {
	if _, err := out.WriteTo(data, to); err == nil {
		l.count(d, func(c *Counts) { c.Pieces++; c.Bytes += len(data) })
	}
}

// later does something after a while, unless the link closes before.
func (l *Link) later(span time.Duration, do func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		t := time.NewTimer(span)
		defer t.Stop()
		select {
		case <-t.C:
			do()
		case <-l.done:
		}
	}()
}
