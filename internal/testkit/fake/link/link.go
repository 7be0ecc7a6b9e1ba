// Package link is a TCP and UDP proxy between two parties on loopback. It injects seeded faults in each
// direction, which can be switched while it runs, and counts their effects.
//
// Forward is the direction from the first party, which knows only the link's address, to the second
// party at To. Backward is the opposite direction. The faults are:
//
//	fault           TCP connection                                       datagram
//	Cut             one direction: the receiver sees the end of the      dropped
//	                stream, nothing more is forwarded; both: existing
//	                and new connections are reset
//	Silent          data waits until the fault is cleared                dropped
//	Delay           delayed by Delay plus up to Jitter at random, in     delayed; Jitter may reorder
//	                order
//	Loss            retransmission: a lost chunk is delayed by 200 ms    dropped
//	Duplicate       -                                                    delivered twice
//	Reorder         -                                                    delivered after the next one
//	BytesPerSecond  limited to so many bytes per second                  -
//	ResetAfter      reset on both sides after so many bytes since the    -
//	                fault was set or the connection was opened
//	HalfOpen        with the next chunk the receiver sees a reset; the   -
//	                sender's bytes are accepted, but no response comes
//	Hold            connects neither succeed nor fail; they succeed      -
//	                once the fault is cleared and the kernel retries
//
// Invariants: up to a reset, the bytes of a stream are delivered completely and in order; the same seed
// and the same chunks give the same random draws; after Close no goroutine or socket of the link is left.
package link

import (
	"fmt"
	"net"
	"sync"
	"time"

	"wheatsaddle/internal/operr"
)

// Direction is one direction of a link, or both.
type Direction int

// The directions.
const (
	Forward Direction = iota
	Backward
	Both
)

// Fault is a fault of one direction. The zero value is no fault.
type Fault struct {
	Cut, Silent              bool
	Delay, Jitter            time.Duration
	Loss, Duplicate, Reorder float64 // probabilities for each chunk of a stream or datagram
	BytesPerSecond           int     // bytes per second
	ResetAfter               int     // bytes
	HalfOpen, Hold           bool
}

// Counts are the traffic and the fault counters of a direction.
type Counts struct {
	Conns, Chunks, Bytes int // connections accepted; chunks or datagrams and bytes forwarded
	// Chunks, datagrams and connections affected by each fault.
	Cut, Silenced, Delayed, Lost, Duplicated, Reordered, RateLimited, Reset, HalfOpen int
}

// Options configure a link.
type Options struct {
	Seed    uint64
	Network string // tcp, udp, or both for two parties that use TCP and UDP at one address each
	To      string // address of the second party
	Listen  string // address at which the first party reaches the second; "": any port of 127.0.0.1
	// From and ListenBackward are for udp and both. From is the first party's own address ("": learned from its first
	// datagram). ListenBackward is the address at which the second party reaches the first ("": any port of 127.0.0.1).
	From, ListenBackward string
}

// Conn describes a TCP connection.
type Conn struct {
	OutboundAddr string    // remote address that the second party sees
	Opened       time.Time // when it was accepted
	Ended        time.Time // when its dialer closed it, it was reset, or its second side could not be dialled; zero: still open
}

// UnsupportedFault reports a fault that the network does not support or a value out of range.
type UnsupportedFault struct{ Network, Fault string }

func (e *UnsupportedFault) Error() string {
	return fmt.Sprintf("link: a %s link does not support %s", e.Network, e.Fault)
}

// Code implements operr.Coded.
func (e *UnsupportedFault) Code() string { return "link-fault-unfit" }

// Advice implements operr.Coded.
func (e *UnsupportedFault) Advice() string {
	return "use a fault that the link's network supports according to the table in the package comment"
}

// OpenError reports a socket of the link that could not be opened.
type OpenError struct {
	Address string
	Err     error
}

func (e *OpenError) Error() string { return fmt.Sprintf("link: open %s: %v", e.Address, e.Err) }
func (e *OpenError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *OpenError) Code() string { return "link-not-open" }

// Advice implements operr.Coded.
func (e *OpenError) Advice() string { return "give the link a free loopback address" }

var _ = func() bool { operr.Register(&UnsupportedFault{}, &OpenError{}); return true }()

// Link is a running link.
type Link struct {
	opt          Options
	tcp          [2]*heldListener // listeners that the first and the second party dial
	udp          [2]*net.UDPConn
	mu           sync.Mutex
	from         net.Addr // the first party's address for datagrams; nil: not known yet
	to           net.Addr // the second party's address for datagrams
	fault        [2]Fault
	faultVersion [2]int        // number of times that the direction's fault was set
	changed      chan struct{} // closed when a fault is set
	counts       [2]Counts
	openPipes    map[*pipe]bool
	allPipes     []*pipe // in the order of acceptance
	accepted     int     // number of connections accepted; seeds the random draws of the latest one
	done         chan struct{}
	closing      bool
	wg           sync.WaitGroup
}

