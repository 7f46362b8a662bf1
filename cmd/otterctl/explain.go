package main

import (
	"fmt"
	"io"
	"strconv"

	"otterseam/tier/codes"
)

// unknownCodeError is a text that is no result code.
type unknownCodeError struct{ text string }

// Error says where the codes are listed.
func (e *unknownCodeError) Error() string {
	return e.text + " is no result code; docs/codes.md lists them"
}

// run prints the meaning of a result code.
func (c *explainCommand) run(out io.Writer) error {
	number, err := strconv.ParseUint(c.Code, 10, 16)
	if err != nil {
		return &unknownCodeError{text: c.Code}
	}
	for _, row := range codes.Table {
		if row.Code == codes.Code(number) {
			fmt.Fprintf(out, "%d %s: %s\n", row.Code, row.Name, row.Meaning)
			return nil
		}
	}
	return &unknownCodeError{text: c.Code}
}
