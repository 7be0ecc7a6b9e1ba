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

// Tags of internal/gossip: a digest that asks for one in return, cells, what one that starts asks for (a number, the kind,
// its name) and what it is given (the number, a snapshot).
const tagAsk, tagReply, tagCells, tagWant, tagGive = 'a', 'b', 'c', 'd', 'e'

// stranger is a member that is this test: it hears what daemons hold and tells them only what the test
// says. Its state is one merge of all that it has heard.
type stranger struct {
	t     *testing.T
	list  *memberlist.Memberlist
	start time.Time
	mu    sync.Mutex
	state *nodestats.State
	holds map[string][]byte // the last digest of each daemon
	heard [][]byte          // cells, as they came
	once  sync.Once
	wants map[string][]byte // the numbers of those that asked to be handed something
	gives []byte            // to each of them at once; nil: nothing
}

// fenced reaches the allowed addresses alone.
type fenced struct {
	*memberlist.NetTransport
	allowed map[string]bool
}

func (f *fenced) WriteTo(b []byte, addr string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (f *fenced) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if !f.allowed[a.Addr] {
		return time.Now(), nil
	}
	return f.NetTransport.WriteToAddress(b, a)
}

func (f *fenced) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (f *fenced) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	if !f.allowed[a.Addr] {
		return nil, errors.New("fenced off")
	}
	return f.NetTransport.DialAddressTimeout(a, wait)
}

// stranger joins the daemons, and reaches no others.
func (w *world) stranger(name string, daemons ...int) *stranger {
	w.t.Helper()
	quiet := log.New(io.Discard, "", 0)
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, Logger: quiet})
	w.must(err)
	f := &fenced{nt, map[string]bool{}}
	var at []string
	for _, i := range daemons {
		at = append(at, w.PeerAddr(i))
		f.allowed[w.PeerAddr(i)] = true
	}
	s := &stranger{t: w.t, start: time.Now(), holds: map[string][]byte{}, wants: map[string][]byte{}}
	s.state, err = nodestats.New(nodestats.Defaults(), name, 1)
	w.must(err)
	conf := memberlist.DefaultLANConfig()
	conf.Name, conf.Delegate, conf.Transport, conf.Logger, conf.EnableCompression = name, s, f, quiet, false
	conf.BindAddr, conf.AdvertiseAddr, conf.DNSConfigPath = "127.0.0.1", "127.0.0.1", "/dev/null"
	conf.BindPort, conf.AdvertisePort = nt.GetAutoBindPort(), nt.GetAutoBindPort()
	s.list, err = memberlist.Create(conf)
	w.must(err)
	w.t.Cleanup(s.close)
	n, err := s.list.Join(at)
	w.must(err)
	if n != len(at) {
		w.t.Fatalf("%s joined %d of %d", name, n, len(at))
	}
	return s
}

func (s *stranger) close() {
	s.once.Do(func() {
		_ = s.list.Leave(200 * time.Millisecond)
		_ = s.list.Shutdown()
	})
}

// NotifyMsg implements memberlist.Delegate.
func (s *stranger) NotifyMsg(b []byte) {
	if len(b) == 0 {
		return
	}
	tag, m := b[0], append([]byte(nil), b[1:]...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tag == tagCells {
		s.heard = append(s.heard, m)
		if err := s.state.Merge(time.Since(s.start), m); err != nil {
			s.t.Error(err)
		}
		return
	}
	if tag == tagWant && len(m) > 9 {
		number, who := slices.Clip(m[:8]), string(m[9:])
		s.wants[who] = number
		if s.gives != nil {
			go s.tell(who, tagGive, append(number, s.gives...))
		}
		return
	}
	if from, err := nodestats.DigestSender(m); err == nil {
		s.holds[from] = m
	}
}

func (*stranger) NodeMeta(int) []byte             { return nil }
func (*stranger) GetBroadcasts(int, int) [][]byte { return nil }
func (*stranger) LocalState(bool) []byte          { return nil }
func (*stranger) MergeRemoteState([]byte, bool)   {}

// tell sends a message to a daemon, whole.
func (s *stranger) tell(daemon string, tag byte, m []byte) {
	s.t.Helper()
	for _, n := range s.list.Members() {
		if n.Name == daemon {
			if err := s.list.SendReliable(n, append([]byte{tag}, m...)); err != nil {
				s.t.Errorf("%s is not told: %v", daemon, err)
			}
			return
		}
	}
	s.t.Errorf("%s is no member", daemon)
}

// asked is how many daemons have asked to be handed something.
func (s *stranger) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.wants)
}

// give hands something over to each that has asked, and will ask.
func (s *stranger) give(text []byte) {
	s.mu.Lock()
	s.gives = text
	wants := maps.Clone(s.wants)
	s.mu.Unlock()
	for to, number := range wants {
		s.tell(to, tagGive, append(number, text...))
	}
}

// learn asks the daemons what they hold, until each holds what all together do.
func (w *world) learn(s *stranger, daemons ...string) {
	w.t.Helper()
	w.until("all hold the same", func() bool {
		s.mu.Lock()
		clear(s.holds)
		before, digest := s.state.Counts().NewCells, s.state.Digest(time.Since(s.start))
		s.mu.Unlock()
		for _, d := range daemons {
			s.tell(d, tagAsk, digest)
		}
		for end := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			same, all := s.state.Counts().NewCells == before, true
			for _, d := range daemons {
				held, ok := s.holds[d]
				all = all && ok
				same = same && ok && s.state.MatchesDigest(time.Since(s.start), held)
			}
			s.mu.Unlock()
			if all {
				return same
			}
			if time.Now().After(end) {
				return false
			}
		}
	})
}

// all is what a stranger holds, as messages.
func (s *stranger) all(t *testing.T) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	none, err := nodestats.New(nodestats.Defaults(), "none", 1)
	if err != nil {
		t.Fatal(err)
	}
	m, err := s.state.Diff(time.Since(s.start), none.Digest(0))
	if err != nil {
		t.Fatal(err)
	}
	return m
}
