// Package dag evaluates the dependencies between jobs.
//
// Jobs do not send messages to each other. The state of a dependent job follows from tombstones
// alone. The job is ready when each of its dependencies has a durable tombstone with the status
// done. It is cancelled when one of its dependencies has a tombstone with the status cancelled, or
// depends on such a job itself. A cancellation therefore reaches the end of a chain of jobs without
// any message, in-memory state or running controller, and every owner of a job's shard comes to the
// same result, also after a crash. A scheduler may know that a job is done before the tombstone is
// written, but dependent jobs start only after that write.
//
// A job that depends on a cancelled job has never started, because a job starts only when all of
// its dependencies are done and a job with a tombstone never gets another one. For the same reason
// the results ready and cancelled are final, and may be reported to users before anything is
// written for the dependent job.
//
// A Tracker holds the dependent jobs and the tombstones of their dependencies, for one session of a
// controller. Its mutex guards all of its state and is not held during requests. Evaluate and
// PropagateUrgency are pure functions of a Snapshot.
//
// The package may import job, tombstone and statekv.
package dag
