package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
)

// Variable names the environment variable that holds the file's path. Without it nothing is enabled.
const Variable = "EDGE_OPERATOR"

// Bounds and default of Membership.MessageShare.
const (
	minMessageShare     = 0.01
	maxMessageShare     = 0.5
	defaultMessageShare = 0.1
)

// Config is what the file holds.
type Config struct {
	Membership Membership `json:"membership"`
	Overload   Overload   `json:"overload"`
	QuotaStore QuotaStore `json:"copies"`
}

// Membership has API gateways find out which of them are there.
type Membership struct {
	Enabled bool `json:"on"`
	// MessageShare is the part of the messages that a gateway takes in which membership may use in quiet times.
	MessageShare float64 `json:"mail"`
}

// Overload bounds what all API gateways do together while hosts don't answer.
type Overload struct {
	Enabled bool `json:"on"`
}

// QuotaStore has replicas of the quota store hold state of the gateways.
type QuotaStore struct {
	Replicas []string `json:"keepers"` // addresses at which they hear gateways; none: nothing is held elsewhere
	Counters bool     `json:"counts"`  // counters and unreported usage, in place of the counter service
	Markers  bool     `json:"marks"`   // before a delivery that must not run twice, its marker
	Metering bool     `json:"use"`     // what customers have used, until it is billed
}

// used says whether the quota store is to hold anything.
func (q *QuotaStore) used() bool { return q.Counters || q.Markers || q.Metering }

// errQuotaStore is what is wrong with replicas without anything to hold, and the other way round.
var errQuotaStore = errors.New("copies wants keepers, and something for them to hold: counts, marks or use")

// InvalidError says what in the file is not valid.
type InvalidError struct {
	Path string
	Err  error
}

func (e *InvalidError) Error() string { return fmt.Sprintf("operator's file %s: %v", e.Path, e.Err) }

// Unwrap returns what was wrong.
func (e *InvalidError) Unwrap() error { return e.Err }

// MembershipShare is the part of the messages that membership may use; 0: it is disabled.
func (c *Config) MembershipShare() float64 {
	if !c.Membership.Enabled {
		return 0
	}
	return c.Membership.MessageShare
}

// Read reads the file that the environment names. The error is an InvalidError, or wraps what reading it met.
func Read() (Config, error) {
	config := Config{Membership: Membership{MessageShare: defaultMessageShare}}
	path := os.Getenv(Variable)
	if path == "" {
		return config, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("operator's file: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields() // a key that is misspelt would be a wish that is silently not followed
	if err := decoder.Decode(&config); err != nil {
		return config, &InvalidError{path, err}
	}
	if err := config.validate(); err != nil {
		return config, &InvalidError{path, err}
	}
	return config, nil
}

func (c *Config) validate() error {
	for _, address := range c.QuotaStore.Replicas {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("copies.keepers: %w", err)
		}
	}
	if c.QuotaStore.used() != (len(c.QuotaStore.Replicas) > 0) {
		return errQuotaStore
	}
	if share := c.Membership.MessageShare; share < minMessageShare || share > maxMessageShare {
		return fmt.Errorf("membership.mail is %g; a part from %g to %g is wanted", share, minMessageShare, maxMessageShare)
	}
	return nil
}
