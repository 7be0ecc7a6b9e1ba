package main

import (
	"context"
	"errors"
	"os"
	"slices"
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
// decisions are made by the core. A call of an operator that could not be stored, because the folder fails for a while, is owed: it is
// applied again to what the file holds, and stored, when the folder works.
type exclusionSyncer struct {
	mu    sync.Mutex // serializes changes and reads of this process; the file's lock serializes processes
	store *store.Store
	core  *core.Core
	log   logrus.FieldLogger

	owed       []exclusionCall // guarded by mu, like unreadable; the last call for each node, in the order of the calls
	unreadable bool            // the last read failed, and that was logged
}

// exclusionCall is an operator's call for a node.
type exclusionCall struct {
	node  string
	apply func(node string) (exclusion.State, error)
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
// result back. If the file cannot be locked, read or written, the call applies to this process at once and is owed to the file.
func (k *exclusionSyncer) change(call exclusionCall) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	unlock, err := k.store.Lock()
	isSynced := false
	if err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions file not locked, using the exclusions of this process")
	} else {
		defer unlock()
		isSynced = k.sync()
	}
	if _, err := call.apply(call.node); err != nil {
		return err
	}
	k.owe(call)
	if !isSynced {
		return nil
	}
	if err := k.storeOwed(); err != nil {
		k.log.WithFields(operr.Fields(err)).Error("exclusions not stored")
	}
	return nil
}

// owe adds a call to the owed ones, in place of an earlier one for the node.
func (k *exclusionSyncer) owe(call exclusionCall) {
	k.owed = slices.DeleteFunc(k.owed, func(c exclusionCall) bool { return c.node == call.node })
	k.owed = append(k.owed, call)
}

// storeOwed applies the owed calls to the state that was just read, and stores it. A call that no longer applies, for instance because
// its node is not listed any more, is dropped.
func (k *exclusionSyncer) storeOwed() error {
	var state exclusion.State
	k.owed = slices.DeleteFunc(k.owed, func(c exclusionCall) bool {
		applied, err := c.apply(c.node)
		if err == nil {
			state = applied
		}
		return err != nil
	})
	if len(k.owed) == 0 {
		return nil
	}
	if err := k.store.Write(state); err != nil {
		return err
	}
	k.owed = nil
	return nil
}

// sync applies a change that another process made to the file. It returns false if the file could not be read.
func (k *exclusionSyncer) sync() bool {
	if !k.store.Changed() {
		return true
	}
	state, err := k.store.Read()
	if err != nil {
		if !k.unreadable {
			k.log.WithFields(operr.Fields(err)).Warn("exclusions file not readable, ignored")
		}
		var failed *store.FileError
		k.unreadable = errors.As(err, &failed)
		return !k.unreadable
	}
	k.unreadable = false
	if err := k.core.LoadExclusions(state); err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions of the file not applied")
	}
	return true
}

// watch polls the file for changes, and stores what is owed, until ctx ends.
func (k *exclusionSyncer) watch(ctx context.Context) {
	ticker := time.NewTicker(exclusionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.poll()
		}
	}
}

// poll reads the file if it has changed, and stores what is owed.
func (k *exclusionSyncer) poll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	unlock, err := k.store.Lock()
	if err != nil {
		return
	}
	defer unlock()
	if !k.sync() || len(k.owed) == 0 {
		return
	}
	if k.storeOwed() == nil {
		k.log.Info("exclusions stored that could not be stored before")
	}
}

func (k *exclusionSyncer) exclude(id string) error {
	return k.change(exclusionCall{id, k.core.Exclude})
}
func (k *exclusionSyncer) include(id string) error {
	return k.change(exclusionCall{id, k.core.Include})
}
