package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"wheatsaddle/policy"
)

// Names of the files in error texts.
const (
	configurationFile = "configuration"
	siteFile          = "site"
	iscsiFile         = "iscsi"
)

// CheckRemovedKeys returns an error if a later configuration is incomplete compared with the one in effect. A file that is
// read at SIGHUP and lacks a key, at any depth, is taken to be truncated, and nothing in it is applied.
func CheckRemovedKeys(inEffect, later *Config) error {
	return checkComplete(configurationFile, inEffect.raw, later.raw, nil)
}

// CheckRemovedISCSIKeys is CheckRemovedKeys for the texts of the iSCSI front's file.
func CheckRemovedISCSIKeys(inEffect, later []byte) error {
	if err := validate(iscsiFile, iscsiFile, later); err != nil {
		return err
	}
	return checkComplete(iscsiFile, inEffect, later, nil)
}

// CheckRemovedSiteKeys is CheckRemovedKeys for the site's file. The gather rules are left out: CheckRemovedRules compares them,
// because they may move between the section and a file.
func CheckRemovedSiteKeys(inEffect *Site, later []byte) error {
	if err := validate(siteFile, "", later); err != nil {
		return err
	}
	root := gjson.ParseBytes(later)
	hasRules := root.Get("gather.rules").Exists() || root.Get("gather.rules_file").Exists()
	movable := func(path []string) bool {
		return hasRules && len(path) > 1 && path[0] == "gather" && (path[1] == "rules" || path[1] == "rules_file")
	}
	return checkComplete(siteFile, inEffect.raw, later, movable)
}

// CheckRemovedRules is CheckRemovedKeys for the gather rules and the token key. The rules of a class may be left out once the
// settings have no such class.
func CheckRemovedRules(inEffect, later *Site, settings policy.Settings) error {
	if inEffect.Gather == nil || later.Gather == nil {
		return nil
	}
	if err := later.Gather.checkTokenKey(inEffect.Gather); err != nil {
		return err
	}
	vanishedClass := func(path []string) bool {
		return len(path) == 2 && path[0] == "classes" &&
			!slices.ContainsFunc(settings.Classes, func(class policy.Class) bool { return class.Name == path[1] })
	}
	return checkComplete(later.Gather.rulesSource(), inEffect.Gather.rulesText, later.Gather.rulesText, vanishedClass)
}

// checkComplete compares two texts of a file. Without a text in effect, everything is complete.
func checkComplete(file string, inEffect, later []byte, removable func(path []string) bool) error {
	if len(inEffect) == 0 || len(later) == 0 {
		return nil
	}
	c := &completeness{file: file, removable: removable}
	return c.compare(nil, gjson.ParseBytes(inEffect), gjson.ParseBytes(later))
}

// completeness compares a file that was read again with the one in effect:
//
//   - A key of the file in effect must be there, at every depth, unless it is removable.
//   - A value must have the type that it had. A null counts as missing, unless the file in effect has a null there.
//   - Entries may be added to lists and removed from them. An entry that the list had, by its identity, must have all its keys. A
//     new entry must have the keys that every entry had, but for optionalKeys, and a new deduplicated class those of deduplicationKeys
//     that every such class had.
type completeness struct {
	file      string
	removable func(path []string) bool // keys that may be left out; nil: none
}

// identityKeys are the keys that identify an entry of a list, in order of precedence. Entries without any are compared by
// their position while the list keeps its length.
var identityKeys = []string{"name", "key", "lun"}

const (
	// variantKey is the key of a class that decides which others apply to it.
	variantKey = "repeat"
	// deduplicatedVariant is the only value of variantKey to which deduplicationKeys apply.
	deduplicatedVariant = "keyed"
)

var (
	deduplicationKeys = []string{"key-scope", "memory-span"}
	// optionalKeys are keys of classes that the platform sets only where they apply.
	optionalKeys = []string{"aim-stretch", "by-arrival"}
)

// fail returns an error for the key at a path.
func (c *completeness) fail(path []string, problem string) error {
	key := "the file"
	for i, p := range path {
		if i == 0 {
			key = p
			continue
		}
		key += "." + p
	}
	return &MissingKeyError{File: c.file, Key: key, Problem: problem}
}

