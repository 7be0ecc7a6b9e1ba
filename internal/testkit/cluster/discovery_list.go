package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/historycheck"
)

// Entry is a node in the endpoint list.
type Entry = discovery.Entry

// ListFault is a fault of a discovery service.
type ListFault int

// Faults of a discovery service.
const (
	ListHealthy ListFault = iota
	ListSilent            // watches are accepted but receive nothing
	ListStalled           // open watches never receive anything again; new ones do
	ListReset             // open and new watches are reset
	ListDown              // the service does not listen
)

var listFaults = map[ListFault]discovery.Fault{ListHealthy: {}, ListSilent: {Silent: true}, ListStalled: {Silent: true, AnswerNewCalls: true, SilencePersists: true},
	ListReset: {Reset: true}, ListDown: {StopListening: true}}

// List is the discovery service of one scheduler. In a fleet with links each scheduler has its own, as its
// list contains the addresses of its own links. Otherwise it is one caller's view of the fleet's shared service.
type List interface {
	Addr() string
	Put(entries ...Entry) error // sends the changes to all watches in one line
	Set(ListFault) error
	WatchRequests() int // number of connections, each opened for one watch request, answered or not
	Close()
}

// initialListVersion is the version of a list before its first entry. A caller without a list names an earlier version,
// which the service's history does not reach back to, and so receives the full list.
const initialListVersion = 8

// fakeList is a fake discovery service as one caller sees it.
type fakeList struct {
	*discovery.Service
	caller, address string
	ownsService     bool // the service belongs to this list alone and is closed with it
}

func newFakeList(s *discovery.Service, caller string, ownsService bool) (*fakeList, error) {
	addr, err := s.AddrFor(caller)
	return &fakeList{s, caller, addr, ownsService}, err
}

// Addr implements List.
func (l *fakeList) Addr() string { return l.address }

// WatchRequests implements List.
func (l *fakeList) WatchRequests() int { return l.Counts(l.caller).Conns }

// Put implements List.
func (l *fakeList) Put(entries ...Entry) error { l.Service.Put(entries...); return nil }

// Set implements List.
func (l *fakeList) Set(f ListFault) error { return l.Service.SetFault(listFaults[f], l.caller) }

// Close implements List.
func (l *fakeList) Close() {
	if l.ownsService {
		l.Service.Close()
	}
}

// newList creates daemon i's list.
func (f *Fleet) newList(i int) (List, error) {
	if f.opt.NewList != nil {
		return f.opt.NewList(i, func(entries []Entry) { f.recordNotified(i, entries) })
	}
	name := func(i int) string { return fmt.Sprint("n", i) }
	service := f.sharedList
	if service == nil {
		options := f.opt.List
		options.Shared, options.Index = f.listCapacity, initialListVersion
		callers := map[string]int{}
		for k := range f.opt.Daemons {
			callers[name(k)] = k
		}
		options.OnWritten = func(caller string, full bool, entries []Entry, _ time.Time) {
			if full { // a full list implies that all nodes not in it have left
				entries = append(slices.Clone(entries), f.leftNodes()...)
			}
			f.recordNotified(callers[caller], entries)
		}
		var err error
		if service, err = discovery.New(options); err != nil {
			return nil, err
		}
		if f.opt.Direct {
			f.sharedList = service
		}
	}
	l, err := newFakeList(service, name(i), !f.opt.Direct)
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// recordNotified records that daemon i was notified of the entries, as they were written to its watch.
func (f *Fleet) recordNotified(i int, entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range entries {
		f.history.Notifications = append(f.history.Notifications, historycheck.Notification{Scheduler: i, Node: e.Name, Status: historyStatus[e.Status], At: f.now()})
	}
}

// leftNodes returns the nodes that have left the list.
func (f *Fleet) leftNodes() (all []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for j, s := range f.nodeStatus {
		if s == discovery.Left {
			all = append(all, Entry{Name: f.opt.Nodes[j].Name, Status: s})
		}
	}
	return all
}

// ListLoad returns how many calls of all daemons the fake discovery services received and rejected, and the peak rate of calls.
func (f *Fleet) ListLoad() discovery.Load { return f.listCapacity.Load() }

// ResetListLoad sets the counts that ListLoad returns to zero.
func (f *Fleet) ResetListLoad() { f.listCapacity.ResetLoad() }

func (f *Fleet) entry(i, j int) Entry {
	addr := f.nodeAddresses[j]
	if l := f.StorageLink(i, j); l != nil {
		addr = l.Addr()
	}
	return Entry{Name: f.opt.Nodes[j].Name, Address: addr, Group: f.opt.Nodes[j].Shard, Status: f.nodeStatus[j], Weight: 1, SinceMS: f.startTimes[j]}
}

// recordColdStart records that a node starts cold now, and returns its since_ms, a Unix time in milliseconds.
func (f *Fleet) recordColdStart(node string) int64 {
	f.history.SlowStarts = append(f.history.SlowStarts, historycheck.Change{Node: node, At: f.now()})
	return time.Now().UnixMilli()
}

// SetNodeStatus sets a node's status to active, leaving or left in all lists.
func (f *Fleet) SetNodeStatus(j int, status string) error {
	f.mu.Lock()
	f.nodeStatus[j] = discovery.Status(status)
	f.history.Changes = append(f.history.Changes, historycheck.Change{Node: f.opt.Nodes[j].Name, Status: historyStatus[f.nodeStatus[j]], At: f.now()})
	f.mu.Unlock()
	var errs []error
	for i, l := range f.discoveryLists {
		if i == 0 || !f.opt.Direct {
			errs = append(errs, l.Put(f.entry(i, j)))
		}
	}
	return errors.Join(errs...)
}

// ReplaceNode lists a node in all lists as one that has just started under the same name.
func (f *Fleet) ReplaceNode(j int) error {
	f.mu.Lock()
	f.startTimes[j] = f.recordColdStart(f.opt.Nodes[j].Name)
	f.mu.Unlock()
	return f.SetNodeStatus(j, "active")
}

// SetListFault sets the fault of daemon i's discovery service.
func (f *Fleet) SetListFault(i int, fault ListFault) error {
	f.mu.Lock()
	openOutage := slices.IndexFunc(f.history.ListOutages, func(s historycheck.Interval) bool { return s.Scheduler == i && s.To == historycheck.Never })
	answersNewWatches := fault == ListHealthy || fault == ListStalled
	if !answersNewWatches && openOutage < 0 {
		f.history.ListOutages = append(f.history.ListOutages, historycheck.Interval{Scheduler: i, From: f.now(), To: historycheck.Never, Rejected: fault != ListSilent})
	}
	if answersNewWatches && openOutage >= 0 {
		f.history.ListOutages[openOutage].To = f.now()
	}
	f.mu.Unlock()
	return f.discoveryLists[i].Set(fault)
}

var historyStatus = map[discovery.Status]historycheck.NodeStatus{discovery.Active: historycheck.Active, discovery.Leaving: historycheck.Draining, discovery.Left: historycheck.Removed}
