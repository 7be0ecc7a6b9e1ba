package sourcelint

import (
	"fmt"
	"go/scanner"
	"go/token"
	"os"
	"strconv"
	"strings"
)

// ForbiddenWords are words that must not occur in the code.
type ForbiddenWords struct {
	Whole    []string // as a string literal, or as a part of one between separators (/ = ? & , ; : "); case-sensitive
	Anywhere []string // within any token or comment, whatever the case of the letters
}

// ForbiddenNames lists the position of each forbidden word in the files.
func ForbiddenNames(files []string, w ForbiddenWords) (found []string, err error) {
	wholeWords := map[string]bool{}
	for _, x := range w.Whole {
		wholeWords[x] = true
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
			report := func(word string) {
				found = append(found, fmt.Sprintf("%v: forbidden word %q", set.Position(pos), word))
			}
			if kind == token.STRING {
				value, err := strconv.Unquote(lit)
				if err != nil {
					return nil, fmt.Errorf("%v: %w", set.Position(pos), err)
				}
				if !proseOrTag(value) {
					for _, part := range append(strings.FieldsFunc(value, func(r rune) bool { return strings.ContainsRune("/=?&,;:\"", r) }), value) {
						if wholeWords[part] {
							report(part)
							break
						}
					}
				}
			}
			for _, x := range w.Anywhere {
				if strings.Contains(strings.ToLower(lit), strings.ToLower(x)) {
					report(x)
				}
			}
		}
	}
	return found, nil
}

// proseOrTag reports whether a string is a text of several words or a JSON struct tag. A word of a text may be a common
// one, and a tag names a field, so neither is searched for Whole words.
func proseOrTag(value string) bool {
	return strings.Contains(value, " ") || strings.HasPrefix(value, `json:"`)
}
