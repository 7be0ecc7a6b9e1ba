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

// nodeStates maps the values of "status" in the list to node states.
var nodeStates = map[string]policy.NodeState{
	"active": policy.NodeUp, "leaving": policy.NodeDraining, "left": policy.NodeRemoved,
}

// List is a decoded message of the list service. It holds the full endpoint list or a change to it.
type List struct {
	Version           int64
	Full              bool
	Nodes             []core.Node
	InvalidEntries    []error         // an EntryError for each ignored entry
	InvalidAddresses  []error         // an AddressError for each ignored address of a valid entry
	invalidNames      map[string]bool // names of the ignored entries
	hasUnnamedInvalid bool            // the name of an ignored entry is missing
}

// Decode decodes a message of the list service. An invalid entry is ignored and recorded in InvalidEntries.
func Decode(text []byte) (List, error) {
	list := List{invalidNames: map[string]bool{}}
	if !gjson.ValidBytes(text) {
		return list, &MalformedError{Reason: "not valid JSON"}
	}
	root := gjson.ParseBytes(text)
	index, entries := root.Get("index"), root.Get("endpoints")
	if index.Type != gjson.Number {
		return list, &MalformedError{"index", "missing or not a number"}
	}
	if !entries.IsArray() {
		return list, &MalformedError{"endpoints", "missing or not a list"}
	}
	list.Version, list.Full = index.Int(), root.Get("snapshot").Bool()
	for i, entry := range entries.Array() {
		node, invalid, err := decodeNode(entry)
		if err != nil {
			name := entry.Get("name").String()
			list.InvalidEntries = append(list.InvalidEntries, &EntryError{i, name, err})
			list.invalidNames[name], list.hasUnnamedInvalid = true, list.hasUnnamedInvalid || name == ""
			continue
		}
		for _, x := range invalid {
			list.InvalidAddresses = append(list.InvalidAddresses, &AddressError{i, node.ID, x})
		}
		list.Nodes = append(list.Nodes, node)
	}
	return list, nil
}

// decodeNode decodes an entry. It returns an error for each ignored address in invalid.
func decodeNode(entry gjson.Result) (node core.Node, invalid []error, err error) {
	if !entry.IsObject() {
		return node, nil, errors.New("not an object")
	}
	if node.ID = entry.Get("name").String(); node.ID == "" {
		return node, nil, errors.New("name: missing")
	}
	var ok bool
	if node.State, ok = nodeStates[entry.Get("status").String()]; !ok {
		return node, nil, fmt.Errorf("status: unknown word %.20q", entry.Get("status").String())
	}
	if node.Addresses, invalid, err = decodeAddresses(entry); err != nil && node.State != policy.NodeRemoved {
		return node, invalid, err
	}
	group := entry.Get("group")
	if (group.Type != gjson.Number || group.Num < 0 || group.Num > 1e6) && node.State != policy.NodeRemoved {
		return node, nil, errors.New("group: missing or not a shard")
	}
	startTime := entry.Get("since_ms")
	if startTime.Exists() && startTime.Type != gjson.Number {
		return node, nil, errors.New("since_ms: not a number")
	}
	node.Shard, node.Zone, node.StartTime, node.Weight = int(group.Num), entry.Get("zone").String(), startTime.Num, 1
	if weight := entry.Get("weight"); weight.Type == gjson.Number {
		node.Weight = weight.Num
	}
	return node, invalid, nil
}

// decodeAddresses decodes "addresses" and adds "address" if it is not among them. The platform's lists have only
// "address". An invalid address is ignored and returned in invalid. The entry is invalid only if no address remains.
func decodeAddresses(entry gjson.Result) (list []address.Addr, invalid []error, err error) {
	var texts []string
	single, several := entry.Get("address"), entry.Get("addresses")
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
	for i, value := range several.Array() {
		if value.Type != gjson.String {
			invalid = append(invalid, fmt.Errorf("addresses.%d: not text", i))
			continue
		}
		texts = append(texts, value.Str)
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
