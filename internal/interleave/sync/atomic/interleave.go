//go:build interleave

package atomic

import "wheatsaddle/internal/interleave/steps"

type (
	Bool           = steps.Bool
	Int32          = steps.Int32
	Int64          = steps.Int64
	Uint32         = steps.Uint32
	Uint64         = steps.Uint64
	Pointer[T any] = steps.Pointer[T]
)
