// Package deps keeps the project's libraries in go.mod while the packages that
// use them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/charmbracelet/log"
	_ "github.com/rcrowley/go-metrics"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
)
