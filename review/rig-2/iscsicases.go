package main

import (
	"fmt"
	"time"
)

const targetName = "iqn.2026-12.example:cards"

// storageTargets is the number of storage targets, so that one that dies is 20% of them.
const storageTargets = 5

// settings returns the settings of a small deployment, with the classes of the brief under neutral names. scope is the key-scope of the class record.
func settings(scope string) map[string]any {
	class := func(name, repeat string, goal, deadline, worth float64) map[string]any {
		c := map[string]any{"name": name, "repeat": repeat, "goal-time": goal, "deadline": deadline, "worth": worth, "late-worth": 0.15}
		if repeat == "keyed" {
			c["key-scope"], c["memory-span"] = scope, 2500
		}
		return c
	}
	return map[string]any{
		"ceilings": map[string]any{"max-attempts": 4, "max-retry-after": 1000, "may-cancel": true, "retry-after": true, "connect-timeout": 250},
		"contracts": []any{
			map[string]any{"name": "plan-1", "price": 1.2, "reservation": 1000, "shares": 1, "usual-rate": 1000}},
		"extra":      map[string]any{"largest": 6, "slots-total": storageTargets, "usual-units": 2, "young-limit": 39},
		"fleet-size": 1, "me": 0, "membership-mode": "push",
		"profiles": []any{class("read", "safe", 250, 1500, 3), class("record", "keyed", 300, 1500, 2), class("bulk", "safe", 1200, 4000, 1)},
		"rules":    map[string]any{"cold": 17000, "cold-from": 0.24, "overload-for": 3000, "stop-sending-within": 250, "tip-multiple": 3, "ask-within": 10000},
	}
}

// startFront starts a scheduler with the iSCSI front before the storage target s and four others, and logs an initiator in.
func (r *rig) startFront(scope string, dropsRepeats bool, s *storage) (*initiator, error) {
	listen, err1 := freeAddress()
	front, err2 := freeAddress()
	discovery, err3 := r.startDiscovery(nil)
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return nil, err
		}
	}
	rules := []any{map[string]any{"command": "read", "class": "read"}, map[string]any{"command": "write", "class": "record"}}
	var targets, luns []any
	for group := range storageTargets {
		target := s
		if group > 0 {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			target = newStorage(address, r.record)
			if err := target.start(); err != nil {
				return nil, err
			}
		}
		name := fmt.Sprintf("archive-%d", group)
		targets = append(targets, map[string]any{"name": name, "address": target.address, "target": "iqn.2026-12.example:" + name, "group": group})
		luns = append(luns, map[string]any{"lun": group, "storage_lun": 0, "group": group, "volume": fmt.Sprintf("%016x", 0xa0000+group),
			"plan": "plan-1", "block_size": blockSize, "blocks": 4096, "unit_bytes": 8192, "hosts": 1, "rules": rules})
	}
	file, err := r.writeJSON("iscsi.json", map[string]any{"listen": front, "drops_repeats": dropsRepeats, "storage": targets,
		"targets": []any{map[string]any{"name": targetName, "luns": luns}}})
	if err != nil {
		return nil, err
	}
	if _, err := r.startDaemon(config{name: "n1", listen: listen, discovery: discovery, settings: settings(scope)}, "--iscsi", file); err != nil {
		return nil, err
	}
	return login(front, targetName)
}

// playBusy has a storage target die after it executed a write and before it answered, for 6 s. The initiator repeats a command after
// BUSY or TASK SET FULL, which say that it did not run, and after nothing else. No write may be executed twice.
func playBusy(r *rig) (broken bool, err error) {
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	s := newStorage(address, r.record)
	if r.trouble {
		s.onExecuted = func(n int) bool {
			if n != 3 {
				return false
			}
			s.die()
			time.AfterFunc(6*time.Second, func() {
				r.record.printf("storage target: its process is started again")
				_ = s.start() // without it the write is not executed again, and the rule holds
			})
			return true
		}
	}
	if err := s.start(); err != nil {
		return false, err
	}
	i, err := r.startFront("all", true, s)
	if err != nil {
		return false, err
	}
	defer i.conn.Close()
	for k := range 5 {
		name := fmt.Sprintf("record %d", k)
		for {
			r.record.printf("initiator: WRITE of %q at block %d", name, k)
			a, err := i.command(cdb10(write10, 0, uint32(k), 1), block(name), 0, 10*time.Second)
			if err != nil {
				return false, fmt.Errorf("the session ended: %w", err)
			}
			r.record.printf("initiator: %q is answered with %v", name, a)
			if a.status != statusBusy && a.status != statusTaskSetFull || time.Since(r.record.start) > 60*time.Second {
				break
			}
			time.Sleep(time.Second)
		}
	}
	for k := range 5 {
		name := fmt.Sprintf("record %d", k)
		n := s.executed(name)
		r.record.printf("%q was executed %d times", name, n)
		broken = broken || n > 1
	}
	return broken, nil
}

// playFlush writes a block, forces it to the medium and has the storage target die and return. A write that was forced to the medium
// may not be lost.
func playFlush(r *rig) (broken bool, err error) {
	address, err := freeAddress()
	if err != nil {
		return false, err
	}
	s := newStorage(address, r.record)
	s.cached = true
	if err := s.start(); err != nil {
		return false, err
	}
	i, err := r.startFront("cell", false, s)
	if err != nil {
		return false, err
	}
	defer i.conn.Close()
	for k, flags := range []byte{0, fua} {
		name := fmt.Sprintf("record %d", k)
		r.record.printf("initiator: WRITE of %q at block %d, force unit access %v", name, k, flags == fua)
		a, err := i.command(cdb10(write10, flags, uint32(k), 1), block(name), 0, 10*time.Second)
		if err != nil || a.status != statusGood {
			return false, fmt.Errorf("write: %v, %w", a, err)
		}
		r.record.printf("initiator: %q is answered with %v", name, a)
		if flags == fua {
			continue
		}
		a, err = i.command(cdb10(syncCache10, 0, 0, 0), nil, 0, 10*time.Second)
		if err != nil || a.status != statusGood {
			return false, fmt.Errorf("synchronize cache: %v, %w", a, err)
		}
		r.record.printf("initiator: SYNCHRONIZE CACHE is answered with %v", a)
	}
	if r.trouble {
		s.die()
		time.Sleep(6 * time.Second)
		if err := s.start(); err != nil {
			return false, err
		}
		r.record.printf("storage target: its process is started again")
	}
	for k := range 2 {
		name, got := fmt.Sprintf("record %d", k), ""
		err := waitFor(15*time.Second, func() error {
			a, err := i.command(cdb10(read10, 0, uint32(k), 1), nil, blockSize, 10*time.Second)
			if err == nil && a.status != statusGood {
				time.Sleep(time.Second)
				return fmt.Errorf("read: %v", a)
			}
			got = label(a.data)
			return err
		})
		if err != nil {
			return false, err
		}
		r.record.printf("initiator: READ of block %d gives %q, and %q was written there and forced to the medium", k, got, name)
		broken = broken || got != name
	}
	return broken, nil
}
