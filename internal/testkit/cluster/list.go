package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/historycheck"
)

// Entry is a node as a list has it.
type Entry = discovery.Entry

// ListFault is what a list's service does instead of speaking.
type ListFault int

// The faults.
const (
	ListWell   ListFault = iota
	ListSilent           // watches stand and come up, and nothing is said
	ListMute             // watches that stand say nothing ever again; those asked for anew do
	ListReset            // watches are reset, and so is each new one
	ListDown             // nobody listens
)

var listFaults = map[ListFault]discovery.Fault{ListWell: {}, ListSilent: {Silent: true}, ListMute: {Silent: true, Answers: true, Lost: true},
	ListReset: {Reset: true}, ListDown: {Shut: true}}

// List is one scheduler's list service. Where there are links each scheduler has one of its own, as its
// nodes' addresses are those of its links; else it is the scheduler's part of the fleet's one.
type List interface {
	Addr() string
	Put(entries ...Entry) error // changes, told to all watches in one line
	Set(ListFault) error
	Asked() int // watches that were asked for, answered or not
	Close()
}

// firstIndex is the version of a list before its first entry. A caller that holds none names an earlier one,
// which the history does not reach: it is told the whole list.
const firstIndex = 8

// list is a stand-in of the list's service as one caller sees it.
type list struct {
	*discovery.Service
	caller, at string
	own        bool // it is this list's alone, and is closed with it
}

func newList(s *discovery.Service, caller string, own bool) (*list, error) {
	at, err := s.AddrFor(caller)
	return &list{s, caller, at, own}, err
}

// Addr implements List.
func (l *list) Addr() string { return l.at }

// Asked implements List.
func (l *list) Asked() int { return l.Counts(l.caller).Came }

// Put implements List.
func (l *list) Put(entries ...Entry) error { l.Service.Put(entries...); return nil }

// Set implements List.
func (l *list) Set(f ListFault) error { return l.Service.Set(listFaults[f], l.caller) }

// Close implements List.
func (l *list) Close() {
	if l.own {
		l.Service.Close()
	}
}

// list makes daemon i's list.
func (f *Fleet) list(i int) (List, error) {
	if f.opt.NewList != nil {
		return f.opt.NewList(i, func(entries []Entry) { f.told(i, entries) })
	}
	name := func(i int) string { return fmt.Sprint("n", i) }
	s := f.service
	if s == nil {
		opt := f.opt.List
		opt.Shared, opt.Index = f.room, firstIndex
		callers := map[string]int{}
		for k := range f.opt.Daemons {
			callers[name(k)] = k
		}
		opt.Written = func(caller string, full bool, entries []Entry, _ time.Time) {
			if full { // it says of those that it leaves out that they have left
				entries = append(slices.Clone(entries), f.left()...)
			}
			f.told(callers[caller], entries)
		}
		var err error
		if s, err = discovery.New(opt); err != nil {
			return nil, err
		}
		if f.opt.Direct {
			f.service = s
		}
	}
	l, err := newList(s, name(i), !f.opt.Direct)
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// told notes what was written to daemon i.
func (f *Fleet) told(i int, entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.h.Told = append(f.h.Told, historycheck.Told{Scheduler: i, Node: e.Name, Word: words[e.Status], At: f.now()})
	}
}

// left are the nodes that have left the list.
func (f *Fleet) left() (all []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for j, s := range f.status {
		if s == discovery.Left {
			all = append(all, Entry{Name: f.opt.Nodes[j].Name, Status: s})
		}
	}
	return all
}

// Calls are those of the list, of all daemons.
func (f *Fleet) Calls() discovery.Load { return f.room.Load() }

// CallsFrom has Calls count from now.
func (f *Fleet) CallsFrom() { f.room.Forget() }

func (f *Fleet) entry(i, j int) Entry {
	at := f.real[j]
	if l := f.StorageLink(i, j); l != nil {
		at = l.Addr()
	}
	return Entry{Name: f.opt.Nodes[j].Name, Address: at, Group: f.opt.Nodes[j].Shard, Status: f.status[j], Weight: 1, SinceMS: f.since[j]}
}

// chill notes that a node starts cold now, and gives its since_ms: the Unix time.
func (f *Fleet) markCold(node string) int64 {
	f.h.Cold = append(f.h.Cold, historycheck.Change{Node: node, At: f.now()})
	return time.Now().UnixMilli()
}

// Mark lists a node as active, leaving or left, at all lists.
func (f *Fleet) Mark(j int, status string) error {
	f.mu.Lock()
	f.status[j] = discovery.Status(status)
	f.h.Changed = append(f.h.Changed, historycheck.Change{Node: f.opt.Nodes[j].Name, Word: words[f.status[j]], At: f.now()})
	f.mu.Unlock()
	var errs []error
	for i, l := range f.lists {
		if i == 0 || !f.opt.Direct {
			errs = append(errs, l.Put(f.entry(i, j)))
		}
	}
	return errors.Join(errs...)
}

// Replace lists a node as one that started just now under its name, at all lists.
func (f *Fleet) Replace(j int) error {
	f.mu.Lock()
	f.since[j] = f.markCold(f.opt.Nodes[j].Name)
	f.mu.Unlock()
	return f.Mark(j, "active")
}

// SetList switches the fault of daemon i's list.
func (f *Fleet) SetList(i int, fault ListFault) error {
	f.mu.Lock()
	k := slices.IndexFunc(f.h.Deaf, func(s historycheck.Span) bool { return s.Scheduler == i && s.To == historycheck.Never })
	heard := fault == ListWell || fault == ListMute // by who asks
	if !heard && k < 0 {
		f.h.Deaf = append(f.h.Deaf, historycheck.Span{Scheduler: i, From: f.now(), To: historycheck.Never, Turned: fault != ListSilent})
	}
	if heard && k >= 0 {
		f.h.Deaf[k].To = f.now()
	}
	f.mu.Unlock()
	return f.lists[i].Set(fault)
}

var words = map[discovery.Status]historycheck.Word{discovery.Active: historycheck.Active, discovery.Leaving: historycheck.Draining, discovery.Left: historycheck.Gone}
