package example

import (
	"encoding/json"
	"os"
	"testing"

	"wheatsaddle/internal/houserules"
)

// No class, plan, zone or tenant of the examples or of a known deployment stands in the code: names come
// from settings. What the rule finds, and where, is tested with the rule.
func TestNamesStandInDataOnly(t *testing.T) {
	text, err := os.ReadFile("testdata/words.json")
	if err != nil {
		t.Fatal(err)
	}
	var w houserules.Words
	if err := json.Unmarshal(text, &w); err != nil || len(w.Whole) == 0 || len(w.Anywhere) == 0 {
		t.Fatal(err, w)
	}
	names := Names()
	if len(names) != 12 {
		t.Fatalf("%v: a class and a plan less or more than the examples have", names)
	}
	w.Whole = append(w.Whole, names...)
	files, err := houserules.Files("../../..", ".")
	if err != nil || len(files) < 80 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	found, err := houserules.Names(files, w)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}
