package main

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/policy"
)

const mebibyte = 1 << 20 // bytes

const (
	reservedDescriptors = 32 // for the listeners, discovery and the runtime

	// Parts of the descriptors that are not reserved.
	clientDescriptorShare = 0.5 // for clients' connections; the others are for nodes
	nodeDescriptorDivisor = 4   // nodes have at least this fraction

	// Clients' connections with open requests hold at most this fraction of all descriptors.
	openRequestDivisor = 3

	bodyMemoryDivisor = 4   // fraction of the memory for bodies over 64 KiB
	memoryLimitShare  = 0.6 // of the platform's memory limit: the soft limit of the garbage collector
)

// applyLimits sets the runtime's number of threads and its soft memory limit.
func applyLimits(conf *config.Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(conf.MemoryMB) * mebibyte))
}

// bodyMemory is the number of bytes that bodies over 64 KiB may hold together.
func bodyMemory(conf *config.Config) int64 {
	return int64(conf.MemoryMB) * mebibyte / bodyMemoryDivisor
}

// descriptorLimit is the lower of the configured number of descriptors and the process's own limit.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}

// clientConns is the number of unreserved descriptors for clients: half, and at least what clients with open requests may
// hold, as long as a quarter remains for the nodes.
func clientConns(unreserved, all int) int {
	share := int(clientDescriptorShare * float64(unreserved))
	openRequests := all/openRequestDivisor + 1
	limit := unreserved * (nodeDescriptorDivisor - 1) / nodeDescriptorDivisor
	return max(1, min(max(share, openRequests), limit))
}

// milliseconds converts a setting in milliseconds.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// minLatencyObjective is the shortest latency objective of the classes.
func minLatencyObjective(set policy.Settings) time.Duration {
	shortest := math.Inf(1)
	for _, class := range set.Classes {
		shortest = min(shortest, class.LatencyObjective)
	}
	return milliseconds(shortest)
}

// idempotentClasses returns, by class, whether its requests are idempotent.
func idempotentClasses(set policy.Settings) map[string]bool {
	idempotent := map[string]bool{}
	for _, class := range set.Classes {
		idempotent[class.Name] = class.Effect == policy.Idempotent
	}
	return idempotent
}
