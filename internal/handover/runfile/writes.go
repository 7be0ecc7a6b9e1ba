package runfile

import "wheatsaddle/internal/taskset"

// Writes is the file of the writes of initiators that may still have an effect at a storage target.
type Writes struct{ file *file }

// NewWrites returns the file of the iSCSI front's address in a folder. The error is an *Error.
func NewWrites(folder, address string) (*Writes, error) {
	f, err := newFile(folder, "writes", address)
	if err != nil {
		return nil, err
	}
	return &Writes{f}, nil
}

// Write replaces the file. The error is an *Error.
func (w *Writes) Write(writes []taskset.FormerWrites) error { return write(w.file, writes) }

// Read returns the writes that may still have an effect. The error is an *Error.
func (w *Writes) Read() (writes []taskset.FormerWrites, err error) {
	stored, elapsed, _, err := read[[]taskset.FormerWrites](w.file)
	for _, former := range stored {
		if former.Remaining -= elapsed; former.Remaining > 0 {
			writes = append(writes, former)
		}
	}
	return writes, err
}
