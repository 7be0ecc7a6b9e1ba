package exclusion

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// What errors.Is asks for; each leaves the book as it was. The book returns them with the facts.
var (
	ErrUnknownNode error = &UnknownNodeError{}
	ErrFull        error = &FullError{}
)

// UnknownNodeError is an id that was never listed.
type UnknownNodeError struct{ ID string }

func (e *UnknownNodeError) Error() string { return "no storage node of that id was ever listed" }

// Is makes every Unknown ErrUnknownNode.
func (e *UnknownNodeError) Is(other error) bool { return other == ErrUnknownNode }

// Code implements operr.Coded.
func (e *UnknownNodeError) Code() string { return "exclusion-unknown" }

// Advice implements operr.Coded.
func (e *UnknownNodeError) Advice() string {
	return "Take the id from the list's service as it is written there; after a restart wait until the list was heard. Nothing was changed."
}

// FullError is an exclude beyond the bound.
type FullError struct {
	ID  string
	Max int
}

func (e *FullError) Error() string { return "too many storage nodes are excluded" }

// Is makes every Full ErrFull.
func (e *FullError) Is(other error) bool { return other == ErrFull }

// Code implements operr.Coded.
func (e *FullError) Code() string { return "exclusion-full" }

// Advice implements operr.Coded.
func (e *FullError) Advice() string {
	return "Include nodes that may serve again, or take nodes that are gone for good off the list. Nothing was changed."
}

// SettingError is a bound of the book that is none.
type SettingError struct{ Key, Value, Want string }

func (e *SettingError) Error() string {
	return "exclusion: " + e.Key + ": " + e.Value + " is " + e.Want
}

// Code implements operr.Coded.
func (e *SettingError) Code() string { return "exclusion-setting" }

// Advice implements operr.Coded.
func (e *SettingError) Advice() string { return "Correct " + e.Key + " as the error says." }

func init() {
	operr.Register(&UnknownNodeError{"s-1"}, &FullError{"s-1", Defaults.MaxExcluded}, &SettingError{"ListedMost", fmt.Sprint(0), "not a positive number"})
}
