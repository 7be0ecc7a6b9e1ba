// Package gather merges the parts of a read that spans shards into one result, by rules that are data. The parts
// may arrive late, repeatedly, truncated or never, in pieces of any size. The package has no I/O, clock, goroutine or
// lock: bytes of parts are passed in (Add, End, Drop), Next returns rows as soon as no part can precede them, Want
// returns what the parts may send, and Result is the result for the client.
//
// Units: bytes for every size, rows for every count, positions from 0. Every error is a type with a stable code and
// advice (Code, Advice). A Rules may be shared; a Merge belongs to one goroutine. docs/gather.md describes the rules
// with small tables of input and output.
//
// Invariants. TestMergeMatchesReference checks each against a reference that collects, sorts and truncates the rows.
// For each, a fault that is injected into the code is found by TestReferenceFindsInjectedFaults or TestMergeCases:
//
//   - The order of arrival changes neither the rows, nor their order, nor the parts that the result names. (Where copies
//     of one part differ, the rows are those of one copy up to where the copies were compared, and the part is named.)
//   - A part that arrives twice (a retry, a second copy, a peer that took over) changes nothing.
//   - Merging partial results over any tree gives the flat merge: AppendPartial encodes all that a root needs to decide.
//   - A truncated top k is the prefix of the whole result: a part that stopped at its limit holds back the rows that may
//     come after it.
//   - Keys are equal only if all their bytes are, and so are the contents of rows.
//   - A truncated part is never treated as complete, nor is one that is unsorted, unreadable or ends within a record.
//   - The result names every part that is missing, truncated or in conflict as far as the result goes, and is Whole only
//     when there is none.
//   - Buffered data stays within memory.bytes and memory.rows. Data that does not fit is a typed error or the rules'
//     truncation.
//
// The order is total: by the keys, then by the part's ID, then by the position among the part's rows of that key. A
// part must be sorted by the keys, which is checked row by row. A row is returned only when every part that was not
// dropped has been read past it and, of the dropped parts, no more than complete allows ended before it.
//
// Copies of one part are one sequence of bytes. What a further copy repeats is compared by a running 64-bit xxHash at
// the offsets that the first copy had reached, and only its bytes beyond them are new. Rows and keys are compared as bytes.
//
// Sources: the tree of winners is Knuth, The Art of Computer Programming, volume 3, 5.4.1. Keys that sort as bytes have
// the form of the tuple layer of FoundationDB. Text is collated by UTS 10 (golang.org/x/text/collate), times are RFC 3339,
// and JSON is RFC 8259. The bound that ends a top k early is that of Fagin, Lotem and Naor, "Optimal aggregation
// algorithms for middleware" (2003).
//
// The package does not send requests, time out, choose replicas or hedge (see internal/scattergather), sort unsorted
// parts, or combine rows whose keys are not neighbours in the order.
package gather
