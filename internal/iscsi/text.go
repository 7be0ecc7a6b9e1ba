package iscsi

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// pair is one key=value of the data segment of a login or text PDU. The order of pairs matters.
type pair struct{ key, value string }

const maxKeyLength = 63 // RFC 7143, 6.1

// decodeText decodes key=value pairs.
func decodeText(data []byte) ([]pair, error) {
	var out []pair
	for _, line := range bytes.Split(data, []byte{0}) {
		if len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok || key == "" || len(key) > maxKeyLength {
			return nil, fmt.Errorf("text: %.40q is not key=value", line)
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

func findValue(pairs []pair, key string) (string, bool) {
	for _, p := range pairs {
		if p.key == key {
			return p.value, true
		}
	}
	return "", false
}

// params are a session's operational parameters (RFC 7143, 13).
type params struct {
	headerDigest, dataDigest bool
	initialR2T               bool
	immediateData            bool
	peerMaxSegment           uint32 // the peer's MaxRecvDataSegmentLength
	maxBurst, firstBurst     uint32
	protocolLevel            int
}

func defaultParams() params {
	return params{initialR2T: true, immediateData: true, peerMaxSegment: 8192, maxBurst: 262144, firstBurst: 65536, protocolLevel: 1}
}

// The largest values that this side offers or accepts.
const (
	ownMaxSegment    = 64 << 10
	ownMaxBurst      = 256 << 10
	ownFirstBurst    = 64 << 10
	ownProtocolLevel = 2 // RFC 7144, with which a status qualifier carries the time after which to retry
)

func yesOrNo(b bool) string {
	if b {
		return "Yes"
	}
	return "No"
}

// respond negotiates one key as the responder. If the reply is empty, the key needs no response.
func (p *params) respond(key, value string) (reply string, err error) {
	number := func(minimum, maximum uint64) uint32 {
		n, perr := strconv.ParseUint(value, 0, 32)
		if perr != nil || n < minimum || n > maximum {
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
	chooseDigest := func(on *bool) string {
		for _, v := range strings.Split(value, ",") {
			if v == "None" || v == "CRC32C" {
				*on = v == "CRC32C"
				return v
			}
		}
		return "Reject"
	}
	format := func(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
	switch key {
	case "HeaderDigest":
		return chooseDigest(&p.headerDigest), nil
	case "DataDigest":
		return chooseDigest(&p.dataDigest), nil
	case "MaxRecvDataSegmentLength": // declared by each side for itself
		p.peerMaxSegment = number(512, 1<<24-1)
		return "", err
	case "InitialR2T":
		p.initialR2T = boolean()
		return yesOrNo(p.initialR2T), err
	case "ImmediateData":
		p.immediateData = boolean()
		return yesOrNo(p.immediateData), err
	case "MaxBurstLength":
		p.maxBurst = min(number(512, 1<<24-1), ownMaxBurst)
		return format(p.maxBurst), err
	case "FirstBurstLength":
		p.firstBurst = min(number(512, 1<<24-1), ownFirstBurst, p.maxBurst)
		return format(p.firstBurst), err
	case "MaxConnections", "MaxOutstandingR2T":
		number(1, 65535)
		return "1", err
	case "DefaultTime2Wait":
		return format(number(0, 3600)), err
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
		p.protocolLevel = int(min(number(0, 31), ownProtocolLevel))
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

// applyResponse applies the target's responses to the offered keys, on the initiator's side.
func (p *params) applyResponse(pairs []pair) error {
	for _, kv := range pairs {
		if kv.value == "Reject" || kv.value == "NotUnderstood" || kv.value == "Irrelevant" {
			continue
		}
		if _, err := p.respond(kv.key, kv.value); err != nil {
			return err
		}
	}
	return nil
}
