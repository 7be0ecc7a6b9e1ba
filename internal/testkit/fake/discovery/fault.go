package discovery

import (
	"errors"
	"net"
	"slices"
	"time"
)

// Fault is what the service does to a caller until another is set.
type Fault struct {
	// Down: in mode Push the agent accepts and says nothing; otherwise connections are reset, those
	// that come too.
	Down    bool
	Reset   bool          // connections are reset, those that come too, in every mode
	Shut    bool          // nobody listens at the callers' own addresses, or, for all, at any; the port stays taken
	Silent  bool          // open watches fall silent, and calls get no answer
	Answers bool          // with Silent: calls that come from now on are answered, and their watches speak
	Lost    bool          // with Silent or Down: what fell silent stays so when it is over
	Refuse  bool          // calls are answered with 503, at no cost
	Late    time.Duration // answers and news come that much later; beats do not
	epoch   int
}

// resets says whether connections are reset under it.
func (f Fault) resets(m Mode) bool { return f.Reset || f.Shut || f.Down && m != Push }

// Set puts a fault in place of the one before, for the callers named, or for all, those too that
// come later.
func (s *Service) Set(f Fault, callers ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	f.epoch = s.epoch
	if len(callers) == 0 {
		s.fault = f
		if f == (Fault{epoch: f.epoch}) {
			s.once = once{}
		}
	}
	s.each(callers, func(c *caller) {
		c.fault = f
		if f == (Fault{epoch: f.epoch}) {
			c.once = once{}
		}
	}, func(n *conn) {
		if n.busy && f.Lost && n.mute(f) {
			n.lost = true
		}
		if f.resets(s.opt.Mode) {
			n.c.counts.Downs++
			n.reset()
		}
	})
	s.kick()
	var errs []error
	for name, p := range s.lns {
		if len(callers) == 0 || name != "" && slices.Contains(callers, name) {
			errs = append(errs, p.shut(f.Shut))
		}
	}
	return errors.Join(errs...)
}

// each goes over callers by name, or all, and their connections; under s.mu.
func (s *Service) each(names []string, do func(*caller), conns func(*conn)) {
	for _, name := range names {
		s.caller(name)
	}
	picked := func(c *caller) bool { return len(names) == 0 || slices.Contains(names, c.name) }
	for _, c := range s.callers {
		if do != nil && picked(c) {
			do(c)
		}
	}
	for n := range s.conns {
		if conns != nil && picked(n.c) {
			conns(n)
		}
	}
}

// Up ends all faults, those too that have not happened yet.
func (s *Service) Up(callers ...string) error { return s.Set(Fault{}, callers...) }

// Down has the service down.
func (s *Service) Down(callers ...string) error { return s.Set(Fault{Down: true}, callers...) }

// Silent has the service say nothing.
func (s *Service) Silent(callers ...string) error { return s.Set(Fault{Silent: true}, callers...) }

// Late has all that is told come later.
func (s *Service) Late(by time.Duration, callers ...string) error {
	return s.Set(Fault{Late: by}, callers...)
}

// Refuse has calls answered with 503.
func (s *Service) Refuse(callers ...string) error { return s.Set(Fault{Refuse: true}, callers...) }

// Reset resets open watches and calls that wait, now.
func (s *Service) Reset(callers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each(callers, nil, func(n *conn) {
		if n.busy {
			n.c.counts.Resets++
			n.reset()
		}
	})
}

// CutHalfway has the next list of each caller cut in its middle, and the connection closed.
func (s *Service) CutHalfway(callers ...string) {
	s.oneTime(callers, func(o *once) { o.cut = true })
}

// OldList tells each caller, next, the whole list as it stood so many versions back: on its watch
// at once, or as the answer to its next call. The watch goes on as if it had not.
func (s *Service) OldList(back int, callers ...string) {
	s.oneTime(callers, func(o *once) { o.old = max(back, 0) })
}

func (s *Service) oneTime(callers []string, set func(*once)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(callers) == 0 {
		set(&s.once)
	}
	s.each(callers, func(c *caller) { set(&c.once) }, nil)
	s.kick()
}

const saidMost = 64

// Say writes a line as it is, whatever it means, on the open watches, and returns on how many; what
// is not read in time is bounded, and over it goes nothing more.
func (s *Service) Say(line string, callers ...string) (watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each(callers, nil, func(n *conn) {
		if n.watch && len(n.said) < saidMost {
			n.said = append(n.said, line)
			watches++
		}
	})
	s.kick()
	return watches
}

// mute says whether a fault silences the connection; under s.mu.
func (n *conn) mute(f Fault) bool {
	return f.Down && n.s.opt.Mode == Push && !f.resets(Push) || f.Silent && (!f.Answers || n.asked < f.epoch)
}

// silent says whether the connection says nothing at present, and counts it once; under s.mu.
func (n *conn) silent() bool {
	if f := n.c.fault; n.mute(f) {
		n.lost = n.lost || f.Lost
		if !n.quiet && f.Down {
			n.c.counts.Downs++
		} else if !n.quiet {
			n.c.counts.Silences++
		}
		n.quiet = true
		return true
	}
	n.quiet = n.lost
	return n.lost
}

// reset ends a connection so that its other side sees it broken.
func (n *conn) reset() {
	if t, ok := n.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	n.nc.Close()
}
