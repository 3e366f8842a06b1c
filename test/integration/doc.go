// Package integration holds the stories in which two troubles meet: whole controllers, with
// every part of them, on stand-ins in fake time, and all rules of the protocol checked
// against what happened. Most rules that were seen broken broke in such meetings, between
// parts that each are right by themselves.
package integration
