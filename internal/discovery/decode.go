package discovery

import (
	"errors"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// nodeStates maps the words of the list to states.
var nodeStates = map[string]policy.NodeState{
	"active": policy.NodeUp, "leaving": policy.NodeDraining, "left": policy.NodeRemoved,
}

// List is one decoded message of the list's service: the full list, or a change to it.
type List struct {
	Version           int64
	Full              bool
	Nodes             []core.Node
	InvalidEntries    []error         // one EntryError for each entry that was ignored
	InvalidAddresses  []error         // one AddressError for each ignored address of a valid entry
	invalidNames      map[string]bool // names of the ignored entries that could be read
	hasUnnamedInvalid bool            // an ignored entry has no readable name
}

// Decode reads one message. An invalid entry is ignored and recorded in InvalidEntries.
func Decode(text []byte) (List, error) {
	l := List{invalidNames: map[string]bool{}}
	if !gjson.ValidBytes(text) {
		return l, &MalformedError{Reason: "not valid JSON"}
	}
	root := gjson.ParseBytes(text)
	index, entries := root.Get("index"), root.Get("endpoints")
	if index.Type != gjson.Number {
		return l, &MalformedError{"index", "missing or not a number"}
	}
	if !entries.IsArray() {
		return l, &MalformedError{"endpoints", "missing or not a list"}
	}
	l.Version, l.Full = index.Int(), root.Get("snapshot").Bool()
	for i, e := range entries.Array() {
		n, invalid, err := decodeNode(e)
		if err != nil {
			name := e.Get("name").String()
			l.InvalidEntries = append(l.InvalidEntries, &EntryError{i, name, err})
			l.invalidNames[name], l.hasUnnamedInvalid = true, l.hasUnnamedInvalid || name == ""
			continue
		}
		for _, x := range invalid {
			l.InvalidAddresses = append(l.InvalidAddresses, &AddressError{i, n.ID, x})
		}
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}

// decodeNode reads an entry; invalid has an error for each ignored address.
func decodeNode(e gjson.Result) (n core.Node, invalid []error, err error) {
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
	if n.Addresses, invalid, err = decodeAddresses(e); err != nil && n.State != policy.NodeRemoved {
		return n, invalid, err
	}
	group := e.Get("group")
	if (group.Type != gjson.Number || group.Num < 0 || group.Num > 1e6) && n.State != policy.NodeRemoved {
		return n, nil, errors.New("group: missing or not a shard")
	}
	startTime := e.Get("since_ms")
	if startTime.Exists() && startTime.Type != gjson.Number {
		return n, nil, errors.New("since_ms: not a number")
	}
	n.Shard, n.Zone, n.StartTime, n.Weight = int(group.Num), e.Get("zone").String(), startTime.Num, 1
	if w := e.Get("weight"); w.Type == gjson.Number {
		n.Weight = w.Num
	}
	return n, invalid, nil
}

// decodeAddresses reads "addresses", and adds "address" if it is not among them. The platform's lists have only
// "address". An invalid address is ignored and recorded in invalid; the entry fails only if no address remains.
func decodeAddresses(e gjson.Result) (list []address.Addr, invalid []error, err error) {
	var texts []string
	single, several := e.Get("address"), e.Get("addresses")
	if !several.Exists() {
		a, err := address.Parse(single.String())
		if err != nil {
			return nil, nil, fmt.Errorf("address: %.60q: %w", single.String(), err)
		}
		return []address.Addr{a}, nil, nil
	}
	if !several.IsArray() {
		return nil, nil, errors.New("addresses: not a list")
	}
	for i, x := range several.Array() {
		if x.Type != gjson.String {
			invalid = append(invalid, fmt.Errorf("addresses.%d: not text", i))
			continue
		}
		texts = append(texts, x.Str)
	}
	list, errs := address.ParseList(texts)
	invalid = append(invalid, errs...)
	if single.Type == gjson.String {
		if a, err := address.Parse(single.Str); err != nil {
			invalid = append(invalid, fmt.Errorf("address: %.60q: %w", single.Str, err))
		} else if !slices.Contains(list, a) && len(list) < address.MaxAddresses {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		return nil, invalid, fmt.Errorf("addresses: none of them can be used: %w", errors.Join(invalid...))
	}
	return list, invalid, nil
}
