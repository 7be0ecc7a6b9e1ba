package config

import (
	"cmp"
	"path"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// maxTypeBytes is the maximum length of a hardware type's name that the gossip accepts.
const maxTypeBytes = 64

// NodeTypes maps nodes to hardware types, by name or by a pattern of names.
type NodeTypes struct {
	byName   map[string]string
	patterns []typePattern // the longest first
}

// typePattern is a pattern of node names and its hardware type.
type typePattern struct{ pattern, hardwareType string }

// Of returns a node's hardware type; "": unknown. An exact name takes precedence over patterns and a longer pattern over a
// shorter one; among patterns of equal length the first in byte order applies.
func (t NodeTypes) Of(node string) string {
	if hardwareType, ok := t.byName[node]; ok {
		return hardwareType
	}
	for _, p := range t.patterns {
		if ok, err := path.Match(p.pattern, node); ok && err == nil {
			return p.hardwareType
		}
	}
	return ""
}

// nodeTypes reads estimate.types.
func nodeTypes(r *reader) (NodeTypes, error) {
	t := NodeTypes{byName: map[string]string{}}
	var err error
	r.root.Get("estimate.types").ForEach(func(k, v gjson.Result) bool {
		key := KeyError{File: "site", Key: "estimate.types." + k.Str}
		switch _, err := path.Match(k.Str, ""); {
		case err != nil:
			key.Value, key.Expected = strconv.Quote(k.Str), `a node's name or a pattern with *, ? and [a-z]`
		case len(v.Str) > maxTypeBytes || !utf8.ValidString(v.Str):
			key.Value, key.Expected = strconv.Quote(v.Str), "a name of at most 64 bytes of UTF-8"
		case !strings.ContainsAny(k.Str, `*?[\`):
			t.byName[k.Str] = v.Str
			return true
		default:
			t.patterns = append(t.patterns, typePattern{k.Str, v.Str})
			return true
		}
		err = &key
		return false
	})
	slices.SortFunc(t.patterns, func(a, b typePattern) int {
		return cmp.Or(cmp.Compare(len(b.pattern), len(a.pattern)), cmp.Compare(a.pattern, b.pattern))
	})
	return t, err
}
