package fleetd

import (
	"encoding/json"
	"net/http"

	"github.com/go-logr/logr"

	"hemlockmast/internal/proxy"
	"hemlockmast/internal/proxy/explanation"
)

// explainHandler answers where a request would go now.
func explainHandler(server *proxy.Server, log logr.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		kind := explanation.Kind(query.Get("kind"))
		if kind == "" {
			kind = explanation.Read
		}
		if !kind.IsValid() {
			http.Error(w, "unknown kind", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		err := json.NewEncoder(w).Encode(server.Explain(proxy.ExplainRequest{
			Database: query.Get("database"), Workspace: query.Get("workspace"), Kind: kind,
		}))
		if err != nil {
			log.V(1).Info("explanation not sent", "error", err.Error())
		}
	})
}
