package proposal

import (
	"context"
	"errors"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// fakePrimary stands for the primary in another process. It records the last call.
type fakePrimary struct {
	body []byte
	err  error

	kind    rpc.Kind
	payload []byte
}

func (f *fakePrimary) Call(_ context.Context, kind rpc.Kind, payload []byte) ([]byte, error) {
	f.kind, f.payload = kind, payload
	return f.body, f.err
}

// newBackupProposer returns a proposer of a process that is not the primary.
func newBackupProposer(t *testing.T, primary Caller) *Proposer {
	t.Helper()
	logger, _ := test.NewNullLogger()
	node, err := multigroup.Open(t.TempDir(), rpc.NewClients(nil), logrus.NewEntry(logger), true)
	if err != nil {
		t.Fatal(err)
	}
	return New(node, primary)
}

// A caller gets a rejection only if a committed command returned it. Any other failure is an error.
func TestRejectionIsReturnedOnlyForCommittedCommand(t *testing.T) {
	for name, test := range map[string]struct {
		callErr error
		code    codes.Code
		err     error
	}{
		"done":                 {nil, codes.OK, nil},
		"rejected by a commit": {codes.ConfigBase, codes.ConfigBase, nil},
		"not committed":        {codes.Unavailable, codes.OK, codes.Unavailable},
		"no definite response": {codes.Timeout, codes.OK, codes.Timeout},
		"network error":        {errors.New("broken"), codes.OK, codes.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			primary := &fakePrimary{body: []byte("body"), err: test.callErr}
			proposer := newBackupProposer(t, primary)
			result, err := proposer.Submit(t.Context(), state.ReadConfig{})
			if !errors.Is(err, test.err) || result.Code != test.code {
				t.Errorf("Submit: %+v, %v", result, err)
			}
			if primary.kind != controlclient.KindSubmit || string(primary.payload) != string(state.ReadConfig{}.Encode()) {
				t.Errorf("called with %d, %x", primary.kind, primary.payload)
			}
			result, err = proposer.OnPrimary(t.Context(), controlclient.KindDeregisterHost, []byte("h"), func() (state.Result, error) {
				t.Error("executed locally on a process that is not the primary")
				return state.Result{}, nil
			})
			if !errors.Is(err, test.err) || result.Code != test.code {
				t.Errorf("OnPrimary: %+v, %v", result, err)
			}
		})
	}
}
