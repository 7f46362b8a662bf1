package proxy

import (
	"fmt"
	"io"
	"net/http"
)

// serveMetrics writes the metrics of this process in the text format of Prometheus.
func (p *Proxy) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetricHead(w, "otterseam_proxy_reserved_bytes", "gauge", "Memory reserved for requests of clients and for responses of hosts.")
	fmt.Fprintf(w, "otterseam_proxy_reserved_bytes{holder=\"clients\"} %d\n", p.guard.Memory.Used())
	fmt.Fprintf(w, "otterseam_proxy_reserved_bytes{holder=\"hosts\"} %d\n", p.responses.Used())
	writeMetricHead(w, "otterseam_proxy_response_excess_total", "counter", "Responses given up because their hosts sent too much, by what they sent.")
	for kind := range p.excesses {
		fmt.Fprintf(w, "otterseam_proxy_response_excess_total{kind=%q} %d\n", excess(kind), p.excesses[kind].Load())
	}
}

// writeMetricHead writes the lines that precede the samples of a metric.
func writeMetricHead(w io.Writer, name, kind, help string) {
	fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, kind)
}
