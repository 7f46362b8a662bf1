package tierhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestEngineStreamsWithoutTokenCount(t *testing.T) {
	tests := []struct {
		service, count string
		stream         bool
		last           string // last event of the stream
	}{
		{"engine", "", true, "id: 10\n"},
		{"engine", "5,15", true, "id: 5\n"},
		{"records", "", false, ""},
	}
	for _, test := range tests {
		host := &Host{ID: "h", Service: test.service}
		request := httptest.NewRequest(http.MethodPost, "/chat/1", strings.NewReader("hello"))
		if test.count != "" {
			request.Header.Set("X-Token-Count", test.count)
		}
		recorder := httptest.NewRecorder()
		host.serve(recorder, request)
		body := recorder.Body.String()
		if stream := recorder.Header().Get("Content-Type") == "text/event-stream"; stream != test.stream || !strings.Contains(body, test.last) {
			t.Errorf("%+v: response body %q", test, body)
		}
	}
}
