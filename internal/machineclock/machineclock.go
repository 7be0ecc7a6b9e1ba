// Package machineclock provides a clock that all processes of a machine share and that steps of the wall clock do not move: the time
// since the machine's start.
package machineclock

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// UptimeFile tells how long the machine runs, in seconds.
const UptimeFile = "/proc/uptime"

// New returns the clock. The time since the machine's start is read once, with the resolution of the kernel's file, 10 ms; from then
// on the process's monotonic clock counts.
func New() (func() time.Duration, error) {
	b, err := os.ReadFile(UptimeFile)
	if err != nil {
		return nil, fmt.Errorf("machine clock: %w", err)
	}
	text, _, _ := strings.Cut(string(b), " ")
	uptime, err := time.ParseDuration(text + "s")
	if err != nil {
		return nil, fmt.Errorf("machine clock: %s: %w", UptimeFile, err)
	}
	origin := time.Now()
	return func() time.Duration { return uptime + time.Since(origin) }, nil
}
