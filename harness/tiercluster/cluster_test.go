package tiercluster

import (
	"net/http"
	"testing"
)

func TestConfigReplacementRejectsConflictsAndAcceptsRepeats(t *testing.T) {
	c := newTestCluster(t, 3)
	c.replace(1, 4, http.StatusOK)
	c.replace(1, 4, http.StatusOK)                 // repeated
	c.replace(1, 5, http.StatusPreconditionFailed) // a different one with the same base
	c.replace(4, 4, http.StatusBadRequest)         // its version is the current one
	if got := c.cluster.ReplaceConfig(4, `{"version":9,"routes":[`, limit); got.Status != http.StatusBadRequest {
		t.Fatalf("truncated configuration: %+v", got)
	}
	for _, control := range c.cluster.ControlAddresses() {
		got := Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
		if got.Status != http.StatusOK || got.Body != Config(4) {
			t.Fatalf("%s returns %+v", control, got)
		}
	}
}
