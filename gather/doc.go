// Package gather merges the parts of a read that spans shards into one result, by rules that are data. The parts
// come late, twice, cut or never, in pieces of any cutting. The package has no I/O, clock, goroutine or lock: bytes
// of parts go in (Add, End, Drop), rows come out as soon as no part can come before them (Next), Want says what the
// parts may send, and Result says what the client may be told.
//
// Units: bytes for every size, rows for every count, positions from 0. Every error is a type with a stable code and
// an advice (Code, Advice). A Rules may be shared; a Merge belongs to one goroutine. docs/gather.md has the rules
// with small tables of before and after.
//
// Invariants, each held by TestWorld against collect, sort and cut, and each with a line in TestTheWorldFindsEachLoss or
// TestScripts whose loss is found:
//
//   - The order of arrival changes nothing: neither the rows, nor their order, nor what the result names. (Where copies
//     of one part differ, the rows are one copy's as far as they were compared, and the part is named.)
//   - A part that comes twice (a retry, a second copy, a peer that took over) changes nothing.
//   - Merging merges over any tree is one flat merge: AppendPartial tells all that a root decides by.
//   - A cut top k is the whole one cut: a part that stopped at its limit holds back what may come after it.
//   - Equal keys are compared by themselves, to their ends; contents of rows as well.
//   - A part that is cut is never passed for whole; nor is one that is unsorted, torn or unreadable.
//   - The result names every part that is missing, cut or in conflict as far as the result goes, and is Whole only
//     when none is.
//   - What waits stays within memory.bytes and memory.rows; what does not fit is a typed error or the rules' truncation.
//
// The order is total: by the keys, then by the part's ID, then by the position among the part's rows of that key. A
// part must be sorted by the keys; it is held against them row by row. A row goes out only when every part not given
// up has been read past it and, of those given up, no more than complete allows ended before it.
//
// Copies of one part are one sequence of bytes: what a second copy repeats is compared by a running 64-bit xxHash at the
// places that the first had reached, and its rows count only from there on. Rows and keys are compared as bytes.
//
// Sources: the tree of winners is Knuth, The Art of Computer Programming, volume 3, 5.4.1; keys that sort as bytes follow
// the tuple layer of FoundationDB in form; text is UTS 10 by golang.org/x/text/collate; times are RFC 3339, JSON RFC 8259;
// the bound that ends a top k early is that of Fagin, Lotem and Naor, "Optimal aggregation algorithms for middleware"
// (2003).
//
// It does not: send, time out, choose replicas or hedge (internal/scattergather will), sort parts that are not sorted,
// or bring together rows whose keys are not neighbours in the order.
package gather
