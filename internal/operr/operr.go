// Package operr defines errors for operators, which have a stable code and advice. The error types belong to the packages
// that return them and have the details as fields. This package finds them in a chain of wrapped errors, converts them to
// log fields and text, and registers examples of them.
//
// Invariants (Check): a code is stable, unique, and in lower case with hyphens; no advice is empty.
package operr

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// Coded is an error with a stable code and advice.
type Coded interface {
	error
	Code() string   // e.g. "list-silent"
	Advice() string // what an operator can do now
}

// Fields returns the log fields of an error: its text, and its code and advice if it has them.
func Fields(err error) logrus.Fields {
	f := logrus.Fields{logrus.ErrorKey: err}
	var c Coded
	if errors.As(err, &c) {
		f["code"], f["advice"] = c.Code(), c.Advice()
	}
	return f
}

// Text returns an error's text, followed by its code and advice in a line each, if it has them.
func Text(err error) string {
	var c Coded
	if errors.As(err, &c) {
		return fmt.Sprintf("%v\ncode: %s\nadvice: %s", err, c.Code(), c.Advice())
	}
	return err.Error()
}

var (
	mu         sync.Mutex // guards registered
	registered []Coded
)

// Register adds one example of each error type of a package. Packages call it in init. The operators' page of errors is
// generated from the examples.
func Register(examples ...Coded) {
	mu.Lock()
	defer mu.Unlock()
	registered = append(registered, examples...)
}

// All returns the registered examples, ordered by code.
func All() []Coded {
	mu.Lock()
	defer mu.Unlock()
	all := slices.Clone(registered)
	slices.SortFunc(all, func(a, b Coded) int { return strings.Compare(a.Code(), b.Code()) })
	return all
}

var codePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)+$`)

// Check returns an error if a code in the list is malformed or used twice, or if an advice is empty.
func Check(all []Coded) error {
	seen := map[string]bool{}
	for _, c := range all {
		switch {
		case !codePattern.MatchString(c.Code()):
			return fmt.Errorf("%T: code %q does not consist of words joined by hyphens", c, c.Code())
		case seen[c.Code()]:
			return fmt.Errorf("%T: code %q is used twice", c, c.Code())
		case c.Advice() == "":
			return fmt.Errorf("%T: code %q has no advice", c, c.Code())
		}
		seen[c.Code()] = true
	}
	return nil
}
