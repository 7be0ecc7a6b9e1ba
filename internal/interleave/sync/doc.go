// Package sync provides the locks, goroutine starts and channel operations of code whose goroutine
// interleavings internal/interleave checks. In an ordinary build its types are those of the standard
// package sync, and its functions are plain channel operations that the compiler inlines. With the
// build tag interleave both are those of internal/interleave/steps, which the checker schedules.
package sync
