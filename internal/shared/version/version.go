// Package version holds the version number of the programs.
package version

// Text is the version, set by release builds with -ldflags "-X".
var Text = "0.1.0-dev"
