package tierhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestEngineStreamsWithoutACountOfTokens(t *testing.T) {
	tests := []struct {
		service, count string
		stream         bool
		last           string // event of a stream
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
		answer := httptest.NewRecorder()
		host.serve(answer, request)
		body := answer.Body.String()
		if stream := answer.Header().Get("Content-Type") == "text/event-stream"; stream != test.stream || !strings.Contains(body, test.last) {
			t.Errorf("%+v: answered %q", test, body)
		}
	}
}
