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
	chunkSize       = 16 << 10               // bytes
	maxQueuedChunks = 64                     // chunks read ahead in one direction
	retransmitDelay = 200 * time.Millisecond // delay of a lost chunk of a stream
	dialTimeout     = 5 * time.Second
)

// pipe is one TCP connection over the link. ends[Forward] is the first party's side.
type pipe struct {
	l        *Link
	ends     [2]*net.TCPConn
	info     Conn // guarded by the link's lock
	closed   chan struct{}
	once     sync.Once
	halfOpen [2]bool // the receiver of that direction was reset; guarded by the link's lock
}

// chunk is data in flight with the time of its receipt.
type chunk struct {
	data     []byte
	received time.Time
}

// accept accepts a listener's connections and connects each to the address to. fromSecond says that their dialer is the
// second party.
func (l *Link) accept(h *heldListener, to string, fromSecond bool) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for {
			nc, err := h.accept(l.done)
			if err != nil {
				return
			}
			l.startPipe(nc.(*net.TCPConn), to, fromSecond)
		}
	}()
}

func (l *Link) startPipe(nc *net.TCPConn, to string, fromSecond bool) {
	p := &pipe{l: l, closed: make(chan struct{}), info: Conn{Opened: time.Now()}}
	dir := Forward
	if fromSecond {
		dir = Backward
	}
	p.ends[dir] = nc
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted++
	seq := uint64(l.accepted)
	l.counts[dir].Conns++
	if l.closing || l.fault[Forward].Cut && l.fault[Backward].Cut {
		if !l.closing {
			l.counts[dir].Cut++
		}
		resetConn(nc)
		return
	}
	if l.fault[dir].HalfOpen {
		l.counts[dir].HalfOpen++ // the address to is not dialled
		p.halfOpen[dir] = true
	}
	halfOpen := p.halfOpen[dir]
	l.openPipes[p] = true
	l.allPipes = append(l.allPipes, p)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer func() {
			l.mu.Lock()
			delete(l.openPipes, p)
			l.mu.Unlock()
		}()
		if halfOpen {
			_, _ = io.Copy(io.Discard, nc) // until the dialer or the link closes it
			p.recordEnd()
			nc.Close()
			return
		}
		target, err := net.DialTimeout("tcp", to, dialTimeout)
		if err != nil {
			p.recordEnd()
			resetConn(nc) // the dialer sees a reset if nothing listens at the address to
			return
		}
		l.mu.Lock()
		p.ends[1-dir], p.info.OutboundAddr = target.(*net.TCPConn), target.LocalAddr().String()
		l.mu.Unlock()
		select {
		case <-p.closed: // reset during the dial
			resetConn(target.(*net.TCPConn))
		default:
		}
		var both sync.WaitGroup
		for d := range p.ends {
			both.Add(1)
			go func() {
				defer both.Done()
				p.forward(Direction(d), dir, rand.New(rand.NewPCG(l.opt.Seed, seq*2+uint64(d))))
			}()
		}
		both.Wait()
		p.recordEnd()
		p.ends[0].Close()
		p.ends[1].Close()
	}()
}

// resetConn aborts a connection with RST.
func resetConn(nc *net.TCPConn) {
	if nc != nil {
		_ = nc.SetLinger(0)
		nc.Close()
	}
}

// recordEnd records when the connection ended for its dialer.
func (p *pipe) recordEnd() {
	p.l.mu.Lock()
	if p.info.Ended.IsZero() {
		p.info.Ended = time.Now()
	}
	p.l.mu.Unlock()
}

// reset aborts both sides with RST and counts this the first time.
func (p *pipe) reset(dir Direction, count func(*Counts)) {
	p.once.Do(func() {
		p.l.count(dir, count)
		p.recordEnd()
		close(p.closed)
		p.l.mu.Lock()
		ends := p.ends
		p.l.mu.Unlock()
		resetConn(ends[0])
		resetConn(ends[1])
	})
}

