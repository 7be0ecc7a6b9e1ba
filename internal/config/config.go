// Package config reads the configuration, the site's file and the iSCSI front's file, checks them and sets defaults. It is
// the only package that maps the words in the files to the types of the packages that use the settings.
//
// Invariants:
//   - The first error in a file is reported, with the file, the key and the expected value.
//   - A file with an error changes nothing: the caller gets no settings from it.
//   - A missing key gets its default at the start; a value of the wrong type is an error, and so is a key that occurs twice.
//   - A file that is read again must have every key of the file in effect (completeness.go).
//
// The package does not check whether settings are consistent with each other; policy.New does.
package config

import (
	"errors"
	"net"
	"os"
	"strconv"

	"github.com/tidwall/gjson"

	"wheatsaddle/policy"
)

// Config is the configuration of one scheduler.
type Config struct {
	Name, Listen, Discovery string
	AdminListen             string // address of the admin endpoint; "": none
	InheritedSocket         string // ROUTER_PASSED_SOCKET: the clients' socket is inherited; "": it is bound
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int
	CachedList              []byte // the last known endpoint list, in the format of discovery
	Settings                policy.Settings
	ConnIdle                float64 // ms after which a node closes an idle connection
	ConnectTimeout          float64 // ms
	MaxOpenRequests         int
	HandshakePrice          float64 // price of a new connection, in priority weights of a request
	ListMode                string  // how the endpoint list arrives: push or ask
	ListPrice               float64 // price of the traffic of the list's service
	raw                     []byte  // text of the file
}

const (
	defaultCores          = 1.0
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnIdle       = 15000.0
	defaultConnectTimeout = 250.0
	defaultMaxOpen        = 20000

	hostPortForm = "host:port"
)

// Load reads the file that ROUTER_CONFIG names. Other environment variables take precedence over their keys in the file.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, &UnsetError{"ROUTER_CONFIG"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{"ROUTER_CONFIG", err}
	}
	return Parse(text, env)
}

// Reload reads the file again. Its address of discovery takes precedence now: ROUTER_DISCOVERY has the address as of the
// start, and is used only if the file has none.
func Reload(env func(string) string) (*Config, error) {
	c, err := Load(func(key string) string {
		if key == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(key)
	})
	if errors.Is(err, errNoDiscovery) {
		return Load(env)
	}
	return c, err
}

var errNoDiscovery = errors.New("not set")

// ReplaceText makes the text of a file that was read again the one in effect, with which CheckRemovedKeys compares the next.
func (c *Config) ReplaceText(later *Config) { c.raw = later.raw }

// Parse reads a configuration.
func Parse(text []byte, env func(string) string) (*Config, error) {
	if err := validate(configurationFile, "", text); err != nil {
		return nil, err
	}
	r := &reader{root: gjson.ParseBytes(text)}
	fileOrEnv := func(key, name string) string {
		if v := env(name); v != "" {
			return v
		}
		return r.text(key, "")
	}
	c := &Config{
		raw:  text,
		Name: fileOrEnv("name", "ROUTER_NAME"), Listen: fileOrEnv("listen", "ROUTER_LISTEN"),
		Discovery: fileOrEnv("discovery", "ROUTER_DISCOVERY"), AdminListen: fileOrEnv("operator", "ROUTER_OPERATOR"),
		InheritedSocket: env("ROUTER_PASSED_SOCKET"),
		Cores:           r.number("limits.cores", defaultCores, 0.01), MemoryMB: int(r.number("limits.memory_mb", defaultMemoryMB, 16)),
		Sockets: int(r.number("limits.sockets", defaultSockets, 64)),
	}
	r.checkAddresses(c)
	r.seedAndList(c)
	set := r.root.Get("settings")
	if !set.IsObject() {
		r.fail(KeyError{Key: "settings", Expected: "an object", Problem: "missing or not an object"})
	}
	if r.err != nil {
		return nil, r.err
	}
	sr := &reader{root: set, prefix: "settings."}
	c.ConnIdle = sr.number("ceilings.conn-idle", defaultConnIdle, 1)
	c.ConnectTimeout = sr.number("ceilings.connect-timeout", defaultConnectTimeout, 1)
	c.MaxOpenRequests = int(sr.number("ceilings.max-open", defaultMaxOpen, 1))
	c.HandshakePrice = sr.number("prices.handshake", 0, 0)
	c.ListMode, c.ListPrice = sr.text("membership-mode", "push"), sr.number("prices.membership-mode", 0, 0)
	if sr.err != nil {
		return nil, sr.err
	}
	var err error
	c.Settings, err = Settings(set)
	return c, err
}

// checkAddresses checks the addresses of a configuration.
func (r *reader) checkAddresses(c *Config) {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		r.failValue("listen", strconv.Quote(c.Listen), hostPortForm)
	}
	if c.AdminListen != "" {
		if _, _, err := net.SplitHostPort(c.AdminListen); err != nil {
			r.failValue("operator", strconv.Quote(c.AdminListen), hostPortForm)
		}
	}
	if c.Discovery == "" {
		r.fail(KeyError{Key: "discovery", Expected: hostPortForm, Err: errNoDiscovery})
	} else if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		r.failValue("discovery", strconv.Quote(c.Discovery), hostPortForm)
	}
}

// seedAndList reads the seed and the cached list.
func (r *reader) seedAndList(c *Config) {
	if seed := r.root.Get("seed"); seed.Exists() {
		n, err := strconv.ParseUint(seed.String(), 16, 64)
		if err != nil {
			r.failValue("seed", strconv.Quote(seed.String()), "a hex number")
		}
		c.Seed = int64(n)
	}
	if cached := r.root.Get("known"); cached.Exists() {
		if !cached.IsObject() {
			r.fail(KeyError{Key: "known", Expected: "an object", Problem: "not an object"})
		}
		c.CachedList = []byte(cached.Raw)
	}
}
