// Package rapidtest fixes rapid's random seed, which it otherwise takes from the clock, so that tests give the
// same result on every run.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed and without writing failure files.
func Main(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
