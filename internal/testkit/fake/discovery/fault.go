package discovery

import (
	"errors"
	"net"
	"slices"
	"time"
)

// Fault is a fault that applies to a caller until another one is set.
type Fault struct {
	// Down: in mode Push the agent accepts connections and sends nothing. In the other modes, existing and
	// new connections are reset.
	Down            bool
	Reset           bool          // existing and new connections are reset in every mode
	StopListening   bool          // no listener at the callers' own addresses, or at any address if set for all callers; the port stays bound
	Silent          bool          // open watches send nothing and calls get no response
	AnswerNewCalls  bool          // with Silent: calls made from now on are answered and their watches send
	SilencePersists bool          // with Silent or Down: connections that were silenced stay silent after the fault
	RejectCalls     bool          // calls are answered with 503 without using capacity
	Delay           time.Duration // delay of responses and changes, but not of heartbeats
	epoch           int           // Service.epoch when the fault was set; tells calls made before from calls made after
}

// resetsConns reports whether connections are reset under the fault.
func (f Fault) resetsConns(m Mode) bool { return f.Reset || f.StopListening || f.Down && m != Push }

// SetFault replaces the fault of the named callers, or of all callers including future ones.
func (s *Service) SetFault(f Fault, callers ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	f.epoch = s.epoch
	if len(callers) == 0 {
		s.fault = f
		if f == (Fault{epoch: f.epoch}) {
			s.once = oneTimeFaults{}
		}
	}
	s.forEach(callers, func(c *caller) {
		c.fault = f
		if f == (Fault{epoch: f.epoch}) {
			c.once = oneTimeFaults{}
		}
	}, func(n *conn) {
		if n.busy && f.SilencePersists && n.silencedBy(f) {
			n.silencedForever = true
		}
		if f.resetsConns(s.opt.Mode) {
			n.caller.counts.Downs++
			n.reset()
		}
	})
	s.wakeAll()
	var errs []error
	for name, p := range s.ports {
		if len(callers) == 0 || name != "" && slices.Contains(callers, name) {
			errs = append(errs, p.setClosed(f.StopListening))
		}
	}
	return errors.Join(errs...)
}

// forEach calls do for the named callers, or all, and conns for their connections. It creates named callers that do not
// exist. Requires s.mu to be locked.
func (s *Service) forEach(names []string, do func(*caller), conns func(*conn)) {
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
		if conns != nil && picked(n.caller) {
			conns(n)
		}
	}
}

// ClearFaults ends all faults, including one-time faults that have not happened yet.
func (s *Service) ClearFaults(callers ...string) error { return s.SetFault(Fault{}, callers...) }

// SetDown sets the fault Down.
func (s *Service) SetDown(callers ...string) error { return s.SetFault(Fault{Down: true}, callers...) }

// SetSilent sets the fault Silent.
func (s *Service) SetSilent(callers ...string) error {
	return s.SetFault(Fault{Silent: true}, callers...)
}

// SetDelay delays responses and changes.
func (s *Service) SetDelay(by time.Duration, callers ...string) error {
	return s.SetFault(Fault{Delay: by}, callers...)
}

// RejectCalls answers calls with 503.
func (s *Service) RejectCalls(callers ...string) error {
	return s.SetFault(Fault{RejectCalls: true}, callers...)
}

// ResetConns resets open watches and waiting calls now.
func (s *Service) ResetConns(callers ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forEach(callers, nil, func(n *conn) {
		if n.busy {
			n.caller.counts.Resets++
			n.reset()
		}
	})
}

// TruncateNextList sends each caller only the first half of its next list, or line of InjectLine, and closes the
// connection.
func (s *Service) TruncateNextList(callers ...string) {
	s.setOnce(callers, func(o *oneTimeFaults) { o.truncate = true })
}

// SendOldList sends each caller once the complete list as it was back versions ago, or the oldest one that the history
// covers: on its watch at once, or as the response to its next call. The watch then continues from the version that it
// had reached before.
func (s *Service) SendOldList(back int, callers ...string) {
	s.setOnce(callers, func(o *oneTimeFaults) { o.versionsBack = max(back, 0) })
}

func (s *Service) setOnce(callers []string, set func(*oneTimeFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(callers) == 0 {
		set(&s.once)
	}
	s.forEach(callers, func(c *caller) { set(&c.once) }, nil)
	s.wakeAll()
}

const maxInjectedLines = 64 // pending lines for each watch

// InjectLine writes a line unchanged, valid or not, to the open watches and returns their number. A watch whose caller
// does not read and that has maxInjectedLines pending lines is skipped.
func (s *Service) InjectLine(line string, callers ...string) (watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forEach(callers, nil, func(n *conn) {
		if n.watch && len(n.injected) < maxInjectedLines {
			n.injected = append(n.injected, line)
			watches++
		}
	})
	s.wakeAll()
	return watches
}

// silencedBy reports whether a fault silences the connection. Requires s.mu to be locked.
func (n *conn) silencedBy(f Fault) bool {
	return f.Down && n.s.opt.Mode == Push && !f.resetsConns(Push) || f.Silent && (!f.AnswerNewCalls || n.callEpoch < f.epoch)
}

// checkSilenced reports whether the connection currently sends nothing, and counts each silence once. Requires s.mu to be locked.
func (n *conn) checkSilenced() bool {
	if f := n.caller.fault; n.silencedBy(f) {
		n.silencedForever = n.silencedForever || f.SilencePersists
		if !n.silenced && f.Down {
			n.caller.counts.Downs++
		} else if !n.silenced {
			n.caller.counts.Silences++
		}
		n.silenced = true
		return true
	}
	n.silenced = n.silencedForever
	return n.silencedForever
}

// reset aborts a connection with RST.
func (n *conn) reset() {
	if t, ok := n.nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	n.nc.Close()
}
