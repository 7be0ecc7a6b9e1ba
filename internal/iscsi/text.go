package iscsi

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// pair is one key=value of a login or text data segment; their order counts.
type pair struct{ key, value string }

const keyMost = 63 // RFC 7143, 6.1

// decodeText reads key=value pairs.
func decodeText(data []byte) ([]pair, error) {
	var out []pair
	for _, line := range bytes.Split(data, []byte{0}) {
		if len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok || key == "" || len(key) > keyMost {
			return nil, fmt.Errorf("text: %.40q is no key=value", line)
		}
		out = append(out, pair{key, value})
	}
	return out, nil
}

func encodeText(pairs []pair) []byte {
	var b []byte
	for _, p := range pairs {
		b = append(append(append(append(b, p.key...), '='), p.value...), 0)
	}
	return b
}

func find(pairs []pair, key string) (string, bool) {
	for _, p := range pairs {
		if p.key == key {
			return p.value, true
		}
	}
	return "", false
}

// params are a session's operational parameters (RFC 7143, 13), at their defaults first.
type params struct {
	headerDigest, dataDigest bool
	initialR2T               bool
	immediateData            bool
	theirMost                uint32 // the peer's MaxRecvDataSegmentLength
	maxBurst, firstBurst     uint32
	protocolLevel            int
}

func defaults() params {
	return params{initialR2T: true, immediateData: true, theirMost: 8192, maxBurst: 262144, firstBurst: 65536, protocolLevel: 1}
}

// ours is what this side offers or insists on.
const (
	ourSegment    = 64 << 10
	ourMaxBurst   = 256 << 10
	ourFirstBurst = 64 << 10
	ourLevel      = 2 // RFC 7144: a status qualifier tells when to come back
)

func yes(b bool) string {
	if b {
		return "Yes"
	}
	return "No"
}

// answer negotiates one key as the responder; no answer is due where the reply is empty.
func (p *params) answer(key, value string) (reply string, err error) {
	number := func(least, most uint64) uint32 {
		n, perr := strconv.ParseUint(value, 0, 32)
		if perr != nil || n < least || n > most {
			err = fmt.Errorf("%s: %.40q is out of range", key, value)
		}
		return uint32(n)
	}
	boolean := func() bool {
		if value != "Yes" && value != "No" {
			err = fmt.Errorf("%s: %.40q is neither Yes nor No", key, value)
		}
		return value == "Yes"
	}
	digestOf := func(on *bool) string {
		for _, v := range strings.Split(value, ",") {
			if v == "None" || v == "CRC32C" {
				*on = v == "CRC32C"
				return v
			}
		}
		return "Reject"
	}
	num := func(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
	switch key {
	case "HeaderDigest":
		return digestOf(&p.headerDigest), nil
	case "DataDigest":
		return digestOf(&p.dataDigest), nil
	case "MaxRecvDataSegmentLength": // declared by each side for itself
		p.theirMost = number(512, 1<<24-1)
		return "", err
	case "InitialR2T":
		p.initialR2T = boolean()
		return yes(p.initialR2T), err
	case "ImmediateData":
		p.immediateData = boolean()
		return yes(p.immediateData), err
	case "MaxBurstLength":
		p.maxBurst = min(number(512, 1<<24-1), ourMaxBurst)
		return num(p.maxBurst), err
	case "FirstBurstLength":
		p.firstBurst = min(number(512, 1<<24-1), ourFirstBurst, p.maxBurst)
		return num(p.firstBurst), err
	case "MaxConnections", "MaxOutstandingR2T":
		number(1, 65535)
		return "1", err
	case "DefaultTime2Wait":
		return num(number(0, 3600)), err
	case "DefaultTime2Retain", "ErrorRecoveryLevel":
		number(0, 3600)
		return "0", err
	case "DataPDUInOrder", "DataSequenceInOrder":
		boolean()
		return "Yes", err
	case "IFMarker", "OFMarker":
		return "No", nil
	case "IFMarkInt", "OFMarkInt":
		return "Irrelevant", nil
	case "TaskReporting":
		return "RFC3720", nil
	case "iSCSIProtocolLevel":
		p.protocolLevel = int(min(number(0, 31), ourLevel))
		return strconv.Itoa(p.protocolLevel), err
	case "AuthMethod":
		for _, v := range strings.Split(value, ",") {
			if v == "None" {
				return v, nil
			}
		}
		return "Reject", nil
	case "SessionType", "InitiatorName", "InitiatorAlias", "TargetName", "TargetAlias", "TargetAddress", "SendTargets":
		return "", nil
	}
	return "NotUnderstood", nil
}

// adopt takes the target's answers to an offer, as the initiator.
func (p *params) adopt(pairs []pair) error {
	for _, kv := range pairs {
		if kv.value == "Reject" || kv.value == "NotUnderstood" || kv.value == "Irrelevant" {
			continue
		}
		if _, err := p.answer(kv.key, kv.value); err != nil {
			return err
		}
	}
	return nil
}
