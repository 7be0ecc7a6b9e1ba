package steps

import (
	"sync/atomic"

	il "wheatsaddle/internal/interleave"
)

func loadStep(p any) { il.Step(il.Op{Kind: "load", Object: p, Mode: il.Read}) }
func writeStep(p any, kind string) {
	il.Step(il.Op{Kind: kind, Object: p})
}

// Bool is an atomic.Bool.
type Bool struct{ v atomic.Bool }

// Load is a step of the checker, then Load of atomic.Bool.
func (x *Bool) Load() bool { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Bool.
func (x *Bool) Store(v bool) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Bool.
func (x *Bool) Swap(v bool) bool { writeStep(x, "swap"); return x.v.Swap(v) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Bool.
func (x *Bool) CompareAndSwap(old, to bool) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Pointer is an atomic.Pointer.
type Pointer[T any] struct{ v atomic.Pointer[T] }

// Load is a step of the checker, then Load of atomic.Pointer.
func (x *Pointer[T]) Load() *T { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Pointer.
func (x *Pointer[T]) Store(v *T) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Pointer.
func (x *Pointer[T]) Swap(v *T) *T { writeStep(x, "swap"); return x.v.Swap(v) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Pointer.
func (x *Pointer[T]) CompareAndSwap(old, to *T) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Int32 is an atomic.Int32.
type Int32 struct{ v atomic.Int32 }

// Load is a step of the checker, then Load of atomic.Int32.
func (x *Int32) Load() int32 { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Int32.
func (x *Int32) Store(v int32) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Int32.
func (x *Int32) Swap(v int32) int32 { writeStep(x, "swap"); return x.v.Swap(v) }

// Add is a step of the checker, then Add of atomic.Int32.
func (x *Int32) Add(d int32) int32 { writeStep(x, "add"); return x.v.Add(d) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Int32.
func (x *Int32) CompareAndSwap(old, to int32) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Int64 is an atomic.Int64.
type Int64 struct{ v atomic.Int64 }

// Load is a step of the checker, then Load of atomic.Int64.
func (x *Int64) Load() int64 { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Int64.
func (x *Int64) Store(v int64) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Int64.
func (x *Int64) Swap(v int64) int64 { writeStep(x, "swap"); return x.v.Swap(v) }

// Add is a step of the checker, then Add of atomic.Int64.
func (x *Int64) Add(d int64) int64 { writeStep(x, "add"); return x.v.Add(d) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Int64.
func (x *Int64) CompareAndSwap(old, to int64) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Uint32 is an atomic.Uint32.
type Uint32 struct{ v atomic.Uint32 }

// Load is a step of the checker, then Load of atomic.Uint32.
func (x *Uint32) Load() uint32 { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Uint32.
func (x *Uint32) Store(v uint32) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Uint32.
func (x *Uint32) Swap(v uint32) uint32 { writeStep(x, "swap"); return x.v.Swap(v) }

// Add is a step of the checker, then Add of atomic.Uint32.
func (x *Uint32) Add(d uint32) uint32 { writeStep(x, "add"); return x.v.Add(d) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Uint32.
func (x *Uint32) CompareAndSwap(old, to uint32) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Uint64 is an atomic.Uint64.
type Uint64 struct{ v atomic.Uint64 }

// Load is a step of the checker, then Load of atomic.Uint64.
func (x *Uint64) Load() uint64 { loadStep(x); return x.v.Load() }

// Store is a step of the checker, then Store of atomic.Uint64.
func (x *Uint64) Store(v uint64) { writeStep(x, "store"); x.v.Store(v) }

// Swap is a step of the checker, then Swap of atomic.Uint64.
func (x *Uint64) Swap(v uint64) uint64 { writeStep(x, "swap"); return x.v.Swap(v) }

// Add is a step of the checker, then Add of atomic.Uint64.
func (x *Uint64) Add(d uint64) uint64 { writeStep(x, "add"); return x.v.Add(d) }

// CompareAndSwap is a step of the checker, then CompareAndSwap of atomic.Uint64.
func (x *Uint64) CompareAndSwap(old, to uint64) bool {
	writeStep(x, "cas")
	return x.v.CompareAndSwap(old, to)
}
