package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
)

// EnvVariable is the environment variable with the path of the file. If it is empty, no feature is enabled.
const EnvVariable = "EDGE_OPERATOR"

// Bounds and default of Membership.MessageShare.
const (
	minMessageShare     = 0.01
	maxMessageShare     = 0.5
	defaultMessageShare = 0.1
)

// Config is the content of the file.
type Config struct {
	Membership Membership `json:"membership"`
	Overload   Overload   `json:"overload"`
	QuotaStore QuotaStore `json:"copies"`
}

// Membership configures failure detection among API gateways.
type Membership struct {
	Enabled bool `json:"on"`
	// MessageShare is the fraction of a gateway's incoming message rate that membership may use while nothing fails.
	MessageShare float64 `json:"mail"`
}

// Overload configures the limit on the combined load that all API gateways cause while hosts don't respond.
type Overload struct {
	Enabled bool `json:"on"`
}

// QuotaStore configures which state of the gateways the replicas of the quota store hold.
type QuotaStore struct {
	Replicas []string `json:"keepers"` // addresses for gateway connections; if empty, the quota store is not used
	Counters bool     `json:"counts"`  // store counters and unreported usage, in place of the counter service
	Markers  bool     `json:"marks"`   // store a marker before each delivery that must not run twice
	Metering bool     `json:"use"`     // store customers' usage until it is billed
}

// enabled reports whether the quota store holds any state.
func (q *QuotaStore) enabled() bool { return q.Counters || q.Markers || q.Metering }

// errQuotaStoreIncomplete is the error for replicas without any state to hold, or state without replicas.
var errQuotaStoreIncomplete = errors.New("copies requires both keepers and at least one of counts, marks and use")

// InvalidError reports an invalid file.
type InvalidError struct {
	Path string
	Err  error
}

func (e *InvalidError) Error() string { return fmt.Sprintf("operator's file %s: %v", e.Path, e.Err) }

// Unwrap returns the underlying error.
func (e *InvalidError) Unwrap() error { return e.Err }

// MembershipShare returns the fraction of the message rate that membership may use, or 0 if membership is disabled.
func (c *Config) MembershipShare() float64 {
	if !c.Membership.Enabled {
		return 0
	}
	return c.Membership.MessageShare
}

// Read reads the file that the environment variable names. The error is an *InvalidError, or wraps the error of reading the file.
func Read() (Config, error) {
	config := Config{Membership: Membership{MessageShare: defaultMessageShare}}
	path := os.Getenv(EnvVariable)
	if path == "" {
		return config, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("operator's file: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields() // otherwise a misspelt key would be ignored silently
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
	if c.QuotaStore.enabled() != (len(c.QuotaStore.Replicas) > 0) {
		return errQuotaStoreIncomplete
	}
	if share := c.Membership.MessageShare; share < minMessageShare || share > maxMessageShare {
		return fmt.Errorf("membership.mail is %g, but must be from %g to %g", share, minMessageShare, maxMessageShare)
	}
	return nil
}
