package steppedclock

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A program that is built here sees its wall clock stepped, and its monotonic clock run on.
func TestWallClockIsStepped(t *testing.T) {
	dir := t.TempDir()
	source := `package main

import (
	"fmt"
	"time"
)

func main() {
	began := time.Now()
	wall := began.Round(0)
	time.Sleep(200 * time.Millisecond)
	now := time.Now()
	fmt.Println(int64(now.Round(0).Sub(wall).Seconds()), now.Sub(began).Milliseconds())
}
`
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := Build(t.Context(), dir, filepath.Join(dir, "main.go"))
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(program)
	c.Env = append(os.Environ(), Environment([]Step{{0, 5 * time.Second}, {100 * time.Millisecond, -time.Hour}}))
	out, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(out))
	wall, _ := strconv.Atoi(fields[0])
	monotonic, _ := strconv.Atoi(fields[1])
	if wall > -3600 || wall < -3606 || monotonic < 200 || monotonic > 2000 {
		t.Errorf("the wall clock advanced by %d s, the monotonic one by %d ms", wall, monotonic)
	}
}
