package link

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	piece    = 16 << 10
	piecesOn = 64                     // read ahead of one direction
	again    = 200 * time.Millisecond // a lost piece of a stream is sent again after this
	dialMost = 5 * time.Second
)

// pipe is one TCP connection over the link: ends[Forward] is the dialer's side.
type pipe struct {
	l     *Link
	ends  [2]*net.TCPConn
	known Conn // under the link's lock
	dead  chan struct{}
	once  sync.Once
	half  [2]bool // the receiver of that direction was reset; under the link's lock
}

// unit is a piece on its way; nil: the sender's end.
type unit struct {
	data []byte
	at   time.Time
}

// accept serves a gate; flip: its dialers are the second party.
func (l *Link) accept(g *gate, to string, flip bool) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			nc, err := g.accept(l.done)
			if err != nil {
				return
			}
			l.take(nc.(*net.TCPConn), to, flip)
		}
	}()
}

func (l *Link) take(nc *net.TCPConn, to string, flip bool) {
	p := &pipe{l: l, dead: make(chan struct{}), known: Conn{Opened: time.Now()}}
	dir := Forward
	if flip {
		dir = Backward
	}
	p.ends[dir] = nc
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	seq := uint64(l.opened)
	l.counts[dir].Conns++
	if l.closing || l.fault[Forward].Cut && l.fault[Backward].Cut {
		if !l.closing {
			l.counts[dir].Cut++
		}
		broken(nc)
		return
	}
	if l.fault[dir].HalfOpen {
		l.counts[dir].Half++ // it has no other side at all
		p.half[dir] = true
	}
	half := p.half[dir]
	l.conns[p] = true
	l.all = append(l.all, p)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer func() {
			l.mu.Lock()
			delete(l.conns, p)
			l.mu.Unlock()
		}()
		if half {
			_, _ = io.Copy(io.Discard, nc) // until its dialer ends it, or the link closes
			p.over()
			nc.Close()
			return
		}
		far, err := net.DialTimeout("tcp", to, dialMost)
		if err != nil {
			p.over()
			broken(nc) // as the dialer would have met: nobody is there
			return
		}
		l.mu.Lock()
		p.ends[1-dir], p.known.Out = far.(*net.TCPConn), far.LocalAddr().String()
		l.mu.Unlock()
		select {
		case <-p.dead: // while it dialled
			broken(far.(*net.TCPConn))
		default:
		}
		var both sync.WaitGroup
		for d := range p.ends {
			both.Add(1)
			go func() {
				defer both.Done()
				p.flow(Direction(d), dir, rand.New(rand.NewPCG(l.opt.Seed, seq*2+uint64(d))))
			}()
		}
		both.Wait()
		p.over()
		p.ends[0].Close()
		p.ends[1].Close()
	}()
}

// broken ends a connection so that its peer sees it reset.
func broken(nc *net.TCPConn) {
	if nc != nil {
		_ = nc.SetLinger(0)
		nc.Close()
	}
}

// over notes the end of the connection for its dialer.
func (p *pipe) over() {
	p.l.mu.Lock()
	if p.known.Ended.IsZero() {
		p.known.Ended = time.Now()
	}
	p.l.mu.Unlock()
}

// reset ends both sides by RST.
func (p *pipe) reset(dir Direction, count func(*Counts)) {
	p.once.Do(func() {
		p.l.count(dir, count)
		p.over()
		close(p.dead)
		p.l.mu.Lock()
		ends := p.ends
		p.l.mu.Unlock()
		broken(ends[0])
		broken(ends[1])
	})
}

