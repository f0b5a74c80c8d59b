// Package logging creates the structured loggers of the programs. They limit repeated
// lines, and a daemon's logger never blocks.
package logging

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error at the given
// level: "error", "info" (the default) or "debug". Repeated lines are limited as by
// Limit. Errors: those of building the zap logger.
func New(level string) (logr.Logger, error) {
	cfg := zap.NewProductionConfig()
	switch level {
	case "error":
		cfg.Level = zap.NewAtomicLevelAt(zapcore.ErrorLevel)
	case "debug":
		cfg.Level = zap.NewAtomicLevelAt(zapcore.DebugLevel)
	}
	// Zap's own sampling drops lines without reporting it.
	cfg.Sampling = nil
	z, err := cfg.Build()
	if err != nil {
		return logr.Discard(), err
	}
	return Limit(zapr.NewLogger(z), time.Now), nil
}
