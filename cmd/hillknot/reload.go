package main

import (
	"hillknot/internal/config"
	"hillknot/internal/logging"
)

// reloader has files that are read again on SIGHUP. A file that can't be used changes nothing.
type reloader interface{ Reload() error }

// reloadOnSignal reloads at each SIGHUP, one after the other, until the router ends. It has a goroutine of its own: files can
// take any time to read.
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

// reload takes discovery's address from the configuration as it is now, and the keys and top-ups of the cluster from
// their files. All other settings hold from the start of the process to its end. A faulty file changes nothing.
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
