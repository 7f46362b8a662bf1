package election

import (
	"errors"
	"testing"

	"otterseam/tier/codes"
)

// Each typed error has the code that is sent on the wire and the text that operators see for it.
func TestErrorsHaveTheirCodesAndTexts(t *testing.T) {
	for _, test := range []struct {
		err  error
		want codes.Code
	}{
		{&NotLeaderError{Leader: "10.0.0.1:7401"}, codes.NotPrimary},
		{ErrLeaseExpired, codes.Unavailable},
	} {
		var code codes.Code
		if !errors.As(test.err, &code) || code != test.want || !errors.Is(test.err, test.want) {
			t.Errorf("%T has the code %v, not %v", test.err, code, test.want)
		}
		if test.err.Error() != test.want.Error() {
			t.Errorf("the text of %T is %q, not %q", test.err, test.err, test.want)
		}
	}
}

// A message that is truncated at any length is rejected.
func TestTruncatedMessagesAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		encoded []byte
		decode  func([]byte) error
	}{
		"prepare":           {prepareRequest{To: 1}.encode(), func(b []byte) error { _, err := decodePrepareRequest(b); return err }},
		"accept":            {acceptRequest{To: 1}.encode(), func(b []byte) error { _, err := decodeAcceptRequest(b); return err }},
		"pre-vote":          {preVoteRequest{To: 1}.encode(), func(b []byte) error { _, err := decodePreVoteRequest(b); return err }},
		"pre-vote response": {preVoteResponse{Supported: true}.encode(), func(b []byte) error { _, err := decodePreVoteResponse(b); return err }},
	} {
		if err := test.decode(test.encoded); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for length := range test.encoded {
			if test.decode(test.encoded[:length]) == nil {
				t.Errorf("%s truncated to %d bytes was accepted", name, length)
			}
		}
	}
}
