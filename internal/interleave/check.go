package interleave

import (
	"fmt"
	"os"
	"testing"
)

// ReplayEnv is the environment variable for the text of a schedule. If it is set, Check runs only that schedule.
const ReplayEnv = "INTERLEAVE_REPLAY"

// Check explores a program's schedules for a test, and logs their number. A failure ends the test.
func Check(t testing.TB, options Options, newProgram func() Program) Report {
	t.Helper()
	if text := os.Getenv(ReplayEnv); text != "" {
		if f := Replay(newProgram, text); f != nil {
			t.Fatal(f)
		}
		t.Log("the schedule does not fail")
		return Report{}
	}
	rep := Explore(options, newProgram)
	if rep.Failure != nil {
		t.Fatalf("%v\n%v; to replay: %s='%s' go test -tags interleave -run '^%s$'", rep.Failure, rep, ReplayEnv, rep.Failure.Schedule, t.Name())
	}
	t.Logf("interleave: %v%s", rep, boundText(options))
	return rep
}

func boundText(o Options) string {
	if !o.Bounded {
		return ""
	}
	return fmt.Sprintf("; bounded: at most %d preemptions", o.Preemptions)
}
