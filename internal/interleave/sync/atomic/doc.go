// Package atomic provides the atomic types of code whose goroutine interleavings internal/interleave
// checks. In an ordinary build they are those of the standard package sync/atomic. With the build tag
// interleave they are those of internal/interleave/steps, whose operations the checker schedules.
package atomic
