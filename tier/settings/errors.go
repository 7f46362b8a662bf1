package settings

import (
	"errors"
)

// ErrNoFile is returned where the environment does not name a settings file.
var ErrNoFile = errors.New(FileVariable + " is not set; it has to hold the path of the settings file")

// FieldError tells which field of a settings file is missing or wrong.
type FieldError struct {
	Key     string // as in the file
	Problem string // what is wrong with it, to be read behind the key
}

// Error names the field and the problem.
func (e *FieldError) Error() string { return "settings: " + e.Key + " " + e.Problem }
