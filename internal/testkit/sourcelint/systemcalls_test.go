package sourcelint

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The daemon makes no system call that a platform may refuse: of its own packages only internal/transport connects and
// listens, and none copies within the kernel or starts a program. Of the libraries, only go-sockaddr can start a program,
// to find the machine's address for memberlist if the configured address is unspecified. Package gossip rejects that
// (TestUnspecifiedAddressNeedsAdvertise).
func TestDaemonMakesNoRestrictedCalls(t *testing.T) {
	const root = "../../.."
	folders, err := ProgramPackages(root, "wheatsaddle", "cmd/wheatsaddle")
	if err != nil || !slices.Contains(folders, "internal/httpfront") {
		t.Fatal(folders, err)
	}
	for _, folder := range folders {
		found, err := RestrictedCalls(filepath.Join(root, folder))
		if err != nil {
			t.Fatal(err)
		}
		if folder == "internal/transport" { // it wraps the connections that it returns, so that no copy takes place in the kernel
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
	var startingPrograms []string
	for line := range strings.Lines(string(out)) {
		if f := strings.Fields(line); len(f) > 0 && slices.Contains(f[1:], "os/exec") {
			startingPrograms = append(startingPrograms, f[0])
		}
	}
	if !slices.Equal(startingPrograms, []string{"github.com/hashicorp/go-sockaddr"}) {
		t.Errorf("packages that can start a program: %v", startingPrograms)
	}
}

// Restricted calls are found, also if the package is imported under another name.
func TestRestrictedCallsAreFound(t *testing.T) {
	dir := t.TempDir()
	text := "package p\nimport (\n\t\"io\"\n\tn \"net\"\n\t\"os\"\n\t_ \"os/exec\"\n)\nfunc f(a n.Conn, b *os.File) {\n\tio.Copy(a, b)\n\tb.ReadFrom(a)\n\tn.Dial(\"\", \"\")\n\tos.Open(\"\")\n}\n"
	if err := os.WriteFile(filepath.Join(dir, "p.go"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	found, err := RestrictedCalls(dir)
	if err != nil || len(found) != 4 {
		t.Fatal(found, err)
	}
	for i, want := range []string{"p.go:6:", "p.go:9:", "p.go:10:", "p.go:11:"} {
		if !strings.Contains(found[i], want) {
			t.Errorf("found %s, want a call at %s", found[i], want)
		}
	}
}
