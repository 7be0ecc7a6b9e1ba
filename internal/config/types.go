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

// maxTypeBytes is the maximum length of a hardware type's name, as gossip accepts no more.
const maxTypeBytes = 64

// NodeTypes maps nodes to hardware types, by name or by a pattern of names.
type NodeTypes struct {
	names    map[string]string
	patterns []typePattern // the longest first
}

// typePattern is a pattern of names and its type.
type typePattern struct{ pattern, kind string }

// Of returns a node's type, "": unknown. An exact name precedes patterns, a longer pattern a shorter one, and of equal
// lengths the first in byte order.
func (t NodeTypes) Of(node string) string {
	if kind, ok := t.names[node]; ok {
		return kind
	}
	for _, p := range t.patterns {
		if ok, err := path.Match(p.pattern, node); ok && err == nil {
			return p.kind
		}
	}
	return ""
}

// nodeTypes reads estimate.types.
func nodeTypes(r *reader) (NodeTypes, error) {
	t := NodeTypes{names: map[string]string{}}
	var err error
	r.root.Get("estimate.types").ForEach(func(k, v gjson.Result) bool {
		key := KeyError{File: "site", Key: "estimate.types." + k.Str}
		switch _, err := path.Match(k.Str, ""); {
		case err != nil:
			key.Value, key.Expected = strconv.Quote(k.Str), `a node's name or a pattern with *, ? and [a-z]`
		case len(v.Str) > maxTypeBytes || !utf8.ValidString(v.Str):
			key.Value, key.Expected = strconv.Quote(v.Str), "a name of at most 64 bytes of UTF-8"
		case !strings.ContainsAny(k.Str, `*?[\`):
			t.names[k.Str] = v.Str
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
