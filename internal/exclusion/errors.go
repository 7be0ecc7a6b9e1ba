package exclusion

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// What errors.Is asks for; each leaves the book as it was. The book returns them with the facts.
var (
	ErrUnknown error = &Unknown{}
	ErrFull    error = &Full{}
)

// Unknown is an id that was never listed.
type Unknown struct{ ID string }

func (e *Unknown) Error() string { return "no storage node of that id was ever listed" }

// Is makes every Unknown ErrUnknown.
func (e *Unknown) Is(other error) bool { return other == ErrUnknown }

// Code implements operr.Coded.
func (e *Unknown) Code() string { return "exclusion-unknown" }

// Advice implements operr.Coded.
func (e *Unknown) Advice() string {
	return "Take the id from the list's service as it is written there; after a restart wait until the list was heard. Nothing was changed."
}

// Full is an exclude beyond the bound.
type Full struct {
	ID   string
	Most int
}

func (e *Full) Error() string { return "too many storage nodes are excluded" }

// Is makes every Full ErrFull.
func (e *Full) Is(other error) bool { return other == ErrFull }

// Code implements operr.Coded.
func (e *Full) Code() string { return "exclusion-full" }

// Advice implements operr.Coded.
func (e *Full) Advice() string {
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
	operr.Register(&Unknown{"s-1"}, &Full{"s-1", Defaults.ExcludedMost}, &SettingError{"ListedMost", fmt.Sprint(0), "not a positive number"})
}
