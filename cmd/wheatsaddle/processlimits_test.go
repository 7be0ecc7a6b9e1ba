package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/limitshare"
	"wheatsaddle/internal/limitshare/ledger"
	"wheatsaddle/internal/memory"
)

// newTestLimits returns the limits of a process with a ledger at a path, before the first step.
func newTestLimits(path string) (*processLimits, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	l := &processLimits{account: memory.NewAccount(0), mappedFiles: mappedFiles(), path: path, log: log, changed: make(chan struct{}, 1), done: make(chan struct{})}
	l.setLimit(&config.Config{Cores: 1, MemoryMB: 192, Sockets: 1024})
	return l, hook
}

// otherProcess records a claim in a ledger, as a process that has just started.
func otherProcess(t *testing.T, path string) *ledger.Ledger {
	t.Helper()
	other, err := ledger.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	updated, err := other.Update(limitshare.Amount{}, 0, func(ledger.Table) limitshare.Claim {
		return limitshare.Claim{Amount: limitshare.Amount{Memory: memory.MinShare, Sockets: sharedBaseSockets}}
	})
	if err != nil || !updated {
		t.Fatal(updated, err)
	}
	return other
}

// Guards against a single process that loses a part of its limit, and against one that does not make room for another process, or does
// not get its room back when that ends.
func TestLimitsFollowTheOtherProcesses(t *testing.T) {
	path := ledger.Path(t.TempDir(), "127.0.0.1:1")
	l, _ := newTestLimits(path)
	l.setPhase(limitshare.Serving)
	whole := memory.NewBudget(192, l.mappedFiles).Account
	if l.step(); l.account.Size() != whole || l.allowed.Load() != l.limit.Memory || l.sockets.Load() != l.limit.Sockets {
		t.Errorf("alone: account of %d bytes, want %d", l.account.Size(), whole)
	}
	other := otherProcess(t, path)
	if l.step(); l.account.Size() >= whole || l.sockets.Load() >= l.limit.Sockets || l.processes.Load() != 1 {
		t.Errorf("beside another process: account of %d bytes, %d sockets", l.account.Size(), l.sockets.Load())
	}
	other.Close()
	if l.step(); l.account.Size() != whole || l.sockets.Load() != l.limit.Sockets || l.processes.Load() != 0 {
		t.Errorf("alone again: account of %d bytes, want %d", l.account.Size(), whole)
	}
	l.configure(&config.Config{Cores: 1, MemoryMB: 96, Sockets: 1024})
	if l.step(); l.account.Size() != memory.NewBudget(96, l.mappedFiles).Account {
		t.Errorf("with a lower limit: account of %d bytes", l.account.Size())
	}
}

// Guards against a process that takes the whole limit beside another one because its ledger fails for a while, and against one that
// stays small for ever. The failure is logged once.
func TestLimitsWithoutLedger(t *testing.T) {
	l, hook := newTestLimits(filepath.Join(t.TempDir(), "none", "ledger"))
	whole := memory.NewBudget(192, l.mappedFiles).Account
	for range 3 {
		l.ledgerRetryAt = time.Time{}
		l.step()
	}
	if l.account.Size() != whole || len(hook.AllEntries()) != 1 || !strings.Contains(hook.LastEntry().Message, "limits not shared") {
		t.Errorf("account of %d bytes, want %d; logged %d lines", l.account.Size(), whole, len(hook.AllEntries()))
	}
	path := ledger.Path(t.TempDir(), "127.0.0.1:1")
	l, _ = newTestLimits(path)
	l.setPhase(limitshare.Serving)
	otherProcess(t, path)
	l.step()
	part := l.account.Size()
	l.applyWithoutLedger(l.inputs())
	if part >= whole || l.account.Size() != part {
		t.Errorf("a failure beside another process: account of %d bytes, want %d", l.account.Size(), part)
	}
	l.updatedAt = time.Now().Add(-2 * maxReplacement)
	l.applyWithoutLedger(l.inputs())
	if l.account.Size() != whole {
		t.Errorf("after the longest replacement: account of %d bytes, want %d", l.account.Size(), whole)
	}
}
