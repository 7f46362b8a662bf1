package codes

import (
	"encoding/binary"
	"slices"
	"testing"

	"otterseam/tier/internal/recorded"
)

// addedCodes are the codes that are newer than the first recording. They have a recording of their own.
var addedCodes = []Code{StoreFull, Overloaded}

// The numbers of the codes and their names in logs and responses must not change.
func TestRecordedTable(t *testing.T) {
	isAdded := func(row Row) bool { return slices.Contains(addedCodes, row.Code) }
	recorded.Check(t, "table", encodeTable(slices.DeleteFunc(slices.Clone(Table), func(row Row) bool { return isAdded(row) || row.Code == ResponseExcess })))
	recorded.Check(t, "table-added", encodeTable(slices.DeleteFunc(slices.Clone(Table), func(row Row) bool { return !isAdded(row) })))
	recorded.Check(t, "table-excess", encodeTable(slices.DeleteFunc(slices.Clone(Table), func(row Row) bool { return row.Code != ResponseExcess })))
}

func encodeTable(rows []Row) []byte {
	var table []byte
	for _, row := range rows {
		table = binary.BigEndian.AppendUint16(table, uint16(row.Code))
		table = append(table, row.Name...)
		table = append(table, '\n')
		table = append(table, row.Code.Error()...)
		table = append(table, '\n')
	}
	return table
}
