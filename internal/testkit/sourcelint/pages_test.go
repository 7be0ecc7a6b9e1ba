package sourcelint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const moduleRoot = "../../.."

var (
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	identifier = regexp.MustCompile(`^[A-Za-z]+(\.[A-Za-z]+)?$`)
	// certainIdentifier matches words that are identifiers in any table. Other words may be names of telemetry values.
	certainIdentifier = regexp.MustCompile(`^([A-Z][A-Za-z]*|[A-Za-z]+\.[A-Za-z]+)$`)
)

// Each function, method or type that a row of a table in the architecture page names is declared in one of the packages
// of that row. So a row with such names also fails if its package does not exist.
func TestArchitecturePageNamesExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(moduleRoot, "docs", "ARCHITECTURE.md"))
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]map[string]bool{} // by package
	inFunctionTable, checked := false, 0
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "|") {
			inFunctionTable = false
			continue
		}
		if strings.Contains(line, "| functions |") {
			inFunctionTable = true
		}
		var packages, names []string
		cells := strings.Split(line, "|")
		for column, cell := range cells {
			for _, span := range codeSpan.FindAllStringSubmatch(cell, -1) {
				word := span[1]
				switch {
				case isPackage(word):
					packages = append(packages, word)
				case inFunctionTable && column == 3, certainIdentifier.MatchString(word):
					names = append(names, word)
				}
			}
		}
		for _, name := range names {
			checked++
			if !identifier.MatchString(name) || !anyDeclares(t, declared, packages, name) {
				t.Errorf("%s is not declared in %v: %s", name, packages, strings.TrimSpace(line))
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d names of the page were checked: the tables were not recognized", checked)
	}
}

// isPackage reports whether a word of the page names a package of the module, which has a folder.
func isPackage(word string) bool {
	if word != "policy" && word != "gather" && !strings.HasPrefix(word, "internal/") && !strings.HasPrefix(word, "cmd/") {
		return false
	}
	info, err := os.Stat(filepath.Join(moduleRoot, filepath.FromSlash(word)))
	return err == nil && info.IsDir()
}

func anyDeclares(t *testing.T, declared map[string]map[string]bool, packages []string, name string) bool {
	t.Helper()
	for _, p := range packages {
		if declared[p] == nil {
			declared[p] = declaredNames(t, filepath.Join(moduleRoot, filepath.FromSlash(p)))
		}
		if declared[p][name] {
			return true
		}
	}
	return false
}

// declaredNames returns the names of a package's functions, methods (as Type.Method) and types, outside tests.
func declaredNames(t *testing.T, folder string) map[string]bool {
	t.Helper()
	files, err := goFiles(folder)
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			switch d := decl.(type) {
			case *ast.FuncDecl:
				names[functionName(d)] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					if s, ok := spec.(*ast.TypeSpec); ok {
						names[s.Name.Name] = true
					}
				}
			}
		}
	}
	return names
}

func functionName(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return f.Name.Name
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + f.Name.Name
	}
	return f.Name.Name
}
