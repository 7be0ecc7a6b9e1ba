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
	minVariants     = 2  // in deploy/sites
	minVariantNames = 20 // of the variants' classes, plans, zones and tiers
)

// addDeploymentVariants adds the names of the configuration variants in deploy/sites. The names of classes, plans, zones
// and tiers must not occur as whole strings. Those with a hyphen, which no sentence contains by accident, and the names
// of the sites must not occur anywhere.
func addDeploymentVariants(t *testing.T, w *sourcelint.ForbiddenWords) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(root, "deploy", "sites", "*", "config.json"))
	if err != nil || len(paths) < minVariants {
		t.Fatalf("found only %d configuration variants in deploy/sites, error %v", len(paths), err)
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
	if names < minVariantNames {
		t.Fatalf("found only %d names in %v", names, paths)
	}
}

// The deploy file contains no name of a deployment either.
func TestDeployFileNamesNoDeployment(t *testing.T) {
	w := deploymentWords(t)
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range append(w.Anywhere, w.Whole...) {
		if strings.Contains(strings.ToLower(string(text)), name) {
			t.Errorf("deploy/balancer.toml contains %q, a name of a deployment", name)
		}
	}
}

// deploymentWords returns the names of known deployments, from the data file and from the variants in deploy/sites.
func deploymentWords(t *testing.T) sourcelint.ForbiddenWords {
	t.Helper()
	text, err := os.ReadFile("testdata/words.json")
	if err != nil {
		t.Fatal(err)
	}
	var w sourcelint.ForbiddenWords
	if err := json.Unmarshal(text, &w); err != nil || len(w.Whole) == 0 || len(w.Anywhere) == 0 {
		t.Fatal(err, w)
	}
	addDeploymentVariants(t, &w)
	return w
}

// The code contains no name of a class, plan, zone or tenant of the examples or of a known deployment: names come from
// settings. The rule itself is tested in package sourcelint.
func TestCodeNamesNoDeployment(t *testing.T) {
	w := deploymentWords(t)
	names := Names()
	if len(names) != 12 {
		t.Fatalf("the examples have the names %v, want 12 names", names)
	}
	w.Whole = append(w.Whole, names...)
	files, err := sourcelint.Files(root, ".")
	if err != nil || len(files) < 80 {
		t.Fatalf("found only %d Go files, error %v", len(files), err)
	}
	found, err := sourcelint.ForbiddenNames(files, w)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}
