//go:build !amd64 && !arm64

package interleave

import (
	"bytes"
	"runtime"
	"strconv"
)

// goroutine returns the id of the caller's goroutine, read from the first line of its stack trace.
func goroutine() uintptr {
	var b [64]byte
	id, _, _ := bytes.Cut(b[len("goroutine "):runtime.Stack(b[:], false)], []byte(" "))
	n, _ := strconv.ParseUint(string(id), 10, 64)
	return uintptr(n)
}
