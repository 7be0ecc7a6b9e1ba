package iscsi

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/writecache"
	"wheatsaddle/policy"
)

// Dialer creates the initiators, one actor for each storage target.
type Dialer struct {
	Name               string          // iSCSI name of this initiator
	Memory             *memory.Account // of the sessions with storage targets; nil: no limit
	ConnectTimeout     time.Duration
	DeduplicatesWrites bool
	Log                logrus.FieldLogger
	mu                 sync.Mutex // guards the fields below
	storage            map[string]config.StorageTarget
	peers              map[string]*storagePeer // by the name of the storage target
	caches             *writecache.Tracker
	listUpdateHandler  atomic.Pointer[func(core.ListUpdate)]
	addressSettings    atomic.Pointer[address.Settings]
}

// NewDialer returns a dialer for the storage targets of a configuration.
func NewDialer(conf *config.ISCSI, name string, connect time.Duration, log logrus.FieldLogger) *Dialer {
	d := &Dialer{Name: name, ConnectTimeout: connect, DeduplicatesWrites: conf.DeduplicatesWrites, Log: log,
		peers: map[string]*storagePeer{}, caches: writecache.New()}
	d.Update(conf)
	return d
}

// Update replaces the storage targets after the configuration was reloaded. Call it before the
// core receives the new list.
func (d *Dialer) Update(conf *config.ISCSI) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storage = map[string]config.StorageTarget{}
	for _, s := range conf.Storage {
		d.storage[s.Name] = s
	}
}

func (d *Dialer) storageTarget(name string) (config.StorageTarget, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.storage[name]
	return s, ok
}

// SetAddressSettings sets the settings by which portals are selected, also for existing initiators.
func (d *Dialer) SetAddressSettings(set address.Settings) { d.addressSettings.Store(&set) }

// SetListUpdateHandler sets the function that is called when a storage target reports that it is
// draining, or when it is up again after that.
func (d *Dialer) SetListUpdateHandler(f func(core.ListUpdate)) { d.listUpdateHandler.Store(&f) }

// Nodes returns the nodes of the storage targets in a configuration.
func Nodes(conf *config.ISCSI) (out []core.Node) {
	for _, s := range conf.Storage {
		out = append(out, core.Node{Node: policy.Node{ID: s.Name, Shard: s.Shard, State: s.State, Weight: 1}, Addresses: s.Addresses})
	}
	return out
}

// AdaptSettings returns the policy settings for this front. If the storage targets do not deduplicate
// writes, classes that are idempotent by key become non-idempotent, because a write that may have run
// must not be sent again. An initiator has no key: the front gives each command one of its own, so a
// command that an initiator repeats is a new request to the storage targets.
func AdaptSettings(set policy.Settings, conf *config.ISCSI) policy.Settings {
	classes := append([]policy.Class(nil), set.Classes...)
	for i := range classes {
		if classes[i].Effect == policy.IdempotentByKey && !conf.DeduplicatesWrites {
			classes[i].Effect = policy.NonIdempotent
		}
	}
	set.Classes, set.MayCheckHealth, set.ClientsKeepKeys = classes, false, false
	return set
}

// NewNodeClient starts the actor of one storage target.
func (d *Dialer) NewNodeClient(name string, addresses []address.Addr) core.NodeClient {
	conf, _ := d.storageTarget(name)
	p := &storagePeer{dialer: d, name: name, target: conf.Target, mailbox: make(chan message, mailboxSize), done: make(chan struct{}),
		commands: map[*core.Attempt]*command{}, retiring: map[*nexus]bool{}}
	p.replaceAddresses(addresses)
	d.mu.Lock()
	d.peers[name] = p
	d.mu.Unlock()
	go func() {
		p.run()
		d.removePeer(p)
	}()
	return p
}

// removePeer removes an actor that has ended, unless another one has taken its place.
func (d *Dialer) removePeer(p *storagePeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers[p.name] == p {
		delete(d.peers, p.name)
	}
}
