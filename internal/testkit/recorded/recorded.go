// Package recorded compares the decisions of a module without I/O with a recording of them: the test plays a seeded
// script, writes each step's actions as one line of numbers and protocol words, and the recording holds a hash for each
// hundred lines. Renaming code leaves the lines unchanged; a changed hash is a changed decision.
//
// A recording is written by the tests' flag -record and belongs in a commit of its own.
package recorded

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// stepsPerHash is the number of lines that one hash of a recording stands for.
const stepsPerHash = 100

var record = flag.Bool("record", false, "write the recordings of decisions instead of comparing with them")

// Script collects the lines of one seeded script. The zero value is ready for use.
type Script struct {
	steps []string
	tags  map[string]int
}

// Add appends one step. Fields are written in their shortest exact form, separated by spaces: a float64 keeps all its
// digits, so the order of a sum shows.
func (s *Script) Add(fields ...any) {
	var line strings.Builder
	for i, field := range fields {
		if i > 0 {
			line.WriteByte(' ')
		}
		line.WriteString(format(field))
	}
	s.steps = append(s.steps, line.String())
}

// Tag returns "tag" and a number for a name that only the program itself sees, such as a timer's. Names are numbered in the
// order of their first use, so that renaming them leaves the recording unchanged.
func (s *Script) Tag(name string) string {
	if s.tags == nil {
		s.tags = map[string]int{}
	}
	number, ok := s.tags[name]
	if !ok {
		number = len(s.tags)
		s.tags[name] = number
	}
	return "tag" + strconv.Itoa(number)
}

func format(field any) string {
	switch value := field.(type) {
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	case string:
		return strconv.Quote(value)
	default:
		return fmt.Sprint(value)
	}
}

// Check compares the script with the recording testdata/recorded/NAME.txt and reports the first hundred steps that differ.
func (s *Script) Check(t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", "recorded", name+".txt")
	hashes := s.hashes()
	if *record {
		write(t, path, hashes)
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(data))
	for i := range min(len(hashes), len(want)) {
		if hashes[i] != want[i] {
			t.Fatalf("%s: decisions differ from the recording in steps %d to %d, now:\n%s",
				name, i*stepsPerHash, (i+1)*stepsPerHash-1, strings.Join(s.chunk(i), "\n"))
		}
	}
	if len(hashes) != len(want) {
		t.Fatalf("%s: %d hashes of up to a hundred steps, the recording has %d", name, len(hashes), len(want))
	}
}

func (s *Script) hashes() []string {
	var hashes []string
	for i := 0; i*stepsPerHash < len(s.steps); i++ {
		sum := xxhash.Sum64String(strings.Join(s.chunk(i), "\n"))
		hashes = append(hashes, fmt.Sprintf("%016x", sum))
	}
	return hashes
}

func (s *Script) chunk(i int) []string {
	return s.steps[i*stepsPerHash : min((i+1)*stepsPerHash, len(s.steps))]
}

func write(t *testing.T, path string, hashes []string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(hashes, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}
