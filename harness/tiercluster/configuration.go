package tiercluster

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// ExampleHost is the Host field that requests need to match the routes of Config.
const ExampleHost = "try.example"

// Config returns an operator's configuration with routes to stand-in hosts of the services engine and records.
func Config(version uint64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"chat","host":"try.example","path_prefix":"/chat/","route_type":"streaming","timeout_ms":5000,"target_ms":250,"priority":0,
  "service":"engine","max_attempts":2,"retained":true,"keep_s":60,"sticky":true,"resumable":false,"gap_aim_ms":400},
 {"name":"draft","host":"try.example","path_prefix":"/draft/","route_type":"streaming","timeout_ms":5000,"target_ms":250,"priority":1,
  "service":"engine","max_attempts":2,"resumable":true,"gap_aim_ms":400},
 {"name":"lookup","host":"try.example","path_prefix":"/lookup/","route_type":"safe","timeout_ms":1200,"target_ms":150,"priority":2,
  "service":"records","max_attempts":2},
 {"name":"issue","host":"try.example","path_prefix":"/issue/","route_type":"unsafe","timeout_ms":3000,"target_ms":500,"priority":2,
  "service":"records","max_attempts":1}],
 "services":[{"name":"engine","health_path":"/health","max_conns":230,"protocol":"h1","engine":{"slots":32,"kv_tokens":200000,"stride":3}},
  {"name":"records","health_path":"/health","max_conns":96,"protocol":"h1"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

// ReplaceConfig replaces the configuration of version base. It tries the control addresses in turn until one responds with a status
// other than 503, and returns the last response. If none does so within limit, the response's Err contains a *TimeoutError.
func (c *Cluster) ReplaceConfig(base uint64, config string, limit time.Duration) Response {
	var last Response
	err := WaitUntil(limit, func() bool {
		for _, control := range c.ControlAddresses() {
			header := map[string]string{"X-Base-Version": strconv.FormatUint(base, 10), "Content-Type": "application/json"}
			last = Call(http.MethodPost, "http://"+control+"/v1/config/replace", control, header, config)
			if last.Err == nil && last.Status != http.StatusServiceUnavailable {
				return true
			}
		}
		return false
	})
	if err != nil {
		last.Err = errors.Join(err, last.Err)
	}
	return last
}
