package nodestats

import (
	"encoding/binary"
	"slices"
	"time"
)

// digestBuckets is the number of buckets into which an origin's cells are hashed in a digest.
const digestBuckets = 16

// originSummary is a digest's entry for one origin.
type originSummary struct {
	incarnation uint64
	buckets     [digestBuckets]uint32 // XOR of the hashes of each bucket's cells
}

func (o *origin) summary() originSummary {
	sum := originSummary{incarnation: o.incarnation}
	for _, c := range o.cells {
		sum.buckets[c.bucket] ^= uint32(c.hash)
	}
	return sum
}

func (sum *originSummary) append(b []byte, name string) []byte {
	b = binary.AppendUvarint(appendName(b, name), sum.incarnation)
	for _, v := range sum.buckets {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

func (d *decoder) summary() originSummary {
	sum := originSummary{incarnation: d.uint(maxSequence)}
	if b := d.take(4 * digestBuckets); b != nil {
		for i := range sum.buckets {
			sum.buckets[i] = binary.LittleEndian.Uint32(b[4*i:])
		}
	}
	return sum
}

// decodeDigest returns the sender and the entries of a digest.
func decodeDigest(message []byte) (sender string, origins map[string]originSummary, err error) {
	d, err := openMessage(message, kindDigest)
	if err != nil {
		return "", nil, err
	}
	sender, origins = d.name(), map[string]originSummary{}
	if sender == "" {
		d.fail("the sender has no name")
	}
	for len(d.rest) > 0 {
		name := d.name()
		sum := d.summary()
		if _, duplicate := origins[name]; duplicate || name == "" {
			d.fail("an origin is repeated or has no name")
		}
		origins[name] = sum
	}
	if d.problem != "" {
		return "", nil, &DecodeError{d.problem}
	}
	return sender, origins, nil
}

// DigestSender returns the name of the process that created a digest.
func DigestSender(digest []byte) (string, error) {
	sender, _, err := decodeDigest(digest)
	return sender, err
}

// Digest returns a message that summarizes the cells of each origin.
func (s *State) Digest(now time.Duration) []byte {
	s.publishChanges(now)
	b := appendName(beginMessage(kindDigest), s.self)
	for _, name := range s.originNames() {
		sum := s.origin(name).summary()
		b = sum.append(b, name)
	}
	return sealMessage(b)
}

// Diff returns the cells that the sender of a digest lacks or has in another version, together with all other cells of the
// same buckets. They are encoded as messages for Merge of at most MaxMessageBytes, with the newest cells of each origin
// first.
func (s *State) Diff(now time.Duration, digest []byte) ([][]byte, error) {
	_, theirOrigins, err := decodeDigest(digest)
	if err != nil {
		s.countRejected(err)
		return nil, err
	}
	s.publishChanges(now)
	var messages [][]byte
	for _, name := range s.originNames() {
		o := s.origin(name)
		theirSummary, known := theirOrigins[name]
		if known && theirSummary.incarnation > o.incarnation {
			continue
		}
		sendAll := !known || theirSummary.incarnation < o.incarnation
		ours := o.summary()
		var ids []cellID
		for id, c := range o.cells {
			if sendAll || ours.buckets[c.bucket] != theirSummary.buckets[c.bucket] {
				ids = append(ids, id)
			}
		}
		messages = append(messages, o.encodeCells(now, name, ids, s.settings.MaxMessageBytes)...)
		s.yield()
	}
	return messages, nil
}

// encodeCells writes cells of one origin into messages of at most maxBytes, the highest sequence first.
func (o *origin) encodeCells(now time.Duration, name string, ids []cellID, maxBytes int) [][]byte {
	slices.SortFunc(ids, func(a, b cellID) int { return -o.compareCells(a, b) })
	var messages [][]byte
	var message, entry []byte
	for _, id := range ids {
		c := o.cells[id]
		sent := wireCell{id: id, seq: c.seq, age: now - c.createdAt, body: c.body}
		entry = sent.append(entry[:0])
		if message != nil && len(message)+len(entry)+crcBytes > maxBytes {
			messages, message = append(messages, sealMessage(message)), nil
		}
		if message == nil {
			message = binary.AppendUvarint(appendName(beginMessage(kindCells), name), o.incarnation)
		}
		message = append(message, entry...)
	}
	if message != nil {
		messages = append(messages, sealMessage(message))
	}
	return messages
}

// MatchesDigest reports whether the sender of a digest has the same cells as this state, apart from ages. It ignores
// origins without cells.
func (s *State) MatchesDigest(now time.Duration, digest []byte) bool {
	_, theirOrigins, err := decodeDigest(digest)
	if err != nil {
		return false
	}
	s.publishChanges(now)
	var empty [digestBuckets]uint32
	for _, name := range s.originNames() {
		theirSummary, known := theirOrigins[name]
		delete(theirOrigins, name)
		ours := s.origin(name).summary()
		if ours.buckets != theirSummary.buckets || known && ours.buckets != empty && ours.incarnation != theirSummary.incarnation {
			return false
		}
	}
	for _, theirSummary := range theirOrigins {
		if theirSummary.buckets != empty {
			return false
		}
	}
	return true
}