// forward copies one direction until its sender closes it or the connection is reset.
func (p *pipe) forward(d, dialer Direction, rng *rand.Rand) {
	from, to := p.ends[d], p.ends[1-d]
	chunks := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkSize)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case chunks <- chunk{b[:n], time.Now()}:
				case <-p.closed:
					return
				}
			}
			if err != nil {
				if d == dialer {
					p.recordEnd()
				}
				if !errors.Is(err, io.EOF) && !p.isHalfOpen(1-d) {
					p.reset(d, func(*Counts) {}) // passes the sender's reset on to the receiver
				}
				return
			}
		}
	}()
	defer func() {
		for range chunks { // drained until the reader ends with the connection
		}
	}()
	forwarded, seenVersion, cut := 0, 0, false
	for next := range chunks {
		for len(next.data) > 0 {
			f, version, _ := p.l.currentFault(d)
			if version != seenVersion {
				seenVersion, forwarded = version, 0
			}
			switch {
			case cut || p.isHalfOpen(d):
				next.data = nil
				continue
			case f.Cut:
				cut = true
				p.l.count(d, func(c *Counts) { c.Cut++ })
				_ = to.CloseWrite()
				continue
			case f.HalfOpen:
				p.makeHalfOpen(d)
				continue
			}
			if !p.delayChunk(d, f, version, next, rng) {
				if p.isReset() {
					return
				}
				continue // the fault has changed
			}
			n := len(next.data)
			if f.BytesPerSecond > 0 {
				n = min(n, max(1, f.BytesPerSecond/100))
			}
			if f.ResetAfter > 0 {
				n = min(n, f.ResetAfter-forwarded)
			}
			if _, err := to.Write(next.data[:n]); err != nil {
				if !p.isHalfOpen(d) {
					resetConn(from) // shows the sender that the receiver is closed
				}
				next.data = nil
				continue
			}
			forwarded += n
			next.data = next.data[n:]
			p.l.count(d, func(c *Counts) { c.Chunks++; c.Bytes += n })
			if f.ResetAfter > 0 && forwarded >= f.ResetAfter {
				p.reset(d, func(c *Counts) { c.Reset++ })
				return
			}
			if f.BytesPerSecond > 0 {
				p.l.count(d, func(c *Counts) { c.RateLimited++ })
				if !p.sleep(d, time.Duration(n)*time.Second/time.Duration(f.BytesPerSecond), version) && p.isReset() {
					return
				}
			}
		}
	}
	if !p.isHalfOpen(d) && !p.isHalfOpen(1-d) {
		p.waitWhileSilent(d) // the end of the stream is held back too
		_ = to.CloseWrite()
	}
}

// delayChunk delays a chunk according to the fault. It returns false if the fault changed or the connection ended before the
// chunk could be forwarded.
func (p *pipe) delayChunk(d Direction, f Fault, version int, next chunk, rng *rand.Rand) bool {
	if f.Silent {
		p.l.count(d, func(c *Counts) { c.Silenced++ })
		p.waitWhileSilent(d)
		return false
	}
	until := next.received
	if f.Delay > 0 || f.Jitter > 0 {
		until = until.Add(f.Delay)
		if f.Jitter > 0 {
			until = until.Add(time.Duration(rng.Int64N(int64(f.Jitter) + 1)))
		}
		p.l.count(d, func(c *Counts) { c.Delayed++ })
	}
	if f.Loss > 0 && rng.Float64() < f.Loss {
		until = until.Add(retransmitDelay)
		p.l.count(d, func(c *Counts) { c.Lost++ })
	}
	return p.sleep(d, time.Until(until), version)
}

// waitWhileSilent waits while the direction is silent.
func (p *pipe) waitWhileSilent(d Direction) {
	for {
		f, _, changed := p.l.currentFault(d)
		if !f.Silent || p.isReset() {
			return
		}
		select {
		case <-changed:
		case <-p.closed:
		}
	}
}

// sleep waits for a duration. It returns false if the fault no longer has the version, because it was set again, or the
// connection was reset before.
func (p *pipe) sleep(d Direction, duration time.Duration, version int) bool {
	if duration <= 0 {
		return !p.isReset()
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	for {
		_, now, changed := p.l.currentFault(d)
		if now != version {
			return false
		}
		select {
		case <-t.C:
			return true
		case <-changed:
		case <-p.closed:
			return false
		}
	}
}

func (p *pipe) isReset() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

func (p *pipe) isHalfOpen(d Direction) bool {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	return p.halfOpen[d]
}

// makeHalfOpen resets the receiver's side of a direction. The sender does not see the reset and receives nothing more.
func (p *pipe) makeHalfOpen(d Direction) {
	p.l.mu.Lock()
	p.halfOpen[d] = true
	p.l.counts[d].HalfOpen++
	p.l.mu.Unlock()
	resetConn(p.ends[1-d])
}
