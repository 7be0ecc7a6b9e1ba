package core

import "wheatsaddle/internal/memory"

// tableEntryBytes is the memory of an entry of the decision module's tables whose keys clients choose: the entry, its key and its
// place in the map.
const tableEntryBytes = 320

// accountTables adjusts the account to the tables of the decision module. Their number of entries is bounded, so they are never denied.
func (c *Core) accountTables() {
	size := int64(c.scheduler.TableEntries()) * tableEntryBytes
	if size > c.tableBytes {
		c.options.Memory.Acquire(memory.Table, size-c.tableBytes)
	} else {
		c.options.Memory.Release(memory.Table, c.tableBytes-size)
	}
	c.tableBytes = size
}
