// Package soak is a randomized fault test on real processes. It runs the controllers of the built
// program as child processes, over loopback, against the emulators of the state service, the cloud
// and the workers, while users submit, cancel, query and resubmit jobs. Faults are drawn from a
// seed (Schedule); every connection passes a link that the test controls.
//
// The invariants are checked from outside, by the emulators' history alone, and by what the
// processes leave behind: none may end by itself or log a violated invariant. A run that hardly
// exercised the service fails too. The schedule follows from the seed; how the processes interleave
// does not, so a failure need not occur again with the same seed.
//
// A run owns its processes, servers and links and stops all of them at its end. The package may
// import emulator, the packages of tools that it builds on, and the internal packages that define
// the service's data and settings.
package soak
