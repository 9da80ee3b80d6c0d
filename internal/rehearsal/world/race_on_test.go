//go:build race

package world

// usualSeeds is few where every access is watched: the world has one thread.
const usualSeeds = 8
