// Package mutant runs a test against a copy of the code in which a line is gone or moved: the test
// must fail, the same when its schedule is replayed. Nothing of the copy is in the tree: the go
// command takes it as an overlay.
package mutant

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	il "wheatsaddle/internal/interleave"
)

// insideEnv says that this is the test of a mutant: it has none of its own.
const insideEnv = "INTERLEAVE_MUTANT"

// Inside says that the code under test is a mutant.
func Inside() bool { return os.Getenv(insideEnv) != "" }

// Mutant is one line lost or moved.
type Mutant struct {
	File string // in the test's own folder
	Old  string // is there exactly once
	New  string
	Want string // what the failure says
	Test string // "": the caller
}

var schedule = regexp.MustCompile(`(?m)^\s*schedule: (.*)$`)

// Found runs the mutants of the calling test.
func Found(t *testing.T, list ...Mutant) {
	t.Helper()
	if Inside() || os.Getenv(il.ReplayEnv) != "" {
		return
	}
	for _, m := range list {
		text, err := os.ReadFile(m.File)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Fatalf("%s has %d times %q", m.File, n, m.Old)
		}
		dir := t.TempDir()
		at, err := filepath.Abs(m.File)
		if err != nil {
			t.Fatal(err)
		}
		mutated, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
		list, _ := json.Marshal(map[string]map[string]string{"Replace": {at: mutated}})
		for path, text := range map[string][]byte{mutated: []byte(strings.Replace(string(text), m.Old, m.New, 1)), overlay: list} {
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if m.Test == "" {
			m.Test = t.Name()
		}
		bin := filepath.Join(dir, "mutant.test")
		build := exec.Command("go", "test", "-c", "-tags", "interleave", "-vet=off", "-overlay", overlay, "-o", bin, ".")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%q for %q does not build: %v\n%s", m.New, m.Old, err, out)
		}
		run := func(env string) string {
			c := exec.Command(bin, "-test.run", "^"+m.Test+"$", "-test.timeout", "2m")
			c.Env = append(os.Environ(), insideEnv+"=1", env)
			out, err := c.CombinedOutput()
			if err == nil || !strings.Contains(string(out), m.Want) {
				t.Fatalf("%q for %q: want %q, got %v\n%s", m.New, m.Old, m.Want, err, out)
			}
			return string(out)
		}
		got := schedule.FindStringSubmatch(run(il.ReplayEnv + "="))
		if got == nil {
			t.Fatalf("%q for %q: no schedule", m.New, m.Old)
		}
		run(il.ReplayEnv + "=" + got[1])
		t.Logf("found: %q for %q (%s): schedule %s", m.New, m.Old, m.Want, got[1])
	}
}
