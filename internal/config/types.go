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

// maxTypeBytes is how many bytes a hardware type's name may have: more are not told to other processes.
const maxTypeBytes = 64

// NodeTypes says which hardware a node is, by its name or a pattern of names.
type NodeTypes struct {
	names    map[string]string
	patterns []typePattern // the longest first
}

type typePattern struct{ pattern, kind string }

// Kind is a node's type, "": it is not told. A name of its own goes before patterns, a longer pattern before a
// shorter one, and of two as long the first in byte order.
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
