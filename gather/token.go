package gather

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
)

const tokenChecksumBytes = 16

// token encodes the position after the last row, the rules and the remaining offset.
func (m *Merge) token() string {
	at := m.lastCounted
	if !at.set {
		at = m.resumeAfter
	}
	b := append([]byte{1}, m.rules.hash[:]...)
	b = binary.AppendUvarint(b, uint64(m.offset))
	b = binary.AppendUvarint(b, uint64(m.previousRows+m.consumed))
	if at.set {
		b = appendText(append(b, 1), string(at.key))
		b = appendText(b, at.part)
		b = binary.AppendUvarint(b, uint64(at.occurrence))
	} else {
		b = append(b, 0)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, m.tokenChecksum(b)...))
}

func (m *Merge) tokenChecksum(b []byte) []byte {
	if len(m.tokenKey) == 0 {
		sum := sha256.Sum256(append([]byte("gather token"), b...))
		return sum[:tokenChecksumBytes]
	}
	mac := hmac.New(sha256.New, m.tokenKey)
	mac.Write(b)
	return mac.Sum(nil)[:tokenChecksumBytes]
}

func (m *Merge) resume(token string) error {
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < tokenChecksumBytes+1 {
		return &TokenBad{"is not base64, or cut"}
	}
	b, sum := b[:len(b)-tokenChecksumBytes], b[len(b)-tokenChecksumBytes:]
	if !hmac.Equal(sum, m.tokenChecksum(b)) {
		return &TokenBad{"its check is wrong: changed, or not made with this key"}
	}
	r := &byteReader{b: b}
	if v := r.bytes(1); r.malformed || v[0] != 1 {
		return &TokenBad{"is of another version"}
	}
	if made := r.bytes(uint64(len(m.rules.hash))); string(made) != string(m.rules.hash[:]) {
		return &TokenRules{hex.EncodeToString(made), m.rules.Hash()}
	}
	m.offset = int(r.uvarint())
	m.previousRows = int64(r.uvarint())
	if set := r.bytes(1); !r.malformed && set[0] == 1 {
		m.resumeAfter = position{key: r.text(), part: string(r.text()), occurrence: uint32(r.uvarint()), set: true}
	}
	if r.malformed || len(r.b) > 0 || m.offset > m.rules.Truncate.Offset {
		return &TokenBad{"cannot be read"}
	}
	return nil
}