// child returns the path of a value inside the one at path.
func child(path []string, key string) []string { return append(slices.Clone(path), key) }

// compare compares the values at a path.
func (c *completeness) compare(path []string, inEffect, later gjson.Result) error {
	if inEffect.Type == gjson.Null {
		return nil
	}
	if later.Type == gjson.Null {
		return c.fail(path, "missing (null); the file in effect had a value")
	}
	if kindOf(inEffect) != kindOf(later) {
		return c.fail(path, fmt.Sprintf("missing or not %s", kindOf(inEffect)))
	}
	switch {
	case inEffect.IsObject():
		return c.compareObjects(path, inEffect, later)
	case inEffect.IsArray():
		return c.compareLists(path, inEffect.Array(), later.Array())
	}
	return nil
}

// kindOf returns the type of a value, for comparisons and error texts.
func kindOf(v gjson.Result) string {
	switch {
	case v.IsObject():
		return "an object"
	case v.IsArray():
		return "a list"
	case v.IsBool():
		return "true or false"
	case v.Type == gjson.Number:
		return "a number"
	case v.Type == gjson.String:
		return "text"
	}
	return "null"
}

// member returns a member of an object.
func member(object gjson.Result, key string) gjson.Result { return object.Get(gjson.Escape(key)) }

// compareObjects compares the members of two objects.
func (c *completeness) compareObjects(path []string, inEffect, later gjson.Result) error {
	var err error
	inEffect.ForEach(func(k, v gjson.Result) bool {
		at := child(path, k.String())
		value := member(later, k.String())
		switch {
		case value.Exists():
			err = c.compare(at, v, value)
		case c.removable == nil || !c.removable(at):
			err = c.fail(at, "missing; the file in effect had it")
		}
		return err == nil
	})
	if err != nil {
		return err
	}
	later.ForEach(func(k, v gjson.Result) bool {
		if !member(inEffect, k.String()).Exists() {
			err = c.findNull(child(path, k.String()), v)
		}
		return err == nil
	})
	return err
}

// findNull returns an error if a value that the file in effect did not have is null or contains a null.
func (c *completeness) findNull(path []string, v gjson.Result) error {
	if v.Type == gjson.Null {
		return c.fail(path, "null is not a value")
	}
	if !v.IsObject() && !v.IsArray() {
		return nil
	}
	var err error
	index := 0
	v.ForEach(func(k, value gjson.Result) bool {
		key := k.String()
		if v.IsArray() {
			key = strconv.Itoa(index)
		}
		index++
		err = c.findNull(child(path, key), value)
		return err == nil
	})
	return err
}

// compareLists compares the entries of two lists.
func (c *completeness) compareLists(path []string, inEffect, later []gjson.Result) error {
	for i, entry := range later {
		at := child(path, strconv.Itoa(i))
		if err := c.compareEntry(at, inEffect, entry, previousEntry(inEffect, later, i)); err != nil {
			return err
		}
	}
	return nil
}

// previousEntry returns the entry of the list in effect that the later list's entry i continues. It does not exist for a new
// entry.
func previousEntry(inEffect, later []gjson.Result, i int) gjson.Result {
	key, value := identity(later[i])
	if key == "" {
		if len(inEffect) == len(later) {
			return inEffect[i]
		}
		return gjson.Result{}
	}
	for _, entry := range inEffect {
		if entry.IsObject() && member(entry, key).Raw != "" && member(entry, key).String() == value {
			return entry
		}
	}
	return gjson.Result{}
}

// identity returns the key and the value that identify an entry of a list; "": none.
func identity(entry gjson.Result) (key, value string) {
	if !entry.IsObject() {
		return "", ""
	}
	for _, key := range identityKeys {
		if v := member(entry, key); v.Exists() {
			return key, v.String()
		}
	}
	return "", ""
}

