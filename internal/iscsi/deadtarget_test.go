package iscsi

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// fiveTargets is the system under test before five storage targets, each with the logical unit of its number.
type fiveTargets struct {
	targets [5]*fakeTarget
	address string
}

func newFiveTargets(t *testing.T, set policy.Settings) *fiveTargets {
	t.Helper()
	f := &fiveTargets{}
	var storage, units []string
	for i := range f.targets {
		f.targets[i] = newFakeTarget(t)
		f.targets[i].deduplicates = true
		f.targets[i].loginResponse, f.targets[i].react = immediateData, serveIn20ms
		storage = append(storage, fmt.Sprintf(`{"name":"st%d","addresses":[%q],"target":"iqn.st","group":%d}`, i, f.targets[i].ln.Addr(), i))
		units = append(units, fmt.Sprintf(`{"lun":%d,"group":%d,"volume":"00000000000a000%d","plan":"basic","blocks":4096,
			"rules":[{"command":"read","class":"balance-read"},{"command":"write","class":"new-record"}]}`, i, i, i))
	}
	conf, err := config.ParseISCSI([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","drops_repeats":true,"storage":[%s],"targets":[{"name":%q,"luns":[%s]}]}`,
		strings.Join(storage, ","), targetName, strings.Join(units, ","))), set)
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	dialer := NewDialer(conf, "iqn.me", 250*time.Millisecond, log)
	c, err := core.New(core.Options{Settings: AdaptSettings(set, conf), Seed: 1, NewNodeClient: dialer.NewNodeClient, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	dialer.SetListUpdateHandler(c.UpdateList)
	c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: Nodes(conf)})
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f.address = ln.Addr().String()
	target := NewTarget(conf, c, dialer, log)
	go func() { _ = target.Serve(ln) }()
	return f
}

// serveIn20ms is the reaction of a storage target that serves each command after a while.
func serveIn20ms(int) reaction { return reaction{delay: 20 * time.Millisecond, executes: true} }

// die makes a storage target fall at its next command, after the execution, and complete no login until revive.
func (s *fakeTarget) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.react = func(int) reaction { return reaction{executes: true, ending: falls} }
}

func (s *fakeTarget) revive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.react, s.cutsLeft = serveIn20ms, 0
}

// answerCounts counts the answers to initiators by the kind of the command and of the answer.
type answerCounts struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

func (a *answerCounts) add(write bool, e outcome) {
	kind := fmt.Sprintf("status 0x%02x", e.status)
	switch {
	case e.status == statusGood:
		kind = "GOOD"
	case e.status == statusBusy || e.status == statusTaskSetFull:
		kind = "BUSY"
	case e.senseKey == senseHardware:
		kind = "HARDWARE ERROR"
	case e.senseKey == senseAborted:
		kind = "ABORTED COMMAND"
	}
	command := "read"
	if write {
		command = "write"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[command+": "+kind]++
}

// With one storage target of five dead for a while, initiators are told that a write did not run only if it did not; commands for the others,
// and those that never reached the dead one, are answered as before.
func TestAnswersWithOneStorageTargetDead(t *testing.T) {
	const initiators = 16
	const deadFrom, deadUntil, end = time.Second, 2500 * time.Millisecond, 4 * time.Second
	for scope, word := range map[policy.DedupScope]string{policy.DedupAll: "all", policy.DedupShard: "cell"} {
		t.Run(word, func(t *testing.T) {
			set := testSettings(300)
			set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 250, 1500
			set.Classes[1].Deadline, set.Classes[1].DedupScope, set.Classes[1].DedupWindow = 1500, scope, 2500
			f := newFiveTargets(t, set)
			answers := answerCounts{counts: map[string]int{}}
			start := time.Now()
			time.AfterFunc(deadFrom, f.targets[0].die)
			time.AfterFunc(deadUntil, f.targets[0].revive)
			var done sync.WaitGroup
			for i := range initiators {
				c := connect(t, f.address)
				c.isid = fmt.Sprintf("\x80\x00\x00\x00\x02%c", 'a'+i)
				if status := c.login(stageOperational<<2|stageFull, pair{"InitiatorName", "iqn.client"}, pair{"TargetName", targetName}); status != 0 {
					t.Fatalf("login ended with status 0x%04x", status)
				}
				done.Go(func() { f.play(t, c, i, start.Add(end), &answers) })
			}
			done.Wait()
			for _, kind := range slices.Sorted(maps.Keys(answers.counts)) {
				t.Logf("%s %d", kind, answers.counts[kind])
			}
			if answers.counts["write: GOOD"] == 0 || answers.counts["write: BUSY"] == 0 || answers.counts["read: BUSY"] == 0 {
				t.Error("the storage target was not dead, or the others did not serve")
			}
		})
	}
}

// play sends reads and writes until a time.
func (f *fiveTargets) play(t *testing.T, c *fakeInitiator, initiator int, until time.Time, answers *answerCounts) {
	rng := rand.New(rand.NewPCG(uint64(initiator), 5))
	for i := 0; time.Now().Before(until); i++ {
		lun, write := uint16(rng.IntN(len(f.targets))), rng.IntN(100) < 45
		label := fmt.Sprintf("initiator %d, command %d", initiator, i)
		data := make([]byte, 512)
		copy(data, label)
		cdb := block{write: write, lba: uint64(rng.IntN(4000)), blocks: 1}.cdb()
		flags := byte(0x40)
		if write {
			flags = 0x20
		}
		e := c.awaitResponse(c.startCommand(cdb[:], lun, flags, 512), data)
		answers.add(write, e)
		runs := len(f.targets[lun].runsOf(label))
		if runs > 1 || runs > 0 && (e.status == statusBusy || e.status == statusTaskSetFull) {
			t.Errorf("%s ran %d times and ended with status 0x%x", label, runs, e.status)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
