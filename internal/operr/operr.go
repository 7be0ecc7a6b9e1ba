// Package operr owns what an error that reaches an operator carries: a stable code and what an
// operator can do now. A package's errors are types of its own with the facts as fields; this
// one only names what they have in common, and finds it in a chain of wrapped errors.
//
// Invariants: a code is stable, in lower case with hyphens, and begins with its package's name; no
// advice is empty (Check).
package operr

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// Coded is an error with a stable code and an advice.
type Coded interface {
	error
	Code() string   // e.g. "list-silent"
	Advice() string // what an operator can do now
}

// Fields are the log fields of an error: its text, and code and advice where it has them.
func Fields(err error) logrus.Fields {
	f := logrus.Fields{logrus.ErrorKey: err}
	var c Coded
	if errors.As(err, &c) {
		f["code"], f["advice"] = c.Code(), c.Advice()
	}
	return f
}

// Text is an error for a reader: its text, and code and advice in a line each where it has them.
func Text(err error) string {
	var c Coded
	if errors.As(err, &c) {
		return fmt.Sprintf("%v\ncode: %s\nadvice: %s", err, c.Code(), c.Advice())
	}
	return err.Error()
}

var (
	mu         sync.Mutex
	registered []Coded
)

// Register lists examples of a package's error types, one each, for the page of errors.
func Register(examples ...Coded) {
	mu.Lock()
	defer mu.Unlock()
	registered = append(registered, examples...)
}

// All are the registered examples by code.
func All() []Coded {
	mu.Lock()
	defer mu.Unlock()
	all := slices.Clone(registered)
	slices.SortFunc(all, func(a, b Coded) int {
		switch {
		case a.Code() < b.Code():
			return -1
		case a.Code() > b.Code():
			return 1
		}
		return 0
	})
	return all
}

var codePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)+$`)

// Check says what is wrong with a list of error types: a code of another form or used twice, or no advice.
func Check(all []Coded) error {
	seen := map[string]bool{}
	for _, c := range all {
		switch {
		case !codePattern.MatchString(c.Code()):
			return fmt.Errorf("%T: code %q is not words joined by hyphens", c, c.Code())
		case seen[c.Code()]:
			return fmt.Errorf("%T: code %q is used twice", c, c.Code())
		case c.Advice() == "":
			return fmt.Errorf("%T: code %q has no advice", c, c.Code())
		}
		seen[c.Code()] = true
	}
	return nil
}
