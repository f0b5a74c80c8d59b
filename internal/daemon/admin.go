package daemon

import (
	"net/http"
	"net/http/pprof"

	"hemlockmast/internal/entryside/session/directoryrpc"
	"hemlockmast/internal/shared/timeline/timelinerpc"
)

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", d.handleReady)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /metrics", d.metrics.Handler())
	d.members.Register(mux)
	d.control.register(mux)
	mux.Handle(timelinerpc.PathPrefix, timelinerpc.Handler(d.journal))
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
