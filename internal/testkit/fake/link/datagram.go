package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxDatagramSize = 64 << 10              // bytes
	reorderTimeout  = 50 * time.Millisecond // maximum wait of a reordered datagram for the next one
)

// forwardDatagrams forwards one direction. What arrives at one socket is sent from the other, so that each party sees the
// other at one address.
func (l *Link) forwardDatagrams(d Direction) {
	defer l.wg.Done()
	rng := rand.New(rand.NewPCG(l.opt.Seed, uint64(d)))
	in, out := l.udp[d], l.udp[1-d]
	var mu sync.Mutex
	var pending func() // sends the datagram that Reorder holds back
	b := make([]byte, maxDatagramSize)
	for {
		n, from, err := in.ReadFrom(b)
		if err != nil {
			select {
			case <-l.done:
				return
			default:
				continue // an ICMP error caused by an earlier datagram
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
			continue // the first party's address is not configured and it has sent nothing yet
		}
		f, _, _ := l.currentFault(d)
		// Each datagram takes the same draws whatever the fault, so that switching a fault does not shift those of later ones.
		lost, duplicated, reordered, jitter := rng.Float64() < f.Loss, rng.Float64() < f.Duplicate, rng.Float64() < f.Reorder, rng.Float64()
		count := func(count func(*Counts)) { l.count(d, count) }
		switch {
		case f.Cut:
			count(func(c *Counts) { c.Cut++ })
			continue
		case f.Silent:
			count(func(c *Counts) { c.Silenced++ })
			continue
		case lost:
			count(func(c *Counts) { c.Lost++ })
			continue
		}
		copies := 1
		if duplicated {
			copies = 2
			count(func(c *Counts) { c.Duplicated++ })
		}
		data := append([]byte(nil), b[:n]...)
		send := func() {
			for range copies {
				l.sendDatagram(d, out, data, to)
			}
		}
		if delay := f.Delay + time.Duration(jitter*float64(f.Jitter)); delay > 0 {
			count(func(c *Counts) { c.Delayed++ })
			l.sendAfter(delay, send)
			continue
		}
		mu.Lock()
		previous := pending
		pending = nil
		if reordered && previous == nil {
			count(func(c *Counts) { c.Reordered++ })
			var once sync.Once
			sendOnce := func() { once.Do(send) }
			pending = sendOnce
			mu.Unlock()
			l.sendAfter(reorderTimeout, sendOnce)
			continue
		}
		mu.Unlock()
		send()
		if previous != nil {
			previous()
		}
	}
}

func (l *Link) sendDatagram(d Direction, out *net.UDPConn, data []byte, to net.Addr) {
	if _, err := out.WriteTo(data, to); err == nil {
		l.count(d, func(c *Counts) { c.Chunks++; c.Bytes += len(data) })
	}
}

// sendAfter calls send after a delay unless the link closes before.
func (l *Link) sendAfter(delay time.Duration, send func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
			send()
		case <-l.done:
		}
	}()
}
