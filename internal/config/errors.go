package config

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// KeyError reports a key of a file whose value is invalid.
type KeyError struct {
	File     string // configuration, site, iscsi, or a file of the test kit
	Key      string
	Value    string // as written in the file; "": none
	Expected string // what the value must be
	Problem  string // text of the error; "": Value is not Expected
	Err      error  // cause, if the value could not be parsed
}

// Error implements error.
func (e *KeyError) Error() string {
	problem := e.Problem
	switch {
	case problem != "":
	case e.Err != nil && e.Value != "":
		problem = e.Value + ": " + e.Err.Error()
	case e.Err != nil:
		problem = e.Err.Error()
	default:
		problem = e.Value + " is not " + e.Expected
	}
	return e.File + ": " + e.Key + ": " + problem
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *KeyError) Code() string { return "config-key" }

// Advice implements operr.Coded.
func (e *KeyError) Advice() string {
	if e.Expected != "" {
		return fmt.Sprintf("Set %s to %s, run check-config, then start or send SIGHUP; until then the previous settings remain in effect.", e.Key, e.Expected)
	}
	return fmt.Sprintf("Correct %s as the error says, run check-config, then start or send SIGHUP; until then the previous settings remain in effect.", e.Key)
}

// JSONError reports a file that is not valid JSON.
type JSONError struct {
	File string
	Err  error
}

// Error implements error.
func (e *JSONError) Error() string {
	if e.Err != nil {
		return e.File + ": not valid JSON: " + e.Err.Error()
	}
	return e.File + ": not valid JSON"
}

// Unwrap returns the cause.
func (e *JSONError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *JSONError) Code() string { return "config-json" }

// Advice implements operr.Coded.
func (e *JSONError) Advice() string {
	return "The file is incomplete or has a syntax error: write the complete file again (to a temporary file, then rename it), and run check-config."
}

// FileError reports a file that cannot be read.
type FileError struct {
	Source string // what names it: ROUTER_CONFIG, site, iscsi
	Err    error
}

// Error implements error.
func (e *FileError) Error() string { return e.Source + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *FileError) Code() string { return "config-file" }

// Advice implements operr.Coded.
func (e *FileError) Advice() string {
	return "Check that the path given by " + e.Source + " is correct and that the program's user may read the file."
}

// UnsetError reports an environment variable that must be set.
type UnsetError struct{ Variable string }

// Error implements error.
func (e *UnsetError) Error() string { return e.Variable + " is not set" }

// Code implements operr.Coded.
func (e *UnsetError) Code() string { return "config-unset" }

// Advice implements operr.Coded.
func (e *UnsetError) Advice() string {
	return "Set " + e.Variable + " to the path of the configuration, or pass the file to check-config as its argument."
}

// MissingKeyError reports a key that the file in effect has and the file that was read again lacks.
type MissingKeyError struct {
	File    string // configuration, site, iscsi, or the key of the site's file that names the gather rules
	Key     string
	Problem string
}

// Error implements error.
func (e *MissingKeyError) Error() string { return e.File + ": " + e.Key + ": " + e.Problem }

// Code implements operr.Coded.
func (e *MissingKeyError) Code() string { return "config-lost-key" }

// Advice implements operr.Coded.
func (e *MissingKeyError) Advice() string {
	return "Restore " + e.Key + " and send SIGHUP, or restart to run without it. Nothing in the file was applied."
}

// RestartError names keys whose new values take effect only after a restart.
type RestartError struct{ Keys string }

// Error implements error.
func (e *RestartError) Error() string { return e.Keys + ": changed, takes effect after a restart" }

// Code implements operr.Coded.
func (e *RestartError) Code() string { return "config-restart" }

// Advice implements operr.Coded.
func (e *RestartError) Advice() string {
	return "Restart the process to apply the new value of " + e.Keys + ", or restore the old one; the rest of the file is in effect."
}

// SchemaError reports a request for an unknown schema.
type SchemaError struct{ Kind string }

// Error implements error.
func (e *SchemaError) Error() string { return fmt.Sprintf("of: %q is neither site nor plans", e.Kind) }

// Code implements operr.Coded.
func (e *SchemaError) Code() string { return "config-schema" }

// Advice implements operr.Coded.
func (e *SchemaError) Advice() string {
	return "Use --of site for the schema of the site's file, or --of plans for the schema of an estimate's request."
}

// RejectedError reports settings that package policy rejects, although each key is valid.
type RejectedError struct{ Err error }

// Error implements error.
func (e *RejectedError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *RejectedError) Code() string { return "config-refused" }

// Advice implements operr.Coded.
func (e *RejectedError) Advice() string {
	return "Correct the settings that the error names and send SIGHUP, or start again; the previous settings remain in effect."
}

// Rejected wraps an error of package policy in a RejectedError; nil stays nil.
func Rejected(err error) error {
	if err == nil {
		return nil
	}
	return &RejectedError{Err: err}
}

func init() {
	none := fmt.Errorf("open site.json: no such file or directory")
	operr.Register(&KeyError{File: "configuration", Key: "limits.sockets", Value: `"x"`, Expected: "a number of at least 64"},
		&JSONError{File: "configuration"}, &FileError{Source: "site", Err: none}, &UnsetError{"ROUTER_CONFIG"},
		&MissingKeyError{configurationFile, "settings.rules", "missing; the file in effect had it"}, &RestartError{"listen"}, &SchemaError{"nodes"},
		&RejectedError{fmt.Errorf("settings: MaxAttempts is -1")})
}
