package address

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// SettingError reports a setting that is out of its bounds.
type SettingError struct {
	Key     string
	Problem string
}

func (e *SettingError) Error() string { return e.Key + ": " + e.Problem }

// Code implements operr.Coded.
func (e *SettingError) Code() string { return "address-setting" }

// Advice implements operr.Coded.
func (e *SettingError) Advice() string {
	return "Correct " + e.Key + " in the section addresses of the site's file; wheatsaddle schema prints the bounds."
}

// ListError reports an invalid address in a node's list. The node's other addresses are used.
type ListError struct {
	Index int
	Text  string
	Err   error
}

func (e *ListError) Error() string {
	return fmt.Sprintf("addresses.%d (%.60q): %v", e.Index, e.Text, e.Err)
}

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ListError) Code() string { return "address-list" }

// Advice implements operr.Coded.
func (e *ListError) Advice() string {
	return "Correct the address in the list: host:port, [IPv6]:port or unix:PATH, each once. Until then the node's other addresses are used."
}

func init() {
	operr.Register(&SettingError{"jitter", "2 is not from 0 to 1"}, &ListError{1, "here", fmt.Errorf("neither host:port nor unix:PATH")})
}
