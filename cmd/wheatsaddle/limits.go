package main

import (
	"fmt"
	"math"
	"os"
	"runtime"
	"syscall"
	"time"

	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

const (
	reservedDescriptors = 32 // for the listeners, discovery and the runtime

	// Shares of the descriptors that are not reserved.
	clientDescriptorShare = 0.5 // for clients' connections; the others are for nodes
	nodeDescriptorDivisor = 4   // at least 1/nodeDescriptorDivisor is for nodes

	// Clients' connections with open requests use at most 1/openRequestDivisor of all descriptors.
	openRequestDivisor = 3

	// assumedMappedFiles is the size of the program and the C library, in bytes, where the mappings cannot be read.
	assumedMappedFiles = 21_000_000
)

// setThreads sets the number of threads that run Go code. Processes that replace each other do not divide it: the platform gives the
// scheduler more processor time for the time of a replacement.
func setThreads(cores float64) { runtime.GOMAXPROCS(max(1, int(math.Ceil(cores)))) }

// mappedFiles returns the size of the files that the process has mapped.
func mappedFiles() int64 {
	maps, err := os.Open("/proc/self/maps")
	if err != nil {
		return assumedMappedFiles
	}
	defer func() { _ = maps.Close() }()
	if size := memory.MappedFiles(maps); size > 0 {
		return size
	}
	return assumedMappedFiles
}

// descriptorLimit returns the lower of the configured number of descriptors and the process's own limit.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}

// clientConns returns the number of unreserved descriptors for clients: half of them, and at least the number that clients
// with open requests may use, provided that a quarter remains for the nodes.
func clientConns(unreserved, all int) int {
	share := int(clientDescriptorShare * float64(unreserved))
	openRequests := all/openRequestDivisor + 1
	limit := unreserved * (nodeDescriptorDivisor - 1) / nodeDescriptorDivisor
	return max(1, min(max(share, openRequests), limit))
}

// milliseconds converts a setting in milliseconds to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// minLatencyObjective returns the shortest latency objective of the classes.
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

// residentAnonymousBytes returns the resident memory of the process without the pages of files; 0 if it cannot be read.
func residentAnonymousBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident, shared int64
	if _, err := fmt.Sscan(string(text), &size, &resident, &shared); err != nil {
		return 0
	}
	return (resident - shared) * int64(os.Getpagesize())
}
