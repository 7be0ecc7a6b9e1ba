package discovery

import (
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"time"
)

// Mode is the kind of calls that the service supports.
type Mode uint8

// The modes. An unsupported call is answered with the complete list at once.
const (
	Push Mode = iota // watches: an agent on the scheduler's host (Capacity 0) or the service itself
	Poll             // plain calls only
	Wait             // plain calls and calls that wait for a change
	numModes
)

// Options configure a service.
type Options struct {
	Mode        Mode
	Capacity    float64                  // calls per second, processed in order; opening a watch is a call; 0: unlimited
	Patience    time.Duration            // a call that waits longer fails; 0: 2 s
	Queue       int                      // maximum number of queued calls; 0: 64
	Index       int64                    // version of the empty list at the start
	Keep        int                      // changed entries in the history; 0: 8192
	Beat        time.Duration            // heartbeat interval of an idle watch; 0: 2 s
	Indent      bool                     // responses span several lines
	IndentWatch bool                     // so do the messages of watches
	Callers     int                      // maximum number of named callers, further ones are counted as one; 0: 4096
	Conns       int                      // maximum number of connections, further ones are closed at once; 0: 4096
	Tolds       int                      // deliveries recorded for each caller; 0: 16384
	OnCall      func(caller, uri string) // called for each call on receipt; nil: not called
	Shared      *Capacity                // shared with other services, replaces Capacity, Patience and Queue; nil: not shared
	// OnWritten is called after each list that was written completely, with the entries that Deliveries records.
	// It must not call the service. nil: not called.
	OnWritten func(caller string, full bool, entries []Entry, at time.Time)
}

func (o *Options) setDefaults() error {
	for _, x := range []struct {
		name string
		n    float64
	}{{"Capacity", o.Capacity}, {"Patience", float64(o.Patience)}, {"Queue", float64(o.Queue)}, {"Index", float64(o.Index)},
		{"Keep", float64(o.Keep)}, {"Beat", float64(o.Beat)}, {"Callers", float64(o.Callers)}, {"Conns", float64(o.Conns)},
		{"Tolds", float64(o.Tolds)}} {
		if x.n < 0 {
			return &BadOption{x.name, x.n}
		}
	}
	if o.Mode >= numModes {
		return &BadOption{"Mode", o.Mode}
	}
	for p, defaultValue := range map[*int]int{&o.Queue: 64, &o.Keep: 8192, &o.Callers: 4096, &o.Conns: 4096, &o.Tolds: 16384} {
		if *p == 0 {
			*p = defaultValue
		}
	}
	for p, defaultValue := range map[*time.Duration]time.Duration{&o.Patience: 2 * time.Second, &o.Beat: 2 * time.Second} {
		if *p == 0 {
			*p = defaultValue
		}
	}
	return nil
}

// Counts are the counters of one caller or of several together.
type Counts struct {
	Conns       int // connections
	Calls       int // received completely
	Served      int // answered with a list, or a watch opened
	Failed      int // answered with an error: TooLong, Full, Rejected, and invalid calls
	Watches     int // opened
	Open        int // watches open now
	Lines       int // written completely on watches, including heartbeats
	Beats       int // heartbeats
	Queued      int // calls that waited in the queue
	LongestWait time.Duration
	TooLong     int // calls that failed because they waited too long
	Full        int // calls that found the queue full

	// Downs: connections reset by Down, Reset or StopListening, and calls and watches silenced by Down.
	// Silences: calls and watches silenced by Silent.
	Downs, Silences                    int
	Rejected                           int // calls answered with 503 because of RejectCalls
	Delayed                            int // responses and lines that were delayed
	Resets                             int // open watches and waiting calls reset by ResetConns
	Truncated, OldLists, InjectedLines int
	DroppedDeliveries                  int // recorded deliveries dropped because of the bound
}

