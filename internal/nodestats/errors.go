package nodestats

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// BadSetting is a setting out of its range.
type BadSetting struct {
	Key                string
	Value, Least, Most float64
}

func (e *BadSetting) Error() string {
	return fmt.Sprintf("observations: %s: %v is not between %v and %v", e.Key, e.Value, e.Least, e.Most)
}

// Code is stable.
func (e *BadSetting) Code() string { return "observations-setting" }

// Advice is for the operator.
func (e *BadSetting) Advice() string { return "set " + e.Key + " in the site's file within the range" }

// BadName is an origin's name that cannot be one.
type BadName struct{ Name string }

func (e *BadName) Error() string {
	return fmt.Sprintf("observations: name %q is empty or over %d bytes", e.Name, nameMost)
}

// Code is stable.
func (e *BadName) Code() string { return "observations-name" }

// Advice is for the operator.
func (e *BadName) Advice() string { return "give the process another name in its configuration" }

// Unreadable is a message that was dropped whole.
type Unreadable struct{ What string }

func (e *Unreadable) Error() string { return "observations: message dropped: " + e.What }

// Code is stable.
func (e *Unreadable) Code() string { return "observations-unreadable" }

// Advice is for the operator.
func (e *Unreadable) Advice() string {
	return "nothing was changed by it; if the count keeps growing, see who reaches the port, or give the processes a key (peers.key_file)"
}

// LaterVersion is a message of a program that is newer than this one.
type LaterVersion struct{ Version, Known byte }

func (e *LaterVersion) Error() string {
	return fmt.Sprintf("observations: message dropped: of version %d, this program knows %d", e.Version, e.Known)
}

// Code is stable.
func (e *LaterVersion) Code() string { return "observations-later-version" }

// Advice is for the operator.
func (e *LaterVersion) Advice() string {
	return "expected while the fleet is upgraded; this process shares nothing with the newer ones until it is upgraded too"
}

var _ = register()

func register() bool {
	operr.Register(&BadSetting{}, &BadName{}, &Unreadable{}, &LaterVersion{})
	return true
}
