// Package emulator holds stand-ins for the systems around controllers, for tests and tools.
//
// StateService and FaultyStateClient stand for the state service, CloudServer for the
// cloud's front, Workers for single workers that a test moves by hand, SimulatedCloud for a
// cloud whose machines keep leases and run tasks in fake time, and LocalCloud for one whose
// machines run small commands. History holds what happens on simulated machines, and what
// users are answered, against the rules of the protocol.
//
// Each stand-in owns its state under a mutex of its own. Locks are taken in this order: a
// machine's or a cloud's, then the history's or the record's, which are leaves. No lock is
// held while a controller or another process is asked.
//
// It may import the packages that state the protocols (cloud, config, job, netcount,
// statekv, worker), and none that decides anything.
package emulator
