// Package dag evaluates the dependencies of jobs.
//
// Nothing is sent from job to job. What a waiting job has come to follows from tombstones
// alone: it is ready when every dependency has a durable tombstone that says done, and
// cancelled when one says cancelled, or itself depends on such a job. So no message,
// memory or live controller is needed for a cancellation to reach the end of a chain, and
// whoever owns a job's shard, now or after any crash, comes to the same answer. A job's
// scheduler may know that the job is done: without the tombstone that starts nothing.
//
// A job after a cancelled one has never started: it starts only when all its dependencies
// are done, and what has a tombstone never gets another. For the same reason a result of
// ready or cancelled never changes, and may be answered to users before anything is
// written of it.
//
// State: a Tracker keeps, for one session of a controller, the dependent jobs and the
// tombstones of their dependencies; its mutex guards all of it and is not held over
// requests. Evaluate and PropagateUrgency are pure functions of a Snapshot.
//
// The package may import job, tombstone and statekv.
package dag
