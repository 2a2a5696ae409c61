package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// writeLocations writes what each store and adapter reports about where a message is now and what it waits for.
func (s *Site) writeLocations(out io.Writer, token string) {
	id := ""
	s.History.WithLock(func() {
		if i := slices.IndexFunc(s.History.Sent, func(x Submission) bool { return x.Token == token }); i >= 0 {
			id = s.History.Sent[i].Id
		}
	})
	for _, m := range s.Machines {
		if m.Class == classCore || id == "" {
			continue
		}
		if trace := s.fetchTrace(m, id); trace != "" {
			fmt.Fprintf(out, "  %s reports: %s\n", m.ShortName, trace)
		}
	}
}

// fetchTrace returns what a machine reports about a message; empty if it has no record of it.
func (s *Site) fetchTrace(m *Machine, id string) string {
	ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.at(m.host, portHttp)+"/v1/messages/"+id+"/story", nil)
	if err != nil {
		return ""
	}
	response, err := s.queryClient.Do(req)
	if err != nil {
		return "query failed: " + err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(raw)
}
