package discovery

import (
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"time"
)

// Mode is which calls the service understands.
type Mode uint8

// The modes. A call of another form is answered with the whole list at once.
const (
	Push Mode = iota // watches: an agent beside the scheduler, where Capacity is 0, or the service itself
	Poll             // plain calls alone
	Wait             // plain calls, and those that wait for a change
	modes
)

// Options make a service.
type Options struct {
	Mode        Mode
	Capacity    float64                  // calls a second, in turn; opening a watch is a call; 0: calls are free
	Patience    time.Duration            // a call fails that waited longer; 0: 2 s
	Queue       int                      // calls in it; 0: 64
	Index       int64                    // version of the empty list at the start
	Keep        int                      // changed entries in the history; 0: 8192
	Beat        time.Duration            // of an idle watch; 0: 2 s
	Indent      bool                     // answers come over several lines
	IndentWatch bool                     // lines of watches too
	Callers     int                      // known by name at most, others count as one; 0: 4096
	Conns       int                      // at most, more are closed at once; 0: 4096
	Tolds       int                      // kept for each caller; 0: 16384
	Heard       func(caller, uri string) // of each call, as it comes; nil: nobody hears
	Shared      *Capacity                // with other services, over Capacity, Patience and Queue; nil: one of its own
	// Written is told of each list that was written whole, as Told has it; it must not call the service. nil: nobody.
	Written func(caller string, full bool, entries []Entry, at time.Time)
}

func (o *Options) fill() error {
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
	if o.Mode >= modes {
		return &BadOption{"Mode", o.Mode}
	}
	for p, usual := range map[*int]int{&o.Queue: 64, &o.Keep: 8192, &o.Callers: 4096, &o.Conns: 4096, &o.Tolds: 16384} {
		if *p == 0 {
			*p = usual
		}
	}
	for p, usual := range map[*time.Duration]time.Duration{&o.Patience: 2 * time.Second, &o.Beat: 2 * time.Second} {
		if *p == 0 {
			*p = usual
		}
	}
	return nil
}

// Counts are what a caller, or all of them, saw.
type Counts struct {
	Came    int // connections
	Calls   int // read whole
	Served  int // answered with a list, or a watch opened
	Failed  int // answered with an error: TooLong, Full, Refused, and calls that mean nothing
	Watches int // opened
	Open    int // of those, now
	Lines   int // written whole, on watches; empty ones too
	Beats   int // of those, empty
	Waited  int // calls that waited in the queue
	Longest time.Duration
	TooLong int
	Full    int

	Downs, Silences  int // calls and open watches that got no word, or were reset, because of it
	Refused          int
	Lates            int // answers and lines that came late
	Resets           int
	Cuts, Olds, Said int
	Forgotten        int // of Told, over its bound
}

func (c *Counts) add(o Counts) {
	longest := max(c.Longest, o.Longest)
	for _, p := range [][2]*int{{&c.Came, &o.Came}, {&c.Calls, &o.Calls}, {&c.Served, &o.Served}, {&c.Failed, &o.Failed}, {&c.Watches, &o.Watches},
		{&c.Open, &o.Open}, {&c.Lines, &o.Lines}, {&c.Beats, &o.Beats}, {&c.Waited, &o.Waited}, {&c.TooLong, &o.TooLong},
		{&c.Full, &o.Full}, {&c.Downs, &o.Downs}, {&c.Silences, &o.Silences}, {&c.Refused, &o.Refused}, {&c.Lates, &o.Lates},
		{&c.Resets, &o.Resets}, {&c.Cuts, &o.Cuts}, {&c.Olds, &o.Olds}, {&c.Said, &o.Said}, {&c.Forgotten, &o.Forgotten}} {
		*p[0] += *p[1]
	}
	c.Longest = longest
}

// Others is the name of all callers over the bound.
const Others = "others"

// caller is one scheduler, by the name of its listener or by its remote address.
type caller struct {
	name   string
	fault  Fault
	once   once
	counts Counts
	held   int64 // the version told last; -1: none
	tolds  []told
	first  int // the oldest of tolds, once they are full
	// writing is held, read, from before a write until it is recorded, so that who has read what was
	// written finds it in Counts and Told.
	writing sync.RWMutex
}

// once are faults that happen one time.
type once struct {
	cut bool
	old int // versions back
}

// Service is a running stand-in.
type Service struct {
	opt     Options
	mu      sync.Mutex
	book    *Book
	room    *Capacity
	puts    []put // of the versions that the history holds
	epoch   int   // counts the faults set
	fault   Fault // of callers that come
	once    once
	callers map[string]*caller
	lns     map[string]*port
	conns   map[*conn]bool
	closed  bool
	wg      sync.WaitGroup
	cache   struct {
		from, to     int64
		full, indent bool
		text         []byte
	}
}

type put struct {
	index int64
	at    time.Time
}

