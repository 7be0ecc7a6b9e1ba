//go:build !interleave

package atomic

import "sync/atomic"

type (
	// Bool is atomic.Bool.
	Bool = atomic.Bool
	// Int32 is atomic.Int32.
	Int32 = atomic.Int32
	// Int64 is atomic.Int64.
	Int64 = atomic.Int64
	// Uint32 is atomic.Uint32.
	Uint32 = atomic.Uint32
	// Uint64 is atomic.Uint64.
	Uint64 = atomic.Uint64
	// Pointer is atomic.Pointer.
	Pointer[T any] = atomic.Pointer[T]
)
