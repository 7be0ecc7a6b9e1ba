package nodestats

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// SettingError reports a setting out of its range.
type SettingError struct {
	Key             string
	Value, Min, Max float64
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("node statistics: %s: %v is not between %v and %v", e.Key, e.Value, e.Min, e.Max)
}

// Code returns the stable identifier.
func (e *SettingError) Code() string { return "observations-setting" }

// Advice tells the operator what to do.
func (e *SettingError) Advice() string {
	return "set " + e.Key + " in the site's file to a value in this range"
}

// NameError reports a process name that is empty, too long or not UTF-8.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("node statistics: name %q is empty, over %d bytes or not UTF-8", e.Name, maxNameBytes)
}

// Code returns the stable identifier.
func (e *NameError) Code() string { return "observations-name" }

// Advice tells the operator what to do.
func (e *NameError) Advice() string { return "set a valid process name in the configuration" }

// DecodeError reports a message that could not be decoded and was dropped.
type DecodeError struct{ Problem string }

func (e *DecodeError) Error() string { return "node statistics: message dropped: " + e.Problem }

// Code returns the stable identifier.
func (e *DecodeError) Code() string { return "observations-unreadable" }

// Advice tells the operator what to do.
func (e *DecodeError) Advice() string {
	return "the message had no effect; if the count keeps growing, find the sender of the messages, or configure an encryption key for all processes (peers.key_file)"
}

// VersionError reports a message from a newer version of the program, which was dropped.
type VersionError struct{ Version, Supported byte }

func (e *VersionError) Error() string {
	return fmt.Sprintf("node statistics: message dropped: its version is %d, this program supports %d", e.Version, e.Supported)
}

// Code returns the stable identifier.
func (e *VersionError) Code() string { return "observations-later-version" }

// Advice tells the operator what to do.
func (e *VersionError) Advice() string {
	return "expected while the fleet is being upgraded; this process exchanges no statistics with newer ones until it is upgraded too"
}

var _ = register()

func register() bool {
	operr.Register(&SettingError{}, &NameError{}, &DecodeError{}, &VersionError{})
	return true
}
