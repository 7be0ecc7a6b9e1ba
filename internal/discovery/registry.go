// Package discovery keeps the node list: it begins with a known list and follows changes through a watch on the
// list's service. listclock decides when a watch is opened, replaced or closed.
package discovery

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const (
	watchPath          = "/registry/instances"
	dialTimeout        = time.Second
	maxLineBytes       = 4 << 20     // of one list of a watch
	badListLogInterval = time.Second // least time between logs of bad lists
	maxDepartedNodes   = 4096        // departed nodes whose start times are kept

	maxInterimResponses = 8  // 1xx responses accepted before the final one
	chunkedLength       = -1 // what a fasthttp head gives as its length for a chunked body
)

// nodeStates are the states by their names in the list.
var nodeStates = map[string]policy.NodeState{
	"active": policy.NodeUp, "leaving": policy.NodeDraining, "left": policy.NodeRemoved,
}

// List is one decoded message of the list's service: the full list, or a change to it.
type List struct {
	Index        int64
	Full         bool
	Nodes        []core.Node
	BadEntries   []error         // one EntryError for each entry that was left out
	BadAddresses []error         // one AddressError for each address left out of an entry that stays
	badNames     map[string]bool // names of the entries left out, as far as they could be read
	unnamedBad   bool            // an entry left out has no readable name
}

