package main

import (
	"hillknot/internal/config"
	"hillknot/internal/logging"
)

// reloader is implemented by a part of the router whose files are read again on SIGHUP. A file that can't be used changes
// nothing.
type reloader interface{ Reload() error }

// reloadOnSignal calls reload for each SIGHUP, one after the other, until the router ends. It runs on a goroutine of its
// own, because reading files can take any time.
func (r *router) reloadOnSignal() {
	for {
		select {
		case <-r.options.signals.reload:
			r.reload()
		case <-r.stop:
			return
		}
	}
}

// reload reads the address of discovery from the current configuration, and the keys and top-ups of the cluster from their
// files. All other settings stay as they were when the process started. A faulty file changes nothing.
func (r *router) reload() {
	if r.cluster != nil {
		if err := r.cluster.Reload(); err != nil {
			log.Error("cluster files rejected", logging.KeyError, err)
		}
	}
	cfg, err := config.LoadEnv(r.options.configPath, r.options.operatorPath, r.options.getenv)
	if err != nil {
		log.Error("configuration rejected", logging.KeyError, err)
		return
	}
	log.Info("configuration reloaded", "journal", cfg.DiscoveryAddr)
	r.watcher.SetAddress(cfg.DiscoveryAddr)
}
