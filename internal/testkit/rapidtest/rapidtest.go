// Package rapidtest fixes what rapid would draw from the clock, so that tests give the same
// verdict every time.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed seed and no files left behind.
func Main(m *testing.M) {
	flag.Parse()
	for k, v := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