// Decode reads one message. A bad entry is left out and recorded in BadEntries.
func Decode(text []byte) (List, error) {
	l := List{badNames: map[string]bool{}}
	if !gjson.ValidBytes(text) {
		return l, &MalformedError{Says: "not valid JSON"}
	}
	root := gjson.ParseBytes(text)
	index, entries := root.Get("index"), root.Get("endpoints")
	if index.Type != gjson.Number {
		return l, &MalformedError{"index", "missing or not a number"}
	}
	if !entries.IsArray() {
		return l, &MalformedError{"endpoints", "missing or not a list"}
	}
	l.Index, l.Full = index.Int(), root.Get("snapshot").Bool()
	for i, e := range entries.Array() {
		n, bad, err := decodeNode(e)
		if err != nil {
			name := e.Get("name").String()
			l.BadEntries = append(l.BadEntries, &EntryError{i, name, err})
			l.badNames[name], l.unnamedBad = true, l.unnamedBad || name == ""
			continue
		}
		for _, x := range bad {
			l.BadAddresses = append(l.BadAddresses, &AddressError{i, n.ID, x})
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

// keepDrainsAndDepartures adjusts a full list whose version is older than the held one. Either its source lags
// behind, or the list's service has restarted its versions; no message tells which. The list and what follows it
// are therefore applied, but a draining node stays draining and a departed node stays away until it has started
// anew (its start time differs) or a later message names it.
func (w *Watcher) keepDrainsAndDepartures(l *List) {
	w.initHeldNodes()
	l.Nodes = slices.DeleteFunc(l.Nodes, func(n core.Node) bool {
		since, left := w.departedSince[n.ID]
		return left && since == n.StartTime
	})
	for i, n := range l.Nodes {
		if had, ok := w.heldNodes[n.ID]; ok && had.State == policy.NodeDraining && had.StartTime == n.StartTime {
			l.Nodes[i].State = policy.NodeDraining
		}
	}
}

// initHeldNodes fills the held nodes from Known at first use.
func (w *Watcher) initHeldNodes() {
	if w.heldNodes != nil {
		return
	}
	w.heldNodes = map[string]core.Node{}
	for _, n := range w.Known {
		w.heldNodes[n.ID] = n
	}
}

// recordDeparture removes a held node that left and keeps its start time. When maxDepartedNodes are kept, all are
// dropped first, which bounds the memory.
func (w *Watcher) recordDeparture(id string) {
	if n, held := w.heldNodes[id]; held {
		if w.departedSince == nil || len(w.departedSince) >= maxDepartedNodes {
			w.departedSince = map[string]float64{}
		}
		w.departedSince[id] = n.StartTime
		delete(w.heldNodes, id)
	}
}

// applyList applies a list to the held nodes and returns the news for the core. A full list with a bad entry is
// passed on as changes: held nodes that it does not name have left, except those that a bad entry may stand for,
// so that a fault in one entry does not remove its node.
func (w *Watcher) applyList(l List) core.ListUpdate {
	w.initHeldNodes()
	news := core.ListUpdate{Kind: policy.ListChanged, Nodes: l.Nodes}
	if l.Full {
		listed := map[string]bool{}
		for _, n := range l.Nodes {
			listed[n.ID] = true
		}
		if len(l.BadEntries) == 0 {
			news.Kind = policy.ListReceived
		}
		for _, id := range slices.Sorted(maps.Keys(w.heldNodes)) {
			if listed[id] || l.badNames[id] || l.unnamedBad {
				continue
			}
			if n := w.heldNodes[id]; len(l.BadEntries) > 0 {
				n.State = policy.NodeRemoved
				news.Nodes = append(news.Nodes, n)
			}
			w.recordDeparture(id)
		}
	}
	for _, n := range news.Nodes {
		if n.State == policy.NodeRemoved {
			w.recordDeparture(n.ID)
		} else {
			w.heldNodes[n.ID] = n
			delete(w.departedSince, n.ID)
		}
	}
	return news
}

// decodeNode reads an entry; bad has an error for each address left out of it.
func decodeNode(e gjson.Result) (n core.Node, bad []error, err error) {
	if !e.IsObject() {
		return n, nil, errors.New("not an object")
	}
	if n.ID = e.Get("name").String(); n.ID == "" {
		return n, nil, errors.New("name: missing")
	}
	var ok bool
	if n.State, ok = nodeStates[e.Get("status").String()]; !ok {
		return n, nil, fmt.Errorf("status: unknown word %.20q", e.Get("status").String())
	}
	if n.Addresses, bad, err = decodeAddresses(e); err != nil && n.State != policy.NodeRemoved {
		return n, bad, err
	}
	group := e.Get("group")
	if (group.Type != gjson.Number || group.Num < 0 || group.Num > 1e6) && n.State != policy.NodeRemoved {
		return n, nil, errors.New("group: missing or not a shard")
	}
	since := e.Get("since_ms")
	if since.Exists() && since.Type != gjson.Number {
		return n, nil, errors.New("since_ms: not a number")
	}
	n.Shard, n.Zone, n.StartTime, n.Weight = int(group.Num), e.Get("zone").String(), since.Num, 1
	if w := e.Get("weight"); w.Type == gjson.Number {
		n.Weight = w.Num
	}
	return n, bad, nil
}

// decodeAddresses reads "addresses", and adds "address" if it is not among them. The platform's lists have only
// "address". A bad address is left out and recorded in bad; the entry fails only if no address is left.
func decodeAddresses(e gjson.Result) (list []address.Addr, bad []error, err error) {
	var texts []string
	one, more := e.Get("address"), e.Get("addresses")
	if !more.Exists() {
		a, err := address.Parse(one.String())
		if err != nil {
			return nil, nil, fmt.Errorf("address: %.60q: %w", one.String(), err)
		}
		return []address.Addr{a}, nil, nil
	}
	if !more.IsArray() {
		return nil, nil, errors.New("addresses: not a list")
	}
	for i, x := range more.Array() {
		if x.Type != gjson.String {
			bad = append(bad, fmt.Errorf("addresses.%d: not text", i))
			continue
		}
		texts = append(texts, x.Str)
	}
	list, errs := address.ParseList(texts)
	bad = append(bad, errs...)
	if one.Type == gjson.String {
		if a, err := address.Parse(one.Str); err != nil {
			bad = append(bad, fmt.Errorf("address: %.60q: %w", one.Str, err))
		} else if !slices.Contains(list, a) && len(list) < address.MaxAddresses {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil, bad, fmt.Errorf("addresses: none of them can be used: %w", errors.Join(bad...))
	}
	return list, bad, nil
}
