package lease

import (
	"errors"
	"testing"

	"otterseam/tier/codes"
)

func TestEveryResponseKindHasABasis(t *testing.T) {
	for kind := ConfigChange; kind <= SessionEnd; kind++ {
		if _, found := bases[kind]; !found {
			t.Errorf("response kind %d has no basis", kind)
		}
	}
}

func TestStatusRequiresLease(t *testing.T) {
	const now = 10_000
	fresh, old := int64(now-TTL+1), int64(now-TTL)
	for name, step := range map[string]struct {
		status  Status
		decide  error
		forward error
		serve   bool
	}{
		"primary":                 {Status{Primary, true, fresh}, nil, nil, true},
		"primary, lease expired":  {Status{Primary, true, old}, codes.Unavailable, codes.Unavailable, false},
		"primary, never answered": {Status{Primary, true, 0}, codes.Unavailable, codes.Unavailable, false},
		"primary, not ready":      {Status{Primary, false, fresh}, codes.NotPrimary, nil, false},
		"backup":                  {Status{Backup, false, fresh}, codes.NotPrimary, nil, true},
		"backup, lease expired":   {Status{Backup, false, old}, codes.NotPrimary, codes.Unavailable, false},
		"outsider":                {Status{Outsider, false, fresh}, codes.NotPrimary, nil, false},
		"outsider, lease expired": {Status{Outsider, false, old}, codes.NotPrimary, codes.Unavailable, false},
	} {
		s := step.status
		if !errors.Is(s.MayDecide(now), step.decide) || !errors.Is(s.MayForward(now), step.forward) || s.MayServe(now) != step.serve {
			t.Errorf("%s: decide %v, forward %v, serve %v", name, s.MayDecide(now), s.MayForward(now), s.MayServe(now))
		}
	}
}