// New starts a service on a port of loopback.
func New(opt Options) (*Service, error) {
	if err := opt.fill(); err != nil {
		return nil, err
	}
	room := opt.Shared
	if room == nil {
		room = newCapacity(opt)
	}
	s := &Service{opt: opt, book: NewBook(opt.Index, opt.Keep), room: room,
		callers: map[string]*caller{}, lns: map[string]*port{}, conns: map[*conn]bool{}}
	if _, err := s.AddrFor(""); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr is where callers are known by their remote IP address.
func (s *Service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lns[""].addr
}

// AddrFor is where whoever calls is the caller of that name.
func (s *Service) AddrFor(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.lns[name]; ok {
		return p.addr, nil
	}
	if s.closed {
		return "", &NoListener{name, net.ErrClosed}
	}
	if len(s.lns) > s.opt.Callers {
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
	s.lns[name] = p
	return p.addr, p.shut(f.Shut)
}

// caller is under s.mu.
func (s *Service) caller(name string) *caller {
	c := s.callers[name]
	if c == nil && len(s.callers) >= s.opt.Callers {
		name = Others
		c = s.callers[name]
	}
	if c == nil {
		c = &caller{name: name, held: -1, fault: s.fault, once: s.once}
		s.callers[name] = c
	}
	return c
}

// Close ends all connections, and returns when nothing runs any more.
func (s *Service) Close() {
	s.mu.Lock()
	s.closed = true
	for _, p := range s.lns {
		p.close()
	}
	for n := range s.conns {
		n.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Put takes entries as the next version, which open watches and waiting calls are told.
func (s *Service) Put(entries ...Entry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Put(entries...)
	s.puts = append(s.puts, put{s.book.Index(), time.Now()})
	if over := len(s.puts) - s.opt.Keep; over > 0 {
		s.puts = slices.Delete(s.puts, 0, over)
	}
	s.kick()
	return s.book.Index()
}

// visible is the version that a caller sees whose news come late, and when it sees the next.
func (s *Service) visible(late time.Duration, now time.Time) (int64, time.Time) {
	if late <= 0 || len(s.puts) == 0 {
		return s.book.Index(), time.Time{}
	}
	i := sort.Search(len(s.puts), func(i int) bool { return s.puts[i].at.Add(late).After(now) })
	if i == len(s.puts) {
		return s.book.Index(), time.Time{}
	}
	return s.puts[i].index - 1, s.puts[i].at.Add(late)
}

// Index is the present version.
func (s *Service) Index() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Index()
}

// picked are the callers named, or all, when nothing is being written to them.
func (s *Service) picked(names []string) (list []*caller) {
	s.mu.Lock()
	for name, c := range s.callers {
		if len(names) == 0 || slices.Contains(names, name) {
			list = append(list, c)
		}
	}
	s.mu.Unlock()
	for _, c := range list {
		c.writing.Lock()
		c.writing.Unlock() //nolint:staticcheck,gocritic // SA2001, badLock: waits until a writer has recorded what it wrote
	}
	return list
}

// Counts are those of all callers together, or of the ones named.
func (s *Service) Counts(callers ...string) (sum Counts) {
	list := s.picked(callers)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		sum.add(c.counts)
	}
	return sum
}

// Callers are the names of those that called or have an address.
func (s *Service) Callers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.callers))
}

// Told is one entry that was written to a caller: for a whole list, what was new in it to one that
// had been told what it was told before.
type Told struct {
	Index int64
	Entry Entry
	At    time.Time // when the line had been written
}

type told struct {
	index int64
	entry *Entry
	at    time.Time
}

// Told is what a caller was told, in the order of writing.
func (s *Service) Told(name string) (all []Told) {
	list := s.picked([]string{name})
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		for i := range c.tolds {
			t := c.tolds[(c.first+i)%len(c.tolds)]
			all = append(all, Told{t.index, *t.entry, t.at})
		}
	}
	return all
}

// tell records a list that was written to a caller.
func (s *Service) tell(c *caller, l List, at time.Time) {
	fresh := l.Entries
	if l.Full && c.held >= 0 {
		if news, ok := s.book.Changes(min(l.Index, c.held), max(l.Index, c.held)); ok {
			fresh = news.Entries
			if l.Index < c.held { // an old list: what it takes back
				stood := map[string]Entry{}
				l.Apply(stood)
				for i, e := range fresh {
					if was, ok := stood[e.Name]; ok {
						fresh[i] = was
					} else {
						fresh[i].Status = Left
					}
				}
			}
		}
	}
	c.held = l.Index
	if s.opt.Written != nil {
		s.opt.Written(c.name, l.Full, fresh, at)
	}
	for i := range fresh {
		t := told{l.Index, &fresh[i], at}
		if len(c.tolds) < s.opt.Tolds {
			c.tolds = append(c.tolds, t)
			continue
		}
		c.tolds[c.first] = t
		c.first = (c.first + 1) % len(c.tolds)
		c.counts.Forgotten++
	}
}

// text is a message's JSON; the same one is mostly written to many.
func (s *Service) text(l List, from int64, indent bool) []byte {
	k := &s.cache
	if l.Full {
		from = -1
	}
	if k.text == nil || k.from != from || k.to != l.Index || k.full != l.Full || k.indent != indent {
		k.from, k.to, k.full, k.indent, k.text = from, l.Index, l.Full, indent, l.Text(indent)
	}
	return k.text
}

// kick has all connections look again; under s.mu.
func (s *Service) kick() {
	for n := range s.conns {
		select {
		case n.kick <- struct{}{}:
		default:
		}
	}
}
