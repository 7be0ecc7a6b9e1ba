package gather

import "bytes"

// place keeps where in the stream's bytes the row is, as they may move.
func (h *head) place(s *stream, row []byte) {
	h.at, h.n = cap(s.buf)-s.off-cap(row), len(row)
}

func (m *Merge) row(i int) []byte {
	s, h := m.streams[i], &m.heads[i]
	return s.buf[s.off+h.at : s.off+h.at+h.n]
}

// before is the order of heads: by key, then by part and position. What ended comes last.
func (m *Merge) before(a, b int32) bool {
	x, y := &m.heads[a], &m.heads[b]
	if x.prefix != y.prefix {
		return x.prefix < y.prefix
	}
	if m.fault != faultHash {
		if c := bytes.Compare(x.key, y.key); c != 0 {
			return c < 0
		}
	}
	if m.fault == faultRank { // a test's: ties by whoever has more bytes
		return m.streams[a].took > m.streams[b].took
	}
	if x.rank != y.rank {
		return x.rank < y.rank
	}
	return x.run < y.run
}

// The tree of winners (Knuth, volume 3, 5.4.1): leaf i is at len+i, a node is the earlier of its two. Unlike a tree of
// losers it takes a change at any leaf, which a part that arrives is.
func (m *Merge) plant() {
	n := len(m.heads)
	m.tree = make([]int32, 2*n)
	for i := range n {
		m.tree[n+i] = int32(i)
	}
	for i := n - 1; i > 0; i-- {
		m.tree[i] = m.earlier(m.tree[2*i], m.tree[2*i+1])
	}
}

func (m *Merge) earlier(a, b int32) int32 {
	if m.before(b, a) {
		return b
	}
	return a
}

func (m *Merge) grow(leaf int) {
	for i := (len(m.heads) + leaf) / 2; i > 0; i /= 2 {
		m.tree[i] = m.earlier(m.tree[2*i], m.tree[2*i+1])
	}
}

func (m *Merge) winner() int { return int(m.tree[1]) } // with one stream tree[1] is its leaf
