// Package integration holds the scenarios in which two failures meet: whole controllers,
// with every part of them, on stand-ins in fake time, and all rules of the protocol checked
// against what happened. Most rules that were seen broken broke where failures met, between
// parts that each are right by themselves.
//
// A scenario owns a testbed: controllers, state service, cloud, network and users. It may
// import package controller, what describes stored values, and package emulator.
package integration
