// Package emulator contains stand-ins for the systems that controllers work with. Tests and tools
// use them in place of the real ones.
//
// StateService and FaultyStateClient replace the state service. CloudServer serves the HTTP
// protocol of the cloud. Workers is a set of workers that act only when a test tells them to.
// SimulatedCloud is a cloud whose machines hold leases and run simulated tasks, usually in fake
// time. LocalCloud is a cloud whose machines run small commands in real time. History records what
// happens on simulated machines and which responses users receive, and checks both against the
// rules of the protocol.
//
// Each stand-in guards its state with its own mutex. Lock order: first the mutex of a machine or a
// cloud, then that of the History or the localHistory. While the package holds the mutex of a
// History or a localHistory, it takes no other lock. It holds no lock during a call to a controller
// or to another process.
//
// The package may import the packages that define the protocols (cloud, config, job, netcount,
// statekv, worker), but none that makes scheduling decisions.
package emulator
