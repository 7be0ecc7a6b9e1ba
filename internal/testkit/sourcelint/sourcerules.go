// Package sourcelint reads the program's source for what its compiler does not hold it to: error types
// that nobody registered, bare errors that leave a package, and names of one deployment in the code.
// The tests that ask it are in internal/testkit/errorpage and internal/testkit/exampleconfig; the daemon does not
// depend on it.
//
// It reads syntax alone, without types: a bare error is followed through functions and variables of
// its own package, not through function values, interfaces or other packages.
package sourcelint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Files are the Go files under the folders, without tests and testdata, in order.
func Files(root string, folders ...string) (files []string, err error) {
	for _, folder := range folders {
		err = filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir() && d.Name() == "testdata":
				return fs.SkipDir
			case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
				files = append(files, path)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

// CodedTypes are the types with the methods Code and Advice, as "package.Type", and the file of each.
func CodedTypes(files []string) (map[string]string, error) {
	types, half := map[string]string{}, map[string]string{}
	for _, path := range files {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, d := range f.Decls {
			m, ok := d.(*ast.FuncDecl)
			if !ok || m.Recv == nil || m.Name.Name != "Code" && m.Name.Name != "Advice" || m.Type.Params.NumFields() != 0 {
				continue
			}
			name := filepath.Dir(path) + " " + f.Name.Name + "." + receiver(m)
			if other := half[name]; other != "" && other != m.Name.Name {
				types[f.Name.Name+"."+receiver(m)] = path
			}
			half[name] = m.Name.Name
		}
	}
	return types, nil
}

func receiver(m *ast.FuncDecl) string {
	if m.Recv == nil {
		return ""
	}
	t := m.Recv.List[0].Type
	for {
		switch x := t.(type) {
		case *ast.StarExpr:
			t = x.X
		case *ast.IndexExpr:
			t = x.X
		case *ast.Ident:
			return x.Name
		default:
			return ""
		}
	}
}

// BareErrors names each return of a bare error (errors.New, errors.Join or fmt.Errorf) in a public function
// or method of the package in a folder, directly or through others of it. Check methods are for tests
// and are passed over.
func BareErrors(folder string) ([]string, error) {
	b, err := read(folder, false)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, d := range b.all {
		if d.Name.Name != "Check" && d.Type.Results != nil && ast.IsExported(d.Name.Name) && (d.Recv == nil || ast.IsExported(receiver(d))) {
			if pos := b.gives(d); pos.IsValid() {
				found = append(found, fmt.Sprintf("%v: %s gives a bare error", b.set.Position(pos), d.Name.Name))
			}
		}
	}
	slices.Sort(found)
	return found, nil
}

// read finds the functions and variables of a package that give or hold a bare error. Wrapped: one that
// wraps another is what that one is.
func read(folder string, wrapped bool) (*bare, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	b := &bare{wrapped: wrapped, set: token.NewFileSet(), funcs: map[string]token.Pos{}, vars: map[string]token.Pos{}}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(b.set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, d := range f.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				if d.Body != nil {
					b.all = append(b.all, d)
				}
			case *ast.GenDecl:
				b.globals(d)
			}
		}
	}
	for again := true; again; { // until no function more is found to give a bare error
		again = false
		for _, d := range b.all {
			if _, known := b.funcs[d.Name.Name]; !known && d.Type.Results != nil && d.Name.Name != "Check" {
				if pos := b.gives(d); pos.IsValid() {
					b.funcs[d.Name.Name], again = pos, true
				}
			}
		}
	}
	return b, nil
}

type bare struct {
	wrapped     bool
	set         *token.FileSet
	all         []*ast.FuncDecl
	funcs, vars map[string]token.Pos // that give or hold a bare error, and where it is made
}

func (b *bare) globals(d *ast.GenDecl) {
	for _, s := range d.Specs {
		v, ok := s.(*ast.ValueSpec)
		for i := 0; ok && i < len(v.Names) && i < len(v.Values); i++ {
			if pos := b.made(v.Values[i], nil); pos.IsValid() {
				b.vars[v.Names[i].Name] = pos
			}
		}
	}
}

// made says where an expression's bare error is made.
func (b *bare) made(e ast.Expr, local map[string]token.Pos) token.Pos {
	switch e := e.(type) {
	case *ast.Ident:
		if pos, ok := local[e.Name]; ok {
			return pos
		}
		return b.vars[e.Name]
	case *ast.CallExpr:
		switch f := e.Fun.(type) {
		case *ast.Ident:
			return b.funcs[f.Name]
		case *ast.SelectorExpr:
			if x, ok := f.X.(*ast.Ident); ok {
				switch x.Name + "." + f.Sel.Name {
				case "errors.New", "errors.Join":
					return e.Pos()
				case "fmt.Errorf":
					if !b.wrapped || !wraps(e) {
						return e.Pos()
					}
					for _, a := range e.Args[1:] {
						if pos := b.made(a, local); pos.IsValid() {
							return pos
						}
					}
					return token.NoPos
				}
			}
			return b.funcs[f.Sel.Name] // a method of the package, or one of the same name
		}
	case *ast.ParenExpr:
		return b.made(e.X, local)
	}
	return token.NoPos
}

// wraps: a format that keeps the error within.
func wraps(e *ast.CallExpr) bool {
	f, ok := e.Args[0].(*ast.BasicLit)
	return ok && strings.Contains(f.Value, "%w")
}

// assign keeps which variables hold a bare error.
func (b *bare) assign(n *ast.AssignStmt, local map[string]token.Pos) {
	for i, l := range n.Lhs {
		id, ok := l.(*ast.Ident)
		if !ok || id.Name == "_" {
			continue
		}
		value := n.Rhs[min(i, len(n.Rhs)-1)]
		if len(n.Rhs) == 1 && len(n.Lhs) > 1 && i != len(n.Lhs)-1 {
			continue // the error is the last result
		}
		if pos := b.made(value, local); pos.IsValid() {
			local[id.Name] = pos
		} else if _, typed := value.(*ast.UnaryExpr); typed { // err = &Type{...}
			delete(local, id.Name)
		}
	}
}

// gives says where a bare error that a function returns is made. Function literals in it are passed over.
func (b *bare) gives(d *ast.FuncDecl) (at token.Pos) {
	local := map[string]token.Pos{}
	named := []string{}
	for _, r := range d.Type.Results.List {
		for _, n := range r.Names {
			named = append(named, n.Name)
		}
	}
	ast.Inspect(d.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncLit:
			return false
		case *ast.AssignStmt:
			b.assign(n, local)
		case *ast.ReturnStmt:
			for _, r := range n.Results {
				if pos := b.made(r, local); pos.IsValid() && !at.IsValid() {
					at = pos
				}
			}
			for _, name := range named {
				if pos, ok := local[name]; ok && len(n.Results) == 0 && !at.IsValid() {
					at = pos
				}
			}
		}
		return true
	})
	return at
}
