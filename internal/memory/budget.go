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

// Budget divides the platform's limit.
type Budget struct {
	CollectorLimit int64 // soft limit of the Go runtime, bytes
	Account        int64 // size of the account, bytes
}

// NewBudget divides a limit of limitMB megabytes, of which files of mappedFiles bytes may become resident.
func NewBudget(limitMB int, mappedFiles int64) Budget {
	collector := max(int64(limitMB)*bytesPerMB-mappedFiles-systemBytes, minCollectorLimit)
	account := max(int64(accountShare*float64(collector-runtimeBytes)), minAccount)
	return Budget{CollectorLimit: collector, Account: account}
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
