package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// keyMemory is how long a storage target drops a repeat: the 2.5 s of the brief.
const keyMemory = 2500 * time.Millisecond

// storage is a storage target with one logical unit. Its medium outlives a death of its process, its cache and its memory of keys
// do not. It drops a write that repeats a key.
type storage struct {
	address string
	record  *record
	// onExecuted is called after the execution of the n-th write, from 1, and before its answer. If it returns true the process
	// has died, and nothing is answered.
	onExecuted func(n int) (died bool)
	cached     bool // a write stays in the cache until SYNCHRONIZE CACHE, or is written through with force unit access

	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]bool
	medium map[uint64][]byte
	cache  map[uint64][]byte
	keys   map[string]time.Time
	writes []string // the data of the executed writes, in their order
	syncs  int      // SYNCHRONIZE CACHE commands received
	fuas   int      // writes received with force unit access
}

func newStorage(address string, r *record) *storage {
	return &storage{address: address, record: r, conns: map[net.Conn]bool{}, medium: map[uint64][]byte{}, cache: map[uint64][]byte{},
		keys: map[string]time.Time{}}
}

// start starts the process: it listens.
func (s *storage) start() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// die ends the process: its connections are reset, and new ones refused.
func (s *storage) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns, s.cache, s.keys = map[net.Conn]bool{}, map[uint64][]byte{}, map[string]time.Time{}
	s.record.printf("storage target: its process dies")
}

// session is one session of the storage target.
type session struct {
	conn             net.Conn
	statSN, expCmdSN uint32
}

func (x *session) send(p *pdu) error {
	p.put(24, x.statSN)
	x.statSN++
	p.put(28, x.expCmdSN)
	p.put(32, x.expCmdSN+31)
	return writePDU(x.conn, p)
}

func (s *storage) serve(c net.Conn) {
	defer c.Close()
	r, x := bufio.NewReader(c), &session{conn: c}
	for {
		p, err := readPDU(r)
		if err != nil {
			return
		}
		if p.bhs[0]&0x40 == 0 {
			x.expCmdSN = p.get(24) + 1
		}
		var answer *pdu
		switch p.op() {
		case opLoginReq:
			x.expCmdSN = p.get(24)
			answer = newPDU(opLoginResp, p.get(16))
			answer.bhs[1] = 0x80 | 1<<2 | 3
			copy(answer.bhs[8:16], p.bhs[8:16])
			answer.bhs[15] = 1
			answer.data = text("TargetPortalGroupTag=1", "HeaderDigest=None", "DataDigest=None", "InitialR2T=No", "ImmediateData=Yes",
				"MaxRecvDataSegmentLength=65536", "MaxBurstLength=262144", "FirstBurstLength=65536", "MaxConnections=1",
				"MaxOutstandingR2T=1", "ErrorRecoveryLevel=0", "DataPDUInOrder=Yes", "DataSequenceInOrder=Yes")
		case opNopOut:
			if p.get(16) == noTag {
				continue
			}
			answer = newPDU(opNopIn, p.get(16))
			answer.put(20, noTag)
		case opTaskReq:
			answer = newPDU(opTaskResp, p.get(16))
		case opLogoutReq:
			_ = x.send(newPDU(opLogoutResp, p.get(16)))
			return
		case opCommand:
			if answer = s.execute(x, p); answer == nil {
				return
			}
		default:
			return
		}
		if x.send(answer) != nil {
			return
		}
	}
}

// execute executes a command and returns its response, or nil if the process has died.
func (s *storage) execute(x *session, p *pdu) *pdu {
	answer := newPDU(opResponse, p.get(16))
	cdb := p.bhs[32:48]
	lba, blocks := be.Uint64(cdb[2:]), be.Uint32(cdb[10:])
	switch cdb[0] {
	case 0x8a: // WRITE(16)
		if s.write(lba, cdb[1]&fua != 0, p) {
			return nil
		}
	case 0x88: // READ(16)
		d := newPDU(opDataIn, p.get(16))
		d.data = s.read(lba, blocks)
		d.put(20, noTag)
		d.put(24, 0)
		d.put(28, x.expCmdSN)
		d.put(32, x.expCmdSN+31)
		if writePDU(x.conn, d) != nil {
			return nil
		}
		answer.put(36, 1)
	case 0x35, 0x91: // SYNCHRONIZE CACHE
		s.flush()
	default:
		answer.bhs[3] = statusCheckCondition
		answer.data = append([]byte{0, 18}, 0x70, 0, 5, 0, 0, 0, 0, 10, 0, 0, 0, 0, 0x20, 0, 0, 0, 0, 0)
	}
	return answer
}

// write executes a write, unless it repeats a key. It reports whether the process has died.
func (s *storage) write(lba uint64, throughCache bool, p *pdu) (died bool) {
	s.mu.Lock()
	if at, known := s.keys[p.key()]; known && p.key() != "" && time.Since(at) < keyMemory {
		s.mu.Unlock()
		s.record.printf("storage target: write of %q at block %d repeats the key %s, dropped", label(p.data), lba, p.key())
		return false
	}
	s.keys[p.key()] = time.Now()
	into := s.medium
	if s.cached && !throughCache {
		into = s.cache
	}
	into[lba] = bytes.Clone(p.data)
	if throughCache {
		s.fuas++
	}
	s.writes = append(s.writes, label(p.data))
	n := len(s.writes)
	s.mu.Unlock()
	s.record.printf("storage target: executed a write of %q at block %d, key %q, force unit access %v", label(p.data), lba, p.key(), throughCache)
	return s.onExecuted != nil && s.onExecuted(n)
}

func (s *storage) read(lba uint64, blocks uint32) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := make([]byte, int(blocks)*blockSize)
	if data, ok := s.cache[lba]; ok {
		copy(b, data)
	} else {
		copy(b, s.medium[lba])
	}
	return b
}

func (s *storage) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncs++
	for lba, data := range s.cache {
		s.medium[lba] = data
	}
	s.cache = map[uint64][]byte{}
	s.record.printf("storage target: SYNCHRONIZE CACHE, the cache is on the medium")
}

// executed returns how many executed writes had the data of this label.
func (s *storage) executed(name string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.writes {
		if w == name {
			n++
		}
	}
	return n
}

// block returns a block of data with a label.
func block(name string) []byte {
	b := make([]byte, blockSize)
	copy(b, name)
	return b
}

// label returns the label of a block.
func label(data []byte) string {
	return fmt.Sprintf("%s", bytes.TrimRight(data[:min(len(data), 64)], "\x00"))
}