// flow carries one direction until its sender ends or the connection is broken.
func (p *pipe) flow(d, dialer Direction, rng *rand.Rand) {
	from, to := p.ends[d], p.ends[1-d]
	on := make(chan unit, piecesOn)
	go func() {
		defer close(on)
		for {
			b := make([]byte, piece)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case on <- unit{b[:n], time.Now()}:
				case <-p.dead:
					return
				}
			}
			if err != nil {
				if d == dialer {
					p.over()
				}
				if !errors.Is(err, io.EOF) && !p.isHalf(1-d) {
					p.reset(d, func(*Counts) {}) // the sender broke it: so is it for the receiver
				}
				return
			}
		}
	}()
	defer func() {
		for range on { // its reader ends with the connection
		}
	}()
	passed, since, cut := 0, 0, false
	for u := range on {
		for len(u.data) > 0 {
			f, set, _ := p.l.now(d)
			if set != since {
				since, passed = set, 0
			}
			switch {
			case cut || p.isHalf(d):
				u.data = nil
				continue
			case f.Cut:
				cut = true
				p.l.count(d, func(c *Counts) { c.Cut++ })
				_ = to.CloseWrite()
				continue
			case f.HalfOpen:
				p.halve(d)
				continue
			}
			if !p.hold(d, f, set, u, rng) {
				if p.isDead() {
					return
				}
				continue // the fault changed meanwhile
			}
			n := len(u.data)
			if f.Trickle > 0 {
				n = min(n, max(1, f.Trickle/100))
			}
			if f.ResetAfter > 0 {
				n = min(n, f.ResetAfter-passed)
			}
			if _, err := to.Write(u.data[:n]); err != nil {
				if !p.isHalf(d) {
					broken(from) // its sender is to see that nobody reads on
				}
				u.data = nil
				continue
			}
			passed += n
			u.data = u.data[n:]
			p.l.count(d, func(c *Counts) { c.Pieces++; c.Bytes += n })
			if f.ResetAfter > 0 && passed >= f.ResetAfter {
				p.reset(d, func(c *Counts) { c.Reset++ })
				return
			}
			if f.Trickle > 0 {
				p.l.count(d, func(c *Counts) { c.Trickled++ })
				if !p.wait(d, time.Duration(n)*time.Second/time.Duration(f.Trickle), set) && p.isDead() {
					return
				}
			}
		}
	}
	if !p.isHalf(d) && !p.isHalf(1-d) {
		p.silence(d) // an end is not heard either
		_ = to.CloseWrite()
	}
}

// hold lets a piece wait as the fault says; false: the fault changed or the connection is over, and
// the piece has not passed.
func (p *pipe) hold(d Direction, f Fault, set int, u unit, rng *rand.Rand) bool {
	if f.Silent {
		p.l.count(d, func(c *Counts) { c.Silenced++ })
		p.silence(d)
		return false
	}
	until := u.at
	if f.Delay > 0 || f.Jitter > 0 {
		until = until.Add(f.Delay)
		if f.Jitter > 0 {
			until = until.Add(time.Duration(rng.Int64N(int64(f.Jitter) + 1)))
		}
		p.l.count(d, func(c *Counts) { c.Delayed++ })
	}
	if f.Loss > 0 && rng.Float64() < f.Loss {
		until = until.Add(again)
		p.l.count(d, func(c *Counts) { c.Lost++ })
	}
	return p.wait(d, time.Until(until), set)
}

// silence waits while the direction is silent.
func (p *pipe) silence(d Direction) {
	for {
		f, _, changed := p.l.now(d)
		if !f.Silent || p.isDead() {
			return
		}
		select {
		case <-changed:
		case <-p.dead:
		}
	}
}

// wait is false where the fault was set anew, or the connection is over, before its time.
func (p *pipe) wait(d Direction, span time.Duration, set int) bool {
	if span <= 0 {
		return !p.isDead()
	}
	t := time.NewTimer(span)
	defer t.Stop()
	for {
		_, now, changed := p.l.now(d)
		if now != set {
			return false
		}
		select {
		case <-t.C:
			return true
		case <-changed:
		case <-p.dead:
			return false
		}
	}
}

func (p *pipe) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

func (p *pipe) isHalf(d Direction) bool {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	return p.half[d]
}

// halve breaks the receiver's side of a direction; its sender is told nothing, and hears no more.
func (p *pipe) halve(d Direction) {
	p.l.mu.Lock()
	p.half[d] = true
	p.l.counts[d].Half++
	p.l.mu.Unlock()
	broken(p.ends[1-d])
}
