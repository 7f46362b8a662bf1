package main

import (
	"fmt"
	"io"
	"strconv"

	"otterseam/tier/codes"
)

// unknownCodeError is returned for a text that is not a result code.
type unknownCodeError struct{ text string }

// Error returns the text and where the codes are documented.
func (e *unknownCodeError) Error() string {
	return e.text + " is not a result code; docs/codes.md lists them"
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
