package main

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/exclusion/store"
	"wheatsaddle/internal/operr"
)

// exclusionPollInterval is the interval at which the exclusions file in $TMPDIR is checked for changes by other processes. A drain
// must take effect within 250 ms.
const exclusionPollInterval = 100 * time.Millisecond

// exclusionSyncer synchronizes the exclusions of the core with their file, which all processes of the scheduler share. All
// decisions are made by the core.
type exclusionSyncer struct {
	mu    sync.Mutex // serializes changes and reads of this process; the file's lock serializes processes
	store *store.Store
	core  *core.Core
	log   logrus.FieldLogger
}

// loadExclusions reads the exclusions that processes of the scheduler have stored. An unreadable file counts as empty.
func loadExclusions(name string, log logrus.FieldLogger) (*store.Store, exclusion.State) {
	exclusions := store.InDirectory(os.TempDir(), name)
	state, err := exclusions.Read()
	if err != nil {
		log.WithFields(operr.Fields(err)).Warn("stored exclusions not readable, starting without them")
	} else if len(state.Excluded) > 0 {
		log.WithField("nodes", len(state.Excluded)).Info("stored exclusions restored")
	}
	return exclusions, state
}

// change runs an operator's call under the file's lock: it reads the file, applies the call to the core and writes the
// result back. If the lock cannot be acquired, the call applies to the exclusions of this process.
func (k *exclusionSyncer) change(id string, call func(string) (exclusion.State, error)) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	unlock, err := k.store.Lock()
	if err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions file not locked, using the exclusions of this process")
	} else {
		defer unlock()
		k.sync()
	}
	state, err := call(id)
	if err != nil {
		return err
	}
	if err := k.store.Write(state); err != nil {
		k.log.WithFields(operr.Fields(err)).Error("exclusions not stored")
	}
	return nil
}

// sync applies a change that another process made to the file.
func (k *exclusionSyncer) sync() {
	if !k.store.Changed() {
		return
	}
	state, err := k.store.Read()
	if err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions file not readable, ignored")
		return
	}
	if err := k.core.LoadExclusions(state); err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions of the file not applied")
	}
}

// watch polls the file for changes until ctx ends.
func (k *exclusionSyncer) watch(ctx context.Context) {
	ticker := time.NewTicker(exclusionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.mu.Lock()
			if unlock, err := k.store.Lock(); err == nil {
				k.sync()
				unlock()
			}
			k.mu.Unlock()
		}
	}
}

func (k *exclusionSyncer) exclude(id string) error { return k.change(id, k.core.Exclude) }
func (k *exclusionSyncer) include(id string) error { return k.change(id, k.core.Include) }
