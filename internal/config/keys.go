package config

import (
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// CheckRemovedKeys returns an error if a later configuration lacks a key of the settings that an earlier one had. A file
// that is read at SIGHUP and lacks such a key is taken to be truncated, and nothing in it is applied. Within a list
// (profiles, contracts) each entry must have the keys that every entry of the earlier list had.
func CheckRemovedKeys(earlier, later *Config) error {
	if len(earlier.raw) == 0 || len(later.raw) == 0 {
		return nil
	}
	return findRemovedKey("settings", gjson.GetBytes(earlier.raw, "settings"), gjson.GetBytes(later.raw, "settings"))
}

// findRemovedKey compares the values at a path and returns an error for the first removed key.
func findRemovedKey(path string, earlier, later gjson.Result) error {
	switch {
	case earlier.IsObject():
		if !later.IsObject() {
			return &MissingKeyError{path, "missing or not an object"}
		}
		var err error
		earlier.ForEach(func(k, v gjson.Result) bool {
			value := later.Get(gjson.Escape(k.String()))
			if !value.Exists() {
				err = &MissingKeyError{path + "." + k.String(), "missing; the previous configuration had it"}
				return false
			}
			err = findRemovedKey(path+"."+k.String(), v, value)
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
					return &MissingKeyError{fmt.Sprintf("%s.%d.%s", path, i, k), "missing; every entry of the previous configuration had it"}
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
		var entryKeys []string
		e.ForEach(func(k, _ gjson.Result) bool { entryKeys = append(entryKeys, k.String()); return true })
		if i == 0 {
			keys = entryKeys
			continue
		}
		keys = slices.DeleteFunc(keys, func(k string) bool { return !slices.Contains(entryKeys, k) })
	}
	return keys
}
