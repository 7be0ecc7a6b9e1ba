//go:build amd64 || arm64

package interleave

// goroutine returns a value that identifies the caller's goroutine among the live ones: a step of a
// goroutine outside the checker must not be attributed to the running thread. The address of the
// runtime's g is used, because reading the id from runtime.Stack takes 3.6 us.
func goroutine() uintptr
