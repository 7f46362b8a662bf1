package scenario

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line of each key of a TOML text by the path of the key. The tables of an array are numbered from 0.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	tablesSeen := map[string]int{}
	table := ""
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(text, expression)
		switch expression.Kind {
		case unstable.Table:
			table = key
			lines[key] = line
		case unstable.ArrayTable:
			table = indexedKey(key, tablesSeen[key])
			tablesSeen[key]++
			lines[table] = line
			if lines[key] == 0 {
				lines[key] = line
			}
		case unstable.KeyValue:
			lines[joinKey(table, key)] = line
		}
	}
	return lines
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(text []byte, expression *unstable.Node) (key string, line int) {
	for parts := expression.Key(); parts.Next(); {
		node := parts.Node()
		if line == 0 {
			line = 1 + bytes.Count(text[:node.Raw.Offset], []byte("\n"))
		}
		key = joinKey(key, string(node.Data))
	}
	return key, line
}

// joinKey returns the path of a key in a table. The table "" is the root of the file.
func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// indexedKey returns the path of one table of an array.
func indexedKey(key string, index int) string { return fmt.Sprintf("%s[%d]", key, index) }
