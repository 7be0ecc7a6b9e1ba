package sourcelint

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
)

// loud are the levels that an operator reads.
var loud = []string{"Warn", "Error", "Fatal", "Panic"}

// BareLogs names each line that a package in a folder logs at warn or above without a code: without operr.Fields,
// with an error by WithError or as an argument of a format, and by operr.Fields of an error that is made bare.
func BareLogs(folder string) ([]string, error) {
	b, err := read(folder, true)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, d := range b.all {
		local := map[string]token.Pos{}
		ast.Inspect(d.Body, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.AssignStmt:
				b.assign(n, local)
			case *ast.CallExpr:
				if says := b.log(n, local); says != "" {
					found = append(found, fmt.Sprintf("%v: %s: %s", b.set.Position(n.Pos()), d.Name.Name, says))
				}
			}
			return true
		})
	}
	slices.Sort(found)
	return found, nil
}

// log says what is wrong with a call, if it logs.
func (b *bare) log(n *ast.CallExpr, local map[string]token.Pos) string {
	f, ok := n.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	level := strings.TrimSuffix(strings.TrimSuffix(f.Sel.Name, "f"), "ln")
	if !slices.Contains(loud, level) {
		return ""
	}
	says, coded := "", false
	for _, a := range n.Args {
		if id, ok := a.(*ast.Ident); ok && id.Name == "err" {
			says = "an error in the text has no code: use operr.Fields"
		}
	}
	for x := f.X; ; {
		switch c := x.(type) {
		case *ast.Ident: // a logger by its name
			if !strings.EqualFold(c.Name, "log") {
				return ""
			}
			if says == "" && !coded {
				says = "no code: use operr.Fields"
			}
			return says
		case *ast.SelectorExpr:
			x = c.Sel
		case *ast.CallExpr:
			s, ok := c.Fun.(*ast.SelectorExpr)
			if !ok {
				return ""
			}
			if s.Sel.Name == "WithError" {
				says = "WithError has no code: use operr.Fields"
			}
			for _, a := range c.Args {
				if in, ok := a.(*ast.CallExpr); ok && fields(in) {
					if coded = true; len(in.Args) == 1 && b.made(in.Args[0], local).IsValid() {
						says = "a bare error is logged"
					}
				}
			}
			x = s.X
		default:
			return ""
		}
	}
}

// fields: a call of operr.Fields.
func fields(c *ast.CallExpr) bool {
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != "Fields" {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == "operr"
}
