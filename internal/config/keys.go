package config

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// Missing names a key of the settings that an earlier configuration had and a later one lacks:
// a file read at SIGHUP that lacks one is truncated, and nothing of it is applied. Within a list
// (profiles, contracts) each entry must have the keys that every entry of the earlier one had.
func Missing(earlier, later *Config) error {
	if len(earlier.raw) == 0 || len(later.raw) == 0 {
		return nil
	}
	return findMissing("settings", gjson.GetBytes(earlier.raw, "settings"), gjson.GetBytes(later.raw, "settings"))
}

// findMissing compares the values at a path.
func findMissing(path string, earlier, later gjson.Result) error {
	switch {
	case earlier.IsObject():
		if !later.IsObject() {
			return &MissingKeyError{path, "missing or not an object"}
		}
		var err error
		earlier.ForEach(func(k, v gjson.Result) bool {
			got := later.Get(gjson.Escape(k.String()))
			if !got.Exists() {
				err = &MissingKeyError{path + "." + k.String(), "missing; the configuration before had it"}
				return false
			}
			err = findMissing(path+"."+k.String(), v, got)
			return err == nil
		})
		return err
	case earlier.IsArray():
		if !later.IsArray() {
			return &MissingKeyError{path, "missing or not a list"}
		}
		common := commonKeys(earlier.Array())
		for i, e := range later.Array() {
			for _, k := range common {
				if !e.Get(gjson.Escape(k)).Exists() {
					return &MissingKeyError{fmt.Sprintf("%s.%d.%s", path, i, k), "missing; every entry before had it"}
				}
			}
		}
	}
	return nil
}

// commonKeys returns the keys that every object of a list has.
func commonKeys(list []gjson.Result) []string {
	var keys []string
	for i, e := range list {
		if !e.IsObject() {
			return nil
		}
		var these []string
		e.ForEach(func(k, _ gjson.Result) bool { these = append(these, k.String()); return true })
		if i == 0 {
			keys = these
			continue
		}
		keys = slices.DeleteFunc(keys, func(k string) bool { return !slices.Contains(these, k) })
	}
	return keys
}
