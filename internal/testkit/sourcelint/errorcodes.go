// Package sourcelint checks the source for rules that the compiler does not enforce: error types are registered, errors
// that leave a package and errors that are logged have a code, the code does not contain names of one deployment, and the
// daemon makes no system calls that a platform may refuse. The tests that apply the rules are in this package, in
// internal/testkit/errorpage and in internal/testkit/exampleconfig; the daemon does not depend on it.
//
// An uncoded error is one made by errors.New, errors.Join or fmt.Errorf, in contrast to a type with the methods Code and
// Advice. The check reads syntax only, without types: it follows uncoded errors through functions and variables of their
// own package, but not through function values, interfaces or other packages.
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

// Files returns the Go files under the folders, without tests and testdata, in order.
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

// CodedTypes returns the types with the methods Code and Advice, as "package.Type", with the file of each.
func CodedTypes(files []string) (map[string]string, error) {
	types, methodSeen := map[string]string{}, map[string]string{}
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
			name := filepath.Dir(path) + " " + f.Name.Name + "." + receiverType(m)
			if other := methodSeen[name]; other != "" && other != m.Name.Name {
				types[f.Name.Name+"."+receiverType(m)] = path
			}
			methodSeen[name] = m.Name.Name
		}
	}
	return types, nil
}

// receiverType returns the name of a method's receiver type; "": it is a function.
func receiverType(m *ast.FuncDecl) string {
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

// UncodedErrors lists each exported function or method of the package in a folder that returns an uncoded error, directly
// or through others of the package. Check methods are for tests and are skipped.
func UncodedErrors(folder string) ([]string, error) {
	p, err := analyzePackage(folder, false)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, d := range p.functions {
		if d.Name.Name != "Check" && d.Type.Results != nil && ast.IsExported(d.Name.Name) && (d.Recv == nil || ast.IsExported(receiverType(d))) {
			if pos := p.returnsUncodedAt(d); pos.IsValid() {
				found = append(found, fmt.Sprintf("%v: %s returns an uncoded error", p.fileSet.Position(pos), d.Name.Name))
			}
		}
	}
	slices.Sort(found)
	return found, nil
}

// analyzePackage finds the functions and variables of a package that return or hold an uncoded error. With followWrapped,
// an error that fmt.Errorf wraps with %w counts as the wrapped one: it is uncoded only if that one is.
func analyzePackage(folder string, followWrapped bool) (*packageErrors, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	p := &packageErrors{followWrapped: followWrapped, fileSet: token.NewFileSet(), returning: map[string]token.Pos{}, holding: map[string]token.Pos{}}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(p.fileSet, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, d := range f.Decls {
			switch d := d.(type) {
			case *ast.FuncDecl:
				if d.Body != nil {
					p.functions = append(p.functions, d)
				}
			case *ast.GenDecl:
				p.addVariables(d)
			}
		}
	}
	for changed := true; changed; { // until no further function is found to return an uncoded error
		changed = false
		for _, d := range p.functions {
			if _, known := p.returning[d.Name.Name]; !known && d.Type.Results != nil && d.Name.Name != "Check" {
				if pos := p.returnsUncodedAt(d); pos.IsValid() {
					p.returning[d.Name.Name], changed = pos, true
				}
			}
		}
	}
	return p, nil
}

// packageErrors is what analyzePackage finds about the uncoded errors of a package.
type packageErrors struct {
	followWrapped bool
	fileSet       *token.FileSet
	functions     []*ast.FuncDecl
	// The functions that return, and the variables that hold, an uncoded error, with the place where it is made.
	returning, holding map[string]token.Pos
}

// addVariables records the package's variables that hold an uncoded error.
func (p *packageErrors) addVariables(d *ast.GenDecl) {
	for _, s := range d.Specs {
		v, ok := s.(*ast.ValueSpec)
		for i := 0; ok && i < len(v.Names) && i < len(v.Values); i++ {
			if pos := p.uncodedAt(v.Values[i], nil); pos.IsValid() {
				p.holding[v.Names[i].Name] = pos
			}
		}
	}
}

// uncodedAt returns the place where an expression's uncoded error is made; token.NoPos: the expression is none.
func (p *packageErrors) uncodedAt(e ast.Expr, local map[string]token.Pos) token.Pos {
	switch e := e.(type) {
	case *ast.Ident:
		if pos, ok := local[e.Name]; ok {
			return pos
		}
		return p.holding[e.Name]
	case *ast.CallExpr:
		switch f := e.Fun.(type) {
		case *ast.Ident:
			return p.returning[f.Name]
		case *ast.SelectorExpr:
			if x, ok := f.X.(*ast.Ident); ok {
				switch x.Name + "." + f.Sel.Name {
				case "errors.New", "errors.Join":
					return e.Pos()
				case "fmt.Errorf":
					if !p.followWrapped || !wraps(e) {
						return e.Pos()
					}
					for _, a := range e.Args[1:] {
						if pos := p.uncodedAt(a, local); pos.IsValid() {
							return pos
						}
					}
					return token.NoPos
				}
			}
			return p.returning[f.Sel.Name] // a method of the package, or another one of the same name
		}
	case *ast.ParenExpr:
		return p.uncodedAt(e.X, local)
	}
	return token.NoPos
}

// wraps reports whether a call of fmt.Errorf has a literal format with %w.
func wraps(e *ast.CallExpr) bool {
	f, ok := e.Args[0].(*ast.BasicLit)
	return ok && strings.Contains(f.Value, "%w")
}

// trackAssignment records which local variables hold an uncoded error after an assignment.
func (p *packageErrors) trackAssignment(n *ast.AssignStmt, local map[string]token.Pos) {
	for i, l := range n.Lhs {
		id, ok := l.(*ast.Ident)
		if !ok || id.Name == "_" {
			continue
		}
		value := n.Rhs[min(i, len(n.Rhs)-1)]
		if len(n.Rhs) == 1 && len(n.Lhs) > 1 && i != len(n.Lhs)-1 {
			continue // the error is the last result
		}
		if pos := p.uncodedAt(value, local); pos.IsValid() {
			local[id.Name] = pos
		} else if _, typed := value.(*ast.UnaryExpr); typed { // err = &Type{...}
			delete(local, id.Name)
		}
	}
}

// returnsUncodedAt returns the place where an uncoded error that a function returns is made; token.NoPos: it returns none.
// Function literals in it are skipped.
func (p *packageErrors) returnsUncodedAt(d *ast.FuncDecl) (at token.Pos) {
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
			p.trackAssignment(n, local)
		case *ast.ReturnStmt:
			for _, r := range n.Results {
				if pos := p.uncodedAt(r, local); pos.IsValid() && !at.IsValid() {
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
