package cluster

import (
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"wheatsaddle/internal/nodestats"
)

// Message tags of internal/gossip, in this order: a digest that requests one in return, the returned digest, cells, a starting
// daemon's request for a snapshot (a number of 8 bytes, the kind in one byte, its name) and the answer to it (the number, a
// snapshot).
const tagDigestRequest, tagDigestReply, tagCells, tagSnapshotRequest, tagSnapshot = 'a', 'b', 'c', 'd', 'e'

// testPeer is a gossip member controlled by the test. It receives the daemons' observations and sends only what
// the test specifies. Its state is the merge of all received cells.
type testPeer struct {
	t                *testing.T
	list             *memberlist.Memberlist
	start            time.Time
	mu               sync.Mutex
	state            *nodestats.State
	digests          map[string][]byte // the last digest of each daemon
	receivedCells    [][]byte          // in order of arrival
	closeOnce        sync.Once
	snapshotRequests map[string][]byte // numbers of the snapshot requests, by daemon
	snapshot         []byte            // sent in answer to each snapshot request; nil: none
}

// restrictedTransport reaches only the allowed addresses.
type restrictedTransport struct {
	*memberlist.NetTransport
	allowed map[string]bool
}

func (f *restrictedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (f *restrictedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if !f.allowed[a.Addr] {
		return time.Now(), nil
	}
	return f.NetTransport.WriteToAddress(b, a)
}

func (f *restrictedTransport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (f *restrictedTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	if !f.allowed[a.Addr] {
		return nil, errors.New("the test peer may not dial this address")
	}
	return f.NetTransport.DialAddressTimeout(a, wait)
}

// newTestPeer creates a peer that joins the given daemons and reaches no others.
func (w *fixture) newTestPeer(name string, daemons ...int) *testPeer {
	w.t.Helper()
	discardLogger := log.New(io.Discard, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: discardLogger})
	w.must(err)
	transport := &restrictedTransport{netTransport, map[string]bool{}}
	var peerAddresses []string
	for _, i := range daemons {
		peerAddresses = append(peerAddresses, w.PeerAddr(i))
		transport.allowed[w.PeerAddr(i)] = true
	}
	s := &testPeer{t: w.t, start: time.Now(), digests: map[string][]byte{}, snapshotRequests: map[string][]byte{}}
	s.state, err = nodestats.New(nodestats.Defaults(), name, 1)
	w.must(err)
	config := memberlist.DefaultLANConfig()
	config.Name, config.Delegate, config.Transport, config.Logger, config.EnableCompression = name, s, transport, discardLogger, false
	config.BindAddr, config.AdvertiseAddr, config.DNSConfigPath = "127.0.0.1", "127.0.0.1", "/dev/null"
	config.BindPort, config.AdvertisePort = netTransport.GetAutoBindPort(), netTransport.GetAutoBindPort()
	s.list, err = memberlist.Create(config)
	w.must(err)
	w.t.Cleanup(s.close)
	n, err := s.list.Join(peerAddresses)
	w.must(err)
	if n != len(peerAddresses) {
		w.t.Fatalf("test peer %s joined only %d of %d daemons", name, n, len(peerAddresses))
	}
	return s
}

func (s *testPeer) close() {
	s.closeOnce.Do(func() {
		_ = s.list.Leave(200 * time.Millisecond)
		_ = s.list.Shutdown()
	})
}

// NotifyMsg implements memberlist.Delegate.
func (s *testPeer) NotifyMsg(b []byte) {
	if len(b) == 0 {
		return
	}
	tag, m := b[0], append([]byte(nil), b[1:]...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tag == tagCells {
		s.receivedCells = append(s.receivedCells, m)
		if err := s.state.Merge(time.Since(s.start), m); err != nil {
			s.t.Error(err)
		}
		return
	}
	if tag == tagSnapshotRequest && len(m) > 9 {
		number, daemon := slices.Clip(m[:8]), string(m[9:])
		s.snapshotRequests[daemon] = number
		if s.snapshot != nil {
			go s.send(daemon, tagSnapshot, append(number, s.snapshot...))
		}
		return
	}
	if from, err := nodestats.DigestSender(m); err == nil {
		s.digests[from] = m
	}
}

func (*testPeer) NodeMeta(int) []byte             { return nil }
func (*testPeer) GetBroadcasts(int, int) [][]byte { return nil }
func (*testPeer) LocalState(bool) []byte          { return nil }
func (*testPeer) MergeRemoteState([]byte, bool)   {}

// send sends a complete message to a daemon over TCP.
func (s *testPeer) send(daemon string, tag byte, m []byte) {
	s.t.Helper()
	for _, n := range s.list.Members() {
		if n.Name == daemon {
			if err := s.list.SendReliable(n, append([]byte{tag}, m...)); err != nil {
				s.t.Errorf("message to %s cannot be sent: %v", daemon, err)
			}
			return
		}
	}
	s.t.Errorf("daemon %s is not in the test peer's membership", daemon)
}

// snapshotRequestCount returns how many daemons have requested a snapshot.
func (s *testPeer) snapshotRequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.snapshotRequests)
}

// answerSnapshotRequests answers all snapshot requests, earlier and later ones, with the given bytes.
func (s *testPeer) answerSnapshotRequests(text []byte) {
	s.mu.Lock()
	s.snapshot = text
	requests := maps.Clone(s.snapshotRequests)
	s.mu.Unlock()
	for daemon, number := range requests {
		s.send(daemon, tagSnapshot, append(number, text...))
	}
}

// waitConverged requests the daemons' digests until each matches the merge of all their states.
func (w *fixture) waitConverged(s *testPeer, daemons ...string) {
	w.t.Helper()
	w.waitUntil("all daemons have the same state", func() bool {
		s.mu.Lock()
		clear(s.digests)
		before, digest := s.state.Counts().NewCells, s.state.Digest(time.Since(s.start))
		s.mu.Unlock()
		for _, d := range daemons {
			s.send(d, tagDigestRequest, digest)
		}
		for end := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			same, complete := s.state.Counts().NewCells == before, true
			for _, d := range daemons {
				digest, ok := s.digests[d]
				complete = complete && ok
				same = same && ok && s.state.MatchesDigest(time.Since(s.start), digest)
			}
			s.mu.Unlock()
			if complete {
				return same
			}
			if time.Now().After(end) {
				return false
			}
		}
	})
}

// messages returns the peer's complete state, encoded as messages of cells.
func (s *testPeer) messages(t *testing.T) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty, err := nodestats.New(nodestats.Defaults(), "none", 1)
	if err != nil {
		t.Fatal(err)
	}
	m, err := s.state.Diff(time.Since(s.start), empty.Digest(0))
	if err != nil {
		t.Fatal(err)
	}
	return m
}
