// Package link is a TCP and UDP link between two parties on loopback, with seeded faults for each
// direction that are switched while it runs, and counts of what the faults did.
//
// Forward is what goes from the party that the link stands for (which knows the link's address
// alone) to the one at To; Backward is the way back. What each fault means:
//
//	fault       a TCP connection                                     a datagram
//	Cut         one way: the receiver sees its end, nothing more     dropped
//	            passes; both ways: reset, and so are new ones
//	Silent      what is sent waits until the fault is lifted         dropped
//	Delay       plus up to Jitter drawn: later, in order             later; Jitter may reorder
//	Loss        a lost piece is sent again: it comes 200 ms later    dropped
//	Double      -                                                    comes twice
//	Reorder     -                                                    comes behind the next one
//	Trickle     so many bytes a second pass                          -
//	ResetAfter  reset on both sides once so many bytes have come     -
//	            since the fault was set or the connection began
//	HalfOpen    with the next piece the receiver sees a reset, the   -
//	            sender nothing: its bytes are taken, no answer comes
//	Hold        new connects neither come up nor fail; what waited   -
//	            comes up when it is lifted, by the kernel's next try
//
// Invariants: a stream's bytes pass whole and in order up to a reset; the same seed and the same
// pieces give the same draws; after Close no goroutine and no socket of the link is left.
package link

import (
	"fmt"
	"net"
	"sync"
	"time"

	"wheatsaddle/internal/operr"
)

// Direction is one way over a link, or both.
type Direction int

// The directions.
const (
	Forward Direction = iota
	Backward
	Both
)

// Fault is what a direction does to what passes; the zero value is none.
type Fault struct {
	Cut, Silent           bool
	Delay, Jitter         time.Duration
	Loss, Double, Reorder float64 // chances of a piece
	Trickle               int     // bytes a second
	ResetAfter            int     // bytes
	HalfOpen, Hold        bool
}

// Counts are what a direction has passed and what its faults have done.
type Counts struct {
	Conns, Pieces, Bytes int // accepted (forward), and passed on
	// pieces and connections that met a fault
	Cut, Silenced, Delayed, Lost, Doubled, Reordered, Trickled, Reset, Half int
}

// Options make a link.
type Options struct {
	Seed    uint64
	Network string // tcp, udp, or both: a pair of parties that speak TCP and UDP at one address each
	To      string // the party behind it
	Listen  string // the link's address before it; "": any port of 127.0.0.1
	// From and Back are for udp and both: the first party's own address ("": learned from its first
	// datagram) and the link's address that the second party knows it by ("": any port).
	From, Back string
}

// Conn is what the link knows of a TCP connection.
type Conn struct {
	Out    string    // the address that the party behind sees it come from
	Opened time.Time // it was accepted
	Ended  time.Time // its dialer ended it, or it was reset; zero: it stands
}

// Unfit is a fault that a network cannot have, or a number out of range.
type Unfit struct{ Network, Fault string }

func (e *Unfit) Error() string {
	return fmt.Sprintf("link: a %s link cannot have %s", e.Network, e.Fault)
}

// Code implements operr.Coded.
func (e *Unfit) Code() string { return "link-fault-unfit" }

// Advice implements operr.Coded.
func (e *Unfit) Advice() string {
	return "use a fault of the link's network; the package's table has them"
}

// NotOpen is a link whose sockets could not be opened.
type NotOpen struct {
	Address string
	Err     error
}

func (e *NotOpen) Error() string { return fmt.Sprintf("link: %s: %v", e.Address, e.Err) }
func (e *NotOpen) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *NotOpen) Code() string { return "link-not-open" }

// Advice implements operr.Coded.
func (e *NotOpen) Advice() string { return "give the link a free loopback address" }

var _ = func() bool { operr.Register(&Unfit{}, &NotOpen{}); return true }()

// Link is a running link.
type Link struct {
	opt     Options
	tcp     [2]*gate // where the first and the second party dial
	udp     [2]*net.UDPConn
	mu      sync.Mutex
	from    net.Addr // the first party, for datagrams
	to      net.Addr
	fault   [2]Fault
	since   [2]int        // how often a direction's fault was set
	changed chan struct{} // closed when a fault is set
	counts  [2]Counts
	conns   map[*pipe]bool
	all     []*pipe
	opened  int
	done    chan struct{}
	closing bool
	wg      sync.WaitGroup
}

