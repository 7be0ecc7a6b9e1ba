package sourcelint

import (
	"fmt"
	"go/scanner"
	"go/token"
	"os"
	"strconv"
	"strings"
)

// Words are what must not stand in the code: as a whole text, or anywhere (also in comments), whatever
// the case of their letters.
type Words struct {
	Whole    []string // a whole string literal, or a part of one between slashes and the like
	Anywhere []string
}

// Names names file and line of each word that stands in a file's code.
func Names(files []string, w Words) (found []string, err error) {
	whole := map[string]bool{}
	for _, x := range w.Whole {
		whole[x] = true
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		set := token.NewFileSet()
		var s scanner.Scanner
		s.Init(set.AddFile(path, -1, len(text)), text, nil, scanner.ScanComments)
		for {
			pos, kind, lit := s.Scan()
			if kind == token.EOF {
				break
			}
			say := func(word string) {
				found = append(found, fmt.Sprintf("%v: %q", set.Position(pos), word))
			}
			if kind == token.STRING {
				value, err := strconv.Unquote(lit)
				if err != nil {
					return nil, fmt.Errorf("%v: %w", set.Position(pos), err)
				}
				if !prose(value) {
					for _, part := range append(strings.FieldsFunc(value, func(r rune) bool { return strings.ContainsRune("/=?&,;:\"", r) }), value) {
						if whole[part] {
							say(part)
							break
						}
					}
				}
			}
			for _, x := range w.Anywhere {
				if strings.Contains(strings.ToLower(lit), strings.ToLower(x)) {
					say(x)
				}
			}
		}
	}
	return found, nil
}

// prose: in a text of several words each may be a common one, and a struct's tag names a field.
func prose(value string) bool {
	return strings.Contains(value, " ") || strings.HasPrefix(value, `json:"`)
}
