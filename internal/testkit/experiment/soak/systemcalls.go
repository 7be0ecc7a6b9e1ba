package soak

import (
	"fmt"
	"os/exec"
)

// SystemCallFault makes a system call of the daemon fail now and then.
type SystemCallFault struct {
	Call, Error string
	First, Step int // the first call that fails, and how many calls later the next one does
}

// String returns the fault in the form of strace's option -e inject.
func (f SystemCallFault) String() string {
	return fmt.Sprintf("%s:error=%s:when=%d+%d", f.Call, f.Error, f.First, f.Step)
}

// systemCallFaults are the faults from which a scenario takes some. Those of read begin after the daemon's start, which may fail if its
// configuration cannot be read. Reads that fail with EINTR or EAGAIN belong to the runtime.
var systemCallFaults = []SystemCallFault{
	{"accept4", "ECONNABORTED", 3, 7},
	{"accept4", "ENFILE", 5, 11},
	{"accept4", "ENOBUFS", 4, 9},
	{"accept4", "EPROTO", 6, 13},
	{"socket", "ENFILE", 20, 13},
	{"socket", "ENOBUFS", 15, 17},
	{"connect", "EADDRNOTAVAIL", 8, 9},
	{"connect", "ENETUNREACH", 12, 15},
	{"epoll_pwait", "EINTR", 20, 9},
	{"read", "ETIMEDOUT", 400, 211},
	{"read", "EHOSTUNREACH", 500, 307},
	{"fsync", "EIO", 1, 2},
	{"fdatasync", "ENOSPC", 1, 2},
	{"pwrite64", "ENOSPC", 2, 3},
	{"renameat", "EIO", 1, 2},
}

// cutsConnections reports whether the fault may end a connection of a client or node.
func (f SystemCallFault) cutsConnections() bool { return f.Call == "read" }

// injectCommand returns the command that starts a program with faults; nil without any. The program is the command's own process, so
// that signals reach it, and the tracer a process beside it.
func injectCommand(faults []SystemCallFault) ([]string, error) {
	if len(faults) == 0 {
		return nil, nil
	}
	strace, err := exec.LookPath("strace")
	if err != nil {
		return nil, fmt.Errorf("system calls cannot be made to fail: %w", err)
	}
	calls := ""
	command := []string{strace, "-D", "-f", "-qq", "--seccomp-bpf", "-o", "/dev/null"}
	for i, f := range faults {
		if i > 0 {
			calls += ","
		}
		calls += f.Call
		command = append(command, "-e", "inject="+f.String())
	}
	return append(command, "-e", "trace="+calls, "-e", "signal=none"), nil
}
