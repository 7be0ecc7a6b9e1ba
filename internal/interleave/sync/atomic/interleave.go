//go:build interleave

package atomic

import "wheatsaddle/internal/interleave/steps"

type (
	// Bool is atomic.Bool, with its operations as steps of the checker.
	Bool = steps.Bool
	// Int32 is atomic.Int32, with its operations as steps of the checker.
	Int32 = steps.Int32
	// Int64 is atomic.Int64, with its operations as steps of the checker.
	Int64 = steps.Int64
	// Uint32 is atomic.Uint32, with its operations as steps of the checker.
	Uint32 = steps.Uint32
	// Uint64 is atomic.Uint64, with its operations as steps of the checker.
	Uint64 = steps.Uint64
	// Pointer is atomic.Pointer, with its operations as steps of the checker.
	Pointer[T any] = steps.Pointer[T]
)
