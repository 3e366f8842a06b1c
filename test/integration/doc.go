// Package integration tests what happens when two failures coincide. It runs complete controllers
// against simulated external systems in fake time and checks every rule of the protocol against the
// events that occurred. Most violations of these rules were found where two failures coincided,
// between components that were each correct on their own.
//
// A scenario runs on a testbed: controllers, state service, cloud, network and users. Scenarios may
// import package controller, the packages that describe stored values, and package emulator.
package integration
