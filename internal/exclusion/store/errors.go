package store

import (
	"fmt"
	"syscall"

	"wheatsaddle/internal/operr"
)

// ErrForeign is what errors.Is asks for.
var ErrForeign error = &ForeignFileError{}

// ForeignFileError is a file that is not this scheduler's book; it is left as it is.
type ForeignFileError struct {
	Path    string
	Problem string
}

func (e *ForeignFileError) Error() string {
	return e.Path + ": " + e.Problem + ": not this scheduler's book of exclusions"
}

// Is makes every Foreign ErrForeign.
func (e *ForeignFileError) Is(other error) bool { return other == ErrForeign }

// Code implements operr.Coded.
func (e *ForeignFileError) Code() string { return "store-foreign" }

// Advice implements operr.Coded.
func (e *ForeignFileError) Advice() string {
	return "See whose file it is. If it is a torn one of this scheduler, exclude the nodes again by the door: the next change writes it anew."
}

// FileError is a file that cannot be read, written or locked.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap gives the system's word.
func (e *FileError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *FileError) Code() string { return "store-file" }

// Advice implements operr.Coded.
func (e *FileError) Advice() string {
	return "See that " + e.Path + " can be written by the program's user and that the disk has room; until then excludes end with this process."
}

func init() {
	operr.Register(&ForeignFileError{"/tmp/wheatsaddle-exclusions.json", "version 2, this program reads 1"},
		&FileError{"/tmp/wheatsaddle-exclusions.json", fmt.Errorf("open /tmp/wheatsaddle-exclusions.json: %w", syscall.EACCES)})
}
