package gossip

import (
	"context"
	"io"
	"log"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/interleave/sync"
)

const (
	tcpTimeout        = time.Second
	gossipToDeadFor   = 30 * time.Second // for which memberlist gossips to a failed member, so that it can refute the failure
	deadNodeReclaim   = time.Second      // after which a killed process may rejoin under its name at another address
	seedJoinInterval  = 2 * time.Second
	datagramAllowance = 100 // bytes that memberlist adds to a datagram, at most
)

// members are the methods of memberlist.Memberlist that a Cluster uses.
type members interface {
	Members() []*memberlist.Node
	NumMembers() int
	LocalNode() *memberlist.Node
	Join(seeds []string) (int, error)
	Leave(time.Duration) error
	Shutdown() error
	SendBestEffort(*memberlist.Node, []byte) error
	SendReliable(*memberlist.Node, []byte) error
}

// Members returns the names of the processes that are known to be alive, including this one.
func (c *Cluster) Members() []string {
	var names []string
	for _, n := range c.members.Members() {
		names = append(names, n.Name)
	}
	return names
}

// Address returns the address at which others reach this process.
func (c *Cluster) Address() string { return c.members.LocalNode().Address() }

// joinSeeds periodically joins each seed that is not a member, so that the fleet recovers from a network partition.
func (c *Cluster) joinSeeds(ctx context.Context) {
	defer c.tasks.Done()
	for {
		joined := map[string]bool{}
		for _, n := range c.members.Members() {
			joined[n.Address()] = true
		}
		for _, seed := range c.options.Seeds {
			if !joined[seed] && ctx.Err() == nil {
				_, _ = c.members.Join([]string{seed}) // memberlist logs its error
			}
		}
		select {
		case <-time.After(seedJoinInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cluster) memberlistConfig() (*memberlist.Config, error) {
	config := memberlist.DefaultLANConfig()
	config.Name = c.options.Name
	config.SecretKey = c.options.Key
	config.Delegate = (*delegate)(c)
	config.EnableCompression = false
	config.TCPTimeout = tcpTimeout
	config.GossipToTheDeadTime = gossipToDeadFor
	config.DeadNodeReclaimTime = deadNodeReclaim
	config.Logger = log.New(debugLog{c.options.Log}, "", 0)
	config.UDPBufferSize = maxDatagram + datagramAllowance
	config.DNSConfigPath = "/dev/null" // seeds are addresses
	if err := c.setAddresses(config); err != nil {
		return nil, err
	}
	if c.options.Transport != nil {
		config.Transport = c.options.Transport
		return config, nil
	}
	return config, c.setTransport(config)
}

// setAddresses sets the addresses to listen on and to advertise.
func (c *Cluster) setAddresses(config *memberlist.Config) error {
	host, port, err := splitAddress(c.options.Listen)
	if err != nil {
		return &ListenError{Address: c.options.Listen, Err: err}
	}
	if c.options.Advertise == "" && net.ParseIP(host).IsUnspecified() { // memberlist would run an external program to find an address
		return &ListenError{Address: c.options.Listen, Err: errUnspecifiedAddress}
	}
	config.BindAddr, config.BindPort, config.AdvertisePort = host, port, port
	if c.options.Advertise != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = splitAddress(c.options.Advertise); err != nil {
			return &ListenError{Address: c.options.Advertise, Err: err}
		}
	}
	return nil
}

// setTransport listens on the configured address.
func (c *Cluster) setTransport(config *memberlist.Config) error {
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{config.BindAddr},
		BindPort:  config.BindPort,
		Logger:    config.Logger,
	})
	if err != nil {
		return &ListenError{Address: c.options.Listen, Err: err}
	}
	if c.options.Advertise == "" {
		config.BindPort, config.AdvertisePort = network.GetAutoBindPort(), network.GetAutoBindPort()
	}
	config.Transport = &overridingTransport{network, c.options.AddressOverrides}
	return nil
}

// delegate implements memberlist.Delegate. Its methods do not block.
type delegate Cluster

func (d *delegate) NotifyMsg(b []byte) {
	if len(b) == 0 {
		return
	}
	if b[0] == messageSnapshotReply {
		d.snapshots.receive(b[1:])
		return
	}
	if !sync.TrySend(d.inbox, append([]byte(nil), b...)) { // memberlist reuses b
		d.queueOverflows.Add(1)
	}
}

func (d *delegate) NodeMeta(int) []byte             { return nil }
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

// debugLog logs memberlist's messages at debug level.
type debugLog struct{ log logrus.FieldLogger }

func (d debugLog) Write(b []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(b)))
	return len(b), nil
}

var _ io.Writer = debugLog{}
