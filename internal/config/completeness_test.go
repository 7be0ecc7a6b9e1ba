package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"wheatsaddle/policy"
)

// A file that is read at SIGHUP and lacks an earlier key is rejected. Removed and added classes, and added keys, are accepted.
func TestReloadRejectsRemovedKeys(t *testing.T) {
	earlier, err := Parse([]byte(validConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"max-attempts":4,`, ``, "settings.ceilings.max-attempts"},
		{`"worth":2.0}`, `"x":1}`, "settings.profiles.1.worth"},
		{`,"price":0.96`, ``, "settings.contracts.0.price"},
		{`"rules":{"cold":17000.0},`, ``, "settings.rules"},
		{`{"name":"balance-read","goal-time":250.0,"deadline":1500.0,"repeat":"safe","key-scope":"all","worth":3.0},`, ``, ""},
		{`"worth":3.0}`, `"worth":3.0},{"name":"extra","goal-time":250.0,"deadline":1500.0,"repeat":"safe","key-scope":"all","worth":3.0,"more":1}`, ""},
		{`"me":1,`, `"me":1,"added":true,`, ""},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig {
			t.Fatalf("%q is not in the configuration", c.from)
		}
		later, err := Parse([]byte(text), noEnv)
		if err != nil {
			t.Fatalf("with %s: %v", c.to, err)
		}
		err = CheckRemovedKeys(earlier, later)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want+": missing")) {
			t.Errorf("%q in place of %q: error %v, want missing key %q", c.to, c.from, err, c.want)
		}
	}
}

// fullRules are gather rules with every key.
const fullRules = `{"classes":{"read":{"records":{"form":"json-lines","max_bytes":1024},"order":[{"key":"k","type":"integer",
"direction":"descending","absent":"first"},{"key":"t","type":"text","locale":"fr","equal":"bytes","direction":"ascending","absent":"last"}],
"duplicates":{"keep":"highest","by":1,"version":{"key":"v","type":"integer"}},"truncate":{"offset":1,"rows":7,"bytes":100000},
"complete":{"need":"at-least","parts":2},"memory":{"rows":512,"bytes":1048576},"copies":4,"conflicts":9},
"listing":{"order":[{"key":"k","type":"bytes"}],"memory":{"bytes":1048576}}}}`

// reloadCase is a file that SIGHUP reads, with the check of a later text against the one in effect.
type reloadCase struct {
	file  string
	text  []byte
	check func(t *testing.T, later []byte) error
}

// reloadCases returns one case for each file that SIGHUP reads. Each file has every key that its reader knows.
func reloadCases(t *testing.T) []reloadCase {
	t.Helper()
	const recordedRules = "testdata/recorded-files/rules.json"
	inEffect := parseRecordedConfig(t, "config.json")
	rulesFile, rulesText, iscsiText := filepath.Join(t.TempDir(), "rules.json"), []byte(fullRules), readRecordedFile(t, "iscsi.json")
	if err := os.WriteFile(rulesFile, rulesText, 0o600); err != nil {
		t.Fatal(err)
	}
	siteText := bytes.Replace(readRecordedFile(t, "site.json"), []byte(recordedRules), []byte(rulesFile), 1)
	site, err := ParseSite(siteText)
	if err != nil {
		t.Fatal(err)
	}
	settings := inEffect.Settings
	for class := range site.Gather.Rules { // the rules of a class must stay as long as the settings have it
		settings.Classes = append(settings.Classes, policy.Class{Name: class})
	}
	laterRules := filepath.Join(t.TempDir(), "rules.json")
	checkSite := func(siteFile string, text []byte) error {
		if err := os.WriteFile(siteFile, text, 0o600); err != nil {
			t.Fatal(err)
		}
		later, err := ReloadSite(siteFile, site)
		if err != nil {
			return err
		}
		return CheckRemovedRules(site, later, settings)
	}
	siteFile, rulesSiteFile := filepath.Join(t.TempDir(), "site.json"), filepath.Join(t.TempDir(), "site.json")
	return []reloadCase{
		{"configuration", readRecordedFile(t, "config.json"), func(_ *testing.T, later []byte) error {
			conf, err := Parse(later, noEnv)
			if err != nil {
				return err
			}
			return CheckRemovedKeys(inEffect, conf)
		}},
		{"site", siteText, func(_ *testing.T, later []byte) error { return checkSite(siteFile, later) }},
		{"iscsi", iscsiText, func(_ *testing.T, later []byte) error {
			if err := CheckRemovedISCSIKeys(iscsiText, later); err != nil {
				return err
			}
			_, err := ParseISCSI(later, inEffect.Settings)
			return err
		}},
		{"gather rules", rulesText, func(t *testing.T, later []byte) error {
			if err := os.WriteFile(laterRules, later, 0o600); err != nil {
				t.Fatal(err)
			}
			return checkSite(rulesSiteFile, bytes.Replace(siteText, []byte(rulesFile), []byte(laterRules), 1))
		}},
	}
}

// editEach calls edited with the text after each edit of a member of an object, at every depth. The edit returns false if it
// does not apply to the member's value.
func editEach(t *testing.T, text []byte, edit func(object map[string]any, key string) bool, edited func(path string, text []byte)) {
	t.Helper()
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		t.Fatal(err)
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for _, key := range slices.Sorted(maps.Keys(v)) {
				at, old := strings.TrimPrefix(path+"."+key, "."), v[key]
				if edit(v, key) {
					changed, err := json.Marshal(root)
					if err != nil {
						t.Fatal(err)
					}
					edited(at, changed)
				}
				v[key] = old
				walk(at, old)
			}
		case []any:
			for i, entry := range v {
				walk(fmt.Sprintf("%s.%d", path, i), entry)
			}
		}
	}
	walk("", root)
}

// namesKey reports whether an error names the key at a path, or the object that contains it.
func namesKey(err error, path string) bool {
	parent, key := "", path
	if i := strings.LastIndex(path, "."); i >= 0 {
		parent, key = path[:i], path[i+1:]
	}
	text := err.Error()
	return strings.Contains(text, path) || strings.Contains(text, parent) && strings.Contains(text, key)
}

// Guards against a broken file that is taken at SIGHUP: any key of the file in effect is missing, at any depth (review 10: limits).
func TestReloadRejectsEachMissingKey(t *testing.T) {
	for _, x := range reloadCases(t) {
		t.Run(x.file, func(t *testing.T) {
			t.Parallel()
			if err := x.check(t, x.text); err != nil {
				t.Fatalf("the file in effect is rejected: %v", err)
			}
			remove := func(object map[string]any, key string) bool { delete(object, key); return true }
			removed := 0
			editEach(t, x.text, remove, func(path string, later []byte) {
				removed++
				if err := x.check(t, later); err == nil || !namesKey(err, path) {
					t.Errorf("without %s: error %v, want one that names the key", path, err)
				}
			})
			if removed < 10 {
				t.Errorf("only %d keys were removed", removed)
			}
		})
	}
}

// Guards against a broken file that is taken at SIGHUP: a number is null or of another type, also where no reader uses it.
func TestReloadRejectsEachNumberOfAnotherType(t *testing.T) {
	for _, x := range reloadCases(t) {
		for _, wrong := range []any{nil, "12", true, []any{}, map[string]any{}} {
			t.Run(fmt.Sprintf("%s/%v", x.file, wrong), func(t *testing.T) {
				replace := func(object map[string]any, key string) bool {
					_, isNumber := object[key].(float64)
					object[key] = wrong
					return isNumber
				}
				editEach(t, x.text, replace, func(path string, later []byte) {
					if err := x.check(t, later); err == nil || !namesKey(err, path) {
						t.Errorf("%s is %v: error %v, want one that names the key", path, wrong, err)
					}
				})
			})
		}
	}
}

// Guards against a broken file that is taken at SIGHUP: it is cut at any byte, empty, followed by other bytes, or has a key twice.
func TestReloadRejectsBrokenTexts(t *testing.T) {
	for _, x := range reloadCases(t) {
		t.Run(x.file, func(t *testing.T) {
			t.Parallel()
			whole := bytes.TrimSpace(x.text)
			for cut := range whole {
				if err := x.check(t, whole[:cut]); err == nil {
					t.Fatalf("cut after %d of %d bytes: accepted", cut, len(whole))
				}
			}
			for _, end := range []string{"}", "{}", ",", "x", "\x00", string(whole)} {
				if err := x.check(t, append(bytes.Clone(whole), end...)); err == nil {
					t.Errorf("followed by %.5q: accepted", end)
				}
			}
			checkDuplicates(t, x, whole)
		})
	}
}

// checkDuplicates checks a file with each of its members twice in turn.
func checkDuplicates(t *testing.T, x reloadCase, whole []byte) {
	t.Helper()
	members := regexp.MustCompile(`"([^"\\]+)"\s*:\s*(-?[0-9.]+|true|false|"[^"]*")`)
	found := members.FindAllSubmatchIndex(whole, -1)
	if len(found) < 10 {
		t.Fatalf("only %d members", len(found))
	}
	for _, at := range found {
		member, key := whole[at[0]:at[1]], string(whole[at[2]:at[3]])
		later := slices.Concat(whole[:at[0]], member, []byte(","), whole[at[0]:])
		if err := x.check(t, later); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s twice: error %v, want one that names the key", key, err)
		}
	}
}

// Entries of lists may come, go and move. One that stays keeps its keys; a new one has those that every such entry had.
func TestReloadComparesEntriesByName(t *testing.T) {
	const (
		read   = `{"name":"read","deadline":1500,"repeat":"safe","worth":3}`
		record = `{"name":"record","deadline":1500,"repeat":"keyed","key-scope":"cell","memory-span":2500,"worth":2}`
		// inTurn is the only class of its kind, with keys that apply to it alone.
		inTurn = `{"name":"turn","deadline":1500,"repeat":"keyed","key-scope":"cell","memory-span":2500,"worth":2,"by-arrival":true,"aim-stretch":2}`
		basic  = `{"name":"basic","cap":27,"burst":38,"shares":1}`
		free   = `{"name":"free","shares":2}`
	)
	file := func(profiles, contracts string) []byte {
		return fmt.Appendf(nil, `{"settings":{"ceilings":{"max-attempts":4},"profiles":[%s],"contracts":[%s]}}`, profiles, contracts)
	}
	inEffect := file(read+","+record, basic+","+free)
	for _, x := range []struct{ name, profiles, contracts, missing string }{
		{"unchanged", read + "," + record, basic + "," + free, ""},
		{"moved", record + "," + read, free + "," + basic, ""},
		{"a class and a plan vanish", record, free, ""},
		{"a class appears", read + "," + record + `,{"name":"export","deadline":9,"repeat":"unsafe","worth":1}`, basic + "," + free, ""},
		{"a stricter effect needs no deduplication", read + `,{"name":"record","deadline":1500,"repeat":"unsafe","worth":2}`, basic + "," + free, ""},
		{"a plan without a limit appears", read + "," + record, basic + "," + free + `,{"name":"more","shares":1}`, ""},
		{"a class that stays loses a key that another has not", read + `,{"name":"record","deadline":1500,"repeat":"keyed","key-scope":"cell","worth":2}`, basic + "," + free, "settings.profiles.1.memory-span"},
		{"a plan that moves loses its limit", read + "," + record, free + `,{"name":"basic","burst":38,"shares":1}`, "settings.contracts.1.cap"},
		{"a new deduplicated class lacks its window", read + "," + record + `,{"name":"late","deadline":9,"repeat":"keyed","key-scope":"all","worth":1}`, basic + "," + free, "settings.profiles.2.memory-span"},
		{"a new class lacks its deadline", read + "," + record + `,{"name":"export","repeat":"unsafe","worth":1}`, basic + "," + free, "settings.profiles.2.deadline"},
		{"a new class has a null", read + "," + record + `,{"name":"export","deadline":9,"repeat":"unsafe","worth":1,"aim-stretch":null}`, basic + "," + free, "settings.profiles.2.aim-stretch"},
		{"an entry has no name", read + `,{"deadline":1500,"repeat":"keyed","key-scope":"cell","memory-span":2500,"worth":2}`, basic + "," + free, "settings.profiles.1.name"},
	} {
		err := checkComplete(configurationFile, inEffect, file(x.profiles, x.contracts), nil)
		var missing *MissingKeyError
		if x.missing == "" && err != nil || x.missing != "" && (!errors.As(err, &missing) || missing.Key != x.missing) {
			t.Errorf("%s: error %v, want missing key %q", x.name, err, x.missing)
		}
	}
	onlyInTurn := file(inTurn, basic)
	if err := checkComplete(configurationFile, onlyInTurn, file(inTurn+","+record+","+strings.ReplaceAll(read, "}", `,"key-scope":"all","memory-span":1}`), basic), nil); err != nil {
		t.Errorf("classes without optional keys appear beside one that has them: %v", err)
	}
	if err := checkComplete(configurationFile, onlyInTurn, file(strings.Replace(inTurn, `,"by-arrival":true`, "", 1), basic), nil); err == nil {
		t.Error("a class that stays lost an optional key")
	}
}
