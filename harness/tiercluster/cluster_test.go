package tiercluster

import (
	"net/http"
	"testing"
)

func TestConfigurationsHaveOneWinnerAndARepeatIsTakenAgain(t *testing.T) {
	w := newWorld(t, 3)
	w.replace(1, 4, http.StatusOK)
	w.replace(1, 4, http.StatusOK)                 // the same again
	w.replace(1, 5, http.StatusPreconditionFailed) // another on the same base
	w.replace(4, 4, http.StatusBadRequest)         // its number is the current one
	if got := w.cluster.ReplaceConfig(4, `{"version":9,"routes":[`, limit); got.Status != http.StatusBadRequest {
		t.Fatalf("cut short: %+v", got)
	}
	for _, control := range w.cluster.ControlAddresses() {
		got := Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
		if got.Status != http.StatusOK || got.Body != Config(4) {
			t.Fatalf("%s reads back %+v", control, got)
		}
	}
}