func (c *Counts) add(o Counts) {
	longest := max(c.LongestWait, o.LongestWait)
	for _, p := range [][2]*int{{&c.Conns, &o.Conns}, {&c.Calls, &o.Calls}, {&c.Served, &o.Served}, {&c.Failed, &o.Failed}, {&c.Watches, &o.Watches},
		{&c.Open, &o.Open}, {&c.Lines, &o.Lines}, {&c.Beats, &o.Beats}, {&c.Queued, &o.Queued}, {&c.TooLong, &o.TooLong},
		{&c.Full, &o.Full}, {&c.Downs, &o.Downs}, {&c.Silences, &o.Silences}, {&c.Rejected, &o.Rejected}, {&c.Delayed, &o.Delayed},
		{&c.Resets, &o.Resets}, {&c.Truncated, &o.Truncated}, {&c.OldLists, &o.OldLists}, {&c.InjectedLines, &o.InjectedLines}, {&c.DroppedDeliveries, &o.DroppedDeliveries}} {
		*p[0] += *p[1]
	}
	c.LongestWait = longest
}

// Others is the name under which callers above Options.Callers are counted.
const Others = "others"

// caller is one scheduler, by the name of its listener or by its remote address.
type caller struct {
	name       string
	fault      Fault
	once       oneTimeFaults
	counts     Counts
	sentIndex  int64 // the version sent last; -1: none
	deliveries []delivery
	oldest     int // position of the oldest delivery once the ring is full
	// recordMu is read-locked from before a write until it is recorded, so that a test that has read a
	// message finds it in Counts and Deliveries.
	recordMu sync.RWMutex
}

// oneTimeFaults holds the pending one-time faults.
type oneTimeFaults struct {
	truncate     bool
	versionsBack int // how many versions back; 0: none
}

// Service is a running fake discovery service.
type Service struct {
	opt      Options
	mu       sync.Mutex
	list     *VersionedList
	capacity *Capacity
	putTimes []putTime // times of the versions in the history
	epoch    int       // number of SetFault calls
	fault    Fault     // of new callers
	once     oneTimeFaults
	callers  map[string]*caller
	ports    map[string]*port
	conns    map[*conn]bool
	closed   bool
	wg       sync.WaitGroup
	cache    struct {
		from, to     int64
		full, indent bool
		text         []byte
	}
}

type putTime struct {
	index int64
	at    time.Time
}

// New starts a service on a loopback port.
func New(opt Options) (*Service, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, err
	}
	capacity := opt.Shared
	if capacity == nil {
		capacity = newCapacity(opt)
	}
	s := &Service{opt: opt, list: NewVersionedList(opt.Index, opt.Keep), capacity: capacity,
		callers: map[string]*caller{}, ports: map[string]*port{}, conns: map[*conn]bool{}}
	if _, err := s.AddrFor(""); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address at which callers are identified by their remote IP address.
func (s *Service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ports[""].addr
}

// AddrFor returns the address that identifies its callers by a name. It opens the address on first use.
func (s *Service) AddrFor(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.ports[name]; ok {
		return p.addr, nil
	}
	if s.closed {
		return "", &NoListener{name, net.ErrClosed}
	}
	if len(s.ports) > s.opt.Callers {
		return "", &TooManyCallers{s.opt.Callers}
	}
	p, err := newPort(s, name)
	if err != nil {
		return "", &NoListener{name, err}
	}
	f := s.fault
	if name != "" {
		f = s.caller(name).fault
	}
	s.ports[name] = p
	return p.addr, p.setClosed(f.StopListening)
}

// caller returns the caller of a name and creates it if needed. Requires s.mu to be locked.
func (s *Service) caller(name string) *caller {
	c := s.callers[name]
	if c == nil && len(s.callers) >= s.opt.Callers {
		name = Others
		c = s.callers[name]
	}
	if c == nil {
		c = &caller{name: name, sentIndex: -1, fault: s.fault, once: s.once}
		s.callers[name] = c
	}
	return c
}

