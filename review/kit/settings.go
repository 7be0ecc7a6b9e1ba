package kit

// M is a JSON object.
type M = map[string]any

// Class returns a request class of the settings.
func Class(name, repeat string, goalMs, deadlineMs, windowMs, worth float64) M {
	return M{"name": name, "repeat": repeat, "goal-time": goalMs, "deadline": deadlineMs, "key-scope": "cell", "memory-span": windowMs,
		"late-worth": 0.1, "stream": false, "worth": worth}
}

// Config returns a scheduler's configuration with settings like those of a small deployment: the example of the pages, with
// one scheduler and the given classes.
func Config(name, listen, discovery, operator string, known any, shards, memoryMB int, classes []M) M {
	writes := []bool{}
	for range classes {
		writes = append(writes, false)
	}
	return M{
		"name": name, "listen": listen, "discovery": discovery, "operator": operator, "seed": "8c1f30d27a5be964",
		"limits": M{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known":  known,
		"settings": M{
			"ceilings": M{"conn-idle": 15000.0, "connect-timeout": 250.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000, "max-attempts": 4,
				"max-open": 20000, "max-retry-after": 1000.0, "may-cancel": true, "peers": false, "probes": false, "retry-after": true,
				"second-copies": true, "streams-per-conn": 1},
			"clients": M{"marks-retry": true},
			"contracts": []M{
				{"burst": 0.0, "cap": 0.0, "cap-slack": 0.0, "name": "plan-1", "price": 1.2, "reservation": 400.0, "shares": 1.0, "usual-rate": 400.0},
			},
			"domain-type": "stores",
			"extra": M{"changes-data": writes, "largest": 6, "metering": 0.0, "says-others": false, "slots-total": shards, "spare-worth": 0.1,
				"usual-units": 1.98, "within-share": 0.35, "young-limit": 39.0},
			"fleet-size": 1, "goal": M{"whole": 0.55, "worst-class": 0.1, "worst-tenant": 0.1, "worst-window": 0.25},
			"kinds": []string{"kind-1"}, "me": 0, "membership-mode": "push", "my-zone": "zone-1",
			"prices": M{"connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.0, "membership-mode": 0.0, "moves": 0.0, "origin": 0.0,
				"peer": 0.0, "probe": 0.0097, "waste": 0.03},
			"profiles": classes,
			"report":   M{"how": "silent", "names": []string{}},
			"rules": M{"answer-slack": 8.0, "ask-within": 10000.0, "cold": 17000.0, "cold-from": 0.24, "overload-for": 3000.0,
				"stop-sending-within": 250.0, "tip-multiple": 3.0},
			"tick": 2.0, "tier": 0, "tiers": []string{"tier-1"}, "weight-kind": "rough", "zones": []string{"zone-1"},
		},
	}
}
