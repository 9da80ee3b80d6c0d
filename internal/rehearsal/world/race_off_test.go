//go:build !race

package world

// usualSeeds is a fixed few hundred, which take about a minute on eight cores.
const usualSeeds = 240
