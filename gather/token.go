package gather

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
)

const tokenCheck = 16 // bytes

// token names the place after the last row, the rules and what of the offset is left.
func (m *Merge) token() string {
	at := m.last
	if !at.set {
		at = m.from
	}
	b := append([]byte{1}, m.r.hash[:]...)
	b = binary.AppendUvarint(b, uint64(m.offset))
	b = binary.AppendUvarint(b, uint64(m.given+m.consumed))
	if at.set {
		b = appendText(append(b, 1), string(at.key))
		b = appendText(b, at.part)
		b = binary.AppendUvarint(b, uint64(at.run))
	} else {
		b = append(b, 0)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, m.check(b)...))
}

func (m *Merge) check(b []byte) []byte {
	if len(m.tokens) == 0 {
		sum := sha256.Sum256(append([]byte("gather token"), b...))
		return sum[:tokenCheck]
	}
	mac := hmac.New(sha256.New, m.tokens)
	mac.Write(b)
	return mac.Sum(nil)[:tokenCheck]
}

func (m *Merge) resume(token string) error {
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < tokenCheck+1 {
		return &TokenBad{"is not base64, or cut"}
	}
	b, sum := b[:len(b)-tokenCheck], b[len(b)-tokenCheck:]
	if !hmac.Equal(sum, m.check(b)) {
		return &TokenBad{"its check is wrong: changed, or not made with this key"}
	}
	r := &reader{b: b}
	if v := r.bytes(1); r.bad || v[0] != 1 {
		return &TokenBad{"is of another version"}
	}
	if made := r.bytes(uint64(len(m.r.hash))); string(made) != string(m.r.hash[:]) {
		return &TokenRules{hex.EncodeToString(made), m.r.Hash()}
	}
	m.offset = int(r.num())
	m.given = int64(r.num())
	if set := r.bytes(1); !r.bad && set[0] == 1 {
		m.from = position{key: r.text(), part: string(r.text()), run: uint32(r.num()), set: true}
	}
	if r.bad || len(r.b) > 0 || m.offset > m.r.Truncate.Offset {
		return &TokenBad{"cannot be read"}
	}
	return nil
}
