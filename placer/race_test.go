//go:build race

package placer_test

func init() { racing = true }
