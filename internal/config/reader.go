package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// reader reads the keys of one object and records the first error.
type reader struct {
	root   gjson.Result
	prefix string // of the object's keys in error texts
	file   string // "": configuration
	err    error
}

// fail records an error of a key of this object.
func (r *reader) fail(e KeyError) {
	if r.err == nil {
		e.File, e.Key = cmp.Or(r.file, "configuration"), r.prefix+e.Key
		r.err = &e
	}
}

// failValue records a value that is not as expected.
func (r *reader) failValue(key, value, expected string) {
	r.fail(KeyError{Key: key, Value: value, Expected: expected})
}

// text returns a string, or the fallback if the key is missing.
func (r *reader) text(key, fallback string) string {
	v := r.root.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return fallback
	}
	if v.Type != gjson.String {
		r.failValue(key, truncate(v.Raw), "text")
	}
	return v.Str
}

// number returns a number of at least the minimum, or the fallback if the key is missing.
func (r *reader) number(key string, fallback, minimum float64) float64 {
	v := r.root.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return fallback
	}
	if v.Type != gjson.Number || math.IsNaN(v.Num) || math.IsInf(v.Num, 0) || v.Num < minimum || v.Num > 1e12 {
		r.failValue(key, truncate(v.Raw), fmt.Sprintf("a number of at least %v", minimum))
		return fallback
	}
	return v.Num
}

// flag returns a Boolean; false if the key is missing.
func (r *reader) flag(key string) bool {
	v := r.root.Get(key)
	if v.Exists() && v.Type != gjson.Null && !v.IsBool() {
		r.failValue(key, truncate(v.Raw), "true or false")
	}
	return v.Bool()
}

// each calls f with a reader for each entry of a list, which must not be empty.
func (r *reader) each(key string, f func(*reader)) {
	v := r.root.Get(key)
	if !v.IsArray() || len(v.Array()) == 0 {
		r.fail(KeyError{Key: key, Expected: "a list that is not empty", Problem: "missing, empty or not a list"})
		return
	}
	for i, e := range v.Array() {
		entry := &reader{root: e, prefix: fmt.Sprintf("%s%s.%d.", r.prefix, key, i), file: r.file, err: r.err}
		f(entry)
		r.err = entry.err
	}
}

// truncate shortens a value for an error text.
func truncate(raw string) string {
	if len(raw) > 40 {
		return raw[:40] + "..."
	}
	return raw
}

// enum returns the value that a table has for the word at a key.
func enum[T any](r *reader, key, fallback string, table map[string]T) T {
	v, ok := table[r.text(key, fallback)]
	if !ok {
		raw := truncate(r.root.Get(key).Raw)
		names := strings.Join(slices.Sorted(maps.Keys(table)), ", ")
		r.fail(KeyError{Key: key, Value: raw, Expected: "one of " + names, Problem: "unknown value " + raw})
	}
	return v
}

// integer returns a whole number between the bounds, or the fallback if the key is missing. A fallback outside the bounds
// makes the key mandatory.
func (r *reader) integer(key string, fallback, minimum, maximum float64) float64 {
	v := r.number(key, fallback, minimum)
	if v != math.Trunc(v) || v < minimum || v > maximum {
		expected := fmt.Sprintf("a whole number from %v to %v", minimum, maximum)
		r.fail(KeyError{Key: key, Value: truncate(r.root.Get(key).Raw), Expected: expected, Problem: "missing, or not " + expected})
	}
	return v
}

// unique records an error if a name is empty or occurred before.
func (r *reader) unique(key, value string, seen map[string]bool) {
	if value == "" || seen[value] {
		r.fail(KeyError{Key: key, Value: value, Expected: "a unique name", Problem: fmt.Sprintf("%q is empty or a duplicate", value)})
	}
	seen[value] = true
}
