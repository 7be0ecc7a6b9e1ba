//go:build !amd64 && !arm64

package interleave

import (
	"bytes"
	"runtime"
	"strconv"
)

// goroutine is the caller's id, read from the head of its stack's text.
func goroutine() uintptr {
	var b [64]byte
	id, _, _ := bytes.Cut(b[len("goroutine "):runtime.Stack(b[:], false)], []byte(" "))
	n, _ := strconv.ParseUint(string(id), 10, 64)
	return uintptr(n)
}
