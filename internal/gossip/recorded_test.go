package gossip

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"wheatsaddle/internal/nodestats"
	_ "wheatsaddle/internal/testkit/recorded" // defines the flag -record
)

// recordedLinks connects two processes directly and stores each message that they send, by its kind.
type recordedLinks struct {
	members
	nodes    []*memberlist.Node
	clusters map[string]*Cluster
	sent     map[string][][]byte
}

// recordedKinds contains the names of the kinds of messages by their first byte.
var recordedKinds = map[byte]string{'a': "digest", 'b': "digest-reply", 'c': "cells", 'd': "snapshot-request", 'e': "snapshot-reply"}

func (l *recordedLinks) Members() []*memberlist.Node {
	return append([]*memberlist.Node(nil), l.nodes...)
}

func (l *recordedLinks) NumMembers() int { return len(l.nodes) }

func (l *recordedLinks) SendBestEffort(to *memberlist.Node, b []byte) error {
	if len(b) > 1300 {
		return errors.New("too long for a datagram")
	}
	return l.SendReliable(to, b)
}

func (l *recordedLinks) SendReliable(to *memberlist.Node, b []byte) error {
	kind, ok := recordedKinds[b[0]]
	if !ok {
		return fmt.Errorf("a message of an unknown kind %d", b[0])
	}
	l.sent[kind] = append(l.sent[kind], bytes.Clone(b))
	if kind == "snapshot-reply" {
		(*delegate)(l.clusters[to.Name]).NotifyMsg(b)
	} else {
		l.clusters[to.Name].handle(b)
	}
	return nil
}

func newRecordedLinks(t *testing.T, names ...string) *recordedLinks {
	l := &recordedLinks{clusters: map[string]*Cluster{}, sent: map[string][][]byte{}}
	for i, name := range names {
		l.add(t, i, name)
	}
	return l
}

func (l *recordedLinks) add(t *testing.T, i int, name string) *Cluster {
	t.Helper()
	state, err := nodestats.New(nodestats.Defaults(), name, uint64(7+i))
	if err != nil {
		t.Fatal(err)
	}
	cluster := newCluster(Options{Name: name, Burst: 32, Seed: uint64(i), Since: func() time.Duration { return 9 * time.Second }, Log: discardLog(),
		MakeSnapshot: func(kind SnapshotKind) []byte { return fmt.Appendf(nil, "snapshot of %s, kind %d", name, kind) }}, state, bufferSize)
	cluster.members = l
	l.clusters[name], l.nodes = cluster, append(l.nodes, &memberlist.Node{Name: name})
	return cluster
}

// fillState adds outcomes, health and a list version, generated from a seed, to the state of a process.
func fillState(cluster *Cluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 12))
	for range 600 {
		cluster.Observe(nodestats.Key{Node: fmt.Sprint("n", r.IntN(4)), StartTime: 1700000000000, Class: fmt.Sprint("c", r.IntN(2))}, float64(r.IntN(64)), r.ExpFloat64()*20, nodestats.Outcome(r.IntN(4)))
	}
	cluster.WithState(func(now time.Duration, s *nodestats.State) {
		for i := range 5 {
			s.SetNodeHealth(now, fmt.Sprint("n", i), 1700000000000, nodestats.Health{Type: "hdd", Shard: i % 2, WarmingUp: i == 1, Window: 4 * r.Float64(), Queue: float64(i)})
		}
		s.SetListVersion(now, int64(40+seed))
	})
}

// exchangeAllKinds makes the two processes exchange each kind of message.
func (l *recordedLinks) exchangeAllKinds(t *testing.T) {
	a, b := l.clusters["a"], l.clusters["b"]
	fillState(a, 1)
	fillState(b, 2)
	for range 2 {
		a.round()
		b.round()
	}
	if !a.RequestSnapshot(context.Background(), LearnedSnapshot, func(text []byte) error {
		if string(text) != "snapshot of b, kind 1" {
			t.Errorf("received snapshot %q, want that of b", text)
		}
		return nil
	}) {
		t.Error("no snapshot was received")
	}
	b.tasks.Wait()
	if !sameStates(a, b) {
		t.Error("the two processes have different states")
	}
}

func readMessages(t *testing.T, kind string) (messages [][]byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "messages", kind+".hex"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Fields(string(text)) {
		m, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, m)
	}
	return messages
}

func writeMessages(t *testing.T, kind string, messages [][]byte) {
	t.Helper()
	var text strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&text, "%x\n", m)
	}
	path := filepath.Join("testdata", "messages", kind+".hex")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Messages of each kind are encoded as in the recording.
func TestSentMessagesAreThoseOfTheRecording(t *testing.T) {
	l := newRecordedLinks(t, "a", "b")
	l.exchangeAllKinds(t)
	record := flag.Lookup("record").Value.String() == "true"
	for _, kind := range recordedKinds {
		if len(l.sent[kind]) == 0 {
			t.Errorf("no message of kind %s was sent", kind)
		}
		if record {
			writeMessages(t, kind, l.sent[kind])
			continue
		}
		want := readMessages(t, kind)
		if len(want) != len(l.sent[kind]) {
			t.Errorf("%d messages of kind %s, the recording has %d", len(l.sent[kind]), kind, len(want))
			continue
		}
		for i, m := range l.sent[kind] {
			if !bytes.Equal(m, want[i]) {
				t.Errorf("kind %s, message %d: sent\n%x\nrecorded\n%x", kind, i, m, want[i])
			}
		}
	}
}

// A new process decodes the recorded messages of each kind, and answers requests.
func TestRecordedMessagesAreRead(t *testing.T) {
	l := newRecordedLinks(t, "a", "b")
	l.exchangeAllKinds(t)
	c := l.add(t, 3, "c")
	for _, m := range readMessages(t, "cells") {
		c.thisRound = roundLoad{}
		c.handle(m)
	}
	n := c.Counts()
	if n.State.Unreadable+n.State.LaterVersion+n.QueueOverflows > 0 || n.State.Messages != int64(len(readMessages(t, "cells"))) {
		t.Errorf("the recorded messages with cells were not all accepted: %+v", n)
	}
	if !sameStates(l.clusters["a"], c) {
		t.Error("the recorded cells do not result in the state of their senders")
	}
	for kind, answers := range map[string]string{"digest": "digest-reply", "digest-reply": "", "snapshot-request": "snapshot-reply"} {
		for i, m := range readMessages(t, kind) {
			clear(l.sent)
			c.thisRound = roundLoad{}
			c.handle(m)
			c.tasks.Wait()
			if got := len(l.sent[answers]); answers != "" && got != 1 {
				t.Errorf("recorded %s %d: got %d replies of kind %s, want 1", kind, i, got, answers)
			}
		}
	}
	for _, m := range readMessages(t, "snapshot-reply") {
		answer := c.snapshots.expect(numberOf(m))
		(*delegate)(c).NotifyMsg(m)
		if got := string(<-answer); got != "snapshot of b, kind 1" {
			t.Errorf("snapshot %q in the recorded reply, want that of b", got)
		}
	}
	if n := c.Counts(); n.State.Unreadable+n.State.LaterVersion+n.QueueOverflows+n.SnapshotsInvalid > 1 {
		t.Errorf("recorded messages were counted as invalid: %+v", n)
	}
}

// numberOf returns the number of the request that a snapshot reply answers.
func numberOf(reply []byte) (number uint64) {
	for _, b := range reply[1:9] {
		number = number<<8 | uint64(b)
	}
	return number
}
