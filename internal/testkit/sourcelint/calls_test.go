package sourcelint

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The daemon comes down to no system call that a platform may refuse: of its own packages only sock
// connects and listens, nobody copies past the process, and nobody starts a program. Of the libraries
// one can start a program: go-sockaddr, to learn this machine's address for memberlist where the peers'
// address names none; peers refuses that (TestStartsNoProgram).
func TestNoRefusedSystemCalls(t *testing.T) {
	const root = "../../.."
	folders, err := Reached(root, "wheatsaddle", "cmd/wheatsaddle")
	if err != nil || !slices.Contains(folders, "internal/httpfront") {
		t.Fatal(folders, err)
	}
	for _, of := range folders {
		found, err := Refusable(filepath.Join(root, of))
		if err != nil {
			t.Fatal(err)
		}
		if of == "internal/transport" { // what it connects and listens it gives out as plain
			found = slices.DeleteFunc(found, func(s string) bool {
				return strings.Contains(s, ": Dial") || strings.Contains(s, ": Listen") || strings.HasSuffix(s, ": FileListener")
			})
		}
		for _, f := range found {
			t.Error(f)
		}
	}
	c := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{range .Imports}} {{.}}{{end}}{{end}}", "./cmd/wheatsaddle")
	c.Dir = root
	out, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	var starts []string
	for line := range strings.Lines(string(out)) {
		if f := strings.Fields(line); len(f) > 0 && slices.Contains(f[1:], "os/exec") {
			starts = append(starts, f[0])
		}
	}
	if !slices.Equal(starts, []string{"github.com/hashicorp/go-sockaddr"}) {
		t.Errorf("packages that can start a program: %v", starts)
	}
}

// The rule finds what is broken, under another name too.
func TestRefusableFinds(t *testing.T) {
	dir := t.TempDir()
	text := "package p\nimport (\n\t\"io\"\n\tn \"net\"\n\t\"os\"\n\t_ \"os/exec\"\n)\nfunc f(a n.Conn, b *os.File) {\n\tio.Copy(a, b)\n\tb.ReadFrom(a)\n\tn.Dial(\"\", \"\")\n\tos.Open(\"\")\n}\n"
	if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	found, err := Refusable(dir)
	if err != nil || len(found) != 4 {
		t.Fatal(found, err)
	}
	for i, want := range []string{"p.go:6:", "p.go:9:", "p.go:10:", "p.go:11:"} {
		if !strings.Contains(found[i], want) {
			t.Errorf("%s: want %s", found[i], want)
		}
	}
}
