// Package steppedclock builds programs whose wall clock can be stepped while their monotonic clock runs on. It replaces a part of the
// standard library's package time in the build only; nothing of the machine's clock is changed.
package steppedclock

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// environmentKey names the variable from which a program reads its steps.
const environmentKey = "WHEATSADDLE_CLOCK_STEPS"

// nowCall is the line of time.Now that reads both clocks, and steppedCall what replaces it.
const (
	nowCall     = "\tsec, nsec, mono := runtimeNow()\n"
	steppedCall = nowCall + "\tsec += clockStep(mono)\n"
)

//go:embed clockstep.go.txt
var clockStepSource []byte

// Step sets the wall clock's offset from the machine's, in whole seconds, some time after the program's start.
type Step struct {
	After  time.Duration
	Offset time.Duration
}

// Environment returns the variable that makes a program take the steps, in the order of their times.
func Environment(steps []Step) string {
	var parts []string
	for _, s := range steps {
		parts = append(parts, fmt.Sprintf("%d:%d", s.After.Milliseconds(), int64(s.Offset.Seconds())))
	}
	return environmentKey + "=" + strings.Join(parts, ",")
}

// Build builds a program of this module whose clock can be stepped, with its files in dir. An error tells if the toolchain's package
// time is another one than this package knows.
func Build(ctx context.Context, dir, program string) (path string, err error) {
	root, err := goRoot(ctx)
	if err != nil {
		return "", err
	}
	overlay, err := writeOverlay(dir, filepath.Join(root, "src", "time"))
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, filepath.Base(program)+"-stepped")
	c := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", path, program)
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s with a stepped clock: %w: %s", program, err, out)
	}
	return path, nil
}

// goRoot returns the folder of the toolchain.
func goRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return "", fmt.Errorf("go env: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// writeOverlay writes the replaced files of package time, and the list of them that the build reads, whose path it returns.
func writeOverlay(dir, timePackage string) (string, error) {
	original := filepath.Join(timePackage, "time.go")
	source, err := os.ReadFile(original)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), nowCall) != 1 {
		return "", fmt.Errorf("%s: time.Now is not as expected", original)
	}
	replaced, added := filepath.Join(dir, "time.go"), filepath.Join(dir, "clockstep.go")
	text := strings.Replace(string(source), nowCall, steppedCall, 1)
	if err := os.WriteFile(replaced, []byte(text), 0o600); err != nil {
		return "", err
	}
	if err := os.WriteFile(added, clockStepSource, 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {
		original: replaced, filepath.Join(timePackage, "clockstep.go"): added}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, list, 0o600)
}
