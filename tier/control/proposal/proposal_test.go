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

// fakePrimary is the primary in another process.
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

// backup is a process that does not lead.
func backup(t *testing.T, primary Caller) *Proposer {
	t.Helper()
	logger, _ := test.NewNullLogger()
	node, err := multigroup.Open(t.TempDir(), rpc.NewClients(nil), logrus.NewEntry(logger), true)
	if err != nil {
		t.Fatal(err)
	}
	return New(node, primary)
}

// A caller is told a refusal only if a commit gave it; all else is an error.
func TestWhatThePrimaryAnswersIsTold(t *testing.T) {
	for name, test := range map[string]struct {
		answer error
		code   codes.Code
		err    error
	}{
		"done":                {nil, codes.OK, nil},
		"refused by a commit": {codes.ConfigBase, codes.ConfigBase, nil},
		"not committed":       {codes.Unavailable, codes.OK, codes.Unavailable},
		"no clear answer":     {codes.Timeout, codes.OK, codes.Timeout},
		"an error of the net": {errors.New("broken"), codes.OK, codes.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			primary := &fakePrimary{body: []byte("body"), err: test.answer}
			proposer := backup(t, primary)
			result, err := proposer.Submit(t.Context(), state.ReadConfig{})
			if !errors.Is(err, test.err) || result.Code != test.code {
				t.Errorf("submitted: %+v, %v", result, err)
			}
			if primary.kind != controlclient.KindSubmit || string(primary.payload) != string(state.ReadConfig{}.Encode()) {
				t.Errorf("called with %d, %x", primary.kind, primary.payload)
			}
			result, err = proposer.OnPrimary(t.Context(), controlclient.KindDeregisterHost, []byte("h"), func() (state.Result, error) {
				t.Error("done here, where another process leads")
				return state.Result{}, nil
			})
			if !errors.Is(err, test.err) || result.Code != test.code {
				t.Errorf("on the primary: %+v, %v", result, err)
			}
		})
	}
}
