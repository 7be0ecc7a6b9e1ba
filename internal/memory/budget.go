package memory

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

const (
	bytesPerMB = 1_000_000 // of the platform's limit; a limit in units of 2^20 bytes is higher

	// systemBytes is resident memory outside of the Go runtime and of files: the program's variables, the C library's heap,
	// stacks of threads.
	systemBytes = 3_000_000
	// runtimeBytes is what the process holds without any peer: the runtime's own structures, the settings, the endpoint list.
	runtimeBytes = 6_000_000
	// accountShare is the part of the remaining memory that peers may fill. The rest is the collector's: garbage until the next
	// collection, and unused parts of pages.
	accountShare = 0.85
	// minAccount and minCollectorLimit keep a process running whose limit is too low for any of this, in bytes.
	minAccount        = 2_000_000
	minCollectorLimit = 12_000_000
)

// parts are the parts of a process's memory that do not depend on the limit, and lower bounds of the others, in bytes.
type parts struct{ system, runtime, minCollector, minAccount int64 }

var (
	wholeParts = parts{system: systemBytes, runtime: runtimeBytes, minCollector: minCollectorLimit, minAccount: minAccount}
	// sharedParts are those of a process that has a part of the limit, beside another. They have less reserve.
	sharedParts = parts{system: 2_000_000, runtime: 3_000_000, minCollector: 5_000_000, minAccount: 1_700_000}
)

// MinShare is the anonymous memory of a process with few clients, in bytes.
const MinShare = 7_000_000

// Budget divides the platform's limit.
type Budget struct {
	CollectorLimit int64 // soft limit of the Go runtime, bytes
	Account        int64 // size of the account, bytes
}

// AnonymousBytes returns what remains of a limit of limitMB megabytes for anonymous memory, if files of mappedFiles bytes may
// become resident.
func AnonymousBytes(limitMB int, mappedFiles int64) int64 {
	return int64(limitMB)*bytesPerMB - mappedFiles
}

// NewBudget divides a limit of limitMB megabytes, of which files of mappedFiles bytes may become resident.
func NewBudget(limitMB int, mappedFiles int64) Budget {
	return NewBudgetOf(AnonymousBytes(limitMB, mappedFiles))
}

// NewBudgetOf divides the anonymous memory of a process that has the whole limit.
func NewBudgetOf(anonymousBytes int64) Budget {
	return wholeParts.divide(anonymousBytes)
}

// NewSharedBudget divides the anonymous memory that a process has beside another process of its scheduler.
func NewSharedBudget(anonymousBytes int64) Budget {
	return sharedParts.divide(anonymousBytes)
}

// divide divides anonymous memory.
func (p parts) divide(anonymousBytes int64) Budget {
	collector := max(anonymousBytes-p.system, p.minCollector)
	account := max(int64(accountShare*float64(collector-p.runtime)), p.minAccount)
	return Budget{CollectorLimit: collector, Account: account}
}

// BytesFor returns the anonymous memory of a process whose account has a size, the reverse of NewSharedBudget.
func BytesFor(account int64) int64 {
	return int64(float64(account)/accountShare) + sharedParts.runtime + sharedParts.system
}

// MappedFiles returns the total size of the mappings of files that the process does not write to, in the form of
// /proc/self/maps. Their pages become resident as they are used.
func MappedFiles(maps io.Reader) (total int64) {
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const pathField = 5
		if len(fields) <= pathField || !strings.HasPrefix(fields[pathField], "/") || strings.Contains(fields[1], "w") {
			continue
		}
		from, to, _ := strings.Cut(fields[0], "-")
		begin, err := strconv.ParseInt(from, 16, 64)
		if err != nil {
			continue
		}
		end, err := strconv.ParseInt(to, 16, 64)
		if err == nil && end > begin && strings.Contains(fields[1], "r") {
			total += end - begin
		}
	}
	return total
}
