package replay

import (
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var testMapping = Mapping{Classes: map[string]time.Duration{"balance-read": 1500 * time.Millisecond, "new-record": 1500 * time.Millisecond,
	"bulk-export": 4 * time.Second}, Prefixes: map[string]string{"/export": "bulk-export"}, Plan: "basic", UnitBytes: 4096, MaxUnits: 6, Shards: 4}

func readTestFile(t *testing.T, name string) *Recording {
	t.Helper()
	f, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	r, err := Read(f, testMapping)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// An access log is read into entries and summarized by class. Invalid lines are listed with their number and reason.
func TestAccessLog(t *testing.T) {
	r := readTestFile(t, "access.log")
	classes, duration := r.SummarizeClasses()
	if len(r.Entries) != 5 || len(classes) != 3 || duration != 4*time.Second {
		t.Fatalf("%d entries, classes %v over %v, want 5 of 3 classes over 4 s", len(r.Entries), classes, duration)
	}
	if c := classes[0]; c.Name != "balance-read" || c.Count != 3 || c.Rate != 0.75 || c.MaxBytes != 900 || c.MeanBytes != 433 {
		t.Errorf("summary of balance-read: %+v", c)
	}
	export, record := r.Entries[2], r.Entries[3]
	if export.URI != "/bulk-export/export/2026?part=1" || export.Request.Units != 6 || export.Request.Timeout != 4*time.Second {
		t.Errorf("entry of the export: %+v", export)
	}
	if !record.Write || record.Request.Plan != "basic" || record.Request.Volume == r.Entries[0].Request.Volume {
		t.Errorf("entry of the write: %+v", record)
	}
	var invalid []string
	for _, line := range r.InvalidLines {
		invalid = append(invalid, line.Error())
	}
	for i, want := range []string{"line 4: neither", "line 5: time", "line 6: method", "line 7: class"} {
		if i >= len(invalid) || !strings.HasPrefix(invalid[i], want) {
			t.Errorf("position %d of the invalid lines %v, want %s", i, invalid, want)
		}
	}
}

// An HTTP archive (HAR) is read into entries in the order of their times. An entry can be written as HTTP, with a body of the
// recorded length but without its content, and as JSON.
func TestHAR(t *testing.T) {
	r := readTestFile(t, "small.har")
	if len(r.Entries) != 2 || len(r.InvalidLines) != 1 || !strings.Contains(r.InvalidLines[0].Error(), "line 3: startedDateTime") {
		t.Fatalf("entries %+v, invalid lines %v, want 2 entries and line 3 invalid", r.Entries, r.InvalidLines)
	}
	first, second := r.Entries[0], r.Entries[1]
	if first.Line != 2 || second.Line != 1 || second.At != 250*time.Millisecond {
		t.Errorf("not in the order of time: %+v", r.Entries)
	}
	request := second.Request
	if request.Plan != "premium" || request.Key != "7f3a9c21e0b4d655" || request.Volume != "00000003b4d60021" || request.Units != 2 || request.Shard != 5 ||
		request.Schedulers != 3 || request.Timeout != 480*time.Millisecond || !second.Write || second.Bytes != 12 {
		t.Errorf("second entry: %+v", second)
	}
	if text := string(second.AppendHTTP(nil, "id1")); !strings.HasSuffix(text, "\r\n\r\n............") || strings.Contains(text, "secret") {
		t.Errorf("second entry as HTTP: %q", text)
	}
	if text := string(first.AppendJSON(nil)); !strings.Contains(text, `"class":"balance-read"`) || !strings.HasSuffix(text, "}\n") {
		t.Errorf("first entry as JSON: %q", text)
	}
}

// A file that is no recording yields an error with the cause.
func TestUnreadableFiles(t *testing.T) {
	for text, want := range map[string]string{"": "empty", `{"log":{"version":"9"}}`: "log.version",
		`{"log":{"version":"1.2"}}`: "log.entries", `{"log":`: "JSON", strings.Repeat("x", maxLineBytes+1): "line 1"} {
		if _, err := Read(strings.NewReader(text), testMapping); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("file %.20q: error %v, want one with the cause", text, err)
		}
	}
}

// Truncated and corrupted files result in entries or invalid lines. They never cause a panic or an entry with an unknown class.
func TestCorruptRecordings(t *testing.T) {
	for _, name := range []string{"access.log", "small.har"} {
		text, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, func(rt *rapid.T) {
			b := append([]byte(nil), text[:rapid.IntRange(0, len(text)).Draw(rt, "cut")]...)
			for range rapid.IntRange(0, 4).Draw(rt, "edits") {
				if len(b) > 0 {
					b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
				}
			}
			r, err := Read(strings.NewReader(string(b)), testMapping)
			if err != nil {
				return
			}
			for _, e := range r.Entries {
				if _, ok := testMapping.Classes[e.Request.Class]; !ok || e.Request.Units <= 0 || e.At < 0 || e.Request.Timeout <= 0 {
					rt.Fatalf("entry with invalid values: %+v", e)
				}
			}
		})
	}
}
