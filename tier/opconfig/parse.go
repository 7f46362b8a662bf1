package opconfig

import (
	"bytes"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
)

var _ easyjson.Unmarshaler = (*Config)(nil)

// Parse decodes and validates a configuration. The error is a ValidationError.
func Parse(body []byte) (*Config, error) {
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, &ValidationError{Problem: "the body is no JSON object"}
	}
	config := &Config{}
	lexer := jlexer.Lexer{Data: body}
	config.UnmarshalEasyJSON(&lexer)
	lexer.Consumed()
	if err := lexer.Error(); err != nil {
		return nil, &ValidationError{Problem: "the JSON cannot be read whole: " + err.Error(), Cause: err}
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return config, nil
}