// New opens a link.
func New(opt Options) (*Link, error) {
	if opt.Listen == "" {
		opt.Listen = "127.0.0.1:0"
	}
	if opt.ListenBackward == "" {
		opt.ListenBackward = "127.0.0.1:0"
	}
	l := &Link{opt: opt, changed: make(chan struct{}), openPipes: map[*pipe]bool{}, done: make(chan struct{})}
	fail := func(at string, err error) (*Link, error) {
		l.Close()
		return nil, &OpenError{at, err}
	}
	ends := []struct {
		at, to string
	}{{opt.Listen, opt.To}, {opt.ListenBackward, opt.From}}
	switch opt.Network {
	case "tcp", "udp", "both":
	default:
		return nil, &UnsupportedFault{opt.Network, "any fault; the network must be tcp, udp or both"}
	}
	if opt.Network != "udp" {
		for i, e := range ends[:map[string]int{"tcp": 1, "both": 2}[opt.Network]] {
			h, err := newHeldListener(e.at)
			if err != nil {
				return fail(e.at, err)
			}
			l.tcp[i] = h
			ends[i].at = h.addr()
			l.accept(h, e.to, i == 1)
		}
	}
	if opt.Network != "tcp" {
		to, err := net.ResolveUDPAddr("udp", opt.To)
		if err != nil {
			return fail(opt.To, err)
		}
		l.to = to
		if opt.From != "" {
			if l.from, err = net.ResolveUDPAddr("udp", opt.From); err != nil {
				return fail(opt.From, err)
			}
		}
		for i, e := range ends {
			at, err := net.ResolveUDPAddr("udp", e.at)
			if err != nil {
				return fail(e.at, err)
			}
			if l.udp[i], err = net.ListenUDP("udp", at); err != nil {
				return fail(e.at, err)
			}
		}
		for d := range l.udp {
			l.wg.Add(1)
			go l.forwardDatagrams(Direction(d))
		}
	}
	return l, nil
}

// Addr returns the address at which the first party reaches the second.
func (l *Link) Addr() string {
	if l.tcp[0] != nil {
		return l.tcp[0].addr()
	}
	return l.udp[0].LocalAddr().String()
}

// BackwardAddr returns the address at which the second party reaches the first, or "" on a tcp link.
func (l *Link) BackwardAddr() string {
	if l.udp[1] == nil {
		return ""
	}
	return l.udp[1].LocalAddr().String()
}

// SetFault switches a direction's fault for existing and new connections.
func (l *Link) SetFault(dir Direction, f Fault) error {
	stream := f.BytesPerSecond != 0 || f.ResetAfter != 0 || f.HalfOpen || f.Hold
	switch {
	case l.opt.Network == "tcp" && (f.Duplicate != 0 || f.Reorder != 0):
		return &UnsupportedFault{"tcp", "duplication or reordering"}
	case l.opt.Network == "udp" && stream:
		return &UnsupportedFault{"udp", "a rate limit, a reset, or a half-open or held connection"}
	case f.Loss < 0 || f.Loss > 1 || f.Duplicate < 0 || f.Duplicate > 1 || f.Reorder < 0 || f.Reorder > 1 || f.Delay < 0 || f.Jitter < 0 || f.BytesPerSecond < 0 || f.ResetAfter < 0:
		return &UnsupportedFault{l.opt.Network, "a probability outside 0 to 1 or a negative value"}
	}
	l.mu.Lock()
	for d := range l.fault {
		if dir == Both || int(dir) == d {
			l.fault[d] = f
			l.faultVersion[d]++
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	cutBoth := l.fault[Forward].Cut && l.fault[Backward].Cut
	hold := [2]bool{l.fault[Forward].Hold, l.fault[Backward].Hold}
	var open []*pipe
	for p := range l.openPipes {
		open = append(open, p)
	}
	l.mu.Unlock()
	for i, h := range l.tcp {
		if h == nil {
			continue
		}
		if err := h.setHeld(hold[i]); err != nil {
			return &OpenError{h.addr(), err}
		}
	}
	for _, p := range open {
		if cutBoth {
			p.reset(Forward, func(c *Counts) { c.Cut++ })
		}
	}
	return nil
}

// Counts returns the counters of a direction, or of both added up.
func (l *Link) Counts(dir Direction) (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dir != Both {
		return l.counts[dir]
	}
	a, b := l.counts[0], l.counts[1]
	return Counts{a.Conns + b.Conns, a.Chunks + b.Chunks, a.Bytes + b.Bytes, a.Cut + b.Cut, a.Silenced + b.Silenced, a.Delayed + b.Delayed,
		a.Lost + b.Lost, a.Duplicated + b.Duplicated, a.Reordered + b.Reordered, a.RateLimited + b.RateLimited, a.Reset + b.Reset, a.HalfOpen + b.HalfOpen}
}

// Conns returns all TCP connections so far, in the order of their acceptance, without those reset on acceptance because
// both directions were cut.
func (l *Link) Conns() (all []Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.allPipes {
		all = append(all, p.info)
	}
	return all
}

// OpenConns returns the number of open TCP connections.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.openPipes)
}

// ResetConns resets the open connections and leaves the faults unchanged.
func (l *Link) ResetConns() {
	l.mu.Lock()
	var open []*pipe
	for p := range l.openPipes {
		open = append(open, p)
	}
	l.mu.Unlock()
	for _, p := range open {
		p.reset(Forward, func(c *Counts) { c.Reset++ })
	}
}

// Close closes the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.closing = true
	close(l.done)
	l.mu.Unlock()
	for _, h := range l.tcp {
		if h != nil {
			h.close()
		}
	}
	for _, u := range l.udp {
		if u != nil {
			u.Close()
		}
	}
	l.ResetConns()
	l.wg.Wait()
}

func (l *Link) count(dir Direction, f func(*Counts)) {
	l.mu.Lock()
	f(&l.counts[dir])
	l.mu.Unlock()
}

// currentFault returns a direction's current fault, how often it was set, and a channel that is closed when it changes.
func (l *Link) currentFault(dir Direction) (f Fault, version int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault[dir], l.faultVersion[dir], l.changed
}
