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
	clientDescriptorShare = 0.5 // for clients' connections; nodes have the rest
	nodeDescriptorDivisor = 4   // nodes have at least one part in so many

	// Clients' connections with open requests hold at most one part in so many of all descriptors.
	openRequestDivisor = 3

	bodyMemoryDivisor = 4   // bodies over 64 KiB have one part in so many of the memory
	memoryLimitShare  = 0.6 // of the platform's memory limit, past which the garbage collector works harder
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

// clientConns is how many of the unreserved descriptors are for clients: half, and at least what clients with
// open requests may hold, as long as a quarter stays for the nodes.
func clientConns(unreserved, all int) int {
	share := int(clientDescriptorShare * float64(unreserved))
	openRequests := all/openRequestDivisor + 1
	most := unreserved * (nodeDescriptorDivisor - 1) / nodeDescriptorDivisor
	return max(1, min(max(share, openRequests), most))
}

// milliseconds is a setting in milliseconds as a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// minLatencyObjective is the shortest latency aim of the classes.
func minLatencyObjective(set policy.Settings) time.Duration {
	aim := math.Inf(1)
	for _, class := range set.Classes {
		aim = min(aim, class.LatencyObjective)
	}
	return milliseconds(aim)
}

// idempotentClasses says of each class whether its requests may be repeated freely.
func idempotentClasses(set policy.Settings) map[string]bool {
	safe := map[string]bool{}
	for _, class := range set.Classes {
		safe[class.Name] = class.Effect == policy.Idempotent
	}
	return safe
}