// Close closes all connections and waits for the goroutines.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	for _, p := range s.ports {
		p.close()
	}
	for n := range s.conns {
		n.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Put applies entries as the next version, notifies open watches and waiting calls, and returns the version.
func (s *Service) Put(entries ...Entry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Put(entries...)
	s.putTimes = append(s.putTimes, putTime{s.list.Index(), time.Now()})
	if over := len(s.putTimes) - s.opt.Keep; over > 0 {
		s.putTimes = slices.Delete(s.putTimes, 0, over)
	}
	s.wakeAll()
	return s.list.Index()
}

// visibleIndex returns the version that a caller with delayed changes sees now, and when it sees the next one (zero:
// there is none yet). Requires s.mu to be locked.
func (s *Service) visibleIndex(delay time.Duration, now time.Time) (int64, time.Time) {
	if delay <= 0 || len(s.putTimes) == 0 {
		return s.list.Index(), time.Time{}
	}
	i := sort.Search(len(s.putTimes), func(i int) bool { return s.putTimes[i].at.Add(delay).After(now) })
	if i == len(s.putTimes) {
		return s.list.Index(), time.Time{}
	}
	return s.putTimes[i].index - 1, s.putTimes[i].at.Add(delay)
}

// Index returns the current version.
func (s *Service) Index() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Index()
}

// settledCallers returns the named callers, or all, after waiting for writes in progress to be recorded.
func (s *Service) settledCallers(names []string) (list []*caller) {
	s.mu.Lock()
	for name, c := range s.callers {
		if len(names) == 0 || slices.Contains(names, name) {
			list = append(list, c)
		}
	}
	s.mu.Unlock()
	for _, c := range list {
		c.recordMu.Lock()
		c.recordMu.Unlock() //nolint:staticcheck,gocritic // SA2001, badLock: waits until a writer has recorded its write
	}
	return list
}

// Counts returns the sums of the counters of the named callers, or of all.
func (s *Service) Counts(callers ...string) (sum Counts) {
	list := s.settledCallers(callers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		sum.add(c.counts)
	}
	return sum
}

// Callers returns the names of all callers that have connected, have an address or were named for a fault.
func (s *Service) Callers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.callers))
}

// Delivery is one entry that was written to a caller. For a complete list, only the entries are recorded that differ
// from what the caller had been sent before.
type Delivery struct {
	Index int64
	Entry Entry
	At    time.Time // after the write
}

type delivery struct {
	index int64
	entry *Entry
	at    time.Time
}

// Deliveries returns the entries written to a caller, in the order of writing.
func (s *Service) Deliveries(name string) (all []Delivery) {
	list := s.settledCallers([]string{name})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		for i := range c.deliveries {
			t := c.deliveries[(c.oldest+i)%len(c.deliveries)]
			all = append(all, Delivery{t.index, *t.entry, t.at})
		}
	}
	return all
}

// recordDelivery records a list that was written to a caller. Requires s.mu to be locked.
func (s *Service) recordDelivery(c *caller, l List, at time.Time) {
	changed := l.Entries
	if l.Full && c.sentIndex >= 0 {
		if changes, ok := s.list.Changes(min(l.Index, c.sentIndex), max(l.Index, c.sentIndex)); ok {
			changed = changes.Entries
			if l.Index < c.sentIndex { // an old list reverts the later changes
				old := map[string]Entry{}
				l.Apply(old)
				for i, e := range changed {
					if previous, ok := old[e.Name]; ok {
						changed[i] = previous
					} else {
						changed[i].Status = Left
					}
				}
			}
		}
	}
	c.sentIndex = l.Index
	if s.opt.OnWritten != nil {
		s.opt.OnWritten(c.name, l.Full, changed, at)
	}
	for i := range changed {
		t := delivery{l.Index, &changed[i], at}
		if len(c.deliveries) < s.opt.Tolds {
			c.deliveries = append(c.deliveries, t)
			continue
		}
		c.deliveries[c.oldest] = t
		c.oldest = (c.oldest + 1) % len(c.deliveries)
		c.counts.DroppedDeliveries++
	}
}

// encoded returns a message's JSON. It caches the last one, because most messages are written to many callers. Requires
// s.mu to be locked.
func (s *Service) encoded(l List, from int64, indent bool) []byte {
	k := &s.cache
	if l.Full {
		from = -1
	}
	if k.text == nil || k.from != from || k.to != l.Index || k.full != l.Full || k.indent != indent {
		k.from, k.to, k.full, k.indent, k.text = from, l.Index, l.Full, indent, l.Text(indent)
	}
	return k.text
}

// wakeAll wakes up all connections. Requires s.mu to be locked.
func (s *Service) wakeAll() {
	for n := range s.conns {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}
