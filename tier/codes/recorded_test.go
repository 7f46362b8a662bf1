package codes

import (
	"encoding/binary"
	"testing"

	"otterseam/tier/internal/recorded"
)

// The numbers of the codes and their names in logs and responses must not change.
func TestRecordedTable(t *testing.T) {
	var table []byte
	for _, row := range Table {
		table = binary.BigEndian.AppendUint16(table, uint16(row.Code))
		table = append(table, row.Name...)
		table = append(table, '\n')
		table = append(table, row.Code.Error()...)
		table = append(table, '\n')
	}
	recorded.Check(t, "table", table)
}
