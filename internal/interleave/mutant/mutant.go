// Package mutant runs a test against a copy of the code in which a line is gone or moved: the test
// must fail, the same when its schedule is replayed. Nothing of the copy is in the tree: the go
// command takes it as an overlay.
package mutant

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
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
	// Sequential says that the test has one goroutine, so that its failure has no schedule: it must fail twice.
	Sequential bool
}

var schedule = regexp.MustCompile(`(?m)^\s*schedule: (.*)$`)

// Found runs the mutants of the calling test.
func Found(t *testing.T, list ...Mutant) {
	t.Helper()
	if Inside() || os.Getenv(il.ReplayEnv) != "" {
		return
	}
	var all sync.WaitGroup
	room := make(chan struct{}, 4) // builds at once
	for _, m := range list {
		text, err := os.ReadFile(m.File)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Fatalf("%s has %d times %q", m.File, n, m.Old)
		}
		if m.Test == "" {
			m.Test = t.Name()
		}
		dir := t.TempDir()
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if got, err := find(dir, string(text), m); err != nil {
				t.Errorf("%q for %q: %v", m.New, m.Old, err)
			} else {
				t.Logf("found: %q for %q (%s): schedule %s", m.New, m.Old, m.Want, got)
			}
		})
	}
	all.Wait()
}

// find gives the schedule in which the mutant fails, now and when it is replayed.
func find(dir, text string, m Mutant) (string, error) {
	at, err := filepath.Abs(m.File)
	if err != nil {
		return "", err
	}
	mutated, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	list, _ := json.Marshal(map[string]map[string]string{"Replace": {at: mutated}})
	for path, text := range map[string][]byte{mutated: []byte(strings.Replace(text, m.Old, m.New, 1)), overlay: list} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return "", err
		}
	}
	bin := filepath.Join(dir, "mutant.test")
	build := exec.Command("go", "test", "-c", "-tags", "interleave", "-vet=off", "-overlay", overlay, "-o", bin, ".")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("does not build: %w\n%s", err, out)
	}
	run := func(env string) (string, error) {
		c := exec.Command(bin, "-test.run", "^"+m.Test+"$", "-test.timeout", "2m")
		c.Env = append(os.Environ(), insideEnv+"=1", env)
		out, err := c.CombinedOutput()
		if err == nil || !strings.Contains(string(out), m.Want) {
			return "", fmt.Errorf("want %q, got %w\n%s", m.Want, err, out)
		}
		return string(out), nil
	}
	out, err := run(il.ReplayEnv + "=")
	if err != nil {
		return "", err
	}
	if m.Sequential {
		_, err = run(il.ReplayEnv + "=")
		return "of one goroutine", err
	}
	got := schedule.FindStringSubmatch(out)
	if got == nil {
		return "", errors.New("no schedule")
	}
	_, err = run(il.ReplayEnv + "=" + got[1])
	return got[1], err
}
