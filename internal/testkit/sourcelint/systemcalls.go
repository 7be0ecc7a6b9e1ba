package sourcelint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// ProgramPackages returns the folders of a module's packages that the program in the folder main consists of.
func ProgramPackages(root, module, main string) ([]string, error) {
	seen := map[string]bool{main: true}
	for todo := []string{main}; len(todo) > 0; todo = todo[1:] {
		files, err := goFiles(filepath.Join(root, todo[0]))
		if err != nil {
			return nil, err
		}
		for _, path := range files {
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return nil, err
			}
			for _, i := range f.Imports {
				name, _ := strconv.Unquote(i.Path.Value)
				if folder, ok := strings.CutPrefix(name, module+"/"); ok && !seen[folder] {
					seen[folder] = true
					todo = append(todo, folder)
				}
			}
		}
	}
	var folders []string
	for folder := range seen {
		folders = append(folders, folder)
	}
	slices.Sort(folders)
	return folders, nil
}

// goFiles returns a folder's Go files without tests.
func goFiles(folder string) (files []string, err error) {
	all, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return nil, err
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no Go files", folder)
	}
	for _, path := range all {
		if !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
	}
	return files, nil
}

// restrictedCalls are packages (nil: all their functions) and functions that lead to system calls that a platform may
// refuse: the start of a program, fork, and copies within the kernel (splice, sendfile, copy_file_range). Functions that
// connect or listen are among them, because a copy to or from the connections of package net may take place in the
// kernel. The connections of internal/transport do not allow that.
var restrictedCalls = map[string][]string{
	"os/exec": nil,
	"os":      {"StartProcess"},
	"syscall": {"ForkExec", "StartProcess", "Exec", "Sendfile", "Splice", "Tee", "RawSyscall", "RawSyscall6", "Syscall", "Syscall6"},
	"io":      {"Copy", "CopyN", "CopyBuffer"},
	"net": {"Dial", "DialTimeout", "DialTCP", "DialUnix", "DialIP", "Dialer", "Listen", "ListenTCP", "ListenUnix", "ListenConfig",
		"FileConn", "FileListener"},
	"net/http":              {"ServeFile", "ServeContent", "ServeFileFS", "FileServer", "FileServerFS", "DefaultClient", "Get", "Post", "Client", "Transport"},
	"golang.org/x/sys/unix": nil,
	"plugin":                nil,
}

// copyMethods are methods that may copy within the kernel. They are reported on any receiver.
var copyMethods = []string{"ReadFrom", "WriteTo", "SendFile", "SendFileBytes", "ServeFile"}

// RestrictedCalls lists each place of the package in a folder that may lead to a restricted system call.
func RestrictedCalls(folder string) (found []string, err error) {
	files, err := goFiles(folder)
	if err != nil {
		return nil, err
	}
	for _, path := range files {
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		importedAs := map[string]string{} // import path by the package's name in the file
		for _, i := range f.Imports {
			importPath, _ := strconv.Unquote(i.Path.Value)
			names, watched := restrictedCalls[importPath]
			if watched && names == nil || importPath == "C" {
				found = append(found, fmt.Sprintf("%v: imports %s", set.Position(i.Pos()), importPath))
			}
			name := importPath[strings.LastIndex(importPath, "/")+1:]
			if i.Name != nil {
				name = i.Name.Name
			}
			importedAs[name] = importPath
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			importPath := ""
			if ok {
				importPath = importedAs[x.Name]
			}
			if importPath != "" && slices.Contains(restrictedCalls[importPath], s.Sel.Name) || importPath == "" && slices.Contains(copyMethods, s.Sel.Name) {
				found = append(found, fmt.Sprintf("%v: may lead to a restricted system call: %s", set.Position(s.Pos()), s.Sel.Name))
			}
			return true
		})
	}
	return found, nil
}
