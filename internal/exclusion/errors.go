package exclusion

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// Values for errors.Is. The errors that calls return contain the details. A call that fails does not change the set.
var (
	ErrUnknownNode error = &UnknownNodeError{}
	ErrFull        error = &FullError{}
)

// UnknownNodeError reports a node that is not stored as listed.
type UnknownNodeError struct{ ID string }

func (e *UnknownNodeError) Error() string { return "no storage node of that id was ever listed" }

// Is reports whether the other error is ErrUnknownNode.
func (e *UnknownNodeError) Is(other error) bool { return other == ErrUnknownNode }

// Code implements operr.Coded.
func (e *UnknownNodeError) Code() string { return "exclusion-unknown" }

// Advice implements operr.Coded.
func (e *UnknownNodeError) Advice() string {
	return "Take the id from the list's service as it is written there; after a restart wait until the list was heard. Nothing was changed."
}

// FullError reports an exclude beyond the bound.
type FullError struct {
	ID  string
	Max int
}

func (e *FullError) Error() string { return "too many storage nodes are excluded" }

// Is reports whether the other error is ErrFull.
func (e *FullError) Is(other error) bool { return other == ErrFull }

// Code implements operr.Coded.
func (e *FullError) Code() string { return "exclusion-full" }

// Advice implements operr.Coded.
func (e *FullError) Advice() string {
	return "Include nodes that may serve again, or take nodes that are gone for good off the list. Nothing was changed."
}

// SettingError reports a bound that is out of range.
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
