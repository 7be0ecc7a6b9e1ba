package nodestats

import (
	"fmt"
	"slices"
	"time"
)

// Counts are counters since the state was created, and its current size.
type Counts struct {
	Messages, Bytes          int64 // merged messages and their bytes
	NewCells                 int64 // merged cells that were new
	DuplicateCells           int64 // merged cells that were already stored
	OutdatedCells            int64 // cells of an older incarnation or sequence, dropped
	ExpiredCells             int64 // cells that were too old on arrival, dropped
	Unreadable, LaterVersion int64 // messages dropped: invalid ones, and those of a later version
	OverLimit                int64 // cells, origins and outcomes that exceeded a bound
	Resets                   int64 // resets of recorders whose node's behavior had changed
	Invalid                  int64 // local values out of range
	IdentityConflicts        int64 // times that cells under this process's name came from another incarnation
	Origins, StoredCells     int64 // current number of other origins, and of their cells
}

// State contains the observations of this process and those received from others. It is not safe for concurrent use.
type State struct {
	Yield       func() // called between the parts of long computations; may be nil
	settings    Settings
	self        string
	incarnation uint64
	lastSeq     uint64                // of a cell of the local record
	localNodes  map[string]*localNode // by name
	localOrder  []string              // names of localNodes, in the order of their arrival
	listVersion int64
	listSetAt   time.Duration
	hasList     bool
	listDirty   bool               // the list's version has not been published yet
	local       *origin            // published cells of this process
	remote      map[string]*origin // other processes, by name
	counts      Counts
	readBuffer  []classStats // reused by mergeClass
}

// New returns an empty state of the process self. A restarted process must pass a higher incarnation than before.
func New(settings Settings, self string, incarnation uint64) (*State, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	if !validName(self) {
		return nil, &NameError{self}
	}
	return &State{
		settings:    settings,
		self:        self,
		incarnation: min(incarnation, maxSequence-1),
		localNodes:  map[string]*localNode{},
		local:       &origin{cells: map[cellID]*cell{}},
		remote:      map[string]*origin{},
	}, nil
}

func (s *State) yield() {
	if s.Yield != nil {
		s.Yield()
	}
}

// Counts returns the current counts.
func (s *State) Counts() Counts {
	c := s.counts
	c.Origins = int64(len(s.remote))
	for _, o := range s.remote {
		c.StoredCells += int64(len(o.cells))
	}
	return c
}

// originNames returns the names of all origins, including this process, sorted.
func (s *State) originNames() []string {
	names := append(make([]string, 0, len(s.remote)+1), s.self)
	for name := range s.remote {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) origin(name string) *origin {
	if name == s.self {
		return s.local
	}
	return s.remote[name]
}

// Check returns an error if an invariant on bounds, cells or sequences is violated.
func (s *State) Check() error {
	if len(s.remote) > s.settings.MaxOrigins || len(s.localNodes) > s.settings.MaxNodes || len(s.localNodes) != len(s.localOrder) {
		return fmt.Errorf("%d origins, %d local nodes, %d of them ordered", len(s.remote), len(s.localNodes), len(s.localOrder))
	}
	for _, name := range s.originNames() {
		if err := s.checkOrigin(name); err != nil {
			return err
		}
	}
	for name, n := range s.localNodes {
		if len(n.recorders) > s.settings.MaxClasses {
			return fmt.Errorf("node %s has %d classes", name, len(n.recorders))
		}
	}
	return nil
}

func (s *State) checkOrigin(name string) error {
	o := s.origin(name)
	if len(o.cells) > s.maxCells() {
		return fmt.Errorf("origin %s has %d cells", name, len(o.cells))
	}
	for id, c := range o.cells {
		if problem := id.check(c.body); problem != "" {
			return fmt.Errorf("origin %s, cell %v: %s", name, id, problem)
		}
		if name == s.self && c.seq > s.lastSeq {
			return fmt.Errorf("local cell %v has sequence %d, the last one is %d", id, c.seq, s.lastSeq)
		}
	}
	return nil
}
