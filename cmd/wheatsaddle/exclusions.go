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

// pollEvery is how often the book kept in $TMPDIR is looked at for another process's change:
// the rule on drains gives 250 ms.
const pollEvery = 100 * time.Millisecond

// keeper holds the book of exclusions in step with its file, which all processes of the
// scheduler share. It decides nothing: the book is core's.
type keeper struct {
	mu    sync.Mutex // one change or reading at a time in this process; the flock orders processes
	store *store.Store
	core  *core.Core
	log   logrus.FieldLogger
}

// keptExclusions reads the book that the scheduler's last process left; a bad file leaves none.
func keptExclusions(name string, log logrus.FieldLogger) (*store.Store, exclusion.State) {
	st := store.In(os.TempDir(), name)
	got, err := st.Read()
	if err != nil {
		log.WithFields(operr.Fields(err)).Warn("the kept exclusions are ignored")
	} else if len(got.Excluded) > 0 {
		log.WithField("excluded", len(got.Excluded)).Info("storage nodes excluded by hand, as kept")
	}
	return st, got
}

// change runs an operator's call: the file is read under the lock, the call applied, the book
// written back.
func (k *keeper) change(id string, call func(string) (exclusion.State, error)) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	unlock, err := k.store.Lock()
	if err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions: the lock of the file is not had; the book of this process counts")
	} else {
		defer unlock()
		k.sync()
	}
	st, err := call(id)
	if err != nil {
		return err
	}
	if err := k.store.Write(st); err != nil {
		k.log.WithFields(operr.Fields(err)).Error("exclusions: not kept for the next process")
	}
	return nil
}

// sync takes another process's change of the file.
func (k *keeper) sync() {
	if !k.store.Changed() {
		return
	}
	st, err := k.store.Read()
	if err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions: the file is ignored")
		return
	}
	if err := k.core.LoadExcluded(st); err != nil {
		k.log.WithFields(operr.Fields(err)).Warn("exclusions: not taken from the file")
	}
}

// watch looks at the file until ctx ends.
func (k *keeper) watch(ctx context.Context) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.mu.Lock()
			if unlock, err := k.store.Lock(); err == nil {
				k.sync()
				unlock()
			}
			k.mu.Unlock()
		}
	}
}

func (k *keeper) exclude(id string) error { return k.change(id, k.core.Exclude) }
func (k *keeper) include(id string) error { return k.change(id, k.core.Include) }
