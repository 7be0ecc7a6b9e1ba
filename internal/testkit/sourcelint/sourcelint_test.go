package sourcelint

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const faultySource = `package broken

import ("errors"; "fmt")

// The café of Harbourtown.
type Full struct{ error }
func (e *Full) Error() string { return "full" }
func (e *Full) Code() string { return "broken-full" }
func (e *Full) Advice() string { return "wait" }
type NoAdvice struct{}
func (e NoAdvice) Code() string { return "x" }

var errAt = errors.New("at")

func Direct() error { return errors.New("a") }              // line 15
func Through() (int, error) { return helper() }
func helper() (int, error) { err := fmt.Errorf("b"); return 0, err } // line 17
func Named() (err error) { err = fmt.Errorf("c"); return }  // line 18
func Global() error { return errAt }
func (f *Full) Method() error { _, err := helper(); return err }
func (f *Full) Check() error { return errors.New("for tests") }
func Good() error { err := errors.New("in it"); err = &Full{err}; return err }
func quiet() error { return errors.New("d") }
var Tag struct { A int ` + "`json:\"gold\"`" + ` }
func logs(log L) {
	err := helper2()
	log.WithError(err).WithField("a", 1).Warn("x")      // line 27
	log.WithField("a", 1).Errorf("x: %v", err)          // line 28
	log.WithFields(operr.Fields(errAt)).Error("x")      // line 29
	go func() { log.WithFields(operr.Fields(quiet())).Fatal("x") }() // line 30
	log.WithError(err).Debug("x")
	log.WithFields(operr.Fields(fmt.Errorf("x: %w", err))).Warn("x")
	t.Errorf("x: %v", err)
	log.WithFields(operr.Fields(&Full{err})).Warn("x")
	log.WithField("a", 1).Errorf("x: %v", 7)
	log.WithField("a", 1).Info("x")
}
const path, golden, class = "/gold/x", "of gold", "silver"
`

// Each rule finds the violations in the sample, with their positions, and nothing else.
func TestRulesFindViolations(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "broken.go"), []byte(faultySource), 0o600); err != nil {
		t.Fatal(err)
	}
	files, err := Files(dir, ".")
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	types, err := CodedTypes(files)
	if err != nil || len(types) != 1 || types["broken.Full"] == "" {
		t.Errorf("types with Code and Advice: %v, error %v, want only broken.Full", types, err)
	}
	expect := func(what string, found []string, err error, want ...string) {
		t.Helper()
		if err != nil || len(found) != len(want) {
			t.Fatalf("%s: wrong number of violations found: %v, error %v", what, found, err)
		}
		for _, w := range want {
			if !strings.Contains(strings.Join(found, "\n"), "broken.go:"+w) {
				t.Errorf("%s: %s is not in %v", what, w, found)
			}
		}
	}
	found, err := UncodedErrors(dir)
	for i := range found { // without the column
		at := strings.Split(found[i], ":")
		found[i] = at[0] + ":" + at[1] + ":" + at[len(at)-1]
	}
	expect("uncoded errors", found, err, "15: Direct", "17: Through", "17: Method", "18: Named", "13: Global")
	found, err = ForbiddenNames(files, ForbiddenWords{Whole: []string{"gold", "silver"}, Anywhere: []string{"harbourtown"}})
	expect("forbidden names", found, err, "5:1", "38:29", "38:51")
	found, err = UncodedLogs(dir)
	expect("uncoded logs", found, err, "27:", "28:", "29:", "30:", "35:")
}
