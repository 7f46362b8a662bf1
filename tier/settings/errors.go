package settings

import (
	"errors"
)

// ErrNoFile is returned if the environment variable FileVariable is not set.
var ErrNoFile = errors.New(FileVariable + " is not set; it must contain the path of the settings file")

// FieldError is returned if a field of a settings file is missing or invalid.
type FieldError struct {
	Key     string // key of the field in the file
	Problem string // description of the problem; the error text has it after the key
}

// Error returns the key of the field and the problem.
func (e *FieldError) Error() string { return "settings: " + e.Key + " " + e.Problem }
