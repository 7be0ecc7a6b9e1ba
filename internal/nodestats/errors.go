package nodestats

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// SettingError is a setting out of its range.
type SettingError struct {
	Key             string
	Value, Min, Max float64
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("observations: %s: %v is not between %v and %v", e.Key, e.Value, e.Min, e.Max)
}

// Code is stable.
func (e *SettingError) Code() string { return "observations-setting" }

// Advice is for the operator.
func (e *SettingError) Advice() string {
	return "set " + e.Key + " in the site's file within the range"
}

// NameError is an origin's name that cannot be one.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("observations: name %q is empty or over %d bytes", e.Name, maxNameBytes)
}

// Code is stable.
func (e *NameError) Code() string { return "observations-name" }

// Advice is for the operator.
func (e *NameError) Advice() string { return "give the process another name in its configuration" }

// DecodeError is a message that was dropped whole.
type DecodeError struct{ What string }

func (e *DecodeError) Error() string { return "observations: message dropped: " + e.What }

// Code is stable.
func (e *DecodeError) Code() string { return "observations-unreadable" }

// Advice is for the operator.
func (e *DecodeError) Advice() string {
	return "nothing was changed by it; if the count keeps growing, see who reaches the port, or give the processes a key (peers.key_file)"
}

// VersionError is a message of a program that is newer than this one.
type VersionError struct{ Version, Known byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("observations: message dropped: of version %d, this program knows %d", e.Version, e.Known)
}

// Code is stable.
func (e *VersionError) Code() string { return "observations-later-version" }

// Advice is for the operator.
func (e *VersionError) Advice() string {
	return "expected while the fleet is upgraded; this process shares nothing with the newer ones until it is upgraded too"
}

var _ = register()

func register() bool {
	operr.Register(&SettingError{}, &NameError{}, &DecodeError{}, &VersionError{})
	return true
}
