package standin

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const adminPath = "/admin/"

// apply sets the flags named in query; the last value of a repeated name wins.
func apply(flags *flag.FlagSet, query url.Values) error {
	for name, values := range query {
		if err := flags.Set(name, values[len(values)-1]); err != nil {
			return fmt.Errorf("fault %q: %w", name, err)
		}
	}
	return nil
}

// flagValues returns the values of all flags by name.
func flagValues(flags *flag.FlagSet) map[string]string {
	values := map[string]string{}
	flags.VisitAll(func(f *flag.Flag) { values[f.Name] = f.Value.String() })
	return values
}

func isAdmin(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, adminPath) }

// pause sleeps for d. It returns false if the client disconnects first.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
