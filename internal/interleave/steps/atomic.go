package steps

import (
	"sync/atomic"

	il "wheatsaddle/internal/interleave"
)

func look(p any) { il.Step(il.Op{Kind: "load", On: p, Mode: il.Read}) }
func alter(p any, kind string) {
	il.Step(il.Op{Kind: kind, On: p})
}

// Bool is an atomic.Bool.
type Bool struct{ v atomic.Bool }

func (x *Bool) Load() bool       { look(x); return x.v.Load() }
func (x *Bool) Store(v bool)     { alter(x, "store"); x.v.Store(v) }
func (x *Bool) Swap(v bool) bool { alter(x, "swap"); return x.v.Swap(v) }
func (x *Bool) CompareAndSwap(old, to bool) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Pointer is an atomic.Pointer.
type Pointer[T any] struct{ v atomic.Pointer[T] }

func (x *Pointer[T]) Load() *T     { look(x); return x.v.Load() }
func (x *Pointer[T]) Store(v *T)   { alter(x, "store"); x.v.Store(v) }
func (x *Pointer[T]) Swap(v *T) *T { alter(x, "swap"); return x.v.Swap(v) }
func (x *Pointer[T]) CompareAndSwap(old, to *T) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Int32 is an atomic.Int32.
type Int32 struct{ v atomic.Int32 }

func (x *Int32) Load() int32        { look(x); return x.v.Load() }
func (x *Int32) Store(v int32)      { alter(x, "store"); x.v.Store(v) }
func (x *Int32) Swap(v int32) int32 { alter(x, "swap"); return x.v.Swap(v) }
func (x *Int32) Add(d int32) int32  { alter(x, "add"); return x.v.Add(d) }
func (x *Int32) CompareAndSwap(old, to int32) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Int64 is an atomic.Int64.
type Int64 struct{ v atomic.Int64 }

func (x *Int64) Load() int64        { look(x); return x.v.Load() }
func (x *Int64) Store(v int64)      { alter(x, "store"); x.v.Store(v) }
func (x *Int64) Swap(v int64) int64 { alter(x, "swap"); return x.v.Swap(v) }
func (x *Int64) Add(d int64) int64  { alter(x, "add"); return x.v.Add(d) }
func (x *Int64) CompareAndSwap(old, to int64) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Uint32 is an atomic.Uint32.
type Uint32 struct{ v atomic.Uint32 }

func (x *Uint32) Load() uint32         { look(x); return x.v.Load() }
func (x *Uint32) Store(v uint32)       { alter(x, "store"); x.v.Store(v) }
func (x *Uint32) Swap(v uint32) uint32 { alter(x, "swap"); return x.v.Swap(v) }
func (x *Uint32) Add(d uint32) uint32  { alter(x, "add"); return x.v.Add(d) }
func (x *Uint32) CompareAndSwap(old, to uint32) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}

// Uint64 is an atomic.Uint64.
type Uint64 struct{ v atomic.Uint64 }

func (x *Uint64) Load() uint64         { look(x); return x.v.Load() }
func (x *Uint64) Store(v uint64)       { alter(x, "store"); x.v.Store(v) }
func (x *Uint64) Swap(v uint64) uint64 { alter(x, "swap"); return x.v.Swap(v) }
func (x *Uint64) Add(d uint64) uint64  { alter(x, "add"); return x.v.Add(d) }
func (x *Uint64) CompareAndSwap(old, to uint64) bool {
	alter(x, "cas")
	return x.v.CompareAndSwap(old, to)
}
