package store

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"wheatsaddle/internal/exclusion"
)

// storedState returns the content of testdata/wheatsaddle-exclusions.json, which belongs to the scheduler n3.
func storedState() exclusion.State {
	return exclusion.State{Excluded: map[string]float64{"s-1": 1764633600000.5, "s-10": 0, "ü<&>": 1e21},
		Included: map[string]float64{"s-2": 1764633600123, "a": 1e-7}}
}

// A file that an earlier version of the program wrote can be read, and writing its content again gives the same bytes.
func TestStoredFileKeepsItsBytes(t *testing.T) {
	want, err := os.ReadFile(InDirectory("testdata", "n3").Path)
	if err != nil {
		t.Fatal(err)
	}
	got, err := InDirectory("testdata", "n3").Read()
	if err != nil || !reflect.DeepEqual(got, storedState()) {
		t.Fatalf("read %+v with the error %v, want the content of storedState", got, err)
	}
	rewritten := InDirectory(t.TempDir(), "n3")
	if err := rewritten.Write(got); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(rewritten.Path); err != nil || !bytes.Equal(text, want) {
		t.Errorf("written again: %q, want %q (%v)", text, want, err)
	}
	if filepath.Base(rewritten.Path) != "wheatsaddle-exclusions.json" {
		t.Errorf("stored as %s, want the file name wheatsaddle-exclusions.json", rewritten.Path)
	}
}