// New opens a link.
func New(opt Options) (*Link, error) {
	if opt.Listen == "" {
		opt.Listen = "127.0.0.1:0"
	}
	if opt.Back == "" {
		opt.Back = "127.0.0.1:0"
	}
	l := &Link{opt: opt, changed: make(chan struct{}), conns: map[*pipe]bool{}, done: make(chan struct{})}
	fail := func(at string, err error) (*Link, error) {
		l.Close()
		return nil, &NotOpen{at, err}
	}
	ends := []struct {
		at, to string
	}{{opt.Listen, opt.To}, {opt.Back, opt.From}}
	switch opt.Network {
	case "tcp", "udp", "both":
	default:
		return nil, &Unfit{opt.Network, "any fault: the network is tcp, udp or both"}
	}
	if opt.Network != "udp" {
		for i, e := range ends[:map[string]int{"tcp": 1, "both": 2}[opt.Network]] {
			g, err := openGate(e.at)
			if err != nil {
				return fail(e.at, err)
			}
			l.tcp[i] = g
			ends[i].at = g.addr()
			l.accept(g, e.to, i == 1)
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
			go l.datagrams(Direction(d))
		}
	}
	return l, nil
}

// Addr is the link's address before it, where the first party sends.
func (l *Link) Addr() string {
	if l.tcp[0] != nil {
		return l.tcp[0].addr()
	}
	return l.udp[0].LocalAddr().String()
}

// Back is the address that the second party knows the first by; "" on a tcp link.
func (l *Link) Back() string {
	if l.udp[1] == nil {
		return ""
	}
	return l.udp[1].LocalAddr().String()
}

// Set switches a direction's fault, for what stands and for what comes.
func (l *Link) Set(dir Direction, f Fault) error {
	stream := f.Trickle != 0 || f.ResetAfter != 0 || f.HalfOpen || f.Hold
	switch {
	case l.opt.Network == "tcp" && (f.Double != 0 || f.Reorder != 0):
		return &Unfit{"tcp", "doubling or reordering"}
	case l.opt.Network == "udp" && stream:
		return &Unfit{"udp", "a trickle, a reset, a half-open or held connection"}
	case f.Loss < 0 || f.Loss > 1 || f.Double < 0 || f.Double > 1 || f.Reorder < 0 || f.Reorder > 1 || f.Delay < 0 || f.Jitter < 0 || f.Trickle < 0 || f.ResetAfter < 0:
		return &Unfit{l.opt.Network, "a chance outside 0 to 1, or a negative figure"}
	}
	l.mu.Lock()
	for d := range l.fault {
		if dir == Both || int(dir) == d {
			l.fault[d] = f
			l.since[d]++
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	both := l.fault[Forward].Cut && l.fault[Backward].Cut
	hold := [2]bool{l.fault[Forward].Hold, l.fault[Backward].Hold}
	var stand []*pipe
	for p := range l.conns {
		stand = append(stand, p)
	}
	l.mu.Unlock()
	for i, g := range l.tcp {
		if g == nil {
			continue
		}
		if err := g.hold(hold[i]); err != nil {
			return &NotOpen{g.addr(), err}
		}
	}
	for _, p := range stand {
		if both {
			p.reset(Forward, func(c *Counts) { c.Cut++ })
		}
	}
	return nil
}

// Counts are those of a direction, or of both together.
func (l *Link) Counts(dir Direction) (c Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if dir != Both {
		return l.counts[dir]
	}
	a, b := l.counts[0], l.counts[1]
	return Counts{a.Conns + b.Conns, a.Pieces + b.Pieces, a.Bytes + b.Bytes, a.Cut + b.Cut, a.Silenced + b.Silenced, a.Delayed + b.Delayed,
		a.Lost + b.Lost, a.Doubled + b.Doubled, a.Reordered + b.Reordered, a.Trickled + b.Trickled, a.Reset + b.Reset, a.Half + b.Half}
}

// Conns are the TCP connections there have been, in order.
func (l *Link) Conns() (all []Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.all {
		all = append(all, p.known)
	}
	return all
}

// Open is how many TCP connections stand.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Reset resets the connections that stand; the faults stay.
func (l *Link) Reset() {
	l.mu.Lock()
	var stand []*pipe
	for p := range l.conns {
		stand = append(stand, p)
	}
	l.mu.Unlock()
	for _, p := range stand {
		p.reset(Forward, func(c *Counts) { c.Reset++ })
	}
}

// Close ends the link and what stands on it.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closing {
		l.mu.Unlock()
		return
	}
	l.closing = true
	close(l.done)
	l.mu.Unlock()
	for _, g := range l.tcp {
		if g != nil {
			g.close()
		}
	}
	for _, u := range l.udp {
		if u != nil {
			u.Close()
		}
	}
	l.Reset()
	l.wg.Wait()
}

func (l *Link) count(dir Direction, f func(*Counts)) {
	l.mu.Lock()
	f(&l.counts[dir])
	l.mu.Unlock()
}

// now is a direction's fault, with the channel that closes when it changes.
func (l *Link) now(dir Direction) (f Fault, since int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault[dir], l.since[dir], l.changed
}
