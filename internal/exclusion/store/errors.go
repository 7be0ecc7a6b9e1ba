package store

import (
	"fmt"
	"syscall"

	"wheatsaddle/internal/operr"
)

// ErrForeign is a value for errors.Is. The errors that calls return contain the details.
var ErrForeign error = &ForeignFileError{}

// ForeignFileError reports a file that does not contain this scheduler's exclusions. The file is not changed.
type ForeignFileError struct {
	Path    string
	Problem string
}

func (e *ForeignFileError) Error() string {
	return e.Path + ": " + e.Problem + ": not this scheduler's exclusions file"
}

// Is reports whether the other error is ErrForeign.
func (e *ForeignFileError) Is(other error) bool { return other == ErrForeign }

// Code implements operr.Coded.
func (e *ForeignFileError) Code() string { return "store-foreign" }

// Advice implements operr.Coded.
func (e *ForeignFileError) Advice() string {
	return "Find out which program writes the file. If it is a damaged file of this scheduler, exclude the nodes again by the admin endpoint; the next change replaces the file."
}

// FileError reports a file that cannot be read, written or locked.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *FileError) Code() string { return "store-file" }

// Advice implements operr.Coded.
func (e *FileError) Advice() string {
	return "Make sure that " + e.Path + " can be written by the program's user and that the disk has space; until then exclusions are lost when this process ends."
}

func init() {
	operr.Register(&ForeignFileError{"/tmp/wheatsaddle-exclusions.json", "version 2, this program reads 1"},
		&FileError{"/tmp/wheatsaddle-exclusions.json", fmt.Errorf("open /tmp/wheatsaddle-exclusions.json: %w", syscall.EACCES)})
}
