package store

import (
	"errors"
	"os"
	"testing"

	"wheatsaddle/internal/exclusion"
)

func TestNextProcessReadsTheStoredState(t *testing.T) {
	dir := t.TempDir()
	s := InDirectory(dir, "n3")
	got, err := s.Read()
	if err != nil || len(got.Excluded) != 0 {
		t.Fatalf("read without a file: %v with the error %v, want an empty state", got, err)
	}
	state := exclusion.State{Excluded: map[string]float64{"s-1": 1000.5}, Included: map[string]float64{"s-2": 900}}
	if err := s.Write(state); err != nil {
		t.Fatal(err)
	}
	next := InDirectory(dir, "n3") // the next process
	got, err = next.Read()
	if err != nil || got.Excluded["s-1"] != 1000.5 || got.Included["s-2"] != 900 {
		t.Fatalf("the next process reads %v with the error %v, want the written state", got, err)
	}
	if next.Changed() {
		t.Fatal("a file that was just read counts as changed")
	}
	if err := s.Write(exclusion.State{}); err != nil {
		t.Fatal(err)
	}
	if !next.Changed() {
		t.Fatal("another process's write is not detected")
	}
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if e.Name() != "wheatsaddle-exclusions.json" {
			t.Errorf("unexpected file %s", e.Name())
		}
	}
}

// A damaged file, one of another version or one of another scheduler is ignored, with ErrForeign.
func TestInvalidFilesAreIgnored(t *testing.T) {
	for name, text := range map[string]string{
		"truncated":            `{"version":1,"name":"n3","excluded":{"s-1":10`,
		"empty":                ``,
		"of another scheduler": `{"version":1,"name":"n4","excluded":{"s-1":10},"included":{}}`,
		"of another version":   `{"version":2,"name":"n3","excluded":{"s-1":10},"included":{}}`,
		"unknown field":        `{"version":1,"name":"n3","excluded":{"s-1":10},"included":{},"more":1}`,
		"negative time":        `{"version":1,"name":"n3","excluded":{"s-1":-1},"included":{}}`,
		"empty id":             `{"version":1,"name":"n3","excluded":{"":1},"included":{}}`,
		"not an object":        `[1,2]`,
	} {
		s := InDirectory(t.TempDir(), "n3")
		if err := os.WriteFile(s.Path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := s.Read()
		if !errors.Is(err, ErrForeign) || len(got.Excluded) != 0 {
			t.Errorf("file %s: read %v with the error %v, want no exclusion and ErrForeign", name, got, err)
		}
	}
}

// While one writer holds the lock, another one gets an error. The lock can be taken again after its release.
func TestLockExcludesOtherWriters(t *testing.T) {
	s := InDirectory(t.TempDir(), "n3")
	unlock, err := s.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := InDirectory(s.Path[:len(s.Path)-len("/wheatsaddle-exclusions.json")], "n3").Lock(); err == nil {
		t.Fatal("two writers hold the lock")
	}
	unlock()
	unlock, err = s.Lock()
	if err != nil {
		t.Fatal(err)
	}
	unlock()
}
