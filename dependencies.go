//go:build dependencies

package main

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/google/btree"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
