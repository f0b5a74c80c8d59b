package daemon

import (
	"encoding/json"
	"net/http"

	"hemlockmast/internal/session/directoryrpc"
	"hemlockmast/internal/slotview"
)

// maxAnnounceBytes bounds an endpoint's announcement.
const maxAnnounceBytes = 4 << 10

// announcement is what an endpoint says of itself.
type announcement struct {
	Group       string `json:"group"`
	Slot        string `json:"slot"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	Leaving     bool   `json:"leaving"`
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", d.handleReady)
	mux.HandleFunc("POST /v1/announce", d.handleAnnounce)
	mux.Handle(directoryrpc.PathPrefix, d.directoryServer.Handler())
	return mux
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err := dec.Decode(&a); err != nil {
		http.Error(w, "not an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	d.view.SetEndpoint(slotview.Endpoint{
		Group: a.Group, Slot: a.Slot, Addr: a.Address,
		Incarnation: a.Incarnation, Leaving: a.Leaving,
	})
	d.reassign()
	w.WriteHeader(http.StatusNoContent)
}
