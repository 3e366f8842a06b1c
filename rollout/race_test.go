//go:build race

package rollout

func init() { raceOn = true }
