package exampleconfig

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/testkit/sourcelint"
)

const (
	root            = "../../.."
	variantsLeast   = 2  // of deploy/sites
	variantNamesMin = 20 // of their classes, plans, zones and tiers
)

// addVariants adds the names of the variants in deploy/sites: of classes, plans, zones and tiers as whole texts;
// those of several words, which no sentence has by accident, and the sites' own anywhere.
func addVariants(t *testing.T, w *sourcelint.Words) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "deploy", "sites", "*", "config.json"))
	if err != nil || len(paths) < variantsLeast {
		t.Fatalf("%d variants, %v", len(paths), err)
	}
	names := 0
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		w.Anywhere = append(w.Anywhere, filepath.Base(filepath.Dir(path)))
		for _, list := range []string{"profiles.#.name", "contracts.#.name", "zones", "tiers"} {
			for _, name := range gjson.GetBytes(text, "settings."+list).Array() {
				names++
				w.Whole = append(w.Whole, name.Str)
				if strings.Contains(name.Str, "-") {
					w.Anywhere = append(w.Anywhere, name.Str)
				}
			}
		}
	}
	if names < variantNamesMin {
		t.Fatalf("%d names in %v", names, paths)
	}
}

// The deploy file names no deployment either.
func TestDeployFileNamesNoDeployment(t *testing.T) {
	w := words(t)
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range append(w.Anywhere, w.Whole...) {
		if strings.Contains(strings.ToLower(string(text)), name) {
			t.Errorf("deploy/balancer.toml: %q", name)
		}
	}
}

// words are the names of the deployments that are known: of the data file, and of the variants.
func words(t *testing.T) sourcelint.Words {
	t.Helper()
	text, err := os.ReadFile("testdata/words.json")
	if err != nil {
		t.Fatal(err)
	}
	var w sourcelint.Words
	if err := json.Unmarshal(text, &w); err != nil || len(w.Whole) == 0 || len(w.Anywhere) == 0 {
		t.Fatal(err, w)
	}
	addVariants(t, &w)
	return w
}

// No class, plan, zone or tenant of the examples or of a known deployment stands in the code: names come
// from settings. What the rule finds, and where, is tested with the rule.
func TestNamesStandInDataOnly(t *testing.T) {
	w := words(t)
	names := Names()
	if len(names) != 12 {
		t.Fatalf("%v: a class and a plan less or more than the examples have", names)
	}
	w.Whole = append(w.Whole, names...)
	files, err := sourcelint.Files(root, ".")
	if err != nil || len(files) < 80 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	found, err := sourcelint.Names(files, w)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}
