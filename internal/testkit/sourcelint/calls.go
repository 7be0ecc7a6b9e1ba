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

// Reached are the folders of a module's packages that a program is made of, from that of its main on.
func Reached(root, module, main string) ([]string, error) {
	known := map[string]bool{main: true}
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
				if of, ok := strings.CutPrefix(name, module+"/"); ok && !known[of] {
					known[of] = true
					todo = append(todo, of)
				}
			}
		}
	}
	var folders []string
	for of := range known {
		folders = append(folders, of)
	}
	slices.Sort(folders)
	return folders, nil
}

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

// refusable are packages and functions that come down to system calls that a platform may refuse: the
// start of a program, fork, and copies past the process (splice, sendfile, copy_file_range). Whoever
// connects or listens by himself has a connection that a copy may go past: sock's do not.
var refusable = map[string][]string{
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

// copies are methods by which a copy goes past the process, whatever they are called on.
var copies = []string{"ReadFrom", "WriteTo", "SendFile", "SendFileBytes", "ServeFile"}

// Refusable names each place of a folder's package that may come down to a refused system call.
func Refusable(folder string) (found []string, err error) {
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
		named := map[string]string{} // package by its name in the file
		for _, i := range f.Imports {
			full, _ := strconv.Unquote(i.Path.Value)
			names, watched := refusable[full]
			if watched && names == nil || full == "C" {
				found = append(found, fmt.Sprintf("%v: imports %s", set.Position(i.Pos()), full))
			}
			name := full[strings.LastIndex(full, "/")+1:]
			if i.Name != nil {
				name = i.Name.Name
			}
			named[name] = full
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			full := ""
			if ok {
				full = named[x.Name]
			}
			if full != "" && slices.Contains(refusable[full], s.Sel.Name) || full == "" && slices.Contains(copies, s.Sel.Name) {
				found = append(found, fmt.Sprintf("%v: %s", set.Position(s.Pos()), s.Sel.Name))
			}
			return true
		})
	}
	return found, nil
}
