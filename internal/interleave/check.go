package interleave

import (
	"fmt"
	"os"
	"testing"
)

// ReplayEnv names a schedule's text: Check then runs that order alone.
const ReplayEnv = "INTERLEAVE_REPLAY"

// Check walks the orders of a world for a test, and prints how many they were.
func Check(t testing.TB, o Options, make func() World) Report {
	t.Helper()
	if text := os.Getenv(ReplayEnv); text != "" {
		if f := Replay(make, text); f != nil {
			t.Fatal(f)
		}
		t.Log("the schedule holds")
		return Report{}
	}
	rep := Explore(o, make)
	if rep.Failure != nil {
		t.Fatalf("%v\n%v; again: %s='%s' go test -tags interleave -run '^%s$'", rep.Failure, rep, ReplayEnv, rep.Failure.Schedule, t.Name())
	}
	t.Logf("interleave: %v%s", rep, bounded(o))
	return rep
}

func bounded(o Options) string {
	if !o.Bounded {
		return ""
	}
	return fmt.Sprintf("; bounded: %d preemptions at most", o.Preemptions)
}
