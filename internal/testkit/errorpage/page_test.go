package main

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/sourcelint"
)

const root = "../../.."

var update = flag.Bool("update", false, "write the page")

// The page matches the registered error types, and the types pass operr.Check: each has its own code, and advice.
func TestPageIsUpToDate(t *testing.T) {
	all := operr.All()
	if err := operr.Check(all); err != nil {
		t.Error(err)
	}
	want, path := render(all), filepath.Join(root, pageFile)
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		if !strings.Contains(string(got), "| `"+c.Code()+"` |") {
			t.Errorf("%s lacks the code %s; run \"go run ./internal/testkit/errorpage\"", pageFile, c.Code())
		}
	}
	if string(got) != want && !t.Failed() {
		t.Errorf("%s is out of date; run \"go run ./internal/testkit/errorpage\"", pageFile)
	}
}

// Each type with a code is on the page: it is registered, and its package is imported here.
func TestAllTypesAreRegistered(t *testing.T) {
	files, err := sourcelint.Files(root, ".")
	if err != nil {
		t.Fatal(err)
	}
	types, err := sourcelint.CodedTypes(files)
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, c := range operr.All() {
		known[strings.TrimPrefix(fmt.Sprintf("%T", c), "*")] = true
	}
	if len(types) < len(known) {
		t.Errorf("only %d types with a code found in the source, but %d are registered", len(types), len(known))
	}
	for name, file := range types {
		if !known[name] {
			t.Errorf("%s: %s is not registered with operr.Register, or its package is not imported by internal/testkit/errorpage", file, name)
		}
	}
}

// The exported functions of the packages by which processes work together return no uncoded errors. A folder that does not
// exist has none.
func TestExportedFunctionsReturnCodedErrors(t *testing.T) {
	for _, folder := range []string{"gather", "internal/scattergather", "internal/cost", "internal/nodestats", "internal/gossip", "internal/coldstart",
		"internal/coldstart/snapshot", "internal/discovery/watchtimer", "internal/metrics"} {
		found, err := sourcelint.UncodedErrors(filepath.Join(root, folder))
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range found {
			t.Error(f)
		}
	}
}

// testKitPackages are the packages of the test kit whose log lines need no codes.
var testKitPackages = []string{"client", "cluster", "exampleconfig", "experiment", "fake", "fleet", "historycheck", "workload"}

// Each line that the daemon logs at warn or above has an error's code and advice.
func TestLoggedErrorsHaveCodes(t *testing.T) {
	for _, top := range []string{"policy", "gather", "internal", "cmd/wheatsaddle"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil || !d.IsDir():
				return err
			case d.Name() == "testdata" || filepath.Base(filepath.Dir(path)) == "testkit" && slices.Contains(testKitPackages, d.Name()):
				return fs.SkipDir
			}
			found, err := sourcelint.UncodedLogs(path)
			for _, f := range found {
				t.Error(f)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
