package iscsi

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// durabilityBlocks is the number of blocks that a durabilityRun uses.
const durabilityBlocks = 6

// durabilityRun is an initiator before a storage target with a volatile cache that restarts at random. Each write of a block has a higher
// version than the one before.
type durabilityRun struct {
	t            *testing.T
	env          *testEnv
	client       *fakeInitiator
	rng          *rand.Rand
	written      uint64                   // the last version
	acknowledged [durabilityBlocks]uint64 // by block: the last version that was answered with GOOD
	onMedium     [durabilityBlocks]uint64 // by block: the last version that was promised to be on the medium
	promises     int
}

func (r *durabilityRun) write() {
	r.written++
	b := block{write: true, lba: r.rng.Uint64N(durabilityBlocks), blocks: 1}
	if r.rng.IntN(4) == 0 {
		b.cacheBits = cdbForceUnitAccess
	}
	data := make([]byte, 512)
	binary.BigEndian.PutUint64(data, r.written)
	cdb := b.cdb()
	if e := r.client.awaitResponse(r.client.startCommand(cdb[:], 0, 0x20, 512), data); e.status != statusGood {
		return
	}
	r.acknowledged[b.lba] = r.written
	if b.forcesUnitAccess() {
		r.onMedium[b.lba] = r.written
		r.promises++
	}
}

func (r *durabilityRun) synchronize() {
	from, blocks := uint64(0), uint64(0)
	if r.rng.IntN(2) == 0 {
		from = r.rng.Uint64N(durabilityBlocks)
		blocks = 1 + r.rng.Uint64N(durabilityBlocks-from)
	}
	e := r.client.synchronize(scsiSyncCache16, from, uint32(blocks))
	for lba := range r.onMedium {
		switch {
		case uint64(lba) < from || blocks > 0 && uint64(lba) >= from+blocks:
		case e.status == statusGood:
			r.onMedium[lba] = r.acknowledged[lba]
		case e.senseKey == senseHardware: // the initiator knows of the loss
			r.acknowledged[lba] = r.onMedium[lba]
		}
	}
	if e.status == statusGood {
		r.promises++
	}
}

func (r *durabilityRun) read() {
	lba := r.rng.Uint64N(durabilityBlocks)
	e := r.client.readBlocks(lba, 1)
	if e.status != statusGood {
		return
	}
	if got := binary.BigEndian.Uint64(e.data); got < r.onMedium[lba] {
		r.t.Errorf("block %d has version %d, and version %d was promised to be on the medium", lba, got, r.onMedium[lba])
	}
}

// Guards against answers that promise that a write is on the medium, while it is in the cache of a storage target that then restarts.
func TestPromisedWritesAreOnTheMedium(t *testing.T) {
	const seeds, commands, objective = 12, 300, 200 // ms
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			set := testSettings(objective)
			set.Plans[0].Rate, set.Plans[0].ReservedRate = 1e5, 1e5
			scope := []policy.DedupScope{policy.DedupAll, policy.DedupShard}[seed%2]
			set.Classes[1].DedupScope = scope
			env := newTestEnvWithSettings(t, set, true, newCachingTarget(t))
			r := &durabilityRun{t: t, env: env, client: env.initiator(t), rng: rand.New(rand.NewPCG(seed, 0))}
			stop := make(chan struct{})
			restarted := make(chan struct{})
			go func() {
				defer close(restarted)
				rng := rand.New(rand.NewPCG(seed, 1))
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
						env.restart()
					}
				}
			}()
			for range commands {
				switch r.rng.IntN(8) {
				case 0, 1, 2:
					r.write()
				case 3, 4:
					r.synchronize()
				default:
					r.read()
				}
			}
			close(stop)
			<-restarted
			if r.promises < commands/20 {
				t.Errorf("only %d promises", r.promises)
			}
		})
	}
}
