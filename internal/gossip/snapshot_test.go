package gossip

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"time"
)

// One that starts has what another hands over, also where datagrams are lost, doubled and cut, some have
// nothing, and one gives what cannot be used or is too long. What nobody asked for is dropped and counted.
func TestHandOver(t *testing.T) {
	good := bytes.Repeat([]byte("learned "), 20<<10) // 160 KiB: by a connection of its own
	c := giving(t, 6, 0.1, func(i int) func(SnapshotKind) []byte {
		return func(k SnapshotKind) []byte {
			switch {
			case k != LearnedSnapshot || i == 1:
				return nil
			case i == 2:
				return []byte("nonsense")
			case i == 3:
				return make([]byte, giveMost+1)
			}
			return good
		}
	})
	p := c.peers[0]
	await(t, "all know each other", func() bool { return p.Counts().Members == 6 && c.peers[4].Counts().Members == 6 })
	for spoilt := false; !spoilt; spoilt = p.Counts().SnapshotsInvalid > 0 { // until the one with nonsense was asked too
		had := 0
		await(t, "handed over", func() bool {
			// Where all of them were asked in vain, as datagrams were lost, it waits for members to come: it is asked anew.
			ctx, stop := context.WithTimeout(t.Context(), 6*giveWait)
			defer stop()
			return p.RequestSnapshot(ctx, LearnedSnapshot, func(b []byte) error {
				if !bytes.Equal(b, good) {
					return errors.New("not what it must be")
				}
				had++
				return nil
			})
		})
		if had != 1 {
			t.Fatalf("taken %d times", had)
		}
	}
	if p.Counts().SnapshotsReceived == 0 || c.peers[4].Counts().SnapshotsSent+c.peers[5].Counts().SnapshotsSent == 0 {
		t.Errorf("%+v", p.Counts())
	}
	quick, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if p.RequestSnapshot(quick, LearnedSnapshot+1, func([]byte) error { return nil }) {
		t.Error("of a kind that nobody has")
	}
	before := p.Counts()
	asked := p.hand.ask(7)
	for _, m := range [][]byte{nil, make([]byte, 8), binary.BigEndian.AppendUint64(nil, 9), append(binary.BigEndian.AppendUint64(nil, 7), make([]byte, giveMost+1)...)} {
		(*delegate)(p).NotifyMsg(append([]byte{tagGive}, m...))
	}
	(*delegate)(p).NotifyMsg(append([]byte{tagGive}, append(binary.BigEndian.AppendUint64(nil, 7), 'x')...))
	(*delegate)(p).NotifyMsg(append([]byte{tagGive}, append(binary.BigEndian.AppendUint64(nil, 7), 'y')...)) // a second answer
	if got := p.Counts().SnapshotsInvalid - before.SnapshotsInvalid; got != 5 || string(<-asked) != "x" {
		t.Errorf("%d dropped of 5", got)
	}
}

// Who asks often is told that there is nothing: what a process hands over costs it work.
func TestHandsOverSoMuch(t *testing.T) {
	let, made := make(chan bool), make(chan bool, 100)
	c := giving(t, 2, 0, func(int) func(SnapshotKind) []byte {
		return func(SnapshotKind) []byte { made <- true; <-let; return []byte("x") }
	})
	p := c.peers[1]
	await(t, "both know each other", func() bool { return p.Counts().Members == 2 && c.peers[0].Counts().Members == 2 })
	m := append(binary.BigEndian.AppendUint64(nil, 5), byte(LearnedSnapshot))
	for range 10 * givesMost {
		c.peers[0].send(p.list.LocalNode(), tagWant, append(m, "p0"...))
	}
	await(t, "the ones too many were turned away", func() bool { return c.peers[0].Counts().SnapshotsInvalid >= 8*givesMost })
	if n := len(made); n > givesMost {
		t.Errorf("%d at once", n)
	}
	close(let)
}
