// Package mutant runs a test against a copy of the code in which a piece is removed, moved or changed.
// The test must fail, and must fail in the same way when its schedule is replayed. The copy lies in a
// temporary folder and is built as an overlay of the go command.
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

// mutantEnv is set for the test of a mutant, which runs no mutants itself.
const mutantEnv = "INTERLEAVE_MUTANT"

// Inside reports whether the code under test is a mutant.
func Inside() bool { return os.Getenv(mutantEnv) != "" }

// Mutant is one mutation of the code under test, which the test must detect.
type Mutant struct {
	File string // the file to change, in the test's folder
	Old  string // text that occurs exactly once in the file
	New  string // its replacement
	Want string // part of the failure's text
	Test string // the test that must fail; "": the caller
	// Sequential states that the test has one goroutine, so that its failure has no schedule. It must fail
	// in two runs instead.
	Sequential bool
}

var scheduleLine = regexp.MustCompile(`(?m)^\s*schedule: (.*)$`)

// AssertDetected runs the calling test's mutants, and fails the test if one is not detected. In the test of a
// mutant and in a replay it does nothing.
func AssertDetected(t *testing.T, list ...Mutant) {
	t.Helper()
	if Inside() || os.Getenv(il.ReplayEnv) != "" {
		return
	}
	var detections sync.WaitGroup
	buildSlots := make(chan struct{}, 4) // bounds the concurrent builds
	for _, m := range list {
		text, err := os.ReadFile(m.File)
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(text), m.Old); n != 1 {
			t.Fatalf("%s: %d occurrences of %q, want 1", m.File, n, m.Old)
		}
		if m.Test == "" {
			m.Test = t.Name()
		}
		dir := t.TempDir()
		detections.Go(func() {
			buildSlots <- struct{}{}
			defer func() { <-buildSlots }()
			if got, err := detect(dir, string(text), m); err != nil {
				t.Errorf("%q in place of %q: %v", m.New, m.Old, err)
			} else {
				t.Logf("detected: %q in place of %q (%s): schedule %s", m.New, m.Old, m.Want, got)
			}
		})
	}
	detections.Wait()
}

// detect returns the schedule in which the mutant fails, after it has failed again in a replay.
func detect(dir, text string, m Mutant) (string, error) {
	absolutePath, err := filepath.Abs(m.File)
	if err != nil {
		return "", err
	}
	mutated, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	overlayText, _ := json.Marshal(map[string]map[string]string{"Replace": {absolutePath: mutated}})
	for path, text := range map[string][]byte{mutated: []byte(strings.Replace(text, m.Old, m.New, 1)), overlay: overlayText} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return "", err
		}
	}
	testBinary := filepath.Join(dir, "mutant.test")
	build := exec.Command("go", "test", "-c", "-tags", "interleave", "-vet=off", "-overlay", overlay, "-o", testBinary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the mutant: %w\n%s", err, out)
	}
	run := func(env string) (string, error) {
		c := exec.Command(testBinary, "-test.run", "^"+m.Test+"$", "-test.timeout", "2m")
		c.Env = append(os.Environ(), mutantEnv+"=1", env)
		out, err := c.CombinedOutput()
		if err == nil || !strings.Contains(string(out), m.Want) {
			return "", fmt.Errorf("want a failure with %q, got %w\n%s", m.Want, err, out)
		}
		return string(out), nil
	}
	out, err := run(il.ReplayEnv + "=")
	if err != nil {
		return "", err
	}
	if m.Sequential {
		_, err = run(il.ReplayEnv + "=")
		return "none (one goroutine)", err
	}
	scheduleMatch := scheduleLine.FindStringSubmatch(out)
	if scheduleMatch == nil {
		return "", errors.New("the failure's output has no schedule")
	}
	_, err = run(il.ReplayEnv + "=" + scheduleMatch[1])
	return scheduleMatch[1], err
}
