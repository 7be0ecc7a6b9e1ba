package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"wheatsaddle/internal/limitshare/ledger"
	"wheatsaddle/internal/operr"
)

// openLedger opens the ledger if it is not open. It returns false if there is none.
func (l *processLimits) openLedger() bool {
	if l.path == "" {
		return false
	}
	if l.ledger != nil && l.ledger.IsCurrent() { // else other processes would use a different file
		return true
	}
	if time.Now().Before(l.ledgerRetryAt) {
		return l.ledger != nil
	}
	opened, err := ledger.Open(l.path)
	if err != nil {
		l.ledgerRetryAt = time.Now().Add(ledgerRetryInterval)
		l.reportFailure(err)
		return l.ledger != nil
	}
	if l.ledger != nil {
		l.ledger.Close()
	}
	l.ledger = opened
	return true
}

// reportFailure logs the first of several failures of the ledger in a row.
func (l *processLimits) reportFailure(err error) {
	if !l.failed {
		l.failed = true
		l.log.WithFields(operr.Fields(err)).Error("limits not shared with the other processes of the scheduler")
	}
}

// sharedFileBytes returns the size of the files that the processes have in $TMPDIR, which counts as memory.
func (l *processLimits) sharedFileBytes() int64 {
	if time.Since(l.filesAt) < filesInterval {
		return l.fileBytes
	}
	l.filesAt, l.fileBytes = time.Now(), 0
	files, err := os.ReadDir(filepath.Dir(l.path))
	if err != nil {
		return 0
	}
	for _, file := range files {
		if info, err := file.Info(); err == nil && strings.HasPrefix(file.Name(), "wheatsaddle-") && info.Mode()&fs.ModeType == 0 {
			l.fileBytes += info.Size()
		}
	}
	return l.fileBytes
}
