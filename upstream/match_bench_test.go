package upstream

import (
	"net/http"
	"strconv"
	"testing"
)

// believed is the rule before refusals had to name their request.
func believed(identity Identity, id string) bool {
	return identity.ID == id || identity.ID == "" && identity.NotRun
}

// BenchmarkMatching measures what the matching of an answer costs for a request: by the earlier
// rule and by the present one, while no target has refused a request, while as many refusals
// are remembered as possible, and for a refusal.
func BenchmarkMatching(b *testing.B) {
	served := http.Header{"Id": {"9c41d07be2a35f68"}, "Content-Type": {"application/json"}}
	refused := http.Header{"Id": {"9c41d07be2a35f68"}, "Not-Run": {"1"}}
	identify := newConnections().Identify
	for _, test := range []struct {
		name   string
		status int
		header http.Header
	}{{"served", http.StatusOK, served}, {"refused", http.StatusServiceUnavailable, refused}} {
		b.Run(test.name+"/before", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if !believed(identify(test.status, test.header), "9c41d07be2a35f68") {
					b.Fatal("not matched")
				}
			}
		})
		for _, remembered := range []int{0, maxRefusedIDs} {
			b.Run(test.name+"/after, "+strconv.Itoa(remembered)+" remembered", func(b *testing.B) {
				connections := newConnections()
				for i := range remembered {
					connections.refused.add("10.0.0.1:8080", strconv.Itoa(i))
				}
				request := &Request{ID: "9c41d07be2a35f68", Once: true}
				matching := &matching{
					connections: connections, connection: &connection{address: "10.0.0.1:8080"}, request: request, isFirst: true,
				}
				b.ReportAllocs()
				for b.Loop() {
					_ = connections.needsNew("10.0.0.1:8080", request)
					if matching.doubt(test.status, identify(test.status, test.header)) != "" {
						b.Fatal("not matched")
					}
				}
			})
		}
	}
}