// compareEntry compares an entry of a list with the previous entry that it continues, or else with all entries of the list in
// effect.
func (c *completeness) compareEntry(path []string, inEffect []gjson.Result, entry, previous gjson.Result) error {
	if previous.Exists() {
		return c.compareContinued(path, previous, entry)
	}
	if err := c.findNull(path, entry); err != nil {
		return err
	}
	if !entry.IsObject() {
		return c.compareKind(path, inEffect, entry)
	}
	for _, k := range requiredKeys(inEffect, entry) {
		value := member(entry, k)
		at := child(path, k)
		if !value.Exists() {
			return c.fail(at, "missing; every such entry of the file in effect had it")
		}
		if err := c.compareKind(at, members(inEffect, k), value); err != nil {
			return err
		}
	}
	return nil
}

// compareContinued compares an entry with the one that it continues. The keys for deduplication may be left out when the class
// is no longer deduplicated.
func (c *completeness) compareContinued(path []string, previous, entry gjson.Result) error {
	wasDeduplicated := member(previous, variantKey).String() == deduplicatedVariant
	if !wasDeduplicated || member(entry, variantKey).String() == deduplicatedVariant || !member(entry, variantKey).Exists() {
		return c.compare(path, previous, entry)
	}
	outer := c.removable
	inner := &completeness{file: c.file, removable: func(at []string) bool {
		isDeduplicationKey := len(at) == len(path)+1 && slices.Contains(deduplicationKeys, at[len(path)])
		return isDeduplicationKey || outer != nil && outer(at)
	}}
	return inner.compare(path, previous, entry)
}

// compareKind returns an error if a value has a type that none of the others has.
func (c *completeness) compareKind(path []string, others []gjson.Result, value gjson.Result) error {
	if len(others) == 0 || slices.ContainsFunc(others, func(other gjson.Result) bool { return kindOf(other) == kindOf(value) }) {
		return nil
	}
	return c.fail(path, fmt.Sprintf("not %s", kindOf(others[0])))
}

// requiredKeys returns the keys that a new entry of a list must have.
func requiredKeys(inEffect []gjson.Result, entry gjson.Result) []string {
	required := slices.DeleteFunc(commonKeys(inEffect), func(key string) bool { return slices.Contains(optionalKeys, key) })
	if member(entry, variantKey).String() != deduplicatedVariant {
		return required
	}
	ofDeduplicated := slices.DeleteFunc(commonKeys(sameVariant(inEffect, entry)), func(key string) bool {
		return !slices.Contains(deduplicationKeys, key)
	})
	return append(required, ofDeduplicated...)
}

// members returns the members of a name in the objects of a list.
func members(list []gjson.Result, key string) (values []gjson.Result) {
	for _, entry := range list {
		if v := member(entry, key); v.Exists() {
			values = append(values, v)
		}
	}
	return values
}

// sameVariant returns the entries of a list that have the entry's value at variantKey.
func sameVariant(list []gjson.Result, entry gjson.Result) (same []gjson.Result) {
	variant := member(entry, variantKey)
	for _, other := range list {
		if other.IsObject() && member(other, variantKey).String() == variant.String() {
			same = append(same, other)
		}
	}
	return same
}

// commonKeys returns the keys that every object of a list has; none if an entry is not an object.
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

// validate returns an error if a text is not one complete JSON value in which every key occurs once. The prefix is that of the
// file's keys in error texts.
func validate(file, prefix string, text []byte) error {
	if !gjson.ValidBytes(text) {
		return &JSONError{File: file}
	}
	if key := findDuplicateKey(prefix, gjson.ParseBytes(text)); key != "" {
		return &KeyError{File: file, Key: key, Problem: "occurs twice"}
	}
	return nil
}

// findDuplicateKey returns the path of the first key that an object has twice; "": none.
func findDuplicateKey(path string, v gjson.Result) (duplicate string) {
	if !v.IsObject() && !v.IsArray() {
		return ""
	}
	seen := map[string]bool{}
	index := 0
	v.ForEach(func(k, value gjson.Result) bool {
		name := k.String()
		if v.IsArray() {
			name = strconv.Itoa(index)
		}
		index++
		at := name
		if path != "" {
			at = path + "." + name
		}
		if seen[name] {
			duplicate = at
			return false
		}
		seen[name] = true
		duplicate = findDuplicateKey(at, value)
		return duplicate == ""
	})
	return duplicate
}
