package gather

import "bytes"

// setRow records the row's offset from the start of the stream's current record, because the buffer may move.
func (h *head) setRow(s *stream, row []byte) {
	h.rowOffset, h.rowLength = cap(s.buf)-s.start-cap(row), len(row)
}

func (m *Merge) row(i int) []byte {
	s, h := m.streams[i], &m.heads[i]
	return s.buf[s.start+h.rowOffset : s.start+h.rowOffset+h.rowLength]
}

// before is the order of heads: by key, then by part and position. Streams that ended come last.
func (m *Merge) before(a, b int32) bool {
	x, y := &m.heads[a], &m.heads[b]
	if x.prefix != y.prefix {
		return x.prefix < y.prefix
	}
	if m.fault != faultComparePrefixOnly {
		if c := bytes.Compare(x.key, y.key); c != 0 {
			return c < 0
		}
	}
	if m.fault == faultTiesByArrival { // injected fault: ties are ordered by the number of received bytes
		return m.streams[a].received > m.streams[b].received
	}
	if x.rank != y.rank {
		return x.rank < y.rank
	}
	return x.occurrence < y.occurrence
}

// The tree of winners (Knuth, volume 3, 5.4.1): leaf i is at len+i, and a node is the earlier of its two children. Unlike a
// tree of losers it can be updated at any leaf, as is needed when a part's data arrives.
func (m *Merge) buildTree() {
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

func (m *Merge) updateTree(leaf int) {
	for i := (len(m.heads) + leaf) / 2; i > 0; i /= 2 {
		m.tree[i] = m.earlier(m.tree[2*i], m.tree[2*i+1])
	}
}

func (m *Merge) winner() int { return int(m.tree[1]) } // with one stream tree[1] is its leaf
