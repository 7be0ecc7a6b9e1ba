package sourcelint

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
)

// operatorLevels are the log levels that an operator reads.
var operatorLevels = []string{"Warn", "Error", "Fatal", "Panic"}

// UncodedLogs lists each place where the package in a folder logs at warn or above without an error code: without
// operr.Fields, with the error in WithError or in the arguments of the logging call, or with operr.Fields of an uncoded error.
func UncodedLogs(folder string) ([]string, error) {
	p, err := analyzePackage(folder, true)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, d := range p.functions {
		local := map[string]token.Pos{}
		ast.Inspect(d.Body, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.AssignStmt:
				p.trackAssignment(n, local)
			case *ast.CallExpr:
				if problem := p.logProblem(n, local); problem != "" {
					found = append(found, fmt.Sprintf("%v: %s: %s", p.fileSet.Position(n.Pos()), d.Name.Name, problem))
				}
			}
			return true
		})
	}
	slices.Sort(found)
	return found, nil
}

// logProblem says what is wrong with a logging call; "": nothing, or the call does not log.
func (p *packageErrors) logProblem(n *ast.CallExpr, local map[string]token.Pos) string {
	f, ok := n.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	level := strings.TrimSuffix(strings.TrimSuffix(f.Sel.Name, "f"), "ln")
	if !slices.Contains(operatorLevels, level) {
		return ""
	}
	problem, coded := "", false
	for _, a := range n.Args {
		if id, ok := a.(*ast.Ident); ok && id.Name == "err" {
			problem = "an error in the text has no code: use operr.Fields"
		}
	}
	for x := f.X; ; {
		switch c := x.(type) {
		case *ast.Ident: // a logger, recognised by its name
			if !strings.EqualFold(c.Name, "log") {
				return ""
			}
			if problem == "" && !coded {
				problem = "no code: use operr.Fields"
			}
			return problem
		case *ast.SelectorExpr:
			x = c.Sel
		case *ast.CallExpr:
			s, ok := c.Fun.(*ast.SelectorExpr)
			if !ok {
				return ""
			}
			if s.Sel.Name == "WithError" {
				problem = "WithError has no code: use operr.Fields"
			}
			for _, a := range c.Args {
				if in, ok := a.(*ast.CallExpr); ok && isOperrFields(in) {
					if coded = true; len(in.Args) == 1 && p.uncodedAt(in.Args[0], local).IsValid() {
						problem = "an uncoded error is logged"
					}
				}
			}
			x = s.X
		default:
			return ""
		}
	}
}

// isOperrFields reports whether a call is one of operr.Fields.
func isOperrFields(c *ast.CallExpr) bool {
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != "Fields" {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == "operr"
}
